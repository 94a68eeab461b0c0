package barrowshore.capacity.simulated;

import barrowshore.capacity.simulated.ProcessorMeter.Part;
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
 * A scheduler that is real in its control side and hollow in its work: the decision module, the datagrams of its peers on
 * a UDP socket, the watch of discovery over TCP and the reload of its configuration are those of a real process, while
 * a request is a call and an attempt is handed to the worker's model without a connection. An actor; it owns its sockets
 * and threads, which are all in one thread group, so that their processor time can be told from the other schedulers'. It
 * must never share what it has learned with another one.
 */
final class SimulatedScheduler implements DispatchApi.Actions, AutoCloseable {
    private static final System.Logger LOG = System.getLogger("barrowshore.capacity.hollow.HollowScheduler");
    /** Threads and outgoing connections: as a scheduler on one core has, and the watch's alone. */
    private static final int THREADS = 4, CONNECTIONS = 4;

    private static final int LAST_MESSAGE_SECONDS = 2;

    /**
     * What it has counted so far. fresh: listed workers of whom a start is told; wholeLists, listChanges: lists by how they
     * came; heard: datagrams by their sender; entered: those that the module took.
     */
    record Count(
            int listed,
            int fresh,
            long wholeLists,
            long listChanges,
            long reloads,
            List<Long> heard,
            List<Long> entered,
            long requests,
            long served,
            long refused,
            long failed) {}

    private final Clock clock = Clock.system();
    private final Map<String, StandInWorker> workers;
    private final ThreadGroup group;
    private final ProcessorMeter meter;
    private final ExecutorService pool;
    private final Scheduler timers;
    private final ConnectionManager dialer;
    private final Mailbox mailbox;
    private final Dispatcher module;
    private final PeerMessenger peers;
    private final ServiceDiscovery discovery;
    private final CompletableFuture<Void> ready = new CompletableFuture<>();
    private final Map<String, OpenRequest> requests = new HashMap<>();
    private final AtomicLongArray heard, entered;
    private final AtomicLong wholeLists = new AtomicLong(), listChanges = new AtomicLong(), reloads = new AtomicLong();
    private final AtomicLong opened = new AtomicLong(), served = new AtomicLong();
    private final AtomicLong refused = new AtomicLong(), failed = new AtomicLong();
    private final Map<String, DispatchApi.Member> listed = new HashMap<>();
    private volatile int listedNow, freshNow;
    private volatile boolean closed;
    private Config config;
    private long lastNow;

    /** A request and when its attempts were sent; kept until it is answered and no attempt is out. */
    private static final class OpenRequest {
        final String id;
        final double work;
        final List<Attempt> attempts = new ArrayList<>(1);
        Scheduler.Task deadline;
        int out;
        boolean answered;

        OpenRequest(String id, double work) {
            this.id = id;
            this.work = work;
        }
    }

