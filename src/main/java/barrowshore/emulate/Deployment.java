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
 * A deployment: its job classes, machines, and what its platform reports, permits and charges. It owns these figures and the
 * drawing of a valid random deployment. It must not depend on the module, or the draws could favour what the module does
 * well. Times are in microseconds.
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

    /** Hints of a job's work: none, close to the work, or unrelated to it. */
    public enum Hints {
        NONE,
        GOOD,
        MISLEADING
    }

    /** Weights in service discovery: none, the machine's size, or its size reduced by its load some time ago. */
    public enum Weights {
        NONE,
        FIXED,
        LIVE
    }

    /**
     * A job class. share: of all jobs; workVariation: coefficient of variation; slotShares: probabilities of 1, 2 and 4
     * slots; memoryPerSlot: where a machine has one unit per core.
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

    /**
     * A kind of machine: its share of machines, ranges of core speed and of queue length per core; cores 0: the
     * scenario's.
     */
    public record MachineKind(
            double share,
            double speedFrom,
            double speedTo,
            int cores,
            double queuePerCoreFrom,
            double queuePerCoreTo) {}

    /**
     * What schedulers learn of load, starts and machines. Period and delay are ranges, noise is a relative standard
     * deviation; weightsBySpeed: whether a weight is cores times mean speed, or cores.
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

    /** What schedulers may do. hedging: a second attempt while the first is open; maxAttempts: per job. */
    public record Permissions(boolean peerMessages, boolean hedging, boolean cancelling, int maxAttempts) {}

    /** Guaranteed capacity share after a start, longest warm-up, and the load above which a cold machine may fail. */
    public record ColdStart(
            double startCapacity, long warmUpMicros, double overloadMultiple, long overloadWindowMicros) {}

    /**
     * Deductions from the score: per cross-zone send and job, and for wasted work relative to offered work. worthByWork:
     * whether a job's worth scales with its work.
     */
    public record Charges(double perCrossing, double perWastedShare, boolean worthByWork) {}

    /** Ranges of one-way latency within a zone and between two. */
    public record Latency(long[] withinZoneMicros, long[] betweenZonesMicros) {}

    /** The first site, with the figures of its specification. */
    public static final Deployment FIRST_SITE = new Deployment(
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

    /** A deployment and a scenario for it. */
    public record DrawnDeployment(Deployment deployment, Scenario scenario) {}

    /** Draws a valid deployment and a scenario; the same seed gives the same. */
    public static DrawnDeployment draw(long seed) {
        return new Generator(RandomSource.XO_SHI_RO_256_PP.create(seed * 7919 + 17)).draw(seed);
    }

    /** Mean over all jobs of work times slots. */
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

    /** A one-line summary of the features, for the comparison table. */
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

    /** Draws one deployment from its own random source; the order of draws is part of the result. */
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
