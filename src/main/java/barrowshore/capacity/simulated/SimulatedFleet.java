package barrowshore.capacity.simulated;

import barrowshore.capacity.simulated.HollowRow.Role;
import barrowshore.capacity.simulated.ProcessorMeter.Part;
import barrowshore.config.Config;
import barrowshore.fleet.PeerNetwork;
import barrowshore.fleet.SchedulerProcess;
import barrowshore.standin.StandInDiscovery;
import barrowshore.standin.StandInListener;
import barrowshore.standin.StandInWorker;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Hollow schedulers in this process and real ones in theirs, before the same workers, with a load over all of them. It owns
 * everything that it starts and ends each process by its id, also when this one is told to end. It must never listen
 * elsewhere than on loopback, nor start a scheduler under a number that another one has.
 */
final class SimulatedFleet implements AutoCloseable {
    private static final int MOST_CONNECTIONS = 15_000, STAND_IN_THREADS = 4;
    /** Real schedulers that start at once: each keeps a core busy for a second. */
    private static final int WAVE = 2;

    private static final long READY_SECONDS = 30;
    /** Real schedulers of which one is left without clients, and of which one is replaced. */
    private static final int SOME_REAL = 2, MANY_REAL = 3;

    private static final double MICROS = 1e6;
    /** Lengths of tasks against their mean, evenly drawn. */
    private static final double SHORTEST = 0.5, LONGEST = 1.5;

    private final SimulatedFleetPlan plan;
    private final double taskSeconds;
    private final SplittableRandom chance;
    private final ExecutorService pool = Executors.newFixedThreadPool(STAND_IN_THREADS, run -> {
        Thread thread = new Thread(run, "stand-ins");
        thread.setDaemon(true);
        return thread;
    });
    private final Scheduler timers = new ScheduledExecutorScheduler("stand-ins' timers", true, 1);
    private final StandInListener front;
    private final PeerNetwork hub;
    private final TaskClients clients;
    private final List<StandInDiscovery> discoveries = new ArrayList<>();
    private final Map<String, StandInWorker> workers = new LinkedHashMap<>();
    private final List<StandInWorker> workerList = new ArrayList<>();
    private final List<SchedulerProcess> real = new ArrayList<>();
    private final SimulatedScheduler[] hollow;
    private final int[] lives;
    private final long[] starts;
    /** Processor time of a replaced scheduler's former lives: all of it, and that for requests. */
    private final long[] formerNanos, formerRequestNanos;

    private final Role[] roles;
    private final Thread ending = new Thread(this::endProcesses, "end of the real schedulers");
    private Thread load;
    private int edition;

    /**
     * Starts workers, discovery and the network. folder: for the real schedulers' logs and configurations; taskSeconds: mean
     * length of a task.
     */
    SimulatedFleet(SimulatedFleetPlan plan, Path folder, Path deploy, long seed, double taskSeconds) throws Exception {
        this.plan = plan;
        this.taskSeconds = taskSeconds;
        chance = new SplittableRandom(seed);
        hollow = new SimulatedScheduler[plan.schedulers()];
        lives = new int[plan.schedulers()];
        starts = new long[plan.schedulers()];
        formerNanos = new long[plan.schedulers()];
        formerRequestNanos = new long[plan.schedulers()];
        roles = new Role[plan.schedulers()];
        for (int k = 0; k < plan.schedulers(); k++) {
            roles[k] = k >= plan.real() ? Role.HOLLOW : k == 0 && plan.real() >= SOME_REAL ? Role.QUIET : Role.REAL;
        }
        Runtime.getRuntime().addShutdownHook(ending);
        timers.start();
        front = new StandInListener(pool, timers, MOST_CONNECTIONS);
        hub = new PeerNetwork(plan.schedulers(), 0, seed);
        clients = new TaskClients(plan.schedulers());
        for (int k = 0; k < plan.schedulers(); k++) {
            discoveries.add(new StandInDiscovery(front, pool, timers));
        }
        for (int w = 0; w < plan.workers(); w++) {
            StandInWorker node = new StandInWorker(
                    "w-" + w,
                    TargetSite.worker(),
                    TargetSite.falling(taskSeconds),
                    TargetSite.PROGRESS,
                    front,
                    pool,
                    timers);
            workers.put(node.uid(), node);
            workerList.add(node);
            tell(w, "Ready", 0);
        }
        List<String> command = SchedulerProcess.launchCommand(deploy);
        for (int k = 0; k < plan.real(); k++) {
            real.add(new SchedulerProcess(k, folder, command));
        }
    }

