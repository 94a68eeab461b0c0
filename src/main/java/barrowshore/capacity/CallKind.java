package barrowshore.capacity;

/** The kinds of calls into a decision module ({@code Dispatcher}), each either control or request work. */
enum CallKind {
    START(true),
    REFRESH(true),
    DATAGRAM(true),
    LIST(true),
    SETTINGS(true),
    REQUEST(false),
    NOTE(false),
    OUTCOME(false);

    /** Whether the call keeps the state of the fleet up to date, rather than handles a request. */
    final boolean control;

    CallKind(boolean control) {
        this.control = control;
    }
}
