package barrowshore.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Dialing, accepting and closing on loopback, with timers that only the test fires. */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ConnectionManagerTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final int POOL_THREADS = 4;

    private final ExecutorService pool = Executors.newFixedThreadPool(POOL_THREADS);
    private final ManualTimers timers = new ManualTimers();
    /** While up, it keeps the selector blocked after {@link #holdSelector}. */
    private final CountDownLatch selectorReleased = new CountDownLatch(1);

    private ConnectionManager connectionManager;

    /** Runs timers of up to a second when the test says so, in the order in which they were set; ignores longer ones. */
    private static final class ManualTimers extends AbstractLifeCycle implements Scheduler {
        private final Queue<Runnable> pending = new ArrayDeque<>();

        @Override
        public synchronized Task schedule(Runnable run, long delay, TimeUnit unit) {
            if (unit.toMillis(delay) > 1000) {
                return () -> true;
            }
            pending.add(run);
            return () -> {
                synchronized (this) {
                    return pending.remove(run);
                }
            };
        }

        void runAll() {
            List<Runnable> due;
            synchronized (this) {
                due = new ArrayList<>(pending);
                pending.clear();
            }
            due.forEach(Runnable::run);
        }
    }

    /** An outgoing connection that does nothing. */
    private static final class IdleConnection extends AbstractConnection {
        IdleConnection(EndPoint endPoint) {
            super(endPoint, Runnable::run);
        }

        @Override
        public void onFillable() {}
    }

    /** An accepted connection that does nothing. */
    private static final class IdleClientConnection extends AbstractConnection
            implements ConnectionManager.AcceptedConnection {
        IdleClientConnection(EndPoint endPoint) {
            super(endPoint, Runnable::run);
        }

        @Override
        public void onFillable() {}
    }

    /** Records the outcome of a dial. */
    private static final class RecordingDialHandler implements ConnectionManager.DialHandler {
        final CompletableFuture<EndPoint> result = new CompletableFuture<>();
        private final boolean throwsOnConnect;

        RecordingDialHandler(boolean throwsOnConnect) {
            this.throwsOnConnect = throwsOnConnect;
        }

        @Override
        public Connection apply(EndPoint endPoint) {
            if (throwsOnConnect) {
                throw new IllegalStateException("broken on purpose");
            }
            result.complete(endPoint);
            return new IdleConnection(endPoint);
        }

        @Override
        public void onDialFailed(Throwable cause) {
            result.completeExceptionally(cause);
        }
    }

    private void start(int outgoing, int clients, Function<EndPoint, Connection> accepted) throws Exception {
        connectionManager = new ConnectionManager(pool, timers, outgoing, clients, 250, accepted);
        connectionManager.start();
    }

    @AfterEach
    void stop() {
        selectorReleased.countDown();
        LifeCycle.stop(connectionManager);
        pool.shutdownNow();
    }

    /** Closing a listening socket would reset the connections in its backlog and silently lose what they have sent. */
    @Test
    void queuedConnectionsAreAcceptedBeforeListeningSocketCloses() throws Exception {
        BlockingQueue<EndPoint> acceptedEndPoints = new LinkedBlockingQueue<>();
        start(1, 10, endPoint -> {
            acceptedEndPoints.add(endPoint);
            return new IdleClientConnection(endPoint);
        });
        List<Socket> waiting = new ArrayList<>();
        try (ServerSocketChannel server = ServerSocketChannel.open()) {
            server.bind(new InetSocketAddress(LOOPBACK, 0), 10);
            server.configureBlocking(false);
            for (int k = 0; k < 3; k++) {
                waiting.add(new Socket(LOOPBACK, server.socket().getLocalPort()));
            }
            CountDownLatch ended = new CountDownLatch(1);
            connectionManager.stopListening(server, ended::countDown);
            ended.await();
            assertThat(server.isOpen()).isFalse();
            for (int k = 0; k < 3; k++) {
                acceptedEndPoints.take().close();
            }
            for (Socket client : waiting) {
                assertThat(client.getInputStream().read())
                        .as("an end, no reset")
                        .isEqualTo(-1);
            }
        } finally {
            for (Socket client : waiting) {
                client.close();
            }
        }
    }

    /** Above the budget, waiting connections are accepted one by one as others end. */
    @Test
    void connectionsAwaitingAPermitAreAcceptedToo() throws Exception {
        BlockingQueue<EndPoint> acceptedEndPoints = new LinkedBlockingQueue<>();
        start(1, 1, endPoint -> {
            acceptedEndPoints.add(endPoint);
            return new IdleClientConnection(endPoint);
        });
        try (ServerSocketChannel server = ServerSocketChannel.open()) {
            server.bind(new InetSocketAddress(LOOPBACK, 0), 10);
            connectionManager.listen(server);
            try (Socket first = new Socket(LOOPBACK, server.socket().getLocalPort());
                    Socket second = new Socket(LOOPBACK, server.socket().getLocalPort())) {
                EndPoint firstEndPoint = acceptedEndPoints.take();
                CountDownLatch ended = new CountDownLatch(1);
                connectionManager.stopListening(server, ended::countDown);
                firstEndPoint.close();
                // The number of sweeps is limited: none may run before the descriptor is released.
                awaitPoolIdle();
                awaitTwoSelections();
                EndPoint secondEndPoint = acceptedEndPoints.poll();
                while (secondEndPoint == null) {
                    timers.runAll();
                    secondEndPoint = acceptedEndPoints.poll();
                }
                secondEndPoint.close();
                assertThat(first.getInputStream().read()).isEqualTo(-1);
                assertThat(second.getInputStream().read())
                        .as("an end, no reset")
                        .isEqualTo(-1);
                while (ended.getCount() > 0) {
                    timers.runAll();
                }
            }
        }
    }

    @Test
    void failedAcceptReturnsItsPermit() throws Exception {
        AtomicInteger connectionCount = new AtomicInteger();
        CompletableFuture<EndPoint> secondEndPoint = new CompletableFuture<>();
        start(1, 1, endPoint -> {
            if (connectionCount.getAndIncrement() == 0) {
                throw new IllegalStateException("broken on purpose");
            }
            secondEndPoint.complete(endPoint);
            return new IdleClientConnection(endPoint);
        });
        try (ServerSocketChannel server = ServerSocketChannel.open()) {
            server.bind(new InetSocketAddress(LOOPBACK, 0), 10);
            connectionManager.listen(server);
            try (Socket firstClient = new Socket(LOOPBACK, server.socket().getLocalPort());
                    Socket secondClient = new Socket(LOOPBACK, server.socket().getLocalPort())) {
                assertThat(isEnded(firstClient)).isTrue();
                assertThat(secondEndPoint.get().isOpen()).isTrue();
                assertThat(secondClient.isConnected()).isTrue();
            }
        }
    }

    /** Without the report the dialer would wait for ever, and discovery would never be called again. */
    @Test
    void failureOfImmediatelyConnectedDialIsReported() throws Exception {
        start(1, 1, IdleClientConnection::new);
        try (ServerSocket server = new ServerSocket(0, 5, LOOPBACK)) {
            RecordingDialHandler broken = new RecordingDialHandler(true);
            SocketChannel channel = SocketChannel.open(server.getLocalSocketAddress());
            channel.configureBlocking(false);
            connectionManager.accept(channel, broken); // as when connect() succeeds immediately
            assertThat(broken.result.handle((up, cause) -> cause.getMessage()).get())
                    .isEqualTo("broken on purpose");
        }
    }

    /**
     * In a process short of processor time the connect timeout may fire before the selector has noticed an established
     * connection. Discovery was then taken for unavailable, and an outdated server list was used.
     */
    @Test
    void establishedConnectionIsNotTimedOut() throws Exception {
        start(1, 1, IdleClientConnection::new);
        try (ServerSocket server = new ServerSocket(0, 5, LOOPBACK)) {
            holdSelector();
            RecordingDialHandler asker = new RecordingDialHandler(false);
            assertThat(connectionManager.dial((InetSocketAddress) server.getLocalSocketAddress(), 0, asker))
                    .isTrue();
            try (Socket accepted = server.accept()) {
                timers.runAll();
                selectorReleased.countDown();
                assertThat(asker.result.get().isOpen()).isTrue();
                assertThat(accepted.isConnected()).isTrue();
            }
        }
    }

    /** A dial that doesn't connect in time fails. */
    @Test
    void connectTimeoutFailsTheDial() throws Exception {
        start(1, 1, IdleClientConnection::new);
        try (ServerSocket full = new ServerSocket(0, 1, LOOPBACK)) {
            List<SocketChannel> queue = new ArrayList<>();
            try {
                // With a full backlog the kernel no longer answers: further dials stay pending.
                SocketChannel last = null;
                while (last == null || last.finishConnect()) {
                    last = SocketChannel.open();
                    last.configureBlocking(false);
                    queue.add(last);
                    last.connect(full.getLocalSocketAddress());
                }
                RecordingDialHandler asker = new RecordingDialHandler(false);
                assertThat(connectionManager.dial((InetSocketAddress) full.getLocalSocketAddress(), 0, asker))
                        .isTrue();
                timers.runAll();
                assertThat(asker.result
                                .handle((up, cause) -> cause.getMessage())
                                .get())
                        .isEqualTo("not connected within 250 ms");
            } finally {
                for (SocketChannel channel : queue) {
                    channel.close();
                }
            }
        }
    }

    /**
     * The descriptor of a closed channel stays open until the selector has dropped its key; a dial before that would exceed
     * the descriptor budget.
     */
    @Test
    void dialWaitsForReleaseOfClosedDescriptor() throws Exception {
        start(1, 1, IdleClientConnection::new);
        try (ServerSocket server = new ServerSocket(0, 5, LOOPBACK)) {
            InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
            RecordingDialHandler first = new RecordingDialHandler(false);
            assertThat(connectionManager.dial(address, 0, first)).isTrue();
            EndPoint up = first.result.get();
            try (Socket accepted = server.accept()) {
                holdSelector();
                up.close();
                awaitPoolIdle();
                assertThat(connectionManager.dial(address, 0, new RecordingDialHandler(false)))
                        .isFalse();
                selectorReleased.countDown();
                RecordingDialHandler second = new RecordingDialHandler(false);
                while (!connectionManager.dial(address, 0, second)) {
                    Thread.onSpinWait();
                }
                assertThat(second.result.get().isOpen()).isTrue();
                assertThat(accepted.isConnected()).isTrue();
            }
        }
    }

    /** A selector round with many accepts may take long, and releases no descriptors of closed channels until its end. */
    @Test
    void acceptWaitsForReleaseOfClosedDescriptor() throws Exception {
        BlockingQueue<EndPoint> acceptedEndPoints = new LinkedBlockingQueue<>();
        start(1, 1, endPoint -> {
            acceptedEndPoints.add(endPoint);
            return new IdleClientConnection(endPoint);
        });
        try (ServerSocketChannel server = ServerSocketChannel.open()) {
            server.bind(new InetSocketAddress(LOOPBACK, 0), 10);
            connectionManager.listen(server);
            try (Socket first = new Socket(LOOPBACK, server.socket().getLocalPort())) {
                EndPoint firstEndPoint = acceptedEndPoints.take();
                holdSelector();
                try (Socket second = new Socket(LOOPBACK, server.socket().getLocalPort())) {
                    firstEndPoint.close();
                    awaitPoolIdle();
                    assertThat(connectionManager.doAccept(server)).isNull();
                    selectorReleased.countDown();
                    assertThat(acceptedEndPoints.take().isOpen()).isTrue();
                    assertThat(first.getInputStream().read()).isEqualTo(-1);
                    assertThat(second.isConnected()).isTrue();
                }
            }
        }
    }

    /** A dial that fails after its channel was registered also keeps its descriptor until the next selection. */
    @Test
    void failedDialReturnsPermitOnlyAfterDescriptorRelease() throws Exception {
        start(1, 1, IdleClientConnection::new);
        try (ServerSocket server = new ServerSocket(0, 5, LOOPBACK)) {
            CountDownLatch opening = new CountDownLatch(1), fails = new CountDownLatch(1);
            CompletableFuture<Throwable> failed = new CompletableFuture<>();
            InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
            assertThat(connectionManager.dial(address, 0, new ConnectionManager.DialHandler() {
                        @Override
                        public Connection apply(EndPoint endPoint) {
                            opening.countDown();
                            await(fails);
                            throw new IllegalStateException("broken on purpose");
                        }

                        @Override
                        public void onDialFailed(Throwable cause) {
                            failed.complete(cause);
                        }
                    }))
                    .isTrue();
            opening.await();
            holdSelector();
            fails.countDown();
            assertThat(failed.get()).hasMessage("broken on purpose");
            assertThat(connectionManager.dial(address, 0, new RecordingDialHandler(false)))
                    .isFalse();
            selectorReleased.countDown();
            RecordingDialHandler second = new RecordingDialHandler(false);
            while (!connectionManager.dial(address, 0, second)) {
                Thread.onSpinWait();
            }
            assertThat(second.result.get().isOpen()).isTrue();
        }
    }

    /** Otherwise the selector would spin on connections that it may not accept. */
    @Test
    void acceptInterestIsOffWhileClientPermitsAreExhausted() throws Exception {
        BlockingQueue<EndPoint> acceptedEndPoints = new LinkedBlockingQueue<>();
        start(1, 1, endPoint -> {
            acceptedEndPoints.add(endPoint);
            return new IdleClientConnection(endPoint);
        });
        try (ServerSocketChannel server = ServerSocketChannel.open()) {
            server.bind(new InetSocketAddress(LOOPBACK, 0), 10);
            connectionManager.listen(server);
            try (Socket first = new Socket(LOOPBACK, server.socket().getLocalPort())) {
                EndPoint firstEndPoint = acceptedEndPoints.take();
                try (Socket second = new Socket(LOOPBACK, server.socket().getLocalPort())) {
                    awaitTwoSelections();
                    SelectionKey key = server.keyFor(
                            connectionManager.getBean(ManagedSelector.class).getSelector());
                    assertThat(key.interestOps()).isZero();
                    firstEndPoint.close();
                    assertThat(acceptedEndPoints.take().isOpen())
                            .as("accepted as soon as there is room")
                            .isTrue();
                    assertThat(first.getInputStream().read()).isEqualTo(-1);
                    assertThat(second.isConnected()).isTrue();
                }
            }
        }
    }

    /** Blocks the selector's thread, one of the pool's, between two selections until {@link #selectorReleased}. */
    private void holdSelector() throws InterruptedException {
        CountDownLatch held = new CountDownLatch(1);
        connectionManager.getBean(ManagedSelector.class).submit(keys -> {
            held.countDown();
            await(selectorReleased);
        });
        held.await();
    }

    /** Returns once the selector has completed two selections and the tasks between them. */
    private void awaitTwoSelections() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        ManagedSelector selector = connectionManager.getBean(ManagedSelector.class);
        selector.submit(first -> selector.submit(second -> selector.submit(third -> done.countDown())));
        done.await();
    }

    /** Returns once all tasks submitted to the pool have run, except the selector's. */
    private void awaitPoolIdle() throws Exception {
        CyclicBarrier allThreads = new CyclicBarrier(POOL_THREADS - 1);
        List<Future<Integer>> tasks = new ArrayList<>();
        for (int k = 0; k < POOL_THREADS - 1; k++) {
            tasks.add(pool.submit(() -> allThreads.await()));
        }
        for (Future<Integer> task : tasks) {
            task.get();
        }
    }

    private static boolean isEnded(Socket socket) {
        try {
            return socket.getInputStream().read() < 0;
        } catch (IOException e) {
            return true; // reset
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
