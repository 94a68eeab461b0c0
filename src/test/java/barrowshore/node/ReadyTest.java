package barrowshore.node;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.config.Config;
import barrowshore.module.Dispatcher;
import barrowshore.net.Clock;
import barrowshore.net.ManualTime;
import barrowshore.operator.OperatorSettings;
import barrowshore.operator.SchedulerConfig;
import barrowshore.servers.ScriptedDiscovery;
import barrowshore.servers.ScriptedDiscovery.Call;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against a start that does not become ready in bounded time, whatever discovery does. Connections are real, time is
 * manual; the start of a JVM comes on top in a real process.
 */
@Timeout(value = 40, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ReadyTest {
    /** Time limit from the start, or from when discovery is back if no list is known. */
    private static final long READY_LIMIT_MILLIS = 6000;

    private static final long TIME_STEP_MILLIS = 10;
    private static final String SERVER_LIST =
            "{\"rev\":7,\"all\":true,\"targets\":[{\"uid\":\"s-1\",\"endpoint\":\"127.0.0.1:1\","
                    + "\"az\":\"a\",\"model\":\"m\",\"state\":\"Ready\"}]}\n";

    /** How discovery handles a call. */
    private interface Script {
        void play(Call call) throws IOException;
    }

    private final ManualTime time = new ManualTime();
    private ScriptedDiscovery discovery;
    private JobScheduler scheduler;

    @BeforeEach
    void open() throws IOException {
        discovery = new ScriptedDiscovery();
    }

    @AfterEach
    void close() throws IOException {
        discovery.close();
        scheduler.stop();
    }

    private void start(boolean withKnownList) throws Exception {
        Config config = Config.parse(Files.readString(Path.of("src/test/resources/exchanges/config.json"))
                .replace("$D", "127.0.0.1:" + discovery.address().getPort())
                .replace("$S", "127.0.0.1:1")
                .replace("\"known\":", withKnownList ? "\"known\":" : "\"unknown\":"));
        scheduler = new JobScheduler(
                new SchedulerConfig(config, OperatorSettings.NONE),
                new Clock(1_700_000_000_000L, time::nanos),
                time,
                null,
                actions -> new Dispatcher(config.settings(), actions));
    }

    private boolean isReady() throws IOException {
        try (Socket asker =
                new Socket(InetAddress.getLoopbackAddress(), scheduler.address().getPort())) {
            asker.getOutputStream()
                    .write("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            return new String(asker.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1).endsWith("200");
        }
    }

    /** Runs discovery (null: unreachable) for so long, or until the scheduler is ready. */
    private boolean isReadyWithin(long millis, Script script) throws IOException {
        long until = time.millis() + millis;
        boolean ready = isReady();
        while (!ready && time.millis() < until) {
            Call call = script == null ? null : discovery.poll();
            if (call != null) {
                play(script, call);
            }
            time.advance(TIME_STEP_MILLIS);
            ready = isReady();
        }
        return ready;
    }

    private static void play(Script script, Call call) {
        try {
            script.play(call);
        } catch (IOException e) {
            return; // the scheduler has closed the call
        }
    }

    private static void sendList(Call call) throws IOException {
        if (call.target().contains("watch")) {
            call.beginWatch();
            call.chunk(SERVER_LIST);
        } else {
            call.answer(SERVER_LIST);
        }
    }

    @Test
    void discoveryListsAtOnce() throws Exception {
        start(true);
        assertThat(isReadyWithin(READY_LIMIT_MILLIS, ReadyTest::sendList)).isTrue();
    }

    @Test
    void discoveryListsAtOnceAndNoListIsKnown() throws Exception {
        start(false);
        assertThat(isReadyWithin(READY_LIMIT_MILLIS, ReadyTest::sendList)).isTrue();
    }

    @Test
    void discoveryIsDownAndConnectionsAreRefused() throws Exception {
        discovery.refuse();
        start(true);
        assertThat(isReadyWithin(READY_LIMIT_MILLIS, null)).isTrue();
    }

    @Test
    void discoveryIsDownAndConnectionsNeverComeUp() throws Exception {
        discovery.fillQueue();
        start(true);
        assertThat(isReadyWithin(READY_LIMIT_MILLIS, null)).isTrue();
    }

    @Test
    void discoveryAnswersNothing() throws Exception {
        start(true);
        assertThat(isReadyWithin(READY_LIMIT_MILLIS, Call::target)).isTrue();
    }

    @Test
    void discoveryAnswersThatItHasNoListForNow() throws Exception {
        start(true);
        assertThat(isReadyWithin(READY_LIMIT_MILLIS, call -> {
                    call.target();
                    call.refuse("3600");
                }))
                .isTrue();
    }

    @Test
    void discoveryAnswersThatItHasNoListAndThenNothing() throws Exception {
        start(true);
        boolean[] refused = new boolean[1];
        assertThat(isReadyWithin(READY_LIMIT_MILLIS, call -> {
                    call.target();
                    if (!refused[0]) {
                        refused[0] = true;
                        call.refuse("3600");
                    }
                }))
                .isTrue();
    }

    @Test
    void theWatchIsSilentFromItsHeadOn() throws Exception {
        start(true);
        assertThat(isReadyWithin(READY_LIMIT_MILLIS, call -> {
                    call.target();
                    call.beginWatch();
                }))
                .isTrue();
    }

    @Test
    void discoveryResetsEachCall() throws Exception {
        start(true);
        assertThat(isReadyWithin(READY_LIMIT_MILLIS, Call::reset)).isTrue();
    }

    @Test
    void discoveryIsBackAfterALongSilenceAndNoListIsKnown() throws Exception {
        start(false);
        assertThat(isReadyWithin(12_000, Call::target)).isFalse();
        assertThat(isReadyWithin(READY_LIMIT_MILLIS, ReadyTest::sendList)).isTrue();
    }

    @Test
    void discoveryHasAListAgainAfterLongAndNoListIsKnown() throws Exception {
        start(false);
        assertThat(isReadyWithin(12_000, call -> {
                    call.target();
                    call.refuse("3600");
                }))
                .isFalse();
        assertThat(isReadyWithin(READY_LIMIT_MILLIS, ReadyTest::sendList)).isTrue();
    }
}
