package barrowshore.emulate;

import barrowshore.module.DispatchApi.Health;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Applies a scenario's events to nodes, schedulers, the network and the arrival rate. */
final class FaultInjector {
    private final Emulation emulation;
    private final VirtualClock clock;
    private final RandomSources random;
    private int replacementCount;

    FaultInjector(Emulation emulation) {
        this.emulation = emulation;
        this.clock = emulation.clock;
        this.random = emulation.random;
    }

    /** Schedules an event, and its end, on the clock. */
    void schedule(Scenario.ScenarioEvent event) {
        clock.runAt(Emulation.START_MICROS + event.startMicros(), () -> {
            switch (event.type()) {
                case BURST -> emulation.clients.startBurst(event.factor(), event.durationMicros());
                case RESTART -> {
                    EmulatedScheduler scheduler = emulation.schedulers.get(event.scheduler());
                    scheduler.crash();
                    clock.runAfter(event.durationMicros(), scheduler::start);
                }
                case CUT -> {
                    EmulatedScheduler scheduler = emulation.schedulers.get(event.scheduler());
                    scheduler.unreachableZones.add(event.zone());
                    clock.runAfter(event.durationMicros(), () -> {
                        scheduler.unreachableZones.remove(event.zone());
                        scheduler.deliverHeld(event.zone());
                    });
                }
                case TROUBLES -> {
                    for (int k = 0; k < (int) event.factor(); k++) {
                        injectRandomFault(event);
                    }
                }
                default -> applyToNodes(event);
            }
        });
    }

    /** Applies an event to a share of a zone's nodes, and ends it for those that return. */
    private void applyToNodes(Scenario.ScenarioEvent event) {
        List<EmulatedNode> candidates = emulation.nodes.stream()
                .filter(node -> node.zone == event.zone() && !node.replaced)
                .toList();
        int count = (int) Math.round(event.nodeShare() * candidates.size());
        int returning = (int) Math.round(event.returnShare() * count);
        if (event.type() == Scenario.EventType.VANISH
                || event.type() == Scenario.EventType.CRASH
                || event.type() == Scenario.EventType.RENEW) {
            emulation.report.recordOutage(
                    event.zone(), clock.now() - Emulation.START_MICROS, event.durationMicros(), event.nodeShare());
        }
        for (int k = 0; k < count; k++) {
            EmulatedNode node = candidates.get(k);
            boolean returns = k < returning;
            long spread = event.spreadMicros();
            clock.runAfter((long) (random.faults.nextDouble() * spread), () -> begin(event, node));
            if (returns) {
                clock.runAfter(
                        event.durationMicros() + (long) (random.faults.nextDouble() * spread), () -> end(event, node));
            }
        }
    }

    private void begin(Scenario.ScenarioEvent event, EmulatedNode node) {
        switch (event.type()) {
            case VANISH -> node.disconnect();
            case CRASH, RENEW -> node.crash(random.delayMicros(550, 5000));
            case DRAIN -> node.drain();
            case UNLIST -> node.publish(Health.GONE, random.delayMicros(260, 1800));
            case HANG -> node.model.setHung(true);
            case SLOW -> node.model.setSlowdown(event.factor());
            default -> throw new IllegalStateException("cannot begin at a node: event type " + event.type());
        }
    }

    private void end(Scenario.ScenarioEvent event, EmulatedNode node) {
        switch (event.type()) {
            case VANISH -> node.reconnect();
            case CRASH -> node.restart();
            case RENEW -> {
                node.replaced = true;
                EmulatedNode replacement =
                        emulation.addNode(node.id + "-r" + ++replacementCount, node.zone, node.kind, node.model.spec());
                replacement.model.restart();
                replacement.startedAt = clock.now();
                replacement.publish(Health.READY, random.delayMicros(260, 1800));
            }
            case DRAIN -> node.restart();
            case UNLIST -> node.publish(Health.READY, random.delayMicros(260, 1800));
            case HANG -> node.model.setHung(false);
            case SLOW -> node.model.setSlowdown(1);
            default -> throw new IllegalStateException("cannot end at a node: event type " + event.type());
        }
    }

    /**
     * Injects one fault into a few random nodes, with the ranges seen in production (8.2 to 8.5 of the site's brief). kind
     * 0: slowdown; 1: hang; 2: errors; 3: lost capacity.
     */
    private void injectRandomFault(Scenario.ScenarioEvent event) {
        clock.runAfter((long) (random.faults.nextDouble() * event.durationMicros() / 2), () -> {
            int count = emulation.nodes.size();
            int kind = random.faults.nextInt(4);
            double share =
                    switch (kind) {
                        case 0 -> random.faultUniform(0.057, 0.23);
                        case 1 -> random.faultUniform(0.056, 0.16);
                        case 2 -> random.faultUniform(0.084, 0.19);
                        default -> random.faultUniform(0.11, 0.44);
                    };
            long duration = (long) (switch (kind) {
                        case 0 -> random.faultUniform(10, 28);
                        case 1 -> random.faultUniform(8.3, 24);
                        case 2 -> random.faultUniform(5.4, 27);
                        default -> random.faultUniform(18, 39);
                    }
                    * Emulation.SECOND);
            Set<EmulatedNode> chosen = new HashSet<>();
            List<EmulatedNode> affected = new ArrayList<>();
            while (chosen.size() < Math.max(1, (int) (share * count))) {
                EmulatedNode node = emulation.nodes.get(random.faults.nextInt(count));
                if (chosen.add(node)) {
                    affected.add(node);
                }
            }
            double severity = kind == 0
                    ? random.faultUniform(2, 9.9)
                    : kind == 2 ? random.faultUniform(0.42, 0.94) : random.faultUniform(0.31, 0.7);
            for (EmulatedNode node : affected) {
                switch (kind) {
                    case 0 -> node.model.setSlowdown(severity);
                    case 1 -> {
                        node.model.setHung(true);
                        emulation.report.recordHung(
                                node.zone,
                                emulation.nodes.stream()
                                        .filter(other -> other.zone == node.zone && other.model.isHung())
                                        .count());
                    }
                    case 2 -> node.errorShare = severity;
                    default -> node.model.setSlowdown(1 / (1 - severity));
                }
            }
            clock.runAfter(
                    duration,
                    () -> affected.forEach(node -> {
                        node.model.setSlowdown(1);
                        node.model.setHung(false);
                        node.errorShare = 0;
                    }));
        });
    }
}
