package barrowshore.emulate;

import barrowshore.halls.HallState;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** What came of an emulated day, counted as it goes. It owns its counters alone, and judges nothing. */
public final class Report {
    private static final long S = 1_000_000;
    /** From a zone's going dark until new work for it counts as a fault. */
    private static final long FOUND_OUT = 2 * S;
    /** Answer times are kept to the hundredth, up to a minute. */
    private static final long MOST_MICROS = 60 * S;

    private record Dark(int zone, long from, long to, double part) {}

    private final Scenario scenario;
    private final long seed;
    private final Deployment.Prices prices;
    private final List<String> classes;
    private final int seconds;
    private final double[] askedAt;
    private final double[] servedAt;
    private final double[][] asked;
    private final double[][] served;
    private final double[] askedClass;
    private final double[] servedClass;
    private final List<Histogram> times = new ArrayList<>();
    private final double[] mostSpilled;
    private final double[] mostSpillShare;
    private final List<Dark> darks = new ArrayList<>();
    private final List<String> moves = new ArrayList<>();
    private final List<String> logs = new ArrayList<>();
    private long chosenInDark;
    private long trials;
    private long mostHung;
    private long chosenWhileDark;
    private long refused;
    private long failed;
    private long sends;
    private long crossings;
    private double wasted;
    private double work;
    private long flows;
    private double coldUse;
    private int fallen;
    private int movesCounted;
    int twice;
    int silent;
    int answersTwice;
    int sentAfterEnd;
    int refusedWhileOut;
    int notAllowed;
    long probes;
    long messages;
    long messageBytes;
    int longestMessage;
    long events;
    final Evenness even = new Evenness();

    Report(Scenario scenario, Deployment deployment, long seed) {
        this.scenario = scenario;
        this.prices = deployment.prices();
        this.seed = seed;
        this.classes =
                deployment.classes().stream().map(Deployment.ClassOf::name).toList();
        seconds = (int) (scenario.length() / S) + 2;
        askedAt = new double[seconds];
        servedAt = new double[seconds];
        int zones = scenario.zones().size();
        asked = new double[zones][seconds];
        served = new double[zones][seconds];
        askedClass = new double[classes.size()];
        servedClass = new double[classes.size()];
        classes.forEach(c -> times.add(new Histogram(MOST_MICROS, 2)));
        mostSpilled = new double[zones];
        mostSpillShare = new double[zones];
    }

    void asked(long at, int zone, int type, double worth, double size) {
        flows++;
        work += size;
        int second = (int) (at / S);
        askedAt[second] += worth;
        asked[zone][second] += worth;
        askedClass[type] += worth;
    }

    void served(long since, int zone, int type, double worth, boolean inTime, long took) {
        times.get(type).recordValue(Math.min(took, MOST_MICROS));
        if (inTime) {
            int second = (int) (since / S);
            servedAt[second] += worth;
            served[zone][second] += worth;
            servedClass[type] += worth;
        }
    }

    void refused(long since) {
        refused++;
    }

    void failed(long since) {
        failed++;
    }

    void wasted(double work) {
        wasted += work;
    }

    void sent(long at, int zone, int from) {
        sends++;
        crossings += zone == from ? 0 : 1;
    }

    /** The module chose a node of this zone; trial: it holds the zone for lost, or is trying it. */
    void chosen(long at, int zone, boolean trial) {
        for (Dark d : darks) {
            if (d.part >= 1 && at >= d.from + FOUND_OUT && at < d.to) {
                chosenWhileDark++;
                chosenInDark += d.zone == zone && !trial ? 1 : 0;
                trials += d.zone == zone && trial ? 1 : 0;
            }
        }
    }

    /** So many nodes of a zone hang at once, by troubles drawn for each. */
    void hung(int zone, long count) {
        mostHung = Math.max(mostHung, count);
    }

    void dark(int zone, long from, long lasts, double part) {
        darks.add(new Dark(zone, from, from + lasts, part));
    }

    void spilled(int zone, double slots, double usable) {
        mostSpilled[zone] = Math.max(mostSpilled[zone], slots);
        if (usable > 0) {
            mostSpillShare[zone] = Math.max(mostSpillShare[zone], slots / usable);
        }
    }

    void node(double use, boolean fell) {
        coldUse = Math.max(coldUse, use);
        fallen += fell ? 1 : 0;
    }

