package barrowshore.emulate;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import barrowshore.emulate.Evenness.Look;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What is counted of an even load, on spreads that are known. */
class EvennessTest {
    private static final Look FREE = new Look(4, 4, 0), FULL = new Look(4, 0, 6), GONE = new Look(0, 4, 0);
    private final Evenness even = new Evenness();

    private void second(List<Look> nodes, int... to) {
        for (int k = 0; k < 10; k++) {
            for (int scheduler = 0; scheduler < to.length; scheduler++) {
                even.came(to[scheduler], scheduler, 100_000);
            }
            even.look(nodes, 4);
        }
    }

    @Test
    void anEvenSpreadVariesInNothing() {
        second(Collections.nCopies(4, FREE), 0, 1, 2, 3);
        assertThat(even.variationShort()).isZero();
        assertThat(even.variationLong()).isZero();
        assertThat(even.mostLong()).isEqualTo(1);
        assertThat(even.idleWhileOthersQueue()).isZero();
        assertThat(even.crowd()).as("one at each, where chance crowds them").isLessThan(0.5);
    }

    @Test
    void aHerdIsSeen() {
        second(List.of(FULL, FREE, FREE, FREE), 0, 0, 0, 0);
        assertThat(even.mostLong()).isEqualTo(4);
        assertThat(even.variationLong()).isCloseTo(Math.sqrt(3), within(1e-9));
        assertThat(even.idleWhileOthersQueue())
                .as("6 slots of work wait, 12 are free, 4 nodes")
                .isEqualTo(1.5);
        assertThat(even.crowd()).isGreaterThanOrEqualTo(1);
    }

    @Test
    void whatIsGoneCountsForNothing() {
        second(List.of(FREE, FREE, GONE, FULL), 0, 1, 3, 3);
        assertThat(even.mostLong()).isCloseTo(1.5, within(1e-9));
        assertThat(even.idleWhileOthersQueue()).isEqualTo(2);
    }
}
