package barrowshore.capacity.simulated;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import barrowshore.capacity.simulated.SimulatedFleetPlan.MachineLimits;
import barrowshore.config.Config;
import barrowshore.config.ConfigException;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the size checks and their one-line messages, the parsing of process usage, and the generated configuration. */
class SimulatedFleetPlanTest {
    private static final MachineLimits MACHINE = new MachineLimits(24_000, 17_000, 20_000);

    @ParameterizedTest
    @CsvSource({
        "0, 10, 5, 260, 30, --workers",
        "-1, 10, 5, 260, 30, --workers",
        "2000000000, 10, 5, 260, 30, --workers",
        "770, 0, 0, 260, 30, --schedulers",
        "770, 41, 5, 260, 30, --schedulers",
        "770, 10, -1, 260, 30, --real",
        "770, 10, 11, 260, 30, --real",
        "770, 40, 21, 260, 30, --real",
        "770, 10, 5, -1, 30, --starts",
        "770, 10, 5, 521, 30, --starts",
        "770, 10, 5, 260, 1, --seconds",
        "770, 10, 5, 260, 301, --seconds"
    })
    void namesOptionThatIsOutOfRange(int workers, int schedulers, int real, int starts, int seconds, String option) {
        assertThatThrownBy(() -> new SimulatedFleetPlan(workers, schedulers, real, starts, seconds).check(MACHINE))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining(option)
                .hasMessageContaining("nothing was started")
                .hasMessageNotContaining("\n");
    }

    @Test
    void acceptsTargetSizeAndRejectsSizeBeyondMachineLimits() {
        SimulatedFleetPlan target = new SimulatedFleetPlan(770, 10, 5, 260, 30);
        assertThatCode(() -> target.check(MACHINE)).doesNotThrowAnyException();
        assertThatThrownBy(() -> target.check(new MachineLimits(2_000, 17_000, 20_000)))
                .hasMessageContaining("MiB of memory and may take 1000");
        assertThatThrownBy(() -> target.check(new MachineLimits(24_000, 900, 20_000)))
                .hasMessageContaining("MiB of memory and may take 900");
        assertThatThrownBy(() -> target.check(new MachineLimits(24_000, 17_000, 1_024)))
                .hasMessageContaining("open files and may take 1024");
    }

    @Test
    void parsesUsageOfProcessWithBracketsInItsName() {
        ProcessUsage usage = ProcessUsage.parse(
                "7 (a) b) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20", "Name:\ta\nVmHWM:\t  2048 kB\nVmRSS:\t  1024 kB\n", 3);
        assertThat(usage).isEqualTo(new ProcessUsage(2_000_000_000L, 1, 2, 3));
    }

    @Test
    void configurationIsCompleteAndEachStartHasItsOwnSeed() {
        InetSocketAddress some = new InetSocketAddress("127.0.0.1", 9);
        TargetSite.Addresses at = new TargetSite.Addresses(some, some, some, List.of(some, some), some);
        Config first = Config.parse(TargetSite.configuration(1, 0, 0, 260, at));
        Config later = Config.parse(TargetSite.configuration(1, 1, 1, 260, at));
        assertThat(first.unknownSettings()).isEmpty();
        assertThat(first.tenants()).hasSize(43);
        assertThat(later.settings().seed).isNotEqualTo(first.settings().seed);
        assertThat(first.fieldsNeedingRestart(later))
                .as("all changed fields can be applied by a reload")
                .isEmpty();
        assertThat(later.settings().tenantQuota).isNotEqualTo(first.settings().tenantQuota);
    }
}
