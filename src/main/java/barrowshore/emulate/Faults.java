package barrowshore.emulate;

import barrowshore.module.DispatchApi.Health;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** What a scenario has happen: to machines, schedulers and the connections between them, and to how many clients come. */
final class Faults {
    private final World world;
    private final VirtualClock kernel;
    private final Draws draws;
    private int renewed;

    Faults(World world) {
        this.world = world;
        this.kernel = world.kernel;
        this.draws = world.draws;
    }

    /** Has it happen when it is due. */
    void plan(Scenario.Happening what) {
        kernel.runAt(World.START + what.at(), () -> {
            switch (what.what()) {
                case BURST -> world.clients.burst(what.factor(), what.lasts());
                case RESTART -> {
                    EmulatedScheduler s = world.schedulers.get(what.scheduler());
                    s.die();
                    kernel.runAfter(what.lasts(), s::start);
                }
                case CUT -> {
                    EmulatedScheduler s = world.schedulers.get(what.scheduler());
                    s.cutFrom.add(what.zone());
                    kernel.runAfter(what.lasts(), () -> {
                        s.cutFrom.remove(what.zone());
                        s.reconnect(what.zone());
                    });
                }
                case TROUBLES -> {
                    for (int k = 0; k < (int) what.factor(); k++) {
                        trouble(what);
                    }
                }
                default -> atMachines(what);
            }
        });
    }

    /** What befalls a part of a zone's machines, of which some come back. */
    private void atMachines(Scenario.Happening what) {
        List<EmulatedNode> in = world.nodes.stream()
                .filter(n -> n.zone == what.zone() && !n.gone)
                .toList();
        int count = (int) Math.round(what.part() * in.size());
        int back = (int) Math.round(what.back() * count);
        if (what.what() == Scenario.What.VANISH
                || what.what() == Scenario.What.CRASH
                || what.what() == Scenario.What.RENEW) {
            world.report.dark(what.zone(), kernel.now() - World.START, what.lasts(), what.part());
        }
        for (int k = 0; k < count; k++) {
            EmulatedNode n = in.get(k);
            boolean returns = k < back;
            long spread = what.spread();
            kernel.runAfter((long) (draws.fate.nextDouble() * spread), () -> begin(what, n));
            if (returns) {
                kernel.runAfter(what.lasts() + (long) (draws.fate.nextDouble() * spread), () -> end(what, n));
            }
        }
    }

    private void begin(Scenario.Happening what, EmulatedNode n) {
        switch (what.what()) {
            case VANISH -> n.vanish();
            case CRASH, RENEW -> n.die(draws.between(550, 5000));
            case DRAIN -> n.drain();
            case UNLIST -> n.tell(Health.GONE, draws.between(260, 1800));
            case HANG -> n.model.setHung(true);
            case SLOW -> n.model.setSlowdown(what.factor());
            default -> throw new IllegalStateException("nothing begins with " + what.what());
        }
    }

    private void end(Scenario.Happening what, EmulatedNode n) {
        switch (what.what()) {
            case VANISH -> n.appear();
            case CRASH -> n.rise();
            case RENEW -> {
                n.gone = true;
                EmulatedNode fresh = world.addNode(n.id + "-r" + ++renewed, n.zone, n.kind, n.model.spec());
                fresh.model.restart();
                fresh.boot = kernel.now();
                fresh.tell(Health.READY, draws.between(260, 1800));
            }
            case DRAIN -> n.rise();
            case UNLIST -> n.tell(Health.READY, draws.between(260, 1800));
            case HANG -> n.model.setHung(false);
            case SLOW -> n.model.setSlowdown(1);
            default -> throw new IllegalStateException("nothing ends with " + what.what());
        }
    }

    /** One trouble of a single node or a few, as seen in service (8.2 to 8.5). */
    private void trouble(Scenario.Happening when) {
        kernel.runAfter((long) (draws.fate.nextDouble() * when.lasts() / 2), () -> {
            int count = world.nodes.size();
            int kind = draws.fate.nextInt(4);
            double part =
                    switch (kind) {
                        case 0 -> draws.fated(0.057, 0.23);
                        case 1 -> draws.fated(0.056, 0.16);
                        case 2 -> draws.fated(0.084, 0.19);
                        default -> draws.fated(0.11, 0.44);
                    };
            long lasts = (long) (switch (kind) {
                        case 0 -> draws.fated(10, 28);
                        case 1 -> draws.fated(8.3, 24);
                        case 2 -> draws.fated(5.4, 27);
                        default -> draws.fated(18, 39);
                    }
                    * World.S);
            Set<EmulatedNode> hit = new HashSet<>();
            List<EmulatedNode> order = new ArrayList<>();
            while (hit.size() < Math.max(1, (int) (part * count))) {
                EmulatedNode n = world.nodes.get(draws.fate.nextInt(count));
                if (hit.add(n)) {
                    order.add(n);
                }
            }
            double size =
                    kind == 0 ? draws.fated(2, 9.9) : kind == 2 ? draws.fated(0.42, 0.94) : draws.fated(0.31, 0.7);
            for (EmulatedNode n : order) {
                switch (kind) {
                    case 0 -> n.model.setSlowdown(size);
                    case 1 -> {
                        n.model.setHung(true);
                        world.report.hung(
                                n.zone,
                                world.nodes.stream()
                                        .filter(o -> o.zone == n.zone && o.model.isHung())
                                        .count());
                    }
                    case 2 -> n.errors = size;
                    default -> n.model.setSlowdown(1 / (1 - size));
                }
            }
            kernel.runAfter(
                    lasts,
                    () -> order.forEach(n -> {
                        n.model.setSlowdown(1);
                        n.model.setHung(false);
                        n.errors = 0;
                    }));
        });
    }
}
