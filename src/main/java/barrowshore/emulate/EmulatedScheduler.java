package barrowshore.emulate;

import barrowshore.emulate.Deployment.ClassSpec;
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
 * One emulated scheduler: a real decision module, and the state that a real scheduler keeps around it. It owns the module's
 * life cycle; messages on their way to a module that has crashed are lost.
 */
final class EmulatedScheduler implements DispatchApi.Actions {
    static final long CONNECT_TIMEOUT_MICROS = 250 * Emulation.MILLISECOND;
    private static final long PROBE_TIMEOUT_MICROS = 400 * Emulation.MILLISECOND;
    /** A request expires this long before the client's deadline, so that the answer arrives in time. */
    private static final long ANSWER_MARGIN_MICROS = 25 * Emulation.MILLISECOND;

    private final Emulation emulation;
    private final VirtualClock clock;
    private final RandomSources random;
    private final Scenario scenario;
    private final Deployment deployment;
    private final List<ClassSpec> classes;
    private final Report report;

    final int number;
    final int zone;
    /** Zones that this scheduler alone cannot reach. */
    final Set<Integer> unreachableZones = new HashSet<>();
    /** Slots of open attempts by zone. */
    final double[] outstandingSlots;

    final Map<String, Health> listedHealth = new HashMap<>();
    final Map<String, Long> listedStartTimes = new HashMap<>();
    /** Hall states at the latest sample, to report changes. */
    List<HallState> sampledHallStates = List.of();

    private final Map<String, OpenRequest> requests = new HashMap<>();
    private final List<Runnable>[] heldMessages;
    private DispatchApi module;
    private Settings settings;
    private int incarnation;

    @SuppressWarnings({"unchecked", "rawtypes"})
    EmulatedScheduler(Emulation emulation, int number, int zone) {
        this.emulation = emulation;
        this.clock = emulation.clock;
        this.random = emulation.random;
        this.scenario = emulation.scenario;
        this.deployment = emulation.deployment;
        this.classes = deployment.classes();
        this.report = emulation.report;
        this.outstandingSlots = new double[scenario.zones().size()];
        this.number = number;
        this.zone = zone;
        heldMessages = new List[scenario.zones().size()];
    }

    /** Starts the process with a new module, which gets the whole list of nodes. */
    void start() {
        settings = newSettings();
        sampledHallStates = List.of();
        listedHealth.clear();
        listedStartTimes.clear();
        module = emulation.moduleFactory.create(settings, this, emulation.trueState(zone));
        module.start(clock.now());
        sendWholeList();
    }

    private Settings newSettings() {
        Settings moduleSettings = new Settings();
        moduleSettings.seed = random.other.nextLong();
        moduleSettings.dispatchers = emulation.schedulers.size();
        moduleSettings.ownIndex = number;
        moduleSettings.zone = zone;
        moduleSettings.machineKinds = deployment.machines().size();
        moduleSettings.tickMicros = 5 * Emulation.MILLISECOND;
        moduleSettings.classes = new JobClass[classes.size()];
        for (int c = 0; c < moduleSettings.classes.length; c++) {
            ClassSpec jobClass = classes.get(c);
            moduleSettings.classes[c] = new JobClass(
                    jobClass.targetMicros(),
                    jobClass.targetStretch(),
                    jobClass.deadlineMicros(),
                    jobClass.worth(),
                    0,
                    jobClass.repeatSafety(),
                    jobClass.dedupScope(),
                    jobClass.repeatWindowMicros(),
                    -1,
                    0);
        }
        moduleSettings.worthPerWork = deployment.charges().worthByWork();
        moduleSettings.maxAttempts = deployment.permissions().maxAttempts();
        moduleSettings.mayHedge = deployment.permissions().hedging();
        moduleSettings.mayCancel = deployment.permissions().cancelling();
        moduleSettings.mayProbe = scenario.probes();
        moduleSettings.mayMessagePeers = deployment.permissions().peerMessages();
        moduleSettings.maxRetryAfterMicros = 2 * Emulation.SECOND;
        moduleSettings.ratingsReflectLoad = deployment.visibility().weights() == Deployment.Weights.LIVE;
        moduleSettings.pollsList = deployment.visibility().pollsList();
        moduleSettings.reportSource = scenario.probes()
                ? ReportSource.PROBES
                : deployment.visibility().reportSource();
        moduleSettings.notesStart = deployment.visibility().notesStart();
        moduleSettings.progressMicros = deployment.visibility().progressMicros();
        moduleSettings.connectTimeoutMicros = CONNECT_TIMEOUT_MICROS;
        moduleSettings.startCapacity = deployment.coldStart().startCapacity();
        moduleSettings.warmUpMicros = deployment.coldStart().warmUpMicros();
        moduleSettings.overloadMultiple = deployment.coldStart().overloadMultiple();
        moduleSettings.overloadWindowMicros = deployment.coldStart().overloadWindowMicros();
        moduleSettings.crossZoneCharge = deployment.charges().perCrossing();
        moduleSettings.halls = emulation.operator.hallSettings() == null
                ? null
                : emulation.operator.hallSettings().rulesFor(scenario.zoneNames(), zone);
        return moduleSettings;
    }

