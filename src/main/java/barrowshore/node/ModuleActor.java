package barrowshore.node;

import barrowshore.halls.HallRules;
import barrowshore.list.ServerList;
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
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * The actor round the decision module. It owns the module, every open request with its deadline timer and its attempts,
 * and the servers' actors. It gives each request one final answer inside its deadline whether or not the module does,
 * and the module one outcome for each send. It must never choose, repeat or refuse anything by itself, but for a request
 * that the module leaves unanswered when its time is up.
 */
final class ModuleActor implements DispatchApi.Actions, JobRequest.RequestHandler {
    private static final System.Logger LOG = System.getLogger("barrowshore.node.ModuleActor");
    /** A probe that has told nothing by then tells nothing of the present any more. */
    private static final long PROBE_TIMEOUT_MILLIS = 1000;

    /** When one that is turned down as the process ends may come again, in microseconds: others take new ones at once. */
    private static final long SHUTDOWN_RETRY_AFTER_MICROS = 100_000;

    /** Ids of served requests kept: a minute or so at the usual load. */
    private static final int MAX_SERVED_IDS = 2048;

    /** How often is counted anew what changes without an event. */
    private static final long PUBLISH_INTERVAL_MILLIS = 100;

    private final Clock clock;
    private final Scheduler timers;
    private final Mailbox mailbox;
    private final Function<String, Server> newServer;
    private final DispatchApi module;
    private final Consumer<byte[]> peerSender;
    private final Map<String, OpenRequest> requests = new HashMap<>();
    private final Map<String, Server> servers = new HashMap<>();
    private final Set<String> listedServers = new HashSet<>();
    /** Ids of requests lately served, oldest first: an id is new with every request, so these are taken too. */
    private final Set<String> servedIds = new LinkedHashSet<>();

    private int maxAttempts;
    private final SchedulerCounters counters = new SchedulerCounters();
    /** Figures as of the last change, for whoever reads them; written here alone. */
    private volatile SchedulerMetrics metrics = SchedulerMetrics.NONE;

