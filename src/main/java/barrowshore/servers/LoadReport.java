package barrowshore.servers;

import barrowshore.module.DispatchApi.Load;
import java.util.Map;

/** Reads the load reports of servers. */
final class LoadReport {
    /** Upper bound of a plausible value: more requests or free slots than any machine has. */
    private static final double MAX_VALUE = 1e5;

    private LoadReport() {}

    /** Reads parsed JSON: missing or invalid values become NaN; returns null if it is no report at all. */
    static Load parse(Object json) {
        return json instanceof Map<?, ?> map && !map.isEmpty()
                ? new Load(value(map, "inflight"), value(map, "queue"), value(map, "x0"))
                : null;
    }

    /** Returns NaN for an impossible value, which would distort the learned load statistics. */
    private static double value(Map<?, ?> map, String name) {
        double value = map.get(name) instanceof Number n ? n.doubleValue() : Double.NaN;
        return value >= 0 && value <= MAX_VALUE ? value : Double.NaN;
    }
}
