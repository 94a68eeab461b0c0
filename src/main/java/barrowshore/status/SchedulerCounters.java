package barrowshore.status;

import java.util.ArrayList;
import java.util.List;

/**
 * The counters behind {@link SchedulerMetrics}, incremented by the one actor that owns them; not thread-safe. A job class
 * keeps its counts after it has been removed from the settings.
 */
public final class SchedulerCounters {
    /** How a job ended, as reported to operators. */
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

    /** Sets the class names by class number. New classes start at 0; known ones keep their counts. */
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

    /** Counts a file read at SIGHUP, as accepted or failed. */
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
