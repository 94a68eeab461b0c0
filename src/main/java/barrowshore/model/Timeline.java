package barrowshore.model;

/** Where a model gets its time and its later from: virtual in an emulation, real behind a socket. Times in microseconds. */
public interface Timeline {
    long now();

    /** Runs it at that time or, if that has passed, soon; one that is not wanted any more has to know so itself. */
    void runAt(long time, Runnable action);
}
