package barrowshore.net;

import barrowshore.memory.GrowableBuffer;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Splits a byte stream into lines, which may span reads. It buffers the incomplete line up to a maximum size and passes
 * on complete lines only, which must be UTF-8.
 */
public final class LineBuffer {
    private static final int INITIAL_BYTES = 256;

    private final int maxLineBytes;
    private final GrowableBuffer line;

    public LineBuffer(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
        this.line = new GrowableBuffer(INITIAL_BYTES, maxLineBytes);
    }

    /** The size of the buffer's array once so many bytes more have been added without the end of the line. */
    public int capacityFor(int additionalBytes) {
        return line.capacityFor(additionalBytes);
    }

    /**
     * Adds bytes and passes each completed line, without its terminator, to the consumer.
     *
     * @throws IllegalStateException if the line is too long or not UTF-8
     */
    public void add(ByteBuffer bytes, Consumer<String> consumer) {
        while (bytes.hasRemaining()) {
            int count = bytesBeforeTerminator(bytes);
            boolean terminated = count < bytes.remaining();
            if (!line.append(bytes, count)) {
                throw new IllegalStateException("line exceeds " + maxLineBytes + " bytes");
            }
            if (terminated) {
                bytes.get();
                end(consumer);
            }
        }
    }

    private static int bytesBeforeTerminator(ByteBuffer bytes) {
        int start = bytes.position();
        int end = start;
        while (end < bytes.limit() && bytes.get(end) != '\n') {
            end++;
        }
        return end - start;
    }

    private void end(Consumer<String> consumer) {
        String text = decodeLine();
        line.clear();
        consumer.accept(text);
    }

    /** Rejects invalid bytes: with a replacement character in their place, the line would not be the sender's. */
    private String decodeLine() {
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(line.array(), 0, line.size()))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new IllegalStateException("line is not UTF-8", e);
        }
    }
}
