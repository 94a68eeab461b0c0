package barrowshore.emulate;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import barrowshore.baseline.BaselineDispatcher;
import barrowshore.baseline.BaselineDispatcher.Policy;
import barrowshore.config.ConfigException;
import barrowshore.module.DispatchApi.JobClass;
import barrowshore.module.DispatchApi.RepeatSafety;
import barrowshore.module.DispatchApi.Settings;
import barrowshore.operator.OperatorSettings;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import org.eclipse.jetty.util.ajax.JSON;
import org.junit.jupiter.api.Test;

/** Random deployments: the module violates no rule on any of them, and the emulation detects violations by others. */
class DeploymentComparisonTest {
    private static Report run(long seed, Emulation.ModuleFactory moduleFactory) {
        Deployment.DrawnDeployment drawn = Deployment.draw(seed);
        return new Emulation(drawn.scenario(), drawn.deployment(), OperatorSettings.NONE, seed, moduleFactory).run();
    }

    /** A baseline policy that works with other settings than those in force. */
    private static Emulation.ModuleFactory withWrongSettings(Consumer<Settings> change) {
        return (settings, actions, trueState) -> {
            Settings wrongSettings = new Settings();
            wrongSettings.copyIdentityFrom(settings);
            wrongSettings.copyReloadableFrom(settings);
            change.accept(wrongSettings);
            return new BaselineDispatcher(
                    Policy.RANDOM, wrongSettings, actions, new SplittableRandom(settings.seed)::nextDouble, null);
        };
    }

    @Test
    void noRuleIsViolatedOnAnyDeployment() {
        assertThat(DeploymentComparison.compare(150, 1, false))
                .allSatisfy(row -> assertThat(row.module().violations())
                        .as("seed %d: %s", row.seed(), row.drawn().deployment().features())
                        .isEmpty());
    }

    @Test
    void everyBaselineKeepsTheRules() {
        List<DeploymentComparison.Result> rows = DeploymentComparison.compare(40, 1, true);
        assertThat(rows).allSatisfy(row -> assertThat(row.baselineScores()).hasSize(Policy.values().length));
        // A score of 0 means a violated rule: the random slow start of baselines may now and then overload a cold node.
        assertThat(rows.stream()
                        .flatMap(row -> row.baselineScores().values().stream())
                        .filter(score -> score == 0)
                        .count())
                .isLessThan(12);
    }

    @Test
    void offeredWorkDoesNotDependOnTheModule() {
        for (long seed : new long[] {3, 4, 5}) {
            double offered = run(seed, Emulator::productionModule).offeredWorth();
            assertThat(run(seed, withWrongSettings(s -> {})).offeredWorth()).isEqualTo(offered);
            assertThat(new JSON().toJSON(run(seed, Emulator::productionModule).json()))
                    .isEqualTo(new JSON()
                            .toJSON(run(seed, Emulator::productionModule).json()));
        }
    }

    @Test
    void duplicateRunsAreDetected() {
        assertThat(LongStream.range(1, 40)
                        .mapToObj(seed -> run(
                                seed,
                                withWrongSettings(s -> s.classes = Arrays.stream(s.classes)
                                        .map(c -> new JobClass(
                                                c.targetMicros(),
                                                c.targetStretch(),
                                                c.deadlineMicros(),
                                                c.worth(),
                                                0,
                                                RepeatSafety.SAFE,
                                                c.scope(),
                                                0,
                                                -1,
                                                0))
                                        .toArray(JobClass[]::new))))
                        .map(Report::violations))
                .anyMatch(violations -> violations.contains("ran twice"));
    }

    @Test
    void forbiddenActionsAreDetected() {
        assertThat(LongStream.range(1, 40)
                        .mapToObj(seed -> run(seed, withWrongSettings(s -> s.maxAttempts = 9)))
                        .map(Report::violations))
                .anyMatch(violations -> violations.contains("not allowed"));
    }

    @Test
    void theTableListsFeaturesAndBaselines() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        DeploymentComparison.run(new PrintStream(out, true), 6, 1, true, null);
        assertThat(out.toString())
                .contains("6 deployments from seed 1", "true state", "where this is on", "schedulers");
        assertThatThrownBy(() -> DeploymentComparison.run(new PrintStream(out), 0, 1, true, null))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining("--deployments");
    }
}
