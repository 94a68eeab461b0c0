package barrowshore.emulate;

import barrowshore.emulate.Deployment.ClassOf;
import barrowshore.halls.HallState;
import barrowshore.model.NodeModel;
import barrowshore.module.DispatchApi;
import barrowshore.module.DispatchApi.Effect;
import barrowshore.module.DispatchApi.Health;
import barrowshore.module.DispatchApi.JobClass;
import barrowshore.module.DispatchApi.ListKind;
import barrowshore.module.DispatchApi.Load;
import barrowshore.module.DispatchApi.Member;
import barrowshore.module.DispatchApi.Note;
import barrowshore.module.DispatchApi.Reports;
import barrowshore.module.DispatchApi.Request;
import barrowshore.module.DispatchApi.Settings;
import barrowshore.module.DispatchApi.Status;
import barrowshore.operator.Operator;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * One emulated day: real decision modules against models of order nodes, with halls, delays, a late list, lossy messages
 * between schedulers, and clients with deadlines and retries. It owns everything that the modules do not: the world's
 * truth, which they never see. It must never decide anything for them, nor draw a random number outside its own source,
 * so that one seed gives one run.
 */
final class World {
    private static final long MS = 1_000, S = 1_000_000;
    /** When a run begins, on its own clock: late enough that 0 means long ago. */
    static final long START = 1_000 * S;

    private static final int CELL = 4;
    private static final long CONNECT_TIMEOUT = 250 * MS, PROBE_TIMEOUT = 400 * MS;
    /** Time after the last arrival until all is answered. */
    private static final long TAIL = 16 * S;

    private static final double[] SLOTS = {1, 2, 4};

    private final Kernel kernel = new Kernel(START);
    private final Scenario scenario;
    private final Deployment deployment;
    private final List<ClassOf> classes;
    private final Modules modules;
    /**
     * What is drawn for the day, what befalls machines, and all the rest, each from its own source: whatever modules do, the
     * same seed gives them the same day.
     */
    private final UniformRandomProvider day, fate, random;

    private final SharedStateContinuousSampler exponential;
    private final SharedStateContinuousSampler[] works;
    private final SharedStateContinuousSampler normal;
    private final List<Node> nodes = new ArrayList<>();
    private final Map<String, Node> byId = new HashMap<>();
    private final List<Scheduler> schedulers = new ArrayList<>();
    private final Report report;
    private final Operator operator;
    private double meanSize;
    private double rate;
    private double burst = 1;
    private int flows;
    private int renewed;

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

    World(Scenario scenario, Deployment deployment, Operator operator, long seed, Modules modules) {
        this.scenario = scenario;
        this.deployment = deployment;
        this.classes = deployment.classes();
        this.operator = operator;
        this.modules = modules;
        random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        day = RandomSource.XO_SHI_RO_256_PP.create(seed * 31 + 1);
        fate = RandomSource.XO_SHI_RO_256_PP.create(seed * 31 + 2);
        exponential = ZigguratSampler.Exponential.of(day);
        normal = ZigguratSampler.NormalizedGaussian.of(random);
        works = new SharedStateContinuousSampler[classes.size()];
        report = new Report(scenario, deployment, seed);
        for (int c = 0; c < works.length; c++) {
            ClassOf k = classes.get(c);
            double sigma = Math.sqrt(Math.log(1 + k.spread() * k.spread()));
            works[c] = LogNormalSampler.of(
                    ZigguratSampler.NormalizedGaussian.of(day), Math.log(k.work()) - sigma * sigma / 2, sigma);
        }
        meanSize = deployment.meanSize();
        for (int h = 0; h < scenario.halls().size(); h++) {
            for (int n = 0; n < scenario.halls().get(h).nodes(); n++) {
                int kind = kind();
                nodes.add(new Node(
                        "s-" + h + "-" + n, h, kind, spec(deployment.machines().get(kind))));
            }
        }
        double capacity = nodes.stream()
                .mapToDouble(n -> n.model.spec().cores() * n.model.spec().speed())
                .sum();
        rate = scenario.load() * capacity / meanSize;
        for (int h = 0; h < scenario.halls().size(); h++) {
            for (int s = 0; s < scenario.halls().get(h).schedulers(); s++) {
                schedulers.add(new Scheduler(schedulers.size(), h));
            }
        }
    }

