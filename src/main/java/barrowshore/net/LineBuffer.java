package barrowshore.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Splits a byte stream into lines, which may span reads. It buffers the incomplete line up to a maximum size and passes
 * on complete lines only.
 */
public final class LineBuffer {
    private final int maxLineBytes;
    private byte[] buffer = new byte[256];
    private int length;

    public LineBuffer(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    /** Adds bytes and passes each completed line, without its terminator, to the consumer. */
    public void add(ByteBuffer bytes, Consumer<String> consumer) {
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            if (b == '\n') {
                end(consumer);
            } else {
                if (length == maxLineBytes) {
                    throw new IllegalStateException("line exceeds " + maxLineBytes + " bytes");
                }
                if (length == buffer.length) {
                    buffer = Arrays.copyOf(buffer, Math.min(maxLineBytes, 2 * length));
                }
                buffer[length++] = b;
            }
        }
    }

    /** Passes on the buffered bytes as a line; for a message that ends without a line terminator. */
    public void end(Consumer<String> consumer) {
        String line = new String(buffer, 0, length, StandardCharsets.UTF_8);
        length = 0;
        consumer.accept(line);
    }
}
