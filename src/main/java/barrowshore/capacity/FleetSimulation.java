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
 * Simulates a fleet in virtual time: real decision modules that exchange datagrams, and simulated workers that run
 * tasks in slots. It first fills the fleet with running tasks, lets it settle, and then measures. All randomness comes
 * from the seed, so that the counts of a run are reproducible.
 */
final class FleetSimulation implements SimulatedDispatcher.Fleet {
    private static final long MICROS_PER_MILLI = 1_000, MICROS_PER_SECOND = 1_000_000;
    /** Virtual time at the start, in microseconds; large enough that timestamp 0 lies far in the past. */
    private static final long START_MICROS = 1_000 * MICROS_PER_SECOND;
    /** Seconds over which the initially running tasks are started, and total seconds before the measurement. */
    private static final int FILL_SECONDS = 1, WARM_UP_SECONDS = 10;

    private static final int WORKERS_PER_CELL = 4;
    /** Microseconds that a machine drains before it is replaced. */
    private static final long DRAIN_MICROS = 2 * MICROS_PER_SECOND;
    /** Sum of the tenants' quotas over the total request rate. */
    private static final double QUOTA_MARGIN = 1.2;
    /** Share by which a configuration change raises a quota; every second change raises it by twice as much. */
    private static final double QUOTA_CHANGE = 0.1;

    private final FleetSize size;
    private final SimulationOptions options;
    private final VirtualClock clock = new VirtualClock(START_MICROS);
    private final Arrivals arrivals;
    private final UniformRandomProvider random;
    private final UniformRandomProvider changes;
    private final Map<String, SimulatedWorker> workers = new HashMap<>();
    private final List<SimulatedWorker> listed = new ArrayList<>();
    private final List<SimulatedDispatcher> schedulers = new ArrayList<>();
    private final StartDelays urgentStarts = new StartDelays();
    private boolean measuring;
    private long requests;
    private long started;
    private long hedgesStarted;
    private long refused;
    private long failed;
    private int replacements;
    private int settingsChanges;

    FleetSimulation(FleetSize size, SimulationOptions options) {
        this.size = size;
        this.options = options;
        arrivals = new Arrivals(size, options.seed());
        random = RandomSource.XO_SHI_RO_256_PP.create(options.seed() * 31 + 2);
        changes = RandomSource.XO_SHI_RO_256_PP.create(options.seed() * 31 + 3);
        int zones = CapacityTarget.TARGET.zones();
        for (int w = 0; w < size.workers(); w++) {
            int cell = w / (zones * WORKERS_PER_CELL) * zones + w % zones;
            addWorker(new SimulatedWorker("worker-" + w, w % zones, cell, size.slotsPerWorker(), clock));
        }
        for (int s = 0; s < size.schedulers(); s++) {
            CallMeter meter = options.timed() ? CallMeter.ofThisThread() : CallMeter.countsOnly();
            schedulers.add(new SimulatedDispatcher(s, s % zones, settings(s), meter, clock, this));
        }
    }

    private void addWorker(SimulatedWorker worker) {
        workers.put(worker.id, worker);
        listed.add(worker);
    }

    /** Returns the settings of the operators' site, adapted to this fleet size. */
    private Settings settings(int number) {
        Settings set = new Settings();
        set.seed = random.nextLong();
        set.dispatchers = size.schedulers();
        set.ownIndex = number;
        set.zone = number % CapacityTarget.TARGET.zones();
        set.tickMicros = 5 * MICROS_PER_MILLI;
        set.classes = TaskKind.classes();
        set.tenantQuota = quotas();
        set.maxAttempts = 5;
        set.mayHedge = true;
        set.mayCancel = true;
        set.mayMessagePeers = true;
        set.maxRetryAfterMicros = 2 * MICROS_PER_SECOND;
        set.reportSource = options.reports() ? ReportSource.ANSWERS : ReportSource.NONE;
        set.notesStart = true;
        set.progressMicros = SimulatedWorker.PROGRESS_INTERVAL_MICROS;
        set.connectTimeoutMicros = 250 * MICROS_PER_MILLI;
        set.startCapacity = 0.17;
        set.warmUpMicros = 22 * MICROS_PER_SECOND;
        set.overloadMultiple = 3;
        set.overloadWindowMicros = 2 * MICROS_PER_SECOND;
        set.crossZoneCharge = 0.1;
        return set;
    }

