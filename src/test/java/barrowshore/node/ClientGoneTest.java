package barrowshore.node;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.client.ClientConnections;
import barrowshore.config.Config;
import barrowshore.list.ServerList;
import barrowshore.memory.CountedBytes;
import barrowshore.memory.MemoryBudget;
import barrowshore.module.DispatchApi;
import barrowshore.module.DispatchApi.Actions;
import barrowshore.module.DispatchApi.Status;
import barrowshore.net.Clock;
import barrowshore.net.ConnectionManager;
import barrowshore.net.HeldSelector;
import barrowshore.net.HttpText;
import barrowshore.request.JobRequest;
import barrowshore.servers.Server;
import barrowshore.status.ServiceState;
import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.FutureTask;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against attempts that begin after their client has left: none may reach a worker. Clients and workers are real
 * sockets; the module is a script that repeats and copies whenever it may. Mailboxes and selectors are held, so that the
 * client always leaves first, either detected or only visible in the socket.
 */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ClientGoneTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    /** Unusual delays, by which the test's timers recognize those that the scripted module sets. */
    private static final long SECOND_COPY_DELAY_MICROS = 77_777;

    private static final long ATTEMPT_LIMIT_MICROS = 88_888;

    /** The pauses and waits of a connection on which unwanted bytes arrive. */
    private static final long FLOOD_TIMER_MICROS = 10_000;
    /** More than is read at full speed while a request is open. */
    private static final int ENDLESS_FLOOD_BYTES = 32 << 20;

    private static final int FLOOD_BYTES = 8 << 20;

    private static final int MAX_CLIENTS = 10;
    private static final int FIRST_WORKER = 0;
    private static final int SECOND_WORKER = 1;

    private enum LeaveMode {
        CLOSE,
        HALF_CLOSE,
        RESET
    }

    /** How a client leaves; detected: its connection's actor knows, else the selector has yet to read the socket. */
    private record Departure(LeaveMode mode, boolean detected) {}

    static Stream<Departure> departures() {
        return Stream.of(LeaveMode.values())
                .flatMap(mode -> Stream.of(new Departure(mode, true), new Departure(mode, false)));
    }

    private final ExecutorService pool = Executors.newFixedThreadPool(4);
    private final MemoryBudget requestMemory = new MemoryBudget(1 << 20, 16);
    private final ScriptTimers timers = new ScriptTimers();
    private final Clock clock = new Clock(1_700_000_000_000L, () -> 0);
    private final HeldExecutor moduleExecutor = new HeldExecutor();
    private final HeldExecutor clientExecutor = new HeldExecutor();
    private final HeldExecutor[] serverExecutors = {new HeldExecutor(), new HeldExecutor()};
    private final ConnectionManager[] serverConnections = new ConnectionManager[2];
    private final ServerSocket[] workerListeners = new ServerSocket[2];
    private final BlockingQueue<EndPoint> accepted = new LinkedBlockingQueue<>();
    private final RecordingHandler requestHandler = new RecordingHandler();
    private final List<AutoCloseable> resources = new ArrayList<>();
    /** Ids of the requests of which the module was told an attempt's outcome after they were closed. */
    private final List<String> outcomesAfterClose = new CopyOnWriteArrayList<>();

    /** The same, while they were still open. */
    private final List<String> outcomesWhileOpen = new CopyOnWriteArrayList<>();

    /** The first worker's connection with the job of a client that floods, and the task that floods. */
    private Socket floodedWorker;

    private FutureTask<Void> flood;
    private ServerSocketChannel clientListener;
    private ConnectionManager clientConnectionManager;
    private ClientConnections clientConnections;
    private ModuleActor module;

    /** Timers that never fire by themselves; those of the scripted module are kept for the test to run. */
    private static final class ScriptTimers extends AbstractLifeCycle implements Scheduler {
        final BlockingQueue<Runnable> secondCopies = new LinkedBlockingQueue<>();
        final BlockingQueue<Runnable> attemptLimits = new LinkedBlockingQueue<>();
        final BlockingQueue<Runnable> floodTimers = new LinkedBlockingQueue<>();

        @Override
        public Task schedule(Runnable run, long delay, TimeUnit unit) {
            if (unit.toMicros(delay) == SECOND_COPY_DELAY_MICROS) {
                secondCopies.add(run);
            } else if (unit.toMicros(delay) == ATTEMPT_LIMIT_MICROS) {
                attemptLimits.add(run);
            } else if (unit.toMicros(delay) == FLOOD_TIMER_MICROS) {
                floodTimers.add(run);
            }
            return () -> true;
        }
    }

    /** Runs an actor's turns in the posting thread, or, while it is held, in the thread that releases it. */
    private static final class HeldExecutor implements Executor {
        private final Queue<Runnable> waiting = new ArrayDeque<>();
        private boolean held;
        private int running;

        @Override
        public void execute(Runnable turn) {
            synchronized (this) {
                if (held) {
                    waiting.add(turn);
                    notifyAll();
                    return;
                }
                running++;
            }
            run(turn);
        }

        private void run(Runnable turn) {
            try {
                turn.run();
            } finally {
                synchronized (this) {
                    running--;
                    notifyAll();
                }
            }
        }

        /** Returns once no turn is running. */
        synchronized void awaitIdle() throws InterruptedException {
            while (running > 0) {
                wait();
            }
        }

        synchronized void hold() throws InterruptedException {
            awaitIdle();
            held = true;
        }

        synchronized void awaitWaitingTurn() throws InterruptedException {
            while (waiting.isEmpty()) {
                wait();
            }
        }

        void release() {
            List<Runnable> due;
            synchronized (this) {
                held = false;
                due = List.copyOf(waiting);
                waiting.clear();
                running += due.size();
            }
            due.forEach(this::run);
        }
    }

    /** Passes calls on to the module's actor and counts them. */
    private final class RecordingHandler implements JobRequest.RequestHandler {
        final Semaphore submittedCount = new Semaphore(0);
        final Semaphore goneCount = new Semaphore(0);

        @Override
        public void submit(JobRequest request, JobRequest.Client client) {
            module.submit(request, client);
            submittedCount.release();
        }

        @Override
        public void clientGone(JobRequest request) {
            module.clientGone(request);
            goneCount.release();
        }

        @Override
        public void countRejected(int jobClass) {}

        @Override
        public void checkReady(Consumer<Boolean> asker) {
            module.checkReady(asker);
        }
    }

    /** A client with one open request. */
    private static final class WaitingClient implements AutoCloseable {
        final Socket socket;
        final EndPoint schedulerEnd;

        WaitingClient(Socket socket, EndPoint schedulerEnd) {
            this.socket = socket;
            this.schedulerEnd = schedulerEnd;
        }

        void leave(LeaveMode mode) throws IOException {
            switch (mode) {
                case CLOSE -> socket.close();
                case HALF_CLOSE -> socket.shutdownOutput();
                case RESET -> {
                    socket.setSoLinger(true, 0);
                    socket.close();
                }
                default -> throw new IllegalArgumentException("unknown leave mode: " + mode);
            }
        }

        /** Waits until the scheduler has read all input and waits for more. */
        void awaitAllRead() {
            while (!schedulerEnd.isFillInterested()) {
                Thread.onSpinWait();
            }
        }

        /** Waits until the end of the connection can be read from the scheduler's socket, which holds no other input. */
        void awaitEndInSocket() throws IOException {
            SocketChannel channel = ((SocketChannelEndPoint) schedulerEnd).getChannel();
            try (Selector selector = Selector.open()) {
                channel.register(selector, SelectionKey.OP_READ);
                selector.select();
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    @BeforeEach
    void start() throws Exception {
        timers.start();
        List<ServerList.Entry> entries = new ArrayList<>();
        for (int k = 0; k < 2; k++) {
            serverConnections[k] = new ConnectionManager(pool, timers, 50, 1, 10_000, endPoint -> null);
            serverConnections[k].start();
            workerListeners[k] = new ServerSocket(0, 10, LOOPBACK);
            InetSocketAddress address = (InetSocketAddress) workerListeners[k].getLocalSocketAddress();
            entries.add(new ServerList.Entry("s-" + (k + 1), "", address, 0, 0, 0, ServerList.State.READY, 1, 0));
        }
        Config config = Config.parse(Files.readString(Path.of("src/test/resources/exchanges/config.json"))
                .replace("$D", "127.0.0.1:9")
                .replace("$S", "127.0.0.1:9"));
        module = new ModuleActor(
                clock,
                moduleExecutor,
                timers,
                config.classes(),
                5,
                this::newServer,
                message -> {},
                this::scriptedModule);
        module.start();
        module.updateServers(new ServerList.Update(1, true, entries));
        clientConnections = new ClientConnections(
                config,
                clock,
                clientExecutor,
                timers,
                requestHandler,
                () -> ServiceState.SERVING,
                MAX_CLIENTS,
                requestMemory);
        clientConnectionManager = new ConnectionManager(pool, timers, 1, MAX_CLIENTS, 10_000, this::acceptClient);
        clientConnectionManager.start();
        clientListener = ServerSocketChannel.open();
        clientListener.bind(new InetSocketAddress(LOOPBACK, 0), MAX_CLIENTS);
        clientConnectionManager.listen(clientListener);
    }

    @AfterEach
    void stop() throws Exception {
        for (int k = resources.size() - 1; k >= 0; k--) {
            resources.get(k).close();
        }
        clientListener.close();
        LifeCycle.stop(clientConnectionManager);
        for (int k = 0; k < 2; k++) {
            workerListeners[k].close();
            LifeCycle.stop(serverConnections[k]);
        }
        LifeCycle.stop(timers);
        pool.shutdownNow();
    }

    /** At most one connection, so that the next request on it shows that nothing was sent before. */
    private Server newServer(String uid) {
        int k = uid.equals("s-1") ? FIRST_WORKER : SECOND_WORKER;
        return new Server(
                uid, serverExecutors[k], serverConnections[k], timers, 60_000_000, 1, new MemoryBudget(1 << 20, 4));
    }

    private Connection acceptClient(EndPoint endPoint) {
        accepted.add(endPoint);
        return clientConnections.accept(endPoint);
    }

    /**
     * A module that sends requests to the server that their id begins with, repeats failed ones at the second server, and
     * sends a second copy, with a timeout, there if the id contains "copied".
     */
    private DispatchApi scriptedModule(Actions actions) {
        return (DispatchApi) Proxy.newProxyInstance(
                DispatchApi.class.getClassLoader(), new Class<?>[] {DispatchApi.class}, (proxy, method, arguments) -> {
                    switch (method.getName()) {
                        case "request" -> {
                            String id = ((DispatchApi.Request) arguments[1]).id();
                            actions.send(id, id.startsWith("one") ? "s-1" : "s-2", 0);
                            if (id.contains("copied")) {
                                actions.setTimer(SECOND_COPY_DELAY_MICROS, id);
                            }
                        }
                        case "outcome" -> {
                            String id = (String) arguments[1];
                            Status status = (Status) arguments[4];
                            if ((boolean) arguments[3]) {
                                outcomesAfterClose.add(id);
                                return null;
                            }
                            outcomesWhileOpen.add(id);
                            if (status == Status.ERROR) {
                                actions.send(id, "s-2", 0);
                            } else if (status != Status.TIMEOUT) {
                                actions.fail(id);
                            }
                        }
                        case "timerFired" -> actions.send((String) arguments[1], "s-2", ATTEMPT_LIMIT_MICROS);
                        default -> {}
                    }
                    return null;
                });
    }

    /** Opens a client whose request has reached the module's actor. */
    private WaitingClient openClient(String id) throws Exception {
        Socket socket = new Socket(LOOPBACK, clientListener.socket().getLocalPort());
        resources.add(socket);
        socket.getOutputStream()
                .write(("POST /menu HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + id
                                + "\r\nX-Priority-Class: menu\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 4000\r\n"
                                + "Content-Length: 1\r\n\r\na")
                        .getBytes(StandardCharsets.ISO_8859_1));
        WaitingClient client = new WaitingClient(socket, accepted.take());
        requestHandler.submittedCount.acquire();
        client.awaitAllRead();
        return client;
    }

    /** Lets the clients leave; returns once that is detected, or once it can be read from their sockets. */
    private void leaveAll(Departure departure, List<WaitingClient> clients) throws Exception {
        if (!departure.detected()) {
            resources.add(new HeldSelector(clientConnectionManager));
        }
        for (WaitingClient client : clients) {
            client.leave(departure.mode());
        }
        if (departure.detected()) {
            requestHandler.goneCount.acquire(clients.size());
            return;
        }
        for (WaitingClient client : clients) {
            client.awaitEndInSocket();
        }
    }

    private HeldSelector holdConnectionsToWorker(int server) throws InterruptedException {
        HeldSelector held = new HeldSelector(serverConnections[server]);
        resources.add(held);
        return held;
    }

    private Socket acceptAtWorker(int server) throws IOException {
        Socket worker = workerListeners[server].accept();
        resources.add(worker);
        return worker;
    }

    /** Returns the head of the next request; reads its body too. */
    private static String readRequest(Socket worker) throws IOException {
        InputStream in = worker.getInputStream();
        String head = HttpText.head(in);
        in.read();
        return head;
    }

    private static void reply(Socket worker, String text) throws IOException {
        worker.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void replyDone(Socket worker, String id) throws IOException {
        String line = "{\"id\":\"" + id + "\",\"state\":\"done\",\"result\":\"one\"}\n";
        reply(worker, "HTTP/1.1 200 OK\r\nContent-Length: " + line.length() + "\r\n\r\n" + line);
    }

    private JobRequest idempotentRequest(String id) {
        return new JobRequest(
                id,
                0,
                0,
                1,
                0,
                clock.micros() + 4_000_000,
                JobRequest.NO_REPEAT_LIMIT,
                "POST",
                "/menu",
                null,
                CountedBytes.uncounted(new byte[] {'a'}));
    }

    /** Opens an idle connection to the second worker, which carries the next attempt at once. */
    private Socket openIdleConnection() throws Exception {
        CompletableFuture<JobRequest.Answer> answer = new CompletableFuture<>();
        module.submit(idempotentRequest("two-before"), answer::complete);
        Socket worker = acceptAtWorker(SECOND_WORKER);
        assertThat(readRequest(worker)).contains("X-Request-ID: two-before");
        replyDone(worker, "two-before");
        assertThat(answer.get()).isInstanceOf(JobRequest.Served.class);
        serverExecutors[SECOND_WORKER].awaitIdle();
        return worker;
    }

    /**
     * Asserts that the worker's only connection carries one of the requests sent here, not one whose client has gone. Each
     * waits for the rejection of the one before: a mailbox that is never empty would recurse on its own stack.
     */
    private void assertNextAttemptIsOfALaterRequest(String server, Socket worker) throws IOException {
        for (int k = 0; worker.getInputStream().available() == 0; k++) {
            CompletableFuture<JobRequest.Answer> answer = new CompletableFuture<>();
            module.submit(idempotentRequest(server + "-next" + k), answer::complete);
            while (worker.getInputStream().available() == 0 && !answer.isDone()) {
                Thread.onSpinWait();
            }
        }
        assertThat(readRequest(worker)).contains("X-Request-ID: " + server + "-next");
    }

    @ParameterizedTest
    @MethodSource("departures")
    void clientLeavesWhileItsConnectionComesUp(Departure departure) throws Exception {
        HeldSelector held = holdConnectionsToWorker(FIRST_WORKER);
        WaitingClient client = openClient("one-first");
        Socket worker = acceptAtWorker(FIRST_WORKER);
        leaveAll(departure, List.of(client));
        if (departure.detected()) {
            moduleExecutor.awaitIdle();
            assertThat(outcomesAfterClose).as("outcome reported at once").contains("one-first");
        }
        held.release();
        assertNextAttemptIsOfALaterRequest("one", worker);
    }

    @ParameterizedTest
    @MethodSource("departures")
    void clientLeavesWhileTheConnectionOfItsRepeatComesUp(Departure departure) throws Exception {
        WaitingClient client = openClient("one-failed");
        Socket first = acceptAtWorker(FIRST_WORKER);
        readRequest(first);
        HeldSelector held = holdConnectionsToWorker(SECOND_WORKER);
        reply(first, "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n");
        Socket second = acceptAtWorker(SECOND_WORKER);
        leaveAll(departure, List.of(client));
        held.release();
        assertNextAttemptIsOfALaterRequest("two", second);
    }

    @ParameterizedTest
    @MethodSource("departures")
    void clientLeavesBetweenAFailedAttemptAndItsRepeat(Departure departure) throws Exception {
        Socket second = openIdleConnection();
        WaitingClient client = openClient("one-failed");
        Socket first = acceptAtWorker(FIRST_WORKER);
        readRequest(first);
        serverExecutors[FIRST_WORKER].awaitIdle();
        moduleExecutor.hold();
        reply(first, "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n");
        moduleExecutor.awaitWaitingTurn();
        leaveAll(departure, List.of(client));
        moduleExecutor.release();
        if (departure.detected()) {
            assertThat(outcomesWhileOpen).as("requests that may be repeated").doesNotContain("one-failed");
        }
        assertNextAttemptIsOfALaterRequest("two", second);
    }

    @ParameterizedTest
    @MethodSource("departures")
    void clientLeavesAsTheSecondCopyFallsDue(Departure departure) throws Exception {
        Socket second = openIdleConnection();
        WaitingClient client = openClient("one-copied");
        readRequest(acceptAtWorker(FIRST_WORKER));
        serverExecutors[FIRST_WORKER].awaitIdle();
        moduleExecutor.hold();
        timers.secondCopies.take().run();
        leaveAll(departure, List.of(client));
        moduleExecutor.release();
        assertNextAttemptIsOfALaterRequest("two", second);
    }

    @ParameterizedTest
    @MethodSource("departures")
    void clientLeavesWhileTheConnectionOfItsSecondCopyComesUp(Departure departure) throws Exception {
        WaitingClient client = openClient("one-copied");
        readRequest(acceptAtWorker(FIRST_WORKER));
        HeldSelector held = holdConnectionsToWorker(SECOND_WORKER);
        timers.secondCopies.take().run();
        Socket second = acceptAtWorker(SECOND_WORKER);
        leaveAll(departure, List.of(client));
        held.release();
        assertNextAttemptIsOfALaterRequest("two", second);
    }

    @ParameterizedTest
    @MethodSource("departures")
    void clientsLeaveWhileTheyWaitForTheModule(Departure departure) throws Exception {
        Socket worker = openIdleConnection();
        moduleExecutor.hold();
        List<WaitingClient> clients = List.of(openClient("two-a"), openClient("two-b"), openClient("two-c"));
        leaveAll(departure, clients);
        moduleExecutor.release();
        assertNextAttemptIsOfALaterRequest("two", worker);
    }

    @ParameterizedTest
    @MethodSource("departures")
    void clientsLeaveWhileTheyWaitForTheServer(Departure departure) throws Exception {
        Socket worker = openIdleConnection();
        serverExecutors[SECOND_WORKER].hold();
        List<WaitingClient> clients = List.of(openClient("two-a"), openClient("two-b"), openClient("two-c"));
        leaveAll(departure, clients);
        serverExecutors[SECOND_WORKER].release();
        assertNextAttemptIsOfALaterRequest("two", worker);
    }

    /** The last moment: the client was checked and present, and the module does not know yet that it has left. */
    @ParameterizedTest
    @EnumSource(LeaveMode.class)
    void clientLeavesAsItsAttemptIsAboutToBegin(LeaveMode mode) throws Exception {
        Socket second = openIdleConnection();
        WaitingClient client = openClientWithCopyAboutToBegin(firstConnection -> {});
        moduleExecutor.hold();
        leaveAll(new Departure(mode, true), List.of(client));
        serverExecutors[SECOND_WORKER].release();
        moduleExecutor.release();
        assertNextAttemptIsOfALaterRequest("two", second);
    }

    @Test
    void aCopyDoesNotBeginOnceTheOtherWasAnswered() throws Exception {
        Socket second = openIdleConnection();
        CompletableFuture<Socket> first = new CompletableFuture<>();
        WaitingClient client = openClientWithCopyAboutToBegin(first::complete);
        replyDone(first.get(), "one-copied");
        assertThat(HttpText.firstLine(client.socket.getInputStream())).isEqualTo("HTTP/1.1 200 OK");
        serverExecutors[SECOND_WORKER].release();
        assertNextAttemptIsOfALaterRequest("two", second);
    }

    /** Another attempt may have replaced it, so it would be one copy too many. */
    @Test
    void anAttemptThatTimedOutDoesNotBegin() throws Exception {
        Socket second = openIdleConnection();
        openClientWithCopyAboutToBegin(firstConnection -> {});
        timers.attemptLimits.take().run();
        serverExecutors[SECOND_WORKER].release();
        assertNextAttemptIsOfALaterRequest("two", second);
    }

    /** Opens a client whose second copy only waits for the second server's actor, which is held. */
    private WaitingClient openClientWithCopyAboutToBegin(Consumer<Socket> firstConnection) throws Exception {
        WaitingClient client = openClient("one-copied");
        Socket first = acceptAtWorker(FIRST_WORKER);
        readRequest(first);
        firstConnection.accept(first);
        serverExecutors[FIRST_WORKER].awaitIdle();
        clientExecutor.hold();
        timers.secondCopies.take().run();
        clientExecutor.awaitWaitingTurn();
        serverExecutors[SECOND_WORKER].hold();
        clientExecutor.release();
        serverExecutors[SECOND_WORKER].awaitWaitingTurn();
        return client;
    }

    /** Opens a client whose job is at the first worker, and lets it send so much that nobody wants. */
    private WaitingClient openFloodingClient(int bytes) throws Exception {
        WaitingClient client = openClient("one-failed");
        floodedWorker = acceptAtWorker(FIRST_WORKER);
        readRequest(floodedWorker);
        flood = new FutureTask<>(() -> {
            client.socket.getOutputStream().write(new byte[bytes]);
            return null;
        });
        Thread flooding = new Thread(flood);
        flooding.setDaemon(true);
        flooding.start();
        return client;
    }

    /** Its end is behind what it has sent, and is noticed without a pause. */
    @ParameterizedTest
    @EnumSource(LeaveMode.class)
    void clientLeavesBehindMegabytesThatNobodyWants(LeaveMode mode) throws Exception {
        Socket second = openIdleConnection();
        WaitingClient client = openFloodingClient(FLOOD_BYTES);
        flood.get();
        leaveAll(new Departure(mode, true), List.of(client));
        reply(floodedWorker, "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n");
        assertNextAttemptIsOfALaterRequest("two", second);
    }

    /** As above, while there is no memory for requests any more: what is discarded needs none. */
    @ParameterizedTest
    @EnumSource(LeaveMode.class)
    void clientLeavesWhileMemoryIsShort(LeaveMode mode) throws Exception {
        Socket second = openIdleConnection();
        WaitingClient client = openFloodingClient(FLOOD_BYTES);
        requestMemory.setCapacity(0);
        flood.get();
        leaveAll(new Departure(mode, true), List.of(client));
        reply(floodedWorker, "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n");
        assertNextAttemptIsOfALaterRequest("two", second);
    }

    /** A client that is quiet after it has sent much is there, and its job is repeated. */
    @Test
    void quietClientIsThereBehindMegabytesThatNobodyWants() throws Exception {
        Socket second = openIdleConnection();
        WaitingClient client = openFloodingClient(FLOOD_BYTES);
        flood.get();
        client.awaitAllRead();
        reply(floodedWorker, "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n");
        runFloodTimersUntilReadable(second);
        assertThat(readRequest(second)).contains("X-Request-ID: one-failed");
    }

    /** Whether the client has gone cannot be told: no attempt begins, and it gets its final answer. */
    @Test
    void noAttemptBeginsForAClientThatSendsWithoutEnd() throws Exception {
        Socket second = openIdleConnection();
        WaitingClient client = openFloodingClient(ENDLESS_FLOOD_BYTES);
        Runnable pause = timers.floodTimers.take();
        reply(floodedWorker, "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n");
        Runnable quietWait = timers.floodTimers.take();
        timers.floodTimers.add(pause);
        timers.floodTimers.add(quietWait);
        runFloodTimersUntilReadable(client.socket);
        assertThat(HttpText.firstLine(client.socket.getInputStream())).isEqualTo("HTTP/1.1 502 Bad Gateway");
        assertNextAttemptIsOfALaterRequest("two", second);
    }

    private void runFloodTimersUntilReadable(Socket socket) throws IOException {
        while (socket.getInputStream().available() == 0) {
            Runnable timer = timers.floodTimers.poll();
            if (timer != null) {
                timer.run();
            }
        }
    }
}
