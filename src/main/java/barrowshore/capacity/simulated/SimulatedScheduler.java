package barrowshore.capacity.simulated;

import barrowshore.capacity.simulated.CpuMeter.Category;
import barrowshore.config.Config;
import barrowshore.list.ServerList.Update;
import barrowshore.model.WorkerModel;
import barrowshore.module.DispatchApi;
import barrowshore.module.DispatchApi.ListKind;
import barrowshore.module.DispatchApi.Note;
import barrowshore.module.DispatchApi.Request;
import barrowshore.module.DispatchApi.Status;
import barrowshore.module.Dispatcher;
import barrowshore.net.Clock;
import barrowshore.net.ConnectionManager;
import barrowshore.net.Mailbox;
import barrowshore.peer.PeerMessenger;
import barrowshore.servers.ServiceDiscovery;
import barrowshore.standin.StandInWorker;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Scheduler with a real control side and simulated requests: the decision module, the peer datagrams over UDP, the
 * service discovery watch over TCP and the configuration reload are those of a real process, while a request is a method
 * call and an attempt goes to the worker's model without a connection.
 *
 * It is an actor. It owns its sockets and threads; the threads share one thread group, so that their CPU time can be
 * told from that of the other schedulers. It shares no learned state with other schedulers.
 */
final class SimulatedScheduler implements DispatchApi.Actions, AutoCloseable {
    private static final System.Logger LOG = System.getLogger("barrowshore.capacity.hollow.HollowScheduler");
    /** Threads as in a scheduler on one core; the only outgoing connections are the service discovery watch's. */
    private static final int THREAD_COUNT = 4, MAX_CONNECTIONS = 4;

    private static final int SHUTDOWN_TIMEOUT_SECONDS = 2;

    /**
     * Counters since the scheduler's start. restarted: listed workers with a known start time; fullLists, incrementalLists:
     * list updates by kind; datagramsReceived, datagramsAccepted: peer datagrams by sender, accepted by the decision module.
     */
    record Counters(
            int listed,
            int restarted,
            long fullLists,
            long incrementalLists,
            long reloads,
            List<Long> datagramsReceived,
            List<Long> datagramsAccepted,
            long requests,
            long served,
            long refused,
            long failed) {}

    private final Clock clock = Clock.system();
    private final Map<String, StandInWorker> workers;
    private final ThreadGroup group;
    private final CpuMeter meter;
    private final ExecutorService pool;
    private final Scheduler timers;
    private final ConnectionManager connectionManager;
    private final Mailbox mailbox;
    private final Dispatcher dispatcher;
    private final PeerMessenger peers;
    private final ServiceDiscovery discovery;
    private final CompletableFuture<Void> ready = new CompletableFuture<>();
    private final Map<String, OpenRequest> requests = new HashMap<>();
    private final AtomicLongArray datagramsReceived, datagramsAccepted;
    private final AtomicLong fullLists = new AtomicLong(),
            incrementalLists = new AtomicLong(),
            reloads = new AtomicLong();
    private final AtomicLong requestCount = new AtomicLong(), served = new AtomicLong();
    private final AtomicLong refused = new AtomicLong(), failed = new AtomicLong();
    private final Map<String, DispatchApi.Member> listed = new HashMap<>();
    private volatile int listedCount, restartedCount;
    private volatile boolean closed;
    private Config config;
    private long lastNowMicros;

    /** An open request and its attempts; kept until it is answered and no attempt is pending. */
    private static final class OpenRequest {
        final String id;
        final double workMicros;
        final List<Attempt> attempts = new ArrayList<>(1);
        Scheduler.Task deadline;
        int pendingAttempts;
        boolean answered;

        OpenRequest(String id, double work) {
            this.id = id;
            this.workMicros = work;
        }
    }

    /** Starts a scheduler in its own thread group. workers: the worker models by the names in the list. */
    static SimulatedScheduler start(Config config, Map<String, StandInWorker> workers) throws Exception {
        ThreadGroup group = new ThreadGroup("hollow " + config.name());
        FutureTask<SimulatedScheduler> made = new FutureTask<>(() -> new SimulatedScheduler(config, workers, group));
        new Thread(group, made, "start").start();
        return made.get();
    }

