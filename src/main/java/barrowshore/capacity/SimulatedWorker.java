package barrowshore.capacity;

import barrowshore.emulate.VirtualClock;
import barrowshore.module.DispatchApi.Health;
import barrowshore.module.DispatchApi.Load;
import barrowshore.module.DispatchApi.Member;
import java.util.ArrayDeque;

/** A worker of one speed: slots that run tasks, and a queue in order of arrival. It knows nothing of schedulers. */
final class SimulatedWorker {
    /** Tasks that may wait for each slot before more are turned away. */
    private static final int QUEUE_PER_SLOT = 3;
    /** Microseconds between two notes on how far a task is. */
    static final long PROGRESS_INTERVAL_MICROS = 2_000_000;

    /** A task's attempt as its worker sees it. */
    interface Task {
        /** Microseconds that it runs. */
        long work();

        /** Whether nobody waits for it any more. */
        boolean withdrawn();

        void started();

        void progress(double share);

        void done();

        /** There was no room for it. */
        void rejected();
    }

    final String id;
    final int zone;
    private final int cell;
    private final int slots;
    private final VirtualClock clock;
    private final ArrayDeque<Task> waiting = new ArrayDeque<>(0);
    private int running;

    SimulatedWorker(String id, int zone, int cell, int slots, VirtualClock clock) {
        this.id = id;
        this.zone = zone;
        this.cell = cell;
        this.slots = slots;
        this.clock = clock;
    }

    Member entry(Health health) {
        return new Member(id, health, slots, cell, 0, zone, 0);
    }

    /** The machine that takes this one's place: another name, and listed as long up, so that no warm-up limits the work. */
    SimulatedWorker replacement(String name) {
        return new SimulatedWorker(name, zone, cell, slots, clock);
    }

    void offer(Task task) {
        if (running < slots) {
            run(task);
        } else if (waiting.size() < QUEUE_PER_SLOT * slots) {
            waiting.add(task);
        } else {
            task.rejected();
        }
    }

    private void run(Task task) {
        running++;
        task.started();
        long work = Math.max(1, task.work());
        for (long at = PROGRESS_INTERVAL_MICROS; at < work; at += PROGRESS_INTERVAL_MICROS) {
            double share = at / (double) work;
            clock.runAfter(at, () -> task.progress(share));
        }
        clock.runAfter(work, () -> end(task));
    }

    private void end(Task task) {
        running--;
        task.done();
        while (running < slots && !waiting.isEmpty()) {
            Task next = waiting.poll();
            if (!next.withdrawn()) {
                run(next);
            }
        }
    }

    int running() {
        return running;
    }

    Load load() {
        return new Load(running + waiting.size(), waiting.size(), slots - running);
    }
}
