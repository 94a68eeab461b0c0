package barrowshore;

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

    /** As figures for another dispatcher; the order is that of {@link #recall}. */
    double[] figures() {
        return new double[] {work, took, errors, ends, fadedAt};
    }

    void recall(double[] f) {
        work = f[0];
        took = f[1];
        errors = f[2];
        ends = f[3];
        fadedAt = (long) f[4];
    }
}
