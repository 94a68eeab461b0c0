package barrowshore.module;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.module.DispatchApi.DedupScope;
import barrowshore.module.DispatchApi.RepeatSafety;
import barrowshore.module.DispatchApi.Settings;
import org.junit.jupiter.api.Test;

/** Where jobs go when what is cheapest is not what is best. */
class PlacementTest {
    /** With a price on crossing, a crowded worker at home once hid an idle one abroad, and jobs were turned down. */
    @Test
    void aJobCrossesOnceNobodyAtHomeIsWorthWaitingFor() {
        Settings settings = DispatcherHarness.settings(RepeatSafety.SAFE, DedupScope.ALL);
        settings.crossZoneCharge = 1;
        DispatcherHarness harness = new DispatcherHarness(settings).withWorkers(2);
        int sent = 0;
        while (harness.request("r" + sent) != null) {
            sent++;
        }
        assertThat(harness.workersSentTo.values().stream()
                        .filter(to -> to.contains("w1"))
                        .count())
                .as("jobs abroad before the first is turned down")
                .isGreaterThanOrEqualTo(4);
        assertThat(harness.lastWorker("r0")).isEqualTo("w0");
    }
}
