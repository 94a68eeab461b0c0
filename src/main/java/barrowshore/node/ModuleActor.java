package barrowshore.node;

import barrowshore.halls.HallRules;
import barrowshore.list.ServerList;
import barrowshore.memory.CountedBytes;
import barrowshore.module.DispatchApi;
import barrowshore.module.DispatchApi.ListKind;
import barrowshore.module.DispatchApi.Load;
import barrowshore.module.DispatchApi.Member;
import barrowshore.module.DispatchApi.Note;
import barrowshore.module.DispatchApi.Request;
import barrowshore.module.DispatchApi.Settings;
import barrowshore.module.DispatchApi.Status;
import barrowshore.net.Clock;
import barrowshore.net.Mailbox;
import barrowshore.request.JobRequest;
import barrowshore.servers.Server;
import barrowshore.status.SchedulerCounters;
import barrowshore.status.SchedulerMetrics;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Function;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * The actor that runs the dispatch module. It owns the module, the open requests with their deadline timers and attempts,
 * and the servers' actors. Each request gets exactly one answer within its deadline, even if the module gives none,
 * and the module gets one outcome per attempt. Apart from that fallback, and the answers as the process exits, all
 * decisions are the module's.
 */
final class ModuleActor implements DispatchApi.Actions, JobRequest.RequestHandler {
    private static final System.Logger LOG = System.getLogger("barrowshore.node.ModuleActor");
    /** An answer that takes longer says nothing about the server's present load. */
    private static final long PROBE_TIMEOUT_MILLIS = 1000;

    /** For requests rejected at shutdown; short, since other schedulers accept them at once. */
    private static final long SHUTDOWN_RETRY_AFTER_MICROS = 100_000;

    /** How often metrics that change without an event are recomputed. */
    private static final long PUBLISH_INTERVAL_MILLIS = 100;

    private static final JobRequest.Answer ID_IN_USE = new JobRequest.IdInUse("the id is in use");

    private final Clock clock;
    private final Scheduler timers;
    private final Mailbox mailbox;
    private final Function<String, Server> newServer;
    private final DispatchApi module;
    private final Consumer<byte[]> peerSender;
    private final Map<String, OpenRequest> requests = new HashMap<>();
    private final Map<String, Server> servers = new HashMap<>();
    private final Set<String> listedServers = new HashSet<>();
    /** Which requests may run: none with an id that is or was used, at another process of this scheduler either. */
    private final RequestAdmission admission;

    private int maxAttempts;
    private final SchedulerCounters counters = new SchedulerCounters();
    /** Metrics as of the last change; written by the actor only, read by any thread. */
    private volatile SchedulerMetrics metrics = SchedulerMetrics.NONE;

    private boolean publishing;
    private int openRequestCount;
    private int skippedServerCount;
    /** Listed servers that accept no new jobs. */
    private final Set<String> terminatingServers = new HashSet<>();

    private final List<Runnable> readyListeners = new ArrayList<>();
    private final List<Runnable> idleListeners = new ArrayList<>();
    private boolean listReceived;
    private long lastMicros;

    ModuleActor(
            Clock clock,
            Executor pool,
            Scheduler timers,
            List<String> classes,
            int maxAttempts,
            Function<String, Server> newServer,
            Consumer<byte[]> peerSender,
            Function<DispatchApi.Actions, DispatchApi> newModule) {
        this.clock = clock;
        this.timers = timers;
        this.newServer = newServer;
        this.maxAttempts = maxAttempts;
        this.peerSender = peerSender;
        this.mailbox = new Mailbox("the module", pool);
        this.admission = new RequestAdmission(mailbox, timers, this::nowMicros, new WaitingRequests());
        counters.setClasses(classes);
        this.module = newModule.apply(this);
    }

    /** A request and its attempts; kept until it is answered and no attempt is pending. */
    private static final class OpenRequest {
        final JobRequest request;
        final JobRequest.Client client;
        final List<Attempt> attempts = new ArrayList<>(2);
        Scheduler.Task deadlineTimer;
        int pendingAttempts;
        /** Whether the module knows the request; before, another process may still hold its id. */
        boolean admitted;
        /** Written by the actor only; read by servers' actors before they begin an attempt. */
        volatile boolean answered;

