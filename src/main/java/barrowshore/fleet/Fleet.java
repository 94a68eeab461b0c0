package barrowshore.fleet;

import barrowshore.config.ConfigException;
import barrowshore.fleet.FleetScenario.Fault;
import barrowshore.fleet.Invariants.Answer;
import barrowshore.fleet.Invariants.JobRecord;
import barrowshore.fleet.Invariants.Outage;
import barrowshore.fleet.Invariants.WorkerRecord;
import barrowshore.model.WorkerModel;
import barrowshore.standin.StandInConfig;
import barrowshore.standin.StandInDiscovery;
import barrowshore.standin.StandInListener;
import barrowshore.standin.StandInWorker;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.HdrHistogram.Histogram;
import org.eclipse.jetty.util.ajax.JSON;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Runs real scheduler processes against stand-in workers on loopback, under load and injected faults, and checks the
 * {@link Invariants}. It owns everything that it starts and stops it by its process id, also when the run fails. It must
 * not start more schedulers than fit into free memory, and must listen on loopback only.
 */
public final class Fleet {
    /** The most memory that a scheduler needs on such runs, with 60 of them. */
    private static final int MIB_PER_SCHEDULER = 100;
    /** Schedulers started at once: each start keeps a core busy for a second. */
    private static final int CONCURRENT_STARTS =
            Math.max(2, Runtime.getRuntime().availableProcessors());
    /** Delay until a load balancer would notice that a scheduler was killed or paused, and that one is terminating. */
    private static final long DEATH_NOTICE_MILLIS = 1_000, TERM_NOTICE_MILLIS = 300;
    /** Delay until discovery drops a crashed worker, and time for which new jobs may still reach a draining one. */
    private static final long WORKER_GONE_MILLIS = 500, DRAIN_GRACE_MILLIS = 3_000;

    private static final int MAX_CONNECTIONS = 15_000;
    private static final int CORES_PER_WORKER = 4, MAX_FAULT_THREADS = 64;

    /** The result of a run: jobs by answer, violated invariants, largest memory and total processor time of schedulers. */
    public record Outcome(
            Map<String, Long> answers, List<String> violations, double maxMemoryMib, double processorSeconds) {}

    private final FleetScenario scenario;
    private final Path folder;
    private final PrintStream out;
    private final List<String> command;
    private final ExecutorService pool = Executors.newFixedThreadPool(4, task -> daemonThread(task, "stand-ins"));
    private final ScheduledExecutorService faultTimers;
    private final Scheduler timers = new ScheduledExecutorScheduler("stand-in timers", true, 1);
    private final List<SchedulerProcess> schedulers = new ArrayList<>();
    private final List<StandInDiscovery> discoveries = new ArrayList<>();
    private final List<StandInWorker> workers = new ArrayList<>();
    private final Queue<Outage> outages = new ConcurrentLinkedQueue<>();
    private final Map<Integer, Long> downSinceMicros = new HashMap<>();
    private final Queue<String> eventLines = new ConcurrentLinkedQueue<>();
    private final List<Future<?>> plannedFaults = new ArrayList<>();
    private StandInListener listener;
    private PeerNetwork peerNetwork;
    private long startNanos = System.nanoTime();

    private Fleet(FleetScenario scenario, Path folder, Path deploy, PrintStream out) throws IOException {
        this.scenario = scenario;
        this.folder = folder;
        this.out = out;
        this.command = SchedulerProcess.launchCommand(deploy);
        this.faultTimers = Executors.newScheduledThreadPool(
                2 + Math.min(MAX_FAULT_THREADS, scenario.faults().size()), task -> daemonThread(task, "faults"));
        Files.createDirectories(folder);
    }

