package barrowshore.module;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barrowshore.module.DispatchApi.DedupScope;
import barrowshore.module.DispatchApi.Health;
import barrowshore.module.DispatchApi.JobClass;
import barrowshore.module.DispatchApi.ListKind;
import barrowshore.module.DispatchApi.Load;
import barrowshore.module.DispatchApi.Member;
import barrowshore.module.DispatchApi.RepeatSafety;
import barrowshore.module.DispatchApi.Request;
import barrowshore.module.DispatchApi.Settings;
import barrowshore.module.DispatchApi.Status;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Another program can embed the decision module as the README shows. */
class EmbeddingTest {
    /** Records a dispatcher's actions; a real program would use the network and timers. */
    private static final class RecordingActions implements DispatchApi.Actions {
        final List<String> done = new ArrayList<>();

        @Override
        public void send(String id, String worker, long timeout) {
            done.add("send " + id + " to " + worker);
        }

        @Override
        public void refuse(String id, long retryAfter) {
            done.add("refuse " + id);
        }

        @Override
        public void fail(String id) {
            done.add("fail " + id);
        }

        @Override
        public void cancel(String id, int attempt) {
            done.add("cancel " + id);
        }

        @Override
        public void probe(String worker) {
            done.add("probe " + worker);
        }

        @Override
        public void sendToPeers(byte[] message) {}

        @Override
        public void setTimer(long delay, String token) {
            done.add("timer " + token);
        }

        @Override
        public void watchList() {
            done.add("watch");
        }

        @Override
        public void log(String line) {
            done.add(line);
        }
    }

    @Test
    void aJobIsSentAndServed() {
        Settings settings = new Settings();
        settings.classes =
                new JobClass[] {new JobClass(200_000, 0, 5_000_000, 1, 0.5, RepeatSafety.SAFE, DedupScope.ALL, 0, -1, 0)
                };
        RecordingActions actions = new RecordingActions();
        DispatchApi dispatcher = new Dispatcher(settings, actions);
        dispatcher.start(0);
        dispatcher.list(0, ListKind.WHOLE, List.of(new Member("box-1", Health.READY, 1, 0, 0, 0, 0)));
        dispatcher.request(1_000, new Request("job-1", 0, 0, 1, 0, 5_000_000));
        dispatcher.outcome(90_000, "job-1", 0, true, Status.OK, 89_000, new Load(0, 0, Double.NaN));
        assertTrue(actions.done.contains("send job-1 to box-1"), actions.done.toString());
        assertEquals(
                0,
                actions.done.stream()
                        .filter(a -> a.startsWith("refuse") || a.startsWith("fail"))
                        .count());
    }

    @Test
    void wrongSettingsAndCallsNameTheField() {
        Settings settings = new Settings();
        assertNames("classes", () -> new Dispatcher(settings, new RecordingActions()));
        settings.classes = DispatcherHarness.settings(RepeatSafety.SAFE, DedupScope.ALL).classes;
        settings.warmUpMicros = 0;
        assertNames("cold", () -> new Dispatcher(settings, new RecordingActions()));
        settings.warmUpMicros = 1;
        DispatchApi dispatcher = new Dispatcher(settings, new RecordingActions());
        assertNames("jobClass", () -> dispatcher.request(0, new Request("r", 3, 0, 1, 0, 1)));
        assertNames("slots", () -> dispatcher.request(0, new Request("r", 0, 0, 0, 0, 1)));
        assertNames(
                "kind",
                () -> dispatcher.list(0, ListKind.WHOLE, List.of(new Member("w", Health.READY, 1, 0, 9, 0, 0))));
    }

    private static void assertNames(String field, org.junit.jupiter.api.function.Executable call) {
        String message = assertThrows(IllegalArgumentException.class, call).getMessage();
        assertTrue(message.contains(field), message);
    }
}
