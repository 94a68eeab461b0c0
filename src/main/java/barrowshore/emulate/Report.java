package barrowshore.emulate;

import barrowshore.halls.HallState;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** The results of one emulated run, counted as it goes. It owns these counters and their output as table and JSON. */
public final class Report {
    private static final long SECOND = 1_000_000;
    /** Sends to a zone count as sends to a dark zone from this long after its outage began. */
    private static final long DETECTION_MICROS = 2 * SECOND;
    /** Answer times are recorded with two significant digits, up to this; longer ones count as this. */
    private static final long MAX_ANSWER_MICROS = 60 * SECOND;

    private record ZoneOutage(int zone, long from, long to, double nodeShare) {}

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
    private final double[] maxSpilledSlots;
    private final double[] maxSpillShare;
    private final List<ZoneOutage> outages = new ArrayList<>();
    private final List<String> hallStateChanges = new ArrayList<>();
    private final List<String> logLines = new ArrayList<>();
    private long sendsToDark;
    private long trialsOfDark;
    private long maxHungInZone;
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
        maxSpilledSlots = new double[zones];
        maxSpillShare = new double[zones];
    }

    void recordOffered(long at, int zone, int classIndex, double worth, double slotWork) {
        jobCount++;
        offeredWork += slotWork;
        int second = (int) (at / SECOND);
        offeredWorth[second] += worth;
        offeredWorthByZone[zone][second] += worth;
        offeredWorthByClass[classIndex] += worth;
    }

    void recordServed(long createdAt, int zone, int classIndex, double worth, boolean inTime, long answerMicros) {
        answerTimes.get(classIndex).recordValue(Math.min(answerMicros, MAX_ANSWER_MICROS));
        if (inTime) {
            int second = (int) (createdAt / SECOND);
            servedWorth[second] += worth;
            servedWorthByZone[zone][second] += worth;
            servedWorthByClass[classIndex] += worth;
        }
    }

    void recordRefusal(long createdAt) {
        refusals++;
    }

    void recordFailure(long createdAt) {
        failures++;
    }

    void recordWastedWork(double work) {
        wastedWork += work;
    }

    void recordSend(long at, int zone, int fromZone) {
        sendCount++;
        crossZoneSends += zone == fromZone ? 0 : 1;
    }

    /** Counts a send to a zone during outages of a whole zone; trial: the module knows that zone to be dark or returning. */
    void recordChoice(long at, int zone, boolean trial) {
        for (ZoneOutage outage : outages) {
            if (outage.nodeShare >= 1 && at >= outage.from + DETECTION_MICROS && at < outage.to) {
                sendsDuringOutages++;
                sendsToDark += outage.zone == zone && !trial ? 1 : 0;
                trialsOfDark += outage.zone == zone && trial ? 1 : 0;
            }
        }
    }

    /** Notes how many nodes of a zone hang at once through random faults. */
    void recordHung(int zone, long count) {
        maxHungInZone = Math.max(maxHungInZone, count);
    }

    void recordOutage(int zone, long from, long duration, double nodeShare) {
        outages.add(new ZoneOutage(zone, from, from + duration, nodeShare));
    }

    void recordSpill(int zone, double slots, double usableSlots) {
        maxSpilledSlots[zone] = Math.max(maxSpilledSlots[zone], slots);
        if (usableSlots > 0) {
            maxSpillShare[zone] = Math.max(maxSpillShare[zone], slots / usableSlots);
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

    /** Worth of all jobs. */
    double offeredWorth() {
        return Arrays.stream(offeredWorth).sum();
    }

    /** Share of the offered worth that was served in time. */
    double servedWorthShare() {
        return share(servedWorth, offeredWorth, 0, seconds);
    }

    /** The served share less the deductions for cross-zone sends and wasted work. */
    double score() {
        return servedWorthShare()
                - charges.perCrossing() * share(crossZoneSends, jobCount)
                - charges.perWastedShare() * (offeredWork <= 0 ? 0 : wastedWork / offeredWork);
    }

    /** Sum of part over sum of whole between two seconds. */
    private double share(double[] part, double[] whole, int from, int to) {
        double served = 0, wanted = 0;
        for (int k = from; k < Math.min(seconds, to); k++) {
            served += part[k];
            wanted += whole[k];
        }
        return share(served, wanted);
    }

    /** Lowest share of worth served in time over any ten seconds. */
    double worstTenSeconds() {
        double lowest = 1;
        for (int from = 0; from + 10 < seconds; from++) {
            lowest = Math.min(lowest, share(servedWorth, offeredWorth, from, from + 10));
        }
        return lowest;
    }

    /** Share of the worth of a zone's clients that was served in time, between two seconds. */
    double servedShare(int zone, int from, int to) {
        return share(servedWorthByZone[zone], offeredWorthByZone[zone], from, to);
    }

    double servedShare(int zone) {
        return servedShare(zone, 0, seconds);
    }

    /** Share of the sends later than 2 s into a whole zone's outage that went to that zone, without trials. */
    double darkSendShare() {
        return sendsDuringOutages == 0 ? 0 : (double) sendsToDark / sendsDuringOutages;
    }

    /** Share of those sends that were trials of the dark zone. */
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

    double maxSpillShare(int zone) {
        return maxSpillShare[zone];
    }

    List<String> hallStateChangeLines() {
        return hallStateChanges;
    }

    /** The violated rules with their counts; empty if none was. */
    String violations() {
        Map<String, Integer> counts = new LinkedHashMap<>();
        counts.put("ran twice", duplicateRuns);
        counts.put("no answer in time", missedDeadlines);
        counts.put("answered twice", duplicateAnswers);
        counts.put("sent after the end", sendsAfterAnswer);
        counts.put("refused while out", refusalsWithOpenAttempts);
        counts.put("not allowed", forbiddenActions);
        counts.put("pushed over", overloadedNodes);
        counts.values().removeIf(count -> count == 0);
        return counts.isEmpty() ? "" : counts.toString();
    }

    /** Number of rule violations; must be 0 in every run. */
    int violationCount() {
        return duplicateRuns
                + missedDeadlines
                + duplicateAnswers
                + sendsAfterAnswer
                + refusalsWithOpenAttempts
                + forbiddenActions
                + overloadedNodes;
    }

    /** The whole report as maps and lists for JSON, in a fixed order. */
    public Map<String, Object> json() {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("scenario", scenario.name());
        report.put("seed", seed);
        report.put("kept", round(servedWorthShare()));
        report.put("keptLessDeductions", round(score()));
        report.put("worst10s", round(worstTenSeconds()));
        Map<String, Object> zones = new LinkedHashMap<>();
        for (int z = 0; z < scenario.zones().size(); z++) {
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("diners", round(servedShare(z)));
            List<Object> windows = new ArrayList<>();
            for (int from = 0; from < seconds; from += 5) {
                windows.add(round(servedShare(z, from, from + 5)));
            }
            entry.put("dinersBy5s", windows.toArray());
            entry.put("mostSpilledSlots", round(maxSpilledSlots[z]));
            entry.put("mostSpilledShare", round(maxSpillShare[z]));
            zones.put(scenario.zones().get(z).name(), entry);
        }
        report.put("halls", zones);
        Map<String, Object> byClass = new LinkedHashMap<>();
        for (int c = 0; c < classNames.size(); c++) {
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("kept", round(share(servedWorthByClass[c], offeredWorthByClass[c])));
            entry.put("p50Ms", round(answerTimes.get(c).getValueAtPercentile(50) / 1e3));
            entry.put("p99Ms", round(answerTimes.get(c).getValueAtPercentile(99) / 1e3));
            byClass.put(classNames.get(c), entry);
        }
        report.put("classes", byClass);
        report.put("toDark", round(darkSendShare()));
        report.put("trials", round(darkTrialShare()));
        report.put("coldBudgetUsed", round(coldBudgetUsed));
        report.put("fallenOver", overloadedNodes);
        report.put("ranTwice", duplicateRuns);
        report.put("withoutAnswerInTime", missedDeadlines);
        report.put("answeredTwice", duplicateAnswers);
        report.put("sentAfterTheEnd", sendsAfterAnswer);
        report.put("refusedWhileOut", refusalsWithOpenAttempts);
        report.put("notAllowed", forbiddenActions);
        report.put("refused", refusals);
        report.put("failed", failures);
        report.put("sends", sendCount);
        report.put("crossings", crossZoneSends);
        report.put("wastedSeconds", round(wastedWork / 1e6));
        Map<String, Object> evenness = new LinkedHashMap<>();
        evenness.put("variation100ms", round(loadBalance.shortWindowVariation()));
        evenness.put("variation1s", round(loadBalance.longWindowVariation()));
        evenness.put("mostAgainstMean1s", round(loadBalance.longWindowPeak()));
        evenness.put("idleWhileOthersQueue", round(loadBalance.idleWhileOthersQueue()));
        evenness.put("crowdAgainstChance", round(loadBalance.crowding()));
        report.put("even", evenness);
        report.put("probes", probeCount);
        report.put("messages", messageCount);
        report.put("messageBytes", messageBytes);
        report.put("longestMessage", longestMessage);
        report.put("mostHungInAHall", maxHungInZone);
        report.put("events", eventCount);
        report.put("moves", hallStateChanges);
        return report;
    }

    private static double round(double figure) {
        return Math.round(figure * 1e4) / 1e4;
    }

    /** The report as a table for reading. */
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
                    maxSpilledSlots[z],
                    maxSpillShare[z]));
        }
        out.append(String.format(
                Locale.ROOT,
                "even load: variation %.2f in 0.1 s, %.2f in 1 s, most %.2f times the mean in 1 s; free while"
                        + " others queue %.3f slots a node; crowding %.2f of chance's%n",
                loadBalance.shortWindowVariation(),
                loadBalance.longWindowVariation(),
                loadBalance.longWindowPeak(),
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
