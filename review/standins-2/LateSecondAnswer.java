import java.io.IOException;
import java.io.OutputStream;
import java.io.PushbackInputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Second copies are not allowed. Some workers send a second answer some milliseconds behind their whole first one, on the
 * same kept connection. While an attempt is out on its open connection, no other attempt of its request may come.
 */
final class LateSecondAnswer extends Case {
    private static final long SHORTEST_JOB_MILLIS = 100, LONGEST_JOB_MILLIS = 300, TIMEOUT_MILLIS = 5000;
    private static final long LOAD_MILLIS = 20_000;
    /** How long behind the first answer the second one comes. */
    private static final long SECOND_ANSWER_MILLIS = 8;
    /** How long a worker takes to take a job; its answer begins then. */
    private static final long TAKE_MILLIS = 60;
    /** Two attempts have to be out together for longer than this: the news of an end may be on its way. */
    private static final long CROSSING_MILLIS = 20;
    /** How often a worker looks whether the scheduler has closed the connection of a job that it holds. */
    private static final int LOOK_MILLIS = 2;
    private static final int CLIENTS = 40, WORKERS = 6, SLOTS = 5;
    /** One of so many answers has a second one. */
    private static final int SPOILT_OF = 4;

    /**
     * An attempt: out from its last byte until its answer's end. It counts no longer than the worker could see its
     * connection open: until the scheduler ended it, or wrote a further request there, behind which no end is seen.
     */
    private record Span(String id, String worker, long from, long to) {}

    private final List<Span> spans = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger secondAnswers = new AtomicInteger();

    public static void main(String[] arguments) {
        play(new LateSecondAnswer(), arguments[0]);
    }

    private final class SpoilingWorker {
        private final String uid;
        private final Listener listener;
        private final AtomicInteger held = new AtomicInteger();
        private final AtomicInteger finished = new AtomicInteger();

        SpoilingWorker(String uid) throws IOException {
            this.uid = uid;
            this.listener = new Listener(socket -> new Link(this, socket).serve());
        }
    }

    /** One connection to a worker. */
    private final class Link {
        private final SpoilingWorker worker;
        private final Socket socket;
        private final PushbackInputStream in;
        private final OutputStream out;
        /** Answers begun on this connection; guarded by this, as each write is. */
        private int answersBegun;
        /** Until when the connection was seen open under the job that is held now; 0: it still is. */
        private long openUntilMillis;

        Link(SpoilingWorker worker, Socket socket) throws IOException {
            this.worker = worker;
            this.socket = socket;
            this.in = new PushbackInputStream(socket.getInputStream());
            this.out = socket.getOutputStream();
        }

        void serve() throws IOException, InterruptedException {
            socket.setSoTimeout(0);
            for (HttpMessage request = HttpMessage.read(in); request != null; request = HttpMessage.read(in)) {
                String id = request.headers().get("x-request-id");
                if (request.target().startsWith("/-/")) {
                    int load = worker.held.get();
                    String report = "{\"inflight\":" + load + ",\"x0\":" + Math.max(0, SLOTS - load) + "}";
                    begin("HTTP/1.1 200 OK\r\nContent-Length: " + report.length() + "\r\n\r\n" + report);
                } else if (id == null) {
                    begin("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                } else {
                    runJob(id);
                }
                socket.setSoTimeout(0);
            }
        }

        private void runJob(String id) throws IOException, InterruptedException {
            long from = Record.now();
            openUntilMillis = 0;
            Record.line("worker " + worker.uid + " got " + id);
            worker.held.incrementAndGet();
            boolean ended = false;
            try {
                hold(id, TAKE_MILLIS);
                begin("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + line(id, "\"state\":\"started\""));
                hold(id, ThreadLocalRandom.current().nextLong(SHORTEST_JOB_MILLIS, LONGEST_JOB_MILLIS));
                Record.line("worker " + worker.uid + " ran " + id);
                write(line(id, "\"state\":\"done\",\"result\":\"result of " + id + " by " + worker.uid + "\"")
                        + "0\r\n\r\n");
                ended = true;
            } finally {
                worker.held.decrementAndGet();
                spans.add(new Span(id, worker.uid, from, openUntilMillis > 0 ? openUntilMillis : Record.now()));
            }
            if (ended && trouble && worker.finished.incrementAndGet() % SPOILT_OF == 0) {
                int answered = answersBegun;
                Listener.start(() -> answerAgain(id, answered));
            }
        }

