package barrowshore.emulate;

import barrowshore.emulate.Deployment.ClassOf;
import barrowshore.halls.HallState;
import barrowshore.module.DispatchApi;
import barrowshore.module.DispatchApi.Health;
import barrowshore.module.DispatchApi.JobClass;
import barrowshore.module.DispatchApi.ListKind;
import barrowshore.module.DispatchApi.Member;
import barrowshore.module.DispatchApi.ReportSource;
import barrowshore.module.DispatchApi.Request;
import barrowshore.module.DispatchApi.Settings;
import barrowshore.module.DispatchApi.Status;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One scheduler of the emulated world: a real decision module, and the books that a scheduler on sockets keeps round it. It
 * owns the module's life: what is on its way to one that has died is never heard of.
 */
final class EmulatedScheduler implements DispatchApi.Actions {
    static final long CONNECT_TIMEOUT = 250 * World.MS;
    private static final long PROBE_TIMEOUT = 400 * World.MS;
    /** An answer must have left that long before a client's deadline. */
    private static final long ANSWER_MARGIN = 25 * World.MS;

    private final World world;
    private final VirtualClock kernel;
    private final Draws draws;
    private final Scenario scenario;
    private final Deployment deployment;
    private final List<ClassOf> classes;
    private final Report report;

    final int number;
    final int zone;
    final Set<Integer> cutFrom = new HashSet<>();
    final double[] out;
    final Map<String, Health> listed = new HashMap<>();
    final Map<String, Long> bootsHeard = new HashMap<>();
    List<HallState> states = List.of();
    private final Map<String, OpenRequest> requests = new HashMap<>();
    private final List<Runnable>[] held;
    private DispatchApi module;
    private Settings settings;
    private int life;

    @SuppressWarnings({"unchecked", "rawtypes"})
    EmulatedScheduler(World world, int number, int zone) {
        this.world = world;
        this.kernel = world.kernel;
        this.draws = world.draws;
        this.scenario = world.scenario;
        this.deployment = world.deployment;
        this.classes = deployment.classes();
        this.report = world.report;
        this.out = new double[scenario.zones().size()];
        this.number = number;
        this.zone = zone;
        held = new List[scenario.zones().size()];
    }

    /** A process starts: a new module, which is told the whole list. */
    void start() {
        settings = newSettings();
        states = List.of();
        listed.clear();
        bootsHeard.clear();
        module = world.modules.make(settings, this, world.truth(zone));
        module.start(kernel.now());
        whole();
    }

    private Settings newSettings() {
        Settings set = new Settings();
        set.seed = draws.random.nextLong();
        set.dispatchers = world.schedulers.size();
        set.ownIndex = number;
        set.zone = zone;
        set.kinds = deployment.machines().size();
        set.tickMicros = 5 * World.MS;
        set.classes = new JobClass[classes.size()];
        for (int c = 0; c < set.classes.length; c++) {
            ClassOf k = classes.get(c);
            set.classes[c] = new JobClass(
                    k.aim(), k.stretch(), k.deadline(), k.worth(), 0, k.effect(), k.scope(), k.window(), -1, 0);
        }
        set.worthPerWork = deployment.prices().worthByWork();
        set.maxAttempts = deployment.allowed().attempts();
        set.mayHedge = deployment.allowed().copies();
        set.mayCancel = deployment.allowed().cancel();
        set.mayProbe = scenario.probes();
        set.mayMessagePeers = deployment.allowed().peers();
        set.maxRetryAfterMicros = 2 * World.S;
        set.ratingsReflectLoad = deployment.told().weights() == Deployment.Weights.LIVE;
        set.pollsList = deployment.told().listAsked();
        set.reportSource =
                scenario.probes() ? ReportSource.PROBES : deployment.told().reports();
        set.notesStart = deployment.told().starts();
        set.progressMicros = deployment.told().progress();
        set.connectTimeoutMicros = CONNECT_TIMEOUT;
        set.startCapacity = deployment.rules().startCapacity();
        set.warmUpMicros = deployment.rules().cold();
        set.overloadMultiple = deployment.rules().fallMultiple();
        set.overloadWindowMicros = deployment.rules().fall();
        set.crossZoneCharge = deployment.prices().crossing();
        set.halls =
                world.operator.halls() == null ? null : world.operator.halls().rulesFor(scenario.zoneNames(), zone);
        return set;
    }

    /** Whether it is there, with a module. */
    boolean up() {
        return module != null;
    }

    DispatchApi module() {
        return module;
    }

    Settings settings() {
        return settings;
    }

    /** How many times it has died. */
    int life() {
        return life;
    }

    /** Whether it has not died since that life. */
    boolean lives(int born) {
        return born == life;
    }

    void forget(OpenRequest request) {
        requests.remove(request.id, request);
    }

    private void whole() {
        list(
                ListKind.WHOLE,
                world.nodes.stream()
                        .filter(n -> n.health != Health.GONE && !n.gone)
                        .map(EmulatedNode::entry)
                        .toList());
    }

    /** The process dies, and all that it knew with it. */
    void die() {
        module = null;
        life++;
        requests.clear();
        Arrays.fill(out, 0);
    }

    /** An entry of the list, or the whole of it, has come. */
    void list(ListKind kind, List<Member> entries) {
        if (module != null) {
            entries.forEach(e -> {
                listed.put(e.worker(), e.health());
                bootsHeard.put(e.worker(), e.startedAt());
            });
            module.list(kernel.now(), kind, entries);
        }
    }

