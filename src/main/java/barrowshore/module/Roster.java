package barrowshore.module;

import barrowshore.module.DispatchApi.Health;
import barrowshore.module.DispatchApi.ListKind;
import barrowshore.module.DispatchApi.Member;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;

/** The worker list as this dispatcher was last told, in order of first mention; it decides nothing. */
final class Roster {
    private final Map<String, Worker> workers = new LinkedHashMap<>();
    /** All workers by their names in the exchange. */
    private final NavigableMap<Integer, List<Worker>> byName = new TreeMap<>();

    private final HallSide halls;
    /** The workers that are listed as ready. */
    Worker[] ready = new Worker[0];

    Roster(HallSide halls) {
        this.halls = halls;
    }

    /**
     * Enters a list or its changes; returns the workers that it may have changed. live: ratings are sizes lowered by load,
     * some time ago and the same for all; what is steady in them is the size, the most that a worker was ever rated.
     */
    Collection<Worker> enter(ListKind how, List<Member> entries, long now, boolean live) {
        Set<Worker> changed = new LinkedHashSet<>();
        for (Member m : entries) {
            changed.add(enter(m, now, live));
        }
        if (how != ListKind.CHANGES) {
            for (Worker w : workers.values()) {
                if (changed.add(w)) {
                    w.listed = false;
                    w.draining = false;
                    halls.enter(now, w);
                }
            }
        }
        ready = workers.values().stream().filter(w -> w.listed).toArray(Worker[]::new);
        return changed;
    }

    private Worker enter(Member m, long now, boolean live) {
        Worker w = workers.computeIfAbsent(m.worker(), this::named);
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
        return w;
    }

    private Worker named(String id) {
        Worker w = new Worker(id);
        byName.computeIfAbsent(w.name, name -> new ArrayList<>(1)).add(w);
        return w;
    }

    /** The workers whose names in the exchange are in a range; names may clash, and then it is about all of them. */
    List<Worker> named(int from, int to) {
        List<Worker> found = new ArrayList<>(1);
        byName.subMap(from, to).values().forEach(found::addAll);
        return found;
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
