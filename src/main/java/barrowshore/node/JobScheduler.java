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
    private static final int POOL_THREADS = 4;
    /** Descriptors kept for the JVM, the listening socket, discovery and the selector. */
    private static final int RESERVED_DESCRIPTORS = 64;
    /** Share of the other descriptors that goes to servers. */
    private static final double SERVER_DESCRIPTOR_SHARE = 0.4;
    /** Milliseconds after SIGTERM until the last new connections have come. */
    private static final long SETTLE_MILLIS = 500;
    /**
     * After SIGTERM the process is let be for the longest deadline, or this where that is longer, and a little more;
     * at the end of that time, room to answer what cannot be done any more, and before it, room for a usual job.
     */
    private static final long MAX_JOB_GRACE_MILLIS = 3000;

    private static final long EXTRA_GRACE_MILLIS = 700;
    private static final long FINAL_ANSWER_MILLIS = 150;
    private static final long USUAL_JOB_MILLIS = 800;
    /** Milliseconds after SIGTERM before which the process does not end. */
    private static final long MIN_SHUTDOWN_MILLIS = 700;

    /** How often is looked whether the configuration has changed, where no signal can tell. */
    private static final long CONFIG_POLL_MILLIS = 250;

    private final ExecutorService pool = Executors.newFixedThreadPool(POOL_THREADS);
    private final Scheduler timers;
    private final ModuleActor module;
    private final ClientConnections clients;
    private final ServiceDiscovery discovery;
    /** Where discovery and a watched file come together; null: there is discovery alone. */
    private final ServerListActor serverList;

    private final PeerMessenger peers;
    private final ConnectionManager connectionManager;
    /** Where clients are heard; a process that follows another opens it only when it can serve. */
    private volatile ServerSocketChannel clientListener;

    private final CompletableFuture<Void> listening = new CompletableFuture<>();
    /** The other process of an upgrade; null: there can be none. */
    private final UpgradeCoordinator upgrade;
    /** Whether a process after us serves. */
    private volatile boolean successorServing;
    /** Descriptors that go to servers, and to clients, while there is one process; and a part of them, if two. */
    private final int serverDescriptors;

    private final int clientDescriptors;
    private boolean limitsShared;
    /** The operators' door; null: none. */
    private final OpsServer opsServer;
    /** Where we stand towards clients: set by orders from outside, read by the connections. */
    private final AtomicReference<ServiceState> serviceState = new AtomicReference<>(ServiceState.SERVING);
    /** What is read again runs here, one file after the other. */
    private final Mailbox configMailbox = new Mailbox("the configuration", pool);
    /** As last taken over. */
    private volatile Config config;
    /** The operators' servers' file; null: none. */
    private final OperatorSettings.ServersFileSettings serversFile;
    /** The rules on halls last taken over. */
    private HallRules hallRules;

    /** Starts a scheduler; the timers are started by the caller and stopped with the node. */
    JobScheduler(
            SchedulerConfig schedulerConfig,
            Clock clock,
            Scheduler timers,
            Path upgradeSocket,
            Function<DispatchApi.Actions, DispatchApi> newModule)
            throws Exception {
        Config config = schedulerConfig.config();
        this.config = config;
        this.hallRules = schedulerConfig.hallRules();
        this.serversFile = schedulerConfig.operatorSettings().servers();
        this.timers = timers;
        int usableDescriptors =
                config.sockets() - RESERVED_DESCRIPTORS - (config.ops() == null ? 0 : OpsServer.MAX_DESCRIPTORS);
        serverDescriptors = (int) (usableDescriptors * SERVER_DESCRIPTOR_SHARE);
        clientDescriptors = usableDescriptors - serverDescriptors;
        connectionManager = new ConnectionManager(
                pool,
                timers,
                serverDescriptors,
                clientDescriptors,
                config.settings().connectTimeoutMicros / 1000,
                this::acceptClient);
        module = new ModuleActor(
                clock,
                pool,
                timers,
                config.classes(),
                config.settings().maxAttempts,
                uid -> new Server(uid, pool, this.connectionManager, timers, config.keepAlive(), serverDescriptors / 2),
                this::broadcastToPeers,
                newModule);
        clients = new ClientConnections(
                config, clock, pool, timers, module, serviceState::get, maxClientConnections(clientDescriptors));
        serverList = schedulerConfig.operatorSettings().servers() == null
                ? null
                : new ServerListActor(
                        schedulerConfig.operatorSettings().servers(),
                        config.names(),
                        clock,
                        pool,
                        timers,
                        module::updateServers);
        discovery = new ServiceDiscovery(
                config.discovery(),
                config.names(),
                pool,
                connectionManager,
                timers,
                serverList == null ? module::updateServers : serverList::applyDiscovery,
                () -> module.useKnownServers(config.knownServers()),
                config.knownServers(),
                config.grace());
        peers = config.peers() == null
                ? null
                : new PeerMessenger(config.peers(), config.ops() != null, pool, clock, module::receivePeerMessage);
        connectionManager.start();
        module.start();
        discovery.open();
        upgrade = upgradeSocket == null ? null : new UpgradeCoordinator(upgradeSocket, pool, new UpgradeHost());
        if (upgrade != null && upgrade.hasPredecessor()) {
            shareLimits(true);
            if (peers != null) {
                peers.setQuiet(true);
            }
            module.runWhenReady(this::listenBesidePredecessor);
        } else {
            listenToClients();
        }
        if (upgrade != null) {
            upgrade.start();
        }
        if (config.ops() == null) {
            opsServer = null;
        } else {
            module.startPublishing();
            opsServer = new OpsServer(openListener(config.ops(), "ops", false), timers, new OpsControl());
        }
        logStart(schedulerConfig);
    }

    private void logStart(SchedulerConfig schedulerConfig) {
        LOG.log(
                Level.INFO,
                config.summary()
                        + (hallRules == null && serversFile == null
                                ? ""
                                : "; " + schedulerConfig.operatorSettings().summary()));
        // Once ready, since a start is short of processor time.
        module.runWhenReady(() -> {
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

    private Connection acceptClient(EndPoint endPoint) {
        return clients.accept(endPoint);
    }

    private void broadcastToPeers(byte[] message) {
        if (peers != null) {
            peers.broadcast(message);
        }
    }

    private void listenToClients() throws IOException {
        clientListener = openListener(config.listen(), "listen", upgrade != null);
        connectionManager.listen(clientListener);
        listening.complete(null);
    }

    /** From now on new clients come to us as well as to the process before us, until that one ends. */
    private void listenBesidePredecessor() {
        try {
            listenToClients();
            if (peers != null) {
                peers.setQuiet(false);
            }
            upgrade.announceServing();
        } catch (IOException | RuntimeException e) {
            listening.completeExceptionally(e);
        }
    }

    private static int maxClientConnections(int descriptors) {
        return (int) (descriptors * 0.9);
    }

    /** What the scheduler has is for one process, or for two. */
    private void shareLimits(boolean twoProcesses) {
        if (twoProcesses != limitsShared) {
            limitsShared = twoProcesses;
            int sign = twoProcesses ? -1 : 1,
                    serverCut = serverDescriptors - serverDescriptors * 2 / 5,
                    clientCut = clientDescriptors - clientDescriptors * 2 / 5;
            connectionManager.addPermits(sign * serverCut, sign * clientCut);
            clients.setMaxConnections(
                    maxClientConnections(twoProcesses ? clientDescriptors - clientCut : clientDescriptors));
            module.setDispatcherShare(twoProcesses ? 0.5 : 1);
        }
    }

    /** What the other process of an upgrade moves here. */
    private final class UpgradeHost implements UpgradeCoordinator.Host {
        @Override
        public ServiceState serviceState() {
            return serviceState.get();
        }

        @Override
        public void applyDrain(boolean drain) {
            JobScheduler.this.applyDrain(drain);
        }

        @Override
        public void shareLimits(boolean twoProcesses) {
            JobScheduler.this.shareLimits(twoProcesses);
        }

        @Override
        public void setSuccessorServing(boolean serving) {
            successorServing = serving;
        }
    }

    /** The operators' order, by whatever way it came; false: we are ending. */
    private boolean applyDrain(boolean drain) {
        ServiceState state = serviceState.updateAndGet(drain ? ServiceState::drain : ServiceState::activate);
        if (!state.isEnding()) {
            LOG.log(Level.INFO, drain ? "operators send clients away" : "operators want clients back");
            if (drain) {
                timers.schedule(() -> closeIdleRepeatedly(state, true), SETTLE_MILLIS, TimeUnit.MILLISECONDS);
            }
        }
        return !state.isEnding();
    }

    private boolean orderDrain(boolean drain) {
        boolean applied = applyDrain(drain);
        if (applied && upgrade != null) {
            upgrade.announceDrain(drain);
        }
        return applied;
    }

    /** What operators may ask of it; all of it published values, so that no call waits for an actor. */
    private final class OpsControl implements OpsServer.SchedulerControl {
        @Override
        public boolean isReady() {
            return module.metrics().ready()
                    && listening.isDone()
                    && !serviceState.get().isEnding();
        }

        @Override
        public SchedulerMetrics metrics() {
            return module.metrics();
        }

        @Override
        public boolean drain() {
            return orderDrain(true);
        }

        @Override
        public boolean activate() {
            return orderDrain(false);
        }
    }

    /** Again and again while clients are to leave: an answer may have been on its way as they were sent. */
    private void closeIdleRepeatedly(ServiceState expectedState, boolean includeUnanswered) {
        if (serviceState.get().changeCount() == expectedState.changeCount()) {
            clients.closeIdle(includeUnanswered);
            timers.schedule(() -> closeIdleRepeatedly(expectedState, false), SETTLE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private static ServerSocketChannel openListener(InetSocketAddress address, String field, boolean sharedPort)
            throws IOException {
        ServerSocketChannel listener = ServerSocketChannel.open();
        try {
            listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            listener.setOption(StandardSocketOptions.SO_REUSEPORT, sharedPort);
            return listener.bind(address, 512);
        } catch (IOException | RuntimeException e) {
            listener.close();
            throw new ConfigException(field + ": cannot listen on " + address + ": " + e.getMessage());
        }
    }

    /** Serves until SIGTERM; then goes on until all is answered and the clients' connections are gone. */
    public static void serve(ConfigFiles files) throws Exception {
        CompletableFuture<JobScheduler> started = new CompletableFuture<>();
        // Guards against the JVM's own way with SIGHUP, which is to end: in place before there is anything to end.
        boolean hangUpHandled = handleHangUp(() -> started.thenAccept(scheduler -> scheduler.reload(files::read)));
        SchedulerConfig schedulerConfig = files.read();
        Config config = schedulerConfig.config();
        Scheduler timers = new ScheduledExecutorScheduler("timers", true, 1);
        timers.start();
        String tempFolder = System.getenv("TMPDIR");
        // In place before clients can come: a start that is told to end has taken what came while it was not yet done.
        Runtime.getRuntime().addShutdownHook(new Thread(shutdownTask(started, Runtime.getRuntime()::halt), "drain"));
        JobScheduler scheduler;
        try {
            scheduler = new JobScheduler(
                    schedulerConfig,
                    Clock.system(),
                    timers,
                    config.ops() == null || tempFolder == null || tempFolder.isEmpty()
                            ? null
                            : Path.of(tempFolder, "barrowshore-" + config.name() + ".sock"),
                    actions -> new Dispatcher(config.settings(), actions));
        } catch (Exception | Error e) {
            started.completeExceptionally(e);
            throw e;
        }
        started.complete(scheduler);
        if (!hangUpHandled) {
            LOG.log(
                    Level.WARNING,
                    "SIGHUP is ignored, as under nohup: the configuration is looked at now and then instead");
            scheduler.pollConfig(files);
        }
        try {
            scheduler.listening.get();
        } catch (ExecutionException e) {
            throw e.getCause() instanceof Exception cause ? cause : e;
        }
        new CountDownLatch(1).await();
    }

    /** Ends a scheduler in good order, once it has started; one that never does leaves the end to whoever began it. */
    static Runnable shutdownTask(CompletableFuture<JobScheduler> started, IntConsumer halt) {
        return () -> {
            try {
                JobScheduler scheduler = started.get();
                scheduler.drain().await();
                halt.accept(
                        scheduler.listening.isCompletedExceptionally() ? 2 : 0); // no orderly end, if it never opened
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (ExecutionException e) {
                LOG.log(Level.DEBUG, "ended before it had started", e);
            }
        };
    }

    /** Starts a scheduler inside another program, which stops it. */
    public static JobScheduler start(SchedulerConfig schedulerConfig) throws Exception {
        Scheduler timers = new ScheduledExecutorScheduler("timers", true, 1);
        timers.start();
        return new JobScheduler(
                schedulerConfig,
                Clock.system(),
                timers,
                null,
                actions -> new Dispatcher(schedulerConfig.config().settings(), actions));
    }

    /** Where each hall stands with it, by number; empty where halls are off. */
    public CompletableFuture<List<HallState>> hallStates() {
        CompletableFuture<List<HallState>> states = new CompletableFuture<>();
        module.inspect(dispatcher -> states.complete(dispatcher.hallStates()));
        return states;
    }

    /** Slots that its jobs hold in a hall other than its own. */
    public CompletableFuture<Double> spilledSlots(int hall) {
        CompletableFuture<Double> slots = new CompletableFuture<>();
        module.inspect(dispatcher -> slots.complete(dispatcher.spilledSlots(hall)));
        return slots;
    }

    /** Asks itself for a job of the first class over a socket, as a client would, and ends. */
    public static void rehearse(SchedulerConfig schedulerConfig) throws Exception {
        Config config = schedulerConfig.config();
        Scheduler timers = new ScheduledExecutorScheduler("timers", true, 1);
        timers.start();
        handleHangUp(() -> {});
        JobScheduler scheduler = new JobScheduler(
                schedulerConfig, Clock.system(), timers, null, actions -> new Dispatcher(config.settings(), actions));
        try (Socket client =
                new Socket(config.listen().getAddress(), scheduler.address().getPort())) {
            String name = config.classes().get(0);
            client.getOutputStream()
                    .write(("POST /" + name + " HTTP/1.1\r\nHost: x\r\nX-Request-ID: 1\r\n"
                                    + "X-Priority-Class: " + name + "\r\nX-Timeout-Ms: 400\r\nContent-Length: 1\r\n"
                                    + "Connection: close\r\n\r\nx")
                            .getBytes(StandardCharsets.ISO_8859_1));
            client.getInputStream().readAllBytes();
            for (String call : scheduler.opsServer == null
                    ? new String[0]
                    : new String[] {"POST /v1/scheduler/drain", "POST /v1/scheduler/activate", "GET /v1/metrics"}) {
                try (Socket operator = new Socket(
                        config.ops().getAddress(), scheduler.opsAddress().getPort())) {
                    operator.getOutputStream()
                            .write((call + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                    operator.getInputStream().readAllBytes();
                }
            }
        } finally {
            scheduler.stop();
        }
    }

    /**
     * The JDK has no other way to take a signal; a shutdown hook hears of SIGHUP too, but cannot stop the end. By
     * reflection, since every direct use of this class is a warning that nothing silences. False: the signal was ignored
     * when the process started, and the JVM leaves it so.
     */
    static boolean handleHangUp(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal"), handler = Class.forName("sun.misc.SignalHandler");
            Object proxy =
                    Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, (self, method, args) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                            return null;
                        }
                        return method.invoke(action, args); // what every object can be asked
                    });
            Object previous = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
            return previous != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            LOG.log(Level.WARNING, "SIGHUP cannot be handled and will end the process", e);
            return false;
        }
    }

    /** Stands in for a signal that cannot be heard: a file that has changed is read as if it had come. */
    void reloadIfChanged(ConfigFiles files) {
        configMailbox.post(() -> {
            if (files.isConfigChanged()) {
                module.countReload(applyConfig(files::read));
            }
        });
    }

    private void pollConfig(ConfigFiles files) {
        timers.schedule(
                () -> {
                    reloadIfChanged(files);
                    pollConfig(files);
                },
                CONFIG_POLL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Reads the configuration again and takes over what may change while requests are open; a bad one changes nothing. */
    void reload(Supplier<SchedulerConfig> source) {
        configMailbox.post(() -> module.countReload(applyConfig(source)));
    }

    private boolean applyConfig(Supplier<SchedulerConfig> source) {
        try {
            SchedulerConfig schedulerConfig = source.get();
            Config newConfig = schedulerConfig.config().asReloadOf(config);
            LOG.log(Level.INFO, "configuration read again: discovery {0}", newConfig.discovery());
            List<String> needingRestart = config.fieldsNeedingRestart(schedulerConfig.config());
            if (!needingRestart.isEmpty()) {
                LOG.log(
                        Level.WARNING,
                        "changed, but taken over only at a start: {0}",
                        String.join(", ", needingRestart));
            }
            if (!Objects.equals(serversFile, schedulerConfig.operatorSettings().servers())) {
                LOG.log(Level.WARNING, "operators' settings: servers changed, but is taken over only at a start");
            }
            module.changeSettings(newConfig.settings(), newConfig.classes());
            clients.updateSettings(newConfig);
            config = newConfig;
            discovery.setGrace(newConfig.grace());
            discovery.setAddress(newConfig.discovery());
            if (!Objects.equals(hallRules, schedulerConfig.hallRules())) {
                hallRules = schedulerConfig.hallRules();
                module.changeHallRules(hallRules);
                LOG.log(
                        Level.INFO,
                        "operators' settings read again: {0}",
                        schedulerConfig.operatorSettings().summary());
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
        AtomicInteger pendingParts = new AtomicInteger(3);
        Runnable partDone = () -> {
            if (pendingParts.decrementAndGet() == 0) {
                closeClientListener(ended);
            }
        };
        serviceState.updateAndGet(ServiceState::end);
        long deadlineMillis = Arrays.stream(config.settings().classes)
                .mapToLong(c -> c.deadlineMicros() / 1000)
                .max()
                .orElse(0);
        long graceMillis = Math.min(MAX_JOB_GRACE_MILLIS, deadlineMillis) + EXTRA_GRACE_MILLIS;
        clients.scheduleEnd(graceMillis - FINAL_ANSWER_MILLIS);
        module.scheduleFinalAnswers(graceMillis - FINAL_ANSWER_MILLIS);
        // Guards clients against a gap: schedulers restarted one after the other were once all closed to new
        // connections for 2 s. So the first one's clients go to the others in time, and the last one's stay.
        Consumer<Boolean> releaseClients = othersServe -> timers.schedule(
                () -> {
                    closeIdleRepeatedly(serviceState.updateAndGet(ServiceState::closeConnections), true);
                    clients.whenEmpty(partDone);
                    module.runWhenIdle(partDone);
                },
                othersServe ? SETTLE_MILLIS : Math.max(SETTLE_MILLIS, graceMillis - USUAL_JOB_MILLIS),
                TimeUnit.MILLISECONDS);
        if (successorServing) {
            // The process after us has our clients and speaks to our peers; what we have taken is ours to answer.
            connectionManager.stopListening(clientListener, () -> {});
            if (peers != null) {
                peers.stopReceiving();
            }
            serviceState.updateAndGet(ServiceState::closeConnections);
            releaseClients.accept(true);
        } else if (peers == null) {
            releaseClients.accept(false);
        } else {
            peers.announceEnd(releaseClients);
        }
        timers.schedule(partDone, MIN_SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS);
        return ended;
    }

    /**
     * Nothing is open any more, but as long as we listen somebody may have come since: the queue of those that wait to be
     * taken in is emptied before the socket is closed, and they get their answers too.
     */
    private void closeClientListener(CountDownLatch ended) {
        ServerSocketChannel listener = clientListener;
        if (listener == null || !listener.isOpen()) {
            ended.countDown();
        } else {
            connectionManager.stopListening(
                    listener, () -> connectionManager.whenClientsGone(() -> module.runWhenIdle(ended::countDown)));
        }
    }

    /** Where it listens. */
    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) clientListener.getLocalAddress();
    }

    /** Where it listens to operators. */
    InetSocketAddress opsAddress() throws IOException {
        return opsServer.address();
    }

    /** Whether a process after this one serves. */
    boolean isSuccessorServing() {
        return successorServing;
    }

    /** Whether new clients may come to this process. */
    boolean isListening() {
        return clientListener != null && clientListener.isOpen();
    }

    /** Stops at once; what is open is lost. */
    public void stop() throws IOException {
        if (clientListener != null) {
            clientListener.close();
        }
        if (upgrade != null) {
            upgrade.stop();
        }
        if (opsServer != null) {
            opsServer.stop();
        }
        if (serverList != null) {
            serverList.stop();
        }
        if (peers != null) {
            peers.stop();
        }
        LifeCycle.stop(connectionManager);
        LifeCycle.stop(timers);
        pool.shutdownNow();
    }
}
