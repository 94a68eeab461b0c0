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
    private final int bound;
    private byte[] held = new byte[256];
    private int length;

    public LineBuffer(int bound) {
        this.bound = bound;
    }

    /** Adds a piece; each line that it completes goes to the taker, without its end. */
    public void add(ByteBuffer piece, Consumer<String> taker) {
        while (piece.hasRemaining()) {
            byte b = piece.get();
            if (b == '\n') {
                end(taker);
            } else {
                if (length == bound) {
                    throw new IllegalStateException("a line is longer than " + bound + " bytes");
                }
                if (length == held.length) {
                    held = Arrays.copyOf(held, Math.min(bound, 2 * length));
                }
                held[length++] = b;
            }
        }
    }

    /** What is held is a whole line, though nothing ends it: its message is complete. */
    public void end(Consumer<String> taker) {
        String line = new String(held, 0, length, StandardCharsets.UTF_8);
        length = 0;
        taker.accept(line);
    }
}
