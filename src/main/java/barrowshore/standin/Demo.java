package barrowshore.standin;

import barrowshore.halls.HallState;
import barrowshore.operator.OperatorSettings;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The demo command: runs a {@link StandInSite} under a light load, crashes one hall, restarts it, and prints a line each
 * second. It owns the site and the load's threads; everything runs in this process and ends with it.
 */
public final class Demo {
    private static final int WORKERS_PER_HALL = 3;
    private static final int CRASH_SECOND = 10, DELIST_SECOND = 15, RESTART_SECOND = 20, DURATION_SECONDS = 36;
    private static final int JOBS_PER_SECOND_PER_HALL = 12;

    private static final List<Integer> JOB_WORK_MILLIS = List.of(60, 120);

    private final AtomicInteger lastJobNumber = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();

    private Demo() {}

    /** Runs the demo; keepRunning: the load goes on after the hall has recovered, until the process is stopped. */
    public static void play(PrintStream out, boolean keepRunning) throws Exception {
        new Demo().run(out, keepRunning);
    }

    private void run(PrintStream out, boolean keepRunning) throws Exception {
        OperatorSettings operator = new OperatorSettings(OperatorSettings.HallSettings.defaults());
        ScheduledExecutorService loadTimer = Executors.newScheduledThreadPool(1, Demo::daemonThread);
        try (StandInSite site = new StandInSite(WORKERS_PER_HALL, operator)) {
            out.println("two halls of " + WORKERS_PER_HALL + " stand-in nodes, two schedulers, "
                    + 2 * JOBS_PER_SECOND_PER_HALL + " jobs a second");
            for (int hall = 0; hall < 2; hall++) {
                InetSocketAddress address = site.clientAddress(hall);
                out.println("  " + site.hallNames().get(hall) + ": http://127.0.0.1:" + address.getPort());
            }
            out.println(
                    "  try: curl -H 'X-Request-ID: mine-1' -H 'X-Priority-Class: menu-cteni' -H 'X-Timeout-Ms: 2000'"
                            + " -d lunch http://127.0.0.1:"
                            + site.clientAddress(0).getPort() + "/menu-cteni");
            HttpClient client = HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .executor(Executors.newFixedThreadPool(2, Demo::daemonThread))
                    .build();
            for (int hall = 0; hall < 2; hall++) {
                InetSocketAddress address = site.clientAddress(hall);
                loadTimer.scheduleAtFixedRate(
                        () -> sendJob(client, address),
                        1_000_000 + hall * 40_000,
                        1_000_000 / JOBS_PER_SECOND_PER_HALL,
                        TimeUnit.MICROSECONDS);
            }
            int[] totals = new int[3];
            for (int second = 1; keepRunning || second <= DURATION_SECONDS; second++) {
                Thread.sleep(1000);
                switch (second) {
                    case CRASH_SECOND -> {
                        site.crashHall(0);
                        out.println("-- every node of hala-a dies");
                    }
                    case DELIST_SECOND -> {
                        site.delistHall(0);
                        out.println("-- discovery has noticed");
                    }
                    case RESTART_SECOND -> {
                        site.restartHall(0);
                        out.println("-- they start again, cold");
                    }
                    default -> {}
                }
                int[] lastSecond = {served.getAndSet(0), refused.getAndSet(0), failed.getAndSet(0)};
                for (int k = 0; k < 3; k++) {
                    totals[k] += lastSecond[k];
                }
                out.printf(
                        Locale.ROOT,
                        "%3d s  served %3d  refused %2d  failed %2d  spilled %3.0f  %s%n",
                        second,
                        lastSecond[0],
                        lastSecond[1],
                        lastSecond[2],
                        spilledSlots(site),
                        formatHallStates(site));
            }
            out.printf(
                    "served %d, refused %d, failed %d; jobs that ran twice and must not: %d; nodes pushed over: %d%n",
                    totals[0],
                    totals[1],
                    totals[2],
                    site.workerCounters().stream()
                            .mapToLong(c -> c.startsByJobId().entrySet().stream()
                                    .filter(e -> e.getKey().startsWith("objednavka") && e.getValue() > 1)
                                    .count())
                            .sum(),
                    site.workerCounters().stream()
                            .filter(StandInWorker.Counters::failedFromOverload)
                            .count());
        } finally {
            loadTimer.shutdownNow();
        }
    }

    private static Thread daemonThread(Runnable task) {
        Thread thread = new Thread(task, "demo clients");
        thread.setDaemon(true);
        return thread;
    }

    private static double spilledSlots(StandInSite site) throws Exception {
        double sum = 0;
        for (int scheduler = 0; scheduler < 2; scheduler++) {
            sum += site.schedulers().get(scheduler).spilledSlots(1 - scheduler).get(2, TimeUnit.SECONDS);
        }
        return sum;
    }

    /** Returns each hall's state as its own scheduler sees it. */
    private static String formatHallStates(StandInSite site) throws Exception {
        StringBuilder line = new StringBuilder();
        for (int hall = 0; hall < 2; hall++) {
            CompletableFuture<List<HallState>> states =
                    site.schedulers().get(hall).hallStates();
            line.append(site.hallNames().get(hall))
                    .append(' ')
                    .append(states.get(2, TimeUnit.SECONDS).get(hall).name().toLowerCase(Locale.ROOT))
                    .append(hall == 0 ? "  " : "");
        }
        return line.toString();
    }

    private void sendJob(HttpClient client, InetSocketAddress address) {
        int number = lastJobNumber.incrementAndGet();
        int classIndex = number % 2;
        String className = StandInConfig.CLASSES.get(classIndex);
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + "/"
                        + className + "?work=" + JOB_WORK_MILLIS.get(classIndex)))
                .header("X-Request-ID", className + "-" + number)
                .header("X-Priority-Class", className)
                .header("X-Timeout-Ms", "3000")
                .timeout(Duration.ofSeconds(5))
                .POST(HttpRequest.BodyPublishers.ofString("lunch"))
                .build();
        client.sendAsync(request, HttpResponse.BodyHandlers.ofString()).whenComplete((answer, failure) -> {
            int status = failure != null ? 0 : answer.statusCode();
            (status == 200 ? served : status == 503 ? refused : failed).incrementAndGet();
        });
    }
}
