package barrowshore.halls;

/**
 * What is known of one server as a part of its hall: whether it is listed, what it can do, what of ours is out
 * there, the last sign of it and what speaks against it. It belongs to one {@link HallSettings} and decides nothing.
 */
public final class HallServer {
    /** What speaks against a server. */
    public enum Fault {
        /** Refused, or never come up; or a probe without an answer. */
        UNREACHABLE,
        /** Attempts are out there whose signs are overdue. */
        SILENT,
        /** Connections broke. It says that something happened, not that it lasts. */
        RESET
    }

    final String id;
    int hall = -1;
    boolean listed;
    boolean draining;
    /** Slots, and slots times speed: what it weighs in its hall. */
    double slots = 1;

    double weight = 1;
    long startedAt;
    /** Ours that are out. */
    double slotsOut;

    int jobsOut;
    long lastSignAt = Long.MIN_VALUE / 2;
    /** Since when it is taken for lost, 0: it is not; the last word against it; how many; whether none was firm. */
    long lostSince;

    long lastFaultAt;
    int faultCount;
    boolean onlyResets;
    /**
     * In a hall that returns: since when, whether it has served what was sent since, the slots of ours that it may hold
     * and holds of that, whether a first job is out, and when it may be tried next.
     */
    long provingSince;

    boolean proven;
    double allowedSlots = 1;
    double heldSlots;
    boolean firstJobOut;
    long firstJobSentAt;
    long nextFirstJobAt;
    long lastProbeAt = Long.MIN_VALUE / 2;

    HallServer(String id) {
        this.id = id;
    }

    /** The server's name. */
    public String id() {
        return id;
    }

    boolean isActive() {
        return listed && !draining;
    }

    boolean isLost() {
        return lostSince != 0;
    }

    /** A hall's return begins: nothing is proved yet, and one job at a time finds out. */
    void restartProof(long now, long firstJobAt) {
        provingSince = now;
        proven = false;
        allowedSlots = 1;
        heldSlots = 0;
        firstJobOut = false;
        nextFirstJobAt = firstJobAt;
    }
}
