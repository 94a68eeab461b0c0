import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Second copies are not allowed. Some workers send a second answer some milliseconds behind their whole first one, on the
 * same kept connection. No request may be out at two workers at once.
 */
final class LateSecondAnswer extends Case {
    private static final long JOB_MILLIS = 60, TIMEOUT_MILLIS = 5000, LOAD_MILLIS = 20_000;
    /** How long behind the first answer the second one comes. */
    private static final long SECOND_ANSWER_MILLIS = 8;
    private static final int CLIENTS = 40, WORKERS = 6;
    /** One of so many answers has a second one. */
    private static final int SPOILT_OF = 4;

    /** A job that a worker ran: from the request's last byte until the worker had written its last line. */
    private record Span(String id, String worker, long from, long to) {}

    private final List<Span> spans = Collections.synchronizedList(new ArrayList<>());

    public static void main(String[] arguments) throws Exception {
        play(new LateSecondAnswer(), arguments[0]);
    }

    private final class SpoilingWorker extends Worker {
        SpoilingWorker(String uid) throws IOException {
            super(uid, JOB_MILLIS);
        }

        @Override
        void run(String id, HttpMessage request, Socket socket) throws IOException, InterruptedException {
            boolean spoilt = trouble && arrivals.size() % SPOILT_OF == 0;
            long from = Record.now();
            try {
                super.run(id, request, socket);
            } finally {
                spans.add(new Span(id, uid, from, Record.now()));
            }
            if (spoilt) {
                Listener.start(() -> answerAgain(id, socket));
            }
        }

        private void answerAgain(String id, Socket socket) {
            try {
                Thread.sleep(SECOND_ANSWER_MILLIS);
                write(socket.getOutputStream(), "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
                Record.line("worker " + uid + " has sent a second answer to " + id);
            } catch (IOException e) {
                Record.line("worker " + uid + " could not send a second answer to " + id + ": " + e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    boolean isBroken() throws Exception {
        Discovery discovery = new Discovery();
        for (int k = 1; k <= WORKERS; k++) {
            Worker worker = new SpoilingWorker("s-" + k);
            discovery.publish(
                    worker.uid, worker.address(), SchedulerConfig.ZONE, SchedulerConfig.MODEL, "Ready", 0);
        }
        Scheduler scheduler = new Scheduler(folder, Scheduler.freeAddress());
        scheduler.writeConfig(SchedulerConfig.json(scheduler.address, discovery.address(), null, false));
        scheduler.start();
        if (!scheduler.awaitReady()) {
            throw new IllegalStateException("the scheduler is not ready");
        }
        List<Load.Outcome> outcomes = Load.run(
                scheduler.address, CLIENTS, SchedulerConfig.SAFE_CLASS, TIMEOUT_MILLIS, Record.now() + LOAD_MILLIS);
        Thread.sleep(2 * JOB_MILLIS);
        long copies = countOverlaps();
        Record.line("jobs: " + outcomes.size() + "; run at two workers at once: " + copies);
        return copies > 0;
    }

    private long countOverlaps() {
        List<Span> all = List.copyOf(spans);
        Map<String, Span> first = new HashMap<>();
        long overlaps = 0;
        for (Span span : all) {
            Span other = first.putIfAbsent(span.id(), span);
            if (other != null && span.from() < other.to() && other.from() < span.to()) {
                Record.line(span.id() + " ran at " + other.worker() + " from " + other.from() + " to " + other.to()
                        + " and at " + span.worker() + " from " + span.from() + " to " + span.to());
                overlaps++;
            }
        }
        return overlaps;
    }
}
