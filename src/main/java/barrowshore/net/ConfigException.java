package barrowshore.net;

/** A configuration that cannot be used; the text names the field and what is wrong with it, on one line. */
public final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1;

    public ConfigException(String message) {
        super(message);
    }
}
