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
    record Asked(String id, boolean unsafe, int scheduler, long sentAt, long answeredAt, long until, Answer answer) {}

    /** A scheduler was killed, or stood still: what it held then may be without an answer. */
    record Outage(int scheduler, long from, long to) {}

    /** What a worker recorded; late: jobs that came after its drain had been told and the grace was over. */
    record Worked(String worker, int late, boolean pushedOver, double coldUse) {}

    private Invariants() {}

    /** What is broken, a line each; empty if all holds. runs: how often each id started, on all workers together. */
    static List<String> broken(
            Collection<Asked> asked,
            Map<String, Integer> runs,
            List<Outage> outages,
            List<Worked> workers,
            List<String> leftBehind) {
        List<String> broken = new ArrayList<>();
        for (Asked a : asked) {
            int ran = runs.getOrDefault(a.id, 0);
            if (a.answer == Answer.NONE
                    && outages.stream()
                            .noneMatch(o -> o.scheduler == a.scheduler && o.from <= a.until && o.to >= a.sentAt)) {
                broken.add("no answer: " + a.id + " at scheduler " + a.scheduler + ", sent at " + seconds(a.sentAt));
            }
            if (a.unsafe && ran > 1) {
                broken.add("ran " + ran + " times and must not: " + a.id);
            }
            if (a.answer == Answer.SERVED && ran == 0) {
                broken.add("served and no worker ran it: " + a.id);
            }
            if (a.answer == Answer.TURNED_DOWN && a.unsafe && ran > 0) {
                broken.add("turned down as harmless though it ran: " + a.id);
            }
        }
        for (Worked w : workers) {
            if (w.late > 0) {
                broken.add(w.late + " jobs after the grace of its drain: " + w.worker);
            }
            if (w.pushedOver) {
                broken.add("pushed over while cold: " + w.worker);
            }
        }
        leftBehind.forEach(process -> broken.add("left behind: " + process));
        return broken;
    }

    private static String seconds(long micros) {
        return Math.round(micros / 1e4) / 100.0 + " s";
    }
}
