package barrowshore.capacity;

import java.util.Locale;

/**
 * The measured metrics, per scheduler unless the label says otherwise, with the limit at the target size where there is
 * one.
 */
public enum Metric {
    STARTED("tasks started, all schedulers", "1/s"),
    STARTED_AGAIN("second copies started", "1/s"),
    RUNNING("tasks running, all workers", "tasks"),
    TURNED_DOWN("requests turned down", "%"),
    FAILED("requests failed", "%"),
    URGENT_START_P99("urgent tasks: start, 99th percentile", "s", CapacityTarget.TARGET.urgentStartSeconds()),
    DATAGRAMS_OUT("datagrams out, one for each telling", "1/s"),
    DATAGRAMS_OUT_PER_PEER("datagrams out, one for each peer", "1/s"),
    DATAGRAMS_IN("datagrams in", "1/s"),
    BYTES_OUT("bytes out, one for each telling", "B/s"),
    BYTES_OUT_PER_PEER("bytes out, one for each peer", "B/s"),
    BYTES_IN("bytes in", "B/s"),
    CONTROL_BYTES("bytes in and out, one for each telling", "B/s", CapacityTarget.TARGET.controlBytesPerSecond()),
    REFRESHES("refreshes", "1/s"),
    REFRESH_VISITS("entries visited in a refresh", "entries"),
    DATAGRAM_VISITS("entries visited for a datagram", "entries"),
    PICK_VISITS("entries visited in a pick", "entries"),
    UPKEEP_VISITS("entries visited in refreshes and for datagrams", "1/s"),
    LIST_ENTRIES("list entries applied", "1/s"),
    SETTINGS_CHANGES("changes of configuration applied", "1/s"),
    ENTRIES_HELD("entries held", "entries"),
    BYTES_HELD("bytes held, estimated", "B", CapacityTarget.TARGET.controlMemoryBytes()),
    HEAP_HELD("bytes held, by the heap after collection", "B", CapacityTarget.TARGET.controlMemoryBytes(), true),
    CONTROL_TIME("control", "% of a core", CapacityTarget.TARGET.controlCorePercent(), true),
    REFRESH_TIME("  refreshes", "% of a core", Double.NaN, true),
    DATAGRAM_TIME("  datagrams", "% of a core", Double.NaN, true),
    LIST_TIME("  list changes", "% of a core", Double.NaN, true),
    SETTINGS_TIME("  changes of configuration", "% of a core", Double.NaN, true),
    REQUEST_TIME("requests", "% of a core", Double.NaN, true),
    MICROS_PER_REFRESH("a refresh", "us", Double.NaN, true),
    MICROS_PER_DATAGRAM("a datagram", "us", Double.NaN, true),
    MICROS_PER_LIST_CHANGE("a list change", "us", Double.NaN, true),
    MICROS_PER_SETTINGS_CHANGE("a change of configuration", "us", Double.NaN, true),
    MICROS_PER_REQUEST("a request with its notes and outcome", "us", Double.NaN, true);

    final String label;
    final String unit;
    /** The largest value allowed at the target size; NaN where there is no limit. */
    final double limit;
    /** Whether the value is a time or a heap size, which varies between runs with the same seed. */
    final boolean varies;

    Metric(String label, String unit) {
        this(label, unit, Double.NaN);
    }

    Metric(String label, String unit, double limit) {
        this(label, unit, limit, false);
    }

    Metric(String label, String unit, double limit, boolean varies) {
        this.label = label;
        this.unit = unit;
        this.limit = limit;
        this.varies = varies;
    }

    /** Returns the metric's name in CSV files. */
    String key() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    boolean limited() {
        return !Double.isNaN(limit);
    }
}
