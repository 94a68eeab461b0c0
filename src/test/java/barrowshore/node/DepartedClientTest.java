package barrowshore.node;

import static barrowshore.node.SchedulerUnderLoad.done;
import static barrowshore.node.SchedulerUnderLoad.header;
import static barrowshore.node.SchedulerUnderLoad.readHead;
import static barrowshore.node.SchedulerUnderLoad.requestText;
import static barrowshore.node.SchedulerUnderLoad.send;
import static barrowshore.node.SchedulerUnderLoad.startThread;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against an id that runs twice because it comes again after its client has left and thousands of other jobs have
 * run: a real process, and the workers count.
 */
@Timeout(value = 90, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class DepartedClientTest {
    private static final int DEADLINE_MILLIS = 5_000, OTHER_CLIENTS = 40, OTHER_JOBS_THAT_RUN = 4_000;
    private static final String DEPARTED_ID = "departed";

    @TempDir
    private Path folder;

    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final AtomicInteger requestCount = new AtomicInteger();
    private SchedulerUnderLoad scheduler;

    @AfterEach
    void stop() throws Exception {
        scheduler.stop();
    }

    @Test
    void idOfADepartedClientRunsOnceBesideThousandsOfOthers() throws Exception {
        scheduler = new SchedulerUnderLoad(folder);
        scheduler.start(connection -> scheduler.serve(connection, 0, id -> {
            runs.merge(id, 1, Integer::sum);
            return done(id, "ok");
        }));
        try (Socket client = scheduler.connect()) {
            send(client, job(DEPARTED_ID));
            while (!runs.containsKey(DEPARTED_ID)) {
                Thread.onSpinWait();
            }
        }
        List<Thread> others = IntStream.range(0, OTHER_CLIENTS)
                .mapToObj(k -> startThread(this::runOthers))
                .toList();
        for (Thread other : others) {
            other.join();
        }
        assertThat(runs.size()).as("ids that have run").isGreaterThan(OTHER_JOBS_THAT_RUN);
        try (Socket client = scheduler.connect()) {
            send(client, job(DEPARTED_ID));
            assertThat(readHead(client.getInputStream())).startsWith("HTTP/1.1 409 ");
        }
        assertThat(runs).containsEntry(DEPARTED_ID, 1);
    }

    private void runOthers() {
        while (runs.size() <= OTHER_JOBS_THAT_RUN) {
            try (Socket client = scheduler.connect()) {
                String answer = "HTTP/1.1 200";
                while (answer.startsWith("HTTP/1.1 200") && runs.size() <= OTHER_JOBS_THAT_RUN) {
                    send(client, job("other" + requestCount.incrementAndGet()));
                    answer = readHead(client.getInputStream());
                    client.getInputStream().skipNBytes(Integer.parseInt("0" + header(answer, "Content-Length")));
                }
            } catch (IOException e) {
                continue; // turned down: the next one gets another connection
            }
        }
    }

    private static String job(String id) {
        return requestText(id, DEADLINE_MILLIS, "", "Content-Length: 1", "x");
    }
}
