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
 * A stand-in's side of one HTTP connection: reads requests one at a time and writes complete or chunked answers in order.
 * It owns the bytes not yet written; subclasses handle the requests.
 */
abstract class StandInLink extends HttpLink implements HttpParser.RequestHandler, ConnectionManager.AcceptedConnection {
    private final Deque<byte[]> unwritten = new ArrayDeque<>();
    private final StringBuilder body = new StringBuilder();
    private Map<String, String> headers = new HashMap<>();
    private String method;
    private String target;
    private boolean handlingRequest;
    private boolean writing;

    StandInLink(EndPoint endPoint, Mailbox mailbox, Scheduler timers) {
        super(endPoint, mailbox, timers);
        parser = new HttpParser((HttpParser.RequestHandler) this);
    }

    /** Called for each complete request; header names are in lower case. */
    abstract void handleRequest(String method, String target, Map<String, String> headers, String body);

    /** Writes a complete answer; then the next request is read. extraHeaders: lines with their CR LF. */
    void answer(int status, String extraHeaders, String content) {
        byte[] bytes = content.getBytes(StandardCharsets.UTF_8);
        enqueue("HTTP/1.1 " + status + " -\r\n" + extraHeaders + "Content-Length: " + bytes.length + "\r\n\r\n"
                + content);
        readNextRequest();
    }

    /** Starts a chunked answer. */
    void startStream() {
        enqueue("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    /** Writes a line of a chunked answer, in a chunk of its own. */
    void writeLine(String text) {
        byte[] bytes = (text + "\n").getBytes(StandardCharsets.UTF_8);
        enqueue(Integer.toHexString(bytes.length) + "\r\n" + text + "\n\r\n");
    }

    /** Ends a chunked answer; then the next request is read. */
    void endStream() {
        enqueue("0\r\n\r\n");
        readNextRequest();
    }

    private void readNextRequest() {
        handlingRequest = false;
        parser.reset();
        mailbox.post(this::read);
    }

    /** Called as bytes are queued to be sent to the peer, in one write. */
    void onWrite(int bytes) {}

    private void enqueue(String text) {
        if (isClosed()) {
            return;
        }
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        unwritten.add(bytes);
        onWrite(bytes.length);
        writeNext();
    }

    private void writeNext() {
        if (writing || unwritten.isEmpty() || isClosed()) {
            return;
        }
        writing = true;
        write(
                ByteBuffer.wrap(unwritten.poll()),
                () -> mailbox.post(() -> {
                    writing = false;
                    writeNext();
                }));
    }

    @Override
    protected boolean isParsingEnabled() {
        return !handlingRequest;
    }

    @Override
    public void startRequest(String requestMethod, String uri, HttpVersion version) {
        method = requestMethod;
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
        handlingRequest = true;
        handleRequest(method, target, headers, body.toString());
        return true;
    }
}
