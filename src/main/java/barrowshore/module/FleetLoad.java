package barrowshore.module;

/**
 * What reports and our own jobs together say of the others' load. Each is a sample of it: our own jobs are one dispatcher's
 * share, which may be several times the usual; a report is one worker's. They weigh by the part of the fleet that each
 * has seen. Samples are added and taken back one by one, so that no worker is gone over that has not changed. It decides
 * nothing.
 */
final class FleetLoad {
    /** Up to so many dispatchers, each one's own jobs are a fair sample, and a fresher one than any report. */
    private static final double FEW = 20;
    /** What is left of sums when all has been taken back, but for rounding. */
    private static final double NOTHING = 1e-9;

    /** What is known of one worker: its slots; the part of them seen, by the age of its report; what others usually hold. */
    record Sample(double slots, double seen, double held) {
        static final Sample NONE = new Sample(0, 0, 0);

        /** A worker's, now; a report counts half after halfLife. */
        static Sample of(long now, Worker w, double halfLife) {
            if (w.reportedAt == 0) {
                return new Sample(w.slots, 0, 0);
            }
            double fresh = Math.pow(0.5, (now - w.reportedAt) / halfLife);
            return new Sample(w.slots, fresh * w.slots, fresh * w.usual);
        }
    }

    private double slots, seen, held;

    /** Puts one sample in the place of another. */
    void replace(Sample before, Sample after) {
        slots += after.slots - before.slots;
        seen += after.seen - before.seen;
        held += after.held - before.held;
    }

    /** The others' slots on all workers. extrapolated: as our own times the others. */
    double others(double extrapolated, int dispatchers) {
        if (seen <= NOTHING) {
            return extrapolated;
        }
        double own = 1.0 / dispatchers, told = seen / slots * Math.max(0, 1 - FEW / dispatchers);
        return (own * extrapolated + told * held / seen * slots) / (own + told);
    }
}
