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

/** Drawn deployments: whatever a platform tells and allows, rules hold; and the world that says so sees a broken one. */
class DeploymentComparisonTest {
    private static Report play(long seed, World.Modules modules) {
        Deployment.Drawn drawn = Deployment.draw(seed);
        return new World(drawn.day(), drawn.deployment(), OperatorSettings.NONE, seed, modules).play();
    }

    /** A policy that believes other settings than are in force. */
    private static World.Modules misled(Consumer<Settings> otherwise) {
        return (settings, actions, truth) -> {
            Settings believed = new Settings();
            believed.copyIdentityFrom(settings);
            believed.copyReloadableFrom(settings);
            otherwise.accept(believed);
            return new BaselineDispatcher(
                    Policy.RANDOM, believed, actions, new SplittableRandom(settings.seed)::nextDouble, null);
        };
    }

    @Test
    void noRuleIsBrokenOnAnyDeployment() {
        assertThat(DeploymentComparison.play(150, 1, false))
                .allSatisfy(row -> assertThat(row.module().rulesBroken())
                        .as("seed %d: %s", row.seed(), row.drawn().deployment().features())
                        .isEmpty());
    }

    @Test
    void everyRivalKeepsTheRules() {
        List<DeploymentComparison.Row> rows = DeploymentComparison.play(40, 1, true);
        assertThat(rows).allSatisfy(row -> assertThat(row.rivals()).hasSize(Policy.values().length));
        // One that is put at 0 has broken a rule: a slow start by chance may push a cold node over now and then.
        assertThat(rows.stream()
                        .flatMap(row -> row.rivals().values().stream())
                        .filter(score -> score == 0)
                        .count())
                .isLessThan(12);
    }

    @Test
    void whateverDecidesTheDayIsTheSame() {
        for (long seed : new long[] {3, 4, 5}) {
            double asked = play(seed, Emulator::module).asked();
            assertThat(play(seed, misled(s -> {})).asked()).isEqualTo(asked);
            assertThat(new JSON().toJSON(play(seed, Emulator::module).json()))
                    .isEqualTo(new JSON().toJSON(play(seed, Emulator::module).json()));
        }
    }

    @Test
    void aJobThatRunsTwiceIsSeen() {
        assertThat(LongStream.range(1, 40)
                        .mapToObj(seed -> play(
                                seed,
                                misled(s -> s.classes = Arrays.stream(s.classes)
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
                        .map(Report::rulesBroken))
                .anyMatch(rules -> rules.contains("ran twice"));
    }

    @Test
    void whatIsNotAllowedIsSeen() {
        assertThat(LongStream.range(1, 40)
                        .mapToObj(seed -> play(seed, misled(s -> s.maxAttempts = 9)))
                        .map(Report::rulesBroken))
                .anyMatch(rules -> rules.contains("not allowed"));
    }

    @Test
    void theTableNamesWhatIsOnWorstFirst() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        DeploymentComparison.run(new PrintStream(out, true), 6, 1, true, null);
        assertThat(out.toString())
                .contains("6 deployments from seed 1", "true state", "where this is on", "schedulers");
        assertThatThrownBy(() -> DeploymentComparison.run(new PrintStream(out), 0, 1, true, null))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining("--deployments");
    }
}
