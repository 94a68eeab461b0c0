package barrowshore.emulate;

import barrowshore.module.DispatchApi.DedupScope;
import barrowshore.module.DispatchApi.RepeatSafety;
import barrowshore.module.DispatchApi.ReportSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A deployment: what its clients ask for, what its machines are, and what its platform tells, allows and charges. It owns
 * these figures and how a legal deployment is drawn by a seed; it must never look at the module, so that what is drawn
 * does not lean on what is served well. Times in microseconds unless named otherwise.
 */
public record Deployment(
        String name,
        List<ClassSpec> classes,
        List<MachineKind> machines,
        Visibility visibility,
        Permissions permissions,
        ColdStart coldStart,
        Charges charges,
        Latency latency) {
    private static final long MILLISECOND = 1_000, SECOND = 1_000_000;

    /** What a guess at a job's work is worth: not given, near the truth, or without any bearing on it. */
    public enum Hints {
        NONE,
        GOOD,
        MISLEADING
    }

    /** A listed weight: none, the machine's size, or that size lowered by what it holds, some time ago. */
    public enum Weights {
        NONE,
        FIXED,
        LIVE
    }

    /**
     * A class: its share of jobs, mean work and its spread (standard deviation over mean), chances of 1, 2 and 4 slots, and
     * the memory of a job for each slot, of the one unit that a machine has for each.
     */
    public record ClassSpec(
            String name,
            double share,
            double meanWork,
            double workVariation,
            long targetMicros,
            double targetStretch,
            long deadlineMicros,
            double worth,
            RepeatSafety repeatSafety,
            DedupScope dedupScope,
            long repeatWindowMicros,
            double[] slotShares,
            double memoryPerSlot) {}

    /** A kind of machine: its share, ranges of a core's speed, cores (0: as the scenario says), work waiting by core. */
    public record MachineKind(
            double share,
            double speedFrom,
            double speedTo,
            int cores,
            double queuePerCoreFrom,
            double queuePerCoreTo) {}

    /**
     * What schedulers are told of load, starts and machines; period and delay as ranges, noise a standard deviation;
     * bySpeed: whether a machine's registered size is its cores by their usual speed, or its cores.
     */
    public record Visibility(
            ReportSource reportSource,
            boolean reportsInFlight,
            boolean reportsQueue,
            boolean reportsFreeSlots,
            long[] reportPeriodMicros,
            long[] reportDelayMicros,
            double reportNoise,
            Weights weights,
            Hints hints,
            boolean notesStart,
            long progressMicros,
            boolean pollsList,
            boolean weightsBySpeed) {}

    /** What the site allows its schedulers: talk to peers, second copies, cancelling, and how many attempts a job. */
    public record Permissions(boolean peerMessages, boolean hedging, boolean cancelling, int maxAttempts) {}

    /** What is certain of a cold machine, and what pushes it over. */
    public record ColdStart(
            double startCapacity, long warmUpMicros, double overloadMultiple, long overloadWindowMicros) {}

    /** Points for each request that crosses once, and for as much work wasted as was asked for; what worth counts by. */
    public record Charges(double perCrossing, double perWastedShare, boolean worthByWork) {}

    /** One way within a zone and between two, as ranges. */
    public record Latency(long[] withinZoneMicros, long[] betweenZonesMicros) {}

    /** The first site, as its brief has it. */
    public static final Deployment HOME = new Deployment(
            "home",
            List.of(
                    new ClassSpec(
                            "menu-cteni",
                            0.29,
                            230 * MILLISECOND,
                            0.5,
                            120 * MILLISECOND,
                            2,
                            5 * SECOND,
                            2,
                            RepeatSafety.SAFE,
                            DedupScope.ALL,
                            0,
                            new double[] {1},
                            0),
                    new ClassSpec(
                            "objednavka",
                            0.29,
                            460 * MILLISECOND,
                            0.5,
                            150 * MILLISECOND,
                            1.75,
                            5 * SECOND,
                            10,
                            RepeatSafety.UNSAFE,
                            DedupScope.ALL,
                            0,
                            new double[] {0.6, 0.25, 0.15},
                            0),
                    new ClassSpec(
                            "kuchyn-davka",
                            0.22,
                            1370 * MILLISECOND,
                            0.5,
                            SECOND,
                            1.75,
                            15 * SECOND,
                            5,
                            RepeatSafety.UNSAFE,
                            DedupScope.ALL,
                            0,
                            new double[] {0.6, 0.25, 0.15},
                            0),
                    new ClassSpec(
                            "platba",
                            0.2,
                            460 * MILLISECOND,
                            0.5,
                            400 * MILLISECOND,
                            2,
                            5 * SECOND,
                            8,
                            RepeatSafety.UNSAFE,
                            DedupScope.ALL,
                            0,
                            new double[] {0.8, 0.2},
                            0)),
            List.of(new MachineKind(0.57, 0.85, 1.1, 0, 9.5, 18), new MachineKind(0.43, 0.51, 0.69, 0, 9.5, 18)),
            new Visibility(
                    ReportSource.NONE,
                    true,
                    false,
                    true,
                    new long[] {340 * MILLISECOND, 1400 * MILLISECOND},
                    new long[] {0, 0},
                    0,
                    Weights.FIXED,
                    Hints.NONE,
                    true,
                    2 * SECOND,
                    false,
                    false),
            new Permissions(true, true, true, 5),
            new ColdStart(0.17, 22 * SECOND, 3, 2 * SECOND),
            new Charges(0.1, 0.3, false),
            new Latency(new long[] {130, 320}, new long[] {420, 780}));

    /** A deployment and a day there. */
    public record DrawnDeployment(Deployment deployment, Scenario scenario) {}

    /** Draws a legal deployment and a day; the same seed gives the same. */
    public static DrawnDeployment draw(long seed) {
        return new Generator(RandomSource.XO_SHI_RO_256_PP.create(seed * 7919 + 17)).draw(seed);
    }

    /** Every machine's mean share of work by its speed and cores, where the scenario has so many cores a machine. */
    double meanJobSize() {
        double[] slotsByColumn = {1, 2, 4};
        double mean = 0;
        for (ClassSpec jobClass : classes) {
            double slots = 0;
            for (int i = 0; i < jobClass.slotShares.length; i++) {
                slots += jobClass.slotShares[i] * slotsByColumn[i];
            }
            mean += jobClass.share * jobClass.meanWork * slots;
        }
        return mean;
    }

    /** What is on here, in few words. */
    String features() {
        List<String> features = new ArrayList<>();
        features.add("reports "
                + (visibility.reportSource == ReportSource.NONE
                        ? "none"
                        : visibility.reportSource.name().toLowerCase(Locale.ROOT) + "["
                                + (visibility.reportsInFlight ? "i" : "") + (visibility.reportsQueue ? "q" : "")
                                + (visibility.reportsFreeSlots ? "f" : "") + "]"));
        features.add("weights " + visibility.weights.name().toLowerCase(Locale.ROOT));
        features.add("hints " + visibility.hints.name().toLowerCase(Locale.ROOT));
        features.add(!visibility.notesStart ? "no notes" : visibility.progressMicros > 0 ? "notes" : "starts");
        features.add(permissions.peerMessages ? "peers" : "alone");
        features.add(visibility.pollsList ? "asked" : "pushed");
        features.add((permissions.hedging ? "copies" : "no copies") + (permissions.cancelling ? ", cancel" : ""));
        features.add(charges.worthByWork ? "by work" : "whole");
        features.add(classes.stream()
                .map(k -> k.repeatSafety == RepeatSafety.KEYED
                        ? "keyed-" + k.dedupScope.name().toLowerCase(Locale.ROOT)
                        : k.repeatSafety.name().toLowerCase(Locale.ROOT))
                .distinct()
                .reduce((a, b) -> a + "+" + b)
                .orElse(""));
        features.add(classes.stream().anyMatch(k -> k.memoryPerSlot > 0) ? "memory" : "no memory");
        features.add(String.format(
                Locale.ROOT, "cross %.1f ms at %.2f", latency.betweenZonesMicros[1] / 1e3, charges.perCrossing));
        return String.join(", ", features);
    }

    /** One draw, from its own source of chance. */
    private static final class Generator {
        private final UniformRandomProvider random;

        Generator(UniformRandomProvider random) {
            this.random = random;
        }

        private double uniform(double from, double to) {
            return from + (to - from) * random.nextDouble();
        }

        private boolean withProbability(double share) {
            return random.nextDouble() < share;
        }

        @SafeVarargs
        private final <T> T oneOf(T... choices) {
            return choices[random.nextInt(choices.length)];
        }

        DrawnDeployment draw(long seed) {
            int zones = oneOf(1, 2, 3, 5);
            Deployment deployment = new Deployment(
                    "draw-" + seed,
                    classes(),
                    machines(),
                    visibility(),
                    new Permissions(
                            withProbability(0.5), withProbability(0.6), withProbability(0.6), oneOf(2, 3, 4, 5)),
                    new ColdStart(
                            uniform(0.1, 0.2),
                            (long) (uniform(12, 24) * SECOND),
                            3,
                            oneOf(SECOND, 2 * SECOND, 3 * SECOND)),
                    new Charges(zones == 1 ? 0 : oneOf(0.0, 0.03, 0.1), uniform(0.03, 0.3), withProbability(0.5)),
                    latency());
            return new DrawnDeployment(deployment, scenario(deployment, zones));
        }

        private List<ClassSpec> classes() {
            int count = 2 + random.nextInt(3);
            double[] shares = new double[count];
            double sum = 0;
            for (int c = 0; c < count; c++) {
                shares[c] = uniform(0.15, 0.5);
                sum += shares[c];
            }
            DedupScope dedupScope = oneOf(DedupScope.ALL, DedupScope.ZONE, DedupScope.CELL);
            boolean needsMemory = withProbability(0.3);
            List<ClassSpec> all = new ArrayList<>();
            for (int c = 0; c < count; c++) {
                double work = c == 0 ? uniform(100, 250) * MILLISECOND : uniform(300, 1400) * MILLISECOND;
                RepeatSafety repeatSafety =
                        c == 0 ? RepeatSafety.SAFE : oneOf(RepeatSafety.SAFE, RepeatSafety.KEYED, RepeatSafety.UNSAFE);
                double multiSlotShare = c == 0 ? 0 : uniform(0, 0.5);
                all.add(new ClassSpec(
                        "c" + c,
                        shares[c] / sum,
                        work,
                        uniform(0.3, 1),
                        (long) (work * uniform(0.3, 1)),
                        uniform(1.5, 2.5),
                        (long) (work * uniform(8, 20) + 2 * SECOND),
                        oneOf(1.0, 2.0, 5.0, 10.0),
                        repeatSafety,
                        dedupScope,
                        12 * SECOND,
                        new double[] {1 - multiSlotShare, multiSlotShare * 0.7, multiSlotShare * 0.3},
                        needsMemory ? uniform(0.3, 1) : 0));
            }
            return all;
        }

        private List<MachineKind> machines() {
            List<MachineKind> all = new ArrayList<>();
            int kinds = 1 + random.nextInt(3);
            for (int k = 0; k < kinds; k++) {
                double speed = uniform(0.5, 1.3);
                double queue = uniform(1, 10);
                all.add(new MachineKind(1.0 / kinds, speed, speed * 1.3, 4 + random.nextInt(3), queue, 2 * queue));
            }
            return all;
        }

        private Visibility visibility() {
            ReportSource reportSource =
                    oneOf(ReportSource.NONE, ReportSource.ANSWERS, ReportSource.ANSWERS, ReportSource.PROBES);
            int reportedFields = 1 + random.nextInt(7);
            boolean notesStart = withProbability(0.7);
            return new Visibility(
                    reportSource,
                    (reportedFields & 1) > 0,
                    (reportedFields & 2) > 0,
                    (reportedFields & 4) > 0,
                    new long[] {(long) uniform(200, 700) * MILLISECOND, (long) uniform(700, 1500) * MILLISECOND},
                    new long[] {50 * MILLISECOND, (long) uniform(50, 500) * MILLISECOND},
                    uniform(0, 0.06),
                    oneOf(Weights.values()),
                    oneOf(Hints.values()),
                    notesStart,
                    notesStart && withProbability(0.5) ? 2 * SECOND : 0,
                    withProbability(0.25),
                    withProbability(0.5));
        }

        private Latency latency() {
            long betweenZones = (long) oneOf(uniform(0.4, 0.8), uniform(2, 5), uniform(10, 20))
                                    .doubleValue()
                            * MILLISECOND
                    + 400;
            return new Latency(new long[] {120, 320}, new long[] {betweenZones, betweenZones + betweenZones / 2});
        }

        private Scenario scenario(Deployment deployment, int zones) {
            int schedulers = Math.max(zones, oneOf(2, 3, 4, 6, 10)), nodes = Math.max(zones, 6 + random.nextInt(10));
            List<Scenario.ZoneSpec> zoneSpecs = new ArrayList<>();
            double clientsLeft = 1;
            for (int z = 0; z < zones; z++) {
                double clients = z == zones - 1 ? clientsLeft : clientsLeft / (zones - z) * uniform(0.7, 1.3);
                clientsLeft -= clients;
                zoneSpecs.add(new Scenario.ZoneSpec("z" + z, (nodes + z) / zones, (schedulers + z) / zones, clients));
            }
            List<Scenario.ScenarioEvent> events = new ArrayList<>();
            for (int k = random.nextInt(3); k > 0; k--) {
                Scenario.EventType type = oneOf(
                        Scenario.EventType.SLOW,
                        Scenario.EventType.HANG,
                        Scenario.EventType.BURST,
                        Scenario.EventType.CRASH,
                        Scenario.EventType.DRAIN,
                        Scenario.EventType.TROUBLES);
                double factor = type == Scenario.EventType.TROUBLES
                        ? 1
                        : type == Scenario.EventType.SLOW ? uniform(2, 10) : uniform(1.3, 2);
                events.add(new Scenario.ScenarioEvent(
                        type,
                        (long) (uniform(2, 8) * SECOND),
                        (long) (uniform(4, 10) * SECOND),
                        SECOND / 2,
                        random.nextInt(zones),
                        uniform(0.2, 0.5),
                        1,
                        factor,
                        -1));
            }
            return new Scenario(
                    deployment.name(),
                    16 * SECOND,
                    uniform(0.4, 0.95),
                    4,
                    random.nextInt(2),
                    messageLoss(deployment),
                    0,
                    deployment.visibility().reportSource() == ReportSource.PROBES,
                    zoneSpecs,
                    events);
        }

        private double messageLoss(Deployment deployment) {
            return deployment.permissions().peerMessages() ? oneOf(0.0, 0.1, 0.3) : 0;
        }
    }
}
