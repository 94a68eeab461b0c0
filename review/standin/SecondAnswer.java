import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A worker sends a second answer, some milliseconds behind the whole first one. The scheduler takes it for the end of the next request on
 * that connection, and sends this one to another worker while the first copy is out on the open connection.
 */
public final class SecondAnswer {
    /** "some milliseconds late". */
    private static final long SECOND_ANSWER_MILLIS = 8;
    /** How long a job waits at a worker before that takes it, and then runs. */
    private static final long QUEUE_MILLIS = 60, JOB_MILLIS = 150;
    /** Time for a close by the scheduler to arrive. */
    private static final long CLOSE_SLACK_MILLIS = 20;
    private static final int WORKERS = 6;
    private static final double SPOILT_SHARE = 0.1;
    private static final int REQUESTS = 1000;
    private static final long REQUEST_INTERVAL_MILLIS = 18;

    /** A request at a worker, out until it is answered or its connection has ended. */
    private record Copy(Trial.WorkerConnection connection, long sinceMillis) {}

    public static void main(String[] arguments) {
        Trial.run(arguments, SecondAnswer::play);
    }

    private static boolean play(Trial trial) throws Exception {
        Map<String, List<Copy>> copiesOut = new ConcurrentHashMap<>();
        AtomicInteger doubles = new AtomicInteger(), ranTwice = new AtomicInteger(), spoilt = new AtomicInteger();
        Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
        Random random = new Random(1);
        Trial.WorkerBehaviour serve = (connection, request) -> {
            String id = request.header("X-Request-ID");
            long now = trial.millis();
            synchronized (copiesOut) {
                List<Copy> copies = copiesOut.computeIfAbsent(id, i -> new ArrayList<>());
                copies.removeIf(copy -> copy.connection.isEnded());
                for (Copy copy : copies) {
                    // Not counted if the scheduler's close of the first copy's connection is just on its way.
                    Trial.inThread("check", () -> {
                        Trial.sleep(CLOSE_SLACK_MILLIS);
                        if (!copy.connection.isEnded()) {
                            doubles.incrementAndGet();
                            trial.say("SECOND COPY of " + id + " came to " + connection.worker.uid + " at " + now
                                    + "; the first at " + copy.connection.worker.uid + " came at " + copy.sinceMillis
                                    + " and is out on an open connection");
                        }
                    });
                }
                copies.add(new Copy(connection, now));
            }
            trial.say(connection.worker.uid + " got " + id);
            connection.onEnded = () -> trial.say("a connection to " + connection.worker.uid + " ended; last request " + id);
            boolean isSpoilt;
            synchronized (random) {
                isSpoilt = trial.trouble && random.nextDouble() < SPOILT_SHARE;
            }
            Runnable ended = () -> {
                synchronized (copiesOut) {
                    copiesOut.get(id).removeIf(copy -> copy.connection == connection);
                }
            };
            runs.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
            connection.then(QUEUE_MILLIS, () -> connection.writeStarted(id));
            connection.then(JOB_MILLIS, () -> {
                connection.writeLast(id, "done", ",\"result\":\"" + id + "\"");
                ended.run();
            });
            if (isSpoilt) {
                spoilt.incrementAndGet();
                connection.then(SECOND_ANSWER_MILLIS, () -> {
                    trial.say(connection.worker.uid + " sends a second answer behind that of " + id);
                    connection.write("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
                });
            }
        };
        Trial.Discovery discovery = trial.new Discovery(1);
        for (int k = 1; k <= WORKERS; k++) {
            Trial.Worker worker = trial.new Worker("s-" + k, serve);
            discovery.publish(worker.uid, worker.entry("Ready"));
        }
        Trial.SchedulerUnderTest scheduler = trial.new SchedulerUnderTest();
        scheduler.configure(
                discovery.port,
                discovery.wholeList(),
                Trial.settings(false, 1_000_000, Trial.jobClass("proof", 1_000_000, 10_000_000, "idempotent")));
        scheduler.start();
        AtomicInteger served = new AtomicInteger(), others = new AtomicInteger();
        for (int k = 0; k < REQUESTS; k++) {
            String id = "r" + k;
            Trial.inThread("client", () -> {
                try (Trial.ClientConnection client = new Trial.ClientConnection(scheduler.port)) {
                    trial.say("client wrote " + id);
                    Trial.Message answer = client.ask(Trial.request("proof", id, 10_000, "image"), 11_000);
                    trial.say("client got " + answer.status + " for " + id);
                    (answer.status == 200 ? served : others).incrementAndGet();
                }
            });
            Trial.sleep(REQUEST_INTERVAL_MILLIS);
        }
        Trial.sleep(1000);
        runs.values().forEach(count -> ranTwice.addAndGet(count.get() > 1 ? 1 : 0));
        trial.say("served " + served + ", otherwise answered " + others + ", second answers " + spoilt + ", requests run twice "
                + ranTwice + ", second copies while the first was out " + doubles);
        if (served.get() == 0) {
            throw new IllegalStateException("nothing was served");
        }
        return doubles.get() == 0;
    }
}
