package barrowshore.capacity;

/**
 * A straight line fitted by least squares.
 *
 * @param intercept the line's value at 0
 * @param slope growth of the value per unit of size
 * @param residual root mean square of the vertical distances of the points from the line
 */
public record LineFit(double intercept, double slope, double residual) {
    /** Fits values measured at sizes, of which at least two must differ. */
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
            throw new IllegalArgumentException("fitting a line needs at least two different sizes");
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

    /** Returns the line's value at a size. */
    public double at(double size) {
        return intercept + slope * size;
    }
}
