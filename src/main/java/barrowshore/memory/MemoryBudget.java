package barrowshore.memory;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * A limit on the bytes that many holders keep in memory together. It never blocks: a reservation is granted or refused at
 * once. It shares by a dynamic threshold (Choudhury and Hahne, "Dynamic queue length thresholds for shared-memory packet
 * switches"): a holder may grow only up to a fraction of what is free, so that holders of little still find room while
 * many others hold as much as they can. Safe for use by several threads.
 */
public final class MemoryBudget {
    private final int thresholdDivisor;
    private final Set<MemoryReservation> reclaimable = new LinkedHashSet<>();
    /** The holder that was asked last and has not released its memory yet; else null. */
    private MemoryReservation reclaiming;

    private long capacityBytes;
    private long usedBytes;

    /** Creates a budget in which no holder grows above what is free divided by {@code thresholdDivisor}. */
    public MemoryBudget(long capacityBytes, int thresholdDivisor) {
        this.capacityBytes = capacityBytes;
        this.thresholdDivisor = thresholdDivisor;
    }

    /**
     * Creates an empty reservation. Its first {@code uncountedBytes} are always granted; the limit on the number of holders
     * bounds them.
     */
    public MemoryReservation newReservation(int uncountedBytes) {
        return new MemoryReservation(this, uncountedBytes);
    }

    /** Changes the limit; what is held above a lower one is given back as its holders release it. */
    public synchronized void setCapacity(long bytes) {
        capacityBytes = bytes;
    }

    /** The counted bytes that are held now. */
    public synchronized long usedBytes() {
        return usedBytes;
    }

    /** Whether a holder that has nothing yet could grow to so many counted bytes now. */
    synchronized boolean fits(long bytes) {
        return bytes <= (capacityBytes - usedBytes) / thresholdDivisor;
    }

    /** Grows a holder from one number of counted bytes to another, or returns false and changes nothing. */
    synchronized boolean tryGrow(long fromBytes, long toBytes) {
        if (!fits(toBytes)) {
            return false;
        }
        usedBytes += toBytes - fromBytes;
        return true;
    }

    synchronized void release(long bytes) {
        usedBytes -= bytes;
    }

    synchronized void addReclaimable(MemoryReservation reservation) {
        reclaimable.add(reservation);
    }

    synchronized void removeReclaimable(MemoryReservation reservation) {
        reclaimable.remove(reservation);
        if (reclaiming == reservation) {
            reclaiming = null;
        }
    }

    /**
     * Asks the one that has held its memory for longest, among those that can give it up, to do so; for a holder that has
     * waited long. Does nothing while the last one asked has not released its memory yet.
     */
    public void reclaimOldest() {
        MemoryReservation oldest;
        synchronized (this) {
            if (reclaiming != null || reclaimable.isEmpty()) {
                return;
            }
            oldest = reclaimable.iterator().next();
            reclaimable.remove(oldest);
            reclaiming = oldest;
        }
        oldest.reclaim();
    }
}
