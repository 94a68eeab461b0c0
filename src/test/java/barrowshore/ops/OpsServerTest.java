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

/** The door by itself, on a loopback socket, with a desk that always says no. */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class OpsServerTest {
    private static final OpsServer.SchedulerControl DESK = new OpsServer.SchedulerControl() {
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

    /** Time stands still: what is given up here is not given up for its time. */
    private static final class NoTime extends AbstractLifeCycle implements Scheduler {
        @Override
        public Task schedule(Runnable run, long delay, TimeUnit unit) {
            return () -> true;
        }
    }

    private final Scheduler timers = new NoTime();
    private final List<Socket> callers = new ArrayList<>();
    private OpsServer door;

    @BeforeEach
    void open() throws Exception {
        door = new OpsServer(
                ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)),
                timers,
                DESK);
    }

    @AfterEach
    void close() throws Exception {
        for (Socket caller : callers) {
            caller.close();
        }
        door.stop();
    }

    private Socket call(String bytes) throws Exception {
        Socket caller = new Socket(door.address().getAddress(), door.address().getPort());
        callers.add(caller);
        caller.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        return caller;
    }

    private static String answer(Socket caller) throws Exception {
        return new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    @Test
    void figuresStandOneALineUnderTheirNames() throws Exception {
        assertThat(answer(call("GET /v1/metrics HTTP/1.1\r\nHost: x\r\n\r\n")))
                .endsWith("\r\n\r\n"
                        + "svc.passed.soup=812\nsvc.dropped.soup=3\nsvc.bad_gateway.soup=1\nsvc.upstream_tries=820\n"
                        + "svc.in_progress=14\nsvc.known_workers=5\nsvc.skipped_workers=2\n"
                        + "svc.loads=1\nsvc.load_errors=4\n");
    }

    @Test
    void whatTheDeskDeniesIsNoYes() throws Exception {
        assertThat(answer(call("GET /v1/readyz HTTP/1.0\r\n\r\n"))).startsWith("HTTP/1.1 503 ");
        assertThat(answer(call("POST /v1/scheduler/drain HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}")))
                .startsWith("HTTP/1.1 409 ");
        assertThat(answer(call("POST /v1/scheduler/activate HTTP/1.1\r\nHost: x\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")))
                .startsWith("HTTP/1.1 409 ");
    }

    /** Two hundred that finish nothing, more than it has descriptors for, and the next is answered without time passing. */
    @Test
    void callersThatFinishNothingKeepNobodyOut() throws Exception {
        for (int k = 0; k < 200; k++) {
            call(k % 2 == 0 ? "" : "GET /v1/metr");
        }
        assertThat(answer(call("GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n"))).startsWith("HTTP/1.1 503 ");
    }

    @Test
    void whatIsTooLongIsRefused() throws Exception {
        assertThat(answer(call("GET /" + "x".repeat(5000) + " HTTP/1.1\r\n"))).startsWith("HTTP/1.1 414 ");
        assertThat(answer(call("POST /v1/scheduler/drain HTTP/1.1\r\nHost: x\r\nContent-Length: 9000\r\n\r\n"
                        + "x".repeat(5000))))
                .startsWith("HTTP/1.1 413 ");
    }
}
