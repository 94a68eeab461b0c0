package barrowshore.node;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.config.Config;
import barrowshore.list.ServerList;
import barrowshore.memory.CountedBytes;
import barrowshore.memory.MemoryBudget;
import barrowshore.module.Dispatcher;
import barrowshore.net.Clock;
import barrowshore.net.ConnectionManager;
import barrowshore.net.HeldSelector;
import barrowshore.net.HttpText;
import barrowshore.request.JobRequest;
import barrowshore.servers.Server;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against sending a request on a connection that comes up too late: after its client has gone, or after its repeat
 * window. The selector is held until then; the settings forbid cancelling attempts that have begun.
 */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class LateConnectionTest {
    private static final long REPEAT_WINDOW_MICROS = 1_000_000;

    private final ExecutorService pool = Executors.newFixedThreadPool(4);
    private final Scheduler timers = new ScheduledExecutorScheduler("timers", true, 1);
    private final AtomicLong nanos = new AtomicLong();
    private final Clock clock = new Clock(1_700_000_000_000L, nanos::get);
    private HeldSelector heldSelector;
    private final ConnectionManager[] connectionManagers = new ConnectionManager[2];
    private final ServerSocket[] workerListeners = new ServerSocket[2];
    private ModuleActor module;

    @BeforeEach
    void start() throws Exception {
        timers.start();
        for (int k = 0; k < 2; k++) {
            connectionManagers[k] = new ConnectionManager(pool, timers, 50, 1, 10_000, endPoint -> null);
            connectionManagers[k].start();
            workerListeners[k] = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
            workerListeners[k].setSoTimeout(1);
        }
        Config config = Config.parse(Files.readString(Path.of("src/test/resources/exchanges/config.json"))
                .replace("$D", "127.0.0.1:9")
                .replace("$S", "127.0.0.1:" + workerListeners[0].getLocalPort())
                .replace("\"cancel\":true", "\"cancel\":false")
                .replace("\"secondCopies\":true", "\"secondCopies\":false")
                .replace(
                        "\"idempotency\":\"idempotent\",\"keyScope\":\"all\",\"repeatWindow\":5000000",
                        "\"idempotency\":\"deduplicated\",\"keyScope\":\"all\",\"repeatWindow\":"
                                + REPEAT_WINDOW_MICROS)
                .replace(
                        "\"all\":true,\"targets\":[",
                        "\"all\":true,\"targets\":[{\"uid\":\"s-2\",\"endpoint\":\"127.0.0.1:"
                                + workerListeners[1].getLocalPort()
                                + "\",\"az\":\"a\",\"model\":\"m\",\"state\":\"Ready\"},"));
        // Actors run in the posting thread, so in the order of the test's calls.
        module = new ModuleActor(
                clock,
                Runnable::run,
                timers,
                config.classes(),
                5,
                uid -> new Server(
                        uid,
                        Runnable::run,
                        connectionManagers[uid.equals("s-1") ? 0 : 1],
                        timers,
                        60_000_000,
                        1,
                        new MemoryBudget(1 << 20, 4)),
                message -> {},
                actions -> new Dispatcher(config.settings(), actions));
        module.start();
        module.updateServers(config.knownServers());
    }

    @AfterEach
    void stop() throws Exception {
        releaseSelector();
        for (int k = 0; k < 2; k++) {
            workerListeners[k].close();
            LifeCycle.stop(connectionManagers[k]);
        }
        LifeCycle.stop(timers);
        pool.shutdownNow();
    }

    /** From now on the kernel establishes connections, but the scheduler does not see them. */
    private void holdSelector(ConnectionManager connectionManager) throws InterruptedException {
        heldSelector = new HeldSelector(connectionManager);
    }

    private void releaseSelector() {
        if (heldSelector != null) {
            heldSelector.release();
        }
    }

    /** Returns the first connection at either server, since the module chooses the server. */
    private Socket acceptFirstConnection() throws IOException {
        for (int k = 0; ; k = 1 - k) {
            try {
                return workerListeners[k].accept();
            } catch (SocketTimeoutException e) {
                continue;
            }
        }
    }

    private JobRequest keyedRequest(String id) {
        return new JobRequest(
                id,
                0,
                0,
                1,
                0,
                clock.micros() + 4_000_000,
                REPEAT_WINDOW_MICROS,
                "POST",
                "/menu",
                "key",
                CountedBytes.uncounted(new byte[] {'a'}));
    }

    @Test
    void aRequestWhoseClientHasGoneIsNotSentOnWhenItsConnectionComesUp() throws Exception {
        module.updateServers(new ServerList.Update(
                6, false, List.of(new ServerList.Entry("s-2", "", null, 0, 0, 0, ServerList.State.TERMINATING, 1, 0))));
        holdSelector(connectionManagers[0]);
        JobRequest request = keyedRequest("gone");
        module.submit(request, answer -> {});
        module.clientGone(request);
        try (Socket accepted = acceptFirstConnection()) {
            heldSelector.release();
            // The server has at most one connection: it carries the request of the gone client, or one of these.
            // Each waits for the answer to the one before: a mailbox that is never empty would recurse on its own
            // stack.
            for (int k = 0; accepted.getInputStream().available() == 0; k++) {
                CompletableFuture<JobRequest.Answer> answer = new CompletableFuture<>();
                module.submit(keyedRequest("a" + k), answer::complete);
                while (accepted.getInputStream().available() == 0 && !answer.isDone()) {
                    Thread.onSpinWait();
                }
            }
            byte[] head = new byte[200];
            int read = accepted.getInputStream().read(head);
            assertThat(new String(head, 0, read, StandardCharsets.ISO_8859_1)).contains("X-Request-ID: a");
        }
    }

    @Test
    void aRepeatIsNotSentOnceItsWindowIsOver() throws Exception {
        CompletableFuture<JobRequest.Answer> answer = new CompletableFuture<>();
        module.submit(keyedRequest("a1"), answer::complete);
        try (Socket first = acceptFirstConnection()) {
            assertThat(HttpText.firstLine(first.getInputStream())).isEqualTo("POST /menu HTTP/1.1");
            holdSelector(connectionManagers[first.getLocalPort() == workerListeners[0].getLocalPort() ? 1 : 0]);
            first.getOutputStream()
                    .write("HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            // The repeat is handed to the server within the window; its connection comes up after it.
            try (Socket second = acceptFirstConnection()) {
                nanos.addAndGet(REPEAT_WINDOW_MICROS * 1000);
                heldSelector.release();
                assertThat(answer.get()).isInstanceOf(JobRequest.Rejection.class);
                LifeCycle.stop(connectionManagers[0]);
                LifeCycle.stop(connectionManagers[1]);
                assertThat(second.getInputStream().readAllBytes()).isEmpty();
            }
        }
    }
}
