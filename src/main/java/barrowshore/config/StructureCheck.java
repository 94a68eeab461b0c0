package barrowshore.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares the keys and types of two configurations, not their values: a truncated or half-written file lacks keys that the
 * running configuration has. Additional keys are accepted.
 */
final class StructureCheck {
    private StructureCheck() {}

    /** The path of the first key that the candidate lacks or has with another type, and the error; null if none. */
    static String firstMismatch(String path, Object current, Object candidate) {
        if (candidate == null) {
            return path + " is missing";
        }
        if (current instanceof Map<?, ?> map) {
            return candidate instanceof Map<?, ?> candidateMap
                    ? firstMismatch(path, map, candidateMap)
                    : path + " is not an object";
        }
        if (current instanceof List<?> list) {
            return candidate instanceof List<?> candidateMap
                    ? firstMismatch(path, list, candidateMap)
                    : path + " is not a list";
        }
        if (current instanceof Number && !(candidate instanceof Number)
                || current instanceof Boolean && !(candidate instanceof Boolean)
                || current instanceof String && !(candidate instanceof String)) {
            return path + " is not a "
                    + (current instanceof Number ? "number" : current instanceof Boolean ? "truth value" : "text");
        }
        return null;
    }

    private static String firstMismatch(String path, Map<?, ?> current, Map<?, ?> candidate) {
        for (Map.Entry<?, ?> entry : current.entrySet()) {
            String mismatch = entry.getValue() == null
                    ? null
                    : firstMismatch(
                            path.isEmpty() ? "" + entry.getKey() : path + "." + entry.getKey(),
                            entry.getValue(),
                            candidate.get(entry.getKey()));
            if (mismatch != null) {
                return mismatch;
            }
        }
        return null;
    }

    /** Lists may change in length, but each item must have the keys that all current items share. */
    private static String firstMismatch(String path, List<?> current, List<?> candidate) {
        Map<Object, Object> commonFields = null;
        for (Object item : current) {
            if (!(item instanceof Map<?, ?> map)) {
                return null;
            }
            if (commonFields == null) {
                commonFields = new HashMap<>(map);
            }
            commonFields.keySet().retainAll(map.keySet());
        }
        for (int k = 0; commonFields != null && k < candidate.size(); k++) {
            String mismatch = firstMismatch(path + "." + k, commonFields, candidate.get(k));
            if (mismatch != null) {
                return mismatch;
            }
        }
        return null;
    }
}
