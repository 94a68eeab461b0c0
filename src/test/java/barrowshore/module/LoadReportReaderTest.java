package barrowshore.module;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import barrowshore.module.DispatchApi.DedupScope;
import barrowshore.module.DispatchApi.Load;
import barrowshore.module.DispatchApi.RepeatSafety;
import barrowshore.module.DispatchApi.Status;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Load reports of sites that contain different figures. */
class LoadReportReaderTest {
    private static final Load IDLE = new Load(Double.NaN, 0, 4), BUSY = new Load(Double.NaN, 6, 0);

    @Test
    void whereOnlyFreeSlotsAreReportedABusyWorkerGetsNoJobs() {
        DispatcherHarness harness =
                new DispatcherHarness(DispatcherHarness.settings(RepeatSafety.SAFE, DedupScope.ALL)).withWorkers(2);
        for (int i = 0; i < 40; i++) {
            harness.now += 20_000;
            String w = harness.request("r" + i);
            harness.dispatcher.outcome(harness.now, "r" + i, 0, true, Status.OK, 10_000, w.equals("w0") ? BUSY : IDLE);
        }
        harness.advanceTo(harness.now + 100_000);
        for (int i = 0; i < 10; i++) {
            assertThat(harness.request("s" + i)).isEqualTo("w1");
            harness.dispatcher.outcome(harness.now, "s" + i, 0, true, Status.OK, 10_000, IDLE);
        }
    }

    @Test
    void slotsAreTheMostFreeOnesPlusThoseOfRunningJobs() {
        MachineKind kind = new MachineKind(1);
        Worker w = new Worker("w");
        for (int i = 0; i < 200; i++) {
            LoadReportReader.applyReport(
                    i + 1, w, kind, new Load(Double.NaN, i % 3 == 0 ? 0 : 2, i % 3 == 0 ? 5 : 0), 1, 20);
        }
        assertThat(kind.slots).isCloseTo(5, within(0.5));
        assertThat(w.reportedOtherSlots).isCloseTo(7, within(0.5));
        assertThat(w.meanOtherSlots).isBetween(3.0, 6.0);
    }

    /**
     * A full worker shows only the slots of our jobs there, mostly none; its kind was then assumed to have one slot.
     */
    @Test
    void aFullWorkerIsNotTakenForASmallOne() {
        MachineKind kind = new MachineKind(1);
        Worker w = new Worker("w");
        w.slots = 4;
        LoadReportReader.applyReport(1, w, kind, new Load(Double.NaN, 7, 0), 1, 20);
        assertThat(kind.slots).isCloseTo(4, within(0.1));
    }

    /** With many schedulers each gets few reports, so free slots in them must count quickly. */
    @Test
    void freeSlotsAreLearnedQuickly() {
        MachineKind kind = new MachineKind(1);
        Worker w = new Worker("w");
        w.slots = 4;
        for (int i = 0; i < 4; i++) {
            LoadReportReader.applyReport(1 + i, w, kind, new Load(Double.NaN, 0, 6), 1, 20);
        }
        assertThat(kind.slots).isCloseTo(6, within(0.2));
    }

    /** Jobs sent since the report was made must not make the others' slots look fewer. */
    @Test
    void jobsSentSinceTheReportDoNotLowerTheOthersSlots() {
        MachineKind kind = new MachineKind(1);
        kind.slots = 6;
        Worker w = new Worker("w");
        w.ownSlots = 4;
        LoadReportReader.applyReport(1, w, kind, new Load(Double.NaN, 0, 2), 1, 20);
        assertThat(w.reportedOtherSlots).isCloseTo(4, within(0.1));
    }

    @Test
    void reportedJobsCountWithTheirMeanSlots() {
        Worker w = new Worker("w");
        LoadReportReader.applyReport(1, w, new MachineKind(1), new Load(3, 0, 2), 2, 20);
        assertThat(w.reportedOtherSlots).isEqualTo(6);
    }

    @Test
    void aReportWithoutUsableFiguresChangesNothing() {
        MachineKind kind = new MachineKind(1);
        Worker w = new Worker("w");
        LoadReportReader.applyReport(1, w, kind, new Load(Double.NaN, 3, Double.NaN), 1, 20);
        assertThat(w.reportedAt).isZero();
        assertThat(kind.slots).isZero();
    }

    /**
     * Without reported free slots, jobs running beside a queue are a lower bound: a wide queued job may leave slots
     * empty.
     */
    @Test
    void jobsRunningBesideAQueueAreALowerBoundOfSlots() {
        MachineKind kind = new MachineKind(1);
        Worker w = new Worker("w");
        w.slots = 4;
        LoadReportReader.applyReport(1, w, kind, new Load(3, 2, Double.NaN), 1, 20);
        assertThat(kind.slots).as("one wide job runs, two wait").isCloseTo(4, within(0.1));
        for (int i = 0; i < 200; i++) {
            LoadReportReader.applyReport(2 + i, w, kind, new Load(9, i % 2 == 0 ? 3 : 8, Double.NaN), 1, 20);
        }
        assertThat(kind.slots).isCloseTo(6, within(0.5));
    }

    /** A rating that falls with load yields the size as its maximum; a fixed one is taken as last listed. */
    @Test
    void theSizeIsTheHighestRatingWhereRatingsReflectLoad() {
        for (boolean live : new boolean[] {true, false}) {
            DispatchApi.Settings settings = DispatcherHarness.settings(RepeatSafety.SAFE, DedupScope.ALL);
            WorkerList roster = new WorkerList(new HallAdapter(settings, null, new Rng(1), new TrafficStats(settings)));
            for (double rating : new double[] {6, 2}) {
                roster.update(
                        DispatchApi.ListKind.CHANGES,
                        List.of(new DispatchApi.Member("w", DispatchApi.Health.READY, rating, 0, 0, 0, 0)),
                        1,
                        live);
            }
            assertThat(roster.find("w").rating).isEqualTo(live ? 6 : 2);
        }
    }
}
