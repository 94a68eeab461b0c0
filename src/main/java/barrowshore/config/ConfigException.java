package barrowshore.config;

/** A configuration that cannot be used; the message names the field and the error, on one line. */
public final class ConfigException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    public ConfigException(String message) {
        super(message);
    }
}
