package barrowshore.servers;

import static barrowshore.servers.DiscoveryFixture.EMPTY_LIST;
import static barrowshore.servers.DiscoveryFixture.listJson;
import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.list.ServerList.State;
import barrowshore.list.ServerList.Update;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.LongSupplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a scheduler that never learns a change as it gives each call up just before a slow discovery answers, and
 * against one that learns it late after an outage, in which calls are lost. By simulated time, over real connections.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SlowDiscoveryTest {
    private static final long GRACE_MICROS = 2_000_000;
    private static final long STEP_MILLIS = 10;
    /** Random plays, unless -Dbarrowshore.soakSeeds asks for more. */
    private static final int SEEDS = 6;
    /** A change counts as told at the latest so long after discovery had it and could be reached. */
    private static final long TOLD_LIMIT_MILLIS = 6000;
    /** The shortest time between two calls that are not answered: the answer timeout, and the shortest pause. */
    private static final long MIN_CALL_INTERVAL_MILLIS = 550;
    /** The longest, with a list in use: the answer timeout, and the longest pause. */
    private static final long MAX_CALL_INTERVAL_MILLIS = 900;

    private DiscoveryFixture fixture;
    private SlowDiscovery discovery;

    @BeforeEach
    void open() throws Exception {
        fixture = new DiscoveryFixture();
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
        discovery.close();
    }

    private static Update knownList() {
        return DiscoveryFixture.parse(listJson(5, true, "Ready"));
    }

    private void start(Update configuredList, LongSupplier answerDelayMillis) throws Exception {
        discovery = new SlowDiscovery(fixture, answerDelayMillis);
        fixture.start(discovery.address(), configuredList, GRACE_MICROS, false);
    }

    private void step() throws Exception {
        discovery.step();
        fixture.time.advance(STEP_MILLIS);
        fixture.awaitActor();
    }

    private void run(long millis) throws Exception {
        long end = fixture.time.millis() + millis;
        while (fixture.time.millis() < end) {
            step();
        }
    }

    private boolean isTold() {
        return fixture.updates.stream()
                .anyMatch(update -> update.entries().stream().anyMatch(entry -> entry.state() == State.TERMINATING));
    }

    /** Runs until the change is told, and returns how long that took. */
    private long awaitTold(long limitMillis) throws Exception {
        long since = fixture.time.millis();
        while (!isTold() && fixture.time.millis() - since < limitMillis) {
            step();
        }
        assertThat(isTold()).as("told within " + limitMillis + " ms").isTrue();
        return fixture.time.millis() - since;
    }

    /** How many calls one that is answered after so long may take: one for each interval until then, and the first. */
    private static int mostCalls(long answerDelayMillis) {
        return (int) (answerDelayMillis / MIN_CALL_INTERVAL_MILLIS) + 1;
    }

    @ParameterizedTest
    @ValueSource(longs = {100, 600, 800, 1200, 2000, 3500, 5000})
    void changeIsToldAtTheStart(long answerDelayMillis) throws Exception {
        start(knownList(), () -> answerDelayMillis);
        discovery.publish("Terminating");
        assertThat(awaitTold(TOLD_LIMIT_MILLIS)).isLessThanOrEqualTo(answerDelayMillis + 5 * STEP_MILLIS);
        assertThat(discovery.callCount()).isLessThanOrEqualTo(mostCalls(answerDelayMillis));
    }

    @ParameterizedTest
    @ValueSource(longs = {800, 5000})
    void openWatchNeedsNoMoreCalls(long answerDelayMillis) throws Exception {
        start(knownList(), () -> answerDelayMillis);
        run(answerDelayMillis + 1000);
        int calls = discovery.callCount();
        run(20_000);
        assertThat(discovery.callCount()).isEqualTo(calls);
        discovery.publish("Terminating");
        awaitTold(5 * STEP_MILLIS);
    }

    @ParameterizedTest
    @ValueSource(longs = {800, 2000, 5000})
    void firstListIsReadWithFewCalls(long answerDelayMillis) throws Exception {
        start(EMPTY_LIST, () -> answerDelayMillis);
        while (fixture.updates.isEmpty() && fixture.time.millis() < TOLD_LIMIT_MILLIS) {
            step();
        }
        assertThat(fixture.updates).hasSize(1);
        assertThat(discovery.callCount()).isLessThanOrEqualTo(5);
        discovery.publish("Terminating"); // while the watch after the list waits for its answer
        awaitTold(TOLD_LIMIT_MILLIS);
    }

    @ParameterizedTest
    @CsvSource({"0, 3000", "0, 7300", "800, 4000", "800, 12000", "2000, 8050", "3500, 6500", "5000, 9700", "5000, 300"})
    void changeIsToldAfterAnOutage(long answerDelayMillis, long outageMillis) throws Exception {
        start(knownList(), () -> answerDelayMillis);
        run(answerDelayMillis + 2000);
        discovery.setDown(true);
        run(outageMillis);
        discovery.publish("Terminating");
        discovery.setDown(false);
        // A watch that the outage has made silent is reopened only after 3 s: a short outage counts from its start.
        long watchSilentMillis = Math.max(0, 3000 - outageMillis);
        awaitTold(watchSilentMillis + MAX_CALL_INTERVAL_MILLIS + answerDelayMillis + 5 * STEP_MILLIS);
        int open = (int) (TOLD_LIMIT_MILLIS / MIN_CALL_INTERVAL_MILLIS) + 3;
        assertThat(discovery.mostOpenCalls()).isLessThanOrEqualTo(open);
    }

    static IntStream seeds() {
        return IntStream.rangeClosed(1, Integer.getInteger("barrowshore.soakSeeds", SEEDS));
    }

    /** Each call has a delay of its own, and outages swallow calls again and again. */
    @ParameterizedTest
    @MethodSource("seeds")
    void changeIsToldWhateverTheDelays(int seed) throws Exception {
        Random random = new Random(seed);
        boolean isHeadAtOnce = seed % 3 == 0;
        start(seed % 2 == 0 ? EMPTY_LIST : knownList(), () -> random.nextInt(4, 500) * STEP_MILLIS);
        if (isHeadAtOnce) {
            discovery.sendHeadsAtOnce();
        }
        for (int outage = 0; outage < 3; outage++) {
            run(random.nextInt(8000));
            discovery.setDown(true);
            run(random.nextInt(8000));
            discovery.setDown(false);
        }
        run(random.nextInt(3000));
        discovery.publish("Terminating");
        awaitTold(TOLD_LIMIT_MILLIS + 3000); // a watch may have become silent in the last outage alone
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 800, 3000, 5000})
    void changeIsToldByANewAddress(long answerDelayMillis) throws Exception {
        start(knownList(), () -> 0);
        run(1000);
        discovery.close();
        discovery = new SlowDiscovery(fixture, () -> answerDelayMillis);
        fixture.client.setAddress(discovery.address());
        discovery.publish("Terminating");
        assertThat(awaitTold(TOLD_LIMIT_MILLIS)).isLessThanOrEqualTo(answerDelayMillis + 5 * STEP_MILLIS);
        assertThat(discovery.callCount()).isLessThanOrEqualTo(mostCalls(answerDelayMillis) + 1);
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 2000, 5000})
    void newAddressThatIsDownIsHeardOnItsReturn(long answerDelayMillis) throws Exception {
        start(knownList(), () -> 0);
        run(1000);
        discovery.close();
        discovery = new SlowDiscovery(fixture, () -> answerDelayMillis);
        discovery.setDown(true);
        fixture.client.setAddress(discovery.address());
        run(6500);
        discovery.publish("Terminating");
        discovery.setDown(false);
        awaitTold(MAX_CALL_INTERVAL_MILLIS + answerDelayMillis + 5 * STEP_MILLIS);
    }

    /** Slower than anything that counts, it is heard all the same. */
    @ParameterizedTest
    @ValueSource(longs = {8000, 25_000})
    void verySlowDiscoveryIsHeard(long answerDelayMillis) throws Exception {
        start(knownList(), () -> answerDelayMillis);
        discovery.publish("Terminating");
        assertThat(awaitTold(40_000)).isLessThanOrEqualTo(answerDelayMillis + 5 * STEP_MILLIS);
    }

    /** Guards against a watch or a list whose connection is given up as nothing follows its head for long. */
    @ParameterizedTest
    @CsvSource({"true, 800", "true, 3500", "true, 5000", "false, 800", "false, 2500", "false, 5000"})
    void answerIsHeardHoweverLateItFollowsItsHead(boolean isListKnown, long answerDelayMillis) throws Exception {
        start(isListKnown ? knownList() : EMPTY_LIST, () -> answerDelayMillis);
        discovery.sendHeadsAtOnce();
        if (!isListKnown) {
            while (fixture.updates.isEmpty() && fixture.time.millis() < TOLD_LIMIT_MILLIS) {
                step();
            }
            assertThat(fixture.updates).hasSize(1);
        }
        discovery.publish("Terminating");
        awaitTold(TOLD_LIMIT_MILLIS);
        assertThat(discovery.callCount()).isLessThanOrEqualTo(6);
    }

    /** Guards against a whole list that is asked for again and again as its parts come slowly. */
    @Test
    void wholeListInSlowPartsIsReadToItsEnd() throws Exception {
        discovery = new SlowDiscovery(fixture, () -> 0);
        try (ScriptedDiscovery parts = new ScriptedDiscovery()) {
            fixture.start(parts.address(), EMPTY_LIST, GRACE_MICROS, false);
            String list = listJson(7, true, "Ready").replace(",", ",\n");
            List<PartlyAnswered> calls = new ArrayList<>();
            for (int k = 0; k < 10_000 / STEP_MILLIS && fixture.updates.isEmpty(); k++) {
                for (ScriptedDiscovery.Call call = parts.poll(); call != null; call = parts.poll()) {
                    calls.add(new PartlyAnswered(call, list, fixture.time.millis()));
                }
                for (PartlyAnswered call : calls) {
                    call.answerInParts(fixture);
                }
                step();
            }
            assertThat(fixture.updates).hasSize(1);
            assertThat(calls).hasSizeLessThanOrEqualTo(4);
        }
    }

    /** A call whose list is sent in parts, by simulated time. */
    private static final class PartlyAnswered {
        private static final int PARTS = 6;
        private static final long PART_INTERVAL_MILLIS = 900;

        private final ScriptedDiscovery.Call call;
        private final String list;
        private final long sinceMillis;
        private int partsSent = -1;

        PartlyAnswered(ScriptedDiscovery.Call call, String list, long sinceMillis) {
            this.call = call;
            this.list = list;
            this.sinceMillis = sinceMillis;
        }

        void answerInParts(DiscoveryFixture fixture) throws IOException {
            boolean due = fixture.time.millis() - sinceMillis >= (partsSent + 1) * PART_INTERVAL_MILLIS;
            if (!due || partsSent == PARTS || partsSent >= 0 && call.isEnded()) {
                return;
            }
            if (partsSent < 0) {
                call.target();
                call.send("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n");
            } else {
                int length = list.length() / PARTS;
                int end = partsSent == PARTS - 1 ? list.length() : (partsSent + 1) * length;
                call.send(list.substring(partsSent * length, end));
            }
            partsSent++;
        }
    }

    /** What a long outage costs a discovery that comes back: calls go on at the pace that finds it soon, and no faster. */
    @Test
    void longOutageTakesNoMoreCallsThanItsPace() throws Exception {
        start(knownList(), () -> 0);
        run(1000);
        discovery.setDown(true);
        run(3000);
        int calls = discovery.callCount();
        run(30_000);
        assertThat(discovery.callCount() - calls).isLessThanOrEqualTo((int) (30_000 / MIN_CALL_INTERVAL_MILLIS));
    }

    @Test
    void shortGraceMakesCallsSoonerAndKeepsFewOpen() throws Exception {
        discovery = new SlowDiscovery(fixture, () -> 3000);
        fixture.start(discovery.address(), knownList(), 400_000, false);
        run(2000);
        assertThat(discovery.callCount()).isGreaterThanOrEqualTo(8); // 100 ms each, and pauses of 50 to 100 ms
        discovery.publish("Terminating");
        awaitTold(TOLD_LIMIT_MILLIS);
        assertThat(discovery.mostOpenCalls()).isLessThanOrEqualTo(8);
    }
}