    private void tell(int worker, String state, long boot) {
        StandInWorker node = workerList.get(worker);
        String zone = TargetSite.ZONES.get(worker % TargetSite.ZONES.size());
        for (StandInDiscovery each : discoveries) {
            each.publish(node.uid(), node.address(), zone, TargetSite.MODEL, TargetSite.SLOTS, state, boot);
        }
    }

    private String configuration(int k) throws IOException {
        List<InetSocketAddress> peers = new ArrayList<>();
        for (int p = 0; p < plan.schedulers(); p++) {
            peers.add(hub.publicAddress(p));
        }
        return TargetSite.configuration(
                k,
                lives[k],
                edition,
                plan.starts(),
                new TargetSite.Addresses(
                        k < real.size() ? real.get(k).address() : hub.listenAddress(k),
                        discoveries.get(k).address(),
                        hub.listenAddress(k),
                        peers,
                        hub.broadcastAddress()));
    }

    /** Starts all schedulers, a few real ones at a time, and waits until each has its list. */
    void start() throws Exception {
        for (int from = 0; from < real.size(); from += WAVE) {
            List<SchedulerProcess> wave = real.subList(from, Math.min(real.size(), from + WAVE));
            for (SchedulerProcess one : wave) {
                one.start(configuration(one.number()));
            }
            for (SchedulerProcess one : wave) {
                one.awaitReady();
            }
        }
        for (int k = real.size(); k < plan.schedulers(); k++) {
            startHollow(k);
        }
    }

    private void startHollow(int k) throws Exception {
        hollow[k] = SimulatedScheduler.start(Config.parse(configuration(k)), workers);
        hollow[k].ready().get(READY_SECONDS, TimeUnit.SECONDS);
    }

    /** Sends tasks to all schedulers but the quiet one, evenly and at random times, until the end. */
    void load() {
        List<Integer> loaded = new ArrayList<>();
        for (int k = 0; k < plan.schedulers(); k++) {
            if (roles[k] != Role.QUIET) {
                loaded.add(k);
            }
        }
        if (plan.starts() > 0) {
            load = new Thread(() -> arrivals(loaded), "arrivals");
            load.setDaemon(true);
            load.start();
        }
    }

