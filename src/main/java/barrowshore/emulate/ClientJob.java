package barrowshore.emulate;

import barrowshore.emulate.Deployment.ClassSpec;
import barrowshore.module.DispatchApi.RepeatSafety;
import java.util.ArrayList;
import java.util.List;

/**
 * A job as its client sees it: one thing, however often the client tries. It owns what has become of it: where it was
 * started, and whether it was served.
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
    /** Where it has started, and when it had come there. */
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
     * It started on a node. A second start breaks a rule unless its class is safe, or the node drops repeats. A keyed
     * job that a client sends again is another request: schedulers are not told when the key was first used.
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

    /** A client knows how long nodes remember its key. */
    boolean mayRetry(long delay) {
        return jobClass.repeatSafety() != RepeatSafety.KEYED
                || starts.stream()
                        .allMatch(s -> emulation.clock.now() + delay + jobClass.deadlineMicros() - s.arrivedAt
                                < jobClass.repeatWindowMicros());
    }

    /** What it pays: its class's worth, for each unit of work where the site counts so. */
    double worth() {
        return jobClass.worth()
                * (emulation.deployment.charges().worthByWork() ? work * slots / jobClass.meanWork() : 1);
    }

    /** Whether an answer now comes within what its class aims at. */
    boolean isInTime() {
        return emulation.clock.now() - createdAt <= jobClass.targetMicros() + jobClass.targetStretch() * work;
    }
}
