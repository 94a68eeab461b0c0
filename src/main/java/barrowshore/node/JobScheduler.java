package barrowshore.node;

import barrowshore.client.ClientConnections;
import barrowshore.config.Config;
import barrowshore.config.ConfigException;
import barrowshore.halls.HallRules;
import barrowshore.halls.HallState;
import barrowshore.module.DispatchApi;
import barrowshore.module.Dispatcher;
import barrowshore.net.Clock;
import barrowshore.net.ConnectionManager;
import barrowshore.net.Mailbox;
import barrowshore.operator.ConfigFiles;
import barrowshore.operator.OperatorSettings;
import barrowshore.operator.SchedulerConfig;
import barrowshore.ops.OpsServer;
import barrowshore.peer.PeerMessenger;
import barrowshore.servers.Server;
import barrowshore.servers.ServiceDiscovery;
import barrowshore.status.SchedulerMetrics;
import barrowshore.status.ServiceState;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.IntConsumer;
import java.util.function.Supplier;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * One scheduler, put together. It owns the pool, the timers' thread, the dialer and the listening socket, and the order
 * in which they start and end. It must never take part in a request's life.
 */
public final class JobScheduler {
    private static final System.Logger LOG = System.getLogger("barrowshore.node.Node");
    /** One core: the selector's thread and a few to run messages while one of them is on the module. */
    private static final int THREADS = 4;
    /** Descriptors kept for the JVM, the listening socket, discovery and the selector. */
    private static final int RESERVED = 64;
    /** Share of the other descriptors that goes to servers. */
    private static final double OUTGOING = 0.4;
    /** Milliseconds after SIGTERM until the last new connections have come. */
    private static final long SETTLE = 500;
    /**
     * After SIGTERM the process is let be for the longest deadline, or this where that is longer, and a little more;
     * at the end of that time, room to answer what cannot be done any more, and before it, room for a usual job.
     */
    private static final long LONGEST_GRACE = 3000;

    private static final long MORE_GRACE = 700;
    private static final long LAST_WORD = 150;
    private static final long USUAL_JOB = 800;
    /** Milliseconds after SIGTERM before which the process does not end. */
    private static final long STAY = 700;

    /** How often is looked whether the configuration has changed, where no signal can tell. */
    private static final long LOOK_MILLIS = 250;

    private final ExecutorService pool = Executors.newFixedThreadPool(THREADS);
    private final Scheduler timers;
    private final ModuleActor module;
    private final ClientConnections clients;
    private final ServiceDiscovery entry;
    /** Where discovery and a watched file come together; null: there is discovery alone. */
    private final ListKeeper keeper;

    private final PeerMessenger peers;
    private final ConnectionManager dialer;
    /** Where clients are heard; a process that follows another opens it only when it can serve. */
    private volatile ServerSocketChannel server;

    private final CompletableFuture<Void> open = new CompletableFuture<>();
    /** The other process of an upgrade; null: there can be none. */
    private final Succession succession;
    /** Whether a process after us serves. */
    private volatile boolean followed;
    /** Descriptors that go to servers, and to clients, while there is one process; and a part of them, if two. */
    private final int outgoing;

    private final int incoming;
    private boolean halved;
    /** The operators' door; null: none. */
    private final OpsServer ops;
    /** Where we stand towards clients: set by orders from outside, read by the connections. */
    private final AtomicReference<ServiceState> standing = new AtomicReference<>(ServiceState.SERVING);
    /** What is read again runs here, one file after the other. */
    private final Mailbox configuration = new Mailbox("the configuration", pool);
    /** As last taken over. */
    private volatile Config config;
    /** The operators' servers' file; null: none. */
    private final OperatorSettings.ServersFileSettings servers;
    /** The rules on halls last taken over. */
    private HallRules rules;

