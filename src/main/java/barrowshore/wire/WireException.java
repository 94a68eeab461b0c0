package barrowshore.wire;

/** A line of the simulator's protocol that cannot be read; the message names the line and the error. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1;

    WireException(String message) {
        super(message);
    }
}