    private int kind() {
        double pick = fate.nextDouble();
        int kind = 0;
        while (kind < deployment.machines().size() - 1
                && (pick -= deployment.machines().get(kind).share()) > 0) {
            kind++;
        }
        return kind;
    }

    private NodeModel.Spec spec(Deployment.Machine m) {
        int cores = m.cores() == 0 ? scenario.cores() : m.cores();
        double least = deployment.rules().startCapacity();
        return new NodeModel.Spec(
                cores,
                fated(m.speedFrom(), m.speedTo()),
                cores * fated(m.queueFrom(), m.queueTo()),
                fate.nextBoolean(),
                fated(least, least * 2),
                (long) (deployment.rules().cold() * fated(0.5, 1)));
    }

    private double fated(double from, double to) {
        return from + (to - from) * fate.nextDouble();
    }

    private double uniform(double from, double to) {
        return from + (to - from) * random.nextDouble();
    }

    private long between(double fromMillis, double toMillis) {
        return (long) (uniform(fromMillis, toMillis) * MS);
    }

    /** One way between two halls. */
    private long way(int from, int to) {
        long[] range = from == to ? deployment.net().same() : deployment.net().cross();
        return (long) (1 + uniform(range[0], range[1]));
    }

    /** Plays the day and returns what came of it. */
    Report play() {
        schedulers.forEach(Scheduler::start);
        scenario.happenings().forEach(this::plan);
        // A client's first second has its own clock: schedulers have started by then.
        kernel.after(S, this::nextArrival);
        for (long t = 0; t < scenario.length() + TAIL; t += 100 * MS) {
            kernel.after(t, this::look);
        }
        kernel.run(START + scenario.length() + TAIL);
        for (Node n : nodes) {
            report.node(n.model.coldUse(), n.model.pushedOver());
        }
        report.events = kernel.events();
        return report;
    }

    /** Looks at the truth, for the report alone. */
    private void look() {
        report.even.look(nodes.stream().map(Node::look).toList(), schedulers.size());
        int halls = scenario.halls().size();
        double[] foreign = new double[halls], usable = new double[halls], can = new double[halls];
        for (Node n : nodes) {
            if (n.model.up() && !n.vanished) {
                usable[n.hall] += n.model.spec().cores();
            }
        }
        for (Scheduler s : schedulers) {
            if (s.module != null) {
                for (int h = 0; h < halls; h++) {
                    foreign[h] += h == s.hall ? 0 : s.out[h];
                }
                List<HallState> states = s.module.halls();
                if (!states.equals(s.states)) {
                    report.moved(kernel.now() - START, s.number, s.states, states, scenario.hallNames());
                    s.states = states;
                }
            }
        }
        for (int h = 0; h < halls; h++) {
            report.spilled(h, foreign[h], usable[h]);
        }
    }

    // What happens.

    private void plan(Scenario.Happening what) {
        kernel.at(START + what.at(), () -> {
            switch (what.what()) {
                case BURST -> {
                    burst *= what.factor();
                    kernel.after(what.lasts(), () -> burst /= what.factor());
                }
                case RESTART -> {
                    Scheduler s = schedulers.get(what.scheduler());
                    s.die();
                    kernel.after(what.lasts(), s::start);
                }
                case CUT -> {
                    Scheduler s = schedulers.get(what.scheduler());
                    s.cutFrom.add(what.hall());
                    kernel.after(what.lasts(), () -> {
                        s.cutFrom.remove(what.hall());
                        s.reconnect(what.hall());
                    });
                }
                case TROUBLES -> {
                    for (int k = 0; k < (int) what.factor(); k++) {
                        trouble(what);
                    }
                }
                default -> {
                    List<Node> in = nodes.stream()
                            .filter(n -> n.hall == what.hall() && !n.gone)
                            .toList();
                    int count = (int) Math.round(what.part() * in.size());
                    int back = (int) Math.round(what.back() * count);
                    if (what.what() == Scenario.What.VANISH
                            || what.what() == Scenario.What.CRASH
                            || what.what() == Scenario.What.RENEW) {
                        report.dark(what.hall(), kernel.now() - START, what.lasts(), what.part());
                    }
                    for (int k = 0; k < count; k++) {
                        Node n = in.get(k);
                        boolean returns = k < back;
                        long spread = what.spread();
                        kernel.after((long) (fate.nextDouble() * spread), () -> begin(what, n));
                        if (returns) {
                            kernel.after(what.lasts() + (long) (fate.nextDouble() * spread), () -> end(what, n));
                        }
                    }
                }
            }
        });
    }

