package barrowshore.fleet;

import barrowshore.config.ConfigException;
import barrowshore.fleet.FleetScenario.Fault;
import barrowshore.fleet.Invariants.Answer;
import barrowshore.fleet.Invariants.Asked;
import barrowshore.fleet.Invariants.Outage;
import barrowshore.fleet.Invariants.Worked;
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
 * A fleet of real scheduler processes before stand-in workers on loopback, with a load and faults between them. It owns
 * everything that it starts, and ends it by its id, also when the run fails; what it finds broken it takes from clients'
 * and workers' records alone. It must never start more than the memory holds, or listen elsewhere than on loopback.
 */
public final class Fleet {
    /** Memory that a scheduler needs at most on these runs, MiB, as measured with 60. */
    private static final int MIB_EACH = 100;
    /** Starts at once: each keeps a core busy for a second. */
    private static final int WAVE = Math.max(2, Runtime.getRuntime().availableProcessors());
    /** When a front notices that a scheduler has died or stands still, and that one is ending, milliseconds. */
    private static final long NOTICES = 1_000, TOLD = 300;
    /** When discovery notices that a worker has died, and until when new work to one that drains may go on. */
    private static final long GONE = 500, GRACE = 3_000;

    private static final int MOST_CONNECTIONS = 15_000;
    private static final int CORES = 4, MOST_AT_ONCE = 64;

    /** What came of a run: counts by answer, what is broken (empty if nothing), memory and processor time of schedulers. */
    public record Outcome(
            Map<String, Long> answers, List<String> violations, double mostMemory, double processorSeconds) {}

    private final FleetScenario scenario;
    private final Path folder;
    private final PrintStream out;
    private final List<String> command;
    private final ExecutorService pool = Executors.newFixedThreadPool(4, run -> daemon(run, "stand-ins"));
    private final ScheduledExecutorService faults;
    private final Scheduler timers = new ScheduledExecutorScheduler("stand-ins' timers", true, 1);
    private final List<SchedulerProcess> instances = new ArrayList<>();
    private final List<StandInDiscovery> discoveries = new ArrayList<>();
    private final List<StandInWorker> workers = new ArrayList<>();
    private final Queue<Outage> outages = new ConcurrentLinkedQueue<>();
    private final Map<Integer, Long> downSince = new HashMap<>();
    private final Queue<String> events = new ConcurrentLinkedQueue<>();
    private final List<Future<?>> under = new ArrayList<>();
    private StandInListener front;
    private PeerNetwork hub;
    private long startNanos = System.nanoTime();

    private Fleet(FleetScenario scenario, Path folder, Path deploy, PrintStream out) throws IOException {
        this.scenario = scenario;
        this.folder = folder;
        this.out = out;
        this.command = SchedulerProcess.launchCommand(deploy);
        this.faults = Executors.newScheduledThreadPool(
                2 + Math.min(MOST_AT_ONCE, scenario.faults().size()), run -> daemon(run, "faults"));
        Files.createDirectories(folder);
    }

