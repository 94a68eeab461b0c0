package barrowshore.emulate;

import barrowshore.emulate.Deployment.ClassSpec;
import barrowshore.module.DispatchApi.RepeatSafety;
import java.util.ArrayList;
import java.util.List;

/**
 * A job as its client sees it, over all the requests that the client sends for it. It owns the record of where the job was
 * started and whether it was served.
 */
final class ClientJob {
    private record Start(EmulatedNode node, long arrivedAt, Object request) {}

    private final Emulation emulation;
    final ClassSpec jobClass;

    final int classIndex;
    final int zone;
    final double slots;
    final double work;
    final double workHint;
    final long createdAt;
    final int tenant;
    int tryCount;
    boolean served;
    /** Each start of the job on a node, with the time of its arrival there. */
    private final List<Start> starts = new ArrayList<>(1);

    ClientJob(Emulation emulation, int classIndex, int zone, double slots, double work, double workHint, int tenant) {
        this.emulation = emulation;
        this.jobClass = emulation.deployment.classes().get(classIndex);
        this.createdAt = emulation.clock.now();
        this.classIndex = classIndex;
        this.zone = zone;
        this.slots = slots;
        this.work = work;
        this.workHint = workHint;
        this.tenant = tenant;
    }

    /**
     * Records a start on a node. A second start violates a rule unless the class is safe to repeat or the node deduplicates.
     * Starts of a keyed job for different requests never count: schedulers are not told when its key was first used.
     */
    void recordStart(EmulatedNode node, long arrivedAt, Object request) {
        for (Start earlier : starts) {
            boolean deduplicated = jobClass.repeatSafety() == RepeatSafety.KEYED
                    && (earlier.request != request
                            || arrivedAt - earlier.arrivedAt < jobClass.repeatWindowMicros()
                                    && switch (jobClass.dedupScope()) {
                                        case ALL -> true;
                                        case ZONE -> earlier.node.zone == node.zone;
                                        case CELL -> earlier.node.cell == node.cell;
                                    });
            emulation.report.duplicateRuns += jobClass.repeatSafety() == RepeatSafety.SAFE || deduplicated ? 0 : 1;
        }
        starts.add(new Start(node, arrivedAt, request));
    }

    /** Whether a keyed job would end within the time for which nodes remember its key; other jobs always may. */
    boolean mayRetry(long delay) {
        return jobClass.repeatSafety() != RepeatSafety.KEYED
                || starts.stream()
                        .allMatch(s -> emulation.clock.now() + delay + jobClass.deadlineMicros() - s.arrivedAt
                                < jobClass.repeatWindowMicros());
    }

    /** Its class's worth, scaled by the job's work where the deployment counts worth by work. */
    double worth() {
        return jobClass.worth()
                * (emulation.deployment.charges().worthByWork() ? work * slots / jobClass.meanWork() : 1);
    }

    /** Whether an answer now meets its class's target time. */
    boolean isInTime() {
        return emulation.clock.now() - createdAt <= jobClass.targetMicros() + jobClass.targetStretch() * work;
    }
}