    private void begin(Scenario.Happening what, Node n) {
        switch (what.what()) {
            case VANISH -> n.vanish();
            case CRASH, RENEW -> n.die(between(550, 5000));
            case DRAIN -> n.drain();
            case UNLIST -> n.tell(Health.GONE, between(260, 1800));
            case HANG -> n.model.hang(true);
            case SLOW -> n.model.slow(what.factor());
            default -> throw new IllegalStateException("nothing begins with " + what.what());
        }
    }

    private void end(Scenario.Happening what, Node n) {
        switch (what.what()) {
            case VANISH -> n.appear();
            case CRASH -> n.rise();
            case RENEW -> {
                n.gone = true;
                Node fresh = new Node(n.id + "-r" + ++renewed, n.hall, n.kind, n.model.spec());
                nodes.add(fresh);
                fresh.model.restart();
                fresh.boot = kernel.now();
                fresh.tell(Health.READY, between(260, 1800));
            }
            case DRAIN -> n.rise();
            case UNLIST -> n.tell(Health.READY, between(260, 1800));
            case HANG -> n.model.hang(false);
            case SLOW -> n.model.slow(1);
            default -> throw new IllegalStateException("nothing ends with " + what.what());
        }
    }

    /** One trouble of a single node or a few, as seen in service (8.2 to 8.5). */
    private void trouble(Scenario.Happening when) {
        kernel.after((long) (fate.nextDouble() * when.lasts() / 2), () -> {
            int count = nodes.size();
            int kind = fate.nextInt(4);
            double part =
                    switch (kind) {
                        case 0 -> fated(0.057, 0.23);
                        case 1 -> fated(0.056, 0.16);
                        case 2 -> fated(0.084, 0.19);
                        default -> fated(0.11, 0.44);
                    };
            long lasts = (long) (switch (kind) {
                        case 0 -> fated(10, 28);
                        case 1 -> fated(8.3, 24);
                        case 2 -> fated(5.4, 27);
                        default -> fated(18, 39);
                    }
                    * S);
            Set<Node> hit = new HashSet<>();
            List<Node> order = new ArrayList<>();
            while (hit.size() < Math.max(1, (int) (part * count))) {
                Node n = nodes.get(fate.nextInt(count));
                if (hit.add(n)) {
                    order.add(n);
                }
            }
            double size = kind == 0 ? fated(2, 9.9) : kind == 2 ? fated(0.42, 0.94) : fated(0.31, 0.7);
            for (Node n : order) {
                switch (kind) {
                    case 0 -> n.model.slow(size);
                    case 1 -> {
                        n.model.hang(true);
                        report.hung(
                                n.hall,
                                nodes.stream()
                                        .filter(o -> o.hall == n.hall && o.model.hung())
                                        .count());
                    }
                    case 2 -> n.errors = size;
                    default -> n.model.slow(1 / (1 - size));
                }
            }
            kernel.after(
                    lasts,
                    () -> order.forEach(n -> {
                        n.model.slow(1);
                        n.model.hang(false);
                        n.errors = 0;
                    }));
        });
    }

    // Clients.

    private void nextArrival() {
        if (kernel.now() >= START + scenario.length()) {
            return;
        }
        arrive();
        kernel.after((long) Math.max(1, exponential.sample() / (rate * burst)), this::nextArrival);
    }

    private record Start(Node node, long came, Object request) {}

    /** What a client wants: one thing, however often it tries. */
    private final class Wish {
        final int type;
        final int hall;
        final double slots;
        final double work;
        final double guess;
        final long since = kernel.now();
        final int tenant;
        int tries;
        boolean served;
        /** Where it has started, and when it had come there. */
        private final List<Start> starts = new ArrayList<>(1);

        Wish(int type, int hall, double slots, double work, double guess, int tenant) {
            this.type = type;
            this.hall = hall;
            this.slots = slots;
            this.work = work;
            this.guess = guess;
            this.tenant = tenant;
        }

