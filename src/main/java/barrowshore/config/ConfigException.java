package barrowshore.config;

/** A configuration that cannot be used; the text names the field and what is wrong with it, on one line. */
public final class ConfigException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    public ConfigException(String message) {
        super(message);
    }
}
