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
 * The operators' door: one call a connection, answered from what others have published. It owns its listener, its
 * selector, two threads and the set of open calls with its bound, so that it answers however busy the rest is. It must
 * never wait for an actor of the scheduler, and never let a caller that finishes nothing keep the next one out.
 */
public final class OpsServer {
    /** Descriptors that it may hold, its own included. */
    public static final int MAX_DESCRIPTORS = 48;

    private static final int THREAD_COUNT = 2;
    /** Open calls; above it the oldest that is not being answered goes. */
    private static final int MAX_OPEN_CONNECTIONS = 32;

    private static final int MAX_HEADER_BYTES = 4096;
    private static final int MAX_BODY_BYTES = 4096;
    /** Milliseconds in which a call must be whole, in which its answer must be read, in which the caller closes. */
    private static final long REQUEST_TIMEOUT_MILLIS = 2_000;

    private static final long ANSWER_TIMEOUT_MILLIS = 2_000;
    private static final long LINGER_MILLIS = 500;

    /** What the calls ask of the scheduler; run on the door's threads, so it must only read or set published values. */
    public interface SchedulerControl {
        boolean isReady();

        SchedulerMetrics metrics();

        /** Sends clients away; false where that cannot be. */
        boolean drain();

        boolean activate();
    }

    private final ExecutorService pool = Executors.newFixedThreadPool(THREAD_COUNT);
    private final Mailbox mailbox = new Mailbox("the operators' door", pool);
    private final Scheduler timers;
    private final SchedulerControl control;
    private final ConnectionManager connectionManager;
    private final ServerSocketChannel listener;
    private final Set<OpsConnection> connections = new LinkedHashSet<>();

    /** Opens the door at the listening socket, which is its own from now on. */
    public OpsServer(ServerSocketChannel listener, Scheduler timers, SchedulerControl control) throws Exception {
        this.listener = listener;
        this.timers = timers;
        this.control = control;
        this.connectionManager = new ConnectionManager(
                pool, timers, 0, MAX_OPEN_CONNECTIONS + 8, ANSWER_TIMEOUT_MILLIS, OpsConnection::new);
        connectionManager.start();
        connectionManager.listen(listener);
    }

    /** Where it listens. */
    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) listener.getLocalAddress();
    }

    public void stop() throws IOException {
        listener.close();
        LifeCycle.stop(connectionManager);
        pool.shutdownNow();
    }

    /** What is answered to a call. */
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

    /** One caller's connection; it is read from at once and answered once. */
    private final class OpsConnection extends HttpLink
            implements HttpParser.RequestHandler, ConnectionManager.AcceptedConnection {
        private String method;
        private String target;
        private int bodyBytes;
        private boolean answered;

        OpsConnection(EndPoint endPoint) {
            super(endPoint, new Mailbox("a caller", pool), timers);
            parser = new HttpParser((HttpParser.RequestHandler) this, MAX_HEADER_BYTES, HttpCompliance.RFC9110);
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
        protected boolean wantsBytes() {
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
        protected void onEnd(Throwable cause) {
            OpsServer.this.mailbox.post(() -> connections.remove(this));
        }
    }
}