        /**
         * It started on a node. A second start breaks a rule unless its class is safe, or the node drops repeats. A keyed
         * job that a client sends again is another request: schedulers are not told when the key was first used.
         */
        void started(Node node, long came, Object request) {
            ClassOf k = classes.get(type);
            for (Start s : starts) {
                boolean dropped = k.effect() == Effect.KEYED
                        && (s.request != request
                                || came - s.came < k.window()
                                        && switch (k.scope()) {
                                            case ALL -> true;
                                            case ZONE -> s.node.hall == node.hall;
                                            case CELL -> s.node.cell == node.cell;
                                        });
                report.twice += k.effect() == Effect.SAFE || dropped ? 0 : 1;
            }
            starts.add(new Start(node, came, request));
        }

        /** A client knows how long nodes remember its key. */
        boolean mayTryAgain(long after) {
            return classes.get(type).effect() != Effect.KEYED
                    || starts.stream()
                            .allMatch(s ->
                                    kernel.now() + after + classes.get(type).deadline() - s.came
                                            < classes.get(type).window());
        }

        /** What it pays: its class's worth, for each unit of work where the site counts so. */
        double worth() {
            ClassOf k = classes.get(type);
            return k.worth() * (deployment.prices().worthByWork() ? work * slots / k.work() : 1);
        }

        boolean inTime() {
            return kernel.now() - since
                    <= classes.get(type).aim() + classes.get(type).stretch() * work;
        }
    }

    private void arrive() {
        double pick = day.nextDouble();
        int type = 0;
        while (type < classes.size() - 1 && (pick -= classes.get(type).share()) > 0) {
            type++;
        }
        ClassOf k = classes.get(type);
        double chance = day.nextDouble();
        int s = 0;
        while (s < k.slots().length - 1 && (chance -= k.slots()[s]) > 0) {
            s++;
        }
        double all = scenario.halls().stream()
                .mapToDouble(Scenario.HallSpec::clients)
                .sum();
        double where = day.nextDouble() * all;
        int hall = 0;
        while (hall < scenario.halls().size() - 1
                && (where -= scenario.halls().get(hall).clients()) > 0) {
            hall++;
        }
        double work = works[type].sample(),
                guess =
                        switch (deployment.told().hints()) {
                            case NONE -> 0;
                            case GOOD -> work * Math.exp(0.1 * normal.sample());
                            case MISLEADING -> k.work() * Math.exp(1.5 * normal.sample());
                        };
        Wish wish = new Wish(type, hall, SLOTS[s], work, guess, day.nextInt(7));
        report.asked(kernel.now() - START, wish.hall, wish.type, wish.worth(), wish.work * wish.slots);
        attempt(wish);
    }

    private void attempt(Wish wish) {
        wish.tries++;
        List<Scheduler> there =
                schedulers.stream().filter(s -> s.hall == wish.hall).toList();
        Scheduler to = there.get(random.nextInt(there.size()));
        if (to.module == null) {
            retry(wish, 0); // nobody there: the front has not noticed yet
            return;
        }
        to.open(wish);
    }

    private void retry(Wish wish, long after) {
        long wait = Math.max(after, between(6, 48));
        if (wish.tries <= scenario.retries() && wish.mayTryAgain(wait)) {
            kernel.after(wait, () -> attempt(wish));
        }
    }

    private Truth truth(int hall) {
        return new Truth() {
            @Override
            public double startsIn(String worker, double slots) {
                Node n = byId.get(worker);
                if (!n.model.up() || n.vanished || n.model.hung()) {
                    return Double.POSITIVE_INFINITY;
                }
                double over =
                        Math.max(0, n.model.heldSlots() + slots - n.model.spec().cores());
                return over / n.model.spec().cores() * meanSize / n.model.pace() + 2 * way(hall, n.hall);
            }

            @Override
            public double pace(String worker, double slots) {
                return byId.get(worker).model.pace() * (1 - byId.get(worker).errors);
            }
        };
    }

    // Order nodes.

    private final class Node {
        final String id;
        final int hall;
        final int kind;
        final int number = nodes.size();
        /** Cells are a few machines each, within a zone. */
        final int cell = number / CELL;

        final NodeModel model;
        double errors;
        boolean vanished;
        boolean gone;
        Health health = Health.READY;
        long boot;
        /** What it has to say while it is cut off; it says it when it is back. */
        private final List<Runnable> unsaid = new ArrayList<>();
        /** As its load was last reported; null: not yet, or such reports tell nothing. */
        Load reported;
        /** The weight that the list tells of it. */
        double weight;

