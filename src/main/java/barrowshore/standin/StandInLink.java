package barrowshore.standin;

import barrowshore.net.ConnectionManager;
import barrowshore.net.HttpLink;
import barrowshore.net.Mailbox;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A stand-in's side of one connection: reads requests one at a time, writes whole answers or chunks in order. It owns
 * what is still to be written; what the requests mean, its subclass knows.
 */
abstract class StandInLink extends HttpLink implements HttpParser.RequestHandler, ConnectionManager.AcceptedConnection {
    private final Deque<byte[]> unsent = new ArrayDeque<>();
    private final StringBuilder body = new StringBuilder();
    private Map<String, String> headers = new HashMap<>();
    private String method;
    private String target;
    private boolean busy;
    private boolean writing;

    StandInLink(EndPoint endPoint, Mailbox mailbox, Scheduler timers) {
        super(endPoint, mailbox, timers);
        parser = new HttpParser((HttpParser.RequestHandler) this);
    }

    /** A whole request has come. */
    abstract void asked(String method, String target, Map<String, String> headers, String body);

    /** Writes a whole answer, after which the next request is read. */
    void answer(int status, String extra, String content) {
        byte[] bytes = content.getBytes(StandardCharsets.UTF_8);
        send("HTTP/1.1 " + status + " -\r\n" + extra + "Content-Length: " + bytes.length + "\r\n\r\n" + content);
        next();
    }

    /** Begins an answer in chunks. */
    void stream() {
        send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    /** A line of it, in a chunk of its own. */
    void line(String text) {
        byte[] bytes = (text + "\n").getBytes(StandardCharsets.UTF_8);
        send(Integer.toHexString(bytes.length) + "\r\n" + text + "\n\r\n");
    }

    /** Its end, after which the next request is read. */
    void endStream() {
        send("0\r\n\r\n");
        next();
    }

    private void next() {
        busy = false;
        parser.reset();
        mailbox.post(this::read);
    }

    /** So many bytes are on their way to the peer, in one write. */
    void sent(int bytes) {}

    private void send(String text) {
        if (isClosed()) {
            return;
        }
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        unsent.add(bytes);
        sent(bytes.length);
        flush();
    }

    private void flush() {
        if (writing || unsent.isEmpty() || isClosed()) {
            return;
        }
        writing = true;
        write(
                ByteBuffer.wrap(unsent.poll()),
                () -> mailbox.post(() -> {
                    writing = false;
                    flush();
                }));
    }

    @Override
    protected boolean wantsBytes() {
        return !busy;
    }

    @Override
    public void startRequest(String asked, String uri, HttpVersion version) {
        method = asked;
        target = uri;
        headers = new HashMap<>();
        body.setLength(0);
    }

    @Override
    public void parsedHeader(HttpField field) {
        super.parsedHeader(field);
        headers.put(field.getName().toLowerCase(Locale.ROOT), field.getValue());
    }

    @Override
    public boolean content(ByteBuffer bytes) {
        body.append(StandardCharsets.UTF_8.decode(bytes));
        return false;
    }

    @Override
    public boolean messageComplete() {
        busy = true;
        asked(method, target, headers, body.toString());
        return true;
    }
}
