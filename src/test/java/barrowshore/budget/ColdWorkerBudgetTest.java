package barrowshore.budget;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Tests who has a turn. RulesTest tests with real dispatchers that all together stay within the total. */
class ColdWorkerBudgetTest {
    private static final long WINDOW_MICROS = 3_000_000;

    /** With one turn at a time, only 3 of 14 schedulers would reach a worker that is warm after eight windows. */
    @Test
    void manySchedulersGetATurnSoonWhereTheWindowHoldsManyJobs() {
        assertThat(IntStream.range(0, 14)
                        .mapToObj(k -> ColdWorkerBudget.Terms.of(14, k, WINDOW_MICROS, 3, 180_000))
                        .filter(terms -> LongStream.range(0, 900).anyMatch(t -> terms.hasTurn(t * 10_000, 12345)))
                        .count())
                .isGreaterThanOrEqualTo(7);
    }

    @Test
    void oneTrackIsUsedWhereTheWindowHoldsFewJobs() {
        assertThat(ColdWorkerBudget.Terms.of(14, 0, 2_000_000, 3, 417_000).tracks())
                .isEqualTo(1);
        assertThat(ColdWorkerBudget.Terms.of(1, 0, WINDOW_MICROS, 3, 1).tracks())
                .isEqualTo(1);
        assertThatThrownBy(() -> new ColdWorkerBudget.Terms(1, 0, 0, 1)).hasMessageContaining("window");
    }

    /** A restarted scheduler does not know what its predecessor sent in the same turn. */
    @Test
    void aFreshProcessSendsNothingInATurnThatBeganBeforeIt() {
        ColdWorkerBudget.Terms longRunning = ColdWorkerBudget.Terms.of(30, 7, WINDOW_MICROS, 3, 180_000);
        long[] timesWithTurn = LongStream.range(0, 100_000)
                .map(t -> t * 10_000)
                .filter(t -> longRunning.hasTurn(t, 12345) && longRunning.hasTurn(t + 1, 12345))
                .toArray();
        long start = timesWithTurn[timesWithTurn.length / 2] + 1;
        ColdWorkerBudget.Terms fresh = longRunning.startedAt(start);
        assertThat(fresh.hasTurn(start, 12345)).isFalse();
        assertThat(new ColdWorkerBudget().allows(start, fresh, 12345, 1e9, 1)).isFalse();
        assertThat(new ColdWorkerBudget().allows(start, longRunning, 12345, 1e9, 1))
                .isTrue();
        long firstTime = LongStream.of(timesWithTurn)
                .filter(t -> fresh.hasTurn(t, 12345))
                .findFirst()
                .orElseThrow();
        assertThat(firstTime).isGreaterThan(start);
        assertThat(LongStream.of(timesWithTurn).filter(t -> t >= firstTime)).allMatch(t -> fresh.hasTurn(t, 12345));
    }
}