        Node(String id, int hall, int kind, NodeModel.Spec spec) {
            this.id = id;
            this.hall = hall;
            this.kind = kind;
            byId.put(id, this);
            Deployment.Rules rules = deployment.rules();
            this.model = new NodeModel(
                    kernel,
                    spec,
                    new NodeModel.Falling(rules.fallMultiple(), rules.fall(), meanSize),
                    deployment.told().progress());
            weight = size();
            Deployment.Told told = deployment.told();
            long every = (long) fated(told.period()[0], told.period()[1]),
                    late = (long) fated(told.delay()[0], told.delay()[1]);
            kernel.after((long) (fate.nextDouble() * every), () -> renew(every, late));
        }

        /** Its load as it is now comes to be known a while later, and so does a weight that follows it. */
        private void renew(long every, long late) {
            Deployment.Told told = deployment.told();
            Load load = new Load(
                    told.inFlight() ? noisy(model.held()) : Double.NaN,
                    told.queue() ? noisy(model.waiting()) : Double.NaN,
                    told.free() ? noisy(model.freeSlots()) : Double.NaN);
            kernel.after(late, () -> reported = load);
            if (told.weights() == Deployment.Weights.LIVE) {
                weight = size() / (1 + model.held() / (double) model.spec().cores());
                tell(health, late);
            }
            if (kernel.now() < START + scenario.length() + TAIL) {
                kernel.after(every, () -> renew(every, late));
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
            return noise == 0 ? figure : Math.max(0, figure * (1 + noise * normal.sample()));
        }

        Evenness.Look look() {
            boolean usable = model.up() && !vanished && !model.hung() && health == Health.READY && !gone;
            return new Evenness.Look(usable ? model.capacity() : 0, model.freeSlots(), model.waitingSlots());
        }

        /** Its line of the list. */
        Member entry() {
            return new Member(id, health, weight, cell, kind, hall, boot);
        }

        boolean reachable(Scheduler from) {
            return !vanished && !from.cutFrom.contains(hall);
        }

        /** The list hears of it late, each scheduler a little apart. */
        void tell(Health now, long late) {
            health = now;
            Member entry = entry();
            for (Scheduler s : schedulers) {
                kernel.after(late + between(13, 110), () -> s.list(ListKind.CHANGES, List.of(entry)));
            }
        }

        void vanish() {
            vanished = true;
            long late = between(5200, 12000);
            kernel.after(late, () -> {
                if (vanished) {
                    tell(Health.GONE, 0);
                }
            });
        }

        void appear() {
            vanished = false;
            List<Runnable> late = List.copyOf(unsaid);
            unsaid.clear();
            late.forEach(run -> kernel.after(between(1, 200), run));
            if (health == Health.GONE) {
                tell(Health.READY, between(260, 1800));
            }
            schedulers.forEach(s -> s.reconnect(hall));
        }

        void die(long late) {
            model.crash();
            tell(Health.GONE, late);
        }

        void drain() {
            model.drain(true);
            tell(Health.DRAINING, between(260, 1800));
            kernel.after(15 * S, () -> {
                if (health == Health.DRAINING) {
                    die(between(260, 1800));
                }
            });
        }

        void rise() {
            model.crash();
            model.restart();
            if (model.up()) {
                boot = kernel.now();
                tell(Health.READY, between(260, 1800));
            }
        }
    }

    // Schedulers.

    /** One scheduler: a real module, and the books that a scheduler on sockets keeps round it. */
    private final class Scheduler implements DispatchApi.Actions {
        final int number;
        final int hall;
        final Set<Integer> cutFrom = new HashSet<>();
        final double[] out = new double[scenario.halls().size()];
        final Map<String, Health> listed = new HashMap<>();
        private final Map<String, Long> bootsHeard = new HashMap<>();
        List<HallState> states = List.of();
        private final Map<String, Open> flowsOpen = new HashMap<>();
        private final List<Runnable>[] held;
        private DispatchApi module;
        private Settings settings;
        private int life;

        @SuppressWarnings({"unchecked", "rawtypes"})
        Scheduler(int number, int hall) {
            this.number = number;
            this.hall = hall;
            held = new List[scenario.halls().size()];
        }

