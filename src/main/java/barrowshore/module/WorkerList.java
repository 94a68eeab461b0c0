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
final class WorkerList {
    private final Map<String, Worker> workers = new LinkedHashMap<>();
    /** All workers by their names in the exchange. */
    private final NavigableMap<Integer, List<Worker>> byExchangeName = new TreeMap<>();

    private final HallAdapter halls;
    /** The workers that are listed as ready. */
    Worker[] ready = new Worker[0];

    WorkerList(HallAdapter halls) {
        this.halls = halls;
    }

    /**
     * Enters a list or its changes; returns the workers that it may have changed. live: ratings are sizes lowered by load,
     * some time ago and the same for all; what is steady in them is the size, the most that a worker was ever rated.
     */
    Collection<Worker> update(ListKind kind, List<Member> entries, long now, boolean ratingsReflectLoad) {
        Set<Worker> changed = new LinkedHashSet<>();
        for (Member member : entries) {
            changed.add(update(member, now, ratingsReflectLoad));
        }
        if (kind != ListKind.CHANGES) {
            for (Worker worker : workers.values()) {
                if (changed.add(worker)) {
                    worker.listed = false;
                    worker.draining = false;
                    halls.updateListing(now, worker);
                }
            }
        }
        ready = workers.values().stream().filter(worker -> worker.listed).toArray(Worker[]::new);
        return changed;
    }

    private Worker update(Member member, long now, boolean ratingsReflectLoad) {
        Worker worker = workers.computeIfAbsent(member.worker(), this::addWorker);
        if (member.startedAt() != worker.startedAt) {
            worker.clearAfterRestart(now);
        }
        worker.kind = member.kind();
        worker.zone = member.zone();
        worker.cell = member.cell();
        worker.rating = ratingsReflectLoad ? Math.max(worker.rating, member.rating()) : member.rating();
        worker.startedAt = member.startedAt();
        worker.listed = member.health() == Health.READY;
        worker.draining = member.health() == Health.DRAINING;
        halls.updateListing(now, worker);
        return worker;
    }

    private Worker addWorker(String id) {
        Worker worker = new Worker(id);
        byExchangeName
                .computeIfAbsent(worker.exchangeName, name -> new ArrayList<>(1))
                .add(worker);
        return worker;
    }

    /** The workers whose names in the exchange are in a range; names may clash, and then it is about all of them. */
    List<Worker> workersNamed(int from, int to) {
        List<Worker> found = new ArrayList<>(1);
        byExchangeName.subMap(from, to).values().forEach(found::addAll);
        return found;
    }

    /** How many ready workers get nothing just now, whatever the job. */
    int countAvoided(long now) {
        return (int) Arrays.stream(ready)
                .filter(w -> w.isAvoided(now) || !halls.isHallInUse(w))
                .count();
    }

    /** Every worker that a list has named. */
    Collection<Worker> all() {
        return workers.values();
    }

    /** The worker, or null if no list has named it. */
    Worker find(String id) {
        return workers.get(id);
    }
}