    /** Starts one in a thread group of its own. workers: the models behind the list's names. */
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
        meter = new ProcessorMeter(group);
        pool = Executors.newFixedThreadPool(THREADS, run -> {
            Thread thread = new Thread(group, run, config.name());
            thread.setDaemon(true);
            return thread;
        });
        timers = new ScheduledExecutorScheduler(config.name() + " timers", true, null, group, 1);
        timers.start();
        mailbox = new Mailbox(config.name(), pool);
        int schedulers = config.peers().peers().size();
        heard = new AtomicLongArray(schedulers);
        entered = new AtomicLongArray(schedulers);
        dialer = new ConnectionManager(
                pool, timers, CONNECTIONS, 0, config.settings().connectTimeoutMicros / 1000, endPoint -> null);
        module = new Dispatcher(config.settings(), this);
        discovery = new ServiceDiscovery(
                config.discovery(),
                config.names(),
                pool,
                dialer,
                timers,
                update -> mailbox.post(() -> list(update)),
                () -> {},
                config.knownServers(),
                config.grace());
        peers = new PeerMessenger(
                config.peers(), false, pool, clock, (from, message) -> mailbox.post(() -> peer(from, message)));
        dialer.start();
        call(Part.REFRESH, () -> module.start(now()));
        discovery.open();
    }

    ProcessorMeter meter() {
        return meter;
    }

    /** Done once it has a list. */
    CompletableFuture<Void> ready() {
        return ready;
    }

    Count count() {
        return new Count(
                listedNow,
                freshNow,
                wholeLists.get(),
                listChanges.get(),
                reloads.get(),
                values(heard),
                values(entered),
                opened.get(),
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

    // What it is told.

    private void call(Part part, Runnable run) {
        mailbox.post(() -> {
            if (!closed) {
                meter.run(part, run);
            }
        });
    }

    private long now() {
        lastNow = Math.max(lastNow, clock.micros());
        return lastNow;
    }

    private void list(Update update) {
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
        listedNow = listed.size();
        freshNow = (int) listed.values().stream().filter(m -> m.startedAt() > 0).count();
        (update.full() ? wholeLists : listChanges).incrementAndGet();
        meter.run(Part.LIST, () -> module.list(now(), update.full() ? ListKind.WHOLE : ListKind.CHANGES, members));
        ready.complete(null);
    }

    private void peer(int from, byte[] message) {
        heard.incrementAndGet(from);
        long before = module.workCounters().datagrams();
        meter.run(Part.PEERS, () -> module.peerMessage(now(), from, message));
        entered.addAndGet(from, module.workCounters().datagrams() - before);
    }

    /** Takes over what a changed configuration may change in a running scheduler. */
    void reload(Config read) {
        mailbox.post(() -> {
            config = read.asReloadOf(config);
            meter.run(Part.CONFIGURATION, () -> module.changeSettings(now(), config.settings()));
            discovery.setGrace(config.grace());
            discovery.setAddress(config.discovery());
            reloads.incrementAndGet();
        });
    }

    /** A client's request; work: microseconds that it takes on a free slot. */
    void request(String id, int jobClass, int tenant, double work) {
        call(Part.REQUESTS, () -> {
            OpenRequest open = new OpenRequest(id, work);
            requests.put(id, open);
            opened.incrementAndGet();
            open.deadline = timers.schedule(
                    () -> call(Part.REQUESTS, () -> expire(open)), TargetSite.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            module.request(now(), new Request(id, jobClass, tenant, 1, 0, TargetSite.TIMEOUT_MILLIS * 1000L));
        });
    }

    private void expire(OpenRequest open) {
        List.copyOf(open.attempts).forEach(attempt -> conclude(attempt, Status.TIMEOUT));
        if (!open.answered) {
            answer(open, failed);
            module.clientGone(now(), open.id);
            forget(open);
        }
    }

    /** One attempt, as a job on the model of a worker: what becomes of it comes back through the mailbox. */
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
            return open.work;
        }

        @Override
        public void started() {
            noted(Note.STARTED, 0);
        }

        @Override
        public void progress(double share) {
            noted(Note.PROGRESS, share);
        }

        private void noted(Note note, double share) {
            call(Part.REQUESTS, () -> {
                if (!ended) {
                    module.note(now(), open.id, number, note, share);
                }
            });
        }

        @Override
        public void done() {
            ends(Status.OK);
        }

        @Override
        public void failed() {
            ends(Status.ERROR);
        }

        @Override
        public void returned() {
            ends(Status.FULL);
        }

        @Override
        public void lost() {
            ends(Status.RESET);
        }

        void ends(Status status) {
            call(Part.REQUESTS, () -> conclude(this, status));
        }
    }

    private void conclude(Attempt attempt, Status status) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        OpenRequest open = attempt.open;
        open.out--;
        if (status == Status.OK) {
            answer(open, served);
        }
        long now = now();
        module.outcome(now, open.id, attempt.number, open.answered, status, now - attempt.sentAt, null);
        forget(open);
    }

    private void answer(OpenRequest open, AtomicLong counted) {
        if (!open.answered) {
            open.answered = true;
            open.deadline.cancel();
            counted.incrementAndGet();
        }
    }

    private void forget(OpenRequest open) {
        if (open.answered && open.out == 0) {
            requests.remove(open.id, open);
        }
    }

    // What the module orders.

    @Override
    public void send(String id, String worker, long timeout) {
        OpenRequest open = requests.get(id);
        Attempt attempt = new Attempt(open, open.attempts.size(), now());
        open.attempts.add(attempt);
        open.out++;
        StandInWorker node = workers.get(worker);
        if (node == null) {
            attempt.ends(Status.NOT_SENT);
        } else {
            node.offer(attempt);
        }
        if (timeout > 0) {
            timers.schedule(() -> attempt.ends(Status.TIMEOUT), timeout, TimeUnit.MICROSECONDS);
        }
    }

    @Override
    public void refuse(String id, long retryAfter) {
        decided(id, refused);
    }

    @Override
    public void fail(String id) {
        decided(id, failed);
    }

    private void decided(String id, AtomicLong counted) {
        OpenRequest open = requests.get(id);
        if (open != null) {
            answer(open, counted);
            forget(open);
        }
    }

    @Override
    public void cancel(String id, int attempt) {
        OpenRequest open = requests.get(id);
        if (open != null) {
            open.attempts.get(attempt).ends(Status.CANCELLED);
        }
    }

    @Override
    public void probe(String worker) {
        StandInWorker node = workers.get(worker);
        if (node != null) {
            long sentAt = clock.micros();
            node.load()
                    .thenAccept(load -> call(Part.PROBES, () -> {
                        long now = now();
                        module.probed(now, worker, Status.OK, now - sentAt, load);
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
                () -> call(Part.REFRESH, () -> module.timerFired(now(), token)),
                Math.max(1, delay),
                TimeUnit.MICROSECONDS);
    }

    @Override
    public void watchList() {
        // The service discovery's watch is open from the start and stays so.
    }

    @Override
    public void log(String line) {
        LOG.log(Level.DEBUG, line);
    }

    /** Stops at once; its threads end, and its port is free for one under the same name. */
    @Override
    public void close() throws IOException {
        closed = true;
        peers.stop();
        LifeCycle.stop(dialer);
        pool.shutdownNow();
        try {
            // A message that is still under way may want a timer.
            pool.awaitTermination(LAST_MESSAGE_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        LifeCycle.stop(timers);
    }
}
