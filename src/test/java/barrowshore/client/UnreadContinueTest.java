package barrowshore.client;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.config.Config;
import barrowshore.memory.CountedBytes;
import barrowshore.memory.MemoryBudget;
import barrowshore.net.Clock;
import barrowshore.request.JobRequest;
import barrowshore.status.ServiceState;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against an answer that is written into an unfinished 100 response: the end point takes a few bytes at a time,
 * so the job is answered while the 100 is still being written.
 */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class UnreadContinueTest {
    private static final int OUTPUT_BUFFER_BYTES = 10;

    /** Records the clients of submitted requests and answers none. */
    private static final class RecordingRequestHandler implements JobRequest.RequestHandler {
        final List<JobRequest.Client> clients = new ArrayList<>();

        @Override
        public void submit(JobRequest request, JobRequest.Client client) {
            clients.add(client);
        }

        @Override
        public void clientGone(JobRequest request) {}

        @Override
        public void countRejected(int jobClass) {}

        @Override
        public void checkReady(Consumer<Boolean> asker) {}
    }

    @Test
    void answerFollowsTheUnreadContinue() throws Exception {
        Scheduler timers = new ScheduledExecutorScheduler("timers", true, 1);
        timers.start();
        try {
            Config config = Config.parse(Files.readString(Path.of("src/test/resources/exchanges/config.json"))
                    .replace("$D", "127.0.0.1:9")
                    .replace("$S", "127.0.0.1:9"));
            RecordingRequestHandler requestHandler = new RecordingRequestHandler();
            ClientConnections connections = new ClientConnections(
                    config,
                    Clock.system(),
                    Runnable::run,
                    timers,
                    requestHandler,
                    () -> ServiceState.SERVING,
                    10,
                    new MemoryBudget(1 << 20, 16));
            ByteArrayEndPoint endPoint = new ByteArrayEndPoint(timers, 0, new byte[0], OUTPUT_BUFFER_BYTES);
            Connection connection = connections.accept(endPoint);
            endPoint.setConnection(connection);
            connection.onOpen();
            endPoint.addInput(
                    "POST /menu HTTP/1.1\r\nHost: x\r\nX-Request-ID: a1\r\nX-Priority-Class: menu\r\nX-Tenant-Id: acme\r\n"
                            + "X-Timeout-Ms: 4000\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n");
            endPoint.addInput("x");
            while (requestHandler.clients.isEmpty()) {
                Thread.onSpinWait();
            }
            requestHandler
                    .clients
                    .get(0)
                    .answer(new JobRequest.Served(CountedBytes.uncounted("one".getBytes(StandardCharsets.UTF_8))));
            String output = "";
            while (!output.endsWith("one")) {
                output += endPoint.takeOutputString();
            }
            assertThat(output).startsWith("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n");
        } finally {
            LifeCycle.stop(timers);
        }
    }
}
