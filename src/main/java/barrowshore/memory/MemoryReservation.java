package barrowshore.memory;

/** The part of a {@link MemoryBudget} that one holder has. Safe for use by several threads, one after the other. */
public final class MemoryReservation {
    private final MemoryBudget budget;
    private final int uncountedBytes;
    private volatile long countedBytes;
    private volatile Runnable reclaimer;

    MemoryReservation(MemoryBudget budget, int uncountedBytes) {
        this.budget = budget;
        this.uncountedBytes = uncountedBytes;
    }

    /** Grows to so many bytes in all, if it is smaller; false: refused, and nothing has changed. */
    public boolean tryGrowTo(long totalBytes) {
        long counted = Math.max(0, totalBytes - uncountedBytes);
        if (counted <= countedBytes) {
            return true;
        }
        if (!budget.tryGrow(countedBytes, counted)) {
            return false;
        }
        countedBytes = counted;
        return true;
    }

    /** Whether it could grow to so many bytes in all now. */
    public boolean fits(long totalBytes) {
        long counted = Math.max(0, totalBytes - uncountedBytes);
        return counted <= countedBytes || budget.fits(counted);
    }

    /** Gives back all but so many bytes, if it is larger. */
    public void shrinkTo(long totalBytes) {
        long counted = Math.max(0, totalBytes - uncountedBytes);
        if (counted < countedBytes) {
            budget.release(countedBytes - counted);
            countedBytes = counted;
        }
    }

    /** Gives back everything; may be called again. */
    public void release() {
        setReclaimer(null);
        shrinkTo(0);
    }

    /**
     * Sets how this holder gives up its memory when others have waited for it too long; null: it cannot. The action may run
     * in any thread and may only post. Without effect while nothing of it is counted.
     */
    public void setReclaimer(Runnable action) {
        if (action != null && countedBytes > 0) {
            reclaimer = action;
            budget.addReclaimable(this);
        } else if (reclaimer != null) {
            reclaimer = null;
            budget.removeReclaimable(this);
        }
    }

    void reclaim() {
        Runnable action = reclaimer;
        if (action != null) {
            action.run();
        }
    }
}
