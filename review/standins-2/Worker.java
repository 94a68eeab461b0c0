import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A stand-in for one worker: it runs each job for a fixed time and tells of its start and its end. */
class Worker {
    private static final int SLOTS = 5;

    /** A request that has come whole; firstByteMillis: in the time of the record. */
    record Arrival(String id, String target, long firstByteMillis) {}

    final String uid;
    /** All jobs that have come whole, in order. */
    final List<Arrival> arrivals = Collections.synchronizedList(new ArrayList<>());

    private final Listener listener;
    private final long jobMillis;
    private final AtomicInteger held = new AtomicInteger();
    /** A draining worker hands new jobs back. */
    volatile boolean draining;

    Worker(String uid, long jobMillis) throws IOException {
        this.uid = uid;
        this.jobMillis = jobMillis;
        this.listener = new Listener(this::serve);
    }

    String address() {
        return listener.address();
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        for (HttpMessage request = HttpMessage.read(socket.getInputStream());
                request != null;
                request = HttpMessage.read(socket.getInputStream())) {
            OutputStream out = socket.getOutputStream();
            String id = request.headers().get("x-request-id");
            if (request.target().startsWith("/-/")) {
                String load = "{\"inflight\":" + held.get() + ",\"x0\":" + Math.max(0, SLOTS - held.get()) + "}";
                write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + load.length() + "\r\n\r\n" + load);
            } else if (id == null) {
                write(out, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            } else {
                arrivals.add(new Arrival(id, request.target(), request.firstByteMillis()));
                Record.line("worker " + uid + " got " + id + " " + request.target());
                if (draining) {
                    write(out, "HTTP/1.1 503 Draining\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n");
                    Record.line("worker " + uid + " handed back " + id);
                } else {
                    held.incrementAndGet();
                    try {
                        run(id, request, socket);
                    } finally {
                        held.decrementAndGet();
                    }
                }
            }
        }
    }

    /** Runs one job and answers; subclasses may answer otherwise. */
    void run(String id, HttpMessage request, Socket socket) throws IOException, InterruptedException {
        OutputStream out = socket.getOutputStream();
        write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        writeLine(out, id, "\"state\":\"started\"");
        Thread.sleep(jobMillis);
        Record.line("worker " + uid + " ran " + id);
        writeLine(out, id, "\"state\":\"done\",\"result\":\"" + resultOf(id) + "\"");
        write(out, "0\r\n\r\n");
    }

    String resultOf(String id) {
        return "result of " + id + " by " + uid;
    }

    final void writeLine(OutputStream out, String id, String fields) throws IOException {
        String line = "{\"id\":\"" + id + "\",\"from\":\"" + uid + "\"," + fields + "}\n";
        write(out, Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }
}
