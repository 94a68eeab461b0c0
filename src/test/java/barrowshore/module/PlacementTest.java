package barrowshore.module;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.module.DispatchApi.DedupScope;
import barrowshore.module.DispatchApi.RepeatSafety;
import barrowshore.module.DispatchApi.Settings;
import org.junit.jupiter.api.Test;

/** Placement where the cheapest worker is not eligible. */
class PlacementTest {
    /**
     * With a charge for crossing zones, a crowded worker in the own zone once hid an idle one elsewhere; jobs were
     * refused.
     */
    @Test
    void aJobCrossesZonesWhenTheWaitInItsOwnZoneIsTooLong() {
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
                .as("jobs in the other zone before the first is refused")
                .isGreaterThanOrEqualTo(4);
        assertThat(harness.lastWorker("r0")).isEqualTo("w0");
    }
}
