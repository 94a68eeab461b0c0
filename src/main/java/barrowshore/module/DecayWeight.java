package barrowshore.module;

/**
 * How much a fading mean keeps of what it held, from one look to the next: half of it in a stated time. In its first
 * such time it is the plain mean of what was seen, or a process that has just started would take a full fleet for an
 * empty one for as long as it takes to forget.
 */
final class DecayWeight {
    private long firstAt = -1, lastAt;

    /** What to keep at this look; the first one keeps nothing, and neither does one with no time since. */
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
