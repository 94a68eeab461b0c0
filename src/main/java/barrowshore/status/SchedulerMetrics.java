package barrowshore.status;

import java.util.List;

/**
 * What a scheduler reports of itself, at one moment, as a whole; its names are those that the operators' tools read. A
 * value: whoever counts makes a new one, and it must never change once it is handed out.
 */
public record SchedulerMetrics(
        boolean ready,
        List<ClassCounts> classes,
        long tries,
        int inProgress,
        int knownWorkers,
        int skippedWorkers,
        long loads,
        long loadErrors) {
    /** Final answers to jobs of one class since the start. */
    public record ClassCounts(String name, long passed, long dropped, long badGateway) {}

    public static final SchedulerMetrics NONE = new SchedulerMetrics(false, List.of(), 0, 0, 0, 0, 0, 0);

    /** The figures as text, one a line. */
    public String metricLines() {
        StringBuilder out = new StringBuilder(512);
        classes.forEach(c -> line(out, "passed." + c.name, c.passed));
        classes.forEach(c -> line(out, "dropped." + c.name, c.dropped));
        classes.forEach(c -> line(out, "bad_gateway." + c.name, c.badGateway));
        line(out, "upstream_tries", tries);
        line(out, "in_progress", inProgress);
        line(out, "known_workers", knownWorkers);
        line(out, "skipped_workers", skippedWorkers);
        line(out, "loads", loads);
        line(out, "load_errors", loadErrors);
        return out.toString();
    }

    private static void line(StringBuilder out, String name, long value) {
        out.append("svc.").append(name).append('=').append(value).append('\n');
    }
}
