package barrowshore.capacity.simulated;

import barrowshore.capacity.simulated.CpuMeter.Category;
import barrowshore.capacity.simulated.SchedulerUsage.Role;
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
 * Runs simulated schedulers in this process and real ones in processes of their own, with the same workers, and sends
 * load to all of them. It owns everything it starts, and kills each process by its id, also when this process is told to
 * end. It listens on loopback only, and never starts two schedulers with the same number.
 */
final class SimulatedFleet implements AutoCloseable {
    private static final int MAX_CONNECTIONS = 15_000, STAND_IN_THREADS = 4;
    /** Real schedulers started at once: each keeps a core busy for a second while it starts. */
    private static final int START_BATCH_SIZE = 2;

    private static final long READY_SECONDS = 30;
    /** Minimum number of real schedulers for one to be left without clients, and for one to be replaced. */
    private static final int MIN_REAL_FOR_QUIET = 2, MIN_REAL_FOR_REPLACEMENT = 3;

    private static final double MICROS_PER_SECOND = 1e6;
    /** Range of the task length as a multiple of the mean; lengths are distributed uniformly. */
    private static final double MIN_TASK_LENGTH_FACTOR = 0.5, MAX_TASK_LENGTH_FACTOR = 1.5;

    private final SimulatedFleetPlan plan;
    private final double taskSeconds;
    private final SplittableRandom random;
    private final ExecutorService pool = Executors.newFixedThreadPool(STAND_IN_THREADS, run -> {
        Thread thread = new Thread(run, "stand-ins");
        thread.setDaemon(true);
        return thread;
    });
    private final Scheduler timers = new ScheduledExecutorScheduler("stand-ins' timers", true, 1);
    private final StandInListener listener;
    private final PeerNetwork peerNetwork;
    private final TaskClients clients;
    private final List<StandInDiscovery> discoveries = new ArrayList<>();
    private final Map<String, StandInWorker> workers = new LinkedHashMap<>();
    private final List<StandInWorker> workerList = new ArrayList<>();
    private final List<SchedulerProcess> real = new ArrayList<>();
    private final SimulatedScheduler[] simulated;
    private final int[] restarts;
    private final long[] starts;
    /** CPU time of a scheduler before its restarts: the total, and the part for requests. */
    private final long[] previousCpuNanos, previousRequestNanos;

    private final Role[] roles;
    private final Thread shutdownHook = new Thread(this::killProcesses, "end of the real schedulers");
    private Thread loadThread;
    private int configRevision;

    /**
     * Starts the workers, service discovery and the peer network.
     *
     * @param folder directory for the logs and configurations of the real schedulers
     * @param deploy deploy file with the options of the real schedulers, or null
     * @param taskSeconds mean length of a task
     */
    SimulatedFleet(SimulatedFleetPlan plan, Path folder, Path deploy, long seed, double taskSeconds) throws Exception {
        this.plan = plan;
        this.taskSeconds = taskSeconds;
        random = new SplittableRandom(seed);
        simulated = new SimulatedScheduler[plan.schedulers()];
        restarts = new int[plan.schedulers()];
        starts = new long[plan.schedulers()];
        previousCpuNanos = new long[plan.schedulers()];
        previousRequestNanos = new long[plan.schedulers()];
        roles = new Role[plan.schedulers()];
        for (int k = 0; k < plan.schedulers(); k++) {
            roles[k] = k >= plan.real()
                    ? Role.HOLLOW
                    : k == 0 && plan.real() >= MIN_REAL_FOR_QUIET ? Role.QUIET : Role.REAL;
        }
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        timers.start();
        listener = new StandInListener(pool, timers, MAX_CONNECTIONS);
        peerNetwork = new PeerNetwork(plan.schedulers(), 0, seed);
        clients = new TaskClients(plan.schedulers());
        for (int k = 0; k < plan.schedulers(); k++) {
            discoveries.add(new StandInDiscovery(listener, pool, timers));
        }
        for (int w = 0; w < plan.workers(); w++) {
            StandInWorker node = new StandInWorker(
                    "w-" + w,
                    TargetSite.workerSpec(),
                    TargetSite.overloadLimit(taskSeconds),
                    TargetSite.PROGRESS_INTERVAL_MICROS,
                    listener,
                    pool,
                    timers);
            workers.put(node.uid(), node);
            workerList.add(node);
            publish(w, "Ready", 0);
        }
        List<String> command = SchedulerProcess.launchCommand(deploy);
        for (int k = 0; k < plan.real(); k++) {
            real.add(new SchedulerProcess(k, folder, command));
        }
    }

