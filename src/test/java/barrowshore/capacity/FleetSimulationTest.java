package barrowshore.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

/** Checks the counts of a small simulated fleet. */
class FleetSimulationTest {
    private static final FleetSize SMALL = new FleetSize(24, 3, 10, 4, 0, 0);
    private static final int SECONDS = 4;
    private static final SimulationOptions OPTIONS = SimulationOptions.countsOnly(SECONDS, 7);

    private static FleetCost simulate(FleetSize size, SimulationOptions options) {
        return new FleetSimulation(size, options).run();
    }

    @Test
    void theSameSeedGivesTheSameCounts() {
        FleetCost first = simulate(SMALL, OPTIONS);
        FleetCost again = simulate(SMALL, OPTIONS);
        FleetCost other = simulate(SMALL, SimulationOptions.countsOnly(SECONDS, 8));
        for (Metric metric : Metric.values()) {
            // Boxed, so that the NaN of an unmeasured metric equals itself.
            assertThat((Double) again.get(metric)).as(metric.label).isEqualTo((Double) first.get(metric));
        }
        assertThat(other.get(Metric.BYTES_IN)).isNotEqualTo(first.get(Metric.BYTES_IN));
    }

    @Test
    void startRateAndRunningTasksMatchTheFleetSize() {
        FleetCost cost = simulate(SMALL.withWorkers(60).withStartsPerSecond(40), SimulationOptions.countsOnly(2, 1));
        double running = SMALL.withStartsPerSecond(40).runningTasks();
        assertThat(cost.get(Metric.STARTED)).isCloseTo(40, within(8.0));
        assertThat(cost.get(Metric.RUNNING)).isBetween(0.9 * running, 1.25 * running);
        assertThat(cost.get(Metric.TURNED_DOWN) + cost.get(Metric.FAILED)).isLessThan(1);
    }

    @Test
    void allPeersReceiveEachDatagramUnlessLostOrDuplicated() {
        SimulationOptions faulty = new SimulationOptions(SECONDS, 7, 1, false, 0.5, 0, false, true);
        SimulationOptions doubling = new SimulationOptions(SECONDS, 7, 1, false, 0, 0.5, false, true);
        assertReceivedShare(simulate(SMALL, OPTIONS), 1, 0.03);
        assertReceivedShare(simulate(SMALL, faulty), 0.5, 0.1);
        assertReceivedShare(simulate(SMALL, doubling), 1.5, 0.1);
    }

    private static void assertReceivedShare(FleetCost cost, double share, double tolerance) {
        assertThat(cost.get(Metric.DATAGRAMS_OUT)).isPositive();
        assertThat(cost.get(Metric.DATAGRAMS_IN) / cost.get(Metric.DATAGRAMS_OUT_PER_PEER))
                .isCloseTo(share, within(tolerance));
    }

    @Test
    void byteCountsIncludeHeaders() {
        DatagramCount count = new DatagramCount();
        count.countSent(new byte[10]);
        count.countReceived(new byte[200]);
        count.countReceived(new byte[0]);
        assertThat(count.sentBytes()).isEqualTo(10 + 20 + 8);
        assertThat(count.receivedBytes()).isEqualTo(200 + 2 * (20 + 8));
        assertThat(count.received()).isEqualTo(2);
    }

    @Test
    void datagramBytesOfASimulationIncludeHeaders() {
        FleetCost cost = simulate(SMALL, OPTIONS);
        int peers = SMALL.schedulers() - 1;
        assertThat(cost.get(Metric.BYTES_OUT))
                .isGreaterThan(DatagramCount.HEADER_BYTES * cost.get(Metric.DATAGRAMS_OUT));
        assertThat(cost.get(Metric.BYTES_OUT_PER_PEER)).isEqualTo(peers * cost.get(Metric.BYTES_OUT));
        assertThat(cost.get(Metric.CONTROL_BYTES)).isEqualTo(cost.get(Metric.BYTES_OUT) + cost.get(Metric.BYTES_IN));
    }

    @Test
    void changesOfListAndConfigurationReachEveryScheduler() {
        FleetCost still = simulate(SMALL, OPTIONS);
        FleetCost changing = simulate(SMALL.withListChangesPerSecond(1).withSettingsChangesPerSecond(5), OPTIONS);
        assertThat(still.get(Metric.LIST_ENTRIES)).isZero();
        assertThat(still.get(Metric.SETTINGS_CHANGES)).isZero();
        // One entry when a machine drains; two when it is removed and its replacement added.
        assertThat(changing.get(Metric.LIST_ENTRIES)).isCloseTo(3, within(0.75));
        assertThat(changing.get(Metric.SETTINGS_CHANGES)).isCloseTo(5, within(0.5));
    }

    @Test
    void onlyATimedRunMeasuresTimes() {
        FleetCost counted = simulate(SMALL, OPTIONS);
        FleetCost timed = simulate(SMALL, new SimulationOptions(SECONDS, 7, 1, true, 0, 0, false, true));
        assertThat(counted.get(Metric.CONTROL_TIME)).isNaN();
        assertThat(counted.get(Metric.HEAP_HELD)).isNaN();
        assertThat(timed.get(Metric.CONTROL_TIME)).isPositive();
        assertThat(timed.get(Metric.MICROS_PER_REFRESH)).isPositive();
        assertThat(timed.get(Metric.DATAGRAMS_OUT)).isEqualTo(counted.get(Metric.DATAGRAMS_OUT));
    }
}
