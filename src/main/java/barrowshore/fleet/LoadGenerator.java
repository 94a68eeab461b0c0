package barrowshore.fleet;

import barrowshore.fleet.Invariants.Answer;
import barrowshore.fleet.Invariants.JobRecord;
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
 * Generates an open-loop load on a fleet: arrival times do not depend on earlier answers. Each job is sent once, over a
 * connection of its own, to a random scheduler of those marked in service. It owns its threads and the jobs' records.
 */
final class LoadGenerator implements AutoCloseable {
    /** The timeout that a job states, and how much longer its answer is accepted, as the machine may be slow. */
    private static final int JOB_TIMEOUT_MILLIS = 3_000, EXTRA_WAIT_MILLIS = 5_000;
    /** Work of a job of each class, at speed 1. */
    private static final int[] JOB_WORK_MILLIS = {60, 120};

    private static final int MAX_CONCURRENT_JOBS = 512;

    private final FleetScenario scenario;
    private final List<SchedulerProcess> schedulers;
    private final ExecutorService executor = Executors.newFixedThreadPool(MAX_CONCURRENT_JOBS, task -> {
        Thread thread = new Thread(task, "clients");
        thread.setDaemon(true);
        return thread;
    });
    private final Queue<JobRecord> jobRecords = new ConcurrentLinkedQueue<>();
    private final long startNanos;

    /** startNanos: the origin of all times, by System.nanoTime. */
    LoadGenerator(FleetScenario scenario, List<SchedulerProcess> schedulers, long startNanos) {
        this.scenario = scenario;
        this.schedulers = schedulers;
        this.startNanos = startNanos;
    }

    private long microsSinceStart() {
        return (System.nanoTime() - startNanos) / 1000;
    }

    /** Sends the whole load and waits until all jobs are answered or timed out. */
    void sendAllJobs() throws InterruptedException {
        SplittableRandom random = new SplittableRandom(scenario.seed());
        double dueMicros = 0;
        for (int index = 0; dueMicros < scenario.lengthMicros(); index++) {
            dueMicros += -Math.log(1 - random.nextDouble()) / scenario.jobsPerSecond() * 1e6;
            double pick = random.nextDouble();
            int number = index;
            TimeUnit.MICROSECONDS.sleep(Math.max(0, (long) dueMicros - microsSinceStart()));
            executor.execute(() -> sendJob(number, pick));
        }
        executor.shutdown();
        executor.awaitTermination(JOB_TIMEOUT_MILLIS + 2L * EXTRA_WAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void sendJob(int number, double pick) {
        List<SchedulerProcess> candidates =
                schedulers.stream().filter(candidate -> candidate.inService).toList();
        if (candidates.isEmpty()) {
            return; // a load balancer would have nowhere to send it
        }
        SchedulerProcess scheduler = candidates.get((int) (pick * candidates.size()));
        int classIndex = number % JOB_WORK_MILLIS.length;
        String className = StandInConfig.CLASSES.get(classIndex), id = className + "-" + number;
        long sentAt = microsSinceStart();
        Answer answer = Answer.REFUSED;
        try (Socket socket = new Socket()) {
            socket.connect(scheduler.address(), JOB_TIMEOUT_MILLIS);
            answer = Answer.NONE;
            socket.setSoTimeout(JOB_TIMEOUT_MILLIS + EXTRA_WAIT_MILLIS);
            socket.getOutputStream()
                    .write(("POST /" + className + "?work=" + JOB_WORK_MILLIS[classIndex]
                                    + " HTTP/1.1\r\nHost: x\r\nX-Request-ID: "
                                    + id + "\r\nX-Priority-Class: " + className + "\r\nX-Timeout-Ms: "
                                    + JOB_TIMEOUT_MILLIS
                                    + "\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx")
                            .getBytes(StandardCharsets.ISO_8859_1));
            answer = classifyAnswer(new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1));
        } catch (SocketTimeoutException e) {
            answer = Answer.NONE;
        } catch (IOException e) {
            // Keeps REFUSED if the connection failed, NONE if it was reset later.
        }
        jobRecords.add(new JobRecord(
                id,
                classIndex == 1,
                scheduler.number,
                sentAt,
                microsSinceStart(),
                sentAt + JOB_TIMEOUT_MILLIS * 1000L,
                answer));
    }

    /** Classifies an answer; one that is incomplete by its content-length is NONE. */
    static Answer classifyAnswer(String text) {
        int headEnd = text.indexOf("\r\n\r\n");
        if (headEnd < 0 || !text.startsWith("HTTP/1.1 ")) {
            return Answer.NONE;
        }
        int length = text.substring(0, headEnd)
                .lines()
                .filter(line -> line.toLowerCase(Locale.ROOT).startsWith("content-length:"))
                .mapToInt(line -> Integer.parseInt(line.substring(15).trim()))
                .findFirst()
                .orElse(0);
        if (text.length() != headEnd + 4 + length) {
            return Answer.NONE;
        }
        return switch (text.substring(9, 12)) {
            case "200" -> Answer.SERVED;
            case "429", "503" -> Answer.TURNED_DOWN;
            default -> Answer.FAILED;
        };
    }

    /** Returns the records of all jobs finished so far. */
    List<JobRecord> jobRecords() {
        return List.copyOf(jobRecords);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
