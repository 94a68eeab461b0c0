package barrowshore.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

/** Checks the least-squares fit against values computed by hand. */
class LineFitTest {
    private static final double EXACT = 1e-9;

    @Test
    void pointsOnALineAreFittedWithoutResidual() {
        LineFit fit =
                LineFit.of(new double[] {96, 385, 770}, new double[] {3 + 0.5 * 96, 3 + 0.5 * 385, 3 + 0.5 * 770});
        assertThat(fit.intercept()).isCloseTo(3, within(EXACT));
        assertThat(fit.slope()).isCloseTo(0.5, within(EXACT));
        assertThat(fit.residual()).isCloseTo(0, within(EXACT));
        assertThat(fit.at(1_540)).isCloseTo(773, within(EXACT));
    }

    @Test
    void theResidualIsTheRootOfTheMeanSquaredDistance() {
        // The line is 1 + x; the points lie 1 above it and below it by turns, so that none is nearer to another line.
        LineFit fit = LineFit.of(new double[] {0, 1, 2, 3}, new double[] {2, 1, 2, 5});
        assertThat(fit.slope()).isCloseTo(1, within(EXACT));
        assertThat(fit.intercept()).isCloseTo(1, within(EXACT));
        assertThat(fit.residual()).isCloseTo(1, within(EXACT));
    }

    @Test
    void equalSizesAreRejected() {
        assertThatIllegalArgumentException().isThrownBy(() -> LineFit.of(new double[] {5, 5}, new double[] {1, 2}));
    }
}
