package barrowshore.wire;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import org.eclipse.jetty.util.ajax.JSON;

/** Parses and writes JSON text, and parses the addresses in it. */
public final class Json {
    private static final String ESCAPED_CHARACTERS = "\"\\/bfnrt";
    /** Hexadecimal digits behind {@code \\u}. */
    private static final int UNICODE_ESCAPE_DIGITS = 4;

    private Json() {}

    /** Parses JSON, arrays as {@link java.util.List}; text that is not JSON gets an IllegalArgumentException. */
    public static Object parse(String text) {
        return parse(new JSON(), new JSON.StringSource(text));
    }

    private static Object parse(JSON json, JSON.Source source) {
        json.setArrayConverter(list -> list);
        try {
            return json.parse(source);
        } catch (RuntimeException e) {
            throw new IllegalArgumentException(
                    "not JSON: " + String.valueOf(e.getMessage()).replace('\n', ' '), e);
        } catch (StackOverflowError e) {
            throw new IllegalArgumentException("not JSON that can be read: nested too deeply", e);
        }
    }

    /**
     * Parses text that is one JSON object, and rejects what a lenient reader might take for something else than its writer
     * meant: text behind the object, a name that comes twice, and an invalid escape. Such text gets an
     * IllegalArgumentException.
     */
    public static Map<?, ?> parseStrictObject(String text) {
        JSON.Source source = new JSON.StringSource(text);
        if (!(parse(new UniqueNamesJson(), source) instanceof Map<?, ?> object)) {
            throw new IllegalArgumentException("not a JSON object");
        }
        while (source.hasNext()) {
            if (!Character.isWhitespace(source.next())) {
                throw new IllegalArgumentException("text behind the JSON object");
            }
        }
        if (hasInvalidEscape(text)) {
            throw new IllegalArgumentException("invalid escape in JSON");
        }
        return object;
    }

    private static boolean hasInvalidEscape(String text) {
        int backslash = text.indexOf('\\');
        while (backslash >= 0) {
            if (!isEscape(text, backslash + 1)) {
                return true;
            }
            backslash = text.indexOf('\\', backslash + 2);
        }
        return false;
    }

    /** Whether the text behind a backslash makes it an escape of JSON. */
    private static boolean isEscape(String text, int start) {
        if (start >= text.length() || ESCAPED_CHARACTERS.indexOf(text.charAt(start)) >= 0) {
            return start < text.length();
        }
        int end = start + 1 + UNICODE_ESCAPE_DIGITS;
        return text.charAt(start) == 'u'
                && end <= text.length()
                && text.substring(start + 1, end).chars().allMatch(HexFormat::isHexDigit);
    }

    /** A parser that rejects an object in which a name comes twice. */
    private static final class UniqueNamesJson extends JSON {
        @Override
        protected Map<String, Object> newMap() {
            return new HashMap<>() {
                private static final long serialVersionUID = 1;

                @Override
                public Object put(String name, Object value) {
                    if (containsKey(name)) {
                        throw new IllegalArgumentException("a name comes twice");
                    }
                    return super.put(name, value);
                }
            };
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

    /** Writes maps with text keys, collections, texts, numbers and Boolean values as JSON, on one line. */
    public static String write(Object value) {
        return new JSON().toJSON(value);
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
