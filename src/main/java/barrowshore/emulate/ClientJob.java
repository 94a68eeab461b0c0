package barrowshore.emulate;

import barrowshore.emulate.Deployment.ClassOf;
import barrowshore.module.DispatchApi.RepeatSafety;
import java.util.ArrayList;
import java.util.List;

/**
 * A job as its client sees it: one thing, however often the client tries. It owns what has become of it: where it was
 * started, and whether it was served.
 */
final class ClientJob {
    private record Start(EmulatedNode node, long came, Object request) {}

    private final World world;
    final ClassOf jobClass;

    final int type;
    final int zone;
    final double slots;
    final double work;
    final double guess;
    final long since;
    final int tenant;
    int tries;
    boolean served;
    /** Where it has started, and when it had come there. */
    private final List<Start> starts = new ArrayList<>(1);

    ClientJob(World world, int type, int zone, double slots, double work, double guess, int tenant) {
        this.world = world;
        this.jobClass = world.deployment.classes().get(type);
        this.since = world.kernel.now();
        this.type = type;
        this.zone = zone;
        this.slots = slots;
        this.work = work;
        this.guess = guess;
        this.tenant = tenant;
    }

    /**
     * It started on a node. A second start breaks a rule unless its class is safe, or the node drops repeats. A keyed
     * job that a client sends again is another request: schedulers are not told when the key was first used.
     */
    void started(EmulatedNode node, long came, Object request) {
        for (Start s : starts) {
            boolean dropped = jobClass.effect() == RepeatSafety.KEYED
                    && (s.request != request
                            || came - s.came < jobClass.window()
                                    && switch (jobClass.scope()) {
                                        case ALL -> true;
                                        case ZONE -> s.node.zone == node.zone;
                                        case CELL -> s.node.cell == node.cell;
                                    });
            world.report.twice += jobClass.effect() == RepeatSafety.SAFE || dropped ? 0 : 1;
        }
        starts.add(new Start(node, came, request));
    }

    /** A client knows how long nodes remember its key. */
    boolean mayTryAgain(long after) {
        return jobClass.effect() != RepeatSafety.KEYED
                || starts.stream()
                        .allMatch(s -> world.kernel.now() + after + jobClass.deadline() - s.came < jobClass.window());
    }

    /** What it pays: its class's worth, for each unit of work where the site counts so. */
    double worth() {
        return jobClass.worth() * (world.deployment.prices().worthByWork() ? work * slots / jobClass.work() : 1);
    }

    /** Whether an answer now comes within what its class aims at. */
    boolean inTime() {
        return world.kernel.now() - since <= jobClass.aim() + jobClass.stretch() * work;
    }
}
