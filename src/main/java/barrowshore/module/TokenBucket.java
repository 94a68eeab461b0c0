package barrowshore.module;

/** A token bucket that its user fills explicitly. */
final class TokenBucket {
    private final double capacity;
    private double tokens;

    TokenBucket(double capacity, double tokens) {
        this.capacity = capacity;
        this.tokens = tokens;
    }

    void add(double amount) {
        tokens = Math.min(capacity, tokens + amount);
    }

    /** Takes one token; false if there is none. */
    boolean tryTake() {
        boolean hasToken = tokens >= 1;
        tokens -= hasToken ? 1 : 0;
        return hasToken;
    }
}
