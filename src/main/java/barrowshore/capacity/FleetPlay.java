package barrowshore.capacity;

import barrowshore.emulate.VirtualClock;
import barrowshore.module.DispatchApi.Health;
import barrowshore.module.DispatchApi.ListKind;
import barrowshore.module.DispatchApi.Member;
import barrowshore.module.DispatchApi.ReportSource;
import barrowshore.module.DispatchApi.Settings;
import barrowshore.module.WorkCounters;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * One play of a fleet in virtual time: real decision modules, each told what the others tell, before workers that run tasks
 * in slots. It fills the fleet first, lets it settle, and then measures. All chance comes from the seed, so that the counts
 * of a play are the same each time.
 */
final class FleetPlay implements PlayedScheduler.Fleet {
    private static final long MS = 1_000, S = 1_000_000;
    /** When a play begins, on its own clock: late enough that 0 means long ago. */
    private static final long START = 1_000 * S;
    /** Seconds in which the tasks come that a fleet has under way, and all seconds before it is measured. */
    private static final int FILL_SECONDS = 1, WARM_UP_SECONDS = 10;

    private static final int WORKERS_PER_CELL = 4;
    /** How long a machine drains before another takes its place. */
    private static final long DRAIN = 2 * S;
    /** What tenants may send together, over what they do send. */
    private static final double QUOTA_MARGIN = 1.2;
    /** How far a change of configuration moves a quota. */
    private static final double QUOTA_CHANGE = 0.1;

    private final FleetSize size;
    private final SimulationOptions options;
    private final VirtualClock kernel = new VirtualClock(START);
    private final Arrivals arrivals;
    private final UniformRandomProvider random;
    private final UniformRandomProvider changes;
    private final Map<String, PlayedWorker> workers = new HashMap<>();
    private final List<PlayedWorker> listed = new ArrayList<>();
    private final List<PlayedScheduler> schedulers = new ArrayList<>();
    private final StartDelays urgentStarts = new StartDelays();
    private boolean measuring;
    private long asked;
    private long started;
    private long startedAgain;
    private long turnedDown;
    private long failed;
    private int replacements;
    private int settingsChanges;

    FleetPlay(FleetSize size, SimulationOptions options) {
        this.size = size;
        this.options = options;
        arrivals = new Arrivals(size, options.seed());
        random = RandomSource.XO_SHI_RO_256_PP.create(options.seed() * 31 + 2);
        changes = RandomSource.XO_SHI_RO_256_PP.create(options.seed() * 31 + 3);
        int zones = CapacityTarget.TARGET.zones();
        for (int w = 0; w < size.workers(); w++) {
            int cell = w / (zones * WORKERS_PER_CELL) * zones + w % zones;
            join(new PlayedWorker("worker-" + w, w % zones, cell, size.slotsPerWorker(), kernel));
        }
        for (int s = 0; s < size.schedulers(); s++) {
            CallMeter meter = options.timed() ? CallMeter.ofThisThread() : CallMeter.countsOnly();
            schedulers.add(new PlayedScheduler(s, s % zones, settings(s), meter, kernel, this));
        }
    }

    private void join(PlayedWorker worker) {
        workers.put(worker.id, worker);
        listed.add(worker);
    }

    /** What the operators' site has, at this size. */
    private Settings settings(int number) {
        Settings set = new Settings();
        set.seed = random.nextLong();
        set.dispatchers = size.schedulers();
        set.ownIndex = number;
        set.zone = number % CapacityTarget.TARGET.zones();
        set.tickMicros = 5 * MS;
        set.classes = TaskKind.classes();
        set.tenantQuota = quotas();
        set.maxAttempts = 5;
        set.mayHedge = true;
        set.mayCancel = true;
        set.mayMessagePeers = true;
        set.maxRetryAfterMicros = 2 * S;
        set.reportSource = options.reports() ? ReportSource.ANSWERS : ReportSource.NONE;
        set.notesStart = true;
        set.progressMicros = PlayedWorker.PROGRESS_EVERY;
        set.connectTimeoutMicros = 250 * MS;
        set.startCapacity = 0.17;
        set.warmUpMicros = 22 * S;
        set.overloadMultiple = 3;
        set.overloadWindowMicros = 2 * S;
        set.crossZoneCharge = 0.1;
        return set;
    }

    private double[] quotas() {
        double[] quotas = new double[size.tenants()];
        Arrays.fill(quotas, QUOTA_MARGIN * size.startsPerSecond() / size.tenants());
        return quotas;
    }

    /** Plays it and returns what each scheduler spent, on average over all of them. */
    FleetCost play() {
        List<Member> whole = listed.stream().map(w -> w.entry(Health.READY)).toList();
        schedulers.forEach(s -> s.start(whole));
        kernel.runAfter(1, this::fill);
        kernel.runAfter(1, this::arrive);
        every(size.listChangesPerSecond(), this::replaceOne);
        every(size.settingsChangesPerSecond(), this::changeSettings);
        kernel.runUntil(START + WARM_UP_SECONDS * S);
        List<EffortReading> before =
                schedulers.stream().map(s -> EffortReading.of(s.effort())).toList();
        schedulers.forEach(PlayedScheduler::reset);
        measuring = true;
        long running = 0;
        for (int second = 1; second <= options.seconds(); second++) {
            kernel.runUntil(START + (WARM_UP_SECONDS + second) * S);
            running += workers.values().stream().mapToInt(PlayedWorker::running).sum();
        }
        EffortReading visits = EffortReading.NONE;
        for (int s = 0; s < schedulers.size(); s++) {
            visits = visits.plus(EffortReading.of(schedulers.get(s).effort()).minus(before.get(s)));
        }
        Workload workload = new Workload(
                asked,
                started,
                startedAgain,
                turnedDown,
                failed,
                running / (double) options.seconds(),
                urgentStarts.percentile(99));
        return FleetCost.of(size, options, schedulers, visits, workload);
    }