    private static Thread daemon(Runnable run, String name) {
        Thread thread = new Thread(run, name);
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Plays it. folder: where logs, configurations and figures go; deploy: the deploy file whose `run` has the JVM's
     * options, or null for none. A {@link ConfigException} says why nothing was started, or which process did not come up.
     */
    public static Outcome run(FleetScenario scenario, Path folder, Path deploy, PrintStream out) throws Exception {
        long room = available();
        if ((long) scenario.schedulers() * MIB_EACH > room) {
            throw new ConfigException(scenario.schedulers() + " schedulers need " + scenario.schedulers() * MIB_EACH
                    + " MiB and " + room + " MiB are free: nothing was started");
        }
        Fleet fleet = new Fleet(scenario, folder, deploy, out);
        try {
            fleet.start();
            return fleet.run();
        } finally {
            fleet.end();
        }
    }

    private static long available() {
        try {
            Matcher free =
                    Pattern.compile("MemAvailable:\\s+(\\d+) kB").matcher(Files.readString(Path.of("/proc/meminfo")));
            return free.find() ? Long.parseLong(free.group(1)) / 1024 : Long.MAX_VALUE;
        } catch (IOException e) {
            return Long.MAX_VALUE; // not told here
        }
    }

    private void start() throws Exception {
        timers.start();
        front = new StandInListener(pool, timers, MOST_CONNECTIONS);
        hub = new PeerNetwork(scenario.schedulers(), scenario.loss(), scenario.seed());
        for (int k = 0; k < scenario.schedulers(); k++) {
            discoveries.add(new StandInDiscovery(front, pool, timers));
        }
        for (int w = 0; w < scenario.workers(); w++) {
            double speed = w % 3 == 0 ? 0.7 : 1;
            workers.add(new StandInWorker(
                    "s-" + w,
                    new WorkerModel.Spec(
                            CORES, speed, 40, w % 2 == 0, StandInConfig.START_CAPACITY, StandInConfig.WARM_UP_MICROS),
                    new WorkerModel.OverloadLimit(
                            StandInConfig.OVERLOAD_MULTIPLE,
                            StandInConfig.OVERLOAD_WINDOW_MICROS,
                            StandInConfig.MEAN_JOB_MICROS),
                    StandInConfig.PROGRESS_INTERVAL_MICROS,
                    front,
                    pool,
                    timers));
            tell(w, "Ready", 0);
        }
        for (int k = 0; k < scenario.schedulers(); k++) {
            instances.add(new SchedulerProcess(k, folder, command));
        }
        for (int from = 0; from < instances.size(); from += WAVE) {
            List<SchedulerProcess> wave = instances.subList(from, Math.min(instances.size(), from + WAVE));
            for (SchedulerProcess one : wave) {
                one.start(config(one));
            }
            for (SchedulerProcess one : wave) {
                one.awaitReady();
            }
            out.printf("%d of %d schedulers are ready%n", from + wave.size(), instances.size());
        }
    }

    private String config(SchedulerProcess one) throws IOException {
        List<String> peers = new ArrayList<>();
        for (int k = 0; k < scenario.schedulers(); k++) {
            peers.add(StandInConfig.formatAddress(hub.publicAddress(k)));
        }
        return StandInConfig.toJson(
                "n" + one.number,
                one.address(),
                discoveries.get(one.number).address(),
                one.number,
                one.number % StandInConfig.HALLS.size(),
                hub.listenAddress(one.number),
                peers,
                hub.broadcastAddress());
    }

    private void tell(int worker, String state, long boot) {
        StandInWorker node = workers.get(worker);
        for (StandInDiscovery each : discoveries) {
            each.publish(
                    node.uid(),
                    node.address(),
                    StandInConfig.HALLS.get(worker % StandInConfig.HALLS.size()),
                    "usual",
                    CORES,
                    state,
                    boot);
        }
    }

    private long now() {
        return (System.nanoTime() - startNanos) / 1000;
    }

    private Outcome run() throws Exception {
        startNanos = System.nanoTime();
        scenario.faults().forEach(f -> plan(f.at() / 1000, () -> begin(f)));
        try (Clients clients = new Clients(scenario, instances, startNanos)) {
            Future<?> watch = faults.scheduleAtFixedRate(() -> progress(clients.asked()), 1, 1, TimeUnit.SECONDS);
            clients.run();
            watch.cancel(false);
            for (Future<?> one : under) {
                one.get(60, TimeUnit.SECONDS); // a fault that could not be made is a failed run
            }
            return conclude(clients.asked());
        }
    }

    private void plan(long afterMillis, Step step) {
        under.add(faults.schedule(
                () -> {
                    step.run();
                    return null;
                },
                afterMillis,
                TimeUnit.MILLISECONDS));
    }

    /** A step of a fault, which may fail. */
    private interface Step {
        void run() throws Exception;
    }

    private void event(String what, Object of) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("at_ms", now() / 1000);
        line.put("event", what);
        line.put("of", of);
        events.add(new JSON().toJSON(line));
    }

    private void after(long millis, Step step) {
        faults.schedule(
                () -> {
                    step.run();
                    return null;
                },
                millis,
                TimeUnit.MILLISECONDS);
    }