        OpenRequest(JobRequest request, JobRequest.Client client) {
            this.request = request;
            this.client = client;
        }

        boolean mayHaveRun() {
            return attempts.stream().anyMatch(attempt -> !attempt.neverRan);
        }
    }

    /** One attempt; the server's reports come in here and are handled in the mailbox. */
    private final class Attempt implements Server.Attempt {
        final OpenRequest openRequest;
        final int number;
        final Server server;
        final long sentMicros;
        /** Latest time to write its first byte: the end of the repeat window of an earlier attempt that may have run. */
        final long startByMicros;

        Scheduler.Task timeoutTimer;
        /** Written by the actor only; read by the server's actor before it begins. */
        volatile boolean ended;

        boolean neverRan;
        /** Owned by the server's actor. */
        private boolean startPosted;
        /** Written by the server's actor. */
        private volatile double latestShare;
        /** Whether a message about progress waits in the mailbox. */
        private final AtomicBoolean progressPosted = new AtomicBoolean();

        Attempt(OpenRequest openRequest, int number, Server server, long sentMicros) {
            this.openRequest = openRequest;
            this.number = number;
            this.server = server;
            this.sentMicros = sentMicros;
            long earliest = Long.MAX_VALUE;
            for (Attempt earlier : openRequest.attempts) {
                if (!earlier.neverRan && openRequest.request.repeatWindowMicros() != JobRequest.NO_REPEAT_LIMIT) {
                    earliest = Math.min(earliest, earlier.sentMicros + openRequest.request.repeatWindowMicros());
                }
            }
            this.startByMicros = earliest;
        }

        @Override
        public JobRequest request() {
            return openRequest.request;
        }

        @Override
        public long timeLeftMicros() {
            return openRequest.request.deadlineMicros() - clock.micros();
        }

        @Override
        public boolean maySend() {
            long now = clock.micros();
            // Called by the server's actor: an end that the actor here knows counts before the server is told of it.
            boolean stillWanted = !ended && !openRequest.answered && !openRequest.client.mayBeGone();
            return stillWanted && now < startByMicros && now < openRequest.request.deadlineMicros();
        }

        @Override
        public void checkClient(Runnable then) {
            openRequest.client.checkConnection(then);
        }

        @Override
        public void requestWritten() {
            mailbox.post(() -> {
                counters.countAttempt();
                publish();
            });
        }

        /** Only the latest progress is kept, so that a server that reports it often cannot fill the mailbox. */
        @Override
        public void noteReceived(Note note, double share) {
            if (note == Note.PROGRESS) {
                latestShare = share;
                if (!progressPosted.getAndSet(true)) {
                    mailbox.post(() -> {
                        progressPosted.set(false);
                        passOnNote(note, latestShare);
                    });
                }
            } else if (!startPosted) {
                startPosted = true;
                mailbox.post(() -> passOnNote(note, share));
            }
        }

        private void passOnNote(Note note, double share) {
            if (!ended) {
                callModule(openRequest, () -> module.note(nowMicros(), openRequest.request.id(), number, note, share));
            }
        }

        @Override
        public void ended(Status status, Load load, CountedBytes result) {
            mailbox.post(() -> finishAttempt(this, status, load, result));
        }
    }

    // Messages to the actor.

    void start() {
        mailbox.post(() -> {
            callModule(null, () -> module.start(nowMicros()));
        });
    }

    /**
     * Uses the configured known servers, unless a list has come. {@link barrowshore.servers.ServiceDiscovery} calls it when
     * discovery has sent no list for too long, or nothing newer than the known one.
     */
    void useKnownServers(ServerList.Update known) {
        mailbox.post(() -> {
            if (!listReceived) {
                applyList(known, ListKind.INITIAL);
                listReceived = !listedServers.isEmpty();
                notifyIfReady();
            }
        });
    }

