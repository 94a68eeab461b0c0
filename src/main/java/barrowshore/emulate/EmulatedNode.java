package barrowshore.emulate;

import barrowshore.model.WorkerModel;
import barrowshore.module.DispatchApi.Health;
import barrowshore.module.DispatchApi.ListKind;
import barrowshore.module.DispatchApi.Load;
import barrowshore.module.DispatchApi.Member;
import java.util.ArrayList;
import java.util.List;

/**
 * One machine of the emulated world: its model, and what the list and load reports tell of it, late and with noise. It owns
 * what is true of the machine; schedulers see none of that but what is told.
 */
final class EmulatedNode {
    /** Machines in a cell. */
    private static final int CELL = 4;
    /** How long a machine that is drained may go on. */
    private static final long DRAIN_TIME = 15 * World.S;

    private final World world;
    private final VirtualClock kernel;
    private final Draws draws;
    private final Deployment deployment;

    final String id;
    final int zone;
    final int kind;
    final int number;
    /** Cells are a few machines each, within a zone. */
    final int cell;

    final WorkerModel model;
    double errors;
    boolean vanished;
    boolean gone;
    Health health = Health.READY;
    long boot;
    /** What it has to say while it is cut off; it says it when it is back. */
    final List<Runnable> unsaid = new ArrayList<>();
    /** As its load was last reported; null: not yet, or such reports tell nothing. */
    Load reported;
    /** The weight that the list tells of it. */
    double weight;

    EmulatedNode(World world, String id, int number, int zone, int kind, WorkerModel.Spec spec) {
        this.world = world;
        this.kernel = world.kernel;
        this.draws = world.draws;
        this.deployment = world.deployment;
        this.id = id;
        this.number = number;
        this.cell = number / CELL;
        this.zone = zone;
        this.kind = kind;
        Deployment.Rules rules = deployment.rules();
        this.model = new WorkerModel(
                kernel,
                spec,
                new WorkerModel.OverloadLimit(rules.fallMultiple(), rules.fall(), world.meanSize),
                deployment.told().progress());
        weight = size();
        Deployment.Told told = deployment.told();
        long every = (long) draws.fated(told.period()[0], told.period()[1]),
                late = (long) draws.fated(told.delay()[0], told.delay()[1]);
        kernel.runAfter((long) (draws.fate.nextDouble() * every), () -> renew(every, late));
    }

    /** Its load as it is now comes to be known a while later, and so does a weight that follows it. */
    private void renew(long every, long late) {
        Deployment.Told told = deployment.told();
        Load load = new Load(
                told.inFlight() ? noisy(model.jobCount()) : Double.NaN,
                told.queue() ? noisy(model.waitingJobs()) : Double.NaN,
                told.free() ? noisy(model.freeSlots()) : Double.NaN);
        kernel.runAfter(late, () -> reported = load);
        if (told.weights() == Deployment.Weights.LIVE) {
            weight = size() / (1 + model.jobCount() / (double) model.spec().cores());
            tell(health, late);
        }
        if (kernel.now() < world.end()) {
            kernel.runAfter(every, () -> renew(every, late));
        }
    }

    /** What is registered of it: its cores, by their usual speed where the site counts so. */
    private double size() {
        Deployment.Machine m = deployment.machines().get(kind);
        return deployment.told().weights() == Deployment.Weights.NONE
                ? 1
                : model.spec().cores() * (deployment.told().bySpeed() ? (m.speedFrom() + m.speedTo()) / 2 : 1);
    }

    private double noisy(double figure) {
        double noise = deployment.told().noise();
        return noise == 0 ? figure : Math.max(0, figure * (1 + noise * draws.normal()));
    }

    Evenness.Look look() {
        boolean usable = model.isUp() && !vanished && !model.isHung() && health == Health.READY && !gone;
        return new Evenness.Look(usable ? model.capacity() : 0, model.freeSlots(), model.waitingSlots());
    }

    /** Its line of the list. */
    Member entry() {
        return new Member(id, health, weight, cell, kind, zone, boot);
    }

    boolean reachable(EmulatedScheduler from) {
        return !vanished && !from.cutFrom.contains(zone);
    }

    /** The list hears of it late, each scheduler a little apart. */
    void tell(Health now, long late) {
        health = now;
        Member entry = entry();
        for (EmulatedScheduler s : world.schedulers) {
            kernel.runAfter(late + draws.between(13, 110), () -> s.list(ListKind.CHANGES, List.of(entry)));
        }
    }

    void vanish() {
        vanished = true;
        long late = draws.between(5200, 12000);
        kernel.runAfter(late, () -> {
            if (vanished) {
                tell(Health.GONE, 0);
            }
        });
    }

    void appear() {
        vanished = false;
        List<Runnable> late = List.copyOf(unsaid);
        unsaid.clear();
        late.forEach(run -> kernel.runAfter(draws.between(1, 200), run));
        if (health == Health.GONE) {
            tell(Health.READY, draws.between(260, 1800));
        }
        world.schedulers.forEach(s -> s.reconnect(zone));
    }

    void die(long late) {
        model.crash();
        tell(Health.GONE, late);
    }

    void drain() {
        model.setDraining(true);
        tell(Health.DRAINING, draws.between(260, 1800));
        kernel.runAfter(DRAIN_TIME, () -> {
            if (health == Health.DRAINING) {
                die(draws.between(260, 1800));
            }
        });
    }

    void rise() {
        model.crash();
        model.restart();
        if (model.isUp()) {
            boot = kernel.now();
            tell(Health.READY, draws.between(260, 1800));
        }
    }
}
