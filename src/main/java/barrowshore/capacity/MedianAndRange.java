package barrowshore.capacity;

import java.util.Arrays;

/** The median, minimum and maximum of a metric over several runs. */
record MedianAndRange(double median, double min, double max) {
    static MedianAndRange of(double... values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int middle = sorted.length / 2;
        double median = sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
        return new MedianAndRange(median, sorted[0], sorted[sorted.length - 1]);
    }

    boolean measured() {
        return !Double.isNaN(median);
    }
}
