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
    private static final long PROBE_MILLIS = 1000;

    /** When one that is turned down as the process ends may come again, in microseconds: others take new ones at once. */
    private static final long LAST_DELAY = 100_000;

    /** Ids of served requests kept: a minute or so at the usual load. */
    private static final int MOST_SERVED = 2048;

    /** How often is counted anew what changes without an event. */
    private static final long PUBLISH_MILLIS = 100;

    private final Clock clock;
    private final Scheduler timers;
    private final Mailbox mailbox;
    private final Function<String, Server> newServer;
    private final DispatchApi module;
    private final Consumer<byte[]> tell;
    private final Map<String, OpenRequest> requests = new HashMap<>();
    private final Map<String, Server> servers = new HashMap<>();
    private final Set<String> listed = new HashSet<>();
    /** Ids of requests lately served, oldest first: an id is new with every request, so these are taken too. */
    private final Set<String> served = new LinkedHashSet<>();

    private int mostAttempts;
    private final SchedulerCounters tally = new SchedulerCounters();
    /** Figures as of the last change, for whoever reads them; written here alone. */
    private volatile SchedulerMetrics figures = SchedulerMetrics.NONE;

    private boolean publishing;
    private int openRequests;
    private int skipped;
    /** Those listed that want nothing new. */
    private final Set<String> draining = new HashSet<>();

    private final List<Runnable> whenReady = new ArrayList<>();
    private final List<Runnable> whenIdle = new ArrayList<>();
    private boolean told;
    private long lastNow;

    ModuleActor(
            Clock clock,
            Executor pool,
            Scheduler timers,
            List<String> classes,
            int mostAttempts,
            Function<String, Server> newServer,
            Consumer<byte[]> tell,
            Function<DispatchApi.Actions, DispatchApi> newModule) {
        this.clock = clock;
        this.timers = timers;
        this.newServer = newServer;
        this.mostAttempts = mostAttempts;
        this.tell = tell;
        this.mailbox = new Mailbox("the module", pool);
        tally.setClasses(classes);
        this.module = newModule.apply(this);
    }

    /** A request and what has become of it; kept until it is answered and no attempt is out. */
    private static final class OpenRequest {
        final JobRequest request;
        final JobRequest.Client client;
        final List<Attempt> attempts = new ArrayList<>(2);
        Scheduler.Task timer;
        int out;
        /** Written by the actor alone; read by servers, as they are about to begin an attempt. */
        volatile boolean answered;

        OpenRequest(JobRequest request, JobRequest.Client client) {
            this.request = request;
            this.client = client;
        }
    }

    /** One attempt: what the server reports comes back here, through the mailbox. */
    private final class Attempt implements Server.Attempt {
        final OpenRequest open;
        final int number;
        final Server server;
        final long sentAt;
        /** When its first byte must have gone, by the window of an earlier one that may have run. */
        final long beginBy;

        Scheduler.Task timer;
        /** Written by the actor alone; read by its server, as it is about to begin. */
        volatile boolean ended;

        boolean neverRan;

        Attempt(OpenRequest open, int number, Server server, long sentAt) {
            this.open = open;
            this.number = number;
            this.server = server;
            this.sentAt = sentAt;
            long by = Long.MAX_VALUE;
            for (Attempt earlier : open.attempts) {
                if (!earlier.neverRan && open.request.repeatWindowMicros() != JobRequest.NO_REPEAT_LIMIT) {
                    by = Math.min(by, earlier.sentAt + open.request.repeatWindowMicros());
                }
            }
            this.beginBy = by;
        }

        @Override
        public JobRequest request() {
            return open.request;
        }

        @Override
        public long timeLeftMicros() {
            return open.request.deadlineMicros() - clock.micros();
        }

        @Override
        public boolean mayBegin() {
            long now = clock.micros();
            // What the actor knows may wait for its turn at the server: an end since counts from the moment it is
            // known.
            boolean awaited = !ended && !open.answered && !open.client.isGone();
            return awaited && now < beginBy && now < open.request.deadlineMicros();
        }

        @Override
        public void checkClient(Runnable then) {
            open.client.checkConnection(then);
        }

        @Override
        public void requestWritten() {
            mailbox.post(() -> {
                tally.countAttempt();
                publish();
            });
        }

        @Override
        public void noteReceived(Note note, double share) {
            mailbox.post(() -> {
                if (!ended) {
                    guarded(open, () -> module.note(now(), open.request.id(), number, note, share));
                }
            });
        }

        @Override
        public void ended(Status status, Load load, byte[] result) {
            mailbox.post(() -> conclude(this, status, load, result));
        }
    }

    // What the actor is told.

    void start() {
        mailbox.post(() -> {
            guarded(null, () -> module.start(now()));
        });
    }

    /**
     * Discovery has told no list for long enough, or has nothing against the list known from before: that has to do. How
     * long is enough, {@link barrowshore.servers.ServiceDiscovery} decides.
     */
    void discoverySilent(ServerList.Update known) {
        mailbox.post(() -> {
            if (!told) {
                list(known, ListKind.INITIAL);
                told = !listed.isEmpty();
                tellIfReady();
            }
        });
    }

    void update(ServerList.Update update) {
        mailbox.post(() -> {
            list(update, update.full() ? ListKind.WHOLE : ListKind.CHANGES);
            told = true;
            tellIfReady();
            publish();
        });
    }

    /** Other settings from now on, with the names of their classes by number. */
    void settings(Settings next, List<String> classes) {
        mailbox.post(() -> {
            mostAttempts = next.maxAttempts;
            tally.setClasses(classes);
            guarded(null, () -> module.changeSettings(now(), next));
            publish();
        });
    }

    /** The operators' rules on halls have changed. */
    void rules(HallRules rules) {
        mailbox.post(() -> guarded(null, () -> module.changeHallRules(now(), rules)));
    }

    /** Which part of what is due to this scheduler is this process's. */
    void share(double part) {
        mailbox.post(() -> guarded(null, () -> module.setDispatcherShare(part)));
    }

    /** Shows the module to one who only looks. */
    void look(Consumer<DispatchApi> looker) {
        mailbox.post(() -> looker.accept(module));
    }

    /** Another scheduler has told us something. */
    void peer(int from, byte[] message) {
        mailbox.post(() -> guarded(null, () -> module.peerMessage(now(), from, message)));
    }

    /** The figures as of the last change; may be asked from anywhere. */
    SchedulerMetrics figures() {
        return figures;
    }

    /** A changed file was taken over, or turned down. */
    void loaded(boolean taken) {
        mailbox.post(() -> {
            tally.countReload(taken);
            publish();
        });
    }

    @Override
    public void countTurnedAway(int jobClass) {
        mailbox.post(() -> {
            tally.countOutcome(jobClass, SchedulerCounters.Outcome.DROPPED);
            publish();
        });
    }

    /** From now on figures are published after each change; until then nobody reads them. */
    void startPublishing() {
        mailbox.post(() -> {
            publishing = true;
            republish();
        });
    }

    private void publish() {
        if (publishing) {
            figures = tally.snapshot(told, openRequests, listed.size(), skipped);
        }
    }

    /** What ages without an event, as which servers are avoided, is looked at now and then. */
    private void republish() {
        guarded(null, () -> skipped = draining.size() + module.countAvoided(now()));
        publish();
        timers.schedule(() -> mailbox.post(this::republish), PUBLISH_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Answers whether the list has come and the tables are built. */
    @Override
    public void askReady(Consumer<Boolean> asker) {
        mailbox.post(() -> asker.accept(told));
    }

    /** Runs the message once requests can be served. */
    void whenReady(Runnable message) {
        mailbox.post(() -> {
            whenReady.add(message);
            tellIfReady();
        });
    }

    private void tellIfReady() {
        if (told) {
            whenReady.forEach(Runnable::run);
            whenReady.clear();
        }
        publish();
    }

    /** Answers every open request that is not answered by so many milliseconds from now: the process ends after that. */
    void endsIn(long millis) {
        timers.schedule(
                () -> mailbox.post(() -> List.copyOf(requests.values()).forEach(this::lastWord)),
                millis,
                TimeUnit.MILLISECONDS);
    }

    /**
     * The process ends before the request's time is up: it is answered first, since the module, told that its attempts are
     * over, would send it again. What cannot have run, or may run again, others can do.
     */
    private void lastWord(OpenRequest open) {
        if (!open.answered) {
            boolean harmless = open.request.repeatWindowMicros() == JobRequest.NO_REPEAT_LIMIT
                    || open.attempts.stream().allMatch(a -> a.neverRan);
            answer(open, harmless ? new JobRequest.Rejection(LAST_DELAY) : new JobRequest.Failed(false));
            guarded(open, () -> module.clientGone(now(), open.request.id()));
            List.copyOf(open.attempts).forEach(a -> giveUp(a, Status.TIMEOUT));
            forget(open);
        }
    }

    /** Runs the message once no request is open. */
    void whenIdle(Runnable message) {
        mailbox.post(() -> {
            whenIdle.add(message);
            tellIfIdle();
        });
    }

    @Override
    public void submit(JobRequest request, JobRequest.Client client) {
        mailbox.post(() -> {
            if (requests.containsKey(request.id()) || served.contains(request.id())) {
                client.answer(new JobRequest.IdInUse("the id is in use"));
                return;
            }
            OpenRequest open = new OpenRequest(request, client);
            requests.put(request.id(), open);
            openRequests++;
            publish();
            long now = now();
            open.timer = timers.schedule(
                    () -> mailbox.post(() -> expire(open)), request.deadlineMicros() - now, TimeUnit.MICROSECONDS);
            guarded(
                    open,
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
            OpenRequest open = requests.get(request.id());
            if (open != null && open.request == request) {
                leave(open);
            }
        });
    }

    /** The client waits no more: nothing that has not begun is to begin. */
    private void leave(OpenRequest open) {
        if (!open.answered) {
            close(open);
            guarded(open, () -> module.clientGone(now(), open.request.id()));
            forget(open);
        }
    }

    private long now() {
        lastNow = Math.max(lastNow, clock.micros());
        return lastNow;
    }

    private void list(ServerList.Update update, ListKind kind) {
        List<Member> members = new ArrayList<>();
        Set<String> named = new HashSet<>();
        for (ServerList.Entry e : update.entries()) {
            named.add(e.uid());
            servers.computeIfAbsent(e.uid(), newServer).update(e);
            members.add(e.toMember());
        }
        if (kind != ListKind.CHANGES) {
            listed.stream().filter(uid -> !named.contains(uid)).forEach(uid -> servers.get(uid)
                    .unlisted());
            listed.retainAll(named);
        }
        update.entries().forEach(e -> {
            if (e.state() == ServerList.State.GONE) {
                listed.remove(e.uid());
            } else {
                listed.add(e.uid());
            }
            if (e.state() == ServerList.State.TERMINATING) {
                draining.add(e.uid());
            } else {
                draining.remove(e.uid());
            }
        });
        draining.retainAll(listed);
        guarded(null, () -> module.list(now(), kind, members));
    }

    /** The time of a request is up: its attempts time out, and if the module has no answer it gets ours. */
    private void expire(OpenRequest open) {
        if (open.answered) {
            return;
        }
        for (Attempt a : List.copyOf(open.attempts)) {
            giveUp(a, Status.TIMEOUT);
        }
        if (!open.answered) {
            // Guards against a module that fell silent: the client still waits, and a rule is at stake.
            answer(open, new JobRequest.Failed(true));
            guarded(open, () -> module.clientGone(now(), open.request.id()));
            forget(open);
        }
    }

    /** Stops waiting for an attempt; one that was never sent has no server to tell. */
    private void giveUp(Attempt a, Status status) {
        if (!a.ended) {
            if (a.server != null) {
                a.server.abandon(a);
            }
            conclude(a, status, null, null);
        }
    }

    private void conclude(Attempt a, Status status, Load load, byte[] result) {
        if (a.ended) {
            return;
        }
        a.ended = true;
        a.neverRan = status.neverRan();
        if (a.timer != null) {
            a.timer.cancel();
        }
        OpenRequest open = a.open;
        if (open.client.isGone()) {
            leave(open); // before the module hears of the end, and repeats what nobody waits for
        }
        open.out--;
        if (status == Status.OK && !open.answered) {
            answer(open, new JobRequest.Served(result));
            served.add(open.request.id());
            if (served.size() > MOST_SERVED) {
                served.remove(served.iterator().next());
            }
        }
        long now = now();
        boolean closed = open.answered;
        guarded(open, () -> module.outcome(now, open.request.id(), a.number, closed, status, now - a.sentAt, load));
        forget(open);
    }

    /** Runs a call of the module; an exception in it costs at most the request that it was about. */
    private void guarded(OpenRequest open, Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, "the module failed", e);
            if (open != null && !open.answered && open.out == 0) {
                answer(open, new JobRequest.Failed(false));
                forget(open);
            }
        }
    }

    private void close(OpenRequest open) {
        open.answered = true;
        // Whether or not the settings let attempts be called off: one that has not begun is not to begin any more.
        open.attempts.stream().filter(a -> !a.ended && a.server != null).forEach(a -> a.server.cancelIfUnsent(a));
        openRequests--;
        open.timer.cancel();
        publish();
    }

    private void answer(OpenRequest open, JobRequest.Answer answer) {
        if (!open.answered) {
            tally.countOutcome(
                    open.request.jobClass(),
                    answer instanceof JobRequest.Served
                            ? SchedulerCounters.Outcome.PASSED
                            : answer instanceof JobRequest.Rejection
                                    ? SchedulerCounters.Outcome.DROPPED
                                    : SchedulerCounters.Outcome.BAD_GATEWAY);
            close(open);
            open.client.answer(answer);
        }
    }

    private void forget(OpenRequest open) {
        if (open.answered && open.out == 0) {
            requests.remove(open.request.id(), open);
            tellIfIdle();
        }
    }

    private void tellIfIdle() {
        if (!whenIdle.isEmpty() && requests.values().stream().allMatch(open -> open.answered)) {
            whenIdle.forEach(Runnable::run);
            whenIdle.clear();
        }
    }

    // What the module orders.

    @Override
    public void send(String id, String worker, long timeout) {
        OpenRequest open = requests.get(id);
        Server server = servers.get(worker);
        if (open == null) {
            LOG.log(Level.ERROR, "the module sent request {0}, which is not open", id);
            return;
        }
        Attempt a = new Attempt(open, open.attempts.size(), server, now());
        open.attempts.add(a);
        open.out++;
        if (server == null || open.answered || open.attempts.size() > mostAttempts) {
            a.ended(Status.NOT_SENT, null, null);
            return;
        }
        if (timeout > 0) {
            a.timer = timers.schedule(
                    () -> mailbox.post(() -> giveUp(a, Status.TIMEOUT)), timeout, TimeUnit.MICROSECONDS);
        }
        server.send(a);
    }

    @Override
    public void refuse(String id, long retryAfter) {
        decided(id, new JobRequest.Rejection(retryAfter));
    }

    @Override
    public void fail(String id) {
        decided(id, new JobRequest.Failed(false));
    }

    private void decided(String id, JobRequest.Answer answer) {
        OpenRequest open = requests.get(id);
        if (open != null) {
            answer(open, answer);
            forget(open);
        }
    }

    @Override
    public void cancel(String id, int attempt) {
        OpenRequest open = requests.get(id);
        if (open != null && attempt >= 0 && attempt < open.attempts.size()) {
            // After the call that orders it: the module is not told of an end while it is at work on another.
            mailbox.post(() -> giveUp(open.attempts.get(attempt), Status.CANCELLED));
        }
    }

    @Override
    public void probe(String worker) {
        Server server = servers.get(worker);
        if (server != null) {
            long sentAt = now();
            server.probe(
                    PROBE_MILLIS,
                    (status, load) -> mailbox.post(() -> {
                        long now = now();
                        guarded(null, () -> module.probed(now, worker, status, now - sentAt, load));
                    }));
        }
    }

    @Override
    public void sendToPeers(byte[] message) {
        tell.accept(message);
    }

    @Override
    public void setTimer(long delay, String token) {
        timers.schedule(
                () -> mailbox.post(() -> guarded(null, () -> module.timerFired(now(), token))),
                Math.max(1, delay),
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
