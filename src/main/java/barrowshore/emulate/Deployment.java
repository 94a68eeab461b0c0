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
        List<ClassOf> classes,
        List<Machine> machines,
        Told told,
        Allowed allowed,
        Rules rules,
        Prices prices,
        Net net) {
    private static final long MS = 1_000, S = 1_000_000;

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
    public record ClassOf(
            String name,
            double share,
            double work,
            double spread,
            long aim,
            double stretch,
            long deadline,
            double worth,
            RepeatSafety effect,
            DedupScope scope,
            long window,
            double[] slots,
            double memory) {}

    /** A kind of machine: its share, ranges of a core's speed, cores (0: as the scenario says), work waiting by core. */
    public record Machine(
            double share, double speedFrom, double speedTo, int cores, double queueFrom, double queueTo) {}

    /**
     * What schedulers are told of load, starts and machines; period and delay as ranges, noise a standard deviation;
     * bySpeed: whether a machine's registered size is its cores by their usual speed, or its cores.
     */
    public record Told(
            ReportSource reports,
            boolean inFlight,
            boolean queue,
            boolean free,
            long[] period,
            long[] delay,
            double noise,
            Weights weights,
            Hints hints,
            boolean starts,
            long progress,
            boolean listAsked,
            boolean bySpeed) {}

    /** What the site allows its schedulers: talk to peers, second copies, cancelling, and how many attempts a job. */
    public record Allowed(boolean peers, boolean copies, boolean cancel, int attempts) {}

    /** What is certain of a cold machine, and what pushes it over. */
    public record Rules(double startCapacity, long cold, double fallMultiple, long fall) {}

    /** Points for each request that crosses once, and for as much work wasted as was asked for; what worth counts by. */
    public record Prices(double crossing, double waste, boolean worthByWork) {}

    /** One way within a zone and between two, as ranges. */
    public record Net(long[] same, long[] cross) {}

    /** The first site, as its brief has it. */
    public static final Deployment HOME = new Deployment(
            "home",
            List.of(
                    new ClassOf(
                            "menu-cteni",
                            0.29,
                            230 * MS,
                            0.5,
                            120 * MS,
                            2,
                            5 * S,
                            2,
                            RepeatSafety.SAFE,
                            DedupScope.ALL,
                            0,
                            new double[] {1},
                            0),
                    new ClassOf(
                            "objednavka",
                            0.29,
                            460 * MS,
                            0.5,
                            150 * MS,
                            1.75,
                            5 * S,
                            10,
                            RepeatSafety.UNSAFE,
                            DedupScope.ALL,
                            0,
                            new double[] {0.6, 0.25, 0.15},
                            0),
                    new ClassOf(
                            "kuchyn-davka",
                            0.22,
                            1370 * MS,
                            0.5,
                            S,
                            1.75,
                            15 * S,
                            5,
                            RepeatSafety.UNSAFE,
                            DedupScope.ALL,
                            0,
                            new double[] {0.6, 0.25, 0.15},
                            0),
                    new ClassOf(
                            "platba",
                            0.2,
                            460 * MS,
                            0.5,
                            400 * MS,
                            2,
                            5 * S,
                            8,
                            RepeatSafety.UNSAFE,
                            DedupScope.ALL,
                            0,
                            new double[] {0.8, 0.2},
                            0)),
            List.of(new Machine(0.57, 0.85, 1.1, 0, 9.5, 18), new Machine(0.43, 0.51, 0.69, 0, 9.5, 18)),
            new Told(
                    ReportSource.NONE,
                    true,
                    false,
                    true,
                    new long[] {340 * MS, 1400 * MS},
                    new long[] {0, 0},
                    0,
                    Weights.FIXED,
                    Hints.NONE,
                    true,
                    2 * S,
                    false,
                    false),
            new Allowed(true, true, true, 5),
            new Rules(0.17, 22 * S, 3, 2 * S),
            new Prices(0.1, 0.3, false),
            new Net(new long[] {130, 320}, new long[] {420, 780}));

    /** A deployment and a day there. */
    public record Drawn(Deployment deployment, Scenario day) {}

    /** Draws a legal deployment and a day; the same seed gives the same. */
    public static Drawn draw(long seed) {
        return new Draw(RandomSource.XO_SHI_RO_256_PP.create(seed * 7919 + 17)).draw(seed);
    }

    /** Every machine's mean share of work by its speed and cores, where the scenario has so many cores a machine. */
    double meanSize() {
        double[] counts = {1, 2, 4};
        double mean = 0;
        for (ClassOf k : classes) {
            double slots = 0;
            for (int i = 0; i < k.slots.length; i++) {
                slots += k.slots[i] * counts[i];
            }
            mean += k.share * k.work * slots;
        }
        return mean;
    }

    /** What is on here, in few words. */
    String features() {
        List<String> words = new ArrayList<>();
        words.add("reports "
                + (told.reports == ReportSource.NONE
                        ? "none"
                        : told.reports.name().toLowerCase(Locale.ROOT) + "[" + (told.inFlight ? "i" : "")
                                + (told.queue ? "q" : "") + (told.free ? "f" : "") + "]"));
        words.add("weights " + told.weights.name().toLowerCase(Locale.ROOT));
        words.add("hints " + told.hints.name().toLowerCase(Locale.ROOT));
        words.add(!told.starts ? "no notes" : told.progress > 0 ? "notes" : "starts");
        words.add(allowed.peers ? "peers" : "alone");
        words.add(told.listAsked ? "asked" : "pushed");
        words.add((allowed.copies ? "copies" : "no copies") + (allowed.cancel ? ", cancel" : ""));
        words.add(prices.worthByWork ? "by work" : "whole");
        words.add(classes.stream()
                .map(k -> k.effect == RepeatSafety.KEYED
                        ? "keyed-" + k.scope.name().toLowerCase(Locale.ROOT)
                        : k.effect.name().toLowerCase(Locale.ROOT))
                .distinct()
                .reduce((a, b) -> a + "+" + b)
                .orElse(""));
        words.add(classes.stream().anyMatch(k -> k.memory > 0) ? "memory" : "no memory");
        words.add(String.format(Locale.ROOT, "cross %.1f ms at %.2f", net.cross[1] / 1e3, prices.crossing));
        return String.join(", ", words);
    }

    /** One draw, from its own source of chance. */
    private static final class Draw {
        private final UniformRandomProvider random;

        Draw(UniformRandomProvider random) {
            this.random = random;
        }

        private double in(double from, double to) {
            return from + (to - from) * random.nextDouble();
        }

        private boolean chance(double share) {
            return random.nextDouble() < share;
        }

        @SafeVarargs
        private final <T> T one(T... of) {
            return of[random.nextInt(of.length)];
        }

        Drawn draw(long seed) {
            int zones = one(1, 2, 3, 5);
            Deployment d = new Deployment(
                    "draw-" + seed,
                    classes(),
                    machines(),
                    told(),
                    new Allowed(chance(0.5), chance(0.6), chance(0.6), one(2, 3, 4, 5)),
                    new Rules(in(0.1, 0.2), (long) (in(12, 24) * S), 3, one(S, 2 * S, 3 * S)),
                    new Prices(zones == 1 ? 0 : one(0.0, 0.03, 0.1), in(0.03, 0.3), chance(0.5)),
                    net());
            return new Drawn(d, day(d, zones));
        }

        private List<ClassOf> classes() {
            int count = 2 + random.nextInt(3);
            double[] shares = new double[count];
            double sum = 0;
            for (int c = 0; c < count; c++) {
                shares[c] = in(0.15, 0.5);
                sum += shares[c];
            }
            DedupScope scope = one(DedupScope.ALL, DedupScope.ZONE, DedupScope.CELL);
            boolean memory = chance(0.3);
            List<ClassOf> all = new ArrayList<>();
            for (int c = 0; c < count; c++) {
                double work = c == 0 ? in(100, 250) * MS : in(300, 1400) * MS;
                RepeatSafety effect =
                        c == 0 ? RepeatSafety.SAFE : one(RepeatSafety.SAFE, RepeatSafety.KEYED, RepeatSafety.UNSAFE);
                double wide = c == 0 ? 0 : in(0, 0.5);
                all.add(new ClassOf(
                        "c" + c,
                        shares[c] / sum,
                        work,
                        in(0.3, 1),
                        (long) (work * in(0.3, 1)),
                        in(1.5, 2.5),
                        (long) (work * in(8, 20) + 2 * S),
                        one(1.0, 2.0, 5.0, 10.0),
                        effect,
                        scope,
                        12 * S,
                        new double[] {1 - wide, wide * 0.7, wide * 0.3},
                        memory ? in(0.3, 1) : 0));
            }
            return all;
        }

        private List<Machine> machines() {
            List<Machine> all = new ArrayList<>();
            int kinds = 1 + random.nextInt(3);
            for (int k = 0; k < kinds; k++) {
                double speed = in(0.5, 1.3);
                double queue = in(1, 10);
                all.add(new Machine(1.0 / kinds, speed, speed * 1.3, 4 + random.nextInt(3), queue, 2 * queue));
            }
            return all;
        }

        private Told told() {
            ReportSource reports =
                    one(ReportSource.NONE, ReportSource.ANSWERS, ReportSource.ANSWERS, ReportSource.PROBES);
            int fields = 1 + random.nextInt(7);
            boolean starts = chance(0.7);
            return new Told(
                    reports,
                    (fields & 1) > 0,
                    (fields & 2) > 0,
                    (fields & 4) > 0,
                    new long[] {(long) in(200, 700) * MS, (long) in(700, 1500) * MS},
                    new long[] {50 * MS, (long) in(50, 500) * MS},
                    in(0, 0.06),
                    one(Weights.values()),
                    one(Hints.values()),
                    starts,
                    starts && chance(0.5) ? 2 * S : 0,
                    chance(0.25),
                    chance(0.5));
        }

        private Net net() {
            long cross = (long) one(in(0.4, 0.8), in(2, 5), in(10, 20)).doubleValue() * MS + 400;
            return new Net(new long[] {120, 320}, new long[] {cross, cross + cross / 2});
        }

        private Scenario day(Deployment d, int zones) {
            int schedulers = Math.max(zones, one(2, 3, 4, 6, 10)), nodes = Math.max(zones, 6 + random.nextInt(10));
            List<Scenario.ZoneSpec> specs = new ArrayList<>();
            double rest = 1;
            for (int z = 0; z < zones; z++) {
                double clients = z == zones - 1 ? rest : rest / (zones - z) * in(0.7, 1.3);
                rest -= clients;
                specs.add(new Scenario.ZoneSpec("z" + z, (nodes + z) / zones, (schedulers + z) / zones, clients));
            }
            List<Scenario.Happening> happenings = new ArrayList<>();
            for (int k = random.nextInt(3); k > 0; k--) {
                Scenario.What what = one(
                        Scenario.What.SLOW,
                        Scenario.What.HANG,
                        Scenario.What.BURST,
                        Scenario.What.CRASH,
                        Scenario.What.DRAIN,
                        Scenario.What.TROUBLES);
                double factor =
                        what == Scenario.What.TROUBLES ? 1 : what == Scenario.What.SLOW ? in(2, 10) : in(1.3, 2);
                happenings.add(new Scenario.Happening(
                        what,
                        (long) (in(2, 8) * S),
                        (long) (in(4, 10) * S),
                        S / 2,
                        random.nextInt(zones),
                        in(0.2, 0.5),
                        1,
                        factor,
                        -1));
            }
            return new Scenario(
                    d.name(),
                    16 * S,
                    in(0.4, 0.95),
                    4,
                    random.nextInt(2),
                    allowedLoss(d),
                    0,
                    d.told().reports() == ReportSource.PROBES,
                    specs,
                    happenings);
        }

        private double allowedLoss(Deployment d) {
            return d.allowed().peers() ? one(0.0, 0.1, 0.3) : 0;
        }
    }
}
