package barrowshore.module;

/**
 * What reports and our own jobs together say of the others' load. Each is a sample of it: our own jobs are one dispatcher's
 * share, which may be several times the usual; a report is one worker's. They weigh by the part of the fleet that each
 * has seen. Samples are added and taken back one by one, so that no worker is gone over that has not changed. It decides
 * nothing.
 */
final class OthersLoadEstimate {
    /** Up to so many dispatchers, each one's own jobs are a fair sample, and a fresher one than any report. */
    private static final double FEW_DISPATCHERS = 20;
    /** What is left of sums when all has been taken back, but for rounding. */
    private static final double ROUNDING_SLOTS = 1e-9;

    /** What is known of one worker: its slots; the part of them seen, by the age of its report; what others usually hold. */
    record Sample(double slots, double seenSlots, double otherSlots) {
        static final Sample NONE = new Sample(0, 0, 0);

        /** A worker's, now; a report counts half after halfLife. */
        static Sample of(long now, Worker worker, double halfLife) {
            if (worker.reportedAt == 0) {
                return new Sample(worker.slots, 0, 0);
            }
            double freshness = Math.pow(0.5, (now - worker.reportedAt) / halfLife);
            return new Sample(worker.slots, freshness * worker.slots, freshness * worker.usualOtherSlots);
        }
    }

    private double slots, seenSlots, otherSlots;

    /** Puts one sample in the place of another. */
    void replace(Sample before, Sample after) {
        slots += after.slots - before.slots;
        seenSlots += after.seenSlots - before.seenSlots;
        otherSlots += after.otherSlots - before.otherSlots;
    }

    /** The others' slots on all workers. extrapolated: as our own times the others. */
    double estimateOtherSlots(double extrapolated, int dispatchers) {
        if (seenSlots <= ROUNDING_SLOTS) {
            return extrapolated;
        }
        double ownWeight = 1.0 / dispatchers,
                reportWeight = seenSlots / slots * Math.max(0, 1 - FEW_DISPATCHERS / dispatchers);
        return (ownWeight * extrapolated + reportWeight * otherSlots / seenSlots * slots) / (ownWeight + reportWeight);
    }
}