    private void begin(Fault f) throws Exception {
        event(
                f.what().name().toLowerCase(Locale.ROOT),
                f.one() >= 0 ? f.one() : f.others().toString());
        long lasts = f.lasts() / 1000;
        switch (f.what()) {
            case KILL -> {
                synchronized (downSince) {
                    downSince.put(f.one(), now());
                }
                instances.get(f.one()).kill();
                noticed(instances.get(f.one()), NOTICES);
            }
            case TERM -> {
                instances.get(f.one()).term();
                noticed(instances.get(f.one()), TOLD);
            }
            case START -> start(f.one());
            case PAUSE -> pause(f.one(), lasts);
            case PARTITION -> {
                hub.cut(new HashSet<>(f.others()));
                Thread.sleep(lasts);
                hub.cut(new HashSet<>());
                event("whole again", f.others().toString());
            }
            case SILENCE -> {
                discoveries.get(f.one()).setSilent(true);
                Thread.sleep(lasts);
                discoveries.get(f.one()).setSilent(false);
                event("heard again", f.one());
            }
            case CRASH -> crash(f.one(), lasts);
            case HANG -> {
                workers.get(f.one()).setHung(true).join();
                Thread.sleep(lasts);
                workers.get(f.one()).setHung(false).join();
            }
            case SLOW -> {
                workers.get(f.one()).setSlowdown(f.factor()).join();
                Thread.sleep(lasts);
                workers.get(f.one()).setSlowdown(1).join();
            }
            case DRAIN -> {
                workers.get(f.one()).setDraining(true).join();
                tell(f.one(), "Terminating", 0);
                workers.get(f.one()).countJobsAsLateAfter(GRACE + untilHeard(f.at()));
            }
            default -> throw new IllegalStateException("nothing begins with " + f.what());
        }
    }

    private void start(int scheduler) throws Exception {
        SchedulerProcess instance = instances.get(scheduler);
        instance.leave();
        instance.start(config(instance));
        instance.awaitReady();
        closeOutage(scheduler);
        event("ready", scheduler);
    }

    private void pause(int scheduler, long lasts) throws Exception {
        SchedulerProcess instance = instances.get(scheduler);
        long from = now();
        instance.signal("STOP");
        Thread.sleep(Math.min(NOTICES, lasts));
        instance.inService = false;
        Thread.sleep(Math.max(0, lasts - NOTICES));
        instance.signal("CONT");
        outages.add(new Outage(scheduler, from, now()));
        instance.inService = true;
        event("goes on", scheduler);
    }

    private void crash(int worker, long lasts) throws Exception {
        StandInWorker node = workers.get(worker);
        node.crash().join();
        Thread.sleep(Math.min(GONE, lasts));
        tell(worker, "Gone", 0);
        Thread.sleep(Math.max(0, lasts - GONE));
        tell(worker, "Ready", node.restart().join());
        event("back, cold", worker);
    }

    /** How much longer some scheduler stands still or hears nothing of discovery, at that time of the scenario, in ms. */
    private long untilHeard(long at) {
        return scenario.faults().stream()
                .filter(f -> f.what() == FleetScenario.What.PAUSE || f.what() == FleetScenario.What.SILENCE)
                .filter(f -> f.at() - GRACE * 1000 <= at && f.at() + f.lasts() >= at)
                .mapToLong(f -> (f.at() + f.lasts() - at) / 1000)
                .max()
                .orElse(0);
    }

    /** The front notices a while later that it is gone, unless it has been started again meanwhile. */
    private void noticed(SchedulerProcess one, long millis) {
        int life = one.lives();
        after(millis, () -> one.inService &= one.lives() != life);
    }

    private void closeOutage(int scheduler) {
        synchronized (downSince) {
            Long since = downSince.remove(scheduler);
            if (since != null) {
                outages.add(new Outage(scheduler, since, now()));
            }
        }
    }

    private void progress(List<Asked> asked) {
        out.printf("%3d s  %s%n", now() / 1_000_000, counts(asked));
    }

    private static Map<String, Long> counts(List<Asked> asked) {
        Map<String, Long> counts = new LinkedHashMap<>();
        for (Answer answer : Answer.values()) {
            counts.put(
                    answer.name().toLowerCase(Locale.ROOT),
                    asked.stream().filter(a -> a.answer() == answer).count());
        }
        return counts;
    }