    /** Whether its process is running. */
    boolean isUp() {
        return module != null;
    }

    DispatchApi module() {
        return module;
    }

    Settings settings() {
        return settings;
    }

    /** Number of crashes so far; identifies one life of the process. */
    int incarnation() {
        return incarnation;
    }

    /** Whether it has not crashed since that incarnation. */
    boolean isIncarnation(int earlier) {
        return earlier == incarnation;
    }

    void forget(OpenRequest request) {
        requests.remove(request.id, request);
    }

    private void sendWholeList() {
        updateList(
                ListKind.WHOLE,
                emulation.nodes.stream()
                        .filter(n -> n.health != Health.GONE && !n.replaced)
                        .map(EmulatedNode::listEntry)
                        .toList());
    }

    /** Ends the process; all its state is lost. */
    void crash() {
        module = null;
        incarnation++;
        requests.clear();
        Arrays.fill(outstandingSlots, 0);
    }

    /** Receives entries of the node list, or the whole of it. */
    void updateList(ListKind kind, List<Member> entries) {
        if (module != null) {
            entries.forEach(e -> {
                listedHealth.put(e.worker(), e.health());
                listedStartTimes.put(e.worker(), e.startedAt());
            });
            module.list(clock.now(), kind, entries);
        }
    }

    /**
     * Runs an action one latency later, as a message from a zone; held while the zone is cut off, dropped if the scheduler
     * has crashed since incarnation sentIn.
     */
    void deliverFrom(int fromZone, int sentIn, Runnable action) {
        clock.runAfter(random.oneWayMicros(fromZone, zone), () -> {
            if (!isIncarnation(sentIn)) {
                return;
            }
            if (unreachableZones.contains(fromZone)) {
                heldMessages[fromZone] = heldMessages[fromZone] == null ? new ArrayList<>() : heldMessages[fromZone];
                heldMessages[fromZone].add(action);
            } else {
                action.run();
            }
        });
    }

    /** Delivers the messages held while a zone was cut off. */
    void deliverHeld(int fromZone) {
        List<Runnable> messages = heldMessages[fromZone];
        heldMessages[fromZone] = null;
        if (messages != null) {
            int heldIn = incarnation;
            messages.forEach(message -> clock.runAfter(random.delayMicros(1, 200), () -> {
                if (isIncarnation(heldIn)) {
                    message.run();
                }
            }));
        }
    }

    /** Accepts a client's request and passes it to the module. */
    void accept(ClientJob job) {
        long deadline = clock.now() + classes.get(job.classIndex).deadlineMicros() - ANSWER_MARGIN_MICROS;
        OpenRequest request = new OpenRequest(emulation, this, job, emulation.nextRequestId(), deadline);
        requests.put(request.id, request);
        int acceptedIn = incarnation;
        clock.runAt(request.deadline, () -> {
            if (isIncarnation(acceptedIn)) {
                request.expire();
            }
        });
        if (scenario.leavingShare() > 0 && random.other.nextDouble() < scenario.leavingShare()) {
            clock.runAfter(random.delayMicros(0, 120), () -> {
                if (isIncarnation(acceptedIn)) {
                    request.disconnectClient();
                }
            });
        }
        module.request(
                clock.now(),
                new Request(request.id, job.classIndex, -1, job.slots, job.workHint, request.deadline - clock.now()));
    }

    // The module's actions.

