package barrowshore.capacity.simulated;

import barrowshore.capacity.simulated.CpuMeter.Category;
import barrowshore.capacity.simulated.SchedulerUsage.Role;
import barrowshore.capacity.simulated.SimulatedFleet.Totals;
import barrowshore.capacity.simulated.TaskClients.Answer;
import barrowshore.config.ConfigException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;

/**
 * Implements the command `hollow`: starts a fleet, lets it settle, measures it while part of it is replaced, and prints
 * the usage of each scheduler and a comparison of simulated and real schedulers.
 */
public final class SimulatedFleetRun {
    /** Wait between the last scheduler's start and the measurement, for JIT compilation and the first lists to finish. */
    private static final int SETTLE_SECONDS = 15;
    /** Share of the workers replaced during the measurement. */
    private static final double REPLACED_WORKERS_SHARE = 0.01;

    private final SimulatedFleetPlan plan;
    private final PrintStream out;

    private SimulatedFleetRun(SimulatedFleetPlan plan, PrintStream out) {
        this.plan = plan;
        this.out = out;
    }

    /**
     * Runs the whole measurement.
     *
     * @param csv file for the rows, or null
     * @param deploy deploy file whose run line has the real schedulers' options, or null
     * @throws ConfigException with a one-line reason if nothing was started
     */
    public static void run(SimulatedFleetPlan plan, Path csv, Path deploy, long seed, PrintStream out)
            throws Exception {
        plan.check(SimulatedFleetPlan.MachineLimits.ofThisMachine());
        if (csv != null && !isWritable(csv)) {
            throw new ConfigException("hollow: --csv " + csv + " cannot be written: nothing was started");
        }
        Path folder = Files.createTempDirectory("hollow");
        out.println("logs of the real schedulers in " + folder);
        try (SimulatedFleet fleet = new SimulatedFleet(plan, folder, deploy, seed, TargetSite.TASK_SECONDS)) {
            List<SchedulerUsage> rows = new SimulatedFleetRun(plan, out).run(fleet);
            if (csv != null) {
                write(csv, rows);
            }
        }
    }

    private static boolean isWritable(Path csv) {
        Path folder = csv.toAbsolutePath().getParent();
        return Files.isDirectory(csv) ? false : Files.exists(csv) ? Files.isWritable(csv) : Files.isWritable(folder);
    }

    private static void write(Path csv, List<SchedulerUsage> rows) throws IOException {
        List<String> lines = new ArrayList<>(List.of(SchedulerUsage.CSV_HEADER));
        rows.forEach(row -> lines.add(row.toCsv()));
        Files.write(csv, lines);
    }

    private List<SchedulerUsage> run(SimulatedFleet fleet) throws Exception {
        fleet.start();
        out.printf(
                "%d workers; %d real and %d hollow schedulers are ready; %d starts a second%n",
                plan.workers(), plan.real(), plan.simulated(), plan.starts());
        fleet.startLoad();
        TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
        List<Totals> from = totals(fleet);
        long fromNanos = System.nanoTime();
        List<Long> cpuFrom = cpuByCategory(fleet);
        long end = fromNanos + TimeUnit.SECONDS.toNanos(plan.seconds());
        sleepUntil(fromNanos + TimeUnit.SECONDS.toNanos(plan.seconds()) / 3);
        fleet.replaceWorkers((int) Math.ceil(REPLACED_WORKERS_SHARE * plan.workers()));
        fleet.replaceSchedulers();
        sleepUntil(fromNanos + TimeUnit.SECONDS.toNanos(plan.seconds()) * 2 / 3);
        fleet.reload();
        sleepUntil(end);
        List<Totals> to = totals(fleet);
        double seconds = (System.nanoTime() - fromNanos) / 1e9;
        List<SchedulerUsage> rows = new ArrayList<>();
        for (int k = 0; k < plan.schedulers(); k++) {
            rows.add(fleet.usage(k, from.get(k), to.get(k), seconds));
        }
        print(rows, seconds);
        printCpuByCategory(cpuFrom, cpuByCategory(fleet), seconds);
        printAnswers(fleet);
        return rows;
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(Math.max(0, nanos - System.nanoTime()));
    }