    /** Starts a scheduler; the timers are started by the caller and stopped with the node. */
    JobScheduler(
            SchedulerConfig setup,
            Clock clock,
            Scheduler timers,
            Path twin,
            Function<DispatchApi.Actions, DispatchApi> newModule)
            throws Exception {
        Config config = setup.config();
        this.config = config;
        this.rules = setup.hallRules();
        this.servers = setup.operatorSettings().servers();
        this.timers = timers;
        int usable = config.sockets() - RESERVED - (config.ops() == null ? 0 : OpsServer.MAX_DESCRIPTORS);
        outgoing = (int) (usable * OUTGOING);
        incoming = usable - outgoing;
        dialer = new ConnectionManager(
                pool, timers, outgoing, incoming, config.settings().connectTimeoutMicros / 1000, this::accepted);
        module = new ModuleActor(
                clock,
                pool,
                timers,
                config.classes(),
                config.settings().maxAttempts,
                uid -> new Server(uid, pool, this.dialer, timers, config.keepAlive(), outgoing / 2),
                this::tell,
                newModule);
        clients = new ClientConnections(config, clock, pool, timers, module, standing::get, mostClients(incoming));
        keeper = setup.operatorSettings().servers() == null
                ? null
                : new ListKeeper(
                        setup.operatorSettings().servers(), config.names(), clock, pool, timers, module::update);
        entry = new ServiceDiscovery(
                config.discovery(),
                config.names(),
                pool,
                dialer,
                timers,
                keeper == null ? module::update : keeper::discovered,
                () -> module.discoverySilent(config.knownServers()),
                config.knownServers(),
                config.grace());
        peers = config.peers() == null
                ? null
                : new PeerMessenger(config.peers(), config.ops() != null, pool, clock, module::peer);
        dialer.start();
        module.start();
        entry.open();
        succession = twin == null ? null : new Succession(twin, pool, new Host());
        if (succession != null && succession.follows()) {
            shared(true);
            if (peers != null) {
                peers.setQuiet(true);
            }
            module.whenReady(this::openToClients);
        } else {
            listenToClients();
        }
        if (succession != null) {
            succession.start();
        }
        if (config.ops() == null) {
            ops = null;
        } else {
            module.startPublishing();
            ops = new OpsServer(listen(config.ops(), "ops", false), timers, new Door());
        }
        logStart(setup);
    }

    private void logStart(SchedulerConfig setup) {
        LOG.log(
                Level.INFO,
                config.summary()
                        + (rules == null && servers == null
                                ? ""
                                : "; " + setup.operatorSettings().summary()));
        // Once ready, since a start is short of processor time.
        module.whenReady(() -> {
            List<String> unknown = config.unknownSettings();
            if (!unknown.isEmpty()) {
                LOG.log(Level.WARNING, "settings not known here, and not heeded: {0}", String.join(", ", unknown));
            }
        });
        if (!config.knownServers().unknownServers().isEmpty()) {
            LOG.log(
                    Level.WARNING,
                    "known servers of an unknown model, left out: {0}",
                    String.join(", ", config.knownServers().unknownServers()));
        }
    }

    private Connection accepted(EndPoint endPoint) {
        return clients.accept(endPoint);
    }

    private void tell(byte[] message) {
        if (peers != null) {
            peers.broadcast(message);
        }
    }

    private void listenToClients() throws IOException {
        server = listen(config.listen(), "listen", succession != null);
        dialer.listen(server);
        open.complete(null);
    }

    /** From now on new clients come to us as well as to the process before us, until that one ends. */
    private void openToClients() {
        try {
            listenToClients();
            if (peers != null) {
                peers.setQuiet(false);
            }
            succession.serving();
        } catch (IOException | RuntimeException e) {
            open.completeExceptionally(e);
        }
    }

    private static int mostClients(int descriptors) {
        return (int) (descriptors * 0.9);
    }

    /** What the scheduler has is for one process, or for two. */
    private void shared(boolean two) {
        if (two != halved) {
            halved = two;
            int sign = two ? -1 : 1, lessOut = outgoing - outgoing * 2 / 5, lessIn = incoming - incoming * 2 / 5;
            dialer.addPermits(sign * lessOut, sign * lessIn);
            clients.setMaxConnections(mostClients(two ? incoming - lessIn : incoming));
            module.share(two ? 0.5 : 1);
        }
    }

    /** What the other process of an upgrade moves here. */
    private final class Host implements Succession.Host {
        @Override
        public ServiceState standing() {
            return standing.get();
        }

        @Override
        public void follow(boolean away) {
            JobScheduler.this.away(away);
        }

