package barrowshore.node;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.config.Config;
import barrowshore.operator.OperatorSettings;
import barrowshore.operator.SchedulerConfig;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a SIGTERM during the start that leaves accepted clients without an answer. */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ShutdownTest {
    @Test
    void aProcessToldToEndWhileStartingAnswersItsClients() throws Exception {
        try (ServerSocket discovery = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            String config = Files.readString(Path.of("src/test/resources/exchanges/config.json"))
                    .replace("$D", "127.0.0.1:" + discovery.getLocalPort())
                    .replace("$S", "127.0.0.1:9")
                    .replace("\"deadline\":5000000", "\"deadline\":300000");
            CompletableFuture<JobScheduler> started = new CompletableFuture<>();
            CompletableFuture<Integer> exitCode = new CompletableFuture<>();
            Thread shutdown = new Thread(JobScheduler.shutdownTask(started, exitCode::complete));
            shutdown.start();
            JobScheduler scheduler =
                    JobScheduler.start(new SchedulerConfig(Config.parse(config), OperatorSettings.NONE));
            try (Socket client = new Socket(
                    InetAddress.getLoopbackAddress(), scheduler.address().getPort())) {
                started.complete(scheduler);
                client.getOutputStream()
                        .write(("POST /order HTTP/1.1\r\nHost: x\r\nX-Request-ID: a1\r\n"
                                        + "X-Priority-Class: order\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 300\r\n"
                                        + "Content-Length: 0\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
                InputStream in = client.getInputStream();
                assertThat(new String(in.readNBytes(12), StandardCharsets.ISO_8859_1))
                        .isEqualTo("HTTP/1.1 503");
                in.readAllBytes();
            } finally {
                assertThat(exitCode.get()).isEqualTo(0);
                shutdown.join();
                scheduler.stop();
            }
        }
    }

    @Test
    void aFailedStartDoesNotHaltTheProcess() throws Exception {
        CompletableFuture<JobScheduler> started = new CompletableFuture<>();
        CompletableFuture<Integer> exitCode = new CompletableFuture<>();
        Thread shutdown = new Thread(JobScheduler.shutdownTask(started, exitCode::complete));
        shutdown.start();
        started.completeExceptionally(new IllegalStateException("broken on purpose"));
        shutdown.join();
        assertThat(exitCode).isNotDone();
    }
}
