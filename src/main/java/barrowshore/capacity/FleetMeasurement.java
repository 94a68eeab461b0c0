package barrowshore.capacity;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** The metrics of one fleet size, summarized over the runs that the options ask for. */
final class FleetMeasurement {
    private final FleetSize size;
    private final Map<Metric, MedianAndRange> summaries = new EnumMap<>(Metric.class);

    private FleetMeasurement(FleetSize size) {
        this.size = size;
    }

    static FleetMeasurement of(FleetSize size, List<FleetCost> runs) {
        FleetMeasurement measurement = new FleetMeasurement(size);
        for (Metric metric : Metric.values()) {
            MedianAndRange summary = MedianAndRange.of(
                    runs.stream().mapToDouble(p -> p.get(metric)).toArray());
            if (!metric.varies && summary.measured() && summary.min() != summary.max()) {
                throw new IllegalStateException(metric.label + " differs between runs with the same seed: " + summary);
            }
            measurement.summaries.put(metric, summary);
        }
        return measurement;
    }

    FleetSize size() {
        return size;
    }

    MedianAndRange get(Metric metric) {
        return summaries.get(metric);
    }

    /** Returns whether the metric was measured and its median is above its limit. */
    boolean exceedsLimit(Metric metric) {
        return metric.limited() && get(metric).median() > metric.limit;
    }
}
