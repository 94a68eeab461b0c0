package barrowshore.capacity;

import barrowshore.emulate.VirtualClock;
import barrowshore.module.DispatchApi.Health;
import barrowshore.module.DispatchApi.Load;
import barrowshore.module.DispatchApi.Member;
import java.util.ArrayDeque;

/**
 * A simulated worker: slots that run tasks, all at the same speed, and a FIFO queue. It does not depend on the
 * schedulers.
 */
final class SimulatedWorker {
    /** Maximum number of queued tasks per slot; further tasks are rejected. */
    private static final int QUEUE_PER_SLOT = 3;
    /** Microseconds between two progress notes of a task. */
    static final long PROGRESS_INTERVAL_MICROS = 2_000_000;

    /** An attempt of a task, as the worker uses it. */
    interface Task {
        /** Returns the run time in microseconds. */
        long work();

        /** Returns whether the attempt has ended for its scheduler, so that it is not started. */
        boolean withdrawn();

        void started();

        void progress(double share);

        void done();

        /** Called when the queue is full. */
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

    /**
     * Returns the machine that replaces this one: it has another name, and is listed as up for long, so that no slow
     * start limits it.
     */
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
