package barrowshore.capacity;

/**
 * The line of least squares through some points.
 *
 * @param intercept the line's value at 0
 * @param slope by how much it grows for each unit of size
 * @param residual the root of the mean squared distance of the points from the line
 */
public record LineFit(double intercept, double slope, double residual) {
    /** Fits values measured at sizes; there must be two sizes that differ. */
    public static LineFit of(double[] sizes, double[] values) {
        int count = sizes.length;
        double meanSize = mean(sizes);
        double meanValue = mean(values);
        double covarianceSum = 0;
        double varianceSum = 0;
        for (int i = 0; i < count; i++) {
            covarianceSum += (sizes[i] - meanSize) * (values[i] - meanValue);
            varianceSum += (sizes[i] - meanSize) * (sizes[i] - meanSize);
        }
        if (!(varianceSum > 0)) {
            throw new IllegalArgumentException("a line needs two sizes that differ");
        }
        double slope = covarianceSum / varianceSum;
        double intercept = meanValue - slope * meanSize;
        double squares = 0;
        for (int i = 0; i < count; i++) {
            double distance = values[i] - intercept - slope * sizes[i];
            squares += distance * distance;
        }
        return new LineFit(intercept, slope, Math.sqrt(squares / count));
    }

    private static double mean(double[] of) {
        double sum = 0;
        for (double value : of) {
            sum += value;
        }
        return sum / of.length;
    }

    /** The line's value at a size. */
    public double at(double size) {
        return intercept + slope * size;
    }
}