    private static Thread daemonThread(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Runs a scenario. folder: for logs, configurations and results; deploy: the deploy file whose `run` line has the JVM
     * options, or null for none. Throws {@link ConfigException} if memory is short or a scheduler does not become ready.
     */
    public static Outcome run(FleetScenario scenario, Path folder, Path deploy, PrintStream out) throws Exception {
        long freeMib = availableMib();
        if ((long) scenario.schedulers() * MIB_PER_SCHEDULER > freeMib) {
            throw new ConfigException(
                    scenario.schedulers() + " schedulers need " + scenario.schedulers() * MIB_PER_SCHEDULER
                            + " MiB and " + freeMib + " MiB are free: nothing was started");
        }
        Fleet fleet = new Fleet(scenario, folder, deploy, out);
        try {
            fleet.start();
            return fleet.run();
        } finally {
            fleet.stopAll();
        }
    }

    private static long availableMib() {
        try {
            Matcher memAvailable =
                    Pattern.compile("MemAvailable:\\s+(\\d+) kB").matcher(Files.readString(Path.of("/proc/meminfo")));
            return memAvailable.find() ? Long.parseLong(memAvailable.group(1)) / 1024 : Long.MAX_VALUE;
        } catch (IOException e) {
            return Long.MAX_VALUE; // this system has no such file
        }
    }

    private void start() throws Exception {
        timers.start();
        listener = new StandInListener(pool, timers, MAX_CONNECTIONS);
        peerNetwork = new PeerNetwork(scenario.schedulers(), scenario.datagramLoss(), scenario.seed());
        for (int number = 0; number < scenario.schedulers(); number++) {
            discoveries.add(new StandInDiscovery(listener, pool, timers));
        }
        for (int worker = 0; worker < scenario.workers(); worker++) {
            double speed = worker % 3 == 0 ? 0.7 : 1;
            workers.add(new StandInWorker(
                    "s-" + worker,
                    new WorkerModel.Spec(
                            CORES_PER_WORKER,
                            speed,
                            40,
                            worker % 2 == 0,
                            StandInConfig.START_CAPACITY,
                            StandInConfig.WARM_UP_MICROS),
                    new WorkerModel.OverloadLimit(
                            StandInConfig.OVERLOAD_MULTIPLE,
                            StandInConfig.OVERLOAD_WINDOW_MICROS,
                            StandInConfig.MEAN_JOB_MICROS),
                    StandInConfig.PROGRESS_INTERVAL_MICROS,
                    listener,
                    pool,
                    timers));
            publishWorker(worker, "Ready", 0);
        }
        for (int number = 0; number < scenario.schedulers(); number++) {
            schedulers.add(new SchedulerProcess(number, folder, command));
        }
        for (int from = 0; from < schedulers.size(); from += CONCURRENT_STARTS) {
            List<SchedulerProcess> batch =
                    schedulers.subList(from, Math.min(schedulers.size(), from + CONCURRENT_STARTS));
            for (SchedulerProcess scheduler : batch) {
                scheduler.start(schedulerConfig(scheduler));
            }
            for (SchedulerProcess scheduler : batch) {
                scheduler.awaitReady();
            }
            out.printf("%d of %d schedulers are ready%n", from + batch.size(), schedulers.size());
        }
    }

    private String schedulerConfig(SchedulerProcess scheduler) throws IOException {
        List<String> peers = new ArrayList<>();
        for (int peer = 0; peer < scenario.schedulers(); peer++) {
            peers.add(StandInConfig.formatAddress(peerNetwork.publicAddress(peer)));
        }
        return StandInConfig.toJson(
                "n" + scheduler.number,
                scheduler.address(),
                discoveries.get(scheduler.number).address(),
                scheduler.number,
                scheduler.number % StandInConfig.HALLS.size(),
                peerNetwork.listenAddress(scheduler.number),
                peers,
                peerNetwork.broadcastAddress());
    }

    private void publishWorker(int worker, String state, long bootMillis) {
        StandInWorker standIn = workers.get(worker);
        for (StandInDiscovery discovery : discoveries) {
            discovery.publish(
                    standIn.uid(),
                    standIn.address(),
                    StandInConfig.HALLS.get(worker % StandInConfig.HALLS.size()),
                    "usual",
                    CORES_PER_WORKER,
                    state,
                    bootMillis);
        }
    }

    private long microsSinceStart() {
        return (System.nanoTime() - startNanos) / 1000;
    }

    private Outcome run() throws Exception {
        startNanos = System.nanoTime();
        scenario.faults().forEach(fault -> planFault(fault.atMicros() / 1000, () -> inject(fault)));
        try (LoadGenerator load = new LoadGenerator(scenario, schedulers, startNanos)) {
            Future<?> progressTimer =
                    faultTimers.scheduleAtFixedRate(() -> printProgress(load.jobRecords()), 1, 1, TimeUnit.SECONDS);
            load.sendAllJobs();
            progressTimer.cancel(false);
            for (Future<?> planned : plannedFaults) {
                planned.get(60, TimeUnit.SECONDS); // a fault that could not be injected fails the run
            }
            return stopAndReport(load.jobRecords());
        }
    }

    private void planFault(long afterMillis, Step step) {
        plannedFaults.add(faultTimers.schedule(
                () -> {
                    step.run();
                    return null;
                },
                afterMillis,
                TimeUnit.MILLISECONDS));
    }

    /** An action that may throw. */
    private interface Step {
        void run() throws Exception;
    }

    private void recordEvent(String eventName, Object subject) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("at_ms", microsSinceStart() / 1000);
        line.put("event", eventName);
        line.put("of", subject);
        eventLines.add(new JSON().toJSON(line));
    }

