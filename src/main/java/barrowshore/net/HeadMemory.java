package barrowshore.net;

import barrowshore.memory.MemoryBudget;
import barrowshore.memory.MemoryReservation;

/**
 * Counts what the head of a message holds while it is parsed, and the trailer fields of a chunked one. What arrives with the
 * first read is bounded by the number of connections and not counted.
 */
public final class HeadMemory {
    private static final int UNCOUNTED_BYTES = HttpLink.READ_BUFFER_BYTES;
    /** What is kept for each byte of a head: the parser's buffers, which grow by doubling, and the text of the fields. */
    private static final int MEMORY_PER_BYTE = 4;

    private final MemoryReservation reservation;
    private int parsedBytes;

    public HeadMemory(MemoryBudget budget) {
        this.reservation = budget.newReservation(MEMORY_PER_BYTE * UNCOUNTED_BYTES);
    }

    /** Counts bytes that the parser is about to get; false: there is no memory for them, and nothing has changed. */
    public boolean tryAdd(int bytes) {
        if (!reservation.tryGrowTo((long) MEMORY_PER_BYTE * (parsedBytes + bytes))) {
            return false;
        }
        parsedBytes += bytes;
        return true;
    }

    /** Whether the parser's buffers may have grown so far that it should be replaced before the next message. */
    public boolean isLong() {
        return parsedBytes > UNCOUNTED_BYTES;
    }

    /** Gives back all that is counted. */
    public void release() {
        parsedBytes = 0;
        reservation.release();
    }
}
