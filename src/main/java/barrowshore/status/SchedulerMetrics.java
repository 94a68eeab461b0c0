package barrowshore.status;

import java.util.List;

/**
 * An immutable snapshot of a scheduler's metrics, made by {@link SchedulerCounters}. The names in the text form are read by
 * operators' tools.
 */
public record SchedulerMetrics(
        boolean ready,
        List<ClassCounts> classes,
        long attempts,
        int inProgress,
        int knownWorkers,
        int skippedWorkers,
        long reloads,
        long failedReloads) {
    /** Final answers to the jobs of one class since the scheduler started. */
    public record ClassCounts(String name, long passed, long dropped, long badGateway) {}

    public static final SchedulerMetrics NONE = new SchedulerMetrics(false, List.of(), 0, 0, 0, 0, 0, 0);

    /** The metrics as text, one name=value per line. */
    public String metricLines() {
        StringBuilder out = new StringBuilder(512);
        classes.forEach(c -> appendMetric(out, "passed." + c.name, c.passed));
        classes.forEach(c -> appendMetric(out, "dropped." + c.name, c.dropped));
        classes.forEach(c -> appendMetric(out, "bad_gateway." + c.name, c.badGateway));
        appendMetric(out, "upstream_tries", attempts);
        appendMetric(out, "in_progress", inProgress);
        appendMetric(out, "known_workers", knownWorkers);
        appendMetric(out, "skipped_workers", skippedWorkers);
        appendMetric(out, "loads", reloads);
        appendMetric(out, "load_errors", failedReloads);
        return out.toString();
    }

    private static void appendMetric(StringBuilder out, String name, long value) {
        out.append("svc.").append(name).append('=').append(value).append('\n');
    }
}
