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

/** What a process owes that is told to end while it still starts. */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ShutdownTest {
    @Test
    void aStartToldToEndStillAnswersWhatHasCome() throws Exception {
        try (ServerSocket discovery = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            String config = Files.readString(Path.of("src/test/resources/exchanges/config.json"))
                    .replace("$D", "127.0.0.1:" + discovery.getLocalPort())
                    .replace("$S", "127.0.0.1:9")
                    .replace("\"deadline\":5000000", "\"deadline\":300000");
            CompletableFuture<JobScheduler> started = new CompletableFuture<>();
            CompletableFuture<Integer> halted = new CompletableFuture<>();
            Thread end = new Thread(JobScheduler.end(started, halted::complete));
            end.start();
            JobScheduler node = JobScheduler.start(new SchedulerConfig(Config.parse(config), OperatorSettings.NONE));
            try (Socket client =
                    new Socket(InetAddress.getLoopbackAddress(), node.address().getPort())) {
                started.complete(node);
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
                assertThat(halted.get()).isEqualTo(0);
                end.join();
                node.stop();
            }
        }
    }

    @Test
    void aStartThatFailsLeavesTheEndToWhoeverBeganIt() throws Exception {
        CompletableFuture<JobScheduler> started = new CompletableFuture<>();
        CompletableFuture<Integer> halted = new CompletableFuture<>();
        Thread end = new Thread(JobScheduler.end(started, halted::complete));
        end.start();
        started.completeExceptionally(new IllegalStateException("broken on purpose"));
        end.join();
        assertThat(halted).isNotDone();
    }
}
