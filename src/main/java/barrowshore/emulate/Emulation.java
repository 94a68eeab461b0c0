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
 * One emulated run: real decision modules against worker models, with zones, latencies, delayed service discovery, lossy
 * peer messages, and clients with deadlines and retries. It owns the true state, which modules never see: clock, nodes,
 * schedulers and clients. It takes no decisions for them, and draws random numbers from {@link RandomSources} only, so
 * that a seed determines the run.
 */
final class Emulation {
    /** In microseconds of the clock. */
    static final long MILLISECOND = 1_000, SECOND = 1_000_000;
    /** Clock time at which a run starts: large enough for 0 to mean long ago. */
    static final long START_MICROS = 1_000 * SECOND;

    /** The run continues this long after the last arrival, so that every request is answered. */
    private static final long MICROS_AFTER_LAST_ARRIVAL = 16 * SECOND;

    final VirtualClock clock = new VirtualClock(START_MICROS);
    final Scenario scenario;
    final Deployment deployment;
    final OperatorSettings operator;
    final ModuleFactory moduleFactory;
    final RandomSources random;
    final Report report;
    final List<EmulatedNode> nodes = new ArrayList<>();
    final List<EmulatedScheduler> schedulers = new ArrayList<>();
    final Clients clients;
    /** Mean over all jobs of work times slots. */
    final double meanJobSize;

    private final Map<String, EmulatedNode> nodesById = new HashMap<>();
    private int requestCount;

    /** Creates a scheduler's decision module. trueState: for baselines that may see it. */
    interface ModuleFactory {
        DispatchApi create(Settings settings, DispatchApi.Actions actions, TrueState trueState);
    }

    /** True state of nodes, which no real scheduler sees: for a baseline that shows how much knowing it would help. */
    interface TrueState {
        /** Expected microseconds until a job sent now would start there; infinite if it would not. */
        double expectedStartDelay(String worker, double slots);

        /** Speed at which it would run a job, reduced by its share of errors. */
        double slotSpeed(String worker, double slots);
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

    /** Adds a node without announcing it in service discovery. */
    EmulatedNode addNode(String id, int zone, int kind, WorkerModel.Spec spec) {
        EmulatedNode node = new EmulatedNode(this, id, nodes.size(), zone, kind, spec);
        nodesById.put(id, node);
        nodes.add(node);
        return node;
    }

    EmulatedNode node(String id) {
        return nodesById.get(id);
    }

    /** A new unique request id. */
    String nextRequestId() {
        return "f" + ++requestCount;
    }

    /** Clock time at which the run ends. */
    long endTime() {
        return START_MICROS + scenario.lengthMicros() + MICROS_AFTER_LAST_ARRIVAL;
    }

    /** Runs the scenario and returns its results. */
    Report run() {
        schedulers.forEach(EmulatedScheduler::start);
        scenario.events().forEach(new FaultInjector(this)::schedule);
        // Clients start a second later, when the schedulers have started.
        clock.runAfter(SECOND, clients::nextArrival);
        for (long t = 0; t < scenario.lengthMicros() + MICROS_AFTER_LAST_ARRIVAL; t += 100 * MILLISECOND) {
            clock.runAfter(t, this::sample);
        }
        clock.runUntil(endTime());
        for (EmulatedNode n : nodes) {
            report.recordNode(n.model.coldBudgetUsed(), n.model.wasOverloadedByInformedSenders());
        }
        report.eventCount = clock.eventCount();
        return report;
    }

    /** Samples the true state for the report. */
    private void sample() {
        report.loadBalance.addSample(nodes.stream().map(EmulatedNode::sample).toList(), schedulers.size());
        int zones = scenario.zones().size();
        double[] spilledSlots = new double[zones], usableSlots = new double[zones];
        for (EmulatedNode node : nodes) {
            if (node.model.isUp() && !node.disconnected) {
                usableSlots[node.zone] += node.model.spec().cores();
            }
        }
        for (EmulatedScheduler scheduler : schedulers) {
            if (scheduler.isUp()) {
                for (int z = 0; z < zones; z++) {
                    spilledSlots[z] += z == scheduler.zone ? 0 : scheduler.outstandingSlots[z];
                }
                List<HallState> hallStates = scheduler.module().hallStates();
                if (!hallStates.equals(scheduler.sampledHallStates)) {
                    report.recordHallStates(
                            clock.now() - START_MICROS,
                            scheduler.number,
                            scheduler.sampledHallStates,
                            hallStates,
                            scenario.zoneNames());
                    scheduler.sampledHallStates = hallStates;
                }
            }
        }
        for (int z = 0; z < zones; z++) {
            report.recordSpill(z, spilledSlots[z], usableSlots[z]);
        }
    }

    /** True state as seen from a zone: latencies depend on it. */
    TrueState trueState(int zone) {
        return new TrueState() {
            @Override
            public double expectedStartDelay(String worker, double slots) {
                EmulatedNode n = nodesById.get(worker);
                if (!n.model.isUp() || n.disconnected || n.model.isHung()) {
                    return Double.POSITIVE_INFINITY;
                }
                double slotsAhead = Math.max(
                        0,
                        n.model.occupiedAndWaitingSlots()
                                + slots
                                - n.model.spec().cores());
                return slotsAhead / n.model.spec().cores() * meanJobSize / n.model.pace()
                        + 2 * random.oneWayMicros(zone, n.zone);
            }

            @Override
            public double slotSpeed(String worker, double slots) {
                return nodesById.get(worker).model.pace() * (1 - nodesById.get(worker).errorShare);
            }
        };
    }
}