    private void arrivals(List<Integer> loaded) {
        SplittableRandom draws = chance.split();
        long startNanos = System.nanoTime();
        double at = 0;
        try {
            for (int number = 0; ; number++) {
                at += -Math.log(1 - draws.nextDouble()) / plan.starts();
                long wait = (long) (at * 1e9) - (System.nanoTime() - startNanos);
                TimeUnit.NANOSECONDS.sleep(Math.max(0, wait));
                arrive(loaded.get(draws.nextInt(loaded.size())), number, draws);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // the end
        }
    }

    private void arrive(int scheduler, int number, SplittableRandom draws) {
        int jobClass = number % TargetSite.CLASSES.size();
        int tenant = draws.nextInt(TargetSite.TENANTS);
        double seconds = taskSeconds * (SHORTEST + (LONGEST - SHORTEST) * draws.nextDouble());
        String id = "t-" + number;
        starts[scheduler]++;
        if (scheduler < real.size()) {
            InetSocketAddress to = real.get(scheduler).address();
            clients.send(scheduler, to, id, jobClass, tenant, (long) (seconds * 1000));
        } else {
            hollow[scheduler].request(id, jobClass, tenant, seconds * MICROS);
        }
    }

    /** One hollow and one real scheduler end without a word and start again under the same name. */
    void replaceSchedulers() throws Exception {
        int last = plan.schedulers() - 1;
        if (plan.hollow() > 0) {
            replaceHollow(last);
        }
        if (plan.real() >= MANY_REAL) {
            replaceReal(real.size() - 1);
        }
    }

    void replaceHollow(int k) throws Exception {
        roles[k] = Role.HOLLOW_REPLACED;
        endLife(k);
        hollow[k].close();
        startHollow(k);
    }

    private void replaceReal(int k) throws Exception {
        roles[k] = Role.REAL_REPLACED;
        endLife(k);
        real.get(k).stop();
        real.get(k).start(configuration(k));
        real.get(k).awaitReady();
    }

    private void endLife(int k) {
        Sums last = sums(k);
        formerNanos[k] = last.nanos();
        formerRequestNanos[k] = last.requestNanos();
        lives[k]++;
    }

    /** So many workers crash, are told of as gone, and come back cold under their names. */
    void replaceWorkers(int count) {
        List<Integer> chosen =
                chance.ints(0, plan.workers()).distinct().limit(count).boxed().toList();
        chosen.forEach(w -> workerList.get(w).crash().join());
        chosen.forEach(w -> tell(w, "Gone", 0));
        chosen.forEach(w -> tell(w, "Ready", workerList.get(w).restart().join()));
    }

    /** All schedulers are given a changed configuration while they run. */
    void reload() throws Exception {
        edition++;
        for (int k = 0; k < plan.schedulers(); k++) {
            if (k < real.size()) {
                real.get(k).reload(configuration(k));
            } else {
                hollow[k].reload(Config.parse(configuration(k)));
            }
        }
    }

    SimulatedScheduler hollow(int k) {
        return hollow[k];
    }

    TaskClients clients() {
        return clients;
    }

    /** Sums since the start, of one scheduler. */
    record Sums(
            long nanos,
            long requestNanos,
            ProcessUsage process,
            PeerNetwork.Traffic peers,
            StandInDiscovery.Traffic discovery,
            long starts) {}

    Sums sums(int k) {
        ProcessUsage process = ProcessUsage.of(
                k < real.size() ? real.get(k).pid() : ProcessHandle.current().pid());
        ProcessorMeter meter = k < real.size() ? null : hollow[k].meter();
        return new Sums(
                formerNanos[k] + (meter == null ? process.nanos() : meter.allNanos()),
                formerRequestNanos[k] + (meter == null ? 0 : meter.nanos(Part.REQUESTS) + meter.nanos(Part.PROBES)),
                process,
                hub.traffic(k),
                discoveries.get(k).traffic(),
                starts[k]);
    }

    /** What was used between two sums, a second. */
    HollowRow row(int k, Sums from, Sums to, double seconds) {
        double percent = 100 * (to.nanos() - from.nanos()) / seconds / 1e9;
        double requests = 100 * (to.requestNanos() - from.requestNanos()) / seconds / 1e9;
        boolean quiet = roles[k] == Role.QUIET;
        boolean apart = roles[k].hollow() || quiet;
        return new HollowRow(
                k,
                roles[k],
                percent,
                apart ? percent - requests : Double.NaN,
                apart ? requests : Double.NaN,
                to.process().residentMib(),
                to.process().mostResidentMib(),
                to.process().files(),
                (to.peers().sent() - from.peers().sent()) / seconds,
                (to.peers().sentBytes() - from.peers().sentBytes()) / seconds,
                (to.peers().delivered() - from.peers().delivered()) / seconds,
                (to.peers().deliveredBytes() - from.peers().deliveredBytes()) / seconds,
                (to.discovery().bytes() - from.discovery().bytes()) / seconds,
                (to.starts() - from.starts()) / seconds);
    }

    private void endProcesses() {
        real.stream().filter(SchedulerProcess::isAlive).forEach(SchedulerProcess::kill);
    }

    @Override
    public void close() throws IOException {
        if (load != null) {
            load.interrupt();
        }
        endProcesses();
        try {
            for (SchedulerProcess one : real) {
                one.stop();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // they have been killed and go by themselves
        }
        for (SimulatedScheduler one : hollow) {
            if (one != null) {
                one.close();
            }
        }
        clients.close();
        discoveries.forEach(StandInDiscovery::stop);
        workerList.forEach(StandInWorker::stop);
        front.stop();
        hub.close();
        LifeCycle.stop(timers);
        pool.shutdownNow();
        Runtime.getRuntime().removeShutdownHook(ending);
    }
}
