package barrowshore.capacity;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Prints measurements as tables and writes them as CSV. It neither measures nor decides whether a limit is exceeded.
 */
final class CapacityReport {
    private static final String CSV_HEAD = "sweep,workers,schedulers,starts,tenants,list_changes,config_changes,"
            + "metric,unit,median,min,max,fit_intercept,fit_slope,fit_residual,fit_at_base,limit\n";
    private static final int LABEL_WIDTH = 48, CELL_WIDTH = 11;

    private final SimulationOptions options;

    CapacityReport(SimulationOptions options) {
        this.options = options;
    }

    /** Prints the figures at one fleet size, each beside its limit. */
    void print(PrintStream out, FleetMeasurement at) {
        out.printf(
                Locale.ROOT,
                "%s%nseed %d, %d plays of %d s after the warm-up; for each scheduler unless said otherwise%n%n",
                describe(at.size()),
                options.seed(),
                options.runsPerSize(),
                options.seconds());
        out.println(row("", "unit", "median", "min", "max", "limit"));
        for (Metric metric : Metric.values()) {
            MedianAndRange summary = at.get(metric);
            if (summary.measured()) {
                String limit = metric.limited() ? number(metric.limit) : "";
                out.println(row(
                                metric.label,
                                metric.unit,
                                number(summary.median()),
                                metric.varies ? number(summary.min()) : "",
                                metric.varies ? number(summary.max()) : "",
                                limit)
                        + (at.exceedsLimit(metric) ? "  PASSED" : ""));
            }
        }
        out.println();
    }

    /**
     * Prints cost against fleet size, with the fitted line through the medians and its value at the base size beside
     * the limit.
     */
    void print(PrintStream out, SweepResult result, FleetMeasurement base) {
        List<FleetMeasurement> points = result.points();
        int sizes = points.size();
        String[] head = new String[sizes + 5];
        for (int i = 0; i < sizes; i++) {
            head[i] = number(result.sweep().sizeOf(points.get(i).size()));
        }
        System.arraycopy(new String[] {"slope", "residual", "fit at base", "at base", "limit"}, 0, head, sizes, 5);
        out.println(row("sweep over " + result.sweep().key(), head));
        for (Metric metric : Metric.values()) {
            Optional<LineFit> fit = result.fit(metric);
            if (fit.isPresent()) {
                String[] cells = new String[head.length];
                for (int i = 0; i < sizes; i++) {
                    cells[i] = number(points.get(i).get(metric).median());
                }
                cells[sizes] = number(fit.get().slope());
                cells[sizes + 1] = number(fit.get().residual());
                cells[sizes + 2] = number(fit.get().at(result.sweep().sizeOf(base.size())));
                cells[sizes + 3] = number(base.get(metric).median());
                cells[sizes + 4] = metric.limited() ? number(metric.limit) : "";
                out.println(row(metric.label + ", " + metric.unit, cells));
            }
        }
        out.println();
    }

    private static String describe(FleetSize size) {
        return String.format(
                Locale.ROOT,
                "%d workers of %d slots, %d schedulers, %s task starts a second, %d tenants,"
                        + " %s list changes and %s changes of configuration a second",
                size.workers(),
                size.slotsPerWorker(),
                size.schedulers(),
                number(size.startsPerSecond()),
                size.tenants(),
                number(size.listChangesPerSecond()),
                number(size.settingsChangesPerSecond()));
    }

    private static String row(String label, String... cells) {
        StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%-" + LABEL_WIDTH + "s", label));
        for (String cell : cells) {
            line.append(' ').append(String.format(Locale.ROOT, "%" + CELL_WIDTH + "s", cell));
        }
        return line.toString().stripTrailing();
    }

    /** Formats a number with three to four significant digits and no exponent. */
    static String number(double value) {
        if (Double.isNaN(value)) {
            return "-";
        }
        double size = Math.abs(value);
        if (value == Math.rint(value) && size < 1e15 || size >= 1_000) {
            return String.format(Locale.ROOT, "%.0f", value);
        }
        return String.format(Locale.ROOT, size >= 10 ? "%.1f" : size >= 0.1 ? "%.3f" : "%.6f", value);
    }

    /** Writes one CSV line for each size and metric: first the base size, then each sweep with its fit. */
    void write(Path csv, FleetMeasurement base, List<SweepResult> results) throws IOException {
        StringBuilder text = new StringBuilder(CSV_HEAD);
        for (Metric metric : Metric.values()) {
            line(text, "base", base, metric, Optional.empty(), Double.NaN);
        }
        for (SweepResult result : results) {
            for (Metric metric : Metric.values()) {
                Optional<LineFit> fit = result.fit(metric);
                double atBase = result.sweep().sizeOf(base.size());
                result.points().forEach(point -> line(text, result.sweep().key(), point, metric, fit, atBase));
            }
        }
        Files.writeString(csv, text);
    }

    private static void line(
            StringBuilder text,
            String sweep,
            FleetMeasurement point,
            Metric metric,
            Optional<LineFit> fit,
            double baseSize) {
        MedianAndRange summary = point.get(metric);
        if (!summary.measured()) {
            return;
        }
        FleetSize size = point.size();
        text.append(String.format(
                Locale.ROOT,
                "%s,%d,%d,%s,%d,%s,%s,%s,%s,%s,%s,%s,%s,%s,%s,%s,%s%n",
                sweep,
                size.workers(),
                size.schedulers(),
                size.startsPerSecond(),
                size.tenants(),
                size.listChangesPerSecond(),
                size.settingsChangesPerSecond(),
                metric.key(),
                metric.unit,
                summary.median(),
                summary.min(),
                summary.max(),
                fit.map(f -> "" + f.intercept()).orElse(""),
                fit.map(f -> "" + f.slope()).orElse(""),
                fit.map(f -> "" + f.residual()).orElse(""),
                fit.map(f -> "" + f.at(baseSize)).orElse(""),
                metric.limited() ? "" + metric.limit : ""));
    }
}