    private boolean publishing;
    private int openRequestCount;
    private int skippedServerCount;
    /** Those listed that want nothing new. */
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
        counters.setClasses(classes);
        this.module = newModule.apply(this);
    }

    /** A request and what has become of it; kept until it is answered and no attempt is out. */
    private static final class OpenRequest {
        final JobRequest request;
        final JobRequest.Client client;
        final List<Attempt> attempts = new ArrayList<>(2);
        Scheduler.Task deadlineTimer;
        int pendingAttempts;
        /** Written by the actor alone; read by servers, as they are about to begin an attempt. */
        volatile boolean answered;

        OpenRequest(JobRequest request, JobRequest.Client client) {
            this.request = request;
            this.client = client;
        }
    }

    /** One attempt: what the server reports comes back here, through the mailbox. */
    private final class Attempt implements Server.Attempt {
        final OpenRequest openRequest;
        final int number;
        final Server server;
        final long sentMicros;
        /** When its first byte must have gone, by the window of an earlier one that may have run. */
        final long startByMicros;

        Scheduler.Task timeoutTimer;
        /** Written by the actor alone; read by its server, as it is about to begin. */
        volatile boolean ended;

        boolean neverRan;

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
        public boolean mayBegin() {
            long now = clock.micros();
            // What the actor knows may wait for its turn at the server: an end since counts from the moment it is
            // known.
            boolean stillWanted = !ended && !openRequest.answered && !openRequest.client.isGone();
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

        @Override
        public void noteReceived(Note note, double share) {
            mailbox.post(() -> {
                if (!ended) {
                    callModule(
                            openRequest, () -> module.note(nowMicros(), openRequest.request.id(), number, note, share));
                }
            });
        }

        @Override
        public void ended(Status status, Load load, byte[] result) {
            mailbox.post(() -> finishAttempt(this, status, load, result));
        }
    }

    // What the actor is told.

    void start() {
        mailbox.post(() -> {
            callModule(null, () -> module.start(nowMicros()));
        });
    }

    /**
     * Discovery has told no list for long enough, or has nothing against the list known from before: that has to do. How
     * long is enough, {@link barrowshore.servers.ServiceDiscovery} decides.
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
            publish();
        });
    }

    /** Other settings from now on, with the names of their classes by number. */
    void changeSettings(Settings next, List<String> classes) {
        mailbox.post(() -> {
            maxAttempts = next.maxAttempts;
            counters.setClasses(classes);
            callModule(null, () -> module.changeSettings(nowMicros(), next));
            publish();
        });
    }

    /** The operators' rules on halls have changed. */
    void changeHallRules(HallRules rules) {
        mailbox.post(() -> callModule(null, () -> module.changeHallRules(nowMicros(), rules)));
    }

    /** Which part of what is due to this scheduler is this process's. */
    void setDispatcherShare(double share) {
        mailbox.post(() -> callModule(null, () -> module.setDispatcherShare(share)));
    }

    /** Shows the module to one who only looks. */
    void inspect(Consumer<DispatchApi> reader) {
        mailbox.post(() -> reader.accept(module));
    }

    /** Another scheduler has told us something. */
    void receivePeerMessage(int from, byte[] message) {
        mailbox.post(() -> callModule(null, () -> module.peerMessage(nowMicros(), from, message)));
    }

    /** The figures as of the last change; may be asked from anywhere. */
    SchedulerMetrics metrics() {
        return metrics;
    }

    /** A changed file was taken over, or turned down. */
    void countReload(boolean applied) {
        mailbox.post(() -> {
            counters.countReload(applied);
            publish();
        });
    }

    @Override
    public void countTurnedAway(int jobClass) {
        mailbox.post(() -> {
            counters.countOutcome(jobClass, SchedulerCounters.Outcome.DROPPED);
            publish();
        });
    }

    /** From now on figures are published after each change; until then nobody reads them. */
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

    /** What ages without an event, as which servers are avoided, is looked at now and then. */
    private void publishPeriodically() {
        callModule(null, () -> skippedServerCount = terminatingServers.size() + module.countAvoided(nowMicros()));
        publish();
        timers.schedule(() -> mailbox.post(this::publishPeriodically), PUBLISH_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Answers whether the list has come and the tables are built. */
    @Override
    public void askReady(Consumer<Boolean> asker) {
        mailbox.post(() -> asker.accept(listReceived));
    }

    /** Runs the message once requests can be served. */
    void runWhenReady(Runnable message) {
        mailbox.post(() -> {
            readyListeners.add(message);
            notifyIfReady();
        });
    }

    private void notifyIfReady() {
        if (listReceived) {
            readyListeners.forEach(Runnable::run);
            readyListeners.clear();
        }
        publish();
    }

    /** Answers every open request that is not answered by so many milliseconds from now: the process ends after that. */
    void scheduleFinalAnswers(long millis) {
        timers.schedule(
                () -> mailbox.post(() -> List.copyOf(requests.values()).forEach(this::answerBeforeExit)),
                millis,
                TimeUnit.MILLISECONDS);
    }

    /**
     * The process ends before the request's time is up: it is answered first, since the module, told that its attempts are
     * over, would send it again. What cannot have run, or may run again, others can do.
     */
    private void answerBeforeExit(OpenRequest openRequest) {
        if (!openRequest.answered) {
            boolean mayRetry = openRequest.request.repeatWindowMicros() == JobRequest.NO_REPEAT_LIMIT
                    || openRequest.attempts.stream().allMatch(attempt -> attempt.neverRan);
            answer(
                    openRequest,
                    mayRetry ? new JobRequest.Rejection(SHUTDOWN_RETRY_AFTER_MICROS) : new JobRequest.Failed(false));
            callModule(openRequest, () -> module.clientGone(nowMicros(), openRequest.request.id()));
            List.copyOf(openRequest.attempts).forEach(attempt -> abandonAttempt(attempt, Status.TIMEOUT));
            forgetIfFinished(openRequest);
        }
    }

    /** Runs the message once no request is open. */
    void runWhenIdle(Runnable message) {
        mailbox.post(() -> {
            idleListeners.add(message);
            notifyIfIdle();
        });
    }

    @Override
    public void submit(JobRequest request, JobRequest.Client client) {
        mailbox.post(() -> {
            if (requests.containsKey(request.id()) || servedIds.contains(request.id())) {
                client.answer(new JobRequest.IdInUse("the id is in use"));
                return;
            }
            OpenRequest openRequest = new OpenRequest(request, client);
            requests.put(request.id(), openRequest);
            openRequestCount++;
            publish();
            long now = nowMicros();
            openRequest.deadlineTimer = timers.schedule(
                    () -> mailbox.post(() -> expireRequest(openRequest)),
                    request.deadlineMicros() - now,
                    TimeUnit.MICROSECONDS);
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
        });
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

    /** The client waits no more: nothing that has not begun is to begin. */
    private void closeAbandoned(OpenRequest openRequest) {
        if (!openRequest.answered) {
            markAnswered(openRequest);
            callModule(openRequest, () -> module.clientGone(nowMicros(), openRequest.request.id()));
            forgetIfFinished(openRequest);
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
                    .unlisted());
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

    /** The time of a request is up: its attempts time out, and if the module has no answer it gets ours. */
    private void expireRequest(OpenRequest openRequest) {
        if (openRequest.answered) {
            return;
        }
        for (Attempt attempt : List.copyOf(openRequest.attempts)) {
            abandonAttempt(attempt, Status.TIMEOUT);
        }
        if (!openRequest.answered) {
            // Guards against a module that fell silent: the client still waits, and a rule is at stake.
            answer(openRequest, new JobRequest.Failed(true));
            callModule(openRequest, () -> module.clientGone(nowMicros(), openRequest.request.id()));
            forgetIfFinished(openRequest);
        }
    }

    /** Stops waiting for an attempt; one that was never sent has no server to tell. */
    private void abandonAttempt(Attempt attempt, Status status) {
        if (!attempt.ended) {
            if (attempt.server != null) {
                attempt.server.abandon(attempt);
            }
            finishAttempt(attempt, status, null, null);
        }
    }

    private void finishAttempt(Attempt attempt, Status status, Load load, byte[] result) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        attempt.neverRan = status.neverRan();
        if (attempt.timeoutTimer != null) {
            attempt.timeoutTimer.cancel();
        }
        OpenRequest openRequest = attempt.openRequest;
        if (openRequest.client.isGone()) {
            closeAbandoned(openRequest); // before the module hears of the end, and repeats what nobody waits for
        }
        openRequest.pendingAttempts--;
        if (status == Status.OK && !openRequest.answered) {
            answer(openRequest, new JobRequest.Served(result));
            servedIds.add(openRequest.request.id());
            if (servedIds.size() > MAX_SERVED_IDS) {
                servedIds.remove(servedIds.iterator().next());
            }
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

    /** Runs a call of the module; an exception in it costs at most the request that it was about. */
    private void callModule(OpenRequest openRequest, Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, "the module failed", e);
            if (openRequest != null && !openRequest.answered && openRequest.pendingAttempts == 0) {
                answer(openRequest, new JobRequest.Failed(false));
                forgetIfFinished(openRequest);
            }
        }
    }

    private void markAnswered(OpenRequest openRequest) {
        openRequest.answered = true;
        // Whether or not the settings let attempts be called off: one that has not begun is not to begin any more.
        openRequest.attempts.stream()
                .filter(attempt -> !attempt.ended && attempt.server != null)
                .forEach(attempt -> attempt.server.cancelIfUnsent(attempt));
        openRequestCount--;
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
            requests.remove(openRequest.request.id(), openRequest);
            notifyIfIdle();
        }
    }

    private void notifyIfIdle() {
        if (!idleListeners.isEmpty() && requests.values().stream().allMatch(openRequest -> openRequest.answered)) {
            idleListeners.forEach(Runnable::run);
            idleListeners.clear();
        }
    }

    // What the module orders.

    @Override
    public void send(String id, String worker, long timeoutMicros) {
        OpenRequest openRequest = requests.get(id);
        Server server = servers.get(worker);
        if (openRequest == null) {
            LOG.log(Level.ERROR, "the module sent request {0}, which is not open", id);
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
            // After the call that orders it: the module is not told of an end while it is at work on another.
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
        // The service discovery's watch is open from the start and stays so.
    }

    @Override
    public void log(String line) {
        LOG.log(Level.INFO, line);
    }
}
