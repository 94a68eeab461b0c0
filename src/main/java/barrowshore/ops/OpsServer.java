package barrowshore.ops;

import barrowshore.net.ConnectionManager;
import barrowshore.net.HttpLink;
import barrowshore.net.Mailbox;
import barrowshore.status.SchedulerMetrics;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * The operators' HTTP endpoint: one request per connection, answered from published values. It owns its listener, its
 * selector, two threads and the bounded set of open connections, so that it answers however busy the scheduler is. It
 * must never wait for an actor of the scheduler, and incomplete requests must never keep other callers out.
 */
public final class OpsServer {
    /** Upper bound on the file descriptors of this server: connections, listener and selector. */
    public static final int MAX_DESCRIPTORS = 48;

    private static final int THREAD_COUNT = 2;
    /** Above this, the oldest connection is closed unless it is being answered. */
    private static final int MAX_OPEN_CONNECTIONS = 32;
    /** Connections that may be accepted while evicted ones have yet to release their descriptors. */
    private static final int EVICTION_HEADROOM_CONNECTIONS = 8;

    private static final int MAX_CALL_HEADER_BYTES = 4096;
    private static final int MAX_BODY_BYTES = 4096;
    /** Time for a request to arrive completely. */
    private static final long REQUEST_TIMEOUT_MILLIS = 2_000;
    /** Time for the caller to read the answer. */
    private static final long ANSWER_TIMEOUT_MILLIS = 2_000;
    /** Time for the caller to close after the answer. */
    private static final long LINGER_MILLIS = 500;

    /** The scheduler as the endpoint sees it; called on the server's threads, so it must not block on an actor. */
    public interface SchedulerControl {
        boolean isReady();

        SchedulerMetrics metrics();

        /** Makes clients leave for other schedulers; false if the scheduler is ending. */
        boolean drain();

        /** Ends a drain; false if the scheduler is ending. */
        boolean activate();
    }

    private final ExecutorService pool = Executors.newFixedThreadPool(THREAD_COUNT);
    private final Mailbox mailbox = new Mailbox("the ops server", pool);
    private final Scheduler timers;
    private final SchedulerControl control;
    private final ConnectionManager connectionManager;
    private final ServerSocketChannel listener;
    private final Set<OpsConnection> connections = new LinkedHashSet<>();

    /** Starts serving on the listening socket and takes ownership of it. */
    public OpsServer(ServerSocketChannel listener, Scheduler timers, SchedulerControl control) throws Exception {
        this.listener = listener;
        this.timers = timers;
        this.control = control;
        this.connectionManager = new ConnectionManager(
                pool,
                timers,
                0,
                MAX_OPEN_CONNECTIONS + EVICTION_HEADROOM_CONNECTIONS,
                ANSWER_TIMEOUT_MILLIS,
                OpsConnection::new);
        connectionManager.start();
        connectionManager.listen(listener);
    }

    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) listener.getLocalAddress();
    }

    public void stop() throws IOException {
        listener.close();
        LifeCycle.stop(connectionManager);
        pool.shutdownNow();
    }

    /** Status, body and, with status 405, the Allow header of a response. */
    record Answer(int status, String body, String allowedMethod) {
        Answer(int status, String body) {
            this(status, body, null);
        }
    }

    static Answer handle(String method, String target, SchedulerControl control) {
        String path = target.split("\\?", 2)[0];
        String expectedMethod =
                switch (path) {
                    case "/v1/readyz", "/v1/metrics" -> "GET";
                    case "/v1/scheduler/drain", "/v1/scheduler/activate" -> "POST";
                    default -> null;
                };
        if (expectedMethod == null) {
            return new Answer(404, "no such call\n");
        }
        if (!expectedMethod.equals(method)) {
            return new Answer(405, "this call is a " + expectedMethod + "\n", expectedMethod);
        }
        return switch (path) {
            case "/v1/readyz" -> control.isReady() ? new Answer(200, "ready\n") : new Answer(503, "not ready\n");
            case "/v1/metrics" -> new Answer(200, control.metrics().metricLines());
            case "/v1/scheduler/drain" -> stateChangeAnswer(control.drain(), "clients are sent away\n");
            default -> stateChangeAnswer(control.activate(), "back to work\n");
        };
    }

    private static Answer stateChangeAnswer(boolean accepted, String text) {
        return accepted ? new Answer(200, text) : new Answer(409, "the scheduler is ending\n");
    }

    private void addConnection(OpsConnection connection) {
        mailbox.post(() -> {
            connections.add(connection);
            Iterator<OpsConnection> oldest = connections.iterator();
            if (connections.size() > MAX_OPEN_CONNECTIONS) {
                OpsConnection evicted = oldest.next();
                oldest.remove();
                evicted.closeUnlessAnswered();
            }
        });
    }

    /** One caller's connection, which carries one request and is closed after its answer. */
    private final class OpsConnection extends HttpLink
            implements HttpParser.RequestHandler, ConnectionManager.AcceptedConnection {
        private String method;
        private String target;
        private int bodyBytes;
        private boolean answered;

        OpsConnection(EndPoint endPoint) {
            super(endPoint, new Mailbox("an ops connection", pool), timers);
            parser = withoutFieldCache(
                    new HttpParser((HttpParser.RequestHandler) this, MAX_CALL_HEADER_BYTES, HttpCompliance.RFC9110));
        }

        @Override
        protected void onConnected() {
            setTimeLimit(REQUEST_TIMEOUT_MILLIS);
            addConnection(this);
            read();
        }

        private void closeUnlessAnswered() {
            mailbox.post(() -> {
                if (!answered) {
                    closeNow();
                }
            });
        }

        @Override
        protected boolean isParsingEnabled() {
            return !answered;
        }

        @Override
        public void startRequest(String method, String target, HttpVersion version) {
            this.method = method;
            this.target = target;
        }

        @Override
        public boolean content(ByteBuffer piece) {
            bodyBytes += piece.remaining();
            piece.position(piece.limit());
            if (bodyBytes > MAX_BODY_BYTES) {
                respond(new Answer(413, "a call has no body to speak of\n"));
                return true;
            }
            return false;
        }

        @Override
        public boolean messageComplete() {
            respond(handle(method, target, control));
            return true;
        }

        @Override
        public void badMessage(HttpException failure) {
            respond(new Answer(failure.getCode(), "the call cannot be read\n"));
        }

        private void respond(Answer answer) {
            if (answered || isClosed()) {
                return;
            }
            answered = true;
            setTimeLimit(ANSWER_TIMEOUT_MILLIS);
            HttpFields.Mutable headers = HttpFields.build()
                    .add(HttpHeader.CONTENT_TYPE, "text/plain")
                    .add(HttpHeader.CONNECTION, "close");
            if (answer.allowedMethod() != null) {
                headers.add(HttpHeader.ALLOW, answer.allowedMethod());
            }
            byte[] body = answer.body().getBytes(StandardCharsets.UTF_8);
            write(
                    new MetaData.Response(answer.status(), null, HttpVersion.HTTP_1_1, headers, body.length),
                    body,
                    () -> mailbox.post(() -> closeGracefully(LINGER_MILLIS)));
        }

        @Override
        protected void onClosed(Throwable cause) {
            OpsServer.this.mailbox.post(() -> connections.remove(this));
        }
    }
}
