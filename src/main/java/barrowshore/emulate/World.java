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
 * outside {@link Draws}, so that one seed gives one run.
 */
final class World {
    /** A millisecond and a second of its clock. */
    static final long MS = 1_000, S = 1_000_000;
    /** When a run begins, on its own clock: late enough that 0 means long ago. */
    static final long START = 1_000 * S;

    /** Time after the last arrival until all is answered. */
    private static final long TAIL = 16 * S;

    final VirtualClock kernel = new VirtualClock(START);
    final Scenario scenario;
    final Deployment deployment;
    final OperatorSettings operator;
    final Modules modules;
    final Draws draws;
    final Report report;
    final List<EmulatedNode> nodes = new ArrayList<>();
    final List<EmulatedScheduler> schedulers = new ArrayList<>();
    final Clients clients;
    /** Work times slots of the mean job. */
    final double meanSize;

    private final Map<String, EmulatedNode> byId = new HashMap<>();
    private int requests;

    /** What makes a scheduler's module: its settings, what carries out its orders, and a look at the truth. */
    interface Modules {
        DispatchApi make(Settings settings, DispatchApi.Actions actions, Truth truth);
    }

    /** The state that no real scheduler sees, for a rival that shows how far sight would help. */
    interface Truth {
        /** Expected microseconds until a job of so many slots that is sent now would start there; endless if never. */
        double startsIn(String worker, double slots);

        /** How fast it runs a job, against speed 1. */
        double pace(String worker, double slots);
    }

    World(Scenario scenario, Deployment deployment, OperatorSettings operator, long seed, Modules modules) {
        this.scenario = scenario;
        this.deployment = deployment;
        this.operator = operator;
        this.modules = modules;
        draws = new Draws(deployment, seed);
        report = new Report(scenario, deployment, seed);
        meanSize = deployment.meanSize();
        for (int z = 0; z < scenario.zones().size(); z++) {
            for (int n = 0; n < scenario.zones().get(z).nodes(); n++) {
                int kind = draws.kind();
                addNode(
                        "s-" + z + "-" + n,
                        z,
                        kind,
                        draws.spec(deployment.machines().get(kind), scenario.cores()));
            }
        }
        double capacity = nodes.stream()
                .mapToDouble(n -> n.model.spec().cores() * n.model.spec().speed())
                .sum();
        clients = new Clients(this, scenario.load() * capacity / meanSize);
        for (int z = 0; z < scenario.zones().size(); z++) {
            for (int s = 0; s < scenario.zones().get(z).schedulers(); s++) {
                schedulers.add(new EmulatedScheduler(this, schedulers.size(), z));
            }
        }
    }

    /** Adds a machine, which no list tells of yet. */
    EmulatedNode addNode(String id, int zone, int kind, WorkerModel.Spec spec) {
        EmulatedNode node = new EmulatedNode(this, id, nodes.size(), zone, kind, spec);
        byId.put(id, node);
        nodes.add(node);
        return node;
    }

    EmulatedNode node(String id) {
        return byId.get(id);
    }

    /** An id that no request has had. */
    String nextRequest() {
        return "f" + ++requests;
    }

    /** When all is over, on the run's clock. */
    long end() {
        return START + scenario.length() + TAIL;
    }

    /** Plays the day and returns what came of it. */
    Report play() {
        schedulers.forEach(EmulatedScheduler::start);
        scenario.happenings().forEach(new Faults(this)::plan);
        // A client's first second has its own clock: schedulers have started by then.
        kernel.runAfter(S, clients::nextArrival);
        for (long t = 0; t < scenario.length() + TAIL; t += 100 * MS) {
            kernel.runAfter(t, this::look);
        }
        kernel.runUntil(end());
        for (EmulatedNode n : nodes) {
            report.node(n.model.coldBudgetUsed(), n.model.wasOverloadedByInformedSenders());
        }
        report.events = kernel.eventCount();
        return report;
    }

    /** Looks at the truth, for the report alone. */
    private void look() {
        report.even.look(nodes.stream().map(EmulatedNode::look).toList(), schedulers.size());
        int zones = scenario.zones().size();
        double[] foreign = new double[zones], usable = new double[zones];
        for (EmulatedNode n : nodes) {
            if (n.model.isUp() && !n.vanished) {
                usable[n.zone] += n.model.spec().cores();
            }
        }
        for (EmulatedScheduler s : schedulers) {
            if (s.up()) {
                for (int z = 0; z < zones; z++) {
                    foreign[z] += z == s.zone ? 0 : s.out[z];
                }
                List<HallState> states = s.module().hallStates();
                if (!states.equals(s.states)) {
                    report.moved(kernel.now() - START, s.number, s.states, states, scenario.zoneNames());
                    s.states = states;
                }
            }
        }
        for (int z = 0; z < zones; z++) {
            report.spilled(z, foreign[z], usable[z]);
        }
    }

    /** The truth as it is from a zone. */
    Truth truth(int zone) {
        return new Truth() {
            @Override
            public double startsIn(String worker, double slots) {
                EmulatedNode n = byId.get(worker);
                if (!n.model.isUp() || n.vanished || n.model.isHung()) {
                    return Double.POSITIVE_INFINITY;
                }
                double over = Math.max(
                        0,
                        n.model.occupiedAndWaitingSlots()
                                + slots
                                - n.model.spec().cores());
                return over / n.model.spec().cores() * meanSize / n.model.pace() + 2 * draws.way(zone, n.zone);
            }

            @Override
            public double pace(String worker, double slots) {
                return byId.get(worker).model.pace() * (1 - byId.get(worker).errors);
            }
        };
    }
}
