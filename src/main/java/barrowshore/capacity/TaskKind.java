package barrowshore.capacity;

import barrowshore.module.DispatchApi.DedupScope;
import barrowshore.module.DispatchApi.JobClass;
import barrowshore.module.DispatchApi.RepeatSafety;

/**
 * The simulated job classes: ordinary tasks, and short urgent tasks that are worth more and tolerate less delay. The
 * target time of a class is its mean work, which a module assumes as the work until it has observed some.
 */
enum TaskKind {
    ORDINARY(Terms.ORDINARY_SHARE, Terms.ORDINARY_SECONDS, 1, RepeatSafety.SAFE, 0),
    URGENT(1 - Terms.ORDINARY_SHARE, Terms.URGENT_SECONDS, 10, RepeatSafety.UNSAFE, 1);

    /** Share of all tasks. */
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

    /** Returns the job classes, indexed by ordinal as in a module's settings. */
    static JobClass[] classes() {
        JobClass[] classes = new JobClass[values().length];
        for (TaskKind kind : values()) {
            classes[kind.ordinal()] = kind.jobClass;
        }
        return classes;
    }

    /**
     * Values common to the classes, and their shares and mean work, chosen so that the mean run time over both equals
     * the target's.
     */
    static final class Terms {
        static final double MICROS_PER_SECOND = 1e6;
        /** Microseconds that a client waits for its answer. */
        static final long DEADLINE_MICROS = (long) (120 * MICROS_PER_SECOND);
        /** Factor by which a task's target time grows with its own work. */
        static final double STRETCH = 1;

        static final double ORDINARY_SHARE = 0.9;
        static final double URGENT_SECONDS = CapacityTarget.TARGET.urgentStartSeconds();
        static final double ORDINARY_SECONDS =
                (CapacityTarget.TARGET.taskSeconds() - (1 - ORDINARY_SHARE) * URGENT_SECONDS) / ORDINARY_SHARE;
    }
}
