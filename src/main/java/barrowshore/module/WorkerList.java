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

/** The workers of one dispatcher, in order of first listing, as service discovery last listed them. */
final class WorkerList {
    private final Map<String, Worker> workers = new LinkedHashMap<>();
    /** All workers by their numbers in the messages between dispatchers. */
    private final NavigableMap<Integer, List<Worker>> byExchangeName = new TreeMap<>();

    private final HallAdapter halls;
    /** The workers listed as ready. */
    Worker[] ready = new Worker[0];

    WorkerList(HallAdapter halls) {
        this.halls = halls;
    }

    /**
     * Applies a list or its changes; returns the workers that may have changed. ratingsReflectLoad: a rating is the
     * worker's size lowered by its load some time ago, so the highest rating seen is taken as its size.
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
        worker.kind = member.machineKind();
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

    /** The workers whose exchange names are in [from, to); several may share a name. */
    List<Worker> workersNamed(int from, int to) {
        List<Worker> found = new ArrayList<>(1);
        byExchangeName.subMap(from, to).values().forEach(found::addAll);
        return found;
    }

    /** How many ready workers get no job of any kind now. */
    int countAvoided(long now) {
        return (int) Arrays.stream(ready)
                .filter(w -> w.isAvoided(now) || !halls.isHallInUse(w))
                .count();
    }

    /** Every worker listed so far. */
    Collection<Worker> all() {
        return workers.values();
    }

    /** The worker, or null if it was never listed. */
    Worker find(String id) {
        return workers.get(id);
    }
}