    private void runLater(long millis, Step step) {
        faultTimers.schedule(
                () -> {
                    step.run();
                    return null;
                },
                millis,
                TimeUnit.MILLISECONDS);
    }

    private void inject(Fault fault) throws Exception {
        recordEvent(
                fault.kind().name().toLowerCase(Locale.ROOT),
                fault.target() >= 0
                        ? fault.target()
                        : fault.isolatedSchedulers().toString());
        long durationMillis = fault.durationMicros() / 1000;
        switch (fault.kind()) {
            case KILL -> {
                synchronized (downSinceMicros) {
                    downSinceMicros.put(fault.target(), microsSinceStart());
                }
                schedulers.get(fault.target()).kill();
                takeOutOfServiceAfter(schedulers.get(fault.target()), DEATH_NOTICE_MILLIS);
            }
            case TERM -> {
                schedulers.get(fault.target()).terminate();
                takeOutOfServiceAfter(schedulers.get(fault.target()), TERM_NOTICE_MILLIS);
            }
            case START -> restartScheduler(fault.target());
            case PAUSE -> pause(fault.target(), durationMillis);
            case PARTITION -> {
                peerNetwork.setPartition(new HashSet<>(fault.isolatedSchedulers()));
                Thread.sleep(durationMillis);
                peerNetwork.setPartition(new HashSet<>());
                recordEvent("whole again", fault.isolatedSchedulers().toString());
            }
            case SILENCE -> {
                discoveries.get(fault.target()).setSilent(true);
                Thread.sleep(durationMillis);
                discoveries.get(fault.target()).setSilent(false);
                recordEvent("heard again", fault.target());
            }
            case CRASH -> crash(fault.target(), durationMillis);
            case HANG -> {
                workers.get(fault.target()).setHung(true).join();
                Thread.sleep(durationMillis);
                workers.get(fault.target()).setHung(false).join();
            }
            case SLOW -> {
                workers.get(fault.target()).setSlowdown(fault.factor()).join();
                Thread.sleep(durationMillis);
                workers.get(fault.target()).setSlowdown(1).join();
            }
            case DRAIN -> {
                workers.get(fault.target()).setDraining(true).join();
                publishWorker(fault.target(), "Terminating", 0);
                workers.get(fault.target())
                        .countJobsAsLateAfter(DRAIN_GRACE_MILLIS + millisUntilAllHearDiscovery(fault.atMicros()));
            }
            default -> throw new IllegalStateException("no action for the fault " + fault.kind());
        }
    }

    private void restartScheduler(int scheduler) throws Exception {
        SchedulerProcess process = schedulers.get(scheduler);
        process.awaitExit();
        process.start(schedulerConfig(process));
        process.awaitReady();
        closeOutage(scheduler);
        recordEvent("ready", scheduler);
    }

    private void pause(int scheduler, long durationMillis) throws Exception {
        SchedulerProcess process = schedulers.get(scheduler);
        long pausedAt = microsSinceStart();
        process.signal("STOP");
        Thread.sleep(Math.min(DEATH_NOTICE_MILLIS, durationMillis));
        process.inService = false;
        Thread.sleep(Math.max(0, durationMillis - DEATH_NOTICE_MILLIS));
        process.signal("CONT");
        outages.add(new Outage(scheduler, pausedAt, microsSinceStart()));
        process.inService = true;
        recordEvent("goes on", scheduler);
    }

