package barrowshore.module;

/** What jobs have shown of one worker, fading: sums that halve in a stated time. It decides nothing. */
final class Evidence {
    /** Work done at speed 1, how long it took, errors, and ends of any kind. */
    double work, took, errors, ends;

    private long fadedAt;

    void fade(long now, double halfLife) {
        double keep = Math.pow(0.5, (now - fadedAt) / halfLife);
        work *= keep;
        took *= keep;
        errors *= keep;
        ends *= keep;
        fadedAt = now;
    }
}
