package barrowshore.node;

import barrowshore.client.ClientConnections;
import barrowshore.config.Config;
import barrowshore.config.ConfigException;
import barrowshore.halls.HallRules;
import barrowshore.halls.HallState;
import barrowshore.list.ServerList;
import barrowshore.list.ServerListMessage;
import barrowshore.memory.MemoryBudget;
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
import barrowshore.upgrade.IdMessage;
import barrowshore.upgrade.OtherProcess;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
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
 * A running scheduler: assembles its parts and decides the order in which they start and stop. It owns the thread pool,
 * the connection manager and the listening sockets. It takes no part in the handling of requests.
 */
public final class JobScheduler {
    private static final System.Logger LOG = System.getLogger("barrowshore.node.Node");
    /** Sized for one core: the selector's thread, one that runs the module, and the rest for other actors' messages. */
    private static final int POOL_THREADS = 4;
    /** For the JVM, the listening socket, service discovery and the selector. */
    private static final int RESERVED_DESCRIPTORS = 64;
    /** Share of the remaining descriptors that connections to servers may use; clients get the rest. */
    private static final double SERVER_DESCRIPTOR_SHARE = 0.4;
    /** Share of the clients' descriptors up to which no idle connection is closed. */
    private static final double CLIENT_CONNECTION_SHARE = 0.9;

    /** The part of the heap for what requests hold, and for what answers hold until their clients have them. */
    private static final int REQUEST_MEMORY_DIVISOR = 6, ANSWER_MEMORY_DIVISOR = 8;
    /** The most of what is free that one request, or one answer, may hold. */
    private static final int REQUEST_THRESHOLD_DIVISOR = 16, ANSWER_THRESHOLD_DIVISOR = 4;

    private static final int LISTEN_BACKLOG = 512;
    /** After SIGTERM the process stays at least this long. */
    private static final long MIN_SHUTDOWN_MILLIS = 700;

    /** How often the configuration files are checked for changes where SIGHUP is ignored. */
    private static final long CONFIG_POLL_MILLIS = 250;

    private final ExecutorService pool = Executors.newFixedThreadPool(POOL_THREADS);
    private final Scheduler timers;
    private final ModuleActor module;
    private final ClientConnections clients;
    private final ServiceDiscovery discovery;
    /** Merges service discovery with the operators' servers file; null: there is no such file. */
    private final ServerListActor serverList;

    private final PeerMessenger peers;
    private final ConnectionManager connectionManager;
    /** Accepts clients; during an upgrade the new process opens it only once it can serve. */
    private volatile ServerSocketChannel clientListener;

    /** Completes once clients are accepted; exceptionally if the socket cannot be opened. */
    private final CompletableFuture<Void> listening = new CompletableFuture<>();
    /** Coordinates with the other process of an upgrade; null: this process cannot be upgraded while it runs. */
    private final UpgradeCoordinator upgrade;

    private volatile boolean successorServing;
    /** Null until SIGTERM. */
    private volatile ShutdownSequence shutdown;

    private final Clock clock;
    /** Descriptors for servers and for clients while this is the only process; see {@link #shareLimits}. */
    private final int serverDescriptors;

    private final int clientDescriptors;
    private volatile boolean limitsShared;
    private final long heapBytes = Runtime.getRuntime().maxMemory();
    private final MemoryBudget requestMemory =
            new MemoryBudget(heapBytes / REQUEST_MEMORY_DIVISOR, REQUEST_THRESHOLD_DIVISOR);
    private final MemoryBudget answerMemory =
            new MemoryBudget(heapBytes / ANSWER_MEMORY_DIVISOR, ANSWER_THRESHOLD_DIVISOR);
    /** Null: no operators' address is configured. */
    private final OpsServer opsServer;
    /** Set by orders from operators and by SIGTERM, read by the clients' connections. */
    private final AtomicReference<ServiceState> serviceState = new AtomicReference<>(ServiceState.SERVING);
    /** Runs reloads of the configuration one after the other. */
    private final Mailbox configMailbox = new Mailbox("the configuration", pool);
    /** As last applied. */
    private volatile Config config;
    /** The operators' servers file; null: none. */
    private final OperatorSettings.ServersFileSettings serversFile;
    /** As last applied; null: halls are off. */
    private HallRules hallRules;

