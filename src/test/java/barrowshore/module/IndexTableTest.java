package barrowshore.module;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks index tables against value iteration, all other thresholds and the lemmas of Berten and Gaujal's paper. */
class IndexTableTest {
    private static final double ALPHA = 0.95;

    /** Minimal cost by value iteration on the Bellman equation (2) of the paper, whose symbols are used here. */
    private static double[] valueIteration(int s, int bound, double load, double r) {
        double arrive = load / (1 + load), serve = 1 / (s * (1 + load));
        double[] j = new double[bound + 1];
        for (int round = 0; round < 2_000; round++) {
            double[] next = new double[bound + 1];
            for (int x = 0; x <= bound; x++) {
                double out = serve * Math.min(x, s);
                double reject = ALPHA * j[x] + r;
                double accept = x < bound ? ALPHA * j[x + 1] + 1 : Double.POSITIVE_INFINITY;
                next[x] = x
                        - out
                        + arrive * Math.min(reject, accept)
                        + ALPHA * (out * (x > 0 ? j[x - 1] : 0) + (1 - arrive - out) * j[x]);
            }
            j = next;
        }
        return j;
    }

    @ParameterizedTest
    @CsvSource({"1,6,0.5,3", "1,6,0.9,8", "2,5,0.8,6", "4,10,0.8,9", "3,3,0.9,12", "4,2,0.5,5", "2,12,0.9,15"})
    void thresholdIsOptimal(int s, int bound, double load, double r) {
        int theta = IndexTable.optimalThreshold(s, bound, load, ALPHA, r);
        double[] best = valueIteration(s, bound, load, r);
        double[] cost = IndexTable.discountedPolicyCosts(s, bound, load, ALPHA, r, theta);
        for (int x = 0; x <= bound; x++) {
            assertEquals(best[x], cost[x], 1e-6, "state " + x);
            for (int t = 0; t <= bound; t++) {
                double other = IndexTable.discountedPolicyCosts(s, bound, load, ALPHA, r, t)[x];
                assertTrue(cost[x] <= other + 1e-9, "threshold " + t + " is better at " + x);
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"1,6,0.5", "2,8,0.9", "4,10,0.8", "3,3,0.9"})
    void thresholdRisesWithRejectionCostUpToTheBound(int s, int bound, double load) {
        int last = 0;
        double top = 1 / (1 - ALPHA);
        for (double r = 0; r < top; r += top / 60) {
            int theta = IndexTable.optimalThreshold(s, bound, load, ALPHA, r);
            assertTrue(theta >= last, "falls at R " + r);
            last = theta;
        }
        assertEquals(bound, IndexTable.optimalThreshold(s, bound, load, ALPHA, top));
        assertEquals(bound, IndexTable.optimalThreshold(s, bound, load, ALPHA, 2 * top));
    }

    @ParameterizedTest
    @CsvSource({"1,1,0.5", "1,12,0.9", "4,24,0.5", "4,24,0.9", "5,3,0.9", "8,8,0.5", "12,72,0.9"})
    void indexIsFlatWhileASlotIsFreeAndNeverFalls(int s, int bound, double load) {
        double[] index = IndexTable.computeIndex(s, bound, load);
        for (int x = 1; x < bound; x++) {
            if (x < s) {
                assertEquals(index[0], index[x], 0);
            } else {
                assertTrue(index[x] >= index[x - 1], "falls at " + x);
            }
        }
        // At indifference no other job is accepted, so an idle worker's index is the discounted service time.
        double steps = s * (1 + load), alpha = 1 - 1 / (IndexTable.HORIZON_SERVICE_TIMES * steps);
        double alone = 1 / (1 - alpha + alpha / steps) / steps;
        assertEquals(alone, index[0], IndexTable.SEARCH_PRECISION_SHARE * IndexTable.HORIZON_SERVICE_TIMES);
    }

    @ParameterizedTest
    @CsvSource({"2,8,0.9", "4,12,0.5"})
    void indexIsWhereTheThresholdJumps(int s, int bound, double load) {
        double steps = s * (1 + load), alpha = 1 - 1 / (IndexTable.HORIZON_SERVICE_TIMES * steps);
        double slack = 2 * IndexTable.SEARCH_PRECISION_SHARE / (1 - alpha);
        double[] index = IndexTable.computeIndex(s, bound, load);
        for (int x = s - 1; x < bound; x++) {
            assertTrue(
                    IndexTable.optimalThreshold(s, bound, load, alpha, index[x] * steps - slack) <= x, "below at " + x);
            assertTrue(
                    IndexTable.optimalThreshold(s, bound, load, alpha, index[x] * steps + slack) > x, "above at " + x);
        }
    }

    @ParameterizedTest
    @CsvSource({"4,0.9", "2,0.5"})
    void inverseUndoesTheExpectedIndex(int s, double load) {
        IndexTable table = new IndexTable(s, 6 * s, load);
        for (double m = s; m < 3 * s; m += 0.5) {
            assertEquals(m, table.inverse(table.expected(0, m)), 0.3);
        }
        assertTrue(table.expected(1, 2) >= table.expected(0, 2));
    }
}
