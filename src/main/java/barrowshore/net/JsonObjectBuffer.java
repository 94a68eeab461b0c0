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
    private final int maxObjectBytes;
    private byte[] buffer = new byte[256];
    private int length;
    private int depth;
    private boolean inString, escaped;

    public JsonObjectBuffer(int maxObjectBytes) {
        this.maxObjectBytes = maxObjectBytes;
    }

    /** Adds a piece; each object that it completes goes to the taker. What stands between objects must be blank. */
    public void add(ByteBuffer bytes, Consumer<String> consumer) {
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            if (depth == 0 && b != '{') {
                if (b != ' ' && b != '\n' && b != '\r' && b != '\t') {
                    throw new IllegalArgumentException("not JSON: an object was to begin at '" + (char) b + "'");
                }
                continue;
            }
            append(b);
            updateNesting(b);
            if (depth == 0) {
                String object = new String(buffer, 0, length, StandardCharsets.UTF_8);
                length = 0;
                consumer.accept(object);
            }
        }
    }

    /** Whether an object has begun that is not whole yet. */
    public boolean isOpen() {
        return depth > 0;
    }

    private void append(byte b) {
        if (length == maxObjectBytes) {
            throw new IllegalArgumentException("an object is longer than " + maxObjectBytes + " bytes");
        }
        if (length == buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.min(maxObjectBytes, 2 * length));
        }
        buffer[length++] = b;
    }

    private void updateNesting(byte b) {
        if (inString) {
            inString = escaped || b != '"';
            escaped = !escaped && b == '\\';
        } else if (b == '"') {
            inString = true;
        } else if (b == '{' || b == '[') {
            depth++;
        } else if (b == '}' || b == ']') {
            depth--;
        }
    }
}
