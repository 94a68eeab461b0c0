package barrowshore.standin;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.operator.OperatorSettings;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A hall crashes and restarts twice, with real schedulers on loopback. Every job must get one answer, no at-most-once job
 * may run twice as jobs move to the other hall, and no cold worker may fail from overload. Nothing waits by the clock:
 * the phases last for a number of jobs.
 */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class HallMoveTest {
    private static final int CLIENTS = 6;

    private final AtomicInteger lastJobNumber = new AtomicInteger();
    private final Map<String, String> answers = new ConcurrentHashMap<>();

    /** Sends a job over a connection of its own and returns the whole answer. */
    private String sendJob(InetSocketAddress address, String className, String id) throws Exception {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.getOutputStream()
                    .write(("POST /" + className + "?work=40 HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + id
                                    + "\r\nX-Priority-Class: " + className
                                    + "\r\nX-Timeout-Ms: 3000\r\nContent-Length: 1\r\n"
                                    + "Connection: close\r\n\r\nx")
                            .getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = socket.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    /** Sends so many jobs, alternating in pairs between the schedulers, a few at a time, and waits for the answers. */
    private void sendJobs(StandInSite site, int count) throws Exception {
        ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
        List<Future<?>> sent = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            sent.add(clients.submit(() -> {
                int number = lastJobNumber.incrementAndGet();
                String className = StandInConfig.CLASSES.get(number % 2), id = className + "-" + number;
                String previousAnswer = answers.put(id, sendJob(site.clientAddress(number / 2 % 2), className, id));
                assertThat(previousAnswer).isNull();
                return null;
            }));
        }
        for (Future<?> job : sent) {
            job.get();
        }
        clients.shutdown();
    }

    @Test
    void everyJobIsAnsweredAndNoAtMostOnceJobRunsTwiceWhileAHallFlaps() throws Exception {
        try (StandInSite site = new StandInSite(3, new OperatorSettings(OperatorSettings.HallSettings.defaults()))) {
            site.awaitReady();
            sendJobs(site, 60);
            for (int flap = 0; flap < 2; flap++) {
                site.crashHall(0);
                sendJobs(site, 120);
                site.restartHall(0);
                sendJobs(site, 300);
            }
            List<StandInWorker.Counters> workerCounters = site.workerCounters();
            assertThat(answers)
                    .hasSize(lastJobNumber.get())
                    .allSatisfy((id, answer) -> assertThat(answer).as(id).matches("(?s)HTTP/1.1 (200|502|503|504) .*"));
            assertThat(answers.values())
                    .filteredOn(a -> a.startsWith("HTTP/1.1 503"))
                    .allMatch(a -> a.contains("Retry-After"));
            assertThat(workerCounters)
                    .noneMatch(StandInWorker.Counters::failedFromOverload)
                    .allMatch(c -> c.coldBudgetUsed() < 1);
            Map<String, Integer> startsByJobId = new ConcurrentHashMap<>();
            workerCounters.forEach(
                    c -> c.startsByJobId().forEach((id, starts) -> startsByJobId.merge(id, starts, Integer::sum)));
            assertThat(startsByJobId).allSatisfy((id, starts) -> {
                if (id.startsWith("objednavka")) {
                    assertThat(starts).as(id).isEqualTo(1);
                }
            });
            // Each served job ran, and most are served, as one hall is always up.
            answers.forEach((id, answer) -> {
                if (answer.startsWith("HTTP/1.1 200")) {
                    assertThat(startsByJobId).containsKey(id);
                }
            });
            assertThat(answers.values())
                    .filteredOn(a -> a.startsWith("HTTP/1.1 200"))
                    .hasSizeGreaterThan(600);
        }
    }
}
