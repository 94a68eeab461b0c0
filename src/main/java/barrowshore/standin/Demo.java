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
 * A site that anybody can watch: two halls, two schedulers, a light load, and a hall that is lost and regained. It owns
 * the load's clients and what is printed; everything runs in this process and ends with it.
 */
public final class Demo {
    private static final int NODES = 3;
    private static final int LOST = 10, TOLD = 15, REGAINED = 20, ENDS = 36;
    /** Jobs a second at each hall: a light load. */
    private static final int RATE = 12;

    private static final List<Integer> WORK_MILLIS = List.of(60, 120);

    private final AtomicInteger next = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();

    private Demo() {}

    /** Plays it; hold: it goes on, with everything well again, until it is stopped. */
    public static void play(PrintStream out, boolean hold) throws Exception {
        new Demo().run(out, hold);
    }

    private void run(PrintStream out, boolean hold) throws Exception {
        OperatorSettings operator = new OperatorSettings(OperatorSettings.HallSettings.defaults());
        ScheduledExecutorService clock = Executors.newScheduledThreadPool(1, Demo::daemon);
        try (StandInSite site = new StandInSite(NODES, operator)) {
            out.println("two halls of " + NODES + " stand-in nodes, two schedulers, " + 2 * RATE + " jobs a second");
            for (int h = 0; h < 2; h++) {
                InetSocketAddress at = site.entrance(h);
                out.println("  " + site.hallNames().get(h) + ": http://127.0.0.1:" + at.getPort());
            }
            out.println(
                    "  try: curl -H 'X-Request-ID: mine-1' -H 'X-Priority-Class: menu-cteni' -H 'X-Timeout-Ms: 2000'"
                            + " -d lunch http://127.0.0.1:" + site.entrance(0).getPort() + "/menu-cteni");
            HttpClient client = HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .executor(Executors.newFixedThreadPool(2, Demo::daemon))
                    .build();
            for (int h = 0; h < 2; h++) {
                InetSocketAddress at = site.entrance(h);
                clock.scheduleAtFixedRate(
                        () -> ask(client, at), 1_000_000 + h * 40_000, 1_000_000 / RATE, TimeUnit.MICROSECONDS);
            }
            int[] total = new int[3];
            for (int second = 1; hold || second <= ENDS; second++) {
                Thread.sleep(1000);
                switch (second) {
                    case LOST -> {
                        site.lose(0);
                        out.println("-- every node of hala-a dies");
                    }
                    case TOLD -> {
                        site.delist(0);
                        out.println("-- discovery has noticed");
                    }
                    case REGAINED -> {
                        site.regain(0);
                        out.println("-- they start again, cold");
                    }
                    default -> {}
                }
                int[] now = {served.getAndSet(0), refused.getAndSet(0), failed.getAndSet(0)};
                for (int k = 0; k < 3; k++) {
                    total[k] += now[k];
                }
                out.printf(
                        Locale.ROOT,
                        "%3d s  served %3d  refused %2d  failed %2d  spilled %3.0f  %s%n",
                        second,
                        now[0],
                        now[1],
                        now[2],
                        spilled(site),
                        states(site));
            }
            out.printf(
                    "served %d, refused %d, failed %d; jobs that ran twice and must not: %d; nodes pushed over: %d%n",
                    total[0],
                    total[1],
                    total[2],
                    site.counts().stream()
                            .mapToLong(c -> c.startsByJobId().entrySet().stream()
                                    .filter(e -> e.getKey().startsWith("objednavka") && e.getValue() > 1)
                                    .count())
                            .sum(),
                    site.counts().stream()
                            .filter(StandInWorker.Counters::failedFromOverload)
                            .count());
        } finally {
            clock.shutdownNow();
        }
    }

    private static Thread daemon(Runnable run) {
        Thread thread = new Thread(run, "the demo's clients");
        thread.setDaemon(true);
        return thread;
    }

    private static double spilled(StandInSite site) throws Exception {
        double sum = 0;
        for (int s = 0; s < 2; s++) {
            sum += site.schedulers().get(s).spilledSlots(1 - s).get(2, TimeUnit.SECONDS);
        }
        return sum;
    }

    /** Each hall, as its own scheduler sees it. */
    private static String states(StandInSite site) throws Exception {
        StringBuilder line = new StringBuilder();
        for (int h = 0; h < 2; h++) {
            CompletableFuture<List<HallState>> states = site.schedulers().get(h).hallStates();
            line.append(site.hallNames().get(h))
                    .append(' ')
                    .append(states.get(2, TimeUnit.SECONDS).get(h).name().toLowerCase(Locale.ROOT))
                    .append(h == 0 ? "  " : "");
        }
        return line.toString();
    }

    private void ask(HttpClient client, InetSocketAddress at) {
        int number = next.incrementAndGet();
        int type = number % 2;
        String name = StandInConfig.CLASSES.get(type);
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + at.getPort() + "/" + name + "?work=" + WORK_MILLIS.get(type)))
                .header("X-Request-ID", name + "-" + number)
                .header("X-Priority-Class", name)
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
