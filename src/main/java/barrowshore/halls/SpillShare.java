package barrowshore.halls;

import java.util.Arrays;

/**
 * One scheduler's part of what a foreign hall lends to all others, without a central counter. Each has an even part.
 * One whose own hall serves and that needs little lends, when another asks: it promises to keep to less, and each of
 * the others may use an even part of what it gave up. A promise counts for {@link #PROMISE_VALID_MICROS} after it is
 * heard, and is kept for {@link #PROMISE_BINDING_MICROS} after it was last told, so that no loss, delay (up to 0.9 s: a
 * part once worked out is used for a tenth) or overtaking of messages lets the sum of all parts exceed the whole. It
 * decides nothing on requests.
 *
 * <p>Why the sum holds: who lends does not borrow. With F schedulers of even part e, a lender j keeps to r_j, and the
 * others get (e - r_j) / (F - 1) each, e - r_j at most in all; so all together stay within F e. What is out when a loan
 * ends runs on; so after a loan the lender waits for what the others tell that they still use.
 */
final class SpillShare {
    /** How long a promise counts after it was heard, and how long it is kept after it was told. */
    static final long PROMISE_VALID_MICROS = 1_000_000;

    static final long PROMISE_BINDING_MICROS = 2_000_000;
    /** The least that a lender keeps, as a share of the even part; its need is met with twice its height to spare. */
    private static final double MIN_KEPT_SHARE = 0.25;

    private static final double NEED_HEADROOM_FACTOR = 2;
    /** Half-life of the memory of a need. */
    private static final double NEED_HALF_LIFE_MICROS = 2e6;
    /** Promises go as whole 255ths of the even part; this is all of it. */
    static final int FULL_PART_255THS = 255;

    /** What another scheduler told last: what it keeps to, what it uses in all, whether it asks for more. */
    private static final class PeerReport {
        int promise255ths = FULL_PART_255THS;
        double usedSlots;
        boolean asksForMore;
        long lastHeardAt = Long.MIN_VALUE / 2;
    }

    private final PeerReport[] peerReports;
    private final int ownIndex;
    private double usedSlots;
    private double neededSlots;
    private long neededAt;
    /** The lowest of our promises that still binds us, when it was last told, and whether we have lent at all. */
    private int bindingPromise255ths = FULL_PART_255THS;

    private long bindingPromiseAt = Long.MIN_VALUE / 2;
    private boolean everLent;
    private long lastAskedAt = Long.MIN_VALUE / 2;

    SpillShare(int schedulers, int ownIndex) {
        peerReports = new PeerReport[schedulers];
        Arrays.setAll(peerReports, j -> new PeerReport());
        this.ownIndex = ownIndex;
    }

    double usedSlots() {
        return usedSlots;
    }

    void addUsedSlots(long now, double change) {
        usedSlots = Math.max(0, usedSlots + change);
        recordNeed(now, usedSlots);
    }

    /** A request would need so much in all. */
    private void recordNeed(long now, double slots) {
        neededSlots = Math.max(slots, neededSlots * Math.pow(0.5, Math.max(0, now - neededAt) / NEED_HALF_LIFE_MICROS));
        neededAt = now;
    }

    /** A request found our part too small. */
    void askForMore(long now, double slots) {
        recordNeed(now, slots);
        lastAskedAt = now;
    }

    boolean asksForMore(long now) {
        return now - lastAskedAt <= PROMISE_VALID_MICROS;
    }

    private boolean isLending(long now) {
        return now - bindingPromiseAt <= PROMISE_BINDING_MICROS;
    }

    /** Slots that may be out, for an even part of so many and so many schedulers that share the whole. */
    double slotLimit(long now, double evenPart, int spillers) {
        if (isLending(now)) {
            return evenPart * bindingPromise255ths / FULL_PART_255THS;
        }
        double borrowed = 0;
        double unusedByPeers = evenPart * spillers;
        for (int j = 0; j < peerReports.length; j++) {
            if (j != ownIndex && now - peerReports[j].lastHeardAt <= PROMISE_VALID_MICROS) {
                borrowed += evenPart
                        * (FULL_PART_255THS - peerReports[j].promise255ths)
                        / FULL_PART_255THS
                        / Math.max(1, spillers - 1);
                unusedByPeers -= peerReports[j].usedSlots;
            }
        }
        return Math.min(evenPart, everLent ? Math.max(0, unusedByPeers) : evenPart) + borrowed;
    }

    /** What we tell that we keep to, in 255ths of our even part; from here on it binds us. */
    int nextPromise255ths(long now, double evenPart, boolean mayLend) {
        recordNeed(now, usedSlots);
        boolean asked = false;
        for (int j = 0; j < peerReports.length; j++) {
            asked |= j != ownIndex
                    && peerReports[j].asksForMore
                    && now - peerReports[j].lastHeardAt <= PROMISE_VALID_MICROS;
        }
        double keptShare = evenPart <= 0 || !mayLend || !asked || asksForMore(now)
                ? 1
                : Math.max(MIN_KEPT_SHARE, NEED_HEADROOM_FACTOR * neededSlots / evenPart);
        int promise = Math.min(FULL_PART_255THS, (int) Math.ceil(keptShare * FULL_PART_255THS));
        if (promise == FULL_PART_255THS || isLending(now) && promise > bindingPromise255ths) {
            return FULL_PART_255THS; // never a promise between: when the lower one has run out, nothing may bind any
            // more
        }
        bindingPromise255ths = promise;
        bindingPromiseAt = now;
        everLent = true;
        return promise;
    }

    void recordPeerReport(long now, int from, int promise255ths, double usedSlots, boolean asksForMore) {
        PeerReport report = peerReports[from];
        report.promise255ths = promise255ths;
        report.usedSlots = usedSlots;
        report.asksForMore = asksForMore;
        report.lastHeardAt = now;
    }
}
