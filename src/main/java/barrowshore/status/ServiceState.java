package barrowshore.status;

/**
 * Where a scheduler stands towards its clients: serving, sent away by the operators, or ending. A pure state machine:
 * it says what follows from an order, and what clients are told and how their connections go on in each state; it must
 * never know a clock, a connection or who reads it. {@code changeCount} counts the changes, so that what was set for
 * later can tell whether it is still wanted. An end is for good: nothing brings a scheduler back from it.
 */
public record ServiceState(Phase phase, boolean drained, boolean closingConnections, int changeCount) {
    /** What it is there for now. */
    public enum Phase {
        SERVING,
        DRAINED,
        ENDING
    }

    public static final ServiceState SERVING = new ServiceState(Phase.SERVING, false, false, 0);

    /** The operators send clients away; said again, or while it ends, it changes nothing. */
    public ServiceState drain() {
        return phase == Phase.SERVING ? new ServiceState(Phase.DRAINED, true, true, changeCount + 1) : this;
    }

    /** The operators want it back at work. */
    public ServiceState activate() {
        return phase == Phase.DRAINED ? new ServiceState(Phase.SERVING, false, false, changeCount + 1) : this;
    }

    /** It has been told to end; clients that were sent away go on leaving, others may stay for now. */
    public ServiceState end() {
        return phase == Phase.ENDING ? this : new ServiceState(Phase.ENDING, drained, drained, changeCount + 1);
    }

    /** While it ends: clients are to leave from now on. */
    public ServiceState closeConnections() {
        return phase != Phase.ENDING || closingConnections
                ? this
                : new ServiceState(phase, drained, true, changeCount + 1);
    }

    public boolean isEnding() {
        return phase == Phase.ENDING;
    }

    /** Whether a front that asks may be told yes, as far as this goes; an end by itself has its own time for that. */
    public boolean acceptsClients() {
        return !drained;
    }

    /** Whether each answer is the last on its connection. */
    public boolean closesAfterAnswer() {
        return closingConnections;
    }
}
