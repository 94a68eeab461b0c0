package barrowshore.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatNoException;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import barrowshore.config.ConfigException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the validation of fleet sizes and the figures derived from them. */
class FleetSizeTest {
    private static final long HEAP = 1L << 30;
    private static final FleetSize TARGET = FleetSize.target();

    @Test
    void targetFleetUsesAboutFourFifthsOfFiveSlotsPerWorker() {
        assertThat(TARGET.slotsPerWorker()).isEqualTo(5);
        assertThat(TARGET.runningTasks() / (5 * TARGET.workers())).isBetween(0.75, 0.8);
        assertThat(TARGET.withWorkers(96).slotsPerWorker()).isEqualTo(40);
    }

    @Test
    void allSweepSizesFitIntoAGibibyteHeap() {
        for (Sweep sweep : Sweep.values()) {
            for (FleetSize fleet : sweep.fleets(TARGET)) {
                assertThatNoException().isThrownBy(() -> fleet.validate(HEAP));
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, -1, 100_001, Integer.MAX_VALUE, Integer.MIN_VALUE})
    void countOutOfRangeIsNamed(int count) {
        assertRejected(TARGET.withWorkers(count), "--workers");
        assertRejected(TARGET.withSchedulers(count), "--schedulers");
        assertRejected(TARGET.withTenants(count), "--tenants");
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, -260, Double.NaN, Double.POSITIVE_INFINITY, 1e9})
    void startRateOutOfRangeIsNamed(double rate) {
        assertRejected(TARGET.withStartsPerSecond(rate), "--starts");
    }

    @ParameterizedTest
    @ValueSource(doubles = {-0.1, Double.NaN, Double.POSITIVE_INFINITY, 1e6})
    void changeRateOutOfRangeIsNamed(double rate) {
        assertRejected(TARGET.withListChangesPerSecond(rate), "--list-changes");
        assertRejected(TARGET.withSettingsChangesPerSecond(rate), "--config-changes");
    }

    @Test
    void zeroChangeRatesAreValid() {
        FleetSize still = TARGET.withListChangesPerSecond(0).withSettingsChangesPerSecond(0);
        assertThatNoException().isThrownBy(() -> still.validate(HEAP));
    }

    @Test
    void fleetThatExceedsTheHeapIsRejected() {
        FleetSize large = TARGET.withWorkers(100_000).withSchedulers(200);
        assertThat(large.estimatedBytes()).isGreaterThan(HEAP);
        assertRejected(large, "MiB");
    }

    private static void assertRejected(FleetSize size, String named) {
        assertThatThrownBy(() -> size.validate(HEAP))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining(named)
                .hasMessageNotContaining("\n");
    }
}
