package barrowshore.node;

import static barrowshore.node.SchedulerUnderLoad.CHUNKED_RESPONSE_HEAD;
import static barrowshore.node.SchedulerUnderLoad.chunk;
import static barrowshore.node.SchedulerUnderLoad.done;
import static barrowshore.node.SchedulerUnderLoad.header;
import static barrowshore.node.SchedulerUnderLoad.line;
import static barrowshore.node.SchedulerUnderLoad.readHead;
import static barrowshore.node.SchedulerUnderLoad.requestText;
import static barrowshore.node.SchedulerUnderLoad.send;
import static barrowshore.node.SchedulerUnderLoad.startThread;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.condition.EnabledOnOs;
import org.junit.jupiter.api.condition.OS;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against clients and workers filling the heap, after which a scheduler lives on and answers nobody. Many clients
 * make a scheduler in its own process, with the memory limits of the deploy file, hold as much as they can; usual clients
 * must get an answer to each request meanwhile, and results afterwards.
 */
@EnabledOnOs(OS.LINUX)
@Timeout(value = 90, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class MemoryFloodTest {
    private static final int FLOOD_CLIENTS = 320, FLOOD_ROUNDS = 5;
    private static final int USUAL_CLIENTS = 4, REQUESTS_AFTER_FLOOD = 10;
    private static final int KEPT_CONNECTIONS = 450, REQUESTS_PER_KEPT_CONNECTION = 4;
    private static final int BIG_BYTES = 65_000, LONG_HEAD_BYTES = 15_000;
    private static final long SERVICE_MILLIS = 200;
    private static final int DEADLINE_MILLIS = 5_000, HOUR_MILLIS = 3_600_000;
    /** Far above the deadline: no answer by then means that none will come. */
    private static final int ANSWER_TIMEOUT_MILLIS = 20_000;

    private static final String BIG = "b".repeat(BIG_BYTES);
    private static final String MANY_HEADERS = "X-Cost: 1\r\n".repeat(LONG_HEAD_BYTES / 11);

    /** How the many clients and their workers hold memory. */
    private enum Flood {
        /** Requests with big bodies get big results. */
        BIG_BODIES(BIG, "", ""),
        /** Big bodies come in small chunks, so that their length is not known. */
        SMALL_CHUNKS("10\r\n0123456789abcdef\r\n".repeat(BIG_BYTES / 16) + "0\r\n\r\n", "", ""),
        /** A big body is not quite whole when its client leaves. */
        UNFINISHED_BODIES(BIG.substring(1), "", ""),
        /** Each request has a long head. */
        LONG_HEADS("x", MANY_HEADERS, ""),
        /** Each request has one long header. */
        LONG_KEYS("x", "Idempotency-Key: " + "k".repeat(LONG_HEAD_BYTES) + "\r\n", ""),
        /** Workers' answers hold a line that is too long and never ends. */
        ENDLESS_LINES("x", "", "x".repeat(300_000));

        final String body;
        final String headers;
        final String spoiltLine;

        Flood(String body, String headers, String spoiltLine) {
            this.body = body;
            this.headers = headers;
            this.spoiltLine = spoiltLine;
        }

        String lengthHeader() {
            return switch (this) {
                case SMALL_CHUNKS -> "Transfer-Encoding: chunked";
                case UNFINISHED_BODIES -> "Content-Length: " + BIG_BYTES;
                default -> "Content-Length: " + body.length();
            };
        }
    }

    @TempDir
    private Path folder;

    private final AtomicInteger requestCount = new AtomicInteger();
    private final AtomicBoolean floodOver = new AtomicBoolean();
    private SchedulerUnderLoad scheduler;

    @AfterEach
    void stop() throws Exception {
        if (scheduler != null) {
            scheduler.stop();
        }
    }

    @ParameterizedTest
    @EnumSource(Flood.class)
    void usualClientsAreServedWhileManyHoldAsMuchAsTheyCan(Flood flood) throws Exception {
        start(flood);
        AtomicInteger unanswered = new AtomicInteger(), served = new AtomicInteger(), servedAfter = new AtomicInteger();
        List<Thread> usualClients = IntStream.range(0, USUAL_CLIENTS)
                .mapToObj(k -> startThread(() -> {
                    while (!floodOver.get()) {
                        countUsual(unanswered, served);
                    }
                }))
                .toList();
        List<Thread> floodClients = IntStream.range(0, FLOOD_CLIENTS)
                .mapToObj(k -> startThread(() -> playFloodClient(flood)))
                .toList();
        for (Thread client : floodClients) {
            client.join();
        }
        floodOver.set(true);
        for (Thread client : usualClients) {
            client.join();
        }
        for (int k = 0; k < REQUESTS_AFTER_FLOOD; k++) {
            countUsual(unanswered, servedAfter);
        }
        assertThat(scheduler.isAlive()).as("the process is alive").isTrue();
        assertThat(unanswered).as("usual requests without an answer").hasValue(0);
        assertThat(served.get()).as("usual requests served during the flood").isPositive();
        assertThat(servedAfter.get())
                .as("usual requests served after the flood")
                .isPositive();
        assertThat(scheduler.peakMemoryMib()).as("peak memory, MiB").isLessThan(SchedulerUnderLoad.MEMORY_LIMIT_MIB);
        assertThat(scheduler.log()).doesNotContain("OutOfMemoryError");
    }

    /** Guards against memory that each connection keeps once a second message has come on it, such as a cache of fields. */
    @Test
    void usualClientsThatKeepTheirConnectionsAreServed() throws Exception {
        start(Flood.BIG_BODIES);
        AtomicInteger answers = new AtomicInteger();
        CountDownLatch allConnected = new CountDownLatch(KEPT_CONNECTIONS);
        List<Thread> clients = IntStream.range(0, KEPT_CONNECTIONS)
                .mapToObj(k -> startThread(() -> playKeptConnection(answers, allConnected)))
                .toList();
        for (Thread client : clients) {
            client.join();
        }
        assertThat(answers).hasValue(KEPT_CONNECTIONS * REQUESTS_PER_KEPT_CONNECTION);
        assertThat(scheduler.log()).doesNotContain("OutOfMemoryError");
    }

    /**
     * Guards against limits on an answer that hold only where assertions are enabled: the parser swallows exceptions behind
     * a head. Each request would wait for an hour, or be served with what no worker said.
     */
    @Test
    void answersThatBreakALimitEndAtOnceWithoutAssertions() throws Exception {
        List<String> answers = List.of(
                chunk(line("another-request", "started", "")),
                chunk("no JSON"),
                chunk("\n".repeat(2_000)),
                chunk("x".repeat(500_000)),
                chunk(("y".repeat(100_000) + "\n").repeat(12)),
                "no chunk size\r\n",
                chunk(doneWith("usual6", "")),
                chunk(doneWith("usual7", ",\"result\":null")),
                chunk(doneWith("usual8", ",\"result\":5")),
                chunk(doneWith("usual9", ",\"result\":{\"a\":1}")),
                chunk(doneWith("usual10", ",\"result\":\"\\ud83d\"")),
                chunk(doneWith("usual11", ",\"result\":\"\u00e9\"")),
                chunk(doneWith("usual12", ",\"result\":\"a\",\"result\":\"b\"")),
                chunk(doneWith("usual13", ",\"result\":\"a\"") + " and more"),
                chunk("{\"a\":".repeat(50_000)));
        scheduler = new SchedulerUnderLoad(folder);
        scheduler.start(connection -> {
            String head = readHead(connection.getInputStream());
            if (head.startsWith("POST ")) {
                int number = Integer.parseInt(header(head, "X-Request-ID").substring("usual".length()));
                send(connection, CHUNKED_RESPONSE_HEAD + answers.get(number));
            }
            connection.getInputStream().transferTo(OutputStream.nullOutputStream());
        });
        for (int number = 0; number < answers.size(); number++) {
            try (Socket client = scheduler.connect()) {
                send(client, requestText("usual" + number, HOUR_MILLIS, "", "Content-Length: 1", "x"));
                assertThat(readHead(client.getInputStream()))
                        .as("answer %s", number)
                        .startsWith("HTTP/1.1 502 ");
            }
        }
    }

    /** The last line of an answer, with these fields in place of its result. */
    private static String doneWith(String id, String fields) {
        return line(id, "done", fields);
    }

    private void playKeptConnection(AtomicInteger answers, CountDownLatch allConnected) {
        try (Socket client = scheduler.connect()) {
            client.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
            for (int k = 0; k < REQUESTS_PER_KEPT_CONNECTION; k++) {
                send(
                        client,
                        requestText(
                                "usual" + requestCount.incrementAndGet(),
                                DEADLINE_MILLIS,
                                "",
                                "Content-Length: 1",
                                "x"));
                String answer = readHead(client.getInputStream());
                client.getInputStream().skipNBytes(Integer.parseInt(header(answer, "Content-Length")));
                answers.incrementAndGet();
                allConnected.countDown();
                allConnected.await();
            }
        } catch (IOException | InterruptedException e) {
            allConnected.countDown();
        }
    }

    private void countUsual(AtomicInteger unanswered, AtomicInteger served) {
        try (Socket client = scheduler.connect()) {
            client.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
            send(
                    client,
                    requestText(
                            "usual" + requestCount.incrementAndGet(), DEADLINE_MILLIS, "", "Content-Length: 1", "x"));
            String answer = readHead(client.getInputStream());
            served.addAndGet(answer.startsWith("HTTP/1.1 200") ? 1 : 0);
            unanswered.addAndGet(answer.isEmpty() ? 1 : 0);
        } catch (SocketTimeoutException e) {
            unanswered.incrementAndGet();
        } catch (IOException e) {
            unanswered.incrementAndGet();
        }
    }

    private void playFloodClient(Flood flood) {
        for (int round = 0; round < FLOOD_ROUNDS; round++) {
            String id = "flood" + requestCount.incrementAndGet();
            try (Socket client = scheduler.connect()) {
                client.setSoTimeout(DEADLINE_MILLIS);
                send(client, requestText(id, DEADLINE_MILLIS, flood.headers, flood.lengthHeader(), flood.body));
                readHead(client.getInputStream());
            } catch (IOException e) {
                continue; // rejected and closed, or no answer: these clients don't count
            }
        }
    }

    private void start(Flood flood) throws Exception {
        scheduler = new SchedulerUnderLoad(folder);
        scheduler.start(connection -> scheduler.serve(connection, SERVICE_MILLIS, id -> lastChunks(id, flood)));
    }

    private static String lastChunks(String id, Flood flood) {
        boolean isFlood = id.startsWith("flood");
        return isFlood && !flood.spoiltLine.isEmpty() ? chunk(flood.spoiltLine) : done(id, isFlood ? BIG : "ok");
    }
}
