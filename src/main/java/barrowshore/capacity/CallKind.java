package barrowshore.capacity;

/** The calls into a decision module, told apart into control and request work. */
enum CallKind {
    START(true),
    REFRESH(true),
    DATAGRAM(true),
    LIST(true),
    SETTINGS(true),
    REQUEST(false),
    NOTE(false),
    OUTCOME(false);

    /** Whether it is spent on knowing the fleet, apart from the requests themselves. */
    final boolean control;

    CallKind(boolean control) {
        this.control = control;
    }
}