        void start() {
            Settings set = new Settings();
            set.seed = random.nextLong();
            set.dispatchers = schedulers.size();
            set.me = number;
            set.zone = hall;
            set.kinds = deployment.machines().size();
            set.tick = 5 * MS;
            set.classes = new JobClass[classes.size()];
            for (int c = 0; c < set.classes.length; c++) {
                ClassOf k = classes.get(c);
                set.classes[c] = new JobClass(
                        k.aim(), k.stretch(), k.deadline(), k.worth(), 0, k.effect(), k.scope(), k.window(), -1, 0);
            }
            set.worthByWork = deployment.prices().worthByWork();
            set.maxAttempts = deployment.allowed().attempts();
            set.secondCopies = deployment.allowed().copies();
            set.mayCancel = deployment.allowed().cancel();
            set.mayProbe = scenario.probes();
            set.mayTell = deployment.allowed().peers();
            set.maxRetryAfter = 2 * S;
            set.liveRatings = deployment.told().weights() == Deployment.Weights.LIVE;
            set.askForList = deployment.told().listAsked();
            set.reports = scenario.probes() ? Reports.PROBES : deployment.told().reports();
            set.tellsStart = deployment.told().starts();
            set.progressEvery = deployment.told().progress();
            set.connectTimeout = CONNECT_TIMEOUT;
            set.startCapacity = deployment.rules().startCapacity();
            set.cold = deployment.rules().cold();
            set.fallMultiple = deployment.rules().fallMultiple();
            set.fall = deployment.rules().fall();
            set.crossZoneCharge = deployment.prices().crossing();
            set.halls = operator.halls() == null ? null : operator.halls().rules(scenario.hallNames(), hall);
            states = List.of();
            listed.clear();
            bootsHeard.clear();
            settings = set;
            module = modules.make(set, this, truth(hall));
            module.start(kernel.now());
            whole();
        }

        private void whole() {
            list(
                    ListKind.WHOLE,
                    nodes.stream()
                            .filter(n -> n.health != Health.GONE && !n.gone)
                            .map(Node::entry)
                            .toList());
        }

        void die() {
            module = null;
            life++;
            flowsOpen.clear();
            java.util.Arrays.fill(out, 0);
        }

        void list(ListKind kind, List<Member> entries) {
            if (module != null) {
                entries.forEach(e -> {
                    listed.put(e.worker(), e.health());
                    bootsHeard.put(e.worker(), e.startedAt());
                });
                module.list(kernel.now(), kind, entries);
            }
        }

        /** Runs it when it has come over from a hall, or once that can be reached again. */
        private void over(int from, int born, Runnable run) {
            kernel.after(way(from, hall), () -> {
                if (born != life) {
                    return;
                }
                if (cutFrom.contains(from)) {
                    held[from] = held[from] == null ? new ArrayList<>() : held[from];
                    held[from].add(run);
                } else {
                    run.run();
                }
            });
        }

        /** What was on its way from a hall comes at last. */
        void reconnect(int from) {
            List<Runnable> late = held[from];
            held[from] = null;
            if (late != null) {
                int born = life;
                late.forEach(run -> kernel.after(between(1, 200), () -> {
                    if (born == life) {
                        run.run();
                    }
                }));
            }
        }

        void open(Wish wish) {
            Open open = new Open(
                    wish, "f" + ++flows, kernel.now() + classes.get(wish.type).deadline() - 25 * MS);
            flowsOpen.put(open.id, open);
            int born = life;
            kernel.at(open.deadline, () -> {
                if (born == life) {
                    open.expire();
                }
            });
            if (scenario.leaving() > 0 && random.nextDouble() < scenario.leaving()) {
                kernel.after(between(0, 120), () -> {
                    if (born == life) {
                        open.clientLeaves();
                    }
                });
            }
            module.request(
                    kernel.now(),
                    new Request(open.id, wish.type, -1, wish.slots, wish.guess, open.deadline - kernel.now()));
        }

        private final class Open {
            final Wish wish;
            final String id;
            final long deadline;
            final List<Attempt> attempts = new ArrayList<>(2);
            int outstanding;
            boolean answered;

            Open(Wish wish, String id, long deadline) {
                this.wish = wish;
                this.id = id;
                this.deadline = deadline;
            }

            void expire() {
                if (!answered) {
                    for (Attempt a : List.copyOf(attempts)) {
                        a.end(Status.TIMEOUT);
                    }
                    if (!answered) {
                        report.silent++;
                        answer(Status.TIMEOUT, 0);
                        module.clientGone(kernel.now(), id);
                    }
                }
            }