    void moved(long at, int scheduler, List<HallState> from, List<HallState> to, List<String> names) {
        for (int z = 0; z < to.size(); z++) {
            HallState was = z < from.size() ? from.get(z) : HallState.SERVING;
            if (was != to.get(z)) {
                movesCounted++;
                moves.add(String.format(
                        Locale.ROOT,
                        "%.1f s  scheduler %d: %s %s",
                        at / 1e6,
                        scheduler,
                        names.get(z),
                        to.get(z).name().toLowerCase(Locale.ROOT)));
            }
        }
    }

    void log(long at, int scheduler, String line) {
        logs.add(String.format(Locale.ROOT, "%.2f s  scheduler %d: %s", at / 1e6, scheduler, line));
    }

    private static double share(double part, double whole) {
        return whole <= 0 ? 1 : part / whole;
    }

    /** Worth asked for in all. */
    double asked() {
        return Arrays.stream(askedAt).sum();
    }

    /** Worth served in time against worth asked for. */
    double kept() {
        return share(servedAt, askedAt, 0, seconds);
    }

    /** The same less what the operators deduct: for requests that cross zones, and for work wasted. */
    double priced() {
        return kept() - prices.crossing() * share(crossings, flows) - prices.waste() * (work <= 0 ? 0 : wasted / work);
    }

    /** The share served of what was asked for from one second to another. */
    private double share(double[] part, double[] whole, int from, int to) {
        double served = 0, wanted = 0;
        for (int k = from; k < Math.min(seconds, to); k++) {
            served += part[k];
            wanted += whole[k];
        }
        return share(served, wanted);
    }

    /** The same in the worst ten seconds. */
    double worst() {
        double least = 1;
        for (int from = 0; from + 10 < seconds; from++) {
            least = Math.min(least, share(servedAt, askedAt, from, from + 10));
        }
        return least;
    }

    /** The same of the clients that belong to a zone, from one second to another. */
    double servedShare(int zone, int from, int to) {
        return share(served[zone], asked[zone], from, to);
    }

    double servedShare(int zone) {
        return servedShare(zone, 0, seconds);
    }

    /** Of what was chosen later than 2 s after a whole zone went dark: the share that went there, trials apart. */
    double toDark() {
        return chosenWhileDark == 0 ? 0 : (double) chosenInDark / chosenWhileDark;
    }

    /** The share that were trials of it. */
    double trials() {
        return chosenWhileDark == 0 ? 0 : (double) trials / chosenWhileDark;
    }

    double coldUse() {
        return coldUse;
    }

    int fallen() {
        return fallen;
    }

    int moves() {
        return movesCounted;
    }

    double mostSpillShare(int zone) {
        return mostSpillShare[zone];
    }

    List<String> moveLines() {
        return moves;
    }

    /** Which rules were broken, and how often; empty if none was. */
    String rulesBroken() {
        Map<String, Integer> all = new LinkedHashMap<>();
        all.put("ran twice", twice);
        all.put("no answer in time", silent);
        all.put("answered twice", answersTwice);
        all.put("sent after the end", sentAfterEnd);
        all.put("refused while out", refusedWhileOut);
        all.put("not allowed", notAllowed);
        all.put("pushed over", fallen);
        all.values().removeIf(count -> count == 0);
        return all.isEmpty() ? "" : all.toString();
    }

    /** What must never be: 0 in every run. */
    int broken() {
        return twice + silent + answersTwice + sentAfterEnd + refusedWhileOut + notAllowed + fallen;
    }