    @Override
    public void send(String id, String worker, long timeout) {
        OpenRequest request = requests.get(id);
        EmulatedNode node = emulation.node(worker);
        if (request == null || request.answered) {
            report.sendsAfterAnswer++;
            return;
        }
        report.forbiddenActions +=
                request.attempts.size() >= settings.maxAttempts || request.openAttemptCount > 0 && !settings.mayHedge
                        ? 1
                        : 0;
        Attempt attempt = new Attempt(emulation, this, request, request.attempts.size(), node);
        attempt.fails = random.other.nextDouble() < node.errorShare;
        request.attempts.add(attempt);
        request.openAttemptCount++;
        outstandingSlots[node.zone] += request.job.slots;
        HallState hallState = emulation.operator.hallSettings() == null
                ? HallState.SERVING
                : module.hallStates().get(node.zone);
        report.recordChoice(
                clock.now() - Emulation.START_MICROS,
                node.zone,
                hallState == HallState.DARK || hallState == HallState.RETURNING);
        attempt.connectAndSend();
    }

    @Override
    public void refuse(String id, long retryAfter) {
        OpenRequest request = requests.get(id);
        if (request != null) {
            boolean attemptOpen = request.attempts.stream().anyMatch(a -> !a.ended);
            report.refusalsWithOpenAttempts += attemptOpen ? 1 : 0;
            request.answer(Status.FULL, retryAfter);
        }
    }

    @Override
    public void fail(String id) {
        OpenRequest request = requests.get(id);
        if (request != null) {
            request.answer(Status.ERROR, 0);
        }
    }

    @Override
    public void cancel(String id, int attempt) {
        report.forbiddenActions += settings.mayCancel ? 0 : 1;
        OpenRequest request = requests.get(id);
        if (request != null) {
            int cancelledIn = incarnation;
            clock.runAfter(0, () -> {
                if (isIncarnation(cancelledIn)) {
                    request.attempts.get(attempt).finish(Status.CANCELLED);
                }
            });
        }
    }

    @Override
    public void probe(String worker) {
        EmulatedNode node = emulation.node(worker);
        long sentAt = clock.now();
        int sentIn = incarnation;
        report.probeCount++;
        report.forbiddenActions += settings.mayProbe ? 0 : 1;
        boolean answers = node.isReachableFrom(this) && node.model.isUp() && !node.model.isHung();
        boolean refused = node.isReachableFrom(this) && !node.model.isUp();
        long duration = answers || refused
                ? random.oneWayMicros(zone, node.zone) + random.oneWayMicros(node.zone, zone)
                : PROBE_TIMEOUT_MICROS;
        clock.runAfter(duration, () -> {
            if (isIncarnation(sentIn)) {
                module.probed(
                        clock.now(),
                        worker,
                        answers ? Status.OK : refused ? Status.CONNECT_FAILED : Status.TIMEOUT,
                        clock.now() - sentAt,
                        answers ? node.reportedLoad : null);
            }
        });
    }

    @Override
    public void sendToPeers(byte[] message) {
        report.forbiddenActions += settings.mayMessagePeers ? 0 : 1;
        report.messageCount += emulation.schedulers.size() - 1;
        report.messageBytes += (long) message.length * (emulation.schedulers.size() - 1);
        report.longestMessage = Math.max(report.longestMessage, message.length);
        for (EmulatedScheduler other : emulation.schedulers) {
            if (other != this && random.other.nextDouble() >= scenario.messageLoss()) {
                clock.runAfter(random.delayMicros(1.1, 9.8), () -> {
                    if (other.module != null) {
                        other.module.peerMessage(clock.now(), number, message);
                    }
                });
            }
        }
    }

    @Override
    public void setTimer(long delay, String token) {
        int setIn = incarnation;
        clock.runAfter(Math.max(1, delay), () -> {
            if (isIncarnation(setIn) && module != null && clock.now() < emulation.endTime()) {
                module.timerFired(clock.now(), token);
            }
        });
    }

    @Override
    public void watchList() {
        // Service discovery may be out of date: then it answers with an error, and the module asks again.
        int askedIn = incarnation;
        boolean isStale = random.other.nextDouble() < 0.2;
        clock.runAfter(random.delayMicros(5, 60), () -> {
            if (isIncarnation(askedIn) && isStale) {
                updateList(ListKind.FAILED, List.of());
            } else if (isIncarnation(askedIn)) {
                sendWholeList();
            }
        });
    }

    @Override
    public void log(String line) {
        report.log(clock.now() - Emulation.START_MICROS, number, line);
    }
}