    /**
     * Starts a scheduler. The caller has started the timers; {@link #stop} stops them. upgradeSocket: the Unix socket by
     * which the processes of an upgrade meet, or null.
     */
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
        this.serversFile = schedulerConfig.operatorSettings().serversFile();
        this.timers = timers;
        this.clock = clock;
        int usableDescriptors =
                config.maxDescriptors() - RESERVED_DESCRIPTORS - (config.ops() == null ? 0 : OpsServer.MAX_DESCRIPTORS);
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
                this::newServer,
                this::broadcastToPeers,
                newModule);
        clients = new ClientConnections(
                config,
                clock,
                pool,
                timers,
                module,
                serviceState::get,
                maxClientConnections(clientDescriptors),
                requestMemory);
        serverList = schedulerConfig.operatorSettings().serversFile() == null
                ? null
                : new ServerListActor(
                        schedulerConfig.operatorSettings().serversFile(),
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
                new DiscoveryListener(),
                config.knownServers(),
                config.grace());
        peers = config.peers() == null
                ? null
                : new PeerMessenger(config.peers(), config.ops() != null, pool, clock, module::receivePeerMessage);
        connectionManager.start();
        module.start();
        upgrade = upgradeSocket == null
                ? null
                : new UpgradeCoordinator(upgradeSocket, config.names(), pool, new UpgradeHost());
        if (upgrade != null) {
            discovery.useSavedList(upgrade.readSavedServerList());
        }
        discovery.open(upgrade != null && upgrade.hasPredecessor());
        beginToListen();
        if (config.ops() == null) {
            opsServer = null;
        } else {
            module.startPublishing();
            opsServer = new OpsServer(openListener(config.ops(), "ops", false), timers, new OpsControl());
        }
        logStart(schedulerConfig);
    }

    /** Accepts clients now; beside a predecessor, only once they can be served. */
    private void beginToListen() throws IOException {
        if (upgrade != null && upgrade.hasPredecessor()) {
            shareLimits(true);
            if (peers != null) {
                peers.setMuted(true);
            }
            module.runWhenReady(this::listenBesidePredecessor);
        } else {
            listenToClients();
        }
        if (upgrade != null) {
            upgrade.start();
        }
    }

    private Server newServer(String uid) {
        return new Server(
                uid, pool, connectionManager, timers, config.keepAliveMicros(), serverDescriptors / 2, answerMemory);
    }

    private void logStart(SchedulerConfig schedulerConfig) {
        LOG.log(
                Level.INFO,
                config.summary()
                        + (hallRules == null && serversFile == null
                                ? ""
                                : "; " + schedulerConfig.operatorSettings().summary()));
        // Delayed until ready, since processor time is short during a start.
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

    /** Accepts clients on the predecessor's port: until it ends, new clients reach either process. */
    private void listenBesidePredecessor() {
        try {
            listenToClients();
            if (peers != null) {
                peers.setMuted(false);
            }
            upgrade.announceServing();
        } catch (IOException | RuntimeException e) {
            listening.completeExceptionally(e);
        }
    }

    /** The most client connections for so many descriptors; above it idle ones are closed. */
    private static int maxClientConnections(int descriptors) {
        return (int) (descriptors * CLIENT_CONNECTION_SHARE);
    }

    /**
     * Sets whether two processes share the scheduler's limits; each then keeps two fifths of the descriptors and half of
     * the memory for requests and answers.
     */
    private void shareLimits(boolean twoProcesses) {
        if (twoProcesses != limitsShared) {
            limitsShared = twoProcesses;
            int sign = twoProcesses ? -1 : 1,
                    serverCut = serverDescriptors - serverDescriptors * 2 / 5,
                    clientCut = clientDescriptors - clientDescriptors * 2 / 5;
            int memoryShares = twoProcesses ? 2 : 1;
            requestMemory.setCapacity(heapBytes / REQUEST_MEMORY_DIVISOR / memoryShares);
            answerMemory.setCapacity(heapBytes / ANSWER_MEMORY_DIVISOR / memoryShares);
            connectionManager.addPermits(sign * serverCut, sign * clientCut);
            clients.setMaxConnections(
                    maxClientConnections(twoProcesses ? clientDescriptors - clientCut : clientDescriptors));
            module.setDispatcherShare(twoProcesses ? 0.5 : 1);
        }
    }

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
            if (serving) {
                module.admission().noteServing(OtherProcess.SUCCESSOR);
            }
        }

        @Override
        public void otherProcessConnected(OtherProcess other) {
            module.admission().connect(other, other == OtherProcess.PREDECESSOR, upgrade::sendIdMessage);
        }

        @Override
        public void otherProcessEnded(OtherProcess other) {
            if (other == OtherProcess.PREDECESSOR) {
                discovery.predecessorEnded();
            }
            module.admission().disconnect(other);
        }

        @Override
        public void idMessageReceived(OtherProcess from, IdMessage message) {
            module.admission().receive(from, message);
        }

        @Override
        public void serverListReceived(OtherProcess from, ServerListMessage message) {
            discovery.receiveFromOtherProcess(message, from == OtherProcess.PREDECESSOR);
        }

        @Override
        public void tellWholeServerList(Consumer<ServerListMessage> consumer) {
            discovery.tellWholeList(consumer);
        }
    }

    private final class DiscoveryListener implements ServiceDiscovery.Listener {
        @Override
        public void updated(ServerList.Update update) {
            if (serverList == null) {
                module.updateServers(update);
            } else {
                serverList.applyDiscovery(update);
            }
        }

        @Override
        public void startupWaitEnded(ServerList.Update knownList) {
            module.useKnownServers(knownList);
        }

        @Override
        public void toldByDiscovery(ServerListMessage message) {
            if (upgrade != null) {
                upgrade.publishServerList(message);
            }
        }
    }

    /** Drains or activates by the operators' order; false: not done, since the scheduler is ending. */
    private boolean applyDrain(boolean drain) {
        ServiceState state = serviceState.updateAndGet(drain ? ServiceState::drain : ServiceState::activate);
        if (!state.isEnding()) {
            LOG.log(
                    Level.INFO,
                    drain
                            ? "drained by the operators: clients are sent away"
                            : "activated by the operators: clients may stay");
            if (drain) {
                timers.schedule(
                        () -> closeIdleRepeatedly(state, true), ShutdownSequence.SETTLE_MILLIS, TimeUnit.MILLISECONDS);
            }
        }
        return !state.isEnding();
    }

    /** Like {@link #applyDrain}, and passes the order on to the other process of an upgrade. */
    private boolean orderDrain(boolean drain) {
        boolean applied = applyDrain(drain);
        if (applied && upgrade != null) {
            upgrade.announceDrain(drain);
        }
        return applied;
    }

    /** Answers operators' calls from published values, so that no call waits for an actor. */
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

    /**
     * Closes idle connections at intervals until the state changes: one with an answer on its way is not idle yet.
     * includeUnanswered: also those that have had no answer to a job yet.
     */
    private void closeIdleRepeatedly(ServiceState expectedState, boolean includeUnanswered) {
        if (serviceState.get().changeCount() == expectedState.changeCount()) {
            clients.closeIdle(includeUnanswered);
            timers.schedule(
                    () -> closeIdleRepeatedly(expectedState, false),
                    ShutdownSequence.SETTLE_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private static ServerSocketChannel openListener(InetSocketAddress address, String field, boolean sharedPort)
            throws IOException {
        ServerSocketChannel listener = ServerSocketChannel.open();
        try {
            listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            listener.setOption(StandardSocketOptions.SO_REUSEPORT, sharedPort);
            ConnectionManager.limitReceiveBuffer(listener);
            return listener.bind(address, LISTEN_BACKLOG);
        } catch (IOException | RuntimeException e) {
            listener.close();
            throw new ConfigException(field + ": cannot listen on " + address + ": " + e.getMessage());
        }
    }

    /** Serves until SIGTERM, and after it until all requests are answered and the clients' connections closed. */
    public static void serve(ConfigFiles files) throws Exception {
        CompletableFuture<JobScheduler> started = new CompletableFuture<>();
        // Installed first: by default SIGHUP ends the JVM.
        boolean hangUpHandled =
                HangUpSignal.handle(() -> started.thenAccept(scheduler -> scheduler.reload(files::read)));
        SchedulerConfig schedulerConfig = files.read();
        Config config = schedulerConfig.config();
        Scheduler timers = new ScheduledExecutorScheduler("timers", true, 1);
        timers.start();
        String tempFolder = System.getenv("TMPDIR");
        // Installed before clients are accepted: a SIGTERM during the start must still answer those that came.
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
                    "SIGHUP was ignored at the start (as under nohup): the configuration is polled for changes");
            scheduler.pollConfig(files);
        }
        try {
            scheduler.listening.get();
        } catch (ExecutionException e) {
            throw e.getCause() instanceof Exception cause ? cause : e;
        }
        new CountDownLatch(1).await();
    }

    /** Drains a scheduler once it has started, then halts; after a failed start it does nothing. */
    static Runnable shutdownTask(CompletableFuture<JobScheduler> started, IntConsumer halt) {
        return () -> {
            try {
                JobScheduler scheduler = started.get();
                scheduler.drain().await();
                halt.accept(scheduler.listening.isCompletedExceptionally() ? 2 : 0); // 2: it never accepted clients
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (ExecutionException e) {
                LOG.log(Level.DEBUG, "shut down before the scheduler had started: nothing to drain", e);
            }
        };
    }

    /** Starts a scheduler inside another program, which must call {@link #stop}. */
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

    /** The state of each hall, by its number; empty if halls are off. */
    public CompletableFuture<List<HallState>> hallStates() {
        CompletableFuture<List<HallState>> states = new CompletableFuture<>();
        module.inspect(dispatcher -> states.complete(dispatcher.hallStates()));
        return states;
    }

    /** Slots that this scheduler's jobs hold in the given hall, if it is not its own. */
    public CompletableFuture<Double> spilledSlots(int hall) {
        CompletableFuture<Double> slots = new CompletableFuture<>();
        module.inspect(dispatcher -> slots.complete(dispatcher.spilledSlots(hall)));
        return slots;
    }

    /** Reloads the configuration if its file has changed; stands in for SIGHUP. */
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

    /** Reads the configuration again and applies the fields that need no restart; an invalid one changes nothing. */
    void reload(Supplier<SchedulerConfig> source) {
        configMailbox.post(() -> module.countReload(applyConfig(source)));
    }

    private boolean applyConfig(Supplier<SchedulerConfig> source) {
        try {
            SchedulerConfig schedulerConfig = source.get();
            Config newConfig = schedulerConfig.config().asReloadOf(config);
            LOG.log(Level.INFO, "configuration reloaded: discovery at {0}", newConfig.discovery());
            List<String> needingRestart = config.fieldsNeedingRestart(schedulerConfig.config());
            if (!needingRestart.isEmpty()) {
                LOG.log(
                        Level.WARNING,
                        "configuration fields changed that take effect only at a restart: {0}",
                        String.join(", ", needingRestart));
            }
            if (!Objects.equals(serversFile, schedulerConfig.operatorSettings().serversFile())) {
                LOG.log(Level.WARNING, "operator settings: servers changed, which takes effect only at a restart");
            }
            config = newConfig; // first, so that servers that the module's actor adds from now on go by it
            connectionManager.setConnectTimeout(newConfig.settings().connectTimeoutMicros / 1000);
            module.changeSettings(newConfig.settings(), newConfig.classes(), newConfig.keepAliveMicros());
            clients.updateSettings(newConfig);
            limitShutdown();
            discovery.setGrace(newConfig.grace());
            discovery.setAddress(newConfig.discovery());
            if (!Objects.equals(hallRules, schedulerConfig.hallRules())) {
                hallRules = schedulerConfig.hallRules();
                module.changeHallRules(hallRules);
                LOG.log(
                        Level.INFO,
                        "operator settings reloaded: {0}",
                        schedulerConfig.operatorSettings().summary());
            }
            return true;
        } catch (ConfigException e) {
            LOG.log(Level.WARNING, "configuration not taken over: {0}", e.getMessage());
            return false;
        }
    }

    /** Begins the shutdown; the latch opens once all requests are answered and the clients' connections closed. */
    CountDownLatch drain() {
        CountDownLatch ended = new CountDownLatch(1);
        AtomicInteger pendingParts = new AtomicInteger(3); // clients gone, requests answered, minimum time over
        Runnable partDone = () -> {
            if (pendingParts.decrementAndGet() == 0) {
                closeClientListener(ended);
            }
        };
        serviceState.updateAndGet(ServiceState::end);
        ShutdownSequence sequence = new ShutdownSequence(clock, timers, clients, module, () -> {
            closeIdleRepeatedly(serviceState.updateAndGet(ServiceState::closeConnections), true);
            clients.runWhenEmpty(partDone);
            module.runWhenIdle(partDone);
        });
        shutdown = sequence;
        limitShutdown();
        configMailbox.post(
                this::limitShutdown); // after a configuration that came before SIGTERM and is still being read
        releaseClientsIfOthersServe(sequence);
        timers.schedule(partDone, MIN_SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS);
        return ended;
    }

    /** Ends in time for the deadlines of the configuration in use. */
    private void limitShutdown() {
        ShutdownSequence sequence = shutdown;
        if (sequence != null) {
            sequence.limitBy(config);
        }
    }

    /**
     * Lets clients go early only if another scheduler serves; else they stay as long as possible. Schedulers restarted one
     * after the other were once all closed to new connections for 2 s.
     */
    private void releaseClientsIfOthersServe(ShutdownSequence sequence) {
        if (successorServing) {
            // The successor accepts clients and talks to peers; this process only answers the requests that it has.
            connectionManager.stopListening(clientListener, () -> {});
            if (peers != null) {
                peers.close();
            }
            serviceState.updateAndGet(ServiceState::closeConnections);
            sequence.releaseClientsAt(ShutdownSequence.SETTLE_MILLIS);
        } else if (peers != null && config.settings().mayMessagePeers) {
            peers.announceEnd(othersServe -> {
                if (othersServe) {
                    sequence.releaseClientsAt(ShutdownSequence.SETTLE_MILLIS);
                }
            });
        }
    }

    /**
     * Stops listening once nothing is open. Clients may still wait in the accept queue: they are accepted before the socket
     * is closed, and get their answers too.
     */
    private void closeClientListener(CountDownLatch ended) {
        ServerSocketChannel listener = clientListener;
        if (listener == null || !listener.isOpen()) {
            ended.countDown();
        } else {
            connectionManager.stopListening(
                    listener, () -> connectionManager.runWhenClientsGone(() -> module.runWhenIdle(ended::countDown)));
        }
    }

    /** The address on which clients are accepted. */
    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) clientListener.getLocalAddress();
    }

    /** The address of the operators' server. */
    InetSocketAddress opsAddress() throws IOException {
        return opsServer.address();
    }

    /** Whether the successor of an upgrade serves clients. */
    boolean isSuccessorServing() {
        return successorServing;
    }

    /** Whether another process of this scheduler runs beside this one. */
    boolean hasOtherProcess() {
        return limitsShared;
    }

    /** Whether this process accepts new clients. */
    boolean isListening() {
        return clientListener != null && clientListener.isOpen();
    }

    /** Stops at once; open requests are lost. */
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
        pool.shutdown(); // runs what is queued: among it is the closing of the upgrade link
    }
}
