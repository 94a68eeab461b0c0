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

/** Plays the base size and the sweeps, each size once however many sweeps have it, and reports what was measured. */
public final class CapacityRun {
    /** A play of a small fleet before the first that is timed, so that the module's code is compiled by then. */
    private static final FleetSize COMPILE_WARM_UP_SIZE = FleetSize.target().withWorkers(96);

    private final FleetSize base;
    private final SimulationOptions options;
    private final Map<FleetSize, FleetMeasurement> measured = new LinkedHashMap<>();

    private CapacityRun(FleetSize base, SimulationOptions options) {
        this.base = base;
        this.options = options;
    }

    /**
     * Plays and prints; csv null: nothing is written. Nothing is played if a size cannot be.
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

    /** What is measured for long is not to be lost for want of a folder. */
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
        List<FleetCost> plays = new ArrayList<>();
        for (int play = 0; play < options.playsOfASize(); play++) {
            plays.add(new FleetSimulation(size, options).run());
        }
        return FleetMeasurement.of(size, plays);
    }
}