            /** Its client has closed the connection: nobody waits for an answer, and what is out is called back. */
            void clientLeaves() {
                if (!answered) {
                    answered = true;
                    module.clientGone(kernel.now(), id);
                    forget();
                }
            }

            /** The one final answer; OK, FULL for a rejection, ERROR for a failure, TIMEOUT where it was ours. */
            void answer(Status how, long retryAfter) {
                if (answered) {
                    report.answersTwice++;
                    return;
                }
                answered = true;
                if (how == Status.OK) {
                    boolean inTime = wish.inTime();
                    if (!wish.served) {
                        wish.served = true;
                        report.served(
                                wish.since - START,
                                wish.hall,
                                wish.type,
                                wish.worth(),
                                inTime,
                                kernel.now() - wish.since);
                    }
                } else if (how == Status.FULL) {
                    report.refused(wish.since - START);
                    retry(wish, random.nextDouble() < 0.9 ? retryAfter : 0);
                } else {
                    report.failed(wish.since - START);
                    if (classes.get(wish.type).effect() == Effect.SAFE) {
                        retry(wish, 0);
                    }
                }
                forget();
            }

            void forget() {
                if (answered && outstanding == 0) {
                    flowsOpen.remove(id, this);
                }
            }
        }

        private final class Attempt implements NodeModel.Job {
            final Open open;
            final int number;
            final Node node;
            final long sentAt = kernel.now();
            final int born = life;
            long cameAt;
            /** Whether its scheduler had been told of the node's last start as it was sent. */
            boolean knew;

            boolean ended;
            boolean failing;

            Attempt(Open open, int number, Node node) {
                this.open = open;
                this.number = number;
                this.node = node;
            }

            void end(Status status) {
                if (ended) {
                    return;
                }
                ended = true;
                open.outstanding--;
                out[node.hall] -= open.wish.slots;
                if (status == Status.OK && !open.answered) {
                    open.answer(Status.OK, 0);
                }
                boolean answer = status == Status.OK || status == Status.ERROR || status == Status.FULL;
                module.outcome(
                        kernel.now(),
                        open.id,
                        number,
                        open.answered,
                        status,
                        kernel.now() - sentAt,
                        answer && settings.reports == Reports.ANSWERS ? node.reported : null);
                open.forget();
            }

            void go() {
                if (!node.reachable(Scheduler.this)) {
                    // It says nothing: the connection never comes up.
                    later(CONNECT_TIMEOUT, () -> end(Status.CONNECT_FAILED));
                    return;
                }
                long there = way(hall, node.hall);
                if (!node.model.up()) {
                    later(2 * there, () -> end(Status.CONNECT_FAILED));
                    return;
                }
                later(3 * there, () -> {
                    if (listed.get(node.id) != Health.READY) {
                        end(Status.NOT_SENT); // it was told to drain while the connection came up
                        return;
                    }
                    knew = bootsHeard.getOrDefault(node.id, -1L) == node.boot;
                    report.sent(kernel.now() - START, node.hall, hall);
                    kernel.after(there, () -> {
                        if (node.reachable(Scheduler.this)) {
                            cameAt = kernel.now();
                            report.even.came(node.number, Scheduler.this.number, work() * slots());
                            node.model.offer(this);
                        } // else its bytes wait in vain, and it is never heard of
                    });
                });
            }

            private void later(long delay, Runnable run) {
                kernel.after(delay, () -> {
                    if (born == life && !ended) {
                        run.run();
                    }
                });
            }

            private void back(Runnable run) {
                if (node.vanished) {
                    node.unsaid.add(() -> over(node.hall, born, run));
                } else {
                    over(node.hall, born, run);
                }
            }

            private void note(Note note, double share) {
                back(() -> {
                    if (!ended) {
                        module.note(kernel.now(), open.id, number, note, share);
                    }
                });
            }

            @Override
            public double slots() {
                return open.wish.slots;
            }

            @Override
            public boolean knowing() {
                return knew;
            }

            @Override
            public double memory() {
                return open.wish.slots * classes.get(open.wish.type).memory();
            }

            @Override
            public double work() {
                return failing ? Math.min(20 * MS, open.wish.work) : open.wish.work;
            }

            @Override
            public void started() {
                open.wish.started(node, cameAt, open);
                if (settings.tellsStart) {
                    note(Note.STARTED, 0);
                }
            }

            @Override
            public void progress(double share) {
                note(Note.PROGRESS, share);
            }