    private SimulatedScheduler(Config config, Map<String, StandInWorker> workers, ThreadGroup group) throws Exception {
        this.config = config;
        this.workers = workers;
        this.group = group;
        meter = new CpuMeter(group);
        pool = Executors.newFixedThreadPool(THREAD_COUNT, run -> {
            Thread thread = new Thread(group, run, config.name());
            thread.setDaemon(true);
            return thread;
        });
        timers = new ScheduledExecutorScheduler(config.name() + " timers", true, null, group, 1);
        timers.start();
        mailbox = new Mailbox(config.name(), pool);
        int schedulers = config.peers().peers().size();
        datagramsReceived = new AtomicLongArray(schedulers);
        datagramsAccepted = new AtomicLongArray(schedulers);
        connectionManager = new ConnectionManager(
                pool, timers, MAX_CONNECTIONS, 0, config.settings().connectTimeoutMicros / 1000, endPoint -> null);
        dispatcher = new Dispatcher(config.settings(), this);
        discovery = new ServiceDiscovery(
                config.discovery(),
                config.names(),
                pool,
                connectionManager,
                timers,
                update -> mailbox.post(() -> receiveList(update)),
                config.knownServers(),
                config.grace());
        peers = new PeerMessenger(
                config.peers(),
                false,
                pool,
                clock,
                (from, message) -> mailbox.post(() -> receivePeerMessage(from, message)));
        connectionManager.start();
        post(Category.REFRESH, () -> dispatcher.start(now()));
        discovery.open(false);
    }

    CpuMeter meter() {
        return meter;
    }

    /** Completes when the first list has been received. */
    CompletableFuture<Void> ready() {
        return ready;
    }

    Counters counters() {
        return new Counters(
                listedCount,
                restartedCount,
                fullLists.get(),
                incrementalLists.get(),
                reloads.get(),
                values(datagramsReceived),
                values(datagramsAccepted),
                requestCount.get(),
                served.get(),
                refused.get(),
                failed.get());
    }

    private static List<Long> values(AtomicLongArray array) {
        List<Long> values = new ArrayList<>();
        for (int k = 0; k < array.length(); k++) {
            values.add(array.get(k));
        }
        return values;
    }

    // Inputs.

    private void post(Category category, Runnable run) {
        mailbox.post(() -> {
            if (!closed) {
                meter.run(category, run);
            }
        });
    }

    private long now() {
        lastNowMicros = Math.max(lastNowMicros, clock.micros());
        return lastNowMicros;
    }

    private void receiveList(Update update) {
        List<DispatchApi.Member> members = new ArrayList<>();
        update.entries().forEach(entry -> members.add(entry.toMember()));
        if (update.full()) {
            listed.clear();
        }
        for (DispatchApi.Member member : members) {
            if (member.health() == DispatchApi.Health.GONE) {
                listed.remove(member.worker());
            } else {
                listed.put(member.worker(), member);
            }
        }
        listedCount = listed.size();
        restartedCount =
                (int) listed.values().stream().filter(m -> m.startedAt() > 0).count();
        (update.full() ? fullLists : incrementalLists).incrementAndGet();
        meter.run(
                Category.LIST,
                () -> dispatcher.list(now(), update.full() ? ListKind.WHOLE : ListKind.CHANGES, members));
        ready.complete(null);
    }

    private void receivePeerMessage(int from, byte[] message) {
        datagramsReceived.incrementAndGet(from);
        long before = dispatcher.workCounters().datagrams();
        meter.run(Category.PEERS, () -> dispatcher.peerMessage(now(), from, message));
        datagramsAccepted.addAndGet(from, dispatcher.workCounters().datagrams() - before);
    }

    /** Applies the settings that can change in a running scheduler. */
    void reload(Config read) {
        mailbox.post(() -> {
            config = read.asReloadOf(config);
            meter.run(Category.CONFIGURATION, () -> dispatcher.changeSettings(now(), config.settings()));
            discovery.setGrace(config.grace());
            discovery.setAddress(config.discovery());
            reloads.incrementAndGet();
        });
    }

    /** Submits a client's request. workMicros: time that it takes on a free slot. */
    void request(String id, int jobClass, int tenant, double workMicros) {
        post(Category.REQUESTS, () -> {
            OpenRequest open = new OpenRequest(id, workMicros);
            requests.put(id, open);
            requestCount.incrementAndGet();
            open.deadline = timers.schedule(
                    () -> post(Category.REQUESTS, () -> expire(open)),
                    TargetSite.TIMEOUT_MILLIS,
                    TimeUnit.MILLISECONDS);
            dispatcher.request(now(), new Request(id, jobClass, tenant, 1, 0, TargetSite.TIMEOUT_MILLIS * 1000L));
        });
    }

    private void expire(OpenRequest open) {
        List.copyOf(open.attempts).forEach(attempt -> endAttempt(attempt, Status.TIMEOUT));
        if (!open.answered) {
            answer(open, failed);
            dispatcher.clientGone(now(), open.id);
            removeIfDone(open);
        }
    }

