package barrowshore.module;

/** A non-decreasing function, given at 0, 1/n, 2/n ... with n points per unit and interpolated linearly. */
final class Curve {
    private final double[] values;
    private final int pointsPerUnit;
    private final double endSlope;

    /** Beyond the last point the function continues at its last slope, or minEndSlope if that is greater. */
    Curve(double[] values, int pointsPerUnit, double minEndSlope) {
        this.values = values;
        this.pointsPerUnit = pointsPerUnit;
        int lastIndex = values.length - 1;
        this.endSlope = lastIndex > 0
                ? Math.max(minEndSlope, (values[lastIndex] - values[lastIndex - 1]) * pointsPerUnit)
                : minEndSlope;
    }

    /** The value at x, interpolated. */
    double valueAt(double x) {
        double position = Math.max(0, x) * pointsPerUnit;
        int index = (int) position, lastIndex = values.length - 1;
        return index >= lastIndex
                ? values[lastIndex] + (position - lastIndex) / pointsPerUnit * endSlope
                : values[index] + (position - index) * (values[index + 1] - values[index]);
    }

    /** The expected value at x plus a Poisson variable of the given mean. */
    double expectedAt(double x, double mean) {
        if (mean <= 0) {
            return valueAt(x);
        }
        double probability = Math.exp(-mean), sum = 0, remaining = 1;
        for (int k = 0; remaining > 1e-3 && k < mean + 40; k++) {
            sum += probability * valueAt(x + k);
            remaining -= probability;
            probability *= mean / (k + 1);
        }
        return sum + Math.max(0, remaining) * valueAt(x + mean);
    }

    /** The greatest x on the grid's range whose value is at most the given one; 0 if there is none. */
    double inverse(double value) {
        int low = 0, high = values.length - 1;
        if (value < values[0] || value >= values[high]) {
            return value < values[0] ? 0 : (double) high / pointsPerUnit;
        }
        while (high - low > 1) {
            int mid = (low + high) >>> 1;
            low = values[mid] <= value ? mid : low;
            high = values[mid] <= value ? high : mid;
        }
        return (low + (value - values[low]) / (values[high] - values[low])) / pointsPerUnit;
    }
}
