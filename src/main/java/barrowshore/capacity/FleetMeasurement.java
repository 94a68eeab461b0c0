package barrowshore.capacity;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** A fleet of one size, played as often as the options say. */
final class FleetMeasurement {
    private final FleetSize size;
    private final Map<Metric, MedianAndRange> summaries = new EnumMap<>(Metric.class);

    private FleetMeasurement(FleetSize size) {
        this.size = size;
    }

    static FleetMeasurement of(FleetSize size, List<FleetCost> plays) {
        FleetMeasurement measurement = new FleetMeasurement(size);
        for (Metric metric : Metric.values()) {
            MedianAndRange spread = MedianAndRange.of(
                    plays.stream().mapToDouble(p -> p.get(metric)).toArray());
            if (!metric.varies && spread.measured() && spread.min() != spread.max()) {
                throw new IllegalStateException(metric.label + " differs between plays of one seed: " + spread);
            }
            measurement.summaries.put(metric, spread);
        }
        return measurement;
    }

    FleetSize size() {
        return size;
    }

    MedianAndRange get(Metric metric) {
        return summaries.get(metric);
    }

    /** Whether the metric was measured and is above its limit. */
    boolean exceedsLimit(Metric metric) {
        return metric.limited() && get(metric).median() > metric.limit;
    }
}