        private void hold(String id, long millis) throws IOException, InterruptedException {
            for (long end = Record.now() + millis; Record.now() < end; Thread.sleep(1)) {
                lookForEnd(id);
            }
        }

        /** Notes the scheduler's end of the connection, or a byte of a further request, which is left for later. */
        private void lookForEnd(String id) throws IOException {
            if (openUntilMillis > 0) {
                return;
            }
            socket.setSoTimeout(LOOK_MILLIS);
            try {
                int next = in.read();
                if (next >= 0) {
                    in.unread(next);
                }
                Record.line("worker " + worker.uid + " sees " + (next >= 0 ? "a further request behind " : "the end under ")
                        + id);
            } catch (SocketTimeoutException e) {
                return;
            } catch (IOException e) {
                Record.line("worker " + worker.uid + " sees a reset under " + id);
            }
            openUntilMillis = Record.now();
        }

        /** Writes the whole second answer, unless the answer to a further request has begun. */
        private synchronized void writeSecond(String id, int answered) throws IOException {
            if (answersBegun == answered) {
                write("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
                secondAnswers.incrementAndGet();
                Record.line("worker " + worker.uid + " has sent a second answer to " + id);
            }
        }

        private void answerAgain(String id, int answered) {
            try {
                Thread.sleep(SECOND_ANSWER_MILLIS);
                writeSecond(id, answered);
            } catch (IOException e) {
                Record.line("worker " + worker.uid + " could not send a second answer to " + id + ": " + e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private synchronized void begin(String text) throws IOException {
            answersBegun++;
            write(text);
        }

        private synchronized void write(String text) throws IOException {
            Worker.write(out, text);
        }

        private String line(String id, String fields) {
            String line = "{\"id\":\"" + id + "\",\"from\":\"" + worker.uid + "\"," + fields + "}\n";
            return Integer.toHexString(line.length()) + "\r\n" + line + "\r\n";
        }
    }

    @Override
    boolean isBroken() throws Exception {
        Discovery discovery = new Discovery();
        for (int k = 1; k <= WORKERS; k++) {
            SpoilingWorker worker = new SpoilingWorker("s-" + k);
            discovery.publish(
                    worker.uid, worker.listener.address(), SchedulerConfig.ZONE, SchedulerConfig.MODEL, "Ready", 0);
        }
        Scheduler scheduler = new Scheduler(folder, Scheduler.freeAddress());
        scheduler.writeConfig(SchedulerConfig.json(scheduler.address, discovery.address(), null, false));
        scheduler.start();
        require(scheduler.awaitReady(), "the scheduler is not ready");
        List<Load.Outcome> outcomes = Load.run(
                scheduler.address, CLIENTS, SchedulerConfig.SAFE_CLASS, TIMEOUT_MILLIS, Record.now() + LOAD_MILLIS);
        Thread.sleep(3 * LONGEST_JOB_MILLIS);
        require(Load.served(outcomes) > 0, "no job was served");
        long copies = countCopies();
        Record.line("jobs: " + outcomes.size() + "; second answers: " + secondAnswers + "; second copies: " + copies);
        return copies > 0;
    }

    private long countCopies() {
        List<Span> all = List.copyOf(spans);
        long copies = 0;
        for (int k = 0; k < all.size(); k++) {
            for (int n = 0; n < k; n++) {
                copies += areTogetherOut(all.get(n), all.get(k)) ? 1 : 0;
            }
        }
        return copies;
    }

    private static boolean areTogetherOut(Span one, Span other) {
        long together = Math.min(one.to(), other.to()) - Math.max(one.from(), other.from());
        if (!one.id().equals(other.id()) || together <= CROSSING_MILLIS) {
            return false;
        }
        Record.line(one.id() + " was out for " + together + " ms at " + one.worker() + " (" + one.from() + " to " + one.to()
                + ") and " + other.worker() + " (" + other.from() + " to " + other.to() + ")");
        return true;
    }
}
