package barrowshore.model;

/** The clock and timers of a model: virtual in an emulation, real behind a socket. Times are in microseconds. */
public interface Timeline {
    long now();

    /**
     * Runs the action at that time, or soon if it has passed. There is no cancelling: an outdated action must do
     * nothing.
     */
    void runAt(long time, Runnable action);
}