        @Override
        public void shared(boolean two) {
            JobScheduler.this.shared(two);
        }

        @Override
        public void followed(boolean serving) {
            followed = serving;
        }
    }

    /** The operators' order, by whatever way it came; false: we are ending. */
    private boolean away(boolean away) {
        ServiceState now = standing.updateAndGet(away ? ServiceState::drain : ServiceState::activate);
        if (!now.isEnding()) {
            LOG.log(Level.INFO, away ? "operators send clients away" : "operators want clients back");
            if (away) {
                timers.schedule(() -> closeIdle(now, true), SETTLE, TimeUnit.MILLISECONDS);
            }
        }
        return !now.isEnding();
    }

    private boolean ordered(boolean away) {
        boolean done = away(away);
        if (done && succession != null) {
            succession.ordered(away);
        }
        return done;
    }

    /** What operators may ask of it; all of it published values, so that no call waits for an actor. */
    private final class Door implements OpsServer.SchedulerControl {
        @Override
        public boolean isReady() {
            return module.figures().ready() && open.isDone() && !standing.get().isEnding();
        }

        @Override
        public SchedulerMetrics metrics() {
            return module.figures();
        }

        @Override
        public boolean drain() {
            return ordered(true);
        }

        @Override
        public boolean activate() {
            return ordered(false);
        }
    }

    /** Again and again while clients are to leave: an answer may have been on its way as they were sent. */
    private void closeIdle(ServiceState since, boolean first) {
        if (standing.get().changeCount() == since.changeCount()) {
            clients.closeIdle(first);
            timers.schedule(() -> closeIdle(since, false), SETTLE, TimeUnit.MILLISECONDS);
        }
    }