    private void publish(int worker, String state, long boot) {
        StandInWorker node = workerList.get(worker);
        String zone = TargetSite.ZONES.get(worker % TargetSite.ZONES.size());
        for (StandInDiscovery each : discoveries) {
            each.publish(node.uid(), node.address(), zone, TargetSite.MODEL, TargetSite.SLOTS_PER_WORKER, state, boot);
        }
    }

    private String configuration(int k) throws IOException {
        List<InetSocketAddress> peers = new ArrayList<>();
        for (int p = 0; p < plan.schedulers(); p++) {
            peers.add(peerNetwork.publicAddress(p));
        }
        return TargetSite.configuration(
                k,
                restarts[k],
                configRevision,
                plan.starts(),
                new TargetSite.Addresses(
                        k < real.size() ? real.get(k).address() : peerNetwork.listenAddress(k),
                        discoveries.get(k).address(),
                        peerNetwork.listenAddress(k),
                        peers,
                        peerNetwork.broadcastAddress()));
    }

    /**
     * Starts all schedulers, the real ones {@link #START_BATCH_SIZE} at a time, and waits until each has its list of
     * workers.
     */
    void start() throws Exception {
        for (int from = 0; from < real.size(); from += START_BATCH_SIZE) {
            List<SchedulerProcess> batch = real.subList(from, Math.min(real.size(), from + START_BATCH_SIZE));
            for (SchedulerProcess one : batch) {
                one.start(configuration(one.number()));
            }
            for (SchedulerProcess one : batch) {
                one.awaitReady();
            }
        }
        for (int k = real.size(); k < plan.schedulers(); k++) {
            startSimulated(k);
        }
    }

    private void startSimulated(int k) throws Exception {
        simulated[k] = SimulatedScheduler.start(Config.parse(configuration(k)), workers);
        simulated[k].ready().get(READY_SECONDS, TimeUnit.SECONDS);
    }

    /**
     * Starts a thread that sends tasks to all schedulers except the QUIET one until the fleet is closed: Poisson arrivals,
     * distributed uniformly over the schedulers.
     */
    void startLoad() {
        List<Integer> loaded = new ArrayList<>();
        for (int k = 0; k < plan.schedulers(); k++) {
            if (roles[k] != Role.QUIET) {
                loaded.add(k);
            }
        }
        if (plan.starts() > 0) {
            loadThread = new Thread(() -> generateArrivals(loaded), "arrivals");
            loadThread.setDaemon(true);
            loadThread.start();
        }
    }

