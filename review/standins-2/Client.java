import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** A stand-in for one client: one connection, one request at a time. Used by one thread. */
final class Client implements AutoCloseable {
    private static final AtomicLong NEXT_ID = new AtomicLong(1);
    /** How long a client goes on reading after its time: far longer than an answer may be late. */
    static final int READ_EXTRA_MILLIS = 3000;

    /** status 0: no whole answer came; then the text says what ended the wait. */
    record Answer(int status, String text, long millis) {}

    private final String address;
    private Socket socket;

    Client(String address) {
        this.address = address;
    }

    static String newId() {
        return "job" + NEXT_ID.getAndIncrement();
    }

    private void connect() throws IOException {
        if (socket == null) {
            int colon = address.indexOf(':');
            Socket next = new Socket();
            next.setTcpNoDelay(true);
            next.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    1000);
            socket = next;
        }
    }

    /** The head of a job's request. */
    static String head(String id, String jobClass, long timeoutMillis, int bodyBytes) {
        return "POST /" + jobClass + " HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: " + id + "\r\nX-Priority-Class: "
                + jobClass + "\r\nX-Tenant-Id: " + SchedulerConfig.TENANT + "\r\nX-Timeout-Ms: " + timeoutMillis
                + "\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
    }

    /** Sends one job and waits for its answer. */
    Answer submit(String id, String jobClass, long timeoutMillis, byte[] body) {
        byte[] headBytes = head(id, jobClass, timeoutMillis, body.length).getBytes(StandardCharsets.ISO_8859_1);
        byte[] message = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, message, 0, headBytes.length);
        System.arraycopy(body, 0, message, headBytes.length, body.length);
        Record.line("client sends " + id + " " + jobClass);
        Answer answer = exchange(message, timeoutMillis + READ_EXTRA_MILLIS);
        Record.line("client has " + answer.status() + " for " + id + " after " + answer.millis() + " ms: "
                + answer.text().strip());
        return answer;
    }

    Answer get(String target) {
        return exchange(
                ("GET " + target + " HTTP/1.1\r\nHost: app.svc\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1), 2000);
    }

    private Answer exchange(byte[] message, long readMillis) {
        long start = Record.now();
        try {
            connect();
            socket.setSoTimeout((int) readMillis);
            socket.getOutputStream().write(message);
            HttpMessage response = HttpMessage.read(socket.getInputStream());
            if (response == null) {
                close();
                return new Answer(0, "closed without an answer", Record.now() - start);
            }
            if ("close".equalsIgnoreCase(response.headers().get("connection"))) {
                close();
            }
            return new Answer(response.status(), response.text(), Record.now() - start);
        } catch (IOException e) {
            close();
            return new Answer(0, e.toString(), Record.now() - start);
        }
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // nothing is left to do
        }
        socket = null;
    }
}
