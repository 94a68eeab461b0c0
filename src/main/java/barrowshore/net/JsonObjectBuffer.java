package barrowshore.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Splits a byte stream into JSON objects, which may span lines and reads and are separated by white space. It buffers
 * the incomplete object up to a maximum size, passes on complete objects only, and doesn't validate their content.
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

    /** Adds bytes and passes each completed object to the consumer; rejects anything but white space between objects. */
    public void add(ByteBuffer bytes, Consumer<String> consumer) {
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            if (depth == 0 && b != '{') {
                if (b != ' ' && b != '\n' && b != '\r' && b != '\t') {
                    throw new IllegalArgumentException("not JSON: expected '{' but found '" + (char) b + "'");
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

    /** Whether an object has begun but is incomplete. */
    public boolean isOpen() {
        return depth > 0;
    }

    private void append(byte b) {
        if (length == maxObjectBytes) {
            throw new IllegalArgumentException("JSON object exceeds " + maxObjectBytes + " bytes");
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
