package barrowshore.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Cuts a stream into lines wherever its pieces begin and end. It owns the bytes of the line not yet whole, up to a
 * bound, and must never hand on a part of a line.
 */
public final class LineBuffer {
    private final int maxLineBytes;
    private byte[] buffer = new byte[256];
    private int length;

    public LineBuffer(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    /** Adds a piece; each line that it completes goes to the taker, without its end. */
    public void add(ByteBuffer bytes, Consumer<String> consumer) {
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            if (b == '\n') {
                end(consumer);
            } else {
                if (length == maxLineBytes) {
                    throw new IllegalStateException("a line is longer than " + maxLineBytes + " bytes");
                }
                if (length == buffer.length) {
                    buffer = Arrays.copyOf(buffer, Math.min(maxLineBytes, 2 * length));
                }
                buffer[length++] = b;
            }
        }
    }

    /** What is held is a whole line, though nothing ends it: its message is complete. */
    public void end(Consumer<String> consumer) {
        String line = new String(buffer, 0, length, StandardCharsets.UTF_8);
        length = 0;
        consumer.accept(line);
    }
}
