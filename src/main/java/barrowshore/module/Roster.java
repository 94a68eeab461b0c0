package barrowshore.module;

import barrowshore.module.DispatchApi.Health;
import barrowshore.module.DispatchApi.ListKind;
import barrowshore.module.DispatchApi.Member;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The worker list as this dispatcher was last told, in order of first mention; it decides nothing. */
final class Roster {
    private final Map<String, Worker> workers = new LinkedHashMap<>();
    private final Map<Integer, List<Worker>> byName = new HashMap<>();
    private final HallSide halls;
    /** The workers that are listed as ready. */
    Worker[] ready = new Worker[0];

    Roster(HallSide halls) {
        this.halls = halls;
    }

    /**
     * Enters a list or its changes. live: ratings are sizes lowered by load, some time ago and the same for all; what is
     * steady in them is the size, the most that a worker was ever rated.
     */
    void enter(ListKind how, List<Member> entries, long now, boolean live) {
        if (how != ListKind.CHANGES) {
            workers.values().forEach(w -> w.listed = false);
        }
        Set<String> named = new HashSet<>();
        for (Member m : entries) {
            named.add(m.worker());
            Worker w = workers.computeIfAbsent(m.worker(), Worker::new);
            if (m.startedAt() != w.startedAt) {
                w.restarted(now);
            }
            w.kind = m.kind();
            w.zone = m.zone();
            w.cell = m.cell();
            w.rating = live ? Math.max(w.rating, m.rating()) : m.rating();
            w.startedAt = m.startedAt();
            w.listed = m.health() == Health.READY;
            w.draining = m.health() == Health.DRAINING;
            halls.enter(now, w);
        }
        if (how != ListKind.CHANGES) {
            for (Worker w : workers.values()) {
                if (!named.contains(w.id)) {
                    w.draining = false;
                    halls.enter(now, w);
                }
            }
        }
        byName.clear();
        workers.values().stream().filter(w -> w.listed).forEach(w -> byName.computeIfAbsent(
                        w.id.hashCode(), name -> new ArrayList<>(1))
                .add(w));
        ready = workers.values().stream().filter(w -> w.listed).toArray(Worker[]::new);
    }

    /** The ready workers of a name as peers tell it; names may clash, and then it is about all of them. */
    List<Worker> named(int name) {
        return byName.getOrDefault(name, List.of());
    }

    /** How many ready workers get nothing just now, whatever the job. */
    int avoided(long now) {
        return (int)
                Arrays.stream(ready).filter(w -> w.aside(now) || !halls.open(w)).count();
    }

    /** Every worker that a list has named. */
    Collection<Worker> all() {
        return workers.values();
    }

    /** The worker, or null if no list has named it. */
    Worker worker(String id) {
        return workers.get(id);
    }
}
