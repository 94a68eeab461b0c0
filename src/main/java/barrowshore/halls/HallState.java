package barrowshore.halls;

/** Where a hall stands with one scheduler. */
public enum HallState {
    /** In use; foreign work is welcome within the spill limit. */
    SERVING,
    /** Much of it gives no sign: what is not itself in doubt is still used, foreign work is not sent. */
    DOUBTED,
    /** Not in use but for trials. */
    DARK,
    /** Coming back: each server proves itself, and takes more as it serves. */
    RETURNING,
    /** Dark again too soon after a return: left alone for a time. */
    HELD
}
