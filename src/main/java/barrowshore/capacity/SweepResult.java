package barrowshore.capacity;

import java.util.List;
import java.util.Optional;

/** The measurements at the sizes of a sweep. */
record SweepResult(Sweep sweep, List<FleetMeasurement> points) {
    /** Returns the fitted line through the medians, or empty if the metric was measured at fewer than two sizes. */
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