    private List<Totals> totals(SimulatedFleet fleet) {
        List<Totals> sums = new ArrayList<>();
        for (int k = 0; k < plan.schedulers(); k++) {
            sums.add(fleet.totals(k));
        }
        return sums;
    }

    /**
     * Returns CPU time and calls of each category, alternating, of the first simulated scheduler. With two or more simulated
     * schedulers it is never replaced.
     */
    private List<Long> cpuByCategory(SimulatedFleet fleet) {
        List<Long> nanosAndCalls = new ArrayList<>();
        for (Category category : plan.simulated() == 0 ? new Category[0] : Category.values()) {
            nanosAndCalls.add(fleet.simulated(plan.real()).meter().nanos(category));
            nanosAndCalls.add(fleet.simulated(plan.real()).meter().calls(category));
        }
        return nanosAndCalls;
    }

    private void print(List<SchedulerUsage> rows, double seconds) {
        out.printf(Locale.ROOT, "measured for %.1f s; a second each, bytes with heads%n", seconds);
        out.println(SchedulerUsage.CSV_HEADER.replace(",", "  "));
        rows.forEach(row -> out.println(row.toCsv().replace(",", "  ")));
        summary("real without clients: control", rows, Role.QUIET, SchedulerUsage::corePercent);
        summary("real with clients: control and requests", rows, Role.REAL, SchedulerUsage::corePercent);
        summary("hollow: control", rows, Role.HOLLOW, SchedulerUsage::controlPercent);
        double quiet = mean(rows, Role.QUIET, SchedulerUsage::corePercent);
        double loaded = mean(rows, Role.REAL, SchedulerUsage::corePercent);
        double control = mean(rows, Role.HOLLOW, SchedulerUsage::controlPercent);
        out.printf(
                Locale.ROOT,
                "real, requests (with clients less without): %.2f%% of a core%n"
                        + "hollow control against real control: %.2f%n",
                loaded - quiet,
                control / quiet);
    }

    private void summary(String what, List<SchedulerUsage> rows, Role role, ToDoubleFunction<SchedulerUsage> percent) {
        out.printf(
                Locale.ROOT,
                "%s: %.2f%% of a core, %.0f bytes a second both ways%n",
                what,
                mean(rows, role, percent),
                mean(rows, role, SchedulerUsage::controlBytesPerSecond));
    }

    private static double mean(List<SchedulerUsage> rows, Role role, ToDoubleFunction<SchedulerUsage> figure) {
        return rows.stream()
                .filter(row -> row.role() == role)
                .mapToDouble(figure)
                .average()
                .orElse(Double.NaN);
    }

    private void printCpuByCategory(List<Long> from, List<Long> to, double seconds) {
        for (int k = 0; k + 1 < from.size(); k += 2) {
            double nanos = to.get(k) - from.get(k), calls = to.get(k + 1) - from.get(k + 1);
            out.printf(
                    Locale.ROOT,
                    "hollow scheduler %d, %s: %.3f%% of a core, %.1f calls a second, %.1f us each%n",
                    plan.real(),
                    Category.values()[k / 2].name().toLowerCase(Locale.ROOT),
                    100 * nanos / seconds / 1e9,
                    calls / seconds,
                    calls == 0 ? 0 : nanos / calls / 1000);
        }
    }

    private void printAnswers(SimulatedFleet fleet) {
        long[] answers = new long[Answer.values().length];
        long served = 0, refused = 0, failed = 0;
        for (int k = 0; k < plan.schedulers(); k++) {
            if (k < plan.real()) {
                for (Answer answer : Answer.values()) {
                    answers[answer.ordinal()] += fleet.clients().answers(k, answer);
                }
            } else {
                SimulatedScheduler.Counters count = fleet.simulated(k).counters();
                served += count.served();
                refused += count.refused();
                failed += count.failed();
            }
        }
        for (Answer answer : Answer.values()) {
            out.printf("real: %s %d%n", answer.name().toLowerCase(Locale.ROOT), answers[answer.ordinal()]);
        }
        out.printf("hollow, as of their last start: served %d, refused %d, failed %d%n", served, refused, failed);
    }
}
