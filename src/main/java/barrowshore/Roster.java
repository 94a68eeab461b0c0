package barrowshore;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import barrowshore.DispatchApi.Health;
import barrowshore.DispatchApi.ListKind;
import barrowshore.DispatchApi.Member;

/** The worker list as this dispatcher was last told, in order of first mention; it decides nothing. */
final class Roster {
    private final Map<String, Worker> workers = new LinkedHashMap<>();
    /** The workers that are listed as ready. */
    Worker[] ready = new Worker[0];

    void enter(ListKind how, List<Member> entries, long now) {
        if (how != ListKind.CHANGES) {
            workers.values().forEach(w -> w.listed = false);
        }
        for (Member m : entries) {
            Worker w = workers.computeIfAbsent(m.worker(), Worker::new);
            if (m.startedAt() != w.startedAt) {
                w.restarted(now);
            }
            w.kind = m.kind();
            w.zone = m.zone();
            w.cell = m.cell();
            w.rating = m.rating();
            w.startedAt = m.startedAt();
            w.listed = m.health() == Health.READY;
        }
        ready = workers.values().stream().filter(w -> w.listed).toArray(Worker[]::new);
    }

    /** The worker, or null if no list has named it. */
    Worker worker(String id) {
        return workers.get(id);
    }
}