    private void generateArrivals(List<Integer> loaded) {
        SplittableRandom arrivalRandom = random.split();
        long startNanos = System.nanoTime();
        double arrivalSeconds = 0;
        try {
            for (int number = 0; ; number++) {
                arrivalSeconds += -Math.log(1 - arrivalRandom.nextDouble()) / plan.starts();
                long wait = (long) (arrivalSeconds * 1e9) - (System.nanoTime() - startNanos);
                TimeUnit.NANOSECONDS.sleep(Math.max(0, wait));
                submitTask(loaded.get(arrivalRandom.nextInt(loaded.size())), number, arrivalRandom);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // the fleet is being closed
        }
    }

    private void submitTask(int scheduler, int number, SplittableRandom arrivalRandom) {
        int jobClass = number % TargetSite.CLASSES.size();
        int tenant = arrivalRandom.nextInt(TargetSite.TENANT_COUNT);
        double seconds = taskSeconds
                * (MIN_TASK_LENGTH_FACTOR
                        + (MAX_TASK_LENGTH_FACTOR - MIN_TASK_LENGTH_FACTOR) * arrivalRandom.nextDouble());
        String id = "t-" + number;
        starts[scheduler]++;
        if (scheduler < real.size()) {
            InetSocketAddress to = real.get(scheduler).address();
            clients.send(scheduler, to, id, jobClass, tenant, (long) (seconds * 1000));
        } else {
            simulated[scheduler].request(id, jobClass, tenant, seconds * MICROS_PER_SECOND);
        }
    }

    /** Stops one simulated and one real scheduler abruptly and starts them again under the same names. */
    void replaceSchedulers() throws Exception {
        int last = plan.schedulers() - 1;
        if (plan.simulated() > 0) {
            replaceSimulated(last);
        }
        if (plan.real() >= MIN_REAL_FOR_REPLACEMENT) {
            replaceReal(real.size() - 1);
        }
    }

    void replaceSimulated(int k) throws Exception {
        roles[k] = Role.HOLLOW_REPLACED;
        recordBeforeRestart(k);
        simulated[k].close();
        startSimulated(k);
    }

    private void replaceReal(int k) throws Exception {
        roles[k] = Role.REAL_REPLACED;
        recordBeforeRestart(k);
        real.get(k).stop();
        real.get(k).start(configuration(k));
        real.get(k).awaitReady();
    }

    private void recordBeforeRestart(int k) {
        Totals last = totals(k);
        previousCpuNanos[k] = last.cpuNanos();
        previousRequestNanos[k] = last.requestNanos();
        restarts[k]++;
    }

    /** Crashes {@code count} workers, publishes them as gone, and restarts them cold under the same names. */
    void replaceWorkers(int count) {
        List<Integer> chosen =
                random.ints(0, plan.workers()).distinct().limit(count).boxed().toList();
        chosen.forEach(w -> workerList.get(w).crash().join());
        chosen.forEach(w -> publish(w, "Gone", 0));
        chosen.forEach(w -> publish(w, "Ready", workerList.get(w).restart().join()));
    }

    /** Reloads all running schedulers with a changed configuration. */
    void reload() throws Exception {
        configRevision++;
        for (int k = 0; k < plan.schedulers(); k++) {
            if (k < real.size()) {
                real.get(k).reload(configuration(k));
            } else {
                simulated[k].reload(Config.parse(configuration(k)));
            }
        }
    }

    SimulatedScheduler simulated(int k) {
        return simulated[k];
    }

    TaskClients clients() {
        return clients;
    }

    /** Running totals of one scheduler since the start of the run. */
    record Totals(
            long cpuNanos,
            long requestNanos,
            ProcessUsage process,
            PeerNetwork.Traffic peers,
            StandInDiscovery.Traffic discovery,
            long starts) {}

    Totals totals(int k) {
        ProcessUsage process = ProcessUsage.of(
                k < real.size() ? real.get(k).pid() : ProcessHandle.current().pid());
        CpuMeter meter = k < real.size() ? null : simulated[k].meter();
        return new Totals(
                previousCpuNanos[k] + (meter == null ? process.cpuNanos() : meter.threadGroupNanos()),
                previousRequestNanos[k]
                        + (meter == null ? 0 : meter.nanos(Category.REQUESTS) + meter.nanos(Category.PROBES)),
                process,
                peerNetwork.traffic(k),
                discoveries.get(k).traffic(),
                starts[k]);
    }

    /** Returns the usage between two totals, as rates per second. */
    SchedulerUsage usage(int k, Totals from, Totals to, double seconds) {
        double corePercent = 100 * (to.cpuNanos() - from.cpuNanos()) / seconds / 1e9;
        double requests = 100 * (to.requestNanos() - from.requestNanos()) / seconds / 1e9;
        boolean quiet = roles[k] == Role.QUIET;
        boolean separable = roles[k].isSimulated() || quiet;
        return new SchedulerUsage(
                k,
                roles[k],
                corePercent,
                separable ? corePercent - requests : Double.NaN,
                separable ? requests : Double.NaN,
                to.process().residentMib(),
                to.process().peakResidentMib(),
                to.process().openFiles(),
                (to.peers().sent() - from.peers().sent()) / seconds,
                (to.peers().sentBytes() - from.peers().sentBytes()) / seconds,
                (to.peers().delivered() - from.peers().delivered()) / seconds,
                (to.peers().deliveredBytes() - from.peers().deliveredBytes()) / seconds,
                (to.discovery().bytes() - from.discovery().bytes()) / seconds,
                (to.starts() - from.starts()) / seconds);
    }

    private void killProcesses() {
        real.stream().filter(SchedulerProcess::isAlive).forEach(SchedulerProcess::kill);
    }

    @Override
    public void close() throws IOException {
        if (loadThread != null) {
            loadThread.interrupt();
        }
        killProcesses();
        try {
            for (SchedulerProcess one : real) {
                one.stop();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // the processes have been killed and end without being waited for
        }
        for (SimulatedScheduler one : simulated) {
            if (one != null) {
                one.close();
            }
        }
        clients.close();
        discoveries.forEach(StandInDiscovery::stop);
        workerList.forEach(StandInWorker::stop);
        listener.stop();
        peerNetwork.close();
        LifeCycle.stop(timers);
        pool.shutdownNow();
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
    }
}
