package barrowshore.module;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import barrowshore.module.DispatchApi.DedupScope;
import barrowshore.module.DispatchApi.JobClass;
import barrowshore.module.DispatchApi.Load;
import barrowshore.module.DispatchApi.RepeatSafety;
import barrowshore.module.DispatchApi.ReportSource;
import barrowshore.module.DispatchApi.Settings;
import barrowshore.module.DispatchApi.Status;
import org.junit.jupiter.api.Test;

/** The estimate of other dispatchers' slots in flight where they send no messages. */
class OthersLoadEstimateTest {
    private static Worker[] workers(int count, int reported, double meanOtherSlots, long at) {
        Worker[] workers = new Worker[count];
        for (int k = 0; k < count; k++) {
            workers[k] = new Worker("w" + k);
            workers[k].slots = 5;
            if (k < reported) {
                workers[k].reportedAt = at;
                workers[k].meanOtherSlots = meanOtherSlots;
            }
        }
        return workers;
    }

    private static double others(long now, Worker[] workers, double extrapolated, int dispatchers) {
        OthersLoadEstimate load = new OthersLoadEstimate();
        for (Worker w : workers) {
            load.replace(OthersLoadEstimate.Sample.NONE, OthersLoadEstimate.Sample.of(now, w, 5));
        }
        return load.estimateOtherSlots(extrapolated, dispatchers);
    }

    @Test
    void aReplacedSampleCountsNoMore() {
        OthersLoadEstimate load = new OthersLoadEstimate();
        Worker[] workers = workers(64, 4, 2, 10);
        for (Worker w : workers) {
            OthersLoadEstimate.Sample sample = OthersLoadEstimate.Sample.of(10, w, 5);
            load.replace(OthersLoadEstimate.Sample.NONE, sample);
            load.replace(sample, OthersLoadEstimate.Sample.of(1000, w, 5));
        }
        assertThat(load.estimateOtherSlots(470, 95)).isCloseTo(470, within(0.1));
    }

    @Test
    void withoutReportsItIsExtrapolatedFromOurOwnJobs() {
        assertThat(others(10, workers(64, 0, 0, 0), 470, 95)).isEqualTo(470);
    }

    /** One of many dispatchers has few jobs of the fleet, possibly several times the mean. */
    @Test
    void oneOfManyDispatchersReliesOnReports() {
        assertThat(others(10, workers(64, 4, 2, 10), 470, 95)).isBetween(128.0, 200.0);
    }

    /** Own jobs are a fair sample, and fresher than any report. */
    @Test
    void oneOfFewDispatchersReliesOnItsOwnJobs() {
        assertThat(others(10, workers(10, 10, 1, 10), 30, 3)).isEqualTo(30);
    }

    @Test
    void anOldReportIsForgotten() {
        assertThat(others(1000, workers(64, 4, 2, 10), 470, 95)).isCloseTo(470, within(0.1));
    }

    /**
     * A dispatcher with many clients must not assume that all others are as busy if reports show free workers: it once
     * refused a third of its jobs although two thirds of the fleet were free.
     */
    @Test
    void aBusyDispatcherAmongManyIdleOnesDoesNotRefuseJobs() {
        Settings settings = DispatcherHarness.settings(RepeatSafety.SAFE, DedupScope.ALL);
        settings.dispatchers = 95;
        settings.reportSource = ReportSource.ANSWERS;
        settings.classes = new JobClass[] {
            new JobClass(300_000, 1.5, 2_000_000, 1, 0, RepeatSafety.SAFE, DedupScope.ALL, 500_000, -1, 0)
        };
        DispatcherHarness harness = new DispatcherHarness(settings).withWorkers(64);
        int open = 6;
        for (int k = 0; k < 400; k++) {
            harness.now += 25_000;
            harness.advanceTo(harness.now);
            harness.request("r" + k);
            if (k >= open && harness.attemptCount("r" + (k - open)) > 0) {
                // With little traffic few workers report; here one in eight does.
                boolean reports = harness.lastWorker("r" + (k - open)).matches("w[0-7]");
                harness.dispatcher.outcome(
                        harness.now,
                        "r" + (k - open),
                        0,
                        true,
                        Status.OK,
                        open * 25_000,
                        reports ? new Load(1, 0, 3) : null);
            }
        }
        assertThat(harness.countActions("refuse")).isZero();
    }
}
