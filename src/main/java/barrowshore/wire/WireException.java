package barrowshore.wire;

/** A message on the wire that cannot be read; the text names the line and what is wrong with it. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1;

    WireException(String message) {
        super(message);
    }
}
