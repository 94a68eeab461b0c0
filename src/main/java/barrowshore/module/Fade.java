package barrowshore.module;

/**
 * How much a fading mean keeps of what it held, from one look to the next: half of it in a stated time. In its first
 * such time it is the plain mean of what was seen, or a process that has just started would take a full fleet for an
 * empty one for as long as it takes to forget.
 */
final class Fade {
    private long bornAt = -1, at;

    /** What to keep at this look; the first one keeps nothing, and neither does one with no time since. */
    double keep(long now, double halfLife) {
        long before = at;
        at = now;
        if (bornAt < 0) {
            bornAt = now;
            return 0;
        }
        double plain = now > bornAt ? (before - bornAt) / (double) (now - bornAt) : 0;
        return Math.min(plain, Math.pow(0.5, (now - before) / halfLife));
    }
}
