package barrowshore.module;

/** A token bucket; it decides nothing. */
final class TokenBucket {
    private final double most;
    private double tokens;

    TokenBucket(double most, double tokens) {
        this.most = most;
        this.tokens = tokens;
    }

    void add(double more) {
        tokens = Math.min(most, tokens + more);
    }

    /** Takes one token; false if there is none. */
    boolean take() {
        boolean there = tokens >= 1;
        tokens -= there ? 1 : 0;
        return there;
    }
}
