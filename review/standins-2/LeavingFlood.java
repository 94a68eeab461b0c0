import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Bad clients send a job and much more behind it at once, and go. Some answers of workers are spoilt. No attempt for such a job may
 * begin more than 0.1 s after its client has closed the connection.
 */
final class LeavingFlood extends Case {
    /** What a bad client sends behind its job: the head of a request with a body of 60 MB, and so much of that body. */
    private static final int ANNOUNCED_BYTES = 60_000_000, SENT_BYTES = 4_000_000;
    /** An attempt may begin so long after the close, with the slack of sockets and a scheduler that is held up. */
    private static final long ALLOWED_MILLIS = 100 + 50 + 150;
    private static final long SHORTEST_JOB_MILLIS = 300, LONGEST_JOB_MILLIS = 600, TIMEOUT_MILLIS = 5000;
    private static final int BAD_CLIENTS = 600, USUAL_CLIENTS = 4;
    /** One of so many answers is spoilt. */
    private static final int SPOILT_OF = 3;
    private static final long BETWEEN_BAD_CLIENTS_MILLIS = 50;

    private final Map<String, Long> closedMillis = new ConcurrentHashMap<>();

    public static void main(String[] arguments) throws Exception {
        play(new LeavingFlood(), arguments[0]);
    }

    /** A worker that spoils some of its answers: they end without their last line. */
    private static final class SpoilingWorker extends Worker {
        SpoilingWorker(String uid) throws IOException {
            super(uid, SHORTEST_JOB_MILLIS);
        }

        @Override
        void run(String id, HttpMessage request, Socket socket) throws IOException, InterruptedException {
            if (arrivals.size() % SPOILT_OF != 0) {
                super.run(id, request, socket);
                return;
            }
            OutputStream out = socket.getOutputStream();
            write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            writeLine(out, id, "\"state\":\"started\"");
            Thread.sleep(ThreadLocalRandom.current().nextLong(SHORTEST_JOB_MILLIS, LONGEST_JOB_MILLIS));
            Record.line("worker " + uid + " spoils its answer to " + id);
            write(out, "0\r\n\r\n");
        }
    }

    @Override
    boolean isBroken() throws Exception {
        Discovery discovery = new Discovery();
        List<Worker> workers = new ArrayList<>();
        for (int k = 1; k <= 6; k++) {
            workers.add(new SpoilingWorker("s-" + k));
        }
        for (Worker worker : workers) {
            discovery.publish(
                    worker.uid, worker.address(), SchedulerConfig.ZONE, SchedulerConfig.MODEL, "Ready", 0);
        }
        Scheduler scheduler = new Scheduler(folder, Scheduler.freeAddress());
        scheduler.writeConfig(SchedulerConfig.json(scheduler.address, discovery.address(), null));
        scheduler.start();
        if (!scheduler.awaitReady()) {
            throw new IllegalStateException("the scheduler is not ready");
        }
        long endMillis = Record.now() + BAD_CLIENTS * BETWEEN_BAD_CLIENTS_MILLIS;
        Listener.start(() -> sendBadClients(scheduler.address));
        List<Load.Outcome> outcomes =
                Load.run(scheduler.address, USUAL_CLIENTS, SchedulerConfig.SAFE_CLASS, TIMEOUT_MILLIS, endMillis);
        require(Load.served(outcomes) > 0, "no job was served");
        Thread.sleep(2 * LONGEST_JOB_MILLIS);
        return countLateAttempts(workers) > 0;
    }

    private long countLateAttempts(List<Worker> workers) {
        long late = 0;
        for (Worker worker : workers) {
            for (Worker.Arrival arrival : List.copyOf(worker.arrivals)) {
                Long closed = closedMillis.get(arrival.id());
                if (closed != null && arrival.firstByteMillis() - closed > ALLOWED_MILLIS) {
                    Record.line("attempt of " + arrival.id() + " at " + worker.uid + " began "
                            + (arrival.firstByteMillis() - closed) + " ms after its client had closed");
                    late++;
                }
            }
        }
        Record.line("clients that have gone: " + closedMillis.size() + "; attempts begun too late: " + late);
        return late;
    }

    private void sendBadClients(String address) {
        try {
            for (int k = 0; k < BAD_CLIENTS; k++) {
                Listener.start(() -> sendAndLeave(address));
                Thread.sleep(BETWEEN_BAD_CLIENTS_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendAndLeave(String address) {
        String id = Client.newId();
        int colon = address.indexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
            OutputStream out = socket.getOutputStream();
            byte[] job = (Client.head(id, SchedulerConfig.SAFE_CLASS, TIMEOUT_MILLIS, 1) + "x").getBytes(StandardCharsets.ISO_8859_1);
            if (trouble) {
                byte[] next = Client.head(Client.newId(), SchedulerConfig.SAFE_CLASS, TIMEOUT_MILLIS, ANNOUNCED_BYTES).getBytes(StandardCharsets.ISO_8859_1);
                byte[] all = new byte[job.length + next.length + SENT_BYTES];
                System.arraycopy(job, 0, all, 0, job.length);
                System.arraycopy(next, 0, all, job.length, next.length);
                out.write(all);
            } else {
                out.write(job);
            }
        } catch (IOException e) {
            Record.line("bad client of " + id + ": " + e);
        }
        closedMillis.put(id, Record.now());
        Record.line("bad client of " + id + " has gone");
    }
}