    private Outcome conclude(List<Asked> asked) throws Exception {
        double memory = 0, processor = 0;
        StringBuilder members = new StringBuilder("scheduler,pid,memory_mib,processor_s\n");
        for (SchedulerProcess one : instances) {
            if (one.isAlive()) {
                double[] use = one.use();
                memory = Math.max(memory, use[0]);
                processor += use[1];
                members.append(String.format(Locale.ROOT, "%d,%d,%.1f,%.2f%n", one.number, one.pid(), use[0], use[1]));
            }
        }
        synchronized (downSince) {
            downSince.forEach((scheduler, since) -> outages.add(new Outage(scheduler, since, Long.MAX_VALUE)));
        }
        List<String> left = new ArrayList<>();
        for (SchedulerProcess one : instances) {
            if (!one.isAlive()
                    && scenario.faults().stream()
                            .noneMatch(f -> f.one() == one.number
                                    && (f.what() == FleetScenario.What.KILL || f.what() == FleetScenario.What.TERM))) {
                left.add("scheduler " + one.number + " ended by itself, see " + one.logFile());
            }
            if (!one.stop()) {
                left.add("scheduler " + one.number + ", process " + one.pid());
            }
        }
        Map<String, Integer> runs = new HashMap<>();
        List<Worked> worked = new ArrayList<>();
        for (StandInWorker node : workers) {
            StandInWorker.Counters count = node.counters().join();
            count.startsByJobId().forEach((id, times) -> runs.merge(id, times, Integer::sum));
            worked.add(new Worked(node.uid(), count.lateJobs(), count.failedFromOverload(), count.coldBudgetUsed()));
        }
        List<String> broken = new ArrayList<>(Invariants.broken(asked, runs, List.copyOf(outages), worked, left));
        if (hub.tooLong() > 0) {
            broken.add(hub.tooLong() + " datagrams over 256 bytes");
        }
        write(asked, members, broken);
        out.printf(Locale.ROOT, "%s: %d jobs, %s%n", scenario.name(), asked.size(), counts(asked));
        for (int type = 0; type < StandInConfig.CLASSES.size(); type++) {
            Histogram times = new Histogram(60_000_000, 2);
            boolean unsafe = type == 1;
            asked.stream()
                    .filter(a -> a.unsafe() == unsafe && a.answer() == Answer.SERVED)
                    .forEach(a -> times.recordValue(Math.min(60_000_000, a.answeredAt() - a.sentAt())));
            out.printf(
                    Locale.ROOT,
                    "  %-12s p50 %.0f ms, p99 %.0f ms%n",
                    StandInConfig.CLASSES.get(type),
                    times.getValueAtPercentile(50) / 1e3,
                    times.getValueAtPercentile(99) / 1e3);
        }
        out.printf(
                Locale.ROOT,
                "  schedulers: %.0f MiB at most, %.1f s of processor time; cold budget used %.2f at most;"
                        + " datagrams %d, lost %d%n",
                memory,
                processor,
                worked.stream().mapToDouble(Worked::coldUse).max().orElse(0),
                hub.carried(),
                hub.lost());
        broken.forEach(line -> out.println("BROKEN  " + line));
        out.println(broken.isEmpty() ? "every invariant holds" : broken.size() + " broken; see " + folder);
        return new Outcome(counts(asked), broken, memory, processor);
    }

    private void write(List<Asked> asked, StringBuilder members, List<String> broken) throws IOException {
        int seconds = (int) (scenario.length() / 1_000_000) + 1;
        long[][] figures = new long[seconds + 1][Answer.values().length];
        for (Asked a : asked) {
            figures[(int) Math.min(seconds, a.sentAt() / 1_000_000)][a.answer().ordinal()]++;
        }
        StringBuilder csv = new StringBuilder("second,served,turned_down,failed,refused,none\n");
        for (int s = 0; s < seconds; s++) {
            csv.append(s);
            Arrays.stream(figures[s]).forEach(count -> csv.append(',').append(count));
            csv.append('\n');
        }
        Files.writeString(folder.resolve("figures.csv"), csv);
        Files.write(folder.resolve("jobs.csv"), jobs(asked));
        Files.writeString(folder.resolve("schedulers.csv"), members);
        events.addAll(broken.stream()
                .map(line -> new JSON().toJSON(Map.of("event", "broken", "of", line)))
                .toList());
        Files.write(folder.resolve("events.jsonl"), events);
    }

    /** A line for each job, so that times can be looked at by second, class and scheduler. */
    private static List<String> jobs(List<Asked> asked) {
        List<String> lines = new ArrayList<>(List.of("sent_ms,class,scheduler,answer,took_ms"));
        for (Asked a : asked) {
            lines.add(String.format(
                    Locale.ROOT,
                    "%.1f,%s,%d,%s,%.1f",
                    a.sentAt() / 1e3,
                    StandInConfig.CLASSES.get(a.unsafe() ? 1 : 0),
                    a.scheduler(),
                    a.answer().name().toLowerCase(Locale.ROOT),
                    (a.answeredAt() - a.sentAt()) / 1e3));
        }
        return lines;
    }

    /** Ends every process and all that was started for them. */
    private void end() throws Exception {
        faults.shutdownNow();
        for (SchedulerProcess one : instances) {
            one.stop();
        }
        discoveries.forEach(StandInDiscovery::stop);
        workers.forEach(StandInWorker::stop);
        if (front != null) {
            front.stop();
        }
        if (hub != null) {
            hub.close();
        }
        LifeCycle.stop(timers);
        pool.shutdownNow();
    }
}