    void updateServers(ServerList.Update update) {
        mailbox.post(() -> {
            applyList(update, update.full() ? ListKind.WHOLE : ListKind.CHANGES);
            listReceived = true;
            notifyIfReady();
        });
    }

    /** Changes the settings; classes: names by class number; keepAliveMicros: of idle connections to servers. */
    void changeSettings(Settings newSettings, List<String> classes, long keepAliveMicros) {
        mailbox.post(() -> {
            servers.values().forEach(server -> server.setKeepAlive(keepAliveMicros));
            maxAttempts = newSettings.maxAttempts;
            counters.setClasses(classes);
            callModule(null, () -> module.changeSettings(nowMicros(), newSettings));
            publish();
        });
    }

    /** Changes the operators' hall rules; null: halls are off. */
    void changeHallRules(HallRules rules) {
        mailbox.post(() -> callModule(null, () -> module.changeHallRules(nowMicros(), rules)));
    }

    /** Sets the part (0 to 1) of this scheduler's share that this process may use. */
    void setDispatcherShare(double share) {
        mailbox.post(() -> callModule(null, () -> module.setDispatcherShare(share)));
    }

    /** Runs a reader of the module in the actor; it must not change the module. */
    void inspect(Consumer<DispatchApi> reader) {
        mailbox.post(() -> reader.accept(module));
    }

    /** Passes on a message of another scheduler. */
    void receivePeerMessage(int from, byte[] message) {
        mailbox.post(() -> callModule(null, () -> module.peerMessage(nowMicros(), from, message)));
    }

    /** The metrics as of the last change; may be called from any thread. */
    SchedulerMetrics metrics() {
        return metrics;
    }

    /** Counts a reload of the configuration, applied or rejected. */
    void countReload(boolean applied) {
        mailbox.post(() -> {
            counters.countReload(applied);
            publish();
        });
    }

    @Override
    public void countRejected(int jobClass) {
        mailbox.post(() -> {
            counters.countOutcome(jobClass, SchedulerCounters.Outcome.DROPPED);
            publish();
        });
    }

    /** Starts publishing metrics after each change; without an operators' address nobody reads them. */
    void startPublishing() {
        mailbox.post(() -> {
            publishing = true;
            publishPeriodically();
        });
    }

    private void publish() {
        if (publishing) {
            metrics = counters.snapshot(listReceived, openRequestCount, listedServers.size(), skippedServerCount);
        }
    }