    /** Runs it when it has come over from a zone, or once that can be reached again. */
    void over(int from, int born, Runnable run) {
        kernel.runAfter(draws.way(from, zone), () -> {
            if (!lives(born)) {
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

    /** What was on its way from a zone comes at last. */
    void reconnect(int from) {
        List<Runnable> late = held[from];
        held[from] = null;
        if (late != null) {
            int born = life;
            late.forEach(run -> kernel.runAfter(draws.between(1, 200), () -> {
                if (lives(born)) {
                    run.run();
                }
            }));
        }
    }

    /** A client's request has come. */
    void open(ClientJob job) {
        long deadline = kernel.now() + classes.get(job.type).deadline() - ANSWER_MARGIN;
        OpenRequest open = new OpenRequest(world, this, job, world.nextRequest(), deadline);
        requests.put(open.id, open);
        int born = life;
        kernel.runAt(open.deadline, () -> {
            if (lives(born)) {
                open.expire();
            }
        });
        if (scenario.leaving() > 0 && draws.random.nextDouble() < scenario.leaving()) {
            kernel.runAfter(draws.between(0, 120), () -> {
                if (lives(born)) {
                    open.clientLeaves();
                }
            });
        }
        module.request(
                kernel.now(), new Request(open.id, job.type, -1, job.slots, job.guess, open.deadline - kernel.now()));
    }

    // What the module orders.

    @Override
    public void send(String id, String worker, long timeout) {
        OpenRequest open = requests.get(id);
        EmulatedNode node = world.node(worker);
        if (open == null || open.answered) {
            report.sentAfterEnd++;
            return;
        }
        report.notAllowed +=
                open.attempts.size() >= settings.maxAttempts || open.outstanding > 0 && !settings.mayHedge ? 1 : 0;
        Attempt a = new Attempt(world, this, open, open.attempts.size(), node);
        a.failing = draws.random.nextDouble() < node.errors;
        open.attempts.add(a);
        open.outstanding++;
        out[node.zone] += open.job.slots;
        HallState stands = world.operator.halls() == null
                ? HallState.SERVING
                : module.hallStates().get(node.zone);
        report.chosen(kernel.now() - World.START, node.zone, stands == HallState.DARK || stands == HallState.RETURNING);
        a.go();
    }

    @Override
    public void refuse(String id, long retryAfter) {
        OpenRequest open = requests.get(id);
        if (open != null) {
            boolean mayHaveRun = open.attempts.stream().anyMatch(a -> !a.ended);
            report.refusedWhileOut += mayHaveRun ? 1 : 0;
            open.answer(Status.FULL, retryAfter);
        }
    }

    @Override
    public void fail(String id) {
        OpenRequest open = requests.get(id);
        if (open != null) {
            open.answer(Status.ERROR, 0);
        }
    }

    @Override
    public void cancel(String id, int attempt) {
        report.notAllowed += settings.mayCancel ? 0 : 1;
        OpenRequest open = requests.get(id);
        if (open != null) {
            int born = life;
            kernel.runAfter(0, () -> {
                if (lives(born)) {
                    open.attempts.get(attempt).end(Status.CANCELLED);
                }
            });
        }
    }

    @Override
    public void probe(String worker) {
        EmulatedNode node = world.node(worker);
        long sentAt = kernel.now();
        int born = life;
        report.probes++;
        report.notAllowed += settings.mayProbe ? 0 : 1;
        boolean answers = node.reachable(this) && node.model.isUp() && !node.model.isHung();
        boolean refused = node.reachable(this) && !node.model.isUp();
        long takes = answers || refused ? draws.way(zone, node.zone) + draws.way(node.zone, zone) : PROBE_TIMEOUT;
        kernel.runAfter(takes, () -> {
            if (lives(born)) {
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
    public void sendToPeers(byte[] message) {
        report.notAllowed += settings.mayMessagePeers ? 0 : 1;
        report.messages += world.schedulers.size() - 1;
        report.messageBytes += (long) message.length * (world.schedulers.size() - 1);
        report.longestMessage = Math.max(report.longestMessage, message.length);
        for (EmulatedScheduler other : world.schedulers) {
            if (other != this && draws.random.nextDouble() >= scenario.loss()) {
                kernel.runAfter(draws.between(1.1, 9.8), () -> {
                    if (other.module != null) {
                        other.module.peerMessage(kernel.now(), number, message);
                    }
                });
            }
        }
    }

    @Override
    public void setTimer(long delay, String token) {
        int born = life;
        kernel.runAfter(Math.max(1, delay), () -> {
            if (lives(born) && module != null && kernel.now() < world.end()) {
                module.timerFired(kernel.now(), token);
            }
        });
    }

    @Override
    public void watchList() {
        // A service that is asked may be behind: then it says so, and is to be asked again.
        int born = life;
        boolean behind = draws.random.nextDouble() < 0.2;
        kernel.runAfter(draws.between(5, 60), () -> {
            if (lives(born) && behind) {
                list(ListKind.FAILED, List.of());
            } else if (lives(born)) {
                whole();
            }
        });
    }

    @Override
    public void log(String line) {
        report.log(kernel.now() - World.START, number, line);
    }
}
