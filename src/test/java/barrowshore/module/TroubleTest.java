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

/** Workers in trouble: what counts against them, and what does not. */
class TroubleTest {
    private static Bench bench(int workers) {
        return new Bench(Bench.settings(RepeatSafety.SAFE, DedupScope.ALL)).workers(workers);
    }

    @Test
    void aConnectionThatBreaksDoesNotSetItsWorkerAside() {
        Bench bench = bench(1);
        bench.request("r");
        bench.outcome("r", Status.RESET);
        assertThat(bench.request("s")).isEqualTo("w0");
    }

    /** What clients that left had asked for is run for nobody, and takes its slots all the same for about its time. */
    @Test
    void whatWasGivenUpTakesItsSlotsUntilItWouldHaveEnded() {
        Bench bench = bench(1);
        for (int i = 0; i < 4; i++) {
            bench.request("r" + i);
            bench.dispatcher.clientGone(bench.now, "r" + i);
            bench.dispatcher.outcome(bench.now, "r" + i, 0, true, Status.CANCELLED, 1_000, null);
        }
        bench.dispatcher.list(bench.now, ListKind.CHANGES, List.of(Bench.member("w1", Health.READY, 0, 0, 0)));
        for (int i = 0; i < 3; i++) {
            assertThat(bench.request("s" + i)).isEqualTo("w1");
            bench.outcome("s" + i, Status.OK);
        }
        bench.until(bench.now + 1_000_000);
        assertThat(IntStream.range(0, 20).mapToObj(i -> bench.request("t" + i))).contains("w0");
    }

    /** Starts are told at once, shares done every 2 s, as at sites with notes. */
    private static Bench noting(RepeatSafety effect) {
        Settings set = Bench.settings(effect, DedupScope.ALL);
        set.classes = new JobClass[] {new JobClass(1_000_000, 0, 9_000_000, 1, 0, effect, DedupScope.ALL, 0, -1, 0)};
        set.notesStart = true;
        set.progressMicros = 2_000_000;
        set.mayHedge = true;
        return new Bench(set).workers(3);
    }

    /** The job fills the worker: its own slots are no wait that would excuse the silence. */
    @Test
    void aFreeWorkerThatTellsNoStartIsSetAsideUntilItGivesASign() {
        Bench bench = noting(RepeatSafety.UNSAFE);
        bench.dispatcher.request(bench.now, new Request("r", 0, 0, 4, 0, 9_000_000));
        String silent = bench.last("r");
        bench.until(bench.now + 1_000_000);
        for (int i = 0; i < 20; i++) {
            assertThat(bench.request("s" + i)).isNotEqualTo(silent);
            bench.dispatcher.note(bench.now, "s" + i, 0, Note.STARTED, 0);
        }
        bench.dispatcher.note(bench.now, "r", 0, Note.STARTED, 0);
        bench.outcome("r", Status.OK);
        bench.until(bench.now + 200_000);
        assertThat(bench.request("t")).isEqualTo(silent);
    }

    @Test
    void oneThatTellsItsStartIsNot() {
        Bench bench = noting(RepeatSafety.UNSAFE);
        String worker = bench.request("r");
        bench.dispatcher.note(bench.now, "r", 0, Note.STARTED, 0);
        bench.until(bench.now + 1_000_000);
        assertThat(IntStream.range(0, 20).mapToObj(i -> bench.request("s" + i))).contains(worker);
    }

    @Test
    void aSecondCopyOfWhatMayRunTwiceFollowsAnAttemptWithoutASign() {
        Bench safe = noting(RepeatSafety.SAFE), unsafe = noting(RepeatSafety.UNSAFE);
        safe.request("r");
        unsafe.request("r");
        safe.until(safe.now + 1_000_000);
        unsafe.until(unsafe.now + 1_000_000);
        assertThat(safe.sends.get("r")).hasSize(2).doesNotHaveDuplicates();
        assertThat(unsafe.attempts("r")).isEqualTo(1);
    }

    @Test
    void afterATimeOutWithoutAWordOneJobTriesTheWorker() {
        Bench bench = bench(1);
        bench.request("r");
        bench.until(bench.now + 100_000);
        bench.outcome("r", Status.TIMEOUT);
        assertThat(bench.request("s")).as("aside").isNull();
        bench.until(bench.now + 5_000_000);
        assertThat(bench.request("t")).isEqualTo("w0");
        assertThat(bench.request("u")).as("one at a time until it serves").isNull();
        bench.outcome("t", Status.OK);
        assertThat(bench.request("v")).isEqualTo("w0");
    }

    @Test
    void whatWasNotSentIsSentElsewhereAndNothingIsHeldAgainstTheWorker() {
        Bench bench = bench(2);
        String first = bench.request("r");
        bench.outcome("r", Status.NOT_SENT);
        assertThat(bench.sends.get("r")).hasSize(2).doesNotHaveDuplicates();
        bench.outcome("r", Status.OK);
        assertThat(IntStream.range(0, 20).mapToObj(i -> bench.request("s" + i))).contains(first);
    }

    @Test
    void whatCannotBeDoneInTheTimeLeftIsRefusedAtOnce() {
        Bench bench = bench(2);
        bench.dispatcher.request(bench.now, new Request("late", 0, 0, 1, 0, 50_000));
        bench.dispatcher.request(bench.now, new Request("in-time", 0, 0, 1, 0, 300_000));
        assertThat(bench.count("refuse late")).isEqualTo(1);
        assertThat(bench.attempts("late")).isZero();
        assertThat(bench.attempts("in-time")).isEqualTo(1);
    }

    @Test
    void oneThatDoesNotComeUpDoes() {
        Bench bench = bench(1);
        bench.request("r");
        bench.outcome("r", Status.CONNECT_FAILED);
        assertThat(bench.request("s")).isNull();
    }
}
