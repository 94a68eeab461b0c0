package barrowshore.memory;

/**
 * The bytes of a message, which are kept in memory and counted until their last holder has released them. The creator is
 * the first holder. Safe for use by several threads.
 */
public final class CountedBytes {
    private final MemoryReservation reservation;
    private final int attributeBytes;
    private final int size;
    private byte[] bytes;
    private int holderCount = 1;
    private boolean forgotten;

    /**
     * Takes over the reservation, which must cover the bytes and the {@code attributeBytes}: the size of what comes with
     * the message and is kept until {@link #forget}.
     */
    public CountedBytes(byte[] bytes, int attributeBytes, MemoryReservation reservation) {
        this.bytes = bytes;
        this.size = bytes.length;
        this.attributeBytes = attributeBytes;
        this.reservation = reservation;
        reservation.shrinkTo((long) size + attributeBytes);
    }

    /** Returns bytes that no budget counts, for senders that are part of the program. */
    public static CountedBytes uncounted(byte[] bytes) {
        return new CountedBytes(bytes, 0, new MemoryBudget(0, 1).newReservation(bytes.length));
    }

    /** The number of bytes, also after their release. */
    public int size() {
        return size;
    }

    /** The bytes, for a caller that is one of the holders. */
    public synchronized byte[] get() {
        return bytes;
    }

    /** Adds a holder and returns the bytes; null, without a new holder, if they have been released. */
    public synchronized byte[] retain() {
        if (holderCount > 0) {
            holderCount++;
        }
        return bytes;
    }

    /** Sets how the last holder gives up the bytes when others have waited for memory too long; the action may only post. */
    public synchronized void setReclaimer(Runnable action) {
        reservation.setReclaimer(action);
    }

    /** Removes a holder; after the last one the bytes can be collected. Each holder calls it once. */
    public synchronized void release() {
        if (--holderCount == 0) {
            bytes = null;
            reservation.setReclaimer(null);
            reservation.shrinkTo(forgotten ? 0 : attributeBytes);
        }
    }

    /** Gives back what is counted for the attributes; the bytes stay counted until their last holder's release. */
    public synchronized void forget() {
        forgotten = true;
        reservation.shrinkTo(bytes == null ? 0 : size);
    }
}
