package barrowshore.emulate;

import barrowshore.config.ConfigException;
import barrowshore.operator.OperatorSettings;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import org.eclipse.jetty.util.ajax.JSON;

/**
 * Runs a scenario with one seed or several and prints the results: a report for one, a table for several. Seeds run in
 * parallel, each in its own emulation, so their order does not matter. It owns the output.
 */
public final class ScenarioRunner {
    private ScenarioRunner() {}

    /** Runs the scenario; compare: also without the operators' settings; json: file for the reports, or null. */
    public static void run(
            PrintStream out,
            Scenario scenario,
            OperatorSettings operator,
            long seed,
            int seeds,
            boolean compare,
            Path json)
            throws IOException {
        if (seeds < 1) {
            throw new ConfigException("--seeds must be at least 1");
        }
        if (compare && operator.hallSettings() == null) {
            throw new ConfigException("--compare needs --operator with halls: without them both runs are the same");
        }
        List<Report> on = runSeeds(scenario, operator, seed, seeds);
        List<Report> off = compare ? runSeeds(scenario, OperatorSettings.NONE, seed, seeds) : List.of();
        if (seeds == 1) {
            out.print(on.get(0).table());
            off.forEach(report -> out.print("without the operators' settings:\n" + report.table()));
        } else {
            out.printf("%s, %d seeds from %d; mean, and least or most of a seed%n", scenario.name(), seeds, seed);
            out.printf("%-34s %10s %10s%s%n", "", "mean", "extreme", compare ? "   off: mean    extreme" : "");
            printRow(out, "worth served (least)", Report::servedWorthShare, false, on, off);
            printRow(out, "less deductions (least)", Report::score, false, on, off);
            printRow(out, "worst 10 s (least)", Report::worstTenSeconds, false, on, off);
            for (int z = 0; z < scenario.zones().size(); z++) {
                int zone = z;
                String name = scenario.zones().get(z).name();
                printRow(out, "diners of " + name + " (least)", r -> r.servedShare(zone), false, on, off);
                printRow(out, "spilled into " + name + " (most)", r -> r.maxSpillShare(zone), true, on, off);
            }
            printRow(out, "to a dark hall after 2 s (most)", Report::darkSendShare, true, on, off);
            printRow(out, "trials of a dark hall (most)", Report::darkTrialShare, true, on, off);
            printRow(out, "cold budget used (most)", Report::coldBudgetUsed, true, on, off);
            printRow(out, "nodes fallen over (most)", Report::overloadedNodes, true, on, off);
            printRow(out, "unsafe jobs run twice (most)", r -> r.duplicateRuns, true, on, off);
            printRow(out, "no answer in time (most)", r -> r.missedDeadlines, true, on, off);
            printRow(out, "variation of load, 1 s (most)", r -> r.loadBalance.longWindowVariation(), true, on, off);
            printRow(out, "most load against mean, 1 s (most)", r -> r.loadBalance.longWindowPeak(), true, on, off);
            printRow(out, "free while others queue (most)", r -> r.loadBalance.idleWhileOthersQueue(), true, on, off);
            printRow(out, "crowding against chance (most)", r -> r.loadBalance.crowding(), true, on, off);
            printRow(out, "changes of hall states (most)", Report::hallStateChangeCount, true, on, off);
        }
        if (json != null) {
            List<Object> all = new ArrayList<>();
            on.forEach(report -> all.add(report.json()));
            Map<String, Object> root = new LinkedHashMap<>();
            root.put("on", all.toArray());
            root.put("off", off.stream().map(Report::json).toArray());
            Files.writeString(json, new JSON().toJSON(root) + "\n");
        }
    }

    private static List<Report> runSeeds(Scenario scenario, OperatorSettings operator, long seed, int seeds) {
        Report[] reports = new Report[seeds];
        LongStream.range(0, seeds)
                .parallel()
                .forEach(k -> reports[(int) k] = Emulator.run(scenario, operator, seed + k));
        return Arrays.asList(reports);
    }

    private static void printRow(
            PrintStream out,
            String name,
            ToDoubleFunction<Report> metric,
            boolean highest,
            List<Report> on,
            List<Report> off) {
        out.printf(Locale.ROOT, "%-34s %10.4f %10.4f", name, mean(on, metric), extreme(on, metric, highest));
        if (!off.isEmpty()) {
            out.printf(Locale.ROOT, " %10.4f %10.4f", mean(off, metric), extreme(off, metric, highest));
        }
        out.println();
    }

    private static double mean(List<Report> reports, ToDoubleFunction<Report> metric) {
        return reports.stream().mapToDouble(metric).average().orElse(0);
    }

    private static double extreme(List<Report> reports, ToDoubleFunction<Report> metric, boolean highest) {
        var values = reports.stream().mapToDouble(metric);
        return (highest ? values.max() : values.min()).orElse(0);
    }
}