    /** The whole report as JSON's maps and lists; the same run gives the same, in the same order. */
    public Map<String, Object> json() {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("scenario", scenario.name());
        all.put("seed", seed);
        all.put("kept", round(kept()));
        all.put("keptLessDeductions", round(priced()));
        all.put("worst10s", round(worst()));
        Map<String, Object> zones = new LinkedHashMap<>();
        for (int z = 0; z < scenario.zones().size(); z++) {
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("diners", round(servedShare(z)));
            List<Object> windows = new ArrayList<>();
            for (int from = 0; from < seconds; from += 5) {
                windows.add(round(servedShare(z, from, from + 5)));
            }
            one.put("dinersBy5s", windows.toArray());
            one.put("mostSpilledSlots", round(mostSpilled[z]));
            one.put("mostSpilledShare", round(mostSpillShare[z]));
            zones.put(scenario.zones().get(z).name(), one);
        }
        all.put("halls", zones);
        Map<String, Object> types = new LinkedHashMap<>();
        for (int c = 0; c < classes.size(); c++) {
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("kept", round(share(servedClass[c], askedClass[c])));
            one.put("p50Ms", round(times.get(c).getValueAtPercentile(50) / 1e3));
            one.put("p99Ms", round(times.get(c).getValueAtPercentile(99) / 1e3));
            types.put(classes.get(c), one);
        }
        all.put("classes", types);
        all.put("toDark", round(toDark()));
        all.put("trials", round(trials()));
        all.put("coldBudgetUsed", round(coldUse));
        all.put("fallenOver", fallen);
        all.put("ranTwice", twice);
        all.put("withoutAnswerInTime", silent);
        all.put("answeredTwice", answersTwice);
        all.put("sentAfterTheEnd", sentAfterEnd);
        all.put("refusedWhileOut", refusedWhileOut);
        all.put("notAllowed", notAllowed);
        all.put("refused", refused);
        all.put("failed", failed);
        all.put("sends", sends);
        all.put("crossings", crossings);
        all.put("wastedSeconds", round(wasted / 1e6));
        Map<String, Object> evenness = new LinkedHashMap<>();
        evenness.put("variation100ms", round(even.variationShort()));
        evenness.put("variation1s", round(even.variationLong()));
        evenness.put("mostAgainstMean1s", round(even.mostLong()));
        evenness.put("idleWhileOthersQueue", round(even.idleWhileOthersQueue()));
        evenness.put("crowdAgainstChance", round(even.crowd()));
        all.put("even", evenness);
        all.put("probes", probes);
        all.put("messages", messages);
        all.put("messageBytes", messageBytes);
        all.put("longestMessage", longestMessage);
        all.put("mostHungInAHall", mostHung);
        all.put("events", events);
        all.put("moves", moves);
        return all;
    }

    private static double round(double figure) {
        return Math.round(figure * 1e4) / 1e4;
    }

    /** A table for people. */
    public String table() {
        StringBuilder out = new StringBuilder();
        out.append(String.format(
                Locale.ROOT,
                "%s, seed %d: kept %.3f (%.3f less deductions), worst 10 s %.3f, refused %d, failed %d, sends %d"
                        + " (%d across halls), probes %d, messages %d%n",
                scenario.name(),
                seed,
                kept(),
                priced(),
                worst(),
                refused,
                failed,
                sends,
                crossings,
                probes,
                messages));
        out.append(String.format("%-16s %8s %14s %14s%n", "hall", "diners", "most spilled", "of its slots"));
        for (int z = 0; z < scenario.zones().size(); z++) {
            out.append(String.format(
                    Locale.ROOT,
                    "%-16s %8.3f %14.1f %14.2f%n",
                    scenario.zones().get(z).name(),
                    servedShare(z),
                    mostSpilled[z],
                    mostSpillShare[z]));
        }
        out.append(String.format(
                Locale.ROOT,
                "even load: variation %.2f in 0.1 s, %.2f in 1 s, most %.2f times the mean in 1 s; free while"
                        + " others queue %.3f slots a node; crowding %.2f of chance's%n",
                even.variationShort(),
                even.variationLong(),
                even.mostLong(),
                even.idleWhileOthersQueue(),
                even.crowd()));
        out.append("by 5 s, worth served:");
        for (int from = 0; from < seconds; from += 5) {
            out.append(String.format(Locale.ROOT, " %.3f", share(servedAt, askedAt, from, from + 5)));
        }
        out.append(String.format("%n%-16s %8s %14s %14s%n", "class", "kept", "p50 ms", "p99 ms"));
        for (int c = 0; c < classes.size(); c++) {
            out.append(String.format(
                    Locale.ROOT,
                    "%-16s %8.3f %14.0f %14.0f%n",
                    classes.get(c),
                    share(servedClass[c], askedClass[c]),
                    times.get(c).getValueAtPercentile(50) / 1e3,
                    times.get(c).getValueAtPercentile(99) / 1e3));
        }
        out.append(String.format(
                Locale.ROOT,
                "rules: ran twice %d, no answer in time %d, fallen over %d, cold budget used"
                        + " %.2f; to a dark hall after 2 s %.4f; longest message %d bytes%n",
                twice,
                silent,
                fallen,
                coldUse,
                toDark(),
                longestMessage));
        moves.forEach(line -> out.append("  ").append(line).append(System.lineSeparator()));
        return out.toString();
    }
}
