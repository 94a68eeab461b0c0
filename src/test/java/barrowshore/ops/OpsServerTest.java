package barrowshore.ops;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.status.SchedulerMetrics;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The ops server alone, on a loopback socket, with a scheduler that is not ready and refuses every order. */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class OpsServerTest {
    private static final OpsServer.SchedulerControl REFUSING_CONTROL = new OpsServer.SchedulerControl() {
        @Override
        public boolean isReady() {
            return false;
        }

        @Override
        public SchedulerMetrics metrics() {
            return new SchedulerMetrics(
                    false, List.of(new SchedulerMetrics.ClassCounts("soup", 812, 3, 1)), 820, 14, 5, 2, 1, 4);
        }

        @Override
        public boolean drain() {
            return false;
        }

        @Override
        public boolean activate() {
            return false;
        }
    };

    /** Timers that never fire, so that no connection is closed by a time limit. */
    private static final class StoppedTimers extends AbstractLifeCycle implements Scheduler {
        @Override
        public Task schedule(Runnable run, long delay, TimeUnit unit) {
            return () -> true;
        }
    }

    private final Scheduler timers = new StoppedTimers();
    private final List<Socket> sockets = new ArrayList<>();
    private OpsServer server;

    @BeforeEach
    void startServer() throws Exception {
        server = new OpsServer(
                ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)),
                timers,
                REFUSING_CONTROL);
    }

    @AfterEach
    void stopServer() throws Exception {
        for (Socket socket : sockets) {
            socket.close();
        }
        server.stop();
    }

    private Socket send(String bytes) throws Exception {
        Socket socket =
                new Socket(server.address().getAddress(), server.address().getPort());
        sockets.add(socket);
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    private static String readAnswer(Socket socket) throws Exception {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    @Test
    void metricsAreListedOnePerLine() throws Exception {
        assertThat(readAnswer(send("GET /v1/metrics HTTP/1.1\r\nHost: x\r\n\r\n")))
                .endsWith("\r\n\r\n"
                        + "svc.passed.soup=812\nsvc.dropped.soup=3\nsvc.bad_gateway.soup=1\nsvc.upstream_tries=820\n"
                        + "svc.in_progress=14\nsvc.known_workers=5\nsvc.skipped_workers=2\n"
                        + "svc.loads=1\nsvc.load_errors=4\n");
    }

    @Test
    void refusalsAreAnswered503And409() throws Exception {
        assertThat(readAnswer(send("GET /v1/readyz HTTP/1.0\r\n\r\n"))).startsWith("HTTP/1.1 503 ");
        assertThat(readAnswer(send("POST /v1/scheduler/drain HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}")))
                .startsWith("HTTP/1.1 409 ");
        assertThat(readAnswer(send("POST /v1/scheduler/activate HTTP/1.1\r\nHost: x\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")))
                .startsWith("HTTP/1.1 409 ");
    }

    /** 200 callers with incomplete requests, more than the server has descriptors, must not delay the next caller. */
    @Test
    void incompleteCallsDoNotBlockOthers() throws Exception {
        for (int i = 0; i < 200; i++) {
            send(i % 2 == 0 ? "" : "GET /v1/metr");
        }
        assertThat(readAnswer(send("GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")))
                .startsWith("HTTP/1.1 503 ");
    }

    @Test
    void oversizedCallsAreRejected() throws Exception {
        assertThat(readAnswer(send("GET /" + "x".repeat(5000) + " HTTP/1.1\r\n")))
                .startsWith("HTTP/1.1 414 ");
        assertThat(readAnswer(send("POST /v1/scheduler/drain HTTP/1.1\r\nHost: x\r\nContent-Length: 9000\r\n\r\n"
                        + "x".repeat(5000))))
                .startsWith("HTTP/1.1 413 ");
    }
}
