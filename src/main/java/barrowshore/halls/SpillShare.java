package barrowshore.halls;

import java.util.Arrays;

/**
 * One scheduler's part of what a foreign hall lends to all others, without a central counter. Each has an even part.
 * One whose own hall serves and that needs little lends, when another asks: it promises to keep to less, and each of
 * the others may use an even part of what it gave up. A promise counts for {@link #VALID} after it is heard, and is kept
 * for {@link #HOLD} after it was last told, so that no loss, delay (up to 0.9 s: a part once worked out is used for a
 * tenth) or overtaking of messages lets the sum of all parts exceed the whole. It decides nothing on requests.
 *
 * <p>Why the sum holds: who lends does not borrow. With F schedulers of even part e, a lender j keeps to r_j, and the
 * others get (e - r_j) / (F - 1) each, e - r_j at most in all; so all together stay within F e. What is out when a loan
 * ends runs on; so after a loan the lender waits for what the others tell that they still use.
 */
final class SpillShare {
    /** How long a promise counts after it was heard, and how long it is kept after it was told. */
    static final long VALID = 1_000_000;

    static final long HOLD = 2_000_000;
    /** The least that a lender keeps, as a share of the even part; its need is met with twice its height to spare. */
    private static final double KEPT = 0.25;

    private static final double SPARE = 2;
    /** Half-life of the memory of a need. */
    private static final double MEMORY = 2e6;
    /** Promises go as whole 255ths of the even part; this is all of it. */
    static final int WHOLE = 255;

    /** What another scheduler told last: what it keeps to, what it uses in all, whether it asks for more. */
    private static final class Other {
        int promise = WHOLE;
        double used;
        boolean asks;
        long heardAt = Long.MIN_VALUE / 2;
    }

    private final Other[] others;
    private final int me;
    private double used;
    private double need;
    private long needAt;
    /** The lowest of our promises that still binds us, when it was last told, and whether we have lent at all. */
    private int lowest = WHOLE;

    private long lowestAt = Long.MIN_VALUE / 2;
    private boolean lent;
    private long askedAt = Long.MIN_VALUE / 2;

    SpillShare(int schedulers, int me) {
        others = new Other[schedulers];
        Arrays.setAll(others, j -> new Other());
        this.me = me;
    }

    double used() {
        return used;
    }

    void use(long now, double change) {
        used = Math.max(0, used + change);
        want(now, used);
    }

    /** A request would need so much in all. */
    private void want(long now, double slots) {
        need = Math.max(slots, need * Math.pow(0.5, Math.max(0, now - needAt) / MEMORY));
        needAt = now;
    }

    /** A request found our part too small. */
    void ask(long now, double slots) {
        want(now, slots);
        askedAt = now;
    }

    boolean asks(long now) {
        return now - askedAt <= VALID;
    }

    private boolean lends(long now) {
        return now - lowestAt <= HOLD;
    }

    /** Slots that may be out, for an even part of so many and so many schedulers that share the whole. */
    double bound(long now, double even, int sharers) {
        if (lends(now)) {
            return even * lowest / WHOLE;
        }
        double more = 0;
        double rest = even * sharers;
        for (int j = 0; j < others.length; j++) {
            if (j != me && now - others[j].heardAt <= VALID) {
                more += even * (WHOLE - others[j].promise) / WHOLE / Math.max(1, sharers - 1);
                rest -= others[j].used;
            }
        }
        return Math.min(even, lent ? Math.max(0, rest) : even) + more;
    }

    /** What we tell that we keep to, in 255ths of our even part; from here on it binds us. */
    int tell(long now, double even, boolean mayLend) {
        want(now, used);
        boolean asked = false;
        for (int j = 0; j < others.length; j++) {
            asked |= j != me && others[j].asks && now - others[j].heardAt <= VALID;
        }
        double share = even <= 0 || !mayLend || !asked || asks(now) ? 1 : Math.max(KEPT, SPARE * need / even);
        int promise = Math.min(WHOLE, (int) Math.ceil(share * WHOLE));
        if (promise == WHOLE || lends(now) && promise > lowest) {
            return WHOLE; // never a promise between: when the lower one has run out, nothing may bind any more
        }
        lowest = promise;
        lowestAt = now;
        lent = true;
        return promise;
    }

    void heard(long now, int from, int promise, double used, boolean asks) {
        Other other = others[from];
        other.promise = promise;
        other.used = used;
        other.asks = asks;
        other.heardAt = now;
    }
}
