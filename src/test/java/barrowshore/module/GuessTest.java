package barrowshore.module;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guesses that are worth something, and such that are not; means that have only begun. */
class GuessTest {
    private final SplittableRandom random = new SplittableRandom(7);
    private final Guess guess = new Guess();

    private double spread(double factor) {
        return Math.exp(factor * (random.nextDouble() + random.nextDouble() + random.nextDouble() - 1.5));
    }

    @Test
    void aGoodGuessIsTakenAsItIs() {
        for (int k = 0; k < 40; k++) {
            double work = 100_000 * spread(2);
            guess.saw(work * spread(0.3), work * spread(0.5)); // a machine is now faster, now slower
        }
        assertThat(guess.proven()).isTrue();
        assertThat(guess.work(250_000)).isEqualTo(250_000);
    }

    @Test
    void oneWithoutBearingGivesWayToWhatJobsUsuallyAre() {
        assertThat(guess.work(250_000)).isEqualTo(250_000); // until something is seen
        for (int k = 0; k < 60; k++) {
            guess.saw(100_000 * spread(3), 100_000 * spread(0.5));
        }
        assertThat(guess.good()).isFalse();
        assertThat(guess.work(2_000_000)).isCloseTo(100_000, within(40_000.0));
        assertThat(guess.work(10_000)).isCloseTo(100_000, within(40_000.0));
        guess.rescale(2);
        assertThat(guess.work(100_000)).isCloseTo(200_000, within(60_000.0));
    }

    @Test
    void noGuessIsLeanedOnBeforeSomeHaveBeenSeen() {
        assertThat(guess.proven()).isFalse();
        for (int k = 0; k < 5; k++) {
            guess.saw(100_000, 100_000);
        }
        assertThat(guess.good()).isTrue();
        assertThat(guess.proven()).isFalse();
    }

    @Test
    void aMeanThatHasOnlyBegunIsThePlainMean() {
        Fade fade = new Fade();
        double mean = fade.keep(0, 1_000) * 5;
        for (int k = 1; k <= 4; k++) {
            double keep = fade.keep(k * 10, 1_000);
            mean = keep * mean + (1 - keep) * 8;
        }
        assertThat(mean).isEqualTo(8); // 5 was before anything had been seen
        double keep = fade.keep(100_000, 1_000);
        assertThat(keep).isLessThan(1e-9);
        assertThat(fade.keep(100_500, 1_000)).isCloseTo(Math.sqrt(0.5), within(1e-9));
    }
}
