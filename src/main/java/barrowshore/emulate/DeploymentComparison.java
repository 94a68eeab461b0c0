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
 * Runs the module and the baseline policies on many random deployments, each with the same scenario, and prints where the
 * module does worst, with the features of the deployment. It owns the output and the score: worth served in time less
 * deductions, or 0 if a rule was violated. It never leaves a deployment out of the averages.
 */
public final class DeploymentComparison {
    private static final int PRINTED_DEPLOYMENTS = 20;

    /** A module that trails the best baseline by more than this score is counted as behind. */
    private static final double BEHIND_MARGIN = 0.03;

    /** The scores on one deployment; 0 where a rule was violated. */
    record Result(
            long seed,
            Deployment.DrawnDeployment drawn,
            Report module,
            Map<BaselineDispatcher.Policy, Double> baselineScores) {
        double score() {
            return module.violationCount() > 0 ? 0 : module.score();
        }

        /** The best baseline that does not see the true state. */
        BaselineDispatcher.Policy bestBaseline() {
            return baselineScores.entrySet().stream()
                    .filter(e -> e.getKey() != BaselineDispatcher.Policy.TRUE_STATE)
                    .max(Map.Entry.comparingByValue())
                    .orElseThrow()
                    .getKey();
        }

        double lead() {
            return baselineScores.isEmpty() ? 0 : score() - baselineScores.get(bestBaseline());
        }
    }

    private DeploymentComparison() {}

    /** Runs count deployments from a seed on; csv: file for the results, or null. */
    public static void run(PrintStream out, int count, long seed, boolean withBaselines, Path csv) throws IOException {
        if (count < 1) {
            throw new ConfigException("--deployments must be at least 1");
        }
        List<Result> results = compare(count, seed, withBaselines);
        print(out, results, withBaselines);
        if (count == 1) {
            out.println();
            out.print(results.get(0).module.table()); // details only for a single deployment
        }
        if (csv != null) {
            write(csv, results);
        }
    }

    static List<Result> compare(int count, long seed, boolean withBaselines) {
        return LongStream.range(seed, seed + count)
                .parallel()
                .mapToObj(s -> compare(s, withBaselines))
                .toList();
    }

    private static Result compare(long seed, boolean withBaselines) {
        Deployment.DrawnDeployment drawn = Deployment.draw(seed);
        Report module = new Emulation(
                        drawn.scenario(), drawn.deployment(), OperatorSettings.NONE, seed, Emulator::productionModule)
                .run();
        Map<BaselineDispatcher.Policy, Double> scores = new EnumMap<>(BaselineDispatcher.Policy.class);
        for (BaselineDispatcher.Policy policy :
                withBaselines ? BaselineDispatcher.Policy.values() : new BaselineDispatcher.Policy[0]) {
            Report report = new Emulation(
                            drawn.scenario(),
                            drawn.deployment(),
                            OperatorSettings.NONE,
                            seed,
                            baselineFactory(policy, drawn.deployment()))
                    .run();
            scores.put(policy, report.violationCount() > 0 ? 0 : report.score());
        }
        return new Result(seed, drawn, module, scores);
    }

    private static Emulation.ModuleFactory baselineFactory(BaselineDispatcher.Policy policy, Deployment deployment) {
        double meanWork = deployment.classes().stream()
                .mapToDouble(jobClass -> jobClass.share() * jobClass.meanWork())
                .sum();
        return (settings, actions, trueState) -> new BaselineDispatcher(
                policy,
                settings,
                actions,
                new SplittableRandom(settings.seed)::nextDouble,
                (worker, slots) ->
                        trueState.expectedStartDelay(worker, slots) + meanWork / trueState.slotSpeed(worker, slots));
    }