    private void crash(int worker, long durationMillis) throws Exception {
        StandInWorker standIn = workers.get(worker);
        standIn.crash().join();
        Thread.sleep(Math.min(WORKER_GONE_MILLIS, durationMillis));
        publishWorker(worker, "Gone", 0);
        Thread.sleep(Math.max(0, durationMillis - WORKER_GONE_MILLIS));
        publishWorker(worker, "Ready", standIn.restart().join());
        recordEvent("back, cold", worker);
    }

    /** Returns the time until the last pause or silence ends that covers atMicros or begins within the grace after it. */
    private long millisUntilAllHearDiscovery(long atMicros) {
        return scenario.faults().stream()
                .filter(fault -> fault.kind() == FleetScenario.FaultKind.PAUSE
                        || fault.kind() == FleetScenario.FaultKind.SILENCE)
                .filter(fault -> fault.atMicros() - DRAIN_GRACE_MILLIS * 1000 <= atMicros
                        && fault.atMicros() + fault.durationMicros() >= atMicros)
                .mapToLong(fault -> (fault.atMicros() + fault.durationMicros() - atMicros) / 1000)
                .max()
                .orElse(0);
    }

    /** Takes a scheduler out of service after a delay, unless it has been started again by then. */
    private void takeOutOfServiceAfter(SchedulerProcess scheduler, long millis) {
        int startCount = scheduler.startCount();
        runLater(millis, () -> scheduler.inService &= scheduler.startCount() != startCount);
    }

    private void closeOutage(int scheduler) {
        synchronized (downSinceMicros) {
            Long since = downSinceMicros.remove(scheduler);
            if (since != null) {
                outages.add(new Outage(scheduler, since, microsSinceStart()));
            }
        }
    }

    private void printProgress(List<JobRecord> jobs) {
        out.printf("%3d s  %s%n", microsSinceStart() / 1_000_000, countByAnswer(jobs));
    }

    private static Map<String, Long> countByAnswer(List<JobRecord> jobs) {
        Map<String, Long> counts = new LinkedHashMap<>();
        for (Answer answer : Answer.values()) {
            counts.put(
                    answer.name().toLowerCase(Locale.ROOT),
                    jobs.stream().filter(job -> job.answer() == answer).count());
        }
        return counts;
    }

    private Outcome stopAndReport(List<JobRecord> jobs) throws Exception {
        double maxMemoryMib = 0, processorSeconds = 0;
        StringBuilder schedulersCsv = new StringBuilder("scheduler,pid,memory_mib,processor_s\n");
        for (SchedulerProcess scheduler : schedulers) {
            if (scheduler.isAlive()) {
                double[] used = scheduler.memoryAndCpu();
                maxMemoryMib = Math.max(maxMemoryMib, used[0]);
                processorSeconds += used[1];
                schedulersCsv.append(String.format(
                        Locale.ROOT, "%d,%d,%.1f,%.2f%n", scheduler.number, scheduler.pid(), used[0], used[1]));
            }
        }
        synchronized (downSinceMicros) {
            downSinceMicros.forEach((scheduler, since) -> outages.add(new Outage(scheduler, since, Long.MAX_VALUE)));
        }
        List<String> processProblems = new ArrayList<>();
        for (SchedulerProcess scheduler : schedulers) {
            if (!scheduler.isAlive()
                    && scenario.faults().stream()
                            .noneMatch(fault -> fault.target() == scheduler.number
                                    && (fault.kind() == FleetScenario.FaultKind.KILL
                                            || fault.kind() == FleetScenario.FaultKind.TERM))) {
                processProblems.add("scheduler " + scheduler.number + " ended by itself, see " + scheduler.logFile());
            }
            if (!scheduler.stop()) {
                processProblems.add("scheduler " + scheduler.number + ", process " + scheduler.pid());
            }
        }
        Map<String, Integer> startsByJobId = new HashMap<>();
        List<WorkerRecord> workerRecords = new ArrayList<>();
        for (StandInWorker worker : workers) {
            StandInWorker.Counters counters = worker.counters().join();
            counters.startsByJobId().forEach((id, starts) -> startsByJobId.merge(id, starts, Integer::sum));
            workerRecords.add(new WorkerRecord(
                    worker.uid(), counters.lateJobs(), counters.failedFromOverload(), counters.coldBudgetUsed()));
        }
        List<String> violations = new ArrayList<>(
                Invariants.findViolations(jobs, startsByJobId, List.copyOf(outages), workerRecords, processProblems));
        if (peerNetwork.oversizedCount() > 0) {
            violations.add(peerNetwork.oversizedCount() + " datagrams over 256 bytes");
        }
        writeFiles(jobs, schedulersCsv, violations);
        out.printf(Locale.ROOT, "%s: %d jobs, %s%n", scenario.name(), jobs.size(), countByAnswer(jobs));
        for (int classIndex = 0; classIndex < StandInConfig.CLASSES.size(); classIndex++) {
            Histogram latencies = new Histogram(60_000_000, 2);
            boolean atMostOnce = classIndex == 1;
            jobs.stream()
                    .filter(job -> job.atMostOnce() == atMostOnce && job.answer() == Answer.SERVED)
                    .forEach(job -> latencies.recordValue(Math.min(60_000_000, job.answeredAt() - job.sentAt())));
            out.printf(
                    Locale.ROOT,
                    "  %-12s p50 %.0f ms, p99 %.0f ms%n",
                    StandInConfig.CLASSES.get(classIndex),
                    latencies.getValueAtPercentile(50) / 1e3,
                    latencies.getValueAtPercentile(99) / 1e3);
        }
        out.printf(
                Locale.ROOT,
                "  schedulers: %.0f MiB at most, %.1f s of processor time; cold budget used %.2f at most;"
                        + " datagrams %d, lost %d%n",
                maxMemoryMib,
                processorSeconds,
                workerRecords.stream()
                        .mapToDouble(WorkerRecord::coldBudgetUsed)
                        .max()
                        .orElse(0),
                peerNetwork.forwardedCount(),
                peerNetwork.lostCount());
        violations.forEach(line -> out.println("BROKEN  " + line));
        out.println(violations.isEmpty() ? "every invariant holds" : violations.size() + " broken; see " + folder);
        return new Outcome(countByAnswer(jobs), violations, maxMemoryMib, processorSeconds);
    }

