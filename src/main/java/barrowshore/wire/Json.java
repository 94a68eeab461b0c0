package barrowshore.wire;

import java.net.InetSocketAddress;
import org.eclipse.jetty.util.ajax.JSON;

/** Parses JSON text and the addresses in it. */
public final class Json {
    private Json() {}

    /** Parses JSON, arrays as {@link java.util.List}; text that is not JSON gets an IllegalArgumentException. */
    public static Object parse(String text) {
        JSON json = new JSON();
        json.setArrayConverter(list -> list);
        try {
            return json.fromJSON(text);
        } catch (RuntimeException e) {
            throw new IllegalArgumentException(
                    "not JSON: " + String.valueOf(e.getMessage()).replace('\n', ' '), e);
        }
    }

    /** Parses JSON; null if the text is not JSON. */
    public static Object parseOrNull(String text) {
        try {
            return parse(text);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    /** Parses address:port; an IllegalArgumentException names the field and its text. */
    public static InetSocketAddress parseAddress(String text, String field) {
        int colon = text.lastIndexOf(':');
        try {
            return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (RuntimeException e) {
            throw new IllegalArgumentException(field + " is not address:port: " + text, e);
        }
    }
}