    /** One attempt as a job on a worker's model; its events come back through the mailbox. */
    private final class Attempt implements WorkerModel.Job {
        final OpenRequest open;
        final int number;
        final long sentAt;
        boolean ended;

        Attempt(OpenRequest open, int number, long sentAt) {
            this.open = open;
            this.number = number;
            this.sentAt = sentAt;
        }

        @Override
        public double slots() {
            return 1;
        }

        @Override
        public double work() {
            return open.workMicros;
        }

        @Override
        public void started() {
            postNote(Note.STARTED, 0);
        }

        @Override
        public void progress(double share) {
            postNote(Note.PROGRESS, share);
        }

        private void postNote(Note note, double share) {
            post(Category.REQUESTS, () -> {
                if (!ended) {
                    dispatcher.note(now(), open.id, number, note, share);
                }
            });
        }

        @Override
        public void done() {
            postOutcome(Status.OK);
        }

        @Override
        public void failed() {
            postOutcome(Status.ERROR);
        }

        @Override
        public void returned() {
            postOutcome(Status.FULL);
        }

        @Override
        public void lost() {
            postOutcome(Status.RESET);
        }

        void postOutcome(Status status) {
            post(Category.REQUESTS, () -> endAttempt(this, status));
        }
    }

    private void endAttempt(Attempt attempt, Status status) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        OpenRequest open = attempt.open;
        open.pendingAttempts--;
        if (status == Status.OK) {
            answer(open, served);
        }
        long now = now();
        dispatcher.outcome(now, open.id, attempt.number, open.answered, status, now - attempt.sentAt, null);
        removeIfDone(open);
    }

    private void answer(OpenRequest open, AtomicLong counter) {
        if (!open.answered) {
            open.answered = true;
            open.deadline.cancel();
            counter.incrementAndGet();
        }
    }

    private void removeIfDone(OpenRequest open) {
        if (open.answered && open.pendingAttempts == 0) {
            requests.remove(open.id, open);
        }
    }

    // Actions of the decision module.

    @Override
    public void send(String id, String worker, long timeout) {
        OpenRequest open = requests.get(id);
        Attempt attempt = new Attempt(open, open.attempts.size(), now());
        open.attempts.add(attempt);
        open.pendingAttempts++;
        StandInWorker node = workers.get(worker);
        if (node == null) {
            attempt.postOutcome(Status.NOT_SENT);
        } else {
            node.offer(attempt);
        }
        if (timeout > 0) {
            timers.schedule(() -> attempt.postOutcome(Status.TIMEOUT), timeout, TimeUnit.MICROSECONDS);
        }
    }

    @Override
    public void refuse(String id, long retryAfter) {
        answerWithoutResult(id, refused);
    }

    @Override
    public void fail(String id) {
        answerWithoutResult(id, failed);
    }

    private void answerWithoutResult(String id, AtomicLong counter) {
        OpenRequest open = requests.get(id);
        if (open != null) {
            answer(open, counter);
            removeIfDone(open);
        }
    }

    @Override
    public void cancel(String id, int attempt) {
        OpenRequest open = requests.get(id);
        if (open != null) {
            open.attempts.get(attempt).postOutcome(Status.CANCELLED);
        }
    }

    @Override
    public void probe(String worker) {
        StandInWorker node = workers.get(worker);
        if (node != null) {
            long sentAt = clock.micros();
            node.load()
                    .thenAccept(load -> post(Category.PROBES, () -> {
                        long now = now();
                        dispatcher.probed(now, worker, Status.OK, now - sentAt, load);
                    }));
        }
    }

    @Override
    public void sendToPeers(byte[] message) {
        peers.broadcast(message);
    }

    @Override
    public void setTimer(long delay, String token) {
        timers.schedule(
                () -> post(Category.REFRESH, () -> dispatcher.timerFired(now(), token)),
                Math.max(1, delay),
                TimeUnit.MICROSECONDS);
    }

    @Override
    public void watchList() {
        // The service discovery watch is open from the start until the scheduler is closed.
    }

    @Override
    public void log(String line) {
        LOG.log(Level.DEBUG, line);
    }

    /** Stops without a drain and ends all threads. Afterwards the port is free for a scheduler of the same name. */
    @Override
    public void close() throws IOException {
        closed = true;
        peers.stop();
        LifeCycle.stop(connectionManager);
        pool.shutdownNow();
        try {
            // A message still being processed may set a timer, so the timers stop after the pool.
            pool.awaitTermination(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        LifeCycle.stop(timers);
    }
}
