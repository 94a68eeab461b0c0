package barrowshore.servers;

/**
 * Decides when a starting scheduler stops waiting for service discovery and serves by the list that it knows from before. No
 * timers and no I/O; {@link ServiceDiscovery} calls it.
 */
final class StartupWait {
    /** How long a starting scheduler waits for an answer of discovery. */
    static final long ANSWER_WAIT_MILLIS = 1000;
    /**
     * The same while discovery answers without a list. It is up, so the scheduler may be deemed informed of what it knows;
     * but it gives the list to nobody, and a scheduler that never gets ready serves nobody.
     */
    static final long REFUSED_WAIT_MILLIS = 4000;
    /**
     * How long a process that starts beside an older one of the same scheduler waits for the list of that one. It must serve
     * within 6 s, its JVM's start included, also where the older one hangs or is of a version that tells no list.
     */
    static final long PREDECESSOR_WAIT_MILLIS = 3000;

    private boolean answerWaitOver;
    private boolean refusedWaitOver;
    private boolean refused;
    private boolean awaitingPredecessor;
    private boolean toldByOtherProcess;
    private boolean ended;

    /** An older process of this scheduler serves, and may tell its list. */
    void awaitPredecessor() {
        awaitingPredecessor = true;
    }

    /** The older process has told its list, has ended, or has not told it in time. */
    void stopAwaitingPredecessor() {
        awaitingPredecessor = false;
    }

    void answerWaitIsOver() {
        answerWaitOver = true;
    }

    void refusedWaitIsOver() {
        refusedWaitOver = true;
    }

    /** Discovery has answered a call without a list. */
    void noteRefused() {
        refused = true;
    }

    /** Another process of this scheduler has told its list, so that there is no need to wait for one that refuses. */
    void noteToldByOtherProcess() {
        toldByOtherProcess = true;
    }

    /**
     * Ends the wait if it is due; false: not now, or it has ended before. Not while a call is open: a starting process short
     * of processor time could otherwise use an outdated list although the answer is already in its socket buffer. Nor while
     * an older process may still tell its list, which may be a later one than that of the configuration.
     */
    boolean endIfDue(boolean callOpen) {
        boolean refusalsOver = !refused || refusedWaitOver || toldByOtherProcess;
        boolean due = answerWaitOver && !callOpen && refusalsOver && !awaitingPredecessor && !ended;
        ended |= due;
        return due;
    }

    boolean hasEnded() {
        return ended;
    }
}
