package barrowshore.halls;

/**
 * The state of one server as a member of its hall: listing, capacity, this scheduler's jobs there, and the evidence for
 * and against it. Owned by one {@link Halls}; callers keep it as a handle.
 */
public final class HallServer {
    /** Evidence against a server. */
    public enum Fault {
        /** A connection was refused or never established, or a probe got no answer. */
        UNREACHABLE,
        /** Heartbeats of attempts on the server are overdue. */
        SILENT,
        /** Connections broke: evidence of a moment, not of a lasting fault. */
        RESET
    }

    final String id;
    int hall = -1;
    boolean listed;
    boolean draining;
    double slots = 1;

    /** Slots times speed: its share in the evidence about the hall. */
    double weight = 1;

    long startedAt;
    /** Slots that this scheduler's jobs hold there. */
    double slotsOut;

    int jobsOut;
    long lastSignAt = Long.MIN_VALUE / 2;
    /** Time of the first fault since the last sign of life; 0: none, so the server is not lost. */
    long lostSince;

    long lastFaultAt;
    /** Faults since the last sign of life, and whether all of them were resets. */
    int faultCount;

    boolean onlyResets;
    /** When the server last had to prove itself anew; jobs sent before that prove nothing. */
    long provingSince;
    /** Whether it has served a job sent since then, while its hall was returning. */
    boolean proven;
    /** Slots that this scheduler's jobs may hold, and hold, while the hall returns. */
    double allowedSlots = 1;

    double heldSlots;
    /** Whether the one job that an unproven server may hold is out, when it was sent, and when the next may be. */
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

    /** Whether it is listed and not draining. */
    boolean isActive() {
        return listed && !draining;
    }

    /** Whether there was a fault since the last sign of life. */
    boolean isLost() {
        return lostSince != 0;
    }

    /** Makes the server unproven: it gets one job at a time, not before the given time. */
    void restartProof(long now, long firstJobAt) {
        provingSince = now;
        proven = false;
        allowedSlots = 1;
        heldSlots = 0;
        firstJobOut = false;
        nextFirstJobAt = firstJobAt;
    }
}
