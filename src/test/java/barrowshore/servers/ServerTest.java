package barrowshore.servers;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.list.ServerList;
import barrowshore.memory.CountedBytes;
import barrowshore.memory.MemoryBudget;
import barrowshore.module.DispatchApi.Load;
import barrowshore.module.DispatchApi.Note;
import barrowshore.module.DispatchApi.Status;
import barrowshore.net.ConnectionManager;
import barrowshore.net.HeldSelector;
import barrowshore.net.HttpText;
import barrowshore.request.JobRequest;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * What happens to an attempt if its server, client or connection goes away before it is sent. The selector is held, so
 * that a connection is established in the kernel while the program doesn't know it yet.
 */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ServerTest {
    private final ExecutorService pool = Executors.newFixedThreadPool(4);
    private final Scheduler timers = new ScheduledExecutorScheduler("timers", true, 1);
    private HeldSelector heldSelector;
    private ConnectionManager connectionManager;
    private ServerSocket serverSocket;
    private Server server;

    /** An attempt as the module actor would submit it; records its outcome. */
    private static final class TestAttempt implements Server.Attempt {
        final CompletableFuture<Status> endStatus = new CompletableFuture<>();
        private final String id;
        private volatile boolean mayBegin = true;
        /** Whether client checks wait in {@link #pendingChecks} for the test to run them. */
        private volatile boolean clientCheckHeld;

        private final BlockingQueue<Runnable> pendingChecks = new LinkedBlockingQueue<>();
        /** Runs within {@link #ended}, on the thread of the server's actor. */
        private volatile Runnable onEnded = () -> {};

        TestAttempt(String id) {
            this.id = id;
        }

        @Override
        public JobRequest request() {
            return new JobRequest(
                    id,
                    0,
                    -1,
                    1,
                    0,
                    Long.MAX_VALUE,
                    JobRequest.NO_REPEAT_LIMIT,
                    "POST",
                    "/menu",
                    null,
                    CountedBytes.uncounted(new byte[] {'a'}));
        }

        @Override
        public long timeLeftMicros() {
            return 1_000_000;
        }

        @Override
        public boolean maySend() {
            return mayBegin;
        }

        @Override
        public void checkClient(Runnable then) {
            if (clientCheckHeld) {
                pendingChecks.add(then);
            } else {
                then.run();
            }
        }

        @Override
        public void requestWritten() {}

        @Override
        public void noteReceived(Note note, double share) {}

        @Override
        public void ended(Status status, Load load, CountedBytes result) {
            onEnded.run();
            endStatus.complete(status);
        }
    }

    @BeforeEach
    void start() throws Exception {
        timers.start();
        connectionManager = new ConnectionManager(pool, timers, 50, 1, 10_000, endPoint -> null);
        connectionManager.start();
        serverSocket = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        // Messages run on the poster's stack, in the order of the test's calls.
        server = new Server(
                "s-1", Runnable::run, connectionManager, timers, 60_000_000, 1, new MemoryBudget(1 << 20, 4));
        updateState(ServerList.State.READY);
    }

    @AfterEach
    void stop() throws Exception {
        releaseSelector();
        serverSocket.close();
        LifeCycle.stop(connectionManager);
        LifeCycle.stop(timers);
        pool.shutdownNow();
    }

    private void updateState(ServerList.State state) {
        server.update(entry(state, 1));
    }

    private ServerList.Entry entry(ServerList.State state, long bootMicros) {
        InetSocketAddress address = (InetSocketAddress) serverSocket.getLocalSocketAddress();
        return new ServerList.Entry("s-1", "", address, 0, 0, 0, state, 1, bootMicros);
    }

    private void holdSelector() throws InterruptedException {
        heldSelector = new HeldSelector(connectionManager);
    }

    private void releaseSelector() {
        if (heldSelector != null) {
            heldSelector.release();
        }
    }

    /** Lets the connection come up, stops the connection manager, and returns all bytes sent on the connection. */
    private byte[] bytesSentAfterRelease() throws Exception {
        try (Socket accepted = serverSocket.accept()) {
            heldSelector.release();
            LifeCycle.stop(connectionManager);
            return accepted.getInputStream().readAllBytes();
        }
    }

    @Test
    void attemptAwaitingConnectionIsNotSentToTerminatingServer() throws Exception {
        holdSelector();
        TestAttempt attempt = new TestAttempt("a1");
        server.send(attempt);
        updateState(ServerList.State.TERMINATING);
        heldSelector.release();
        assertThat(attempt.endStatus.get()).isEqualTo(Status.NOT_SENT);
        assertThat(bytesSentAfterRelease()).isEmpty();
    }

    @Test
    void attemptAwaitingConnectionIsNotSentToUnlistedServer() throws Exception {
        holdSelector();
        TestAttempt attempt = new TestAttempt("a1");
        server.send(attempt);
        server.markUnlisted();
        heldSelector.release();
        assertThat(attempt.endStatus.get()).isEqualTo(Status.NOT_SENT);
        assertThat(bytesSentAfterRelease()).isEmpty();
    }

    /** As when the client has left; this doesn't depend on whether the settings allow attempts to be cancelled once sent. */
    @Test
    void cancelledAttemptIsNotSent() throws Exception {
        holdSelector();
        TestAttempt attempt = new TestAttempt("a1");
        server.send(attempt);
        server.cancelIfUnsent(attempt);
        assertThat(attempt.endStatus.get()).as("at once").isEqualTo(Status.NOT_SENT);
        try (Socket accepted = serverSocket.accept()) {
            heldSelector.release();
            // Only one connection is allowed: it carries the cancelled attempt or one of these. Each waits for the end
            // of the previous one, since a mailbox that is never empty would run on its own stack without end.
            for (int k = 0; accepted.getInputStream().available() == 0; k++) {
                TestAttempt next = new TestAttempt("next" + k);
                server.send(next);
                while (accepted.getInputStream().available() == 0 && !next.endStatus.isDone()) {
                    Thread.onSpinWait();
                }
            }
            byte[] head = new byte[200];
            int read = accepted.getInputStream().read(head);
            assertThat(new String(head, 0, read, StandardCharsets.ISO_8859_1)).contains("X-Request-ID: next");
        }
    }

    @Test
    void attemptAlreadySentIsNotCancelled() throws Exception {
        TestAttempt attempt = new TestAttempt("a1");
        server.send(attempt);
        try (Socket accepted = serverSocket.accept()) {
            assertThat(HttpText.firstLine(accepted.getInputStream())).isEqualTo("POST /menu HTTP/1.1");
            server.cancelIfUnsent(attempt);
            accepted.getOutputStream()
                    .write(("HTTP/1.1 200 OK\r\nContent-Length: 43\r\n\r\n"
                                    + "{\"id\":\"a1\",\"state\":\"done\",\"result\":\"one\"} \n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            assertThat(attempt.endStatus.get()).isEqualTo(Status.OK);
        }
    }

    /** The deadline, or the window in which a repeat is harmless, passed before the connection was established. */
    @Test
    void attemptThatMayNoLongerBeginIsNotSent() throws Exception {
        holdSelector();
        TestAttempt attempt = new TestAttempt("a1");
        server.send(attempt);
        attempt.mayBegin = false;
        heldSelector.release();
        assertThat(attempt.endStatus.get()).isEqualTo(Status.NOT_SENT);
        assertThat(bytesSentAfterRelease()).isEmpty();
    }

    /** The server's end of a connection that served one attempt; the next has reserved it, its client check is pending. */
    private Socket reusedConnectionFor(TestAttempt next) throws Exception {
        TestAttempt first = new TestAttempt("a1");
        server.send(first);
        Socket accepted = serverSocket.accept();
        assertThat(HttpText.head(accepted.getInputStream())).contains("X-Request-ID: a1");
        accepted.getInputStream().read();
        accepted.getOutputStream()
                .write(("HTTP/1.1 200 OK\r\nContent-Length: 43\r\n\r\n"
                                + "{\"id\":\"a1\",\"state\":\"done\",\"result\":\"one\"} \n")
                        .getBytes(StandardCharsets.ISO_8859_1));
        assertThat(first.endStatus.get()).isEqualTo(Status.OK);
        next.clientCheckHeld = true;
        server.send(next);
        return accepted;
    }

    @Test
    void nothingIsSentToServerThatTerminatesDuringClientCheck() throws Exception {
        TestAttempt next = new TestAttempt("a2");
        try (Socket accepted = reusedConnectionFor(next)) {
            Runnable clientIsThere = next.pendingChecks.take();
            updateState(ServerList.State.TERMINATING);
            clientIsThere.run();
            assertThat(next.endStatus.get()).isEqualTo(Status.NOT_SENT);
            assertThat(accepted.getInputStream().readAllBytes()).isEmpty();
        }
    }

    /** The idle connection dates from before the server's restart. */
    @Test
    void serverThatRestartsDuringClientCheckGetsRequestOnNewConnection() throws Exception {
        TestAttempt next = new TestAttempt("a2");
        try (Socket accepted = reusedConnectionFor(next)) {
            Runnable clientIsThere = next.pendingChecks.take();
            server.update(entry(ServerList.State.READY, 2));
            clientIsThere.run();
            assertThat(accepted.getInputStream().readAllBytes()).isEmpty();
            try (Socket newSocket = serverSocket.accept()) {
                next.pendingChecks.take().run();
                assertThat(HttpText.head(newSocket.getInputStream())).contains("X-Request-ID: a2");
            }
        }
    }

    @Test
    void idleConnectionThatEndsDuringClientCheckIsReplaced() throws Exception {
        TestAttempt next = new TestAttempt("a2");
        try (Socket accepted = reusedConnectionFor(next)) {
            Runnable clientIsThere = next.pendingChecks.take();
            accepted.shutdownOutput();
            try (Socket newSocket = serverSocket.accept()) {
                clientIsThere.run(); // the check belongs to the closed connection
                next.pendingChecks.take().run();
                assertThat(HttpText.head(newSocket.getInputStream())).contains("X-Request-ID: a2");
                assertThat(newSocket.getInputStream().read()).isEqualTo('a');
                assertThat(newSocket.getInputStream().available()).as("once").isZero();
            }
        }
    }

    /** Reported before the close, a retry could overtake it and run as a second copy where the settings allow none. */
    @Test
    void answerToAnotherRequestClosesConnectionBeforeAttemptEnds() throws Exception {
        TestAttempt attempt = new TestAttempt("a1");
        CompletableFuture<Boolean> closed = new CompletableFuture<>();
        server.send(attempt);
        try (Socket accepted = serverSocket.accept()) {
            InputStream in = accepted.getInputStream();
            assertThat(HttpText.firstLine(in)).isEqualTo("POST /menu HTTP/1.1");
            in.skipNBytes(in.available());
            accepted.setSoTimeout(2_000);
            attempt.onEnded = () -> closed.complete(isAtEnd(in));
            accepted.getOutputStream()
                    .write(("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                    + "2b\r\n{\"id\":\"b2\",\"state\":\"done\",\"result\":\"one\"} \n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            assertThat(attempt.endStatus.get()).isEqualTo(Status.RESET);
            assertThat(closed.get()).isTrue();
        }
    }

    /** Whether the stream ends before the socket's read timeout. */
    private static boolean isAtEnd(InputStream in) {
        try {
            int b = in.read();
            while (b >= 0) {
                b = in.read();
            }
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true; // reset
        }
    }
}
