package barrowshore.capacity.simulated;

import barrowshore.capacity.simulated.HollowRow.Role;
import barrowshore.capacity.simulated.ProcessorMeter.Part;
import barrowshore.capacity.simulated.SimulatedFleet.Sums;
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
 * The command `hollow`: starts a fleet, lets it settle, measures it while some of it is replaced, and prints what each
 * scheduler used and how hollow and real compare. It owns the order of these steps and the printed form.
 */
public final class SimulatedFleetRun {
    /** From the last scheduler's start until the figures count: compilers and first lists are done. */
    private static final int SETTLE_SECONDS = 15;
    /** Share of the workers replaced while it is measured. */
    private static final double WORKERS_REPLACED = 0.01;

    private final SimulatedFleetPlan plan;
    private final PrintStream out;

    private SimulatedFleetRun(SimulatedFleetPlan plan, PrintStream out) {
        this.plan = plan;
        this.out = out;
    }

    /**
     * Plays it. csv: where the rows go, or null; deploy: the deploy file whose run line has the real schedulers' options,
     * or null. A {@link ConfigException} says on one line why nothing was started.
     */
    public static void run(SimulatedFleetPlan plan, Path csv, Path deploy, long seed, PrintStream out)
            throws Exception {
        plan.check(SimulatedFleetPlan.Machine.here());
        if (csv != null && !writable(csv)) {
            throw new ConfigException("hollow: --csv " + csv + " cannot be written: nothing was started");
        }
        Path folder = Files.createTempDirectory("hollow");
        out.println("logs of the real schedulers in " + folder);
        try (SimulatedFleet fleet = new SimulatedFleet(plan, folder, deploy, seed, TargetSite.TASK_SECONDS)) {
            List<HollowRow> rows = new SimulatedFleetRun(plan, out).run(fleet);
            if (csv != null) {
                write(csv, rows);
            }
        }
    }

    private static boolean writable(Path csv) {
        Path folder = csv.toAbsolutePath().getParent();
        return Files.isDirectory(csv) ? false : Files.exists(csv) ? Files.isWritable(csv) : Files.isWritable(folder);
    }

    private static void write(Path csv, List<HollowRow> rows) throws IOException {
        List<String> lines = new ArrayList<>(List.of(HollowRow.HEAD));
        rows.forEach(row -> lines.add(row.csv()));
        Files.write(csv, lines);
    }

    private List<HollowRow> run(SimulatedFleet fleet) throws Exception {
        fleet.start();
        out.printf(
                "%d workers; %d real and %d hollow schedulers are ready; %d starts a second%n",
                plan.workers(), plan.real(), plan.hollow(), plan.starts());
        fleet.load();
        TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
        List<Sums> from = sums(fleet);
        long fromNanos = System.nanoTime();
        List<Long> partsFrom = parts(fleet);
        long end = fromNanos + TimeUnit.SECONDS.toNanos(plan.seconds());
        sleepUntil(fromNanos + TimeUnit.SECONDS.toNanos(plan.seconds()) / 3);
        fleet.replaceWorkers((int) Math.ceil(WORKERS_REPLACED * plan.workers()));
        fleet.replaceSchedulers();
        sleepUntil(fromNanos + TimeUnit.SECONDS.toNanos(plan.seconds()) * 2 / 3);
        fleet.reload();
        sleepUntil(end);
        List<Sums> to = sums(fleet);
        double seconds = (System.nanoTime() - fromNanos) / 1e9;
        List<HollowRow> rows = new ArrayList<>();
        for (int k = 0; k < plan.schedulers(); k++) {
            rows.add(fleet.row(k, from.get(k), to.get(k), seconds));
        }
        print(rows, seconds);
        printParts(partsFrom, parts(fleet), seconds);
        printAnswers(fleet);
        return rows;
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(Math.max(0, nanos - System.nanoTime()));
    }

    private List<Sums> sums(SimulatedFleet fleet) {
        List<Sums> sums = new ArrayList<>();
        for (int k = 0; k < plan.schedulers(); k++) {
            sums.add(fleet.sums(k));
        }
        return sums;
    }

    /** Processor time by part, of the first hollow scheduler, which is never replaced if there are two. */
    private List<Long> parts(SimulatedFleet fleet) {
        List<Long> parts = new ArrayList<>();
        for (Part part : plan.hollow() == 0 ? new Part[0] : Part.values()) {
            parts.add(fleet.hollow(plan.real()).meter().nanos(part));
            parts.add(fleet.hollow(plan.real()).meter().calls(part));
        }
        return parts;
    }

    private void print(List<HollowRow> rows, double seconds) {
        out.printf(Locale.ROOT, "measured for %.1f s; a second each, bytes with heads%n", seconds);
        out.println(HollowRow.HEAD.replace(",", "  "));
        rows.forEach(row -> out.println(row.csv().replace(",", "  ")));
        summary("real without clients: control", rows, Role.QUIET, HollowRow::percent);
        summary("real with clients: control and requests", rows, Role.REAL, HollowRow::percent);
        summary("hollow: control", rows, Role.HOLLOW, HollowRow::controlPercent);
        double quiet = mean(rows, Role.QUIET, HollowRow::percent);
        double loaded = mean(rows, Role.REAL, HollowRow::percent);
        double control = mean(rows, Role.HOLLOW, HollowRow::controlPercent);
        out.printf(
                Locale.ROOT,
                "real, requests (with clients less without): %.2f%% of a core%n"
                        + "hollow control against real control: %.2f%n",
                loaded - quiet,
                control / quiet);
    }

    private void summary(String what, List<HollowRow> rows, Role role, ToDoubleFunction<HollowRow> percent) {
        out.printf(
                Locale.ROOT,
                "%s: %.2f%% of a core, %.0f bytes a second both ways%n",
                what,
                mean(rows, role, percent),
                mean(rows, role, HollowRow::controlBytes));
    }

    private static double mean(List<HollowRow> rows, Role role, ToDoubleFunction<HollowRow> figure) {
        return rows.stream()
                .filter(row -> row.role() == role)
                .mapToDouble(figure)
                .average()
                .orElse(Double.NaN);
    }

    private void printParts(List<Long> from, List<Long> to, double seconds) {
        for (int k = 0; k + 1 < from.size(); k += 2) {
            double nanos = to.get(k) - from.get(k), calls = to.get(k + 1) - from.get(k + 1);
            out.printf(
                    Locale.ROOT,
                    "hollow scheduler %d, %s: %.3f%% of a core, %.1f calls a second, %.1f us each%n",
                    plan.real(),
                    Part.values()[k / 2].name().toLowerCase(Locale.ROOT),
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
                SimulatedScheduler.Count count = fleet.hollow(k).count();
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
