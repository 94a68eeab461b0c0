package barrowshore.module;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Work hints that can be trusted and ones that cannot; decaying means with few values. */
class HintModelTest {
    private final SplittableRandom random = new SplittableRandom(7);
    private final HintModel model = new HintModel();

    private double randomFactor(double factor) {
        return Math.exp(factor * (random.nextDouble() + random.nextDouble() + random.nextDouble() - 1.5));
    }

    @Test
    void aTrustedHintIsTakenAsItIs() {
        for (int k = 0; k < 40; k++) {
            double work = 100_000 * randomFactor(2);
            model.recordRun(work * randomFactor(0.3), work * randomFactor(0.5)); // machines' speeds vary
        }
        assertThat(model.isProven()).isTrue();
        assertThat(model.expectedWork(250_000)).isEqualTo(250_000);
    }

    @Test
    void anUncorrelatedHintIsReplacedByTheMeanWork() {
        assertThat(model.expectedWork(250_000)).isEqualTo(250_000); // no job recorded yet
        for (int k = 0; k < 60; k++) {
            model.recordRun(100_000 * randomFactor(3), 100_000 * randomFactor(0.5));
        }
        assertThat(model.isTrusted()).isFalse();
        assertThat(model.expectedWork(2_000_000)).isCloseTo(100_000, within(40_000.0));
        assertThat(model.expectedWork(10_000)).isCloseTo(100_000, within(40_000.0));
        model.rescaleWork(2);
        assertThat(model.expectedWork(100_000)).isCloseTo(200_000, within(60_000.0));
    }

    @Test
    void hintsAreNotProvenByAFewJobs() {
        assertThat(model.isProven()).isFalse();
        for (int k = 0; k < 5; k++) {
            model.recordRun(100_000, 100_000);
        }
        assertThat(model.isTrusted()).isTrue();
        assertThat(model.isProven()).isFalse();
    }

    @Test
    void aNewDecayingMeanIsThePlainMean() {
        DecayWeight fade = new DecayWeight();
        double mean = fade.nextKeepShare(0, 1_000) * 5;
        for (int k = 1; k <= 4; k++) {
            double keep = fade.nextKeepShare(k * 10, 1_000);
            mean = keep * mean + (1 - keep) * 8;
        }
        assertThat(mean).isEqualTo(8); // the initial 5 has no weight
        double keep = fade.nextKeepShare(100_000, 1_000);
        assertThat(keep).isLessThan(1e-9);
        assertThat(fade.nextKeepShare(100_500, 1_000)).isCloseTo(Math.sqrt(0.5), within(1e-9));
    }
}
