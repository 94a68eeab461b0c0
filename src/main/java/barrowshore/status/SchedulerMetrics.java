package barrowshore.status;

import java.util.List;

/**
 * What a scheduler reports of itself, at one moment, as a whole; its names are those that the operators' tools read. A
 * value: whoever counts makes a new one, and it must never change once it is handed out.
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
    /** Final answers to jobs of one class since the start. */
    public record ClassCounts(String name, long passed, long dropped, long badGateway) {}

    public static final SchedulerMetrics NONE = new SchedulerMetrics(false, List.of(), 0, 0, 0, 0, 0, 0);

    /** The figures as text, one a line. */
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
