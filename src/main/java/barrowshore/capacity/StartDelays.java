package barrowshore.capacity;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Collects the delays from request to start of tasks. */
final class StartDelays {
    private static final double MICROS_PER_SECOND = 1e6;
    private final List<Long> delays = new ArrayList<>();

    void add(long micros) {
        delays.add(micros);
    }

    /** Returns a percentile (nearest rank) of the delays in seconds; NaN if no task has started. */
    double percentile(int percent) {
        if (delays.isEmpty()) {
            return Double.NaN;
        }
        List<Long> sorted = new ArrayList<>(delays);
        Collections.sort(sorted);
        int rank = (int) Math.ceil(percent / 100.0 * sorted.size());
        return sorted.get(rank - 1) / MICROS_PER_SECOND;
    }
}
