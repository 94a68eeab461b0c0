package barrowshore.module;

/**
 * The weight that a decaying mean gives to its old value at each update: one half per half-life. Until about one
 * half-life has passed, it yields the plain mean instead, so that a process that has just started does not take a
 * full fleet for an empty one.
 */
final class DecayWeight {
    private long firstAt = -1, lastAt;

    /** The share of the old value to keep at this update; 0 at the first, and while no time has passed since. */
    double nextKeepShare(long now, double halfLife) {
        long previousAt = lastAt;
        lastAt = now;
        if (firstAt < 0) {
            firstAt = now;
            return 0;
        }
        double plainMeanShare = now > firstAt ? (previousAt - firstAt) / (double) (now - firstAt) : 0;
        return Math.min(plainMeanShare, Math.pow(0.5, (now - previousAt) / halfLife));
    }
}
