package barrowshore.node;

import static barrowshore.node.SchedulerUnderLoad.done;
import static barrowshore.node.SchedulerUnderLoad.readHead;
import static barrowshore.node.SchedulerUnderLoad.requestText;
import static barrowshore.node.SchedulerUnderLoad.send;
import static barrowshore.node.SchedulerUnderLoad.startThread;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.condition.EnabledOnOs;
import org.junit.jupiter.api.condition.OS;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a process that passes its memory limit, or answers its usual clients late or never, because of bad clients:
 * hundreds that write slowly, stop half way, send heads of very many short fields or more than anybody reads, or a single
 * one that sends small or unsound requests at full speed. What the system keeps unread for the process counts as its memory.
 */
@EnabledOnOs(OS.LINUX)
@Timeout(value = 90, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class BadClientsTest {
    private static final int MANY = 400, USUAL_CLIENTS = 4;
    private static final int REQUESTS_PER_USUAL_CLIENT = 10, REQUESTS_AFTERWARDS = 10;
    private static final int BODY_BYTES = 65_000;
    private static final int DEADLINE_MILLIS = 5_000, ANSWER_TIMEOUT_MILLIS = 20_000;
    private static final long SERVICE_MILLIS = 50, BETWEEN_SLOW_PIECES_MILLIS = 50;

    private static final String LENGTH = "Content-Length: " + BODY_BYTES;
    private static final String CHUNKED = "Transfer-Encoding: chunked";

    /** How often a bad client sends its piece. */
    private enum Pace {
        ONCE,
        SLOWLY,
        AT_FULL_SPEED
    }

    /** What bad clients do: each sends the beginning of a request, if any, and then pieces. */
    private enum Trouble {
        SLOW_BODIES(MANY, Pace.SLOWLY, LENGTH, "", "b".repeat(1_000)),
        SLOW_SMALL_CHUNKS(MANY, Pace.SLOWLY, CHUNKED, "", "1\r\na\r\n".repeat(20)),
        HALF_BODIES(MANY, Pace.ONCE, LENGTH, "b".repeat(BODY_BYTES / 2), ""),
        HALF_OF_CHUNKS(MANY, Pace.ONCE, CHUNKED, "10\r\n0123456789abcdef\r\n".repeat(BODY_BYTES / 32), ""),
        SHORT_FIELDS(MANY, Pace.ONCE, "a:\r\n".repeat(3_800) + "Content-Length: 0", "", ""),
        SLOW_SHORT_FIELDS(MANY, Pace.SLOWLY, null, "", "a:\r\n".repeat(100)),
        /** A job, and behind it without end what nobody wants. */
        FLOODS(MANY, Pace.AT_FULL_SPEED, "Content-Length: 0", "", "x".repeat(60_000)),
        ENDLESS_CHUNK_EXTENSIONS(MANY, Pace.AT_FULL_SPEED, CHUNKED, "1;", "x".repeat(60_000)),
        ONE_WITH_SMALL_JOBS(1, Pace.AT_FULL_SPEED, "Content-Length: 0", "", "$JOB".repeat(8)),
        ONE_WITH_READINESS_CALLS(
                1, Pace.AT_FULL_SPEED, null, "", "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n".repeat(50)),
        ONE_WITH_UNSOUND_REQUESTS(1, Pace.AT_FULL_SPEED, null, "", "no such thing\r\n\r\n".repeat(100)),
        ONE_WITH_EMPTY_LINES(1, Pace.AT_FULL_SPEED, null, "", "\r\n".repeat(1_000)),
        ONE_WITH_NEW_NAMES(1, Pace.AT_FULL_SPEED, null, "", "N$N /c$N HTTP/1.1\r\nHost: h$N\r\nX-$N: $N\r\n\r\n");

        final int clients;
        final Pace pace;
        /** The headers that tell a job's length, behind all others; null: no job comes first. */
        final String lastHeaders;

        final String body;
        final String piece;

        Trouble(int clients, Pace pace, String lastHeaders, String body, String piece) {
            this.clients = clients;
            this.pace = pace;
            this.lastHeaders = lastHeaders;
            this.body = body;
            this.piece = piece;
        }
    }

    @TempDir
    private Path folder;

    private final ScheduledExecutorService slowWriters = Executors.newScheduledThreadPool(4);
    private final AtomicInteger requestCount = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicLong peakMemoryMib = new AtomicLong();
    private final CountDownLatch allStarted = new CountDownLatch(1);
    private final AtomicBoolean troubleOver = new AtomicBoolean();
    private SchedulerUnderLoad scheduler;

    @AfterEach
    void stop() throws Exception {
        slowWriters.shutdownNow();
        scheduler.stop();
    }

    @ParameterizedTest
    @EnumSource(Trouble.class)
    void usualClientsAreServedAndTheMemoryLimitIsKept(Trouble trouble) throws Exception {
        scheduler = new SchedulerUnderLoad(folder);
        scheduler.start(connection -> scheduler.serve(connection, SERVICE_MILLIS, id -> done(id, "ok")));
        List<Thread> badClients = IntStream.range(0, trouble.clients)
                .mapToObj(k -> startThread(() -> {
                    awaitAllStarted();
                    while (!troubleOver.get()) {
                        playBadClient(trouble);
                    }
                }))
                .toList();
        List<Thread> usualClients = IntStream.range(0, USUAL_CLIENTS)
                .mapToObj(k -> startThread(() -> {
                    awaitAllStarted();
                    playUsualClient(REQUESTS_PER_USUAL_CLIENT, k == 0);
                }))
                .toList();
        allStarted.countDown();
        for (Thread client : usualClients) {
            client.join();
        }
        troubleOver.set(true);
        assertThat(scheduler.isAlive()).as("the process is alive").isTrue();
        assertThat(unanswered).as("usual requests without an answer").hasValue(0);
        assertThat(served.get()).as("usual requests served meanwhile").isPositive();
        assertThat(peakMemoryMib.get()).as("peak memory, MiB").isLessThan(SchedulerUnderLoad.MEMORY_LIMIT_MIB);
        for (Thread client : badClients) {
            client.join();
        }
        served.set(0);
        playUsualClient(REQUESTS_AFTERWARDS, false);
        assertThat(served).as("usual requests served afterwards").hasValue(REQUESTS_AFTERWARDS);
        assertThat(scheduler.log()).doesNotContain("OutOfMemoryError");
    }

    /** Clients that ran already would keep the others from being started. */
    private void awaitAllStarted() {
        try {
            allStarted.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** samplesMemory: for one client only, as the system's table of connections is long and slow to read. */
    private void playUsualClient(int requests, boolean samplesMemory) {
        for (int k = 0; k < requests; k++) {
            try (Socket client = scheduler.connect()) {
                client.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
                send(client, requestText(newId(), DEADLINE_MILLIS, "", "Content-Length: 1", "x"));
                String answer = readHead(client.getInputStream());
                served.addAndGet(answer.startsWith("HTTP/1.1 200") ? 1 : 0);
                unanswered.addAndGet(answer.isEmpty() ? 1 : 0);
                if (samplesMemory) {
                    peakMemoryMib.accumulateAndGet(scheduler.peakMemoryMib() + scheduler.unreadMib(), Math::max);
                }
            } catch (IOException e) {
                unanswered.incrementAndGet();
            }
        }
    }

    private String newId() {
        return "r" + requestCount.incrementAndGet();
    }

    /** Plays one connection, until the scheduler has closed it. */
    private void playBadClient(Trouble trouble) {
        try (Socket client = scheduler.connect()) {
            client.setSoTimeout(DEADLINE_MILLIS);
            if (trouble.lastHeaders != null) {
                send(client, requestText(newId(), DEADLINE_MILLIS, "", trouble.lastHeaders, trouble.body));
            } else if (trouble.pace == Pace.SLOWLY) {
                send(client, "POST /order HTTP/1.1\r\nHost: x\r\n");
            }
            switch (trouble.pace) {
                case ONCE -> client.getInputStream().transferTo(OutputStream.nullOutputStream());
                case SLOWLY -> sendSlowly(client, trouble);
                case AT_FULL_SPEED -> sendAtFullSpeed(client, trouble);
                default -> throw new IllegalArgumentException("unknown pace: " + trouble.pace);
            }
        } catch (IOException e) {
            return; // rejected and closed: these clients don't count
        }
    }

    private void sendSlowly(Socket client, Trouble trouble) throws IOException {
        byte[] piece = trouble.piece.getBytes(StandardCharsets.ISO_8859_1);
        Future<?> writer = slowWriters.scheduleAtFixedRate(
                () -> {
                    try {
                        client.getOutputStream().write(piece);
                    } catch (IOException e) {
                        throw new IllegalStateException("closed", e); // ends the task
                    }
                },
                0,
                BETWEEN_SLOW_PIECES_MILLIS,
                TimeUnit.MILLISECONDS);
        try {
            client.getInputStream().transferTo(OutputStream.nullOutputStream());
        } finally {
            writer.cancel(true);
        }
    }

    private void sendAtFullSpeed(Socket client, Trouble trouble) throws IOException {
        Thread reader = startThread(() -> {
            try {
                client.getInputStream().transferTo(OutputStream.nullOutputStream());
            } catch (IOException e) {
                return; // closed
            }
        });
        while (reader.isAlive() && !troubleOver.get()) {
            send(client, newNames(trouble.piece));
        }
    }

    /** Replaces the placeholders of a piece: each job, and each name, is new. */
    private String newNames(String piece) {
        String text = piece;
        while (text.startsWith("$JOB")) {
            String job = requestText(newId(), DEADLINE_MILLIS, "", "Content-Length: 1", "x");
            text = text.substring("$JOB".length()) + job;
        }
        return text.contains("$N") ? text.replace("$N", String.valueOf(requestCount.incrementAndGet())) : text;
    }
}
