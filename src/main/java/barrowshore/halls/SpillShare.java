package barrowshore.halls;

import java.util.Arrays;

/**
 * One scheduler's part of the slots that a foreign hall offers to spilled work, shared without a central counter. Owned by
 * {@link Halls}, one for each hall. Every scheduler has an even part. One whose home hall serves and that needs little
 * lends when another asks: it promises to keep to less, and each of the others may use an even part of the difference.
 *
 * <p>A promise counts for {@link #PROMISE_VALID_MICROS} after it is received and binds its sender for
 * {@link #PROMISE_BINDING_MICROS} after it was last sent. The difference covers loss, reordering and delays of up to 0.9 s
 * (receivers cache a limit for 0.1 s), so that the sum of all limits never exceeds the total.
 *
 * <p>Why the sum holds: a lender does not borrow. With F schedulers of even part e, lender j keeps to r_j and the others
 * get (e - r_j) / (F - 1) each, at most e - r_j together, so that all stay within F e. Borrowers' jobs outlive a loan, so
 * after it a lender's limit allows for the slots that the others report as still used.
 */
final class SpillShare {
    /** How long a received promise, or a request for more, counts. */
    static final long PROMISE_VALID_MICROS = 1_000_000;

    /** How long a promise binds its sender. */
    static final long PROMISE_BINDING_MICROS = 2_000_000;
    /** The least that a lender keeps, as a share of its even part. */
    private static final double MIN_KEPT_SHARE = 0.25;

    /** A lender keeps this multiple of its recent need. */
    private static final double NEED_HEADROOM_FACTOR = 2;
    /** The recent need decays by half in this time. */
    private static final double NEED_HALF_LIFE_MICROS = 2e6;
    /** Promises are sent in 255ths of the even part; this is all of it, a promise that lends nothing. */
    static final int FULL_PART_255THS = 255;

    /** Another scheduler's last report: the part it keeps to, the slots it uses, whether it asks for more. */
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
    /** The lowest own promise that is still binding, and when it was last sent. */
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

    /** Raises the decaying recent need to this total of slots. */
    private void recordNeed(long now, double slots) {
        neededSlots = Math.max(slots, neededSlots * Math.pow(0.5, Math.max(0, now - neededAt) / NEED_HALF_LIFE_MICROS));
        neededAt = now;
    }

    /** Asks the others for a loan: a request would need this total of slots, more than the limit. */
    void askForMore(long now, double neededSlots) {
        recordNeed(now, neededSlots);
        lastAskedAt = now;
    }

    boolean asksForMore(long now) {
        return now - lastAskedAt <= PROMISE_VALID_MICROS;
    }

    private boolean isLending(long now) {
        return now - bindingPromiseAt <= PROMISE_BINDING_MICROS;
    }

    /** Slots that this scheduler's jobs may hold now, where so many spilling schedulers have the given even part each. */
    double slotLimit(long now, double evenPart, int spillingSchedulers) {
        if (isLending(now)) {
            return evenPart * bindingPromise255ths / FULL_PART_255THS;
        }
        double borrowed = 0;
        double unusedByPeers = evenPart * spillingSchedulers;
        for (int j = 0; j < peerReports.length; j++) {
            if (j != ownIndex && now - peerReports[j].lastHeardAt <= PROMISE_VALID_MICROS) {
                borrowed += evenPart
                        * (FULL_PART_255THS - peerReports[j].promise255ths)
                        / FULL_PART_255THS
                        / Math.max(1, spillingSchedulers - 1);
                unusedByPeers -= peerReports[j].usedSlots;
            }
        }
        return Math.min(evenPart, everLent ? Math.max(0, unusedByPeers) : evenPart) + borrowed;
    }

    /** The promise to send now, in 255ths of the even part; it binds this scheduler from here on. */
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
            return FULL_PART_255THS; // no promise above a binding lower one: none may outlive the lower one
        }
        bindingPromise255ths = promise;
        bindingPromiseAt = now;
        everLent = true;
        return promise;
    }

    /** Takes in another scheduler's report. */
    void recordPeerReport(long now, int from, int promise255ths, double usedSlots, boolean asksForMore) {
        PeerReport report = peerReports[from];
        report.promise255ths = promise255ths;
        report.usedSlots = usedSlots;
        report.asksForMore = asksForMore;
        report.lastHeardAt = now;
    }
}