    /** Begins the tasks that a fleet of this size has under way. */
    private void fill() {
        double rate = size.runningTasks() / FILL_SECONDS;
        if (kernel.now() < START + FILL_SECONDS * S) {
            request(arrivals.underWay());
            kernel.runAfter(arrivals.pause(rate), this::fill);
        }
    }

    private void arrive() {
        request(arrivals.next());
        kernel.runAfter(arrivals.pause(size.startsPerSecond()), this::arrive);
    }

    private void request(Arrivals.Arrival arrival) {
        asked += measuring ? 1 : 0;
        schedulers.get(arrival.scheduler()).request(options.guesses() ? arrival : arrival.withoutGuess());
    }

    private void every(double perSecond, Runnable change) {
        if (perSecond > 0) {
            long interval = (long) (S / perSecond);
            kernel.runAfter(interval / 2, () -> repeat(interval, change));
        }
    }

    private void repeat(long interval, Runnable change) {
        change.run();
        kernel.runAfter(interval, () -> repeat(interval, change));
    }

    /** By turns a machine drains, and the one that drained longest ago makes room for another of another name. */
    private void replaceOne() {
        PlayedWorker old = listed.remove(changes.nextInt(listed.size()));
        list(List.of(old.entry(Health.DRAINING)));
        PlayedWorker next = old.replacement("replacement-" + ++replacements);
        kernel.runAfter(DRAIN, () -> {
            join(next);
            list(List.of(old.entry(Health.GONE), next.entry(Health.READY)));
        });
    }

    /** The list hears of it late, each scheduler a little apart. */
    private void list(List<Member> entries) {
        long late = between(260, 1_800);
        for (PlayedScheduler s : schedulers) {
            kernel.runAfter(late + between(13, 110), () -> s.list(ListKind.CHANGES, entries));
        }
    }

    private void changeSettings() {
        double[] quotas = quotas();
        quotas[settingsChanges % quotas.length] *= 1 + QUOTA_CHANGE * (1 + settingsChanges % 2);
        settingsChanges++;
        for (PlayedScheduler s : schedulers) {
            kernel.runAfter(between(13, 110), () -> s.quotas(quotas));
        }
    }

    private long between(int fromMillis, int toMillis) {
        return (long) ((fromMillis + (toMillis - fromMillis) * random.nextDouble()) * MS);
    }

    // What lies round the schedulers.

    @Override
    public PlayedWorker worker(String id) {
        return workers.get(id);
    }

    @Override
    public long way(int from, int to) {
        return from == to ? 130 + random.nextInt(190) : 420 + random.nextInt(360);
    }

    @Override
    public void tellOthers(PlayedScheduler from, byte[] message) {
        for (PlayedScheduler other : schedulers) {
            if (other != from && random.nextDouble() >= options.loss()) {
                deliver(from.number, other, message);
                if (random.nextDouble() < options.doubled()) {
                    deliver(from.number, other, message);
                }
            }
        }
    }

    /** Each datagram takes its own time, so that they overtake one another. */
    private void deliver(int from, PlayedScheduler to, byte[] message) {
        kernel.runAfter(between(1, 10), () -> to.heard(from, message));
    }

    @Override
    public void started(TaskKind kind, long waited) {
        started += measuring ? 1 : 0;
        if (measuring && kind == TaskKind.URGENT) {
            urgentStarts.add(waited);
        }
    }

    @Override
    public void startedAgain() {
        startedAgain += measuring ? 1 : 0;
    }

    @Override
    public void turnedDown() {
        turnedDown += measuring ? 1 : 0;
    }

    @Override
    public void failed() {
        failed += measuring ? 1 : 0;
    }

    /** What clients asked for in the measured time, and what came of it; the urgent tasks' start in seconds. */
    record Workload(
            long asked,
            long started,
            long startedAgain,
            long turnedDown,
            long failed,
            double running,
            double urgentStart) {}

    /** The module's own counts at one moment, or the difference of two. */
    record EffortReading(
            long refreshes, long refreshVisits, long datagrams, long datagramVisits, long picks, long pickVisits) {
        static final EffortReading NONE = new EffortReading(0, 0, 0, 0, 0, 0);

        static EffortReading of(WorkCounters effort) {
            return new EffortReading(
                    effort.refreshes(),
                    effort.refreshVisits(),
                    effort.datagrams(),
                    effort.datagramVisits(),
                    effort.picks(),
                    effort.pickVisits());
        }

        EffortReading plus(EffortReading o) {
            return new EffortReading(
                    refreshes + o.refreshes,
                    refreshVisits + o.refreshVisits,
                    datagrams + o.datagrams,
                    datagramVisits + o.datagramVisits,
                    picks + o.picks,
                    pickVisits + o.pickVisits);
        }

        EffortReading minus(EffortReading o) {
            return new EffortReading(
                    refreshes - o.refreshes,
                    refreshVisits - o.refreshVisits,
                    datagrams - o.datagrams,
                    datagramVisits - o.datagramVisits,
                    picks - o.picks,
                    pickVisits - o.pickVisits);
        }
    }
}
