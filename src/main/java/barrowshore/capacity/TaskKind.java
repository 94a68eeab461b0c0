package barrowshore.capacity;

import barrowshore.module.DispatchApi.Effect;
import barrowshore.module.DispatchApi.JobClass;
import barrowshore.module.DispatchApi.Scope;

/** The classes of tasks that are played: ordinary ones, and urgent ones that are worth more and can wait for less. */
enum TaskKind {
    ORDINARY(0.9, seconds(CapacityTarget.TARGET.taskSeconds()), 1, Effect.SAFE, 0),
    URGENT(0.1, seconds(CapacityTarget.TARGET.urgentStartSeconds()), 10, Effect.UNSAFE, 1);

    /** The share of all tasks. */
    final double share;

    final JobClass jobClass;

    TaskKind(double share, long aim, double worth, Effect effect, int priority) {
        this.share = share;
        this.jobClass = new JobClass(aim, Terms.STRETCH, Terms.DEADLINE, worth, 0, effect, Scope.ALL, 0, -1, priority);
    }

    private static long seconds(double count) {
        return (long) (count * 1e6);
    }

    /** The classes as a module's settings name them, by ordinal. */
    static JobClass[] classes() {
        JobClass[] classes = new JobClass[values().length];
        for (TaskKind kind : values()) {
            classes[kind.ordinal()] = kind.jobClass;
        }
        return classes;
    }

    /** What all classes have in common. */
    static final class Terms {
        /** How long a client waits for its answer at most. */
        static final long DEADLINE = seconds(120);
        /** A task's aim grows with its own work, once. */
        static final double STRETCH = 1;
    }
}
