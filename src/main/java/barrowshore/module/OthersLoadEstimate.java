package barrowshore.module;

/**
 * Estimates the other dispatchers' load from load reports and our own jobs, for {@link FleetView}. Our jobs are one
 * dispatcher's share, which may be several times the mean; a report covers one worker. Each weighs by the part of the
 * fleet that it covers. Samples are replaced one by one, so that unchanged workers cost nothing.
 */
final class OthersLoadEstimate {
    /** Up to this many dispatchers, our own jobs are a fair sample, and fresher than any report. */
    private static final double FEW_DISPATCHERS = 20;
    /** Sums up to this are rounding errors left after all samples have been taken out. */
    private static final double ROUNDING_SLOTS = 1e-9;

    /** One worker's slots; those covered by its report, and the others' mean slots, both discounted by its age. */
    record Sample(double slots, double seenSlots, double otherSlots) {
        static final Sample NONE = new Sample(0, 0, 0);

        /** The worker's sample now; its report counts half after halfLife. */
        static Sample of(long now, Worker worker, double halfLife) {
            if (worker.reportedAt == 0) {
                return new Sample(worker.slots, 0, 0);
            }
            double freshness = Math.pow(0.5, (now - worker.reportedAt) / halfLife);
            return new Sample(worker.slots, freshness * worker.slots, freshness * worker.meanOtherSlots);
        }
    }

    private double slots, seenSlots, otherSlots;

    /** Replaces a sample; {@code NONE} adds or removes one. */
    void replace(Sample before, Sample after) {
        slots += after.slots - before.slots;
        seenSlots += after.seenSlots - before.seenSlots;
        otherSlots += after.otherSlots - before.otherSlots;
    }

    /** The others' slots on all workers. extrapolated: our own slots times the number of other dispatchers. */
    double estimateOtherSlots(double extrapolated, int dispatchers) {
        if (seenSlots <= ROUNDING_SLOTS) {
            return extrapolated;
        }
        double ownWeight = 1.0 / dispatchers,
                reportWeight = seenSlots / slots * Math.max(0, 1 - FEW_DISPATCHERS / dispatchers);
        return (ownWeight * extrapolated + reportWeight * otherSlots / seenSlots * slots) / (ownWeight + reportWeight);
    }
}
