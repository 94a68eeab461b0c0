package barrowshore.upgrade;

/** Another process of the same scheduler, as seen from this one. */
public enum OtherProcess {
    /** It was running when this process started. */
    PREDECESSOR,
    /** It was started while this process runs. */
    SUCCESSOR
}
