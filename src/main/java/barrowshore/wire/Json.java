package barrowshore.wire;

import java.net.InetSocketAddress;
import org.eclipse.jetty.util.ajax.JSON;

/** Reads JSON, and the addresses written in it. It owns no meaning: what a field is for, its reader knows. */
public final class Json {
    private Json() {}

    /** Parses JSON with lists as {@link java.util.List}; an IllegalArgumentException tells that it is none. */
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

    /** Parses JSON; null if it is none. */
    public static Object parseOrNull(String text) {
        try {
            return parse(text);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    /** Reads address:port; an IllegalArgumentException names the field. */
    public static InetSocketAddress parseAddress(String text, String field) {
        int colon = text.lastIndexOf(':');
        try {
            return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (RuntimeException e) {
            throw new IllegalArgumentException(field + " is not address:port: " + text, e);
        }
    }
}
