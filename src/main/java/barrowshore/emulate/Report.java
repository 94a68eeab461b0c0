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
    private static final long SECOND = 1_000_000;
    /** From a zone's going dark until new work for it counts as a fault. */
    private static final long DETECTION_TIME = 2 * SECOND;
    /** Answer times are kept to the hundredth, up to a minute. */
    private static final long MAX_ANSWER_MICROS = 60 * SECOND;

    private record ZoneOutage(int zone, long from, long to, double part) {}

    private final Scenario scenario;
    private final long seed;
    private final Deployment.Charges charges;
    private final List<String> classNames;
    private final int seconds;
    private final double[] offeredWorth;
    private final double[] servedWorth;
    private final double[][] offeredWorthByZone;
    private final double[][] servedWorthByZone;
    private final double[] offeredWorthByClass;
    private final double[] servedWorthByClass;
    private final List<Histogram> answerTimes = new ArrayList<>();
    private final double[] mostSpilledSlots;
    private final double[] mostSpillShare;
    private final List<ZoneOutage> outages = new ArrayList<>();
    private final List<String> hallStateChanges = new ArrayList<>();
    private final List<String> logLines = new ArrayList<>();
    private long sendsToDark;
    private long trialsOfDark;
    private long mostHungInZone;
    private long sendsDuringOutages;
    private long refusals;
    private long failures;
    private long sendCount;
    private long crossZoneSends;
    private double wastedWork;
    private double offeredWork;
    private long jobCount;
    private double coldBudgetUsed;
    private int overloadedNodes;
    private int hallStateChangeCount;
    int duplicateRuns;
    int missedDeadlines;
    int duplicateAnswers;
    int sendsAfterAnswer;
    int refusalsWithOpenAttempts;
    int forbiddenActions;
    long probeCount;
    long messageCount;
    long messageBytes;
    int longestMessage;
    long eventCount;
    final LoadBalanceStats loadBalance = new LoadBalanceStats();

    Report(Scenario scenario, Deployment deployment, long seed) {
        this.scenario = scenario;
        this.charges = deployment.charges();
        this.seed = seed;
        this.classNames =
                deployment.classes().stream().map(Deployment.ClassSpec::name).toList();
        seconds = (int) (scenario.lengthMicros() / SECOND) + 2;
        offeredWorth = new double[seconds];
        servedWorth = new double[seconds];
        int zones = scenario.zones().size();
        offeredWorthByZone = new double[zones][seconds];
        servedWorthByZone = new double[zones][seconds];
        offeredWorthByClass = new double[classNames.size()];
        servedWorthByClass = new double[classNames.size()];
        classNames.forEach(c -> answerTimes.add(new Histogram(MAX_ANSWER_MICROS, 2)));
        mostSpilledSlots = new double[zones];
        mostSpillShare = new double[zones];
    }

    void recordOffered(long at, int zone, int type, double worth, double size) {
        jobCount++;
        offeredWork += size;
        int second = (int) (at / SECOND);
        offeredWorth[second] += worth;
        offeredWorthByZone[zone][second] += worth;
        offeredWorthByClass[type] += worth;
    }

    void recordServed(long since, int zone, int type, double worth, boolean inTime, long took) {
        answerTimes.get(type).recordValue(Math.min(took, MAX_ANSWER_MICROS));
        if (inTime) {
            int second = (int) (since / SECOND);
            servedWorth[second] += worth;
            servedWorthByZone[zone][second] += worth;
            servedWorthByClass[type] += worth;
        }
    }

    void recordRefusal(long since) {
        refusals++;
    }

    void recordFailure(long since) {
        failures++;
    }

    void recordWastedWork(double work) {
        wastedWork += work;
    }

    void recordSend(long at, int zone, int from) {
        sendCount++;
        crossZoneSends += zone == from ? 0 : 1;
    }

    /** The module chose a node of this zone; trial: it holds the zone for lost, or is trying it. */
    void recordChoice(long at, int zone, boolean trial) {
        for (ZoneOutage outage : outages) {
            if (outage.part >= 1 && at >= outage.from + DETECTION_TIME && at < outage.to) {
                sendsDuringOutages++;
                sendsToDark += outage.zone == zone && !trial ? 1 : 0;
                trialsOfDark += outage.zone == zone && trial ? 1 : 0;
            }
        }
    }

    /** So many nodes of a zone hang at once, by troubles drawn for each. */
    void recordHung(int zone, long count) {
        mostHungInZone = Math.max(mostHungInZone, count);
    }

    void recordOutage(int zone, long from, long lasts, double part) {
        outages.add(new ZoneOutage(zone, from, from + lasts, part));
    }

    void recordSpill(int zone, double slots, double usable) {
        mostSpilledSlots[zone] = Math.max(mostSpilledSlots[zone], slots);
        if (usable > 0) {
            mostSpillShare[zone] = Math.max(mostSpillShare[zone], slots / usable);
        }
    }

    void recordNode(double budgetUsed, boolean overloaded) {
        coldBudgetUsed = Math.max(coldBudgetUsed, budgetUsed);
        overloadedNodes += overloaded ? 1 : 0;
    }

    void recordHallStates(long at, int scheduler, List<HallState> from, List<HallState> to, List<String> names) {
        for (int z = 0; z < to.size(); z++) {
            HallState was = z < from.size() ? from.get(z) : HallState.SERVING;
            if (was != to.get(z)) {
                hallStateChangeCount++;
                hallStateChanges.add(String.format(
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
        logLines.add(String.format(Locale.ROOT, "%.2f s  scheduler %d: %s", at / 1e6, scheduler, line));
    }

    private static double share(double part, double whole) {
        return whole <= 0 ? 1 : part / whole;
    }

    /** Worth asked for in all. */
    double offeredWorth() {
        return Arrays.stream(offeredWorth).sum();
    }

    /** Worth served in time against worth asked for. */
    double servedWorthShare() {
        return share(servedWorth, offeredWorth, 0, seconds);
    }

    /** The same less what the operators deduct: for requests that cross zones, and for work wasted. */
    double score() {
        return servedWorthShare()
                - charges.perCrossing() * share(crossZoneSends, jobCount)
                - charges.perWastedShare() * (offeredWork <= 0 ? 0 : wastedWork / offeredWork);
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
    double worstTenSeconds() {
        double least = 1;
        for (int from = 0; from + 10 < seconds; from++) {
            least = Math.min(least, share(servedWorth, offeredWorth, from, from + 10));
        }
        return least;
    }

    /** The same of the clients that belong to a zone, from one second to another. */
    double servedShare(int zone, int from, int to) {
        return share(servedWorthByZone[zone], offeredWorthByZone[zone], from, to);
    }

    double servedShare(int zone) {
        return servedShare(zone, 0, seconds);
    }

    /** Of what was chosen later than 2 s after a whole zone went dark: the share that went there, trials apart. */
    double darkSendShare() {
        return sendsDuringOutages == 0 ? 0 : (double) sendsToDark / sendsDuringOutages;
    }

    /** The share that were trials of it. */
    double darkTrialShare() {
        return sendsDuringOutages == 0 ? 0 : (double) trialsOfDark / sendsDuringOutages;
    }

    double coldBudgetUsed() {
        return coldBudgetUsed;
    }

    int overloadedNodes() {
        return overloadedNodes;
    }

    int hallStateChangeCount() {
        return hallStateChangeCount;
    }

    double mostSpillShare(int zone) {
        return mostSpillShare[zone];
    }

    List<String> hallStateChangeLines() {
        return hallStateChanges;
    }

    /** Which rules were broken, and how often; empty if none was. */
    String violations() {
        Map<String, Integer> all = new LinkedHashMap<>();
        all.put("ran twice", duplicateRuns);
        all.put("no answer in time", missedDeadlines);
        all.put("answered twice", duplicateAnswers);
        all.put("sent after the end", sendsAfterAnswer);
        all.put("refused while out", refusalsWithOpenAttempts);
        all.put("not allowed", forbiddenActions);
        all.put("pushed over", overloadedNodes);
        all.values().removeIf(count -> count == 0);
        return all.isEmpty() ? "" : all.toString();
    }

    /** What must never be: 0 in every run. */
    int violationCount() {
        return duplicateRuns
                + missedDeadlines
                + duplicateAnswers
                + sendsAfterAnswer
                + refusalsWithOpenAttempts
                + forbiddenActions
                + overloadedNodes;
    }

    /** The whole report as JSON's maps and lists; the same run gives the same, in the same order. */
    public Map<String, Object> json() {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("scenario", scenario.name());
        all.put("seed", seed);
        all.put("kept", round(servedWorthShare()));
        all.put("keptLessDeductions", round(score()));
        all.put("worst10s", round(worstTenSeconds()));
        Map<String, Object> zones = new LinkedHashMap<>();
        for (int z = 0; z < scenario.zones().size(); z++) {
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("diners", round(servedShare(z)));
            List<Object> windows = new ArrayList<>();
            for (int from = 0; from < seconds; from += 5) {
                windows.add(round(servedShare(z, from, from + 5)));
            }
            one.put("dinersBy5s", windows.toArray());
            one.put("mostSpilledSlots", round(mostSpilledSlots[z]));
            one.put("mostSpilledShare", round(mostSpillShare[z]));
            zones.put(scenario.zones().get(z).name(), one);
        }
        all.put("halls", zones);
        Map<String, Object> types = new LinkedHashMap<>();
        for (int c = 0; c < classNames.size(); c++) {
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("kept", round(share(servedWorthByClass[c], offeredWorthByClass[c])));
            one.put("p50Ms", round(answerTimes.get(c).getValueAtPercentile(50) / 1e3));
            one.put("p99Ms", round(answerTimes.get(c).getValueAtPercentile(99) / 1e3));
            types.put(classNames.get(c), one);
        }
        all.put("classes", types);
        all.put("toDark", round(darkSendShare()));
        all.put("trials", round(darkTrialShare()));
        all.put("coldBudgetUsed", round(coldBudgetUsed));
        all.put("fallenOver", overloadedNodes);
        all.put("ranTwice", duplicateRuns);
        all.put("withoutAnswerInTime", missedDeadlines);
        all.put("answeredTwice", duplicateAnswers);
        all.put("sentAfterTheEnd", sendsAfterAnswer);
        all.put("refusedWhileOut", refusalsWithOpenAttempts);
        all.put("notAllowed", forbiddenActions);
        all.put("refused", refusals);
        all.put("failed", failures);
        all.put("sends", sendCount);
        all.put("crossings", crossZoneSends);
        all.put("wastedSeconds", round(wastedWork / 1e6));
        Map<String, Object> evenness = new LinkedHashMap<>();
        evenness.put("variation100ms", round(loadBalance.variationShort()));
        evenness.put("variation1s", round(loadBalance.variationLong()));
        evenness.put("mostAgainstMean1s", round(loadBalance.peakLong()));
        evenness.put("idleWhileOthersQueue", round(loadBalance.idleWhileOthersQueue()));
        evenness.put("crowdAgainstChance", round(loadBalance.crowding()));
        all.put("even", evenness);
        all.put("probes", probeCount);
        all.put("messages", messageCount);
        all.put("messageBytes", messageBytes);
        all.put("longestMessage", longestMessage);
        all.put("mostHungInAHall", mostHungInZone);
        all.put("events", eventCount);
        all.put("moves", hallStateChanges);
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
                servedWorthShare(),
                score(),
                worstTenSeconds(),
                refusals,
                failures,
                sendCount,
                crossZoneSends,
                probeCount,
                messageCount));
        out.append(String.format("%-16s %8s %14s %14s%n", "hall", "diners", "most spilled", "of its slots"));
        for (int z = 0; z < scenario.zones().size(); z++) {
            out.append(String.format(
                    Locale.ROOT,
                    "%-16s %8.3f %14.1f %14.2f%n",
                    scenario.zones().get(z).name(),
                    servedShare(z),
                    mostSpilledSlots[z],
                    mostSpillShare[z]));
        }
        out.append(String.format(
                Locale.ROOT,
                "even load: variation %.2f in 0.1 s, %.2f in 1 s, most %.2f times the mean in 1 s; free while"
                        + " others queue %.3f slots a node; crowding %.2f of chance's%n",
                loadBalance.variationShort(),
                loadBalance.variationLong(),
                loadBalance.peakLong(),
                loadBalance.idleWhileOthersQueue(),
                loadBalance.crowding()));
        out.append("by 5 s, worth served:");
        for (int from = 0; from < seconds; from += 5) {
            out.append(String.format(Locale.ROOT, " %.3f", share(servedWorth, offeredWorth, from, from + 5)));
        }
        out.append(String.format("%n%-16s %8s %14s %14s%n", "class", "kept", "p50 ms", "p99 ms"));
        for (int c = 0; c < classNames.size(); c++) {
            out.append(String.format(
                    Locale.ROOT,
                    "%-16s %8.3f %14.0f %14.0f%n",
                    classNames.get(c),
                    share(servedWorthByClass[c], offeredWorthByClass[c]),
                    answerTimes.get(c).getValueAtPercentile(50) / 1e3,
                    answerTimes.get(c).getValueAtPercentile(99) / 1e3));
        }
        out.append(String.format(
                Locale.ROOT,
                "rules: ran twice %d, no answer in time %d, fallen over %d, cold budget used"
                        + " %.2f; to a dark hall after 2 s %.4f; longest message %d bytes%n",
                duplicateRuns,
                missedDeadlines,
                overloadedNodes,
                coldBudgetUsed,
                darkSendShare(),
                longestMessage));
        hallStateChanges.forEach(line -> out.append("  ").append(line).append(System.lineSeparator()));
        return out.toString();
    }
}