    private static void print(PrintStream out, List<Result> results, boolean withBaselines) {
        int violating = (int)
                results.stream().filter(r -> r.module.violationCount() > 0).count();
        double mean = results.stream().mapToDouble(Result::score).average().orElse(0);
        out.printf(
                Locale.ROOT,
                "%d deployments from seed %d: worth served less deductions %.3f on average; rules broken on %d%n",
                results.size(),
                results.get(0).seed,
                mean,
                violating);
        if (withBaselines) {
            long ahead = results.stream().filter(r -> r.lead() >= 0).count();
            long behind =
                    results.stream().filter(r -> r.lead() < -BEHIND_MARGIN).count();
            out.printf(
                    Locale.ROOT,
                    "the best blind rival is beaten on %.1f%%, by %.3f on average; behind it by over %.2f on %d%n",
                    100.0 * ahead / results.size(),
                    results.stream().mapToDouble(Result::lead).average().orElse(0),
                    BEHIND_MARGIN,
                    behind);
            for (BaselineDispatcher.Policy policy : BaselineDispatcher.Policy.values()) {
                out.printf(
                        Locale.ROOT,
                        "  %-20s %.3f%n",
                        displayName(policy),
                        results.stream()
                                .mapToDouble(r -> r.baselineScores.get(policy))
                                .average()
                                .orElse(0));
            }
            printLeadByFeature(out, results);
        }
        out.printf(
                "%n%-6s %7s %7s %-20s %7s %s  %s%n",
                "seed", "module", "lead", withBaselines ? "against" : "", "sighted", "rules", "what is on");
        results.stream()
                .sorted(Comparator.comparingDouble(withBaselines ? Result::lead : Result::score))
                .limit(PRINTED_DEPLOYMENTS)
                .forEach(r -> out.printf(
                        Locale.ROOT,
                        "%-6d %7.3f %7.3f %-20s %7.3f %s  %s%n",
                        r.seed,
                        r.score(),
                        r.lead(),
                        withBaselines ? displayName(r.bestBaseline()) : "",
                        withBaselines ? r.baselineScores.get(BaselineDispatcher.Policy.TRUE_STATE) : 0,
                        r.module.violations(),
                        describe(r)));
    }

    /** Prints the module's mean lead for each feature, lowest first. */
    private static void printLeadByFeature(PrintStream out, List<Result> results) {
        Map<String, List<Double>> leads = new TreeMap<>();
        for (Result result : results) {
            for (String feature : result.drawn.deployment().features().split(", ")) {
                leads.computeIfAbsent(feature.replaceAll("cross [0-9.]+ ms", "crossing"), f -> new ArrayList<>())
                        .add(result.lead());
            }
            result.drawn.scenario().events().forEach(event -> leads.computeIfAbsent(
                            event.type().name().toLowerCase(Locale.ROOT), f -> new ArrayList<>())
                    .add(result.lead()));
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

    private static double mean(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).average().orElse(0);
    }

    private static String displayName(BaselineDispatcher.Policy policy) {
        return policy.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    private static String describe(Result result) {
        Scenario scenario = result.drawn.scenario();
        return String.format(
                Locale.ROOT,
                "%d zones, %d schedulers, %d nodes, load %.2f%s; %s",
                scenario.zones().size(),
                scenario.schedulers(),
                scenario.zones().stream().mapToInt(Scenario.ZoneSpec::nodes).sum(),
                scenario.load(),
                scenario.events().stream()
                        .map(event -> ", " + event.type().name().toLowerCase(Locale.ROOT))
                        .reduce("", String::concat),
                result.drawn.deployment().features());
    }

    private static void write(Path csv, List<Result> results) throws IOException {
        StringBuilder text = new StringBuilder("seed,module,broken");
        results.get(0).baselineScores.keySet().forEach(policy -> text.append(',')
                .append(displayName(policy)));
        text.append(",what\n");
        for (Result result : results) {
            text.append(String.format(
                    Locale.ROOT, "%d,%.4f,%d", result.seed, result.score(), result.module.violationCount()));
            result.baselineScores.values().forEach(score -> text.append(String.format(Locale.ROOT, ",%.4f", score)));
            text.append(",\"").append(describe(result)).append("\"\n");
        }
        Files.writeString(csv, text);
    }
}