    private static ServerSocketChannel listen(InetSocketAddress address, String field, boolean shared)
            throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        try {
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            server.setOption(StandardSocketOptions.SO_REUSEPORT, shared);
            return server.bind(address, 512);
        } catch (IOException | RuntimeException e) {
            server.close();
            throw new ConfigException(field + ": cannot listen on " + address + ": " + e.getMessage());
        }
    }

    /** Serves until SIGTERM; then goes on until all is answered and the clients' connections are gone. */
    public static void serve(ConfigFiles files) throws Exception {
        CompletableFuture<JobScheduler> started = new CompletableFuture<>();
        // Guards against the JVM's own way with SIGHUP, which is to end: in place before there is anything to end.
        boolean signalled = onHangUp(() -> started.thenAccept(node -> node.reload(files::read)));
        SchedulerConfig setup = files.read();
        Config config = setup.config();
        Scheduler timers = new ScheduledExecutorScheduler("timers", true, 1);
        timers.start();
        String folder = System.getenv("TMPDIR");
        // In place before clients can come: a start that is told to end has taken what came while it was not yet done.
        Runtime.getRuntime().addShutdownHook(new Thread(end(started, Runtime.getRuntime()::halt), "drain"));
        JobScheduler node;
        try {
            node = new JobScheduler(
                    setup,
                    Clock.system(),
                    timers,
                    config.ops() == null || folder == null || folder.isEmpty()
                            ? null
                            : Path.of(folder, "barrowshore-" + config.name() + ".sock"),
                    actions -> new Dispatcher(config.settings(), actions));
        } catch (Exception | Error e) {
            started.completeExceptionally(e);
            throw e;
        }
        started.complete(node);
        if (!signalled) {
            LOG.log(
                    Level.WARNING,
                    "SIGHUP is ignored, as under nohup: the configuration is looked at now and then instead");
            node.keepLooking(files);
        }
        try {
            node.open.get();
        } catch (ExecutionException e) {
            throw e.getCause() instanceof Exception cause ? cause : e;
        }
        new CountDownLatch(1).await();
    }

    /** Ends a scheduler in good order, once it has started; one that never does leaves the end to whoever began it. */
    static Runnable end(CompletableFuture<JobScheduler> started, IntConsumer halt) {
        return () -> {
            try {
                JobScheduler node = started.get();
                node.drain().await();
                halt.accept(node.open.isCompletedExceptionally() ? 2 : 0); // no orderly end, if it never opened
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (ExecutionException e) {
                LOG.log(Level.DEBUG, "ended before it had started", e);
            }
        };
    }

    /** Starts a scheduler inside another program, which stops it. */
    public static JobScheduler start(SchedulerConfig setup) throws Exception {
        Scheduler timers = new ScheduledExecutorScheduler("timers", true, 1);
        timers.start();
        return new JobScheduler(
                setup,
                Clock.system(),
                timers,
                null,
                actions -> new Dispatcher(setup.config().settings(), actions));
    }

    /** Where each hall stands with it, by number; empty where halls are off. */
    public CompletableFuture<List<HallState>> hallStates() {
        CompletableFuture<List<HallState>> told = new CompletableFuture<>();
        module.look(looked -> told.complete(looked.hallStates()));
        return told;
    }

    /** Slots that its jobs hold in a hall other than its own. */
    public CompletableFuture<Double> spilledSlots(int hall) {
        CompletableFuture<Double> told = new CompletableFuture<>();
        module.look(looked -> told.complete(looked.spilledSlots(hall)));
        return told;
    }

    /** Asks itself for a job of the first class over a socket, as a client would, and ends. */
    public static void rehearse(SchedulerConfig setup) throws Exception {
        Config config = setup.config();
        Scheduler timers = new ScheduledExecutorScheduler("timers", true, 1);
        timers.start();
        onHangUp(() -> {});
        JobScheduler node = new JobScheduler(
                setup, Clock.system(), timers, null, actions -> new Dispatcher(config.settings(), actions));
        try (Socket client =
                new Socket(config.listen().getAddress(), node.address().getPort())) {
            String name = config.classes().get(0);
            client.getOutputStream()
                    .write(("POST /" + name + " HTTP/1.1\r\nHost: x\r\nX-Request-ID: 1\r\n"
                                    + "X-Priority-Class: " + name + "\r\nX-Timeout-Ms: 400\r\nContent-Length: 1\r\n"
                                    + "Connection: close\r\n\r\nx")
                            .getBytes(StandardCharsets.ISO_8859_1));
            client.getInputStream().readAllBytes();
            for (String call : node.ops == null
                    ? new String[0]
                    : new String[] {"POST /v1/scheduler/drain", "POST /v1/scheduler/activate", "GET /v1/metrics"}) {
                try (Socket operator =
                        new Socket(config.ops().getAddress(), node.operators().getPort())) {
                    operator.getOutputStream()
                            .write((call + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                    operator.getInputStream().readAllBytes();
                }
            }
        } finally {
            node.stop();
        }
    }

    /**
     * The JDK has no other way to take a signal; a shutdown hook hears of SIGHUP too, but cannot stop the end. By
     * reflection, since every direct use of this class is a warning that nothing silences. False: the signal was ignored
     * when the process started, and the JVM leaves it so.
     */
    static boolean onHangUp(Runnable run) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal"), handler = Class.forName("sun.misc.SignalHandler");
            Object proxy =
                    Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, (self, method, args) -> {
                        if (method.getName().equals("handle")) {
                            run.run();
                            return null;
                        }
                        return method.invoke(run, args); // what every object can be asked
                    });
            Object former = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
            return former != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            LOG.log(Level.WARNING, "SIGHUP cannot be handled and will end the process", e);
            return false;
        }
    }

    /** Stands in for a signal that cannot be heard: a file that has changed is read as if it had come. */
    void lookAgain(ConfigFiles files) {
        configuration.post(() -> {
            if (files.isConfigChanged()) {
                module.loaded(takeOver(files::read));
            }
        });
    }

    private void keepLooking(ConfigFiles files) {
        timers.schedule(
                () -> {
                    lookAgain(files);
                    keepLooking(files);
                },
                LOOK_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Reads the configuration again and takes over what may change while requests are open; a bad one changes nothing. */
    void reload(Supplier<SchedulerConfig> source) {
        configuration.post(() -> module.loaded(takeOver(source)));
    }

    private boolean takeOver(Supplier<SchedulerConfig> source) {
        try {
            SchedulerConfig setup = source.get();
            Config read = setup.config().asReloadOf(config);
            LOG.log(Level.INFO, "configuration read again: discovery {0}", read.discovery());
            List<String> later = config.fieldsNeedingRestart(setup.config());
            if (!later.isEmpty()) {
                LOG.log(Level.WARNING, "changed, but taken over only at a start: {0}", String.join(", ", later));
            }
            if (!Objects.equals(servers, setup.operatorSettings().servers())) {
                LOG.log(Level.WARNING, "operators' settings: servers changed, but is taken over only at a start");
            }
            module.settings(read.settings(), read.classes());
            clients.updateSettings(read);
            config = read;
            entry.setGrace(read.grace());
            entry.setAddress(read.discovery());
            if (!Objects.equals(rules, setup.hallRules())) {
                rules = setup.hallRules();
                module.rules(rules);
                LOG.log(
                        Level.INFO,
                        "operators' settings read again: {0}",
                        setup.operatorSettings().summary());
            }
            return true;
        } catch (ConfigException e) {
            LOG.log(Level.WARNING, "configuration not taken over: {0}", e.getMessage());
            return false;
        }
    }

    /** Begins the end: all is answered and the clients are gone once the latch is down. */
    CountDownLatch drain() {
        CountDownLatch ended = new CountDownLatch(1);
        AtomicInteger owed = new AtomicInteger(3);
        Runnable done = () -> {
            if (owed.decrementAndGet() == 0) {
                lastCall(ended);
            }
        };
        standing.updateAndGet(ServiceState::end);
        long deadline = Arrays.stream(config.settings().classes)
                .mapToLong(c -> c.deadlineMicros() / 1000)
                .max()
                .orElse(0);
        long grace = Math.min(LONGEST_GRACE, deadline) + MORE_GRACE;
        clients.scheduleEnd(grace - LAST_WORD);
        module.endsIn(grace - LAST_WORD);
        // Guards clients against a gap: schedulers restarted one after the other were once all closed to new
        // connections for 2 s. So the first one's clients go to the others in time, and the last one's stay.
        Consumer<Boolean> release = othersServe -> timers.schedule(
                () -> {
                    closeIdle(standing.updateAndGet(ServiceState::closeConnections), true);
                    clients.whenEmpty(done);
                    module.whenIdle(done);
                },
                othersServe ? SETTLE : Math.max(SETTLE, grace - USUAL_JOB),
                TimeUnit.MILLISECONDS);
        if (followed) {
            // The process after us has our clients and speaks to our peers; what we have taken is ours to answer.
            dialer.stopListening(server, () -> {});
            if (peers != null) {
                peers.stopReceiving();
            }
            standing.updateAndGet(ServiceState::closeConnections);
            release.accept(true);
        } else if (peers == null) {
            release.accept(false);
        } else {
            peers.announceEnd(release);
        }
        timers.schedule(done, STAY, TimeUnit.MILLISECONDS);
        return ended;
    }

    /**
     * Nothing is open any more, but as long as we listen somebody may have come since: the queue of those that wait to be
     * taken in is emptied before the socket is closed, and they get their answers too.
     */
    private void lastCall(CountDownLatch ended) {
        ServerSocketChannel listening = server;
        if (listening == null || !listening.isOpen()) {
            ended.countDown();
        } else {
            dialer.stopListening(listening, () -> dialer.whenClientsGone(() -> module.whenIdle(ended::countDown)));
        }
    }

    /** Where it listens. */
    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) server.getLocalAddress();
    }

    /** Where it listens to operators. */
    InetSocketAddress operators() throws IOException {
        return ops.address();
    }

    /** Whether a process after this one serves. */
    boolean isFollowed() {
        return followed;
    }

    /** Whether new clients may come to this process. */
    boolean listens() {
        return server != null && server.isOpen();
    }

    /** Stops at once; what is open is lost. */
    public void stop() throws IOException {
        if (server != null) {
            server.close();
        }
        if (succession != null) {
            succession.stop();
        }
        if (ops != null) {
            ops.stop();
        }
        if (keeper != null) {
            keeper.stop();
        }
        if (peers != null) {
            peers.stop();
        }
        LifeCycle.stop(dialer);
        LifeCycle.stop(timers);
        pool.shutdownNow();
    }
}
