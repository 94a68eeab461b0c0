package barrowshore.module;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.module.DispatchApi.DedupScope;
import barrowshore.module.DispatchApi.Health;
import barrowshore.module.DispatchApi.JobClass;
import barrowshore.module.DispatchApi.ListKind;
import barrowshore.module.DispatchApi.Note;
import barrowshore.module.DispatchApi.RepeatSafety;
import barrowshore.module.DispatchApi.Request;
import barrowshore.module.DispatchApi.Settings;
import barrowshore.module.DispatchApi.Status;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Which failures make the dispatcher avoid a worker, and which do not. */
class FailingWorkerTest {
    private static DispatcherHarness harness(int workers) {
        return new DispatcherHarness(DispatcherHarness.settings(RepeatSafety.SAFE, DedupScope.ALL))
                .withWorkers(workers);
    }

    @Test
    void aResetConnectionDoesNotMakeItsWorkerAvoided() {
        DispatcherHarness harness = harness(1);
        harness.request("r");
        harness.outcome("r", Status.RESET);
        assertThat(harness.request("s")).isEqualTo("w0");
    }

    /** Jobs of clients that have left still run for about their expected time and hold their slots. */
    @Test
    void abandonedJobsHoldTheirSlotsUntilTheirExpectedEnd() {
        DispatcherHarness harness = harness(1);
        for (int i = 0; i < 4; i++) {
            harness.request("r" + i);
            harness.dispatcher.clientGone(harness.now, "r" + i);
            harness.dispatcher.outcome(harness.now, "r" + i, 0, true, Status.CANCELLED, 1_000, null);
        }
        harness.dispatcher.list(
                harness.now, ListKind.CHANGES, List.of(DispatcherHarness.member("w1", Health.READY, 0, 0, 0)));
        for (int i = 0; i < 3; i++) {
            assertThat(harness.request("s" + i)).isEqualTo("w1");
            harness.outcome("s" + i, Status.OK);
        }
        harness.advanceTo(harness.now + 1_000_000);
        assertThat(IntStream.range(0, 20).mapToObj(i -> harness.request("t" + i)))
                .contains("w0");
    }

    /** Settings of a site where workers send a note at a job's start and progress notes every 2 s. */
    private static DispatcherHarness withNotes(RepeatSafety safety) {
        Settings settings = DispatcherHarness.settings(safety, DedupScope.ALL);
        settings.classes =
                new JobClass[] {new JobClass(1_000_000, 0, 9_000_000, 1, 0, safety, DedupScope.ALL, 0, -1, 0)};
        settings.notesStart = true;
        settings.progressMicros = 2_000_000;
        settings.mayHedge = true;
        return new DispatcherHarness(settings).withWorkers(3);
    }

    /** The job fills the worker; its own slots must not count as a wait that would explain a missing start note. */
    @Test
    void aFreeWorkerWithoutAStartNoteIsAvoidedUntilItGivesASign() {
        DispatcherHarness harness = withNotes(RepeatSafety.UNSAFE);
        harness.dispatcher.request(harness.now, new Request("r", 0, 0, 4, 0, 9_000_000));
        String silent = harness.lastWorker("r");
        harness.advanceTo(harness.now + 1_000_000);
        for (int i = 0; i < 20; i++) {
            assertThat(harness.request("s" + i)).isNotEqualTo(silent);
            harness.dispatcher.note(harness.now, "s" + i, 0, Note.STARTED, 0);
        }
        harness.dispatcher.note(harness.now, "r", 0, Note.STARTED, 0);
        harness.outcome("r", Status.OK);
        harness.advanceTo(harness.now + 200_000);
        assertThat(harness.request("t")).isEqualTo(silent);
    }

    @Test
    void aWorkerThatSendsAStartNoteIsNotAvoided() {
        DispatcherHarness harness = withNotes(RepeatSafety.UNSAFE);
        String worker = harness.request("r");
        harness.dispatcher.note(harness.now, "r", 0, Note.STARTED, 0);
        harness.advanceTo(harness.now + 1_000_000);
        assertThat(IntStream.range(0, 20).mapToObj(i -> harness.request("s" + i)))
                .contains(worker);
    }

    @Test
    void aSafeJobIsHedgedAfterAnAttemptWithoutASign() {
        DispatcherHarness safe = withNotes(RepeatSafety.SAFE), unsafe = withNotes(RepeatSafety.UNSAFE);
        safe.request("r");
        unsafe.request("r");
        safe.advanceTo(safe.now + 1_000_000);
        unsafe.advanceTo(unsafe.now + 1_000_000);
        assertThat(safe.workersSentTo.get("r")).hasSize(2).doesNotHaveDuplicates();
        assertThat(unsafe.attemptCount("r")).isEqualTo(1);
    }

    @Test
    void afterATimeOutWithoutASignOneJobTriesTheWorker() {
        DispatcherHarness harness = harness(1);
        harness.request("r");
        harness.advanceTo(harness.now + 100_000);
        harness.outcome("r", Status.TIMEOUT);
        assertThat(harness.request("s")).as("avoided").isNull();
        harness.advanceTo(harness.now + 5_000_000);
        assertThat(harness.request("t")).isEqualTo("w0");
        assertThat(harness.request("u")).as("one at a time until it serves").isNull();
        harness.outcome("t", Status.OK);
        assertThat(harness.request("v")).isEqualTo("w0");
    }

    @Test
    void anAttemptThatWasNotSentIsRetriedElsewhereAndDoesNotCountAgainstTheWorker() {
        DispatcherHarness harness = harness(2);
        String first = harness.request("r");
        harness.outcome("r", Status.NOT_SENT);
        assertThat(harness.workersSentTo.get("r")).hasSize(2).doesNotHaveDuplicates();
        harness.outcome("r", Status.OK);
        assertThat(IntStream.range(0, 20).mapToObj(i -> harness.request("s" + i)))
                .contains(first);
    }

    @Test
    void aJobThatCannotEndInTheTimeLeftIsRefusedAtOnce() {
        DispatcherHarness harness = harness(2);
        harness.dispatcher.request(harness.now, new Request("late", 0, 0, 1, 0, 50_000));
        harness.dispatcher.request(harness.now, new Request("in-time", 0, 0, 1, 0, 300_000));
        assertThat(harness.countActions("refuse late")).isEqualTo(1);
        assertThat(harness.attemptCount("late")).isZero();
        assertThat(harness.attemptCount("in-time")).isEqualTo(1);
    }

    @Test
    void aFailedConnectionMakesItsWorkerAvoided() {
        DispatcherHarness harness = harness(1);
        harness.request("r");
        harness.outcome("r", Status.CONNECT_FAILED);
        assertThat(harness.request("s")).isNull();
    }
}
