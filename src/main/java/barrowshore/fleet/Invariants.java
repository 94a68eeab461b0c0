package barrowshore.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * Checks what must hold in a fleet under any faults, by the records of clients and workers alone, not by what schedulers
 * report. Pure.
 */
final class Invariants {
    /** How a job ended for its client. REFUSED: no connection; NONE: the connection ended or timed out unanswered. */
    enum Answer {
        SERVED,
        TURNED_DOWN,
        FAILED,
        REFUSED,
        NONE
    }

    /** A client's record of a job; times in microseconds since the start; waitedUntil: the end of its timeout. */
    record JobRecord(
            String id,
            boolean atMostOnce,
            int scheduler,
            long sentAt,
            long answeredAt,
            long waitedUntil,
            Answer answer) {}

    /** A time in which a scheduler was dead or paused: jobs that it held then may stay unanswered. */
    record Outage(int scheduler, long from, long to) {}

    /** A worker's record; lateJobs: jobs that came after its drain and the grace. */
    record WorkerRecord(String worker, int lateJobs, boolean failedFromOverload, double coldBudgetUsed) {}

    private Invariants() {}

    /**
     * Returns a line for each violation. startsByJobId: summed over all workers; processProblems: schedulers that ended by
     * themselves or could not be stopped.
     */
    static List<String> findViolations(
            Collection<JobRecord> jobs,
            Map<String, Integer> startsByJobId,
            List<Outage> outages,
            List<WorkerRecord> workers,
            List<String> processProblems) {
        List<String> violations = new ArrayList<>();
        for (JobRecord job : jobs) {
            int starts = startsByJobId.getOrDefault(job.id, 0);
            if (job.answer == Answer.NONE
                    && outages.stream()
                            .noneMatch(outage -> outage.scheduler == job.scheduler
                                    && outage.from <= job.waitedUntil
                                    && outage.to >= job.sentAt)) {
                violations.add("no answer: " + job.id + " at scheduler " + job.scheduler + ", sent at "
                        + formatSeconds(job.sentAt));
            }
            if (job.atMostOnce && starts > 1) {
                violations.add("ran " + starts + " times and must not: " + job.id);
            }
            if (job.answer == Answer.SERVED && starts == 0) {
                violations.add("served and no worker ran it: " + job.id);
            }
            if (job.answer == Answer.TURNED_DOWN && job.atMostOnce && starts > 0) {
                violations.add("turned down as harmless though it ran: " + job.id);
            }
        }
        for (WorkerRecord worker : workers) {
            if (worker.lateJobs > 0) {
                violations.add(worker.lateJobs + " jobs after the grace of its drain: " + worker.worker);
            }
            if (worker.failedFromOverload) {
                violations.add("pushed over while cold: " + worker.worker);
            }
        }
        processProblems.forEach(process -> violations.add("left behind: " + process));
        return violations;
    }

    private static String formatSeconds(long micros) {
        return Math.round(micros / 1e4) / 100.0 + " s";
    }
}
