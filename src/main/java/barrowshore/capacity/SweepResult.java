package barrowshore.capacity;

import java.util.List;
import java.util.Optional;

/** What was measured over the sizes of a sweep. */
record SweepResult(Sweep sweep, List<FleetMeasurement> points) {
    /** The line through the medians; none where the metric was measured at fewer than two sizes. */
    Optional<LineFit> fit(Metric metric) {
        List<FleetMeasurement> with =
                points.stream().filter(p -> p.get(metric).measured()).toList();
        if (with.size() < 2) {
            return Optional.empty();
        }
        double[] sizes = with.stream().mapToDouble(p -> sweep.sizeOf(p.size())).toArray();
        double[] medians =
                with.stream().mapToDouble(p -> p.get(metric).median()).toArray();
        return Optional.of(LineFit.of(sizes, medians));
    }
}
