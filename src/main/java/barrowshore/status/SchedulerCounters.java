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

    private final List<String> classNames = new ArrayList<>();
    private final List<long[]> outcomeCountsByClass = new ArrayList<>();
    private long attempts;
    private long reloads;
    private long failedReloads;

    /** The classes by their numbers; one that is new starts at 0, one that is known goes on. */
    public void setClasses(List<String> updatedNames) {
        for (int k = classNames.size(); k < updatedNames.size(); k++) {
            classNames.add(updatedNames.get(k));
            outcomeCountsByClass.add(new long[Outcome.values().length]);
        }
    }

    public void countOutcome(int jobClass, Outcome outcome) {
        outcomeCountsByClass.get(jobClass)[outcome.ordinal()]++;
    }

    public void countAttempt() {
        attempts++;
    }

    /** A file was read at SIGHUP. */
    public void countReload(boolean accepted) {
        reloads += accepted ? 1 : 0;
        failedReloads += accepted ? 0 : 1;
    }

    public SchedulerMetrics snapshot(boolean ready, int inProgress, int knownWorkers, int skippedWorkers) {
        List<SchedulerMetrics.ClassCounts> classes = new ArrayList<>(classNames.size());
        for (int k = 0; k < classNames.size(); k++) {
            long[] outcomeCounts = outcomeCountsByClass.get(k);
            classes.add(new SchedulerMetrics.ClassCounts(
                    classNames.get(k), outcomeCounts[0], outcomeCounts[1], outcomeCounts[2]));
        }
        return new SchedulerMetrics(
                ready, classes, attempts, inProgress, knownWorkers, skippedWorkers, reloads, failedReloads);
    }
}