            @Override
            public void done() {
                if (open.answered || born != life) {
                    report.wasted(open.wish.work * open.wish.slots); // done for nobody
                }
                back(() -> end(failing ? Status.ERROR : Status.OK));
            }

            @Override
            public void failed() {
                back(() -> end(Status.ERROR));
            }

            @Override
            public void returned() {
                back(() -> end(Status.FULL));
            }

            @Override
            public void lost() {
                back(() -> end(Status.RESET));
            }
        }

        // What the module orders.

        @Override
        public void send(String id, String worker, long timeout) {
            Open open = flowsOpen.get(id);
            Node node = byId.get(worker);
            if (open == null || open.answered) {
                report.sentAfterEnd++;
                return;
            }
            report.notAllowed +=
                    open.attempts.size() >= settings.maxAttempts || open.outstanding > 0 && !settings.secondCopies
                            ? 1
                            : 0;
            Attempt a = new Attempt(open, open.attempts.size(), node);
            a.failing = random.nextDouble() < node.errors;
            open.attempts.add(a);
            open.outstanding++;
            out[node.hall] += open.wish.slots;
            HallState stands = operator.halls() == null
                    ? HallState.SERVING
                    : module.halls().get(node.hall);
            report.chosen(kernel.now() - START, node.hall, stands == HallState.DARK || stands == HallState.RETURNING);
            a.go();
        }

        @Override
        public void refuse(String id, long retryAfter) {
            Open open = flowsOpen.get(id);
            if (open != null) {
                boolean mayHaveRun = open.attempts.stream().anyMatch(a -> !a.ended);
                report.refusedWhileOut += mayHaveRun ? 1 : 0;
                open.answer(Status.FULL, retryAfter);
            }
        }

        @Override
        public void fail(String id) {
            Open open = flowsOpen.get(id);
            if (open != null) {
                open.answer(Status.ERROR, 0);
            }
        }

        @Override
        public void cancel(String id, int attempt) {
            report.notAllowed += settings.mayCancel ? 0 : 1;
            Open open = flowsOpen.get(id);
            if (open != null) {
                int born = life;
                kernel.after(0, () -> {
                    if (born == life) {
                        open.attempts.get(attempt).end(Status.CANCELLED);
                    }
                });
            }
        }

        @Override
        public void probe(String worker) {
            Node node = byId.get(worker);
            long sentAt = kernel.now();
            int born = life;
            report.probes++;
            report.notAllowed += settings.mayProbe ? 0 : 1;
            boolean answers = node.reachable(this) && node.model.up() && !node.model.hung();
            boolean refused = node.reachable(this) && !node.model.up();
            long takes = answers || refused ? way(hall, node.hall) + way(node.hall, hall) : PROBE_TIMEOUT;
            kernel.after(takes, () -> {
                if (born == life) {
                    module.probed(
                            kernel.now(),
                            worker,
                            answers ? Status.OK : refused ? Status.CONNECT_FAILED : Status.TIMEOUT,
                            kernel.now() - sentAt,
                            answers ? node.reported : null);
                }
            });
        }

        @Override
        public void tell(byte[] message) {
            report.notAllowed += settings.mayTell ? 0 : 1;
            report.messages += schedulers.size() - 1;
            report.messageBytes += (long) message.length * (schedulers.size() - 1);
            report.longestMessage = Math.max(report.longestMessage, message.length);
            for (Scheduler other : schedulers) {
                if (other != this && random.nextDouble() >= scenario.loss()) {
                    kernel.after(between(1.1, 9.8), () -> {
                        if (other.module != null) {
                            other.module.peer(kernel.now(), number, message);
                        }
                    });
                }
            }
        }

        @Override
        public void timer(long delay, String token) {
            int born = life;
            kernel.after(Math.max(1, delay), () -> {
                if (born == life && module != null && kernel.now() < START + scenario.length() + TAIL) {
                    module.timer(kernel.now(), token);
                }
            });
        }

        @Override
        public void watch() {
            // A service that is asked may be behind: then it says so, and is to be asked again.
            int born = life;
            boolean behind = random.nextDouble() < 0.2;
            kernel.after(between(5, 60), () -> {
                if (born == life && behind) {
                    list(ListKind.FAILED, List.of());
                } else if (born == life) {
                    whole();
                }
            });
        }

        @Override
        public void log(String line) {
            report.log(kernel.now() - START, number, line);
        }
    }
}
