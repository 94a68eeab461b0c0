package barrowshore.capacity;

import barrowshore.module.DispatchApi.DedupScope;
import barrowshore.module.DispatchApi.JobClass;
import barrowshore.module.DispatchApi.RepeatSafety;

/**
 * The classes of tasks that are played: ordinary ones, and short urgent ones that are worth more and can wait for less. A
 * class's aim is its mean work, which is what a module takes for the work until it has seen some.
 */
enum TaskKind {
    ORDINARY(Terms.ORDINARY_SHARE, Terms.ORDINARY_SECONDS, 1, RepeatSafety.SAFE, 0),
    URGENT(1 - Terms.ORDINARY_SHARE, Terms.URGENT_SECONDS, 10, RepeatSafety.UNSAFE, 1);

    /** The share of all tasks. */
    final double share;
    /** Mean work in microseconds. */
    final double work;

    final JobClass jobClass;

    TaskKind(double share, double seconds, double worth, RepeatSafety effect, int priority) {
        this.share = share;
        this.work = seconds * Terms.MICROS_PER_SECOND;
        this.jobClass = new JobClass(
                (long) work, Terms.STRETCH, Terms.DEADLINE_MICROS, worth, 0, effect, DedupScope.ALL, 0, -1, priority);
    }

    /** The classes as a module's settings name them, by ordinal. */
    static JobClass[] classes() {
        JobClass[] classes = new JobClass[values().length];
        for (TaskKind kind : values()) {
            classes[kind.ordinal()] = kind.jobClass;
        }
        return classes;
    }

    /** What the classes have in common, and their shares, by which tasks run as long as the target's on average. */
    static final class Terms {
        static final double MICROS_PER_SECOND = 1e6;
        /** How long a client waits for its answer at most. */
        static final long DEADLINE_MICROS = (long) (120 * MICROS_PER_SECOND);
        /** A task's aim grows with its own work, once. */
        static final double STRETCH = 1;

        static final double ORDINARY_SHARE = 0.9;
        static final double URGENT_SECONDS = CapacityTarget.TARGET.urgentStartSeconds();
        static final double ORDINARY_SECONDS =
                (CapacityTarget.TARGET.taskSeconds() - (1 - ORDINARY_SHARE) * URGENT_SECONDS) / ORDINARY_SHARE;
    }
}