    private double[] quotas() {
        double[] quotas = new double[size.tenants()];
        Arrays.fill(quotas, QUOTA_MARGIN * size.startsPerSecond() / size.tenants());
        return quotas;
    }

    /** Runs the simulation and returns the metrics, averaged over the schedulers. */
    FleetCost run() {
        List<Member> allWorkers =
                listed.stream().map(w -> w.entry(Health.READY)).toList();
        schedulers.forEach(s -> s.start(allWorkers));
        clock.runAfter(1, this::startRunningTask);
        clock.runAfter(1, this::startNewTask);
        schedule(size.listChangesPerSecond(), this::replaceWorker);
        schedule(size.settingsChangesPerSecond(), this::changeSettings);
        clock.runUntil(START_MICROS + WARM_UP_SECONDS * MICROS_PER_SECOND);
        List<VisitCounts> before =
                schedulers.stream().map(s -> VisitCounts.of(s.workCounters())).toList();
        schedulers.forEach(SimulatedDispatcher::reset);
        measuring = true;
        long running = 0;
        for (int second = 1; second <= options.seconds(); second++) {
            clock.runUntil(START_MICROS + (WARM_UP_SECONDS + second) * MICROS_PER_SECOND);
            running +=
                    workers.values().stream().mapToInt(SimulatedWorker::running).sum();
        }
        VisitCounts visitCounts = VisitCounts.NONE;
        for (int s = 0; s < schedulers.size(); s++) {
            visitCounts = visitCounts.plus(
                    VisitCounts.of(schedulers.get(s).workCounters()).minus(before.get(s)));
        }
        Workload workload = new Workload(
                requests,
                started,
                hedgesStarted,
                refused,
                failed,
                running / (double) options.seconds(),
                urgentStarts.percentile(99));
        return FleetCost.of(size, options, schedulers, visitCounts, workload);
    }

    /** Starts the tasks that a fleet of this size has running, spread over the fill time. */
    private void startRunningTask() {
        double rate = size.runningTasks() / FILL_SECONDS;
        if (clock.now() < START_MICROS + FILL_SECONDS * MICROS_PER_SECOND) {
            request(arrivals.nextRunning());
            clock.runAfter(arrivals.microsUntilNext(rate), this::startRunningTask);
        }
    }

    private void startNewTask() {
        request(arrivals.next());
        clock.runAfter(arrivals.microsUntilNext(size.startsPerSecond()), this::startNewTask);
    }

    private void request(Arrivals.Arrival arrival) {
        requests += measuring ? 1 : 0;
        schedulers.get(arrival.scheduler()).request(options.guesses() ? arrival : arrival.withoutEstimate());
    }

    private void schedule(double perSecond, Runnable change) {
        if (perSecond > 0) {
            long interval = (long) (MICROS_PER_SECOND / perSecond);
            clock.runAfter(interval / 2, () -> repeat(interval, change));
        }
    }

    private void repeat(long interval, Runnable change) {
        change.run();
        clock.runAfter(interval, () -> repeat(interval, change));
    }

    /** Drains a random machine and, after the drain time, replaces it with one of another name. */
    private void replaceWorker() {
        SimulatedWorker old = listed.remove(changes.nextInt(listed.size()));
        sendListChange(List.of(old.entry(Health.DRAINING)));
        SimulatedWorker next = old.replacement("replacement-" + ++replacements);
        clock.runAfter(DRAIN_MICROS, () -> {
            addWorker(next);
            sendListChange(List.of(old.entry(Health.GONE), next.entry(Health.READY)));
        });
    }

