package barrowshore.node;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.client.ClientConnections;
import barrowshore.config.Config;
import barrowshore.list.ServerList;
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
 * A client leaves while an attempt at its request is about to begin: nothing of that request may reach a worker after it.
 * Clients and workers are real sockets; the module is a script that repeats and copies whatever it may. Mailboxes and
 * selectors are held, so that the departure comes first each time, once heard of and once only in the socket.
 */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ClientGoneTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    /** The delays by which the script's timers are known among all others, in microseconds. */
    private static final long SECOND_COPY = 77_777;

    private static final long ATTEMPT_LIMIT = 88_888;

    private static final int CLIENTS = 10;
    private static final int ONE = 0;
    private static final int TWO = 1;

    private enum Way {
        CLOSE,
        END_OF_SENDING,
        RESET
    }

    /** How a client leaves; noticed: its connection's actor has heard of it, else the selector has yet to look. */
    private record Departure(Way way, boolean noticed) {}

    static Stream<Departure> departures() {
        return Stream.of(Way.values()).flatMap(way -> Stream.of(new Departure(way, true), new Departure(way, false)));
    }

    private final ExecutorService pool = Executors.newFixedThreadPool(4);
    private final ScriptTimers timers = new ScriptTimers();
    private final Clock clock = new Clock(1_700_000_000_000L, () -> 0);
    private final HeldExecutor moduleTurns = new HeldExecutor();
    private final HeldExecutor clientTurns = new HeldExecutor();
    private final HeldExecutor[] serverTurns = {new HeldExecutor(), new HeldExecutor()};
    private final ConnectionManager[] dialers = new ConnectionManager[2];
    private final ServerSocket[] listening = new ServerSocket[2];
    private final BlockingQueue<EndPoint> accepted = new LinkedBlockingQueue<>();
    private final RecordingDesk desk = new RecordingDesk();
    private final List<AutoCloseable> open = new ArrayList<>();
    /** Ids of requests that the module was told have ended with an attempt, or before; and of those that have not. */
    private final List<String> toldClosed = new CopyOnWriteArrayList<>();

    private final List<String> toldOpen = new CopyOnWriteArrayList<>();

    private ServerSocketChannel entrance;
    private ConnectionManager clientDialer;
    private ClientConnections clientSide;
    private ModuleActor module;

    /** Timers that never run by themselves; those that the script sets are kept. */
    private static final class ScriptTimers extends AbstractLifeCycle implements Scheduler {
        final BlockingQueue<Runnable> secondCopies = new LinkedBlockingQueue<>();
        final BlockingQueue<Runnable> attemptLimits = new LinkedBlockingQueue<>();

        @Override
        public Task schedule(Runnable run, long delay, TimeUnit unit) {
            if (unit.toMicros(delay) == SECOND_COPY) {
                secondCopies.add(run);
            } else if (unit.toMicros(delay) == ATTEMPT_LIMIT) {
                attemptLimits.add(run);
            }
            return () -> true;
        }
    }

    /** Runs an actor's turns in the poster's thread; while it is held they are kept for whoever releases it. */
    private static final class HeldExecutor implements Executor {
        private final Queue<Runnable> kept = new ArrayDeque<>();
        private boolean held;
        private int running;

        @Override
        public void execute(Runnable turn) {
            synchronized (this) {
                if (held) {
                    kept.add(turn);
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

        /** Returns once no turn is under way. */
        synchronized void awaitQuiet() throws InterruptedException {
            while (running > 0) {
                wait();
            }
        }

        synchronized void hold() throws InterruptedException {
            awaitQuiet();
            held = true;
        }

        synchronized void awaitMessage() throws InterruptedException {
            while (kept.isEmpty()) {
                wait();
            }
        }

        void release() {
            List<Runnable> due;
            synchronized (this) {
                held = false;
                due = List.copyOf(kept);
                kept.clear();
                running += due.size();
            }
            due.forEach(this::run);
        }
    }

    /** Hands on to the module's actor, and counts what it has handed on. */
    private final class RecordingDesk implements JobRequest.RequestHandler {
        final Semaphore opened = new Semaphore(0);
        final Semaphore gone = new Semaphore(0);

        @Override
        public void submit(JobRequest request, JobRequest.Client client) {
            module.submit(request, client);
            opened.release();
        }

        @Override
        public void clientGone(JobRequest request) {
            module.clientGone(request);
            gone.release();
        }

        @Override
        public void countTurnedAway(int jobClass) {}

        @Override
        public void askReady(Consumer<Boolean> asker) {
            module.askReady(asker);
        }
    }

    /** A client with one request under way. */
    private static final class Caller implements AutoCloseable {
        final Socket socket;
        final EndPoint atOurs;

        Caller(Socket socket, EndPoint atOurs) {
            this.socket = socket;
            this.atOurs = atOurs;
        }

        void leave(Way way) throws IOException {
            switch (way) {
                case CLOSE -> socket.close();
                case END_OF_SENDING -> socket.shutdownOutput();
                case RESET -> {
                    socket.setSoLinger(true, 0);
                    socket.close();
                }
                default -> throw new IllegalArgumentException("no such way: " + way);
            }
        }

        /** Waits until its connection's actor has read all and waits for the selector. */
        void awaitAllRead() {
            while (!atOurs.isFillInterested()) {
                Thread.onSpinWait();
            }
        }

        /** Waits until its end is in our socket, which it has nothing else to read from. */
        void awaitEndInSocket() throws IOException {
            SocketChannel channel = ((SocketChannelEndPoint) atOurs).getChannel();
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
            dialers[k] = new ConnectionManager(pool, timers, 50, 1, 10_000, endPoint -> null);
            dialers[k].start();
            listening[k] = new ServerSocket(0, 10, LOOPBACK);
            InetSocketAddress address = (InetSocketAddress) listening[k].getLocalSocketAddress();
            entries.add(new ServerList.Entry("s-" + (k + 1), "", address, 0, 0, 0, ServerList.State.READY, 1, 0));
        }
        Config config = Config.parse(Files.readString(Path.of("src/test/resources/exchanges/config.json"))
                .replace("$D", "127.0.0.1:9")
                .replace("$S", "127.0.0.1:9"));
        module = new ModuleActor(
                clock, moduleTurns, timers, config.classes(), 5, this::server, message -> {}, this::script);
        module.start();
        module.update(new ServerList.Update(1, true, entries));
        clientSide =
                new ClientConnections(config, clock, clientTurns, timers, desk, () -> ServiceState.SERVING, CLIENTS);
        clientDialer = new ConnectionManager(pool, timers, 1, CLIENTS, 10_000, this::accept);
        clientDialer.start();
        entrance = ServerSocketChannel.open();
        entrance.bind(new InetSocketAddress(LOOPBACK, 0), CLIENTS);
        clientDialer.listen(entrance);
    }

    @AfterEach
    void stop() throws Exception {
        for (int k = open.size() - 1; k >= 0; k--) {
            open.get(k).close();
        }
        entrance.close();
        LifeCycle.stop(clientDialer);
        for (int k = 0; k < 2; k++) {
            listening[k].close();
            LifeCycle.stop(dialers[k]);
        }
        LifeCycle.stop(timers);
        pool.shutdownNow();
    }

    /** One connection each, so that what comes next shows what came before. */
    private Server server(String uid) {
        int k = uid.equals("s-1") ? ONE : TWO;
        return new Server(uid, serverTurns[k], dialers[k], timers, 60_000_000, 1);
    }

    private Connection accept(EndPoint endPoint) {
        accepted.add(endPoint);
        return clientSide.accept(endPoint);
    }

    /**
     * A module that sends each request to the server that its id begins with, repeats at the second what has failed, and
     * sends a second copy there, whose time is limited, where the id says so.
     */
    private DispatchApi script(Actions actions) {
        return (DispatchApi) Proxy.newProxyInstance(
                DispatchApi.class.getClassLoader(), new Class<?>[] {DispatchApi.class}, (proxy, method, arguments) -> {
                    switch (method.getName()) {
                        case "request" -> {
                            String id = ((DispatchApi.Request) arguments[1]).id();
                            actions.send(id, id.startsWith("one") ? "s-1" : "s-2", 0);
                            if (id.contains("copied")) {
                                actions.setTimer(SECOND_COPY, id);
                            }
                        }
                        case "outcome" -> {
                            String id = (String) arguments[1];
                            Status status = (Status) arguments[4];
                            if ((boolean) arguments[3]) {
                                toldClosed.add(id);
                                return null;
                            }
                            toldOpen.add(id);
                            if (status == Status.ERROR) {
                                actions.send(id, "s-2", 0);
                            } else if (status != Status.TIMEOUT) {
                                actions.fail(id);
                            }
                        }
                        case "timerFired" -> actions.send((String) arguments[1], "s-2", ATTEMPT_LIMIT);
                        default -> {}
                    }
                    return null;
                });
    }

    /** A client whose request has been handed on. */
    private Caller call(String id) throws Exception {
        Socket socket = new Socket(LOOPBACK, entrance.socket().getLocalPort());
        open.add(socket);
        socket.getOutputStream()
                .write(("POST /menu HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + id
                                + "\r\nX-Priority-Class: menu\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 4000\r\n"
                                + "Content-Length: 1\r\n\r\na")
                        .getBytes(StandardCharsets.ISO_8859_1));
        Caller caller = new Caller(socket, accepted.take());
        desk.opened.acquire();
        caller.awaitAllRead();
        return caller;
    }

    /** All of them leave; returns once that is known as far as it is to be. */
    private void leave(Departure departure, List<Caller> callers) throws Exception {
        if (!departure.noticed()) {
            open.add(new HeldSelector(clientDialer));
        }
        for (Caller caller : callers) {
            caller.leave(departure.way());
        }
        if (departure.noticed()) {
            desk.gone.acquire(callers.size());
            return;
        }
        for (Caller caller : callers) {
            caller.awaitEndInSocket();
        }
    }

    private HeldSelector holdConnectionsTo(int server) throws InterruptedException {
        HeldSelector held = new HeldSelector(dialers[server]);
        open.add(held);
        return held;
    }

    private Socket acceptAt(int server) throws IOException {
        Socket worker = listening[server].accept();
        open.add(worker);
        return worker;
    }

    /** The head of the next request; its body is read too. */
    private static String nextRequest(Socket worker) throws IOException {
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

    private JobRequest direct(String id) {
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
                new byte[] {'a'});
    }

    /** A connection to the second worker that stands idle, ready to carry the next attempt at once. */
    private Socket idleConnection() throws Exception {
        CompletableFuture<JobRequest.Answer> answer = new CompletableFuture<>();
        module.submit(direct("two-before"), answer::complete);
        Socket worker = acceptAt(TWO);
        assertThat(nextRequest(worker)).contains("X-Request-ID: two-before");
        replyDone(worker, "two-before");
        assertThat(answer.get()).isInstanceOf(JobRequest.Served.class);
        serverTurns[TWO].awaitQuiet();
        return worker;
    }

    /**
     * The worker's one connection carries a request of those whose client has gone, or else one of these. They are sent one
     * after the other, each once the one before was turned down: a mailbox that is never empty would run in its own stack.
     */
    private void assertNothingBeganBeforeTheNext(String server, Socket worker) throws IOException {
        for (int k = 0; worker.getInputStream().available() == 0; k++) {
            CompletableFuture<JobRequest.Answer> answer = new CompletableFuture<>();
            module.submit(direct(server + "-next" + k), answer::complete);
            while (worker.getInputStream().available() == 0 && !answer.isDone()) {
                Thread.onSpinWait();
            }
        }
        assertThat(nextRequest(worker)).contains("X-Request-ID: " + server + "-next");
    }

    @ParameterizedTest
    @MethodSource("departures")
    void whileItsConnectionComesUp(Departure departure) throws Exception {
        HeldSelector held = holdConnectionsTo(ONE);
        Caller caller = call("one-first");
        Socket worker = acceptAt(ONE);
        leave(departure, List.of(caller));
        if (departure.noticed()) {
            moduleTurns.awaitQuiet();
            assertThat(toldClosed).as("ended at once").contains("one-first");
        }
        held.release();
        assertNothingBeganBeforeTheNext("one", worker);
    }

    @ParameterizedTest
    @MethodSource("departures")
    void whileTheConnectionOfItsRepeatComesUp(Departure departure) throws Exception {
        Caller caller = call("one-failed");
        Socket first = acceptAt(ONE);
        nextRequest(first);
        HeldSelector held = holdConnectionsTo(TWO);
        reply(first, "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n");
        Socket second = acceptAt(TWO);
        leave(departure, List.of(caller));
        held.release();
        assertNothingBeganBeforeTheNext("two", second);
    }

    @ParameterizedTest
    @MethodSource("departures")
    void betweenAFailedAttemptAndItsRepeat(Departure departure) throws Exception {
        Socket second = idleConnection();
        Caller caller = call("one-failed");
        Socket first = acceptAt(ONE);
        nextRequest(first);
        serverTurns[ONE].awaitQuiet();
        moduleTurns.hold();
        reply(first, "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n");
        moduleTurns.awaitMessage();
        leave(departure, List.of(caller));
        moduleTurns.release();
        if (departure.noticed()) {
            assertThat(toldOpen).as("what may be repeated").doesNotContain("one-failed");
        }
        assertNothingBeganBeforeTheNext("two", second);
    }

    @ParameterizedTest
    @MethodSource("departures")
    void asTheSecondCopyFallsDue(Departure departure) throws Exception {
        Socket second = idleConnection();
        Caller caller = call("one-copied");
        nextRequest(acceptAt(ONE));
        serverTurns[ONE].awaitQuiet();
        moduleTurns.hold();
        timers.secondCopies.take().run();
        leave(departure, List.of(caller));
        moduleTurns.release();
        assertNothingBeganBeforeTheNext("two", second);
    }

    @ParameterizedTest
    @MethodSource("departures")
    void whileTheConnectionOfItsSecondCopyComesUp(Departure departure) throws Exception {
        Caller caller = call("one-copied");
        nextRequest(acceptAt(ONE));
        HeldSelector held = holdConnectionsTo(TWO);
        timers.secondCopies.take().run();
        Socket second = acceptAt(TWO);
        leave(departure, List.of(caller));
        held.release();
        assertNothingBeganBeforeTheNext("two", second);
    }

    @ParameterizedTest
    @MethodSource("departures")
    void whileSeveralWaitForTheModule(Departure departure) throws Exception {
        Socket worker = idleConnection();
        moduleTurns.hold();
        List<Caller> callers = List.of(call("two-a"), call("two-b"), call("two-c"));
        leave(departure, callers);
        moduleTurns.release();
        assertNothingBeganBeforeTheNext("two", worker);
    }

    @ParameterizedTest
    @MethodSource("departures")
    void whileSeveralWaitForTheServer(Departure departure) throws Exception {
        Socket worker = idleConnection();
        serverTurns[TWO].hold();
        List<Caller> callers = List.of(call("two-a"), call("two-b"), call("two-c"));
        leave(departure, callers);
        serverTurns[TWO].release();
        assertNothingBeganBeforeTheNext("two", worker);
    }

    /** The last moment: the client was found there, and the module is yet to hear that it has gone. */
    @ParameterizedTest
    @EnumSource(Way.class)
    void asItsAttemptIsAboutToBegin(Way way) throws Exception {
        Socket second = idleConnection();
        Caller caller = callWithACopyAboutToBegin(acceptedAtOne -> {});
        moduleTurns.hold();
        leave(new Departure(way, true), List.of(caller));
        serverTurns[TWO].release();
        moduleTurns.release();
        assertNothingBeganBeforeTheNext("two", second);
    }

    @Test
    void norDoesACopyBeginOnceTheOtherHasBeenAnswered() throws Exception {
        Socket second = idleConnection();
        CompletableFuture<Socket> first = new CompletableFuture<>();
        Caller caller = callWithACopyAboutToBegin(first::complete);
        replyDone(first.get(), "one-copied");
        assertThat(HttpText.firstLine(caller.socket.getInputStream())).isEqualTo("HTTP/1.1 200 OK");
        serverTurns[TWO].release();
        assertNothingBeganBeforeTheNext("two", second);
    }

    /** Its time is up, and another may have been sent in its place: it would be one copy more. */
    @Test
    void norDoesAnAttemptBeginThatWasGivenUpBefore() throws Exception {
        Socket second = idleConnection();
        callWithACopyAboutToBegin(acceptedAtOne -> {});
        timers.attemptLimits.take().run();
        serverTurns[TWO].release();
        assertNothingBeganBeforeTheNext("two", second);
    }

    /** A client whose second copy waits for nothing but its turn at the second server, which is held. */
    private Caller callWithACopyAboutToBegin(Consumer<Socket> acceptedAtOne) throws Exception {
        Caller caller = call("one-copied");
        Socket first = acceptAt(ONE);
        nextRequest(first);
        acceptedAtOne.accept(first);
        serverTurns[ONE].awaitQuiet();
        clientTurns.hold();
        timers.secondCopies.take().run();
        clientTurns.awaitMessage();
        serverTurns[TWO].hold();
        clientTurns.release();
        serverTurns[TWO].awaitMessage();
        return caller;
    }
}
