package barrowshore.fleet;

import barrowshore.fleet.Invariants.Answer;
import barrowshore.fleet.Invariants.Asked;
import barrowshore.standin.StandInConfig;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * The load on a fleet: jobs at set times whatever becomes of those before them, each over a connection of its own, to any
 * scheduler that is in service as far as a front has noticed. It owns its threads and what each job came to. It must never
 * send a job twice.
 */
final class Clients implements AutoCloseable {
    /** How long a client waits, and how much longer its answer is waited for, so that a slow machine breaks nothing. */
    private static final int WAITS_MILLIS = 3_000, PATIENCE_MILLIS = 5_000;
    /** Processor milliseconds of work of each class, at speed 1. */
    private static final int[] WORK = {60, 120};

    private static final int MOST_AT_ONCE = 512;

    private final FleetScenario scenario;
    private final List<SchedulerProcess> instances;
    private final ExecutorService threads = Executors.newFixedThreadPool(MOST_AT_ONCE, run -> {
        Thread thread = new Thread(run, "clients");
        thread.setDaemon(true);
        return thread;
    });
    private final Queue<Asked> asked = new ConcurrentLinkedQueue<>();
    private final long startNanos;

    /** startNanos: when the load's time begins, by System.nanoTime. */
    Clients(FleetScenario scenario, List<SchedulerProcess> instances, long startNanos) {
        this.scenario = scenario;
        this.instances = instances;
        this.startNanos = startNanos;
    }

    private long now() {
        return (System.nanoTime() - startNanos) / 1000;
    }

    /** Sends the whole load and waits until each job has come to something. */
    void run() throws InterruptedException {
        SplittableRandom chance = new SplittableRandom(scenario.seed());
        double at = 0;
        for (int k = 0; at < scenario.length(); k++) {
            at += -Math.log(1 - chance.nextDouble()) / scenario.rate() * 1e6;
            double pick = chance.nextDouble();
            int number = k;
            TimeUnit.MICROSECONDS.sleep(Math.max(0, (long) at - now()));
            threads.execute(() -> ask(number, pick));
        }
        threads.shutdown();
        threads.awaitTermination(WAITS_MILLIS + 2L * PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void ask(int number, double pick) {
        List<SchedulerProcess> there =
                instances.stream().filter(i -> i.inService).toList();
        if (there.isEmpty()) {
            return; // no front would take it
        }
        SchedulerProcess to = there.get((int) (pick * there.size()));
        int type = number % WORK.length;
        String name = StandInConfig.CLASSES.get(type), id = name + "-" + number;
        long sentAt = now();
        Answer answer = Answer.REFUSED;
        try (Socket socket = new Socket()) {
            socket.connect(to.address(), WAITS_MILLIS);
            answer = Answer.NONE;
            socket.setSoTimeout(WAITS_MILLIS + PATIENCE_MILLIS);
            socket.getOutputStream()
                    .write(("POST /" + name + "?work=" + WORK[type] + " HTTP/1.1\r\nHost: x\r\nX-Request-ID: "
                                    + id + "\r\nX-Priority-Class: " + name + "\r\nX-Timeout-Ms: " + WAITS_MILLIS
                                    + "\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx")
                            .getBytes(StandardCharsets.ISO_8859_1));
            answer = answer(new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1));
        } catch (SocketTimeoutException e) {
            answer = Answer.NONE;
        } catch (IOException e) {
            // Reset: what it had come to so far.
        }
        asked.add(new Asked(id, type == 1, to.number, sentAt, now(), sentAt + WAITS_MILLIS * 1000L, answer));
    }

    /** One whole answer, framed by its length; anything less is none. */
    static Answer answer(String text) {
        int end = text.indexOf("\r\n\r\n");
        if (end < 0 || !text.startsWith("HTTP/1.1 ")) {
            return Answer.NONE;
        }
        int length = text.substring(0, end)
                .lines()
                .filter(l -> l.toLowerCase(Locale.ROOT).startsWith("content-length:"))
                .mapToInt(l -> Integer.parseInt(l.substring(15).trim()))
                .findFirst()
                .orElse(0);
        if (text.length() != end + 4 + length) {
            return Answer.NONE;
        }
        return switch (text.substring(9, 12)) {
            case "200" -> Answer.SERVED;
            case "429", "503" -> Answer.TURNED_DOWN;
            default -> Answer.FAILED;
        };
    }

    /** What each job has come to so far. */
    List<Asked> asked() {
        return List.copyOf(asked);
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
