package barrowshore.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Cuts a stream into JSON objects wherever its pieces and its lines begin and end: an object may be indented over many
 * lines, and what lies between two is blank. It owns the bytes of the object not yet whole, up to a bound; it must never
 * hand on a part of an object, nor judge what is in one.
 */
public final class JsonObjectBuffer {
    private final int bound;
    private byte[] held = new byte[256];
    private int length;
    private int depth;
    private boolean quoted, escaped;

    public JsonObjectBuffer(int bound) {
        this.bound = bound;
    }

    /** Adds a piece; each object that it completes goes to the taker. What stands between objects must be blank. */
    public void add(ByteBuffer piece, Consumer<String> taker) {
        while (piece.hasRemaining()) {
            byte b = piece.get();
            if (depth == 0 && b != '{') {
                if (b != ' ' && b != '\n' && b != '\r' && b != '\t') {
                    throw new IllegalArgumentException("not JSON: an object was to begin at '" + (char) b + "'");
                }
                continue;
            }
            hold(b);
            step(b);
            if (depth == 0) {
                String object = new String(held, 0, length, StandardCharsets.UTF_8);
                length = 0;
                taker.accept(object);
            }
        }
    }

    /** Whether an object has begun that is not whole yet. */
    public boolean isOpen() {
        return depth > 0;
    }

    private void hold(byte b) {
        if (length == bound) {
            throw new IllegalArgumentException("an object is longer than " + bound + " bytes");
        }
        if (length == held.length) {
            held = Arrays.copyOf(held, Math.min(bound, 2 * length));
        }
        held[length++] = b;
    }

    private void step(byte b) {
        if (quoted) {
            quoted = escaped || b != '"';
            escaped = !escaped && b == '\\';
        } else if (b == '"') {
            quoted = true;
        } else if (b == '{' || b == '[') {
            depth++;
        } else if (b == '}' || b == ']') {
            depth--;
        }
    }
}
