package barrowshore.capacity;

import barrowshore.config.ConfigException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Simulates the base size and the sweeps and reports the measurements. A size that several sweeps share is measured
 * once.
 */
public final class CapacityRun {
    /** A small fleet, simulated before the first timed run so that the JIT has compiled the module's code by then. */
    private static final FleetSize COMPILE_WARM_UP_SIZE = FleetSize.target().withWorkers(96);

    private final FleetSize base;
    private final SimulationOptions options;
    private final Map<FleetSize, FleetMeasurement> measured = new LinkedHashMap<>();

    private CapacityRun(FleetSize base, SimulationOptions options) {
        this.base = base;
        this.options = options;
    }

    /**
     * Simulates and prints, and writes the CSV file unless {@code csv} is null. All sizes are validated before the
     * first run.
     *
     * @return whether every figure at the base size is within its limit
     */
    public static boolean run(PrintStream out, FleetSize base, SimulationOptions options, List<Sweep> sweeps, Path csv)
            throws IOException {
        options.validate();
        long heap = Runtime.getRuntime().maxMemory();
        base.validate(heap);
        sweeps.forEach(sweep -> sweep.fleets(base).forEach(fleet -> fleet.validate(heap)));
        if (csv != null) {
            requireWritable(csv);
        }
        CapacityRun run = new CapacityRun(base, options);
        CapacityReport report = new CapacityReport(options);
        if (options.timed()) {
            new FleetSimulation(COMPILE_WARM_UP_SIZE, options).run();
        }
        FleetMeasurement atBase = run.measure(base);
        report.print(out, atBase);
        List<SweepResult> results = new ArrayList<>();
        for (Sweep sweep : sweeps) {
            SweepResult result = run.sweep(sweep);
            report.print(out, result, atBase);
            results.add(result);
        }
        if (csv != null) {
            report.write(csv, atBase, results);
        }
        return Arrays.stream(Metric.values()).noneMatch(atBase::exceedsLimit);
    }

    /** Fails before a long measurement whose result could not be written, for example because the folder is missing. */
    private static void requireWritable(Path csv) {
        try {
            Files.writeString(csv, "");
        } catch (IOException e) {
            throw new ConfigException("--csv: " + csv + " cannot be written");
        }
    }

    private SweepResult sweep(Sweep sweep) {
        return new SweepResult(
                sweep, sweep.fleets(base).stream().map(this::measure).toList());
    }

    private FleetMeasurement measure(FleetSize size) {
        return measured.computeIfAbsent(size, this::simulate);
    }

    private FleetMeasurement simulate(FleetSize size) {
        List<FleetCost> runs = new ArrayList<>();
        for (int run = 0; run < options.runsPerSize(); run++) {
            runs.add(new FleetSimulation(size, options).run());
        }
        return FleetMeasurement.of(size, runs);
    }
}
