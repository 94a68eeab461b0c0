package barrowshore.module;

/**
 * What reports and our own jobs together say of the others' load. Each is a sample of it: our own jobs are one dispatcher's
 * share, which may be several times the usual; a report is one worker's. They weigh by the part of the fleet that each
 * has seen. It decides nothing.
 */
final class FleetLoad {
    /** Up to so many dispatchers, each one's own jobs are a fair sample of what all have, and a fresher one than any report. */
    private static final double FEW = 20;

    private FleetLoad() {}

    /** The others' slots on all workers; extrapolated: as our own times the others; a report counts half after halfLife. */
    static double others(long now, Worker[] ready, double extrapolated, int dispatchers, double halfLife) {
        double seen = 0, held = 0, all = 0;
        for (Worker w : ready) {
            all += w.slots;
            if (w.reportedAt > 0) {
                double fresh = Math.pow(0.5, (now - w.reportedAt) / halfLife);
                seen += fresh * w.slots;
                held += fresh * w.usual;
            }
        }
        if (seen == 0) {
            return extrapolated;
        }
        double own = 1.0 / dispatchers, told = seen / all * Math.max(0, 1 - FEW / dispatchers);
        return (own * extrapolated + told * held / seen * all) / (own + told);
    }
}
