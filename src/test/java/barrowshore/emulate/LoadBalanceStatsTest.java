package barrowshore.emulate;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import barrowshore.emulate.LoadBalanceStats.NodeSample;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

/** {@link LoadBalanceStats} on known distributions of load. */
class LoadBalanceStatsTest {
    private static final NodeSample IDLE_NODE = new NodeSample(4, 4, 0),
            FULL_NODE = new NodeSample(4, 0, 6),
            LOST_NODE = new NodeSample(0, 4, 0);
    private final LoadBalanceStats stats = new LoadBalanceStats();

    private void simulateOneSecond(List<NodeSample> nodes, int... nodeByScheduler) {
        for (int k = 0; k < 10; k++) {
            for (int scheduler = 0; scheduler < nodeByScheduler.length; scheduler++) {
                stats.recordArrival(nodeByScheduler[scheduler], scheduler, 100_000);
            }
            stats.addSample(nodes, 4);
        }
    }

    @Test
    void anEvenSpreadHasNoVariation() {
        simulateOneSecond(Collections.nCopies(4, IDLE_NODE), 0, 1, 2, 3);
        assertThat(stats.shortWindowVariation()).isZero();
        assertThat(stats.longWindowVariation()).isZero();
        assertThat(stats.longWindowPeak()).isEqualTo(1);
        assertThat(stats.idleWhileOthersQueue()).isZero();
        assertThat(stats.crowding()).as("one at each, where chance crowds them").isLessThan(0.5);
    }

    @Test
    void crowdingOnOneNodeIsDetected() {
        simulateOneSecond(List.of(FULL_NODE, IDLE_NODE, IDLE_NODE, IDLE_NODE), 0, 0, 0, 0);
        assertThat(stats.longWindowPeak()).isEqualTo(4);
        assertThat(stats.longWindowVariation()).isCloseTo(Math.sqrt(3), within(1e-9));
        assertThat(stats.idleWhileOthersQueue())
                .as("6 slots of work wait, 12 are free, 4 nodes")
                .isEqualTo(1.5);
        assertThat(stats.crowding()).isGreaterThanOrEqualTo(1);
    }

    @Test
    void lostNodesAreNotCounted() {
        simulateOneSecond(List.of(IDLE_NODE, IDLE_NODE, LOST_NODE, FULL_NODE), 0, 1, 3, 3);
        assertThat(stats.longWindowPeak()).isCloseTo(1.5, within(1e-9));
        assertThat(stats.idleWhileOthersQueue()).isEqualTo(2);
    }
}
