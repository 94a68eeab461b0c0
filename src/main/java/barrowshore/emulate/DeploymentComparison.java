package barrowshore.emulate;

import barrowshore.baseline.BaselineDispatcher;
import barrowshore.config.ConfigException;
import barrowshore.operator.OperatorSettings;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.LongStream;

/**
 * Plays the module and its rivals on many drawn deployments, each on the same day, and prints where the module loses, worst
 * first, with what is on there. It owns what is printed and written, and judges by worth served in time less deductions,
 * a broken rule making that 0; it must never leave a deployment out.
 */
public final class DeploymentComparison {
    /** How many deployments are printed by default, and how far behind a rival counts as lost. */
    private static final int SHOWN = 20;

    private static final double MISSED = 0.03;

    /** One deployment: what each made of its day; score 0 where a rule was broken. */
    record Row(long seed, Deployment.Drawn drawn, Report module, Map<BaselineDispatcher.Policy, Double> rivals) {
        double score() {
            return module.broken() > 0 ? 0 : module.priced();
        }

        /** The best that does not see true state. */
        BaselineDispatcher.Policy best() {
            return rivals.entrySet().stream()
                    .filter(e -> e.getKey() != BaselineDispatcher.Policy.TRUE_STATE)
                    .max(Map.Entry.comparingByValue())
                    .orElseThrow()
                    .getKey();
        }

        double lead() {
            return rivals.isEmpty() ? 0 : score() - rivals.get(best());
        }
    }

    private DeploymentComparison() {}

    /** Plays so many deployments from a seed on; csv null: nothing is written. */
    public static void run(PrintStream out, int count, long seed, boolean rivals, Path csv) throws IOException {
        if (count < 1) {
            throw new ConfigException("--deployments must be at least 1");
        }
        List<Row> rows = play(count, seed, rivals);
        print(out, rows, rivals);
        if (count == 1) {
            out.println();
            out.print(rows.get(0).module.table()); // one alone is looked at closely
        }
        if (csv != null) {
            write(csv, rows);
        }
    }

    static List<Row> play(int count, long seed, boolean rivals) {
        return LongStream.range(seed, seed + count)
                .parallel()
                .mapToObj(s -> play(s, rivals))
                .toList();
    }

    private static Row play(long seed, boolean rivals) {
        Deployment.Drawn drawn = Deployment.draw(seed);
        Report module =
                new World(drawn.day(), drawn.deployment(), OperatorSettings.NONE, seed, Emulator::module).play();
        Map<BaselineDispatcher.Policy, Double> scores = new EnumMap<>(BaselineDispatcher.Policy.class);
        for (BaselineDispatcher.Policy rule :
                rivals ? BaselineDispatcher.Policy.values() : new BaselineDispatcher.Policy[0]) {
            Report r = new World(
                            drawn.day(),
                            drawn.deployment(),
                            OperatorSettings.NONE,
                            seed,
                            rival(rule, drawn.deployment()))
                    .play();
            scores.put(rule, r.broken() > 0 ? 0 : r.priced());
        }
        return new Row(seed, drawn, module, scores);
    }

    private static World.Modules rival(BaselineDispatcher.Policy rule, Deployment deployment) {
        double meanWork = deployment.classes().stream()
                .mapToDouble(k -> k.share() * k.work())
                .sum();
        return (settings, actions, truth) -> new BaselineDispatcher(
                rule,
                settings,
                actions,
                new SplittableRandom(settings.seed)::nextDouble,
                (worker, slots) -> truth.startsIn(worker, slots) + meanWork / truth.pace(worker, slots));
    }