    /** Delivers a server list change to each scheduler, after a common delay and an individual one. */
    private void sendListChange(List<Member> entries) {
        long late = randomMicros(260, 1_800);
        for (SimulatedDispatcher s : schedulers) {
            clock.runAfter(late + randomMicros(13, 110), () -> s.list(ListKind.CHANGES, entries));
        }
    }

    private void changeSettings() {
        double[] quotas = quotas();
        quotas[settingsChanges % quotas.length] *= 1 + QUOTA_CHANGE * (1 + settingsChanges % 2);
        settingsChanges++;
        for (SimulatedDispatcher s : schedulers) {
            clock.runAfter(randomMicros(13, 110), () -> s.quotas(quotas));
        }
    }

    private long randomMicros(int fromMillis, int toMillis) {
        return (long) ((fromMillis + (toMillis - fromMillis) * random.nextDouble()) * MICROS_PER_MILLI);
    }

    // Implementation of SimulatedDispatcher.Fleet.

    @Override
    public SimulatedWorker worker(String id) {
        return workers.get(id);
    }

    @Override
    public long oneWayMicros(int from, int to) {
        return from == to ? 130 + random.nextInt(190) : 420 + random.nextInt(360);
    }

    @Override
    public void broadcast(SimulatedDispatcher from, byte[] message) {
        for (SimulatedDispatcher other : schedulers) {
            if (other != from && random.nextDouble() >= options.loss()) {
                deliver(from.number, other, message);
                if (random.nextDouble() < options.doubled()) {
                    deliver(from.number, other, message);
                }
            }
        }
    }

    /** Delivers a datagram after its own random delay, so that datagrams can be reordered. */
    private void deliver(int from, SimulatedDispatcher to, byte[] message) {
        clock.runAfter(randomMicros(1, 10), () -> to.receive(from, message));
    }

    @Override
    public void started(TaskKind kind, long waited) {
        started += measuring ? 1 : 0;
        if (measuring && kind == TaskKind.URGENT) {
            urgentStarts.add(waited);
        }
    }

    @Override
    public void hedgeStarted() {
        hedgesStarted += measuring ? 1 : 0;
    }

    @Override
    public void refused() {
        refused += measuring ? 1 : 0;
    }

    @Override
    public void failed() {
        failed += measuring ? 1 : 0;
    }

    /** Requests in the measured time and their results, with the 99th percentile of the urgent tasks' start delay. */
    record Workload(
            long requests,
            long started,
            long hedgesStarted,
            long refused,
            long failed,
            double running,
            double urgentStartSeconds) {}

    /** A snapshot of the module's work counters, or the difference of two. */
    record VisitCounts(
            long refreshes, long refreshVisits, long datagrams, long datagramVisits, long picks, long pickVisits) {
        static final VisitCounts NONE = new VisitCounts(0, 0, 0, 0, 0, 0);

        static VisitCounts of(WorkCounters effort) {
            return new VisitCounts(
                    effort.refreshes(),
                    effort.refreshVisits(),
                    effort.datagrams(),
                    effort.datagramVisits(),
                    effort.picks(),
                    effort.pickVisits());
        }

        VisitCounts plus(VisitCounts o) {
            return new VisitCounts(
                    refreshes + o.refreshes,
                    refreshVisits + o.refreshVisits,
                    datagrams + o.datagrams,
                    datagramVisits + o.datagramVisits,
                    picks + o.picks,
                    pickVisits + o.pickVisits);
        }

        VisitCounts minus(VisitCounts o) {
            return new VisitCounts(
                    refreshes - o.refreshes,
                    refreshVisits - o.refreshVisits,
                    datagrams - o.datagrams,
                    datagramVisits - o.datagramVisits,
                    picks - o.picks,
                    pickVisits - o.pickVisits);
        }
    }
}
