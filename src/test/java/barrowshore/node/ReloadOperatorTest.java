package barrowshore.node;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.config.Config;
import barrowshore.config.ConfigException;
import barrowshore.operator.OperatorSettings;
import barrowshore.operator.SchedulerConfig;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a reload that applies an invalid configuration in part: it must change nothing. */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ReloadOperatorTest {
    private static SchedulerConfig schedulerConfig(OperatorSettings operatorSettings) {
        try {
            return new SchedulerConfig(
                    Config.parse(Files.readString(Path.of("src/test/resources/exchanges/config.json"))
                            .replace("$S", "127.0.0.1:7")
                            .replace("$D", "127.0.0.1:9")),
                    operatorSettings);
        } catch (java.io.IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Number of halls before the next reload: at its read, the earlier reloads have been applied. */
    private static int hallCountBeforeReload(JobScheduler scheduler, Supplier<SchedulerConfig> next) throws Exception {
        CompletableFuture<Integer> hallCount = new CompletableFuture<>();
        scheduler.reload(() -> {
            hallCount.complete(scheduler.hallStates().join().size());
            return next.get();
        });
        return hallCount.get();
    }

    @Test
    void aBadReloadKeepsTheHallsAndAGoodOneSwitchesThem() throws Exception {
        OperatorSettings hallsOn = new OperatorSettings(OperatorSettings.HallSettings.defaults());
        JobScheduler scheduler = JobScheduler.start(schedulerConfig(OperatorSettings.NONE));
        try {
            assertThat(hallCountBeforeReload(scheduler, () -> schedulerConfig(hallsOn)))
                    .isZero();
            assertThat(hallCountBeforeReload(scheduler, () -> {
                        throw new ConfigException("operator.xml: line 3, column 7: halls: broken on purpose");
                    }))
                    .isEqualTo(2);
            // A preference of an unknown hall, which is detected only when both files are combined.
            assertThat(hallCountBeforeReload(
                            scheduler,
                            () -> schedulerConfig(OperatorSettings.parse(
                                    "f",
                                    "<operator xmlns=\"urn:barrowshore:operator:1\"><halls>"
                                            + "<preference of=\"nowhere\"><tier><hall name=\"a\"/></tier>"
                                            + "</preference></halls></operator>"))))
                    .isEqualTo(2);
            assertThat(hallCountBeforeReload(scheduler, () -> schedulerConfig(OperatorSettings.NONE)))
                    .isEqualTo(2);
            assertThat(hallCountBeforeReload(scheduler, () -> schedulerConfig(OperatorSettings.NONE)))
                    .isZero();
        } finally {
            scheduler.stop();
        }
    }
}
