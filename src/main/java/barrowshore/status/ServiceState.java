package barrowshore.status;

/**
 * A scheduler's service state towards its clients: serving, drained by operators, or ending, which is final. An immutable
 * state machine without clock or I/O: each command returns the next state.
 *
 * @param phase the current phase
 * @param drained whether operators have sent the clients away
 * @param closingConnections whether each answer is the last on its connection
 * @param changeCount the number of changes, from which a delayed task can tell whether it is still valid
 */
public record ServiceState(Phase phase, boolean drained, boolean closingConnections, int changeCount) {
    /** What a scheduler is doing for its clients. */
    public enum Phase {
        SERVING,
        DRAINED,
        ENDING
    }

    public static final ServiceState SERVING = new ServiceState(Phase.SERVING, false, false, 0);

    /** Operators send the clients away. No effect if already drained or ending. */
    public ServiceState drain() {
        return phase == Phase.SERVING ? new ServiceState(Phase.DRAINED, true, true, changeCount + 1) : this;
    }

    /** Operators end the drain. No effect in any other phase. */
    public ServiceState activate() {
        return phase == Phase.DRAINED ? new ServiceState(Phase.SERVING, false, false, changeCount + 1) : this;
    }

    /** Shutdown begins. If drained, connections keep closing; otherwise they stay until {@link #closeConnections}. */
    public ServiceState end() {
        return phase == Phase.ENDING ? this : new ServiceState(Phase.ENDING, drained, drained, changeCount + 1);
    }

    /** While ending, closes each connection after its next answer. No effect in any other phase. */
    public ServiceState closeConnections() {
        return phase != Phase.ENDING || closingConnections
                ? this
                : new ServiceState(phase, drained, true, changeCount + 1);
    }

    public boolean isEnding() {
        return phase == Phase.ENDING;
    }

    /** Whether a load balancer's readiness check may pass; a shutdown without drain fails it separately, at its own time. */
    public boolean acceptsClients() {
        return !drained;
    }

    /** Whether to close each connection after its next answer. */
    public boolean closesAfterAnswer() {
        return closingConnections;
    }
}
