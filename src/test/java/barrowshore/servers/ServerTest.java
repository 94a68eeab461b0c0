package barrowshore.servers;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.list.ServerList;
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
 * What becomes of a request whose connection to its server is still coming up as something ends. The selector is held, so
 * that the connection is up for the kernel and not yet for us, each time.
 */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ServerTest {
    private final ExecutorService pool = Executors.newFixedThreadPool(4);
    private final Scheduler timers = new ScheduledExecutorScheduler("timers", true, 1);
    private HeldSelector heldSelector;
    private ConnectionManager connectionManager;
    private ServerSocket serverSocket;
    private Server server;

    /** One attempt, as the module's actor would hand it on. */
    private static final class TestAttempt implements Server.Attempt {
        final CompletableFuture<Status> endStatus = new CompletableFuture<>();
        private final String id;
        private volatile boolean mayBegin = true;
        /** Whether it is for the test to say when it is known that its client is there. */
        private volatile boolean clientCheckHeld;

        private final BlockingQueue<Runnable> pendingChecks = new LinkedBlockingQueue<>();
        /** Run as its end is told, in the server's own turn. */
        private volatile Runnable onEnded = () -> {};

        TestAttempt(String id) {
            this.id = id;
        }

        @Override
        public JobRequest request() {
            return new JobRequest(
                    id, 0, -1, 1, 0, Long.MAX_VALUE, JobRequest.NO_REPEAT_LIMIT, "POST", "/menu", null, new byte[] {'a'
                    });
        }

        @Override
        public long timeLeftMicros() {
            return 1_000_000;
        }

        @Override
        public boolean mayBegin() {
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
        public void ended(Status status, Load load, byte[] result) {
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
        // Messages run in the poster's stack: in the order in which the test does things.
        server = new Server("s-1", Runnable::run, connectionManager, timers, 60_000_000, 1);
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

    /** The connection comes up now; what it carries, up to its end, if nothing but the connection's own end is to come. */
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
        server.unlisted();
        heldSelector.release();
        assertThat(attempt.endStatus.get()).isEqualTo(Status.NOT_SENT);
        assertThat(bytesSentAfterRelease()).isEmpty();
    }

    /** As for a client that has gone, whether or not the settings let what has begun be called off. */
    @Test
    void cancelledAttemptIsNotSent() throws Exception {
        holdSelector();
        TestAttempt attempt = new TestAttempt("a1");
        server.send(attempt);
        server.cancelIfUnsent(attempt);
        assertThat(attempt.endStatus.get()).as("at once").isEqualTo(Status.NOT_SENT);
        try (Socket accepted = serverSocket.accept()) {
            heldSelector.release();
            // There is one connection at most: once it is up it carries the one withdrawn, or else one of these.
            // Each waits for the end of the one before: a mailbox that is never empty would run in its own stack.
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

    /** Its time, or that in which a repeat does no harm, was up before the connection was. */
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

    /** The connection at the worker, once an attempt has gone over it, and the next has taken it and checks its client. */
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

    /** The connection is one to its former life. */
    @Test
    void serverThatRestartsDuringClientCheckGetsRequestOnNewConnection() throws Exception {
        TestAttempt next = new TestAttempt("a2");
        try (Socket accepted = reusedConnectionFor(next)) {
            Runnable clientIsThere = next.pendingChecks.take();
            server.update(entry(ServerList.State.READY, 2));
            clientIsThere.run();
            assertThat(accepted.getInputStream().readAllBytes()).isEmpty();
            try (Socket fresh = serverSocket.accept()) {
                next.pendingChecks.take().run();
                assertThat(HttpText.head(fresh.getInputStream())).contains("X-Request-ID: a2");
            }
        }
    }

    @Test
    void idleConnectionThatEndsDuringClientCheckIsReplaced() throws Exception {
        TestAttempt next = new TestAttempt("a2");
        try (Socket accepted = reusedConnectionFor(next)) {
            Runnable clientIsThere = next.pendingChecks.take();
            accepted.shutdownOutput();
            try (Socket fresh = serverSocket.accept()) {
                clientIsThere.run(); // said for the connection that has ended
                next.pendingChecks.take().run();
                assertThat(HttpText.head(fresh.getInputStream())).contains("X-Request-ID: a2");
                assertThat(fresh.getInputStream().read()).isEqualTo('a');
                assertThat(fresh.getInputStream().available()).as("once").isZero();
            }
        }
    }

    /** Told before the close, its repeat could overtake it, and be a second copy where settings allow none. */
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

    /** Whether the stream is at its end; a limit that runs out says that it is not. */
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
            return true; // a reset ends it too
        }
    }
}
