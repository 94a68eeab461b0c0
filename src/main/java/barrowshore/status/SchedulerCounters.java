package barrowshore.status;

import java.util.ArrayList;
import java.util.List;

/**
 * The counts behind {@link SchedulerMetrics}, each raised where the thing happens, by the one actor that owns them.
 * Classes keep their counts after they have vanished. It decides nothing and must never be shared.
 */
public final class SchedulerCounters {
    /** How a job ended, as operators count it. */
    public enum Outcome {
        PASSED,
        DROPPED,
        BAD_GATEWAY
    }

    private final List<String> names = new ArrayList<>();
    private final List<long[]> ends = new ArrayList<>();
    private long tries;
    private long loads;
    private long loadErrors;

    /** The classes by their numbers; one that is new starts at 0, one that is known goes on. */
    public void setClasses(List<String> now) {
        for (int k = names.size(); k < now.size(); k++) {
            names.add(now.get(k));
            ends.add(new long[Outcome.values().length]);
        }
    }

    public void countOutcome(int jobClass, Outcome end) {
        ends.get(jobClass)[end.ordinal()]++;
    }

    public void countAttempt() {
        tries++;
    }

    /** A file was read at SIGHUP. */
    public void countReload(boolean taken) {
        loads += taken ? 1 : 0;
        loadErrors += taken ? 0 : 1;
    }

    public SchedulerMetrics snapshot(boolean ready, int inProgress, int known, int skipped) {
        List<SchedulerMetrics.ClassCounts> classes = new ArrayList<>(names.size());
        for (int k = 0; k < names.size(); k++) {
            long[] of = ends.get(k);
            classes.add(new SchedulerMetrics.ClassCounts(names.get(k), of[0], of[1], of[2]));
        }
        return new SchedulerMetrics(ready, classes, tries, inProgress, known, skipped, loads, loadErrors);
    }
}
