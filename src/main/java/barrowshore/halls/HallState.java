package barrowshore.halls;

/** What one scheduler takes a hall's condition to be. Names and order are part of log lines, reports and datagrams. */
public enum HallState {
    /** In use; work from other halls is accepted within the spill limit. */
    SERVING,
    /** A large part is lost: servers that are not lost are still used, work from other halls is not sent. */
    DOUBTED,
    /** Not in use except for trial jobs and probes. */
    DARK,
    /** Answering again: each server has to prove itself, and may hold more as it serves. */
    RETURNING,
    /** Dark again too soon after a return (flapping): held off without trials for a time. */
    HELD
}
