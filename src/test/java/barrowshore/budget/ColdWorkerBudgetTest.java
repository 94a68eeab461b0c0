package barrowshore.budget;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Who has a turn; that all together stay under the whole is tried with real modules in RulesTest. */
class ColdWorkerBudgetTest {
    private static final long WINDOW = 3_000_000;

    /** One scheduler in fourteen at a time would leave a worker that is warm after eight windows to three of them. */
    @Test
    void manySchedulersGetATurnSoonWhereTheWindowHoldsManyJobs() {
        assertThat(IntStream.range(0, 14)
                        .mapToObj(k -> ColdWorkerBudget.Terms.of(14, k, WINDOW, 3, 180_000))
                        .filter(terms -> LongStream.range(0, 900).anyMatch(t -> terms.hasTurn(t * 10_000, 12345)))
                        .count())
                .isGreaterThanOrEqualTo(7);
    }

    @Test
    void oneTrackIsUsedWhereTheWindowHoldsFewJobs() {
        assertThat(ColdWorkerBudget.Terms.of(14, 0, 2_000_000, 3, 417_000).tracks())
                .isEqualTo(1);
        assertThat(ColdWorkerBudget.Terms.of(1, 0, WINDOW, 3, 1).tracks()).isEqualTo(1);
        assertThatThrownBy(() -> new ColdWorkerBudget.Terms(1, 0, 0, 1)).hasMessageContaining("window");
    }

    /** What a process of the same name sent before, in the same turn, is not known to the one that follows it. */
    @Test
    void aFreshProcessSendsNothingInATurnThatBeganBeforeIt() {
        ColdWorkerBudget.Terms old = ColdWorkerBudget.Terms.of(30, 7, WINDOW, 3, 180_000);
        long[] turns = LongStream.range(0, 100_000)
                .map(t -> t * 10_000)
                .filter(t -> old.hasTurn(t, 12345) && old.hasTurn(t + 1, 12345))
                .toArray();
        long start = turns[turns.length / 2] + 1;
        ColdWorkerBudget.Terms fresh = old.startedAt(start);
        assertThat(fresh.hasTurn(start, 12345)).isFalse();
        assertThat(new ColdWorkerBudget().allows(start, fresh, 12345, 1e9, 1)).isFalse();
        assertThat(new ColdWorkerBudget().allows(start, old, 12345, 1e9, 1)).isTrue();
        long first = LongStream.of(turns)
                .filter(t -> fresh.hasTurn(t, 12345))
                .findFirst()
                .orElseThrow();
        assertThat(first).isGreaterThan(start);
        assertThat(LongStream.of(turns).filter(t -> t >= first)).allMatch(t -> fresh.hasTurn(t, 12345));
    }
}
