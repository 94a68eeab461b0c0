package barrowshore.capacity;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** How long tasks waited for their start. */
final class StartDelays {
    private static final double MICROS_PER_SECOND = 1e6;
    private final List<Long> delays = new ArrayList<>();

    void add(long micros) {
        delays.add(micros);
    }

    /** The delay in seconds that so many of a hundred do not go beyond; NaN where nothing has started. */
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
