package barrowshore.emulate;

import barrowshore.DispatchApi;
import barrowshore.DispatchApi.Effect;
import barrowshore.DispatchApi.Health;
import barrowshore.DispatchApi.JobClass;
import barrowshore.DispatchApi.ListKind;
import barrowshore.DispatchApi.Load;
import barrowshore.DispatchApi.Member;
import barrowshore.DispatchApi.Note;
import barrowshore.DispatchApi.Reports;
import barrowshore.DispatchApi.Request;
import barrowshore.DispatchApi.Scope;
import barrowshore.DispatchApi.Settings;
import barrowshore.DispatchApi.Status;
import barrowshore.Dispatcher;
import barrowshore.IndexTables;
import barrowshore.halls.HallState;
import barrowshore.model.NodeModel;
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
    private static final long CONNECT_TIMEOUT = 250 * MS, PROBE_TIMEOUT = 400 * MS;
    private static final long PROGRESS = 2 * S;
    private static final long COLD = 22 * S, FALL = 2 * S;
    private static final double FALL_MULTIPLE = 3;
    /** Time after the last arrival until all is answered. */
    private static final long TAIL = 16 * S;

    /** A class as the operators' brief has it: mean work, spread, chances of 1, 2 and 4 slots. */
    private record Kind(String name, double share, double work, double spread, long aim, double stretch, long deadline,
                        double worth, boolean safe, double[] slots) { }

    private static final Kind[] CLASSES = {
        new Kind("menu-cteni", 0.29, 230 * MS, 0.5, 120 * MS, 2, 5 * S, 2, true, new double[] {1}),
        new Kind("objednavka", 0.29, 460 * MS, 0.5, 150 * MS, 1.75, 5 * S, 10, false, new double[] {0.6, 0.25, 0.15}),
        new Kind("kuchyn-davka", 0.22, 1370 * MS, 0.5, S, 1.75, 15 * S, 5, false, new double[] {0.6, 0.25, 0.15}),
        new Kind("platba", 0.2, 460 * MS, 0.5, 400 * MS, 2, 5 * S, 8, false, new double[] {0.8, 0.2})};
    /** Pure figures, the same for all: worked out once for each thread that plays. */
    private static final ThreadLocal<IndexTables> TABLES = ThreadLocal.withInitial(IndexTables::new);
    private static final double[] SLOTS = {1, 2, 4};

    private final Kernel kernel = new Kernel(START);
    private final Scenario scenario;
    private final UniformRandomProvider random;
    private final SharedStateContinuousSampler exponential;
    private final SharedStateContinuousSampler[] works = new SharedStateContinuousSampler[CLASSES.length];
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

    World(Scenario scenario, Operator operator, long seed) {
        this.scenario = scenario;
        this.operator = operator;
        random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        exponential = ZigguratSampler.Exponential.of(random);
        report = new Report(scenario, seed, List.of(CLASSES).stream().map(Kind::name).toList());
        double mean = 0;
        for (int c = 0; c < CLASSES.length; c++) {
            Kind k = CLASSES[c];
            double sigma = Math.sqrt(Math.log(1 + k.spread * k.spread));
            works[c] = LogNormalSampler.of(ZigguratSampler.NormalizedGaussian.of(random), Math.log(k.work) - sigma * sigma / 2, sigma);
            double slots = 0;
            for (int i = 0; i < k.slots.length; i++) {
                slots += k.slots[i] * SLOTS[i];
            }
            mean += k.share * k.work * slots;
        }
        meanSize = mean;
        for (int h = 0; h < scenario.halls().size(); h++) {
            for (int n = 0; n < scenario.halls().get(h).nodes(); n++) {
                nodes.add(new Node("s-" + h + "-" + n, h, spec()));
            }
        }
        double capacity = nodes.stream().mapToDouble(n -> n.model.spec().cores() * n.model.spec().speed()).sum();
        rate = scenario.load() * capacity / meanSize;
        for (int h = 0; h < scenario.halls().size(); h++) {
            for (int s = 0; s < scenario.halls().get(h).schedulers(); s++) {
                schedulers.add(new Scheduler(schedulers.size(), h));
            }
        }
    }

    private NodeModel.Spec spec() {
        boolean full = random.nextDouble() < 0.57;
        double speed = full ? uniform(0.85, 1.1) : uniform(0.51, 0.69);
        return new NodeModel.Spec(scenario.cores(), speed, scenario.cores() * uniform(9.5, 18), random.nextBoolean(),
                uniform(0.17, 0.35), (long) (uniform(11, 22) * S));
    }

    private double uniform(double from, double to) {
        return from + (to - from) * random.nextDouble();
    }

    private long between(double fromMillis, double toMillis) {
        return (long) (uniform(fromMillis, toMillis) * MS);
    }

    /** One way between two halls. */
    private long way(int from, int to) {
        return (long) (1 + (from == to ? uniform(130, 320) : uniform(420, 780)));
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
            report.node(n.model.coldUse(), n.model.fallen());
        }
        report.events = kernel.events();
        return report;
    }

    /** Looks at the truth, for the report alone. */
    private void look() {
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
                    List<Node> in = nodes.stream().filter(n -> n.hall == what.hall() && !n.gone).toList();
                    int count = (int) Math.round(what.part() * in.size());
                    int back = (int) Math.round(what.back() * count);
                    if (what.what() == Scenario.What.VANISH || what.what() == Scenario.What.CRASH
                            || what.what() == Scenario.What.RENEW) {
                        report.dark(what.hall(), kernel.now() - START, what.lasts(), what.part());
                    }
                    for (int k = 0; k < count; k++) {
                        Node n = in.get(k);
                        boolean returns = k < back;
                        long spread = what.spread();
                        kernel.after((long) (random.nextDouble() * spread), () -> begin(what, n));
                        if (returns) {
                            kernel.after(what.lasts() + (long) (random.nextDouble() * spread), () -> end(what, n));
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
                Node fresh = new Node(n.id + "-r" + ++renewed, n.hall, n.model.spec());
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
        kernel.after((long) (random.nextDouble() * when.lasts() / 2), () -> {
            int count = nodes.size();
            int kind = random.nextInt(4);
            double part = switch (kind) {
                case 0 -> uniform(0.057, 0.23);
                case 1 -> uniform(0.056, 0.16);
                case 2 -> uniform(0.084, 0.19);
                default -> uniform(0.11, 0.44);
            };
            long lasts = (long) (switch (kind) {
                case 0 -> uniform(10, 28);
                case 1 -> uniform(8.3, 24);
                case 2 -> uniform(5.4, 27);
                default -> uniform(18, 39);
            } * S);
            Set<Node> hit = new HashSet<>();
            List<Node> order = new ArrayList<>();
            while (hit.size() < Math.max(1, (int) (part * count))) {
                Node n = nodes.get(random.nextInt(count));
                if (hit.add(n)) {
                    order.add(n);
                }
            }
            double size = kind == 0 ? uniform(2, 9.9) : kind == 2 ? uniform(0.42, 0.94) : uniform(0.31, 0.7);
            for (Node n : order) {
                switch (kind) {
                    case 0 -> n.model.slow(size);
                    case 1 -> {
                        n.model.hang(true);
                        report.hung(n.hall, nodes.stream().filter(o -> o.hall == n.hall && o.model.hung()).count());
                    }
                    case 2 -> n.errors = size;
                    default -> n.model.slow(1 / (1 - size));
                }
            }
            kernel.after(lasts, () -> order.forEach(n -> {
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

    /** What a client wants: one thing, however often it tries. */
    private final class Wish {
        final int type;
        final int hall;
        final double slots;
        final double work;
        final long since = kernel.now();
        final int tenant;
        int tries;
        int starts;
        boolean served;

        Wish(int type, int hall, double slots, double work, int tenant) {
            this.type = type;
            this.hall = hall;
            this.slots = slots;
            this.work = work;
            this.tenant = tenant;
        }

        /** It started on a node. */
        void started() {
            if (++starts == 2 && !CLASSES[type].safe) {
                report.twice++;
            }
        }

        boolean inTime() {
            return kernel.now() - since <= CLASSES[type].aim + CLASSES[type].stretch * work;
        }
    }

    private void arrive() {
        double pick = random.nextDouble();
        int type = 0;
        while (type < CLASSES.length - 1 && (pick -= CLASSES[type].share) > 0) {
            type++;
        }
        Kind k = CLASSES[type];
        double chance = random.nextDouble();
        int s = 0;
        while (s < k.slots.length - 1 && (chance -= k.slots[s]) > 0) {
            s++;
        }
        double all = scenario.halls().stream().mapToDouble(Scenario.HallSpec::clients).sum();
        double where = random.nextDouble() * all;
        int hall = 0;
        while (hall < scenario.halls().size() - 1 && (where -= scenario.halls().get(hall).clients()) > 0) {
            hall++;
        }
        Wish wish = new Wish(type, hall, SLOTS[s], works[type].sample(), random.nextInt(7));
        report.asked(kernel.now() - START, wish.hall, wish.type, k.worth, wish.work * wish.slots);
        attempt(wish);
    }

    private void attempt(Wish wish) {
        wish.tries++;
        List<Scheduler> there = schedulers.stream().filter(s -> s.hall == wish.hall).toList();
        Scheduler to = there.get(random.nextInt(there.size()));
        if (to.module == null) {
            retry(wish, 0);   // nobody there: the front has not noticed yet
            return;
        }
        to.open(wish);
    }

    private void retry(Wish wish, long after) {
        if (wish.tries <= scenario.retries()) {
            long wait = Math.max(after, between(6, 48));
            kernel.after(wait, () -> attempt(wish));
        }
    }

    // Order nodes.

    private final class Node {
        final String id;
        final int hall;
        final NodeModel model;
        double errors;
        boolean vanished;
        boolean gone;
        Health health = Health.READY;
        long boot;
        /** What it has to say while it is cut off; it says it when it is back. */
        private final List<Runnable> unsaid = new ArrayList<>();
        /** As its load was last reported. */
        double reportedJobs;
        double reportedFree;

        Node(String id, int hall, NodeModel.Spec spec) {
            this.id = id;
            this.hall = hall;
            byId.put(id, this);
            this.model = new NodeModel(kernel, spec, new NodeModel.Falling(FALL_MULTIPLE, FALL, meanSize), PROGRESS);
            reportedFree = spec.cores();
            long every = between(340, 1400);
            kernel.after((long) (random.nextDouble() * every), () -> renew(every));
        }

        private void renew(long every) {
            reportedJobs = model.held();
            reportedFree = model.freeSlots();
            if (kernel.now() < START + scenario.length() + TAIL) {
                kernel.after(every, () -> renew(every));
            }
        }

        boolean reachable(Scheduler from) {
            return !vanished && !from.cutFrom.contains(hall);
        }

        /** The list hears of it late, each scheduler a little apart. */
        void tell(Health now, long late) {
            health = now;
            Member entry = new Member(id, now, scenario.cores(), 0, model.spec().speed() > 0.77 ? 0 : 1, hall, boot);
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
        List<HallState> states = List.of();
        private final Map<String, Open> flowsOpen = new HashMap<>();
        private final List<Runnable>[] held;
        private DispatchApi module;
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
            set.kinds = 2;
            set.tick = 5 * MS;
            set.classes = new JobClass[CLASSES.length];
            for (int c = 0; c < CLASSES.length; c++) {
                Kind k = CLASSES[c];
                set.classes[c] = new JobClass(k.aim, k.stretch, k.deadline, k.worth, 0,
                        k.safe ? Effect.SAFE : Effect.UNSAFE, Scope.ALL, 0, -1, 0);
            }
            set.maxAttempts = 5;
            set.secondCopies = true;
            set.mayCancel = true;
            set.mayProbe = scenario.probes();
            set.mayTell = true;
            set.maxRetryAfter = 2 * S;
            set.reports = scenario.probes() ? Reports.PROBES : Reports.NONE;
            set.tellsStart = true;
            set.progressEvery = PROGRESS;
            set.connectTimeout = CONNECT_TIMEOUT;
            set.startCapacity = 0.17;
            set.cold = COLD;
            set.fallMultiple = FALL_MULTIPLE;
            set.fall = FALL;
            set.crossZoneCharge = 0.1;
            set.halls = operator.halls() == null ? null : operator.halls().rules(scenario.hallNames(), hall);
            states = List.of();
            listed.clear();
            module = new Dispatcher(set, this, TABLES.get());
            module.start(kernel.now());
            List<Member> all = new ArrayList<>();
            for (Node n : nodes) {
                if (n.health != Health.GONE && !n.gone) {
                    all.add(new Member(n.id, n.health, scenario.cores(), 0, n.model.spec().speed() > 0.77 ? 0 : 1,
                            n.hall, n.boot));
                }
            }
            list(ListKind.WHOLE, all);
        }

        void die() {
            module = null;
            life++;
            flowsOpen.clear();
            java.util.Arrays.fill(out, 0);
        }

        void list(ListKind kind, List<Member> entries) {
            if (module != null) {
                entries.forEach(e -> listed.put(e.worker(), e.health()));
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
            Open open = new Open(wish, "f" + ++flows, kernel.now() + CLASSES[wish.type].deadline - 25 * MS);
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
            module.request(kernel.now(), new Request(open.id, wish.type, -1, wish.slots, 0,
                    open.deadline - kernel.now()));
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

            /** The one final answer; OK, FULL for a turn-down, ERROR for a failure, TIMEOUT where it was ours. */
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
                        report.served(wish.since - START, wish.hall, wish.type, CLASSES[wish.type].worth, inTime,
                                kernel.now() - wish.since);
                    }
                } else if (how == Status.FULL) {
                    report.refused(wish.since - START);
                    retry(wish, random.nextDouble() < 0.9 ? retryAfter : 0);
                } else {
                    report.failed(wish.since - START);
                    if (CLASSES[wish.type].safe) {
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
                module.outcome(kernel.now(), open.id, number, open.answered, status, kernel.now() - sentAt, null);
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
                        end(Status.NOT_SENT);   // it was told to drain while the connection came up
                        return;
                    }
                    report.sent(kernel.now() - START, node.hall, hall);
                    kernel.after(there, () -> {
                        if (node.reachable(Scheduler.this)) {
                            node.model.offer(this);
                        }   // else its bytes wait in vain, and it is never heard of
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
            public double work() {
                return failing ? Math.min(20 * MS, open.wish.work) : open.wish.work;
            }

            @Override
            public void started() {
                open.wish.started();
                note(Note.STARTED, 0);
            }

            @Override
            public void progress(double share) {
                note(Note.PROGRESS, share);
            }

            @Override
            public void done() {
                if (open.answered || born != life) {
                    report.wasted(open.wish.work * open.wish.slots);   // done for nobody
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
            Attempt a = new Attempt(open, open.attempts.size(), node);
            a.failing = random.nextDouble() < node.errors;
            open.attempts.add(a);
            open.outstanding++;
            out[node.hall] += open.wish.slots;
            HallState stands = operator.halls() == null ? HallState.SERVING : module.halls().get(node.hall);
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
            boolean answers = node.reachable(this) && node.model.up() && !node.model.hung();
            boolean refused = node.reachable(this) && !node.model.up();
            long takes = answers || refused ? way(hall, node.hall) + way(node.hall, hall) : PROBE_TIMEOUT;
            kernel.after(takes, () -> {
                if (born == life) {
                    module.probed(kernel.now(), worker, answers ? Status.OK : refused ? Status.CONNECT_FAILED
                            : Status.TIMEOUT, kernel.now() - sentAt, answers
                            ? new Load(node.reportedJobs, Double.NaN, node.reportedFree) : null);
                }
            });
        }

        @Override
        public void tell(byte[] message) {
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
        public void watch() { }

        @Override
        public void log(String line) {
            report.log(kernel.now() - START, number, line);
        }
    }
}
