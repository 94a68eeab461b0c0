package barrowshore.servers;

/**
 * The times within which a call to service discovery is repeated, in milliseconds. They are derived from the grace period,
 * which is how long a terminating server may still get new jobs.
 *
 * <p>Once discovery is back after an outage, the scheduler is deemed informed of all that it knows, and a call made during
 * the outage may stay unanswered for ever. So within the grace period a call made just before the return must be overdue,
 * and the next be made and answered. A slow discovery, on the other hand, answers each call late. So an overdue call is
 * followed by another one, but kept open.
 *
 * @param answerTimeout after so long without an answer a call is overdue
 * @param maxPause the longest base of a pause between two calls
 * @param callsPerKeptCall of so many overdue calls in a row one is kept open
 */
record DiscoveryTimeouts(long answerTimeout, long maxPause, int callsPerKeptCall) {
    static final long MIN_PAUSE = 50;
    private static final long MAX_PAUSE_GRACE_DIVISOR = 10, ANSWER_TIMEOUT_GRACE_DIVISOR = 4;
    /** Upper bound however long the grace period: the scheduler is deemed informed 6 s after discovery has a change. */
    private static final long MAX_PAUSE = 500;

    private static final long MAX_ANSWER_TIMEOUT = 500, MIN_ANSWER_TIMEOUT = 100;
    /**
     * How often the answer timeout may double after unanswered calls while there is no list at all: then no job can go to a
     * wrong server, and a slow discovery is spared requests for its whole list.
     */
    private static final int MAX_ANSWER_TIMEOUT_DOUBLINGS = 2;
    /** Bounds how many calls are open at once where the grace period is short. */
    private static final long MIN_KEPT_CALL_INTERVAL = 500;

    static DiscoveryTimeouts of(long graceMicros) {
        long graceMillis = graceMicros / 1000;
        long answerTimeout =
                Math.min(MAX_ANSWER_TIMEOUT, Math.max(MIN_ANSWER_TIMEOUT, graceMillis / ANSWER_TIMEOUT_GRACE_DIVISOR));
        long maxPause = Math.min(MAX_PAUSE, Math.max(MIN_PAUSE, graceMillis / MAX_PAUSE_GRACE_DIVISOR));
        int callsPerKeptCall = (int) ((MIN_KEPT_CALL_INTERVAL + answerTimeout - 1) / answerTimeout);
        return new DiscoveryTimeouts(answerTimeout, maxPause, callsPerKeptCall);
    }

    /** The answer timeout after so many overdue calls in a row. */
    long answerTimeout(int overdueCalls, boolean hasList) {
        return hasList ? answerTimeout : answerTimeout << Math.min(overdueCalls, MAX_ANSWER_TIMEOUT_DOUBLINGS);
    }

    /** Whether a call that is overdue after so many others in a row is kept open. */
    boolean keepsCallAfter(int overdueCalls) {
        return overdueCalls % callsPerKeptCall == 0;
    }
}
