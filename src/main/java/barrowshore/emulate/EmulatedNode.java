package barrowshore.emulate;

import barrowshore.model.WorkerModel;
import barrowshore.module.DispatchApi.Health;
import barrowshore.module.DispatchApi.ListKind;
import barrowshore.module.DispatchApi.Load;
import barrowshore.module.DispatchApi.Member;
import java.util.ArrayList;
import java.util.List;

/**
 * One emulated node: its worker model, and what service discovery and load reports say of it, late and with noise. It owns
 * the node's true state, which schedulers see only through those.
 */
final class EmulatedNode {
    private static final int NODES_PER_CELL = 4;
    /** A draining node is stopped after this time. */
    private static final long MAX_DRAIN_MICROS = 15 * Emulation.SECOND;

    private final Emulation emulation;
    private final VirtualClock clock;
    private final RandomSources random;
    private final Deployment deployment;

    final String id;
    final int zone;
    final int kind;
    final int number;
    /** Nodes with consecutive numbers share a cell, whatever their zones. */
    final int cell;

    final WorkerModel model;
    double errorShare;
    boolean disconnected;
    boolean replaced;
    Health health = Health.READY;
    long startedAt;
    /** Answers produced while disconnected; they are sent once it is connected again. */
    final List<Runnable> heldAnswers = new ArrayList<>();
    /** Latest published load report; null: none yet. */
    Load reportedLoad;
    /** Weight in service discovery. */
    double weight;

    EmulatedNode(Emulation emulation, String id, int number, int zone, int kind, WorkerModel.Spec spec) {
        this.emulation = emulation;
        this.clock = emulation.clock;
        this.random = emulation.random;
        this.deployment = emulation.deployment;
        this.id = id;
        this.number = number;
        this.cell = number / NODES_PER_CELL;
        this.zone = zone;
        this.kind = kind;
        Deployment.ColdStart coldStart = deployment.coldStart();
        this.model = new WorkerModel(
                clock,
                spec,
                new WorkerModel.OverloadLimit(
                        coldStart.overloadMultiple(), coldStart.overloadWindowMicros(), emulation.meanJobSize),
                deployment.visibility().progressMicros());
        weight = registeredSize();
        Deployment.Visibility visibility = deployment.visibility();
        long
                periodMicros =
                        (long) random.faultUniform(
                                visibility.reportPeriodMicros()[0], visibility.reportPeriodMicros()[1]),
                delayMicros =
                        (long) random.faultUniform(
                                visibility.reportDelayMicros()[0], visibility.reportDelayMicros()[1]);
        clock.runAfter((long) (random.faults.nextDouble() * periodMicros), () -> reportLoad(periodMicros, delayMicros));
    }

    /** Publishes the present load, and a live weight, after the reporting delay; repeats every period. */
    private void reportLoad(long periodMicros, long delayMicros) {
        Deployment.Visibility visibility = deployment.visibility();
        Load load = new Load(
                visibility.reportsInFlight() ? withNoise(model.jobCount()) : Double.NaN,
                visibility.reportsQueue() ? withNoise(model.waitingJobs()) : Double.NaN,
                visibility.reportsFreeSlots() ? withNoise(model.freeSlots()) : Double.NaN);
        clock.runAfter(delayMicros, () -> reportedLoad = load);
        if (visibility.weights() == Deployment.Weights.LIVE) {
            weight = registeredSize()
                    / (1 + model.jobCount() / (double) model.spec().cores());
            publish(health, delayMicros);
        }
        if (clock.now() < emulation.endTime()) {
            clock.runAfter(periodMicros, () -> reportLoad(periodMicros, delayMicros));
        }
    }

    /** Its registered weight: its cores, times the mean speed of its kind where the deployment weights by speed. */
    private double registeredSize() {
        Deployment.MachineKind machine = deployment.machines().get(kind);
        return deployment.visibility().weights() == Deployment.Weights.NONE
                ? 1
                : model.spec().cores()
                        * (deployment.visibility().weightsBySpeed()
                                ? (machine.speedFrom() + machine.speedTo()) / 2
                                : 1);
    }

    private double withNoise(double figure) {
        double noise = deployment.visibility().reportNoise();
        return noise == 0 ? figure : Math.max(0, figure * (1 + noise * random.normal()));
    }

    LoadBalanceStats.NodeSample sample() {
        boolean usable = model.isUp() && !disconnected && !model.isHung() && health == Health.READY && !replaced;
        return new LoadBalanceStats.NodeSample(usable ? model.capacity() : 0, model.freeSlots(), model.waitingSlots());
    }

    /** Its entry in service discovery. */
    Member listEntry() {
        return new Member(id, health, weight, cell, kind, zone, startedAt);
    }

    boolean isReachableFrom(EmulatedScheduler scheduler) {
        return !disconnected && !scheduler.unreachableZones.contains(zone);
    }

    /** Announces a health through service discovery after a delay, to each scheduler at a slightly different time. */
    void publish(Health newHealth, long delay) {
        health = newHealth;
        Member entry = listEntry();
        for (EmulatedScheduler s : emulation.schedulers) {
            clock.runAfter(delay + random.delayMicros(13, 110), () -> s.updateList(ListKind.CHANGES, List.of(entry)));
        }
    }

    /** Cuts the network; service discovery notices later. */
    void disconnect() {
        disconnected = true;
        long delay = random.delayMicros(5200, 12000);
        clock.runAfter(delay, () -> {
            if (disconnected) {
                publish(Health.GONE, 0);
            }
        });
    }

    /** Restores the network: held answers are sent and the node is listed again. */
    void reconnect() {
        disconnected = false;
        List<Runnable> answers = List.copyOf(heldAnswers);
        heldAnswers.clear();
        answers.forEach(answer -> clock.runAfter(random.delayMicros(1, 200), answer));
        if (health == Health.GONE) {
            publish(Health.READY, random.delayMicros(260, 1800));
        }
        emulation.schedulers.forEach(s -> s.deliverHeld(zone));
    }

    void crash(long listDelay) {
        model.crash();
        publish(Health.GONE, listDelay);
    }

    void drain() {
        model.setDraining(true);
        publish(Health.DRAINING, random.delayMicros(260, 1800));
        clock.runAfter(MAX_DRAIN_MICROS, () -> {
            if (health == Health.DRAINING) {
                crash(random.delayMicros(260, 1800));
            }
        });
    }

    void restart() {
        model.crash();
        model.restart();
        if (model.isUp()) {
            startedAt = clock.now();
            publish(Health.READY, random.delayMicros(260, 1800));
        }
    }
}
