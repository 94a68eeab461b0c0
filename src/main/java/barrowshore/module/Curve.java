package barrowshore.module;

/** Arithmetic on a non-decreasing function given at 0, 1/grid, 2/grid ...; it decides nothing. */
final class Curve {
    private final double[] values;
    private final int grid;
    private final double slope;

    /** Beyond the last point it goes on at its last slope, or at least at the one given. */
    Curve(double[] values, int grid, double slope) {
        this.values = values;
        this.grid = grid;
        int last = values.length - 1;
        this.slope = last > 0 ? Math.max(slope, (values[last] - values[last - 1]) * grid) : slope;
    }

    /** The value at x, interpolated. */
    double at(double x) {
        double place = Math.max(0, x) * grid;
        int k = (int) place, last = values.length - 1;
        return k >= last
                ? values[last] + (place - last) / grid * slope
                : values[k] + (place - k) * (values[k + 1] - values[k]);
    }

    /** The expected value at x plus a Poisson number of mean m. */
    double poisson(double x, double m) {
        if (m <= 0) {
            return at(x);
        }
        double p = Math.exp(-m), sum = 0, left = 1;
        for (int k = 0; left > 1e-3 && k < m + 40; k++) {
            sum += p * at(x + k);
            left -= p;
            p *= m / (k + 1);
        }
        return sum + Math.max(0, left) * at(x + m);
    }

    /** The greatest known x whose value is at most the given one; 0 if there is none. */
    double inverse(double value) {
        int low = 0, high = values.length - 1;
        if (value < values[0] || value >= values[high]) {
            return value < values[0] ? 0 : (double) high / grid;
        }
        while (high - low > 1) {
            int mid = (low + high) >>> 1;
            low = values[mid] <= value ? mid : low;
            high = values[mid] <= value ? high : mid;
        }
        return (low + (value - values[low]) / (values[high] - values[low])) / grid;
    }
}
