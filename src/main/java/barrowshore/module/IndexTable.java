// Part of the decision module; its whole interface is DispatchApi.java.
package barrowshore.module;

import java.util.Arrays;

/**
 * The index of one worker shape, from a threshold admission problem on an M/M/s/B queue (Berten and
 * Gaujal, "Index routing for task allocation in Grids", sections 2.3 to 3.4). A pure function.
 *
 * <p>Our reading: the worker is modelled alone, with arrivals load*s*mu. Uniformised by its own
 * Lambda = (1+load)*s*mu, the table depends on s, B, load and alpha only, in mean service times 1/mu.
 */
final class IndexTable {
    /** Discount horizon in mean service times: 1/(1-alpha) steps. Long against a queue's relaxation time. */
    static final double HORIZON = 50;
    /** Precision of the dichotomy, as a share of its range 0 .. c/(1-alpha). */
    static final double EPSILON = 1e-5;
    /** Points per job of the grid on which expected(0, m) is inverted. */
    private static final int GRID = 4;

    final int slots;
    /** index[x], x = 0 .. B-1: what one more job costs at x jobs in flight, in mean service times. */
    private final Curve index, blurred;

    IndexTable(int slots, int bound, double load) {
        this.slots = slots;
        // A full worker is set aside, so what lies beyond B-1 only has to go on rising.
        this.index = new Curve(compute(slots, bound, load), 1, 1.0 / slots);
        double[] mean = new double[bound * GRID + 1];
        Arrays.setAll(mean, i -> index.poisson(0, (double) i / GRID));
        this.blurred = new Curve(mean, GRID, 0);
    }

    /** I(0) .. I(B-1) = sup{R : Theta(R) <= x}, by dichotomy with c = 1, in mean service times. */
    static double[] compute(int s, int bound, double load) {
        double steps = s * (1 + load), alpha = 1 - 1 / (HORIZON * steps), top = 1 / (1 - alpha);
        double[] index = new double[bound];
        double low = 0;
        for (int x = Math.min(s, bound) - 1; x < bound; x++) {
            double high = top, from = low;
            while (high - from > EPSILON * top) {
                double r = (from + high) / 2;
                // Lemma 4: whether the threshold exceeds x is already decided on a queue of size x+1.
                boolean within = threshold(s, x + 1, load, alpha, r) <= x;
                from = within ? r : from;
                high = within ? high : r;
            }
            low = from;
            index[x] = (from + high) / 2 / steps;
        }
        // Lemma 2: flat while a slot is free.
        Arrays.fill(index, 0, Math.min(s, bound), index[Math.min(s, bound) - 1]);
        return index;
    }

    /** Theta(R): Algorithm 1. By eq. 2, accepting at x is right iff J(x+1) - J(x) <= (R-c)/alpha. */
    static int threshold(int s, int bound, double load, double alpha, double r) {
        double gain = (r - 1) / alpha;
        int best = bound;
        for (int round = 0; round <= bound + 1; round++) {
            int theta = best;
            double[] j = solve(s, bound, load, alpha, r, theta);
            double top = -alpha * j[theta] + theta * (r - 1);
            for (int step = 1; step >= -1; step -= 2) {
                for (int t = theta + step; t >= 0 && t <= bound; t += step) {
                    double rise = step > 0 ? j[t] - j[t - 1] : j[t + 1] - j[t];
                    if (step * (gain - rise) < 0) {
                        break; // not admissible, nor is any threshold beyond
                    }
                    double g = -alpha * j[t] + t * (r - 1);
                    best = g > top ? t : best;
                    top = Math.max(top, g);
                }
            }
            if (best == theta) {
                break;
            }
        }
        return best;
    }

    /** J of the policy with threshold theta: the tridiagonal system (alpha*F - I) J = -S, c = 1. */
    static double[] solve(int s, int bound, double load, double alpha, double r, int theta) {
        double arrive = load / (1 + load), serve = 1 / (s * (1 + load));
        double[] up = new double[bound + 1], j = new double[bound + 1];
        for (int x = 0; x <= bound; x++) {
            double in = x < theta ? arrive : 0, out = serve * Math.min(x, s);
            double cost = x + in - out + (x < theta ? 0 : r * arrive), below = alpha * out;
            double pivot = 1 - alpha * (1 - in - out) - (x == 0 ? 0 : below * up[x - 1]);
            up[x] = alpha * in / pivot;
            j[x] = (cost + (x == 0 ? 0 : below * j[x - 1])) / pivot;
        }
        for (int x = bound - 1; x >= 0; x--) {
            j[x] += up[x] * j[x + 1];
        }
        return j;
    }

    /** The expected index at own jobs of ours and about m of others, whose number is Poisson around m. */
    double expected(double own, double m) {
        return index.poisson(own, m);
    }

    /** The m at which expected(0, m) reaches the value; 0 where it is above from the start. */
    double inverse(double value) {
        return blurred.inverse(value);
    }

    /** The index of an idle worker: the discounted service time itself. */
    double idle() {
        return index.at(0);
    }
}
