package barrowshore.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * What must hold whatever befalls a fleet, judged from what clients and workers have recorded, and from nothing that a
 * scheduler says of itself. Pure.
 */
final class Invariants {
    /** What came back to a client; REFUSED: its connection never came up; NONE: it ended or time ran out, unanswered. */
    enum Answer {
        SERVED,
        TURNED_DOWN,
        FAILED,
        REFUSED,
        NONE
    }

    /** A request; times in microseconds on one clock; until: when its client stopped waiting. */
    record JobRecord(
            String id,
            boolean atMostOnce,
            int scheduler,
            long sentAt,
            long answeredAt,
            long waitedUntil,
            Answer answer) {}

    /** A scheduler was killed, or stood still: what it held then may be without an answer. */
    record Outage(int scheduler, long from, long to) {}

    /** What a worker recorded; late: jobs that came after its drain had been told and the grace was over. */
    record WorkerRecord(String worker, int lateJobs, boolean failedFromOverload, double coldBudgetUsed) {}

    private Invariants() {}

    /** What is broken, a line each; empty if all holds. runs: how often each id started, on all workers together. */
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
                            .noneMatch(o ->
                                    o.scheduler == job.scheduler && o.from <= job.waitedUntil && o.to >= job.sentAt)) {
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
