package barrowshore.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares what two configurations consist of, whatever their values: a file that was cut or half written lacks keys that
 * the one in use has. It owns no meaning, and must never object to what is new.
 */
final class Shape {
    private Shape() {}

    /** The first key that the later one lacks or has in another form, with what is wrong; null: none. */
    static String lost(String path, Object now, Object next) {
        if (next == null) {
            return path + " is missing";
        }
        if (now instanceof Map<?, ?> map) {
            return next instanceof Map<?, ?> other ? lost(path, map, other) : path + " is not an object";
        }
        if (now instanceof List<?> list) {
            return next instanceof List<?> other ? lost(path, list, other) : path + " is not a list";
        }
        if (now instanceof Number && !(next instanceof Number)
                || now instanceof Boolean && !(next instanceof Boolean)
                || now instanceof String && !(next instanceof String)) {
            return path + " is not a "
                    + (now instanceof Number ? "number" : now instanceof Boolean ? "truth value" : "text");
        }
        return null;
    }

    private static String lost(String path, Map<?, ?> now, Map<?, ?> next) {
        for (Map.Entry<?, ?> each : now.entrySet()) {
            String lost = each.getValue() == null
                    ? null
                    : lost(
                            path.isEmpty() ? "" + each.getKey() : path + "." + each.getKey(),
                            each.getValue(),
                            next.get(each.getKey()));
            if (lost != null) {
                return lost;
            }
        }
        return null;
    }

    /** Items come and go; each has what all items had. */
    private static String lost(String path, List<?> now, List<?> next) {
        Map<Object, Object> common = null;
        for (Object item : now) {
            if (!(item instanceof Map<?, ?> map)) {
                return null;
            }
            if (common == null) {
                common = new HashMap<>(map);
            }
            common.keySet().retainAll(map.keySet());
        }
        for (int k = 0; common != null && k < next.size(); k++) {
            String lost = lost(path + "." + k, common, next.get(k));
            if (lost != null) {
                return lost;
            }
        }
        return null;
    }
}
