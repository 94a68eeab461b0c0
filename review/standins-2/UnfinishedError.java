import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/**
 * Second copies are not allowed. Some answers of workers never end: an error's head and a part of its body. While such an
 * attempt is out on its open connection, no other attempt of its request may come.
 */
final class UnfinishedError extends Case {
    private static final long JOB_MILLIS = 50, TIMEOUT_MILLIS = 5000, LOAD_MILLIS = 10_000;
    /** Two attempts that overlap by less than this may have crossed. */
    private static final long SOCKET_SLACK_MILLIS = 50;
    private static final int CLIENTS = 4, WORKERS = 6;
    /** One of so many answers never ends. */
    private static final int SPOILT_OF = 10;

    /** An attempt whose answer never ended: out from its last byte until the scheduler closed the connection. */
    private record Span(String id, String worker, long from, long to) {}

    private final List<Span> spans = Collections.synchronizedList(new ArrayList<>());

    public static void main(String[] arguments) throws Exception {
        play(new UnfinishedError(), arguments[0]);
    }

    private final class SpoilingWorker extends Worker {
        SpoilingWorker(String uid) throws IOException {
            super(uid, JOB_MILLIS);
        }

        @Override
        void run(String id, HttpMessage request, Socket socket) throws IOException, InterruptedException {
            if (!trouble || arrivals.size() % SPOILT_OF != 0) {
                super.run(id, request, socket);
                return;
            }
            long from = Record.now();
            OutputStream out = socket.getOutputStream();
            write(out, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 200\r\n\r\nthe job");
            Record.line("worker " + uid + " begins an answer to " + id + " that never ends");
            try {
                while (socket.getInputStream().read() >= 0) {
                    // waits for the scheduler's close
                }
            } finally {
                spans.add(new Span(id, uid, from, Record.now()));
                Record.line("worker " + uid + " sees the connection of " + id + " closed");
            }
        }
    }

    @Override
    boolean isBroken() throws Exception {
        Discovery discovery = new Discovery();
        List<Worker> workers = new ArrayList<>();
        for (int k = 1; k <= WORKERS; k++) {
            Worker worker = new SpoilingWorker("s-" + k);
            workers.add(worker);
            discovery.publish(
                    worker.uid, worker.address(), SchedulerConfig.ZONE, SchedulerConfig.MODEL, "Ready", 0);
        }
        Scheduler scheduler = new Scheduler(folder, Scheduler.freeAddress());
        scheduler.writeConfig(
                SchedulerConfig.json("n1", scheduler.address, discovery.address(), null, null, false));
        scheduler.start(Map.of());
        if (!scheduler.awaitReady()) {
            throw new IllegalStateException("the scheduler is not ready");
        }
        Load.run(
                scheduler.address, CLIENTS, SchedulerConfig.SAFE_CLASS, TIMEOUT_MILLIS, Record.now() + LOAD_MILLIS);
        Thread.sleep(TIMEOUT_MILLIS);
        long copies = 0;
        for (Span span : List.copyOf(spans)) {
            for (Worker worker : workers) {
                copies += countCopies(span, worker);
            }
        }
        Record.line("attempts whose answer never ended: " + spans.size() + "; second copies beside them: " + copies);
        return copies > 0;
    }

    private static long countCopies(Span span, Worker worker) {
        return List.copyOf(worker.arrivals).stream()
                .filter(arrival -> arrival.id().equals(span.id())
                        && !worker.uid.equals(span.worker())
                        && arrival.firstByteMillis() >= span.from()
                        && arrival.firstByteMillis() + SOCKET_SLACK_MILLIS < span.to())
                .count();
    }
}