    private static void print(PrintStream out, List<Row> rows, boolean rivals) {
        int broken = (int) rows.stream().filter(r -> r.module.broken() > 0).count();
        double mean = rows.stream().mapToDouble(Row::score).average().orElse(0);
        out.printf(
                Locale.ROOT,
                "%d deployments from seed %d: worth served less deductions %.3f on average; rules broken on %d%n",
                rows.size(),
                rows.get(0).seed,
                mean,
                broken);
        if (rivals) {
            long ahead = rows.stream().filter(r -> r.lead() >= 0).count();
            long missed = rows.stream().filter(r -> r.lead() < -MISSED).count();
            out.printf(
                    Locale.ROOT,
                    "the best blind rival is beaten on %.1f%%, by %.3f on average; behind it by over %.2f on %d%n",
                    100.0 * ahead / rows.size(),
                    rows.stream().mapToDouble(Row::lead).average().orElse(0),
                    MISSED,
                    missed);
            for (BaselineDispatcher.Policy rule : BaselineDispatcher.Policy.values()) {
                out.printf(
                        Locale.ROOT,
                        "  %-20s %.3f%n",
                        name(rule),
                        rows.stream()
                                .mapToDouble(r -> r.rivals.get(rule))
                                .average()
                                .orElse(0));
            }
            features(out, rows);
        }
        out.printf(
                "%n%-6s %7s %7s %-20s %7s %s  %s%n",
                "seed", "module", "lead", rivals ? "against" : "", "sighted", "rules", "what is on");
        rows.stream()
                .sorted(Comparator.comparingDouble(rivals ? Row::lead : Row::score))
                .limit(SHOWN)
                .forEach(r -> out.printf(
                        Locale.ROOT,
                        "%-6d %7.3f %7.3f %-20s %7.3f %s  %s%n",
                        r.seed,
                        r.score(),
                        r.lead(),
                        rivals ? name(r.best()) : "",
                        rivals ? r.rivals.get(BaselineDispatcher.Policy.TRUE_STATE) : 0,
                        r.module.rulesBroken(),
                        what(r)));
    }

    /** What the module's lead is where a feature is on: the feature that costs most comes first. */
    private static void features(PrintStream out, List<Row> rows) {
        Map<String, List<Double>> leads = new TreeMap<>();
        for (Row r : rows) {
            for (String feature : r.drawn.deployment().features().split(", ")) {
                leads.computeIfAbsent(feature.replaceAll("cross [0-9.]+ ms", "crossing"), f -> new ArrayList<>())
                        .add(r.lead());
            }
            r.drawn.day().happenings().forEach(h -> leads.computeIfAbsent(
                            h.what().name().toLowerCase(Locale.ROOT), f -> new ArrayList<>())
                    .add(r.lead()));
        }
        out.printf("%n%-28s %6s %10s %10s%n", "where this is on", "count", "mean lead", "behind");
        leads.entrySet().stream()
                .sorted(Comparator.comparingDouble(e -> mean(e.getValue())))
                .forEach(e -> out.printf(
                        Locale.ROOT,
                        "%-28s %6d %10.3f %9.1f%%%n",
                        e.getKey(),
                        e.getValue().size(),
                        mean(e.getValue()),
                        100.0
                                * e.getValue().stream().filter(lead -> lead < 0).count()
                                / e.getValue().size()));
    }

    private static double mean(List<Double> of) {
        return of.stream().mapToDouble(Double::doubleValue).average().orElse(0);
    }

    private static String name(BaselineDispatcher.Policy rule) {
        return rule.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    private static String what(Row r) {
        Scenario day = r.drawn.day();
        return String.format(
                Locale.ROOT,
                "%d zones, %d schedulers, %d nodes, load %.2f%s; %s",
                day.zones().size(),
                day.schedulers(),
                day.zones().stream().mapToInt(Scenario.ZoneSpec::nodes).sum(),
                day.load(),
                day.happenings().stream()
                        .map(h -> ", " + h.what().name().toLowerCase(Locale.ROOT))
                        .reduce("", String::concat),
                r.drawn.deployment().features());
    }

    private static void write(Path csv, List<Row> rows) throws IOException {
        StringBuilder text = new StringBuilder("seed,module,broken");
        rows.get(0).rivals.keySet().forEach(rule -> text.append(',').append(name(rule)));
        text.append(",what\n");
        for (Row r : rows) {
            text.append(String.format(Locale.ROOT, "%d,%.4f,%d", r.seed, r.score(), r.module.broken()));
            r.rivals.values().forEach(score -> text.append(String.format(Locale.ROOT, ",%.4f", score)));
            text.append(",\"").append(what(r)).append("\"\n");
        }
        Files.writeString(csv, text);
    }
}
