package barrowshore.budget;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Whatever schedulers ask for, and with clocks somewhat apart, what they may send together stays under the whole. */
class ColdTurnsTest {
    private static final long WINDOW = 3_000_000;

    private record Send(long at, double size) { }

    @Property(tries = 60, seed = "20261201")
    void allTogetherStayUnderTheWholeInAnyWindow(@ForAll long seed, @ForAll @IntRange(min = 1, max = 20) int schedulers,
                                                 @ForAll @IntRange(min = 1, max = 6) int wished) {
        int tracks = Math.min(wished, schedulers);
        Random chance = new Random(seed);
        int name = chance.nextInt();
        double whole = 2 + 20 * chance.nextDouble();
        long[] off = chance.longs(schedulers, 0, WINDOW / 20).toArray();
        List<ColdTurns> parts = new ArrayList<>();
        List<ColdTurns.Terms> terms = new ArrayList<>();
        for (int k = 0; k < schedulers; k++) {
            parts.add(new ColdTurns());
            terms.add(new ColdTurns.Terms(schedulers, k, WINDOW, tracks));
        }
        List<Send> sends = new ArrayList<>();
        for (long now = 1_700_000_000_000_000L, end = now + 30 * WINDOW; now < end; now += 20_000) {
            int k = chance.nextInt(schedulers);
            double size = 0.05 + chance.nextDouble();
            if (parts.get(k).may(now + off[k], terms.get(k), name, whole, size)) {
                parts.get(k).sent(now + off[k], terms.get(k), size);
                sends.add(new Send(now, size));
            }
        }
        double sum = 0;
        int first = 0;
        for (Send s : sends) {
            sum += s.size();
            while (sends.get(first).at() <= s.at() - WINDOW) {
                sum -= sends.get(first++).size();
            }
            assertThat(sum).isLessThanOrEqualTo(whole);
        }
    }

    /** One scheduler in fourteen at a time would leave a worker that is warm after eight windows to three of them. */
    @Test
    void whereTheWholeHoldsManyJobsManySchedulersHaveATurnSoon() {
        int served = 0;
        for (int k = 0; k < 14; k++) {
            ColdTurns.Terms terms = ColdTurns.Terms.of(14, k, WINDOW, 3, 180_000);
            boolean any = false;
            for (long now = 0; now < 3 * WINDOW; now += 10_000) {
                any |= terms.turn(now, 12345);
            }
            served += any ? 1 : 0;
        }
        assertThat(served).isGreaterThanOrEqualTo(8);
    }

    @Test
    void whereItHoldsFewOneTrackIsLeft() {
        assertThat(ColdTurns.Terms.of(14, 0, 2_000_000, 3, 417_000).tracks()).isEqualTo(1);
        assertThat(ColdTurns.Terms.of(1, 0, WINDOW, 3, 1).tracks()).isEqualTo(1);
    }

    @Test
    void termsWithoutAWindowAreNamed() {
        assertThatThrownBy(() -> new ColdTurns.Terms(1, 0, 0, 1)).hasMessageContaining("window");
    }
}
