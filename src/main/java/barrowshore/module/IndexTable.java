// Part of the decision module; its whole interface is DispatchApi.java.
package barrowshore.module;

import java.util.Arrays;

/**
 * The routing index of a worker with so many slots, by jobs in flight: the threshold admission problem on
 * an M/M/s/B queue (Berten and Gaujal, "Index routing for task allocation in Grids", sections 2.3 to 3.4).
 * Immutable and a pure function of its arguments, so {@link IndexTableCache} shares it.
 *
 * <p>The worker is modelled alone, with arrival rate load*s*mu. Uniformized by Lambda = (1+load)*s*mu, the
 * table depends on s, B, load and alpha only, in mean service times 1/mu. In the paper's symbols: slots is
 * s, bound is B, discount is alpha, rejectCost is R, threshold is Theta, costs are J; accepting costs c =
 * 1.
 */
final class IndexTable {
    /** Discount horizon, 1/(1-alpha) steps: long compared with the queue's relaxation time. */
    static final double HORIZON_SERVICE_TIMES = 50;
    /** Precision of the bisection, as a share of its range 0 .. c/(1-alpha). */
    static final double SEARCH_PRECISION_SHARE = 1e-5;
    /** Resolution of the grid on which expected(0, m) is inverted. */
    private static final int GRID_POINTS_PER_JOB = 4;

    final int slots;
    /**
     * Cost of one more job, in mean service times: at x jobs in flight, and at a Poisson number of mean x.
     */
    private final Curve index, expectedIndex;

    IndexTable(int slots, int bound, double load) {
        this.slots = slots;
        // A full worker is avoided, so beyond B-1 the index only has to keep rising.
        this.index = new Curve(computeIndex(slots, bound, load), 1, 1.0 / slots);
        double[] mean = new double[bound * GRID_POINTS_PER_JOB + 1];
        Arrays.setAll(mean, i -> index.expectedAt(0, (double) i / GRID_POINTS_PER_JOB));
        this.expectedIndex = new Curve(mean, GRID_POINTS_PER_JOB, 0);
    }

    /** I(0) .. I(B-1), where I(x) = sup{R : Theta(R) <= x}, by bisection, in mean service times. */
    static double[] computeIndex(int slots, int bound, double load) {
        double stepsPerServiceTime = slots * (1 + load),
                discount = 1 - 1 / (HORIZON_SERVICE_TIMES * stepsPerServiceTime),
                maxRejectCost = 1 / (1 - discount);
        double[] index = new double[bound];
        double low = 0;
        for (int jobs = Math.min(slots, bound) - 1; jobs < bound; jobs++) {
            double high = maxRejectCost, from = low;
            while (high - from > SEARCH_PRECISION_SHARE * maxRejectCost) {
                double rejectCost = (from + high) / 2;
                // Lemma 4: a queue bounded at x+1 is enough to tell whether the threshold exceeds x.
                boolean within = optimalThreshold(slots, jobs + 1, load, discount, rejectCost) <= jobs;
                from = within ? rejectCost : from;
                high = within ? high : rejectCost;
            }
            low = from;
            index[jobs] = (from + high) / 2 / stepsPerServiceTime;
        }
        // Lemma 2: the index is constant while a slot is free.
        Arrays.fill(index, 0, Math.min(slots, bound), index[Math.min(slots, bound) - 1]);
        return index;
    }

    /** Theta(R) by Algorithm 1. By equation 2, accepting at x is optimal iff J(x+1) - J(x) <= (R-c)/alpha. */
    static int optimalThreshold(int slots, int bound, double load, double discount, double rejectCost) {
        double maxRise = (rejectCost - 1) / discount;
        int best = bound;
        for (int round = 0; round <= bound + 1; round++) {
            int threshold = best;
            double[] costs = discountedPolicyCosts(slots, bound, load, discount, rejectCost, threshold);
            double bestObjective = -discount * costs[threshold] + threshold * (rejectCost - 1);
            for (int step = 1; step >= -1; step -= 2) {
                for (int next = threshold + step; next >= 0 && next <= bound; next += step) {
                    double rise = step > 0 ? costs[next] - costs[next - 1] : costs[next + 1] - costs[next];
                    if (step * (maxRise - rise) < 0) {
                        break; // not admissible, nor is any threshold beyond
                    }
                    double objective = -discount * costs[next] + next * (rejectCost - 1);
                    best = objective > bestObjective ? next : best;
                    bestObjective = Math.max(bestObjective, objective);
                }
            }
            if (best == threshold) {
                break;
            }
        }
        return best;
    }

    /** J of the policy with this threshold: solves the tridiagonal system (alpha*F - I) J = -S. */
    static double[] discountedPolicyCosts(
            int slots, int bound, double load, double discount, double rejectCost, int threshold) {
        double arrive = load / (1 + load), serve = 1 / (slots * (1 + load));
        double[] up = new double[bound + 1], costs = new double[bound + 1];
        for (int x = 0; x <= bound; x++) {
            double in = x < threshold ? arrive : 0, out = serve * Math.min(x, slots);
            double cost = x + in - out + (x < threshold ? 0 : rejectCost * arrive), below = discount * out;
            double pivot = 1 - discount * (1 - in - out) - (x == 0 ? 0 : below * up[x - 1]);
            up[x] = discount * in / pivot;
            costs[x] = (cost + (x == 0 ? 0 : below * costs[x - 1])) / pivot;
        }
        for (int x = bound - 1; x >= 0; x--) {
            costs[x] += up[x] * costs[x + 1];
        }
        return costs;
    }

    /** The expected index with ownJobs of ours, and others' jobs Poisson distributed with the given mean. */
    double expected(double ownJobs, double meanOtherJobs) {
        return index.expectedAt(ownJobs, meanOtherJobs);
    }

    /** The m at which expected(0, m) reaches the value; 0 if expected(0, 0) is above it. */
    double inverse(double value) {
        return expectedIndex.inverse(value);
    }

    /** The index of an idle worker: the discounted service time. */
    double idleIndex() {
        return index.valueAt(0);
    }
}