    private void writeFiles(List<JobRecord> jobs, StringBuilder schedulersCsv, List<String> violations)
            throws IOException {
        int seconds = (int) (scenario.lengthMicros() / 1_000_000) + 1;
        long[][] countsBySecond = new long[seconds + 1][Answer.values().length];
        for (JobRecord job : jobs) {
            countsBySecond[(int) Math.min(seconds, job.sentAt() / 1_000_000)][
                    job.answer().ordinal()]++;
        }
        StringBuilder figuresCsv = new StringBuilder("second,served,turned_down,failed,refused,none\n");
        for (int second = 0; second < seconds; second++) {
            figuresCsv.append(second);
            Arrays.stream(countsBySecond[second])
                    .forEach(count -> figuresCsv.append(',').append(count));
            figuresCsv.append('\n');
        }
        Files.writeString(folder.resolve("figures.csv"), figuresCsv);
        Files.write(folder.resolve("jobs.csv"), formatJobLines(jobs));
        Files.writeString(folder.resolve("schedulers.csv"), schedulersCsv);
        eventLines.addAll(violations.stream()
                .map(line -> new JSON().toJSON(Map.of("event", "broken", "of", line)))
                .toList());
        Files.write(folder.resolve("events.jsonl"), eventLines);
    }

    /** Returns the lines of jobs.csv, one for each job. */
    private static List<String> formatJobLines(List<JobRecord> jobs) {
        List<String> lines = new ArrayList<>(List.of("sent_ms,class,scheduler,answer,took_ms"));
        for (JobRecord job : jobs) {
            lines.add(String.format(
                    Locale.ROOT,
                    "%.1f,%s,%d,%s,%.1f",
                    job.sentAt() / 1e3,
                    StandInConfig.CLASSES.get(job.atMostOnce() ? 1 : 0),
                    job.scheduler(),
                    job.answer().name().toLowerCase(Locale.ROOT),
                    (job.answeredAt() - job.sentAt()) / 1e3));
        }
        return lines;
    }

    /** Stops all processes and stand-ins. */
    private void stopAll() throws Exception {
        faultTimers.shutdownNow();
        for (SchedulerProcess scheduler : schedulers) {
            scheduler.stop();
        }
        discoveries.forEach(StandInDiscovery::stop);
        workers.forEach(StandInWorker::stop);
        if (listener != null) {
            listener.stop();
        }
        if (peerNetwork != null) {
            peerNetwork.close();
        }
        LifeCycle.stop(timers);
        pool.shutdownNow();
    }
}
