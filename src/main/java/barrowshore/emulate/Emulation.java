package barrowshore.emulate;

import barrowshore.halls.HallState;
import barrowshore.model.WorkerModel;
import barrowshore.module.DispatchApi;
import barrowshore.module.DispatchApi.Settings;
import barrowshore.operator.OperatorSettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One emulated day: real decision modules against models of machines, with zones, delays, a late list, lossy messages
 * between schedulers, and clients with deadlines and retries. It owns the world's truth, which the modules never see: the
 * clock, the machines, the schedulers and the clients. It must never decide anything for them, nor draw a random number
 * outside {@link RandomSources}, so that one seed gives one run.
 */
final class Emulation {
    /** A millisecond and a second of its clock. */
    static final long MILLISECOND = 1_000, SECOND = 1_000_000;
    /** When a run begins, on its own clock: late enough that 0 means long ago. */
    static final long START = 1_000 * SECOND;

    /** Time after the last arrival until all is answered. */
    private static final long TIME_AFTER_LAST_ARRIVAL = 16 * SECOND;

    final VirtualClock clock = new VirtualClock(START);
    final Scenario scenario;
    final Deployment deployment;
    final OperatorSettings operator;
    final ModuleFactory moduleFactory;
    final RandomSources random;
    final Report report;
    final List<EmulatedNode> nodes = new ArrayList<>();
    final List<EmulatedScheduler> schedulers = new ArrayList<>();
    final Clients clients;
    /** Work times slots of the mean job. */
    final double meanJobSize;

    private final Map<String, EmulatedNode> nodesById = new HashMap<>();
    private int requestCount;

    /** What makes a scheduler's module: its settings, what carries out its orders, and a look at the truth. */
    interface ModuleFactory {
        DispatchApi create(Settings settings, DispatchApi.Actions actions, TrueState trueState);
    }

    /** The state that no real scheduler sees, for a rival that shows how far sight would help. */
    interface TrueState {
        /** Expected microseconds until a job of so many slots that is sent now would start there; endless if never. */
        double expectedStartDelay(String worker, double slots);

        /** How fast it runs a job, against speed 1. */
        double speed(String worker, double slots);
    }

    Emulation(
            Scenario scenario,
            Deployment deployment,
            OperatorSettings operator,
            long seed,
            ModuleFactory moduleFactory) {
        this.scenario = scenario;
        this.deployment = deployment;
        this.operator = operator;
        this.moduleFactory = moduleFactory;
        random = new RandomSources(deployment, seed);
        report = new Report(scenario, deployment, seed);
        meanJobSize = deployment.meanJobSize();
        for (int z = 0; z < scenario.zones().size(); z++) {
            for (int n = 0; n < scenario.zones().get(z).nodes(); n++) {
                int kind = random.machineKind();
                addNode(
                        "s-" + z + "-" + n,
                        z,
                        kind,
                        random.machineSpec(deployment.machines().get(kind), scenario.cores()));
            }
        }
        double capacity = nodes.stream()
                .mapToDouble(n -> n.model.spec().cores() * n.model.spec().speed())
                .sum();
        clients = new Clients(this, scenario.load() * capacity / meanJobSize);
        for (int z = 0; z < scenario.zones().size(); z++) {
            for (int s = 0; s < scenario.zones().get(z).schedulers(); s++) {
                schedulers.add(new EmulatedScheduler(this, schedulers.size(), z));
            }
        }
    }

    /** Adds a machine, which no list tells of yet. */
    EmulatedNode addNode(String id, int zone, int kind, WorkerModel.Spec spec) {
        EmulatedNode node = new EmulatedNode(this, id, nodes.size(), zone, kind, spec);
        nodesById.put(id, node);
        nodes.add(node);
        return node;
    }

    EmulatedNode node(String id) {
        return nodesById.get(id);
    }

    /** An id that no request has had. */
    String nextRequestId() {
        return "f" + ++requestCount;
    }

    /** When all is over, on the run's clock. */
    long endTime() {
        return START + scenario.lengthMicros() + TIME_AFTER_LAST_ARRIVAL;
    }

    /** Plays the day and returns what came of it. */
    Report play() {
        schedulers.forEach(EmulatedScheduler::start);
        scenario.events().forEach(new FaultInjector(this)::schedule);
        // A client's first second has its own clock: schedulers have started by then.
        clock.runAfter(SECOND, clients::nextArrival);
        for (long t = 0; t < scenario.lengthMicros() + TIME_AFTER_LAST_ARRIVAL; t += 100 * MILLISECOND) {
            clock.runAfter(t, this::sample);
        }
        clock.runUntil(endTime());
        for (EmulatedNode n : nodes) {
            report.recordNode(n.model.coldBudgetUsed(), n.model.wasOverloadedByInformedSenders());
        }
        report.eventCount = clock.eventCount();
        return report;
    }

    /** Looks at the truth, for the report alone. */
    private void sample() {
        report.loadBalance.addSample(nodes.stream().map(EmulatedNode::sample).toList(), schedulers.size());
        int zones = scenario.zones().size();
        double[] spilledSlots = new double[zones], usableSlots = new double[zones];
        for (EmulatedNode n : nodes) {
            if (n.model.isUp() && !n.disconnected) {
                usableSlots[n.zone] += n.model.spec().cores();
            }
        }
        for (EmulatedScheduler s : schedulers) {
            if (s.isUp()) {
                for (int z = 0; z < zones; z++) {
                    spilledSlots[z] += z == s.zone ? 0 : s.outstandingSlots[z];
                }
                List<HallState> hallStates = s.module().hallStates();
                if (!hallStates.equals(s.sampledHallStates)) {
                    report.recordHallStates(
                            clock.now() - START, s.number, s.sampledHallStates, hallStates, scenario.zoneNames());
                    s.sampledHallStates = hallStates;
                }
            }
        }
        for (int z = 0; z < zones; z++) {
            report.recordSpill(z, spilledSlots[z], usableSlots[z]);
        }
    }

    /** The truth as it is from a zone. */
    TrueState trueState(int zone) {
        return new TrueState() {
            @Override
            public double expectedStartDelay(String worker, double slots) {
                EmulatedNode n = nodesById.get(worker);
                if (!n.model.isUp() || n.disconnected || n.model.isHung()) {
                    return Double.POSITIVE_INFINITY;
                }
                double over = Math.max(
                        0,
                        n.model.occupiedAndWaitingSlots()
                                + slots
                                - n.model.spec().cores());
                return over / n.model.spec().cores() * meanJobSize / n.model.pace()
                        + 2 * random.oneWayMicros(zone, n.zone);
            }

            @Override
            public double speed(String worker, double slots) {
                return nodesById.get(worker).model.pace() * (1 - nodesById.get(worker).errorShare);
            }
        };
    }
}