    /** Publishes at intervals, since the number of avoided servers changes with time alone. */
    private void publishPeriodically() {
        callModule(null, () -> skippedServerCount = terminatingServers.size() + module.countAvoided(nowMicros()));
        publish();
        timers.schedule(() -> mailbox.post(this::publishPeriodically), PUBLISH_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Answers whether the server list has come and the index tables are built. */
    @Override
    public void checkReady(Consumer<Boolean> asker) {
        mailbox.post(() -> asker.accept(listReceived));
    }

    /** Runs the callback once requests can be served. */
    void runWhenReady(Runnable callback) {
        mailbox.post(() -> {
            readyListeners.add(callback);
            notifyIfReady();
        });
    }

    private void notifyIfReady() {
        publish(); // first, so that operators are told that it is ready as soon as clients are accepted
        if (listReceived) {
            readyListeners.forEach(Runnable::run);
            readyListeners.clear();
        }
    }

    /** Answers every request that is still open; the process exits after that. */
    void giveFinalAnswers() {
        mailbox.post(() -> List.copyOf(requests.values()).forEach(this::answerBeforeExit));
    }

    /**
     * Answers a request before the process exits. It is answered before its attempts end, or the module would repeat it. The
     * client is told to retry elsewhere only if the request cannot have run or may run twice.
     */
    private void answerBeforeExit(OpenRequest openRequest) {
        if (!openRequest.answered) {
            boolean mayRetry = openRequest.request.repeatWindowMicros() == JobRequest.NO_REPEAT_LIMIT
                    || openRequest.attempts.stream().allMatch(attempt -> attempt.neverRan);
            answer(
                    openRequest,
                    mayRetry ? new JobRequest.Rejection(SHUTDOWN_RETRY_AFTER_MICROS) : new JobRequest.Failed(false));
            endAtModule(openRequest);
            List.copyOf(openRequest.attempts).forEach(attempt -> abandonAttempt(attempt, Status.TIMEOUT));
            forgetIfFinished(openRequest);
        }
    }

    /** Runs the callback once every request is answered. */
    void runWhenIdle(Runnable callback) {
        mailbox.post(() -> {
            idleListeners.add(callback);
            notifyIfIdle();
        });
    }

    @Override
    public void submit(JobRequest request, JobRequest.Client client) {
        mailbox.post(() -> {
            switch (admission.begin(request.id(), request.repeatWindowMicros() == JobRequest.NO_REPEAT_LIMIT)) {
                case ADMITTED -> admit(open(request, client));
                case WAITING -> open(request, client);
                case IN_USE -> answerUnopened(request, client, ID_IN_USE);
                default -> {
                    counters.countOutcome(request.jobClass(), SchedulerCounters.Outcome.DROPPED);
                    answerUnopened(request, client, new JobRequest.Rejection(SHUTDOWN_RETRY_AFTER_MICROS));
                }
            }
            publish();
        });
    }

    private static void answerUnopened(JobRequest request, JobRequest.Client client, JobRequest.Answer answer) {
        request.body().release();
        request.body().forget();
        client.answer(answer);
    }

    private OpenRequest open(JobRequest request, JobRequest.Client client) {
        OpenRequest openRequest = new OpenRequest(request, client);
        requests.put(request.id(), openRequest);
        openRequestCount++;
        openRequest.deadlineTimer = timers.schedule(
                () -> mailbox.post(() -> expireRequest(openRequest)),
                request.deadlineMicros() - nowMicros(),
                TimeUnit.MICROSECONDS);
        return openRequest;
    }

    /** The part that decides which requests may run, for the link to other processes of this scheduler. */
    RequestAdmission admission() {
        return admission;
    }

    /** Hands the request to the module. */
    private void admit(OpenRequest openRequest) {
        openRequest.admitted = true;
        JobRequest request = openRequest.request;
        long now = nowMicros();
        callModule(
                openRequest,
                () -> module.request(
                        now,
                        new Request(
                                request.id(),
                                request.jobClass(),
                                request.tenant(),
                                request.slots(),
                                request.workHintMicros(),
                                request.deadlineMicros() - now)));
    }

    /** The requests that wait until no other process of this scheduler can hold their id. */
    private final class WaitingRequests implements RequestAdmission.WaitingRequests {
        @Override
        public void admit(String id) {
            OpenRequest openRequest = requests.get(id);
            if (openRequest.client.isGone()) {
                closeAbandoned(openRequest);
            } else {
                ModuleActor.this.admit(openRequest);
            }
        }

        @Override
        public void refuse(String id) {
            OpenRequest openRequest = requests.get(id);
            markAnswered(openRequest);
            openRequest.client.answer(ID_IN_USE);
            forgetIfFinished(openRequest);
            publish();
        }
    }

    @Override
    public void clientGone(JobRequest request) {
        mailbox.post(() -> {
            OpenRequest openRequest = requests.get(request.id());
            if (openRequest != null && openRequest.request == request) {
                closeAbandoned(openRequest);
            }
        });
    }

    /** Closes a request whose client has gone: no further attempt begins. */
    private void closeAbandoned(OpenRequest openRequest) {
        if (!openRequest.answered) {
            markAnswered(openRequest);
            endAtModule(openRequest);
            forgetIfFinished(openRequest);
        }
    }

    /** Tells the module that nothing more is owed for the request. */
    private void endAtModule(OpenRequest openRequest) {
        if (openRequest.admitted) {
            callModule(openRequest, () -> module.clientGone(nowMicros(), openRequest.request.id()));
        }
    }

    private long nowMicros() {
        lastMicros = Math.max(lastMicros, clock.micros());
        return lastMicros;
    }

    private void applyList(ServerList.Update update, ListKind kind) {
        List<Member> members = new ArrayList<>();
        Set<String> named = new HashSet<>();
        for (ServerList.Entry entry : update.entries()) {
            named.add(entry.uid());
            servers.computeIfAbsent(entry.uid(), newServer).update(entry);
            members.add(entry.toMember());
        }
        if (kind != ListKind.CHANGES) {
            listedServers.stream().filter(uid -> !named.contains(uid)).forEach(uid -> servers.get(uid)
                    .markUnlisted());
            listedServers.retainAll(named);
        }
        update.entries().forEach(entry -> {
            if (entry.state() == ServerList.State.GONE) {
                listedServers.remove(entry.uid());
            } else {
                listedServers.add(entry.uid());
            }
            if (entry.state() == ServerList.State.TERMINATING) {
                terminatingServers.add(entry.uid());
            } else {
                terminatingServers.remove(entry.uid());
            }
        });
        terminatingServers.retainAll(listedServers);
        callModule(null, () -> module.list(nowMicros(), kind, members));
    }

    /** Handles a request's deadline: times out its attempts, and answers if the module does not. */
    private void expireRequest(OpenRequest openRequest) {
        if (openRequest.answered) {
            return;
        }
        for (Attempt attempt : List.copyOf(openRequest.attempts)) {
            abandonAttempt(attempt, Status.TIMEOUT);
        }
        if (!openRequest.answered) {
            // Guards against a module that gives no answer: the client must get one within its deadline.
            answer(openRequest, new JobRequest.Failed(true));
            endAtModule(openRequest);
            forgetIfFinished(openRequest);
        }
    }

    /** Stops waiting for an attempt; it has no server if the module named an unknown one. */
    private void abandonAttempt(Attempt attempt, Status status) {
        if (!attempt.ended) {
            if (attempt.server != null) {
                attempt.server.abandon(attempt);
            }
            finishAttempt(attempt, status, null, null);
        }
    }

    private void finishAttempt(Attempt attempt, Status status, Load load, CountedBytes result) {
        if (attempt.ended) {
            releaseResult(result);
            return;
        }
        attempt.ended = true;
        attempt.neverRan = status.neverRan();
        if (attempt.timeoutTimer != null) {
            attempt.timeoutTimer.cancel();
        }
        OpenRequest openRequest = attempt.openRequest;
        if (openRequest.client.isGone()) {
            closeAbandoned(openRequest); // before the module hears of the outcome and repeats the request
        }
        openRequest.pendingAttempts--;
        if (status == Status.OK && !openRequest.answered) {
            answer(openRequest, new JobRequest.Served(result));
        } else {
            releaseResult(result);
        }
        long now = nowMicros();
        boolean answeredBefore = openRequest.answered;
        callModule(
                openRequest,
                () -> module.outcome(
                        now,
                        openRequest.request.id(),
                        attempt.number,
                        answeredBefore,
                        status,
                        now - attempt.sentMicros,
                        load));
        forgetIfFinished(openRequest);
    }

    private static void releaseResult(CountedBytes result) {
        if (result != null) {
            result.release();
        }
    }

    /** Calls the module; an exception fails at most the request that the call was about. */
    private void callModule(OpenRequest openRequest, Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            LOG.log(
                    Level.ERROR,
                    "the dispatch module threw an exception; the call's request fails if no attempt is pending",
                    e);
            if (openRequest != null && !openRequest.answered && openRequest.pendingAttempts == 0) {
                answer(openRequest, new JobRequest.Failed(false));
                forgetIfFinished(openRequest);
            }
        }
    }

    private void markAnswered(OpenRequest openRequest) {
        openRequest.answered = true;
        // Even if the settings forbid cancelling: an attempt that has not begun is not cancelled but never sent.
        openRequest.attempts.stream()
                .filter(attempt -> !attempt.ended && attempt.server != null)
                .forEach(attempt -> attempt.server.cancelIfUnsent(attempt));
        openRequestCount--;
        openRequest.request.body().release(); // a write under way holds it for itself
        openRequest.deadlineTimer.cancel();
        publish();
    }

    private void answer(OpenRequest openRequest, JobRequest.Answer answer) {
        if (!openRequest.answered) {
            counters.countOutcome(
                    openRequest.request.jobClass(),
                    answer instanceof JobRequest.Served
                            ? SchedulerCounters.Outcome.PASSED
                            : answer instanceof JobRequest.Rejection
                                    ? SchedulerCounters.Outcome.DROPPED
                                    : SchedulerCounters.Outcome.BAD_GATEWAY);
            markAnswered(openRequest);
            openRequest.client.answer(answer);
        }
    }

    private void forgetIfFinished(OpenRequest openRequest) {
        if (openRequest.answered && openRequest.pendingAttempts == 0) {
            if (requests.remove(openRequest.request.id(), openRequest)) {
                admission.end(openRequest.request.id(), openRequest.mayHaveRun());
                openRequest.request.body().forget();
            }
            notifyIfIdle();
        }
    }

    private void notifyIfIdle() {
        if (!idleListeners.isEmpty() && requests.values().stream().allMatch(openRequest -> openRequest.answered)) {
            idleListeners.forEach(Runnable::run);
            idleListeners.clear();
        }
    }

    // Actions of the module.

    @Override
    public void send(String id, String worker, long timeoutMicros) {
        OpenRequest openRequest = requests.get(id);
        Server server = servers.get(worker);
        if (openRequest == null) {
            LOG.log(Level.ERROR, "the dispatch module sent request {0}, which is not open; nothing is sent", id);
            return;
        }
        Attempt attempt = new Attempt(openRequest, openRequest.attempts.size(), server, nowMicros());
        openRequest.attempts.add(attempt);
        openRequest.pendingAttempts++;
        if (server == null || openRequest.answered || openRequest.attempts.size() > maxAttempts) {
            attempt.ended(Status.NOT_SENT, null, null);
            return;
        }
        if (timeoutMicros > 0) {
            attempt.timeoutTimer = timers.schedule(
                    () -> mailbox.post(() -> abandonAttempt(attempt, Status.TIMEOUT)),
                    timeoutMicros,
                    TimeUnit.MICROSECONDS);
        }
        server.send(attempt);
    }

    @Override
    public void refuse(String id, long retryAfterMicros) {
        answerById(id, new JobRequest.Rejection(retryAfterMicros));
    }

    @Override
    public void fail(String id) {
        answerById(id, new JobRequest.Failed(false));
    }

    private void answerById(String id, JobRequest.Answer answer) {
        OpenRequest openRequest = requests.get(id);
        if (openRequest != null) {
            answer(openRequest, answer);
            forgetIfFinished(openRequest);
        }
    }

    @Override
    public void cancel(String id, int attempt) {
        OpenRequest openRequest = requests.get(id);
        if (openRequest != null && attempt >= 0 && attempt < openRequest.attempts.size()) {
            // Posted, so that the module is not called with the outcome while it is still in the call that cancels.
            mailbox.post(() -> abandonAttempt(openRequest.attempts.get(attempt), Status.CANCELLED));
        }
    }

    @Override
    public void probe(String worker) {
        Server server = servers.get(worker);
        if (server != null) {
            long sentMicros = nowMicros();
            server.probe(
                    PROBE_TIMEOUT_MILLIS,
                    (status, load) -> mailbox.post(() -> {
                        long now = nowMicros();
                        callModule(null, () -> module.probed(now, worker, status, now - sentMicros, load));
                    }));
        }
    }

    @Override
    public void sendToPeers(byte[] message) {
        peerSender.accept(message);
    }

    @Override
    public void setTimer(long delayMicros, String token) {
        timers.schedule(
                () -> mailbox.post(() -> callModule(null, () -> module.timerFired(nowMicros(), token))),
                Math.max(1, delayMicros),
                TimeUnit.MICROSECONDS);
    }

    @Override
    public void watchList() {
        // Service discovery is watched from the start.
    }

    @Override
    public void log(String line) {
        LOG.log(Level.INFO, line);
    }
}
