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

    private static final int THREADS = 2;
    /** Open calls; above it the oldest that is not being answered goes. */
    private static final int MOST = 32;

    private static final int MAX_HEADERS = 4096;
    private static final int MAX_BODY = 4096;
    /** Milliseconds in which a call must be whole, in which its answer must be read, in which the caller closes. */
    private static final long WHOLE = 2_000;

    private static final long UNREAD = 2_000;
    private static final long LINGER = 500;

    /** What the calls ask of the scheduler; run on the door's threads, so it must only read or set published values. */
    public interface SchedulerControl {
        boolean isReady();

        SchedulerMetrics metrics();

        /** Sends clients away; false where that cannot be. */
        boolean drain();

        boolean activate();
    }

    private final ExecutorService pool = Executors.newFixedThreadPool(THREADS);
    private final Mailbox mailbox = new Mailbox("the operators' door", pool);
    private final Scheduler timers;
    private final SchedulerControl desk;
    private final ConnectionManager dialer;
    private final ServerSocketChannel server;
    private final Set<Call> calls = new LinkedHashSet<>();

    /** Opens the door at the listening socket, which is its own from now on. */
    public OpsServer(ServerSocketChannel server, Scheduler timers, SchedulerControl desk) throws Exception {
        this.server = server;
        this.timers = timers;
        this.desk = desk;
        this.dialer = new ConnectionManager(pool, timers, 0, MOST + 8, UNREAD, Call::new);
        dialer.start();
        dialer.listen(server);
    }

    /** Where it listens. */
    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) server.getLocalAddress();
    }

    public void stop() throws IOException {
        server.close();
        LifeCycle.stop(dialer);
        pool.shutdownNow();
    }

    /** What is answered to a call. */
    record Answer(int status, String text, String allow) {
        Answer(int status, String text) {
            this(status, text, null);
        }
    }

    static Answer answer(String method, String target, SchedulerControl desk) {
        String path = target.split("\\?", 2)[0];
        String wanted =
                switch (path) {
                    case "/v1/readyz", "/v1/metrics" -> "GET";
                    case "/v1/scheduler/drain", "/v1/scheduler/activate" -> "POST";
                    default -> null;
                };
        if (wanted == null) {
            return new Answer(404, "no such call\n");
        }
        if (!wanted.equals(method)) {
            return new Answer(405, "this call is a " + wanted + "\n", wanted);
        }
        return switch (path) {
            case "/v1/readyz" -> desk.isReady() ? new Answer(200, "ready\n") : new Answer(503, "not ready\n");
            case "/v1/metrics" -> new Answer(200, desk.metrics().metricLines());
            case "/v1/scheduler/drain" -> verb(desk.drain(), "clients are sent away\n");
            default -> verb(desk.activate(), "back to work\n");
        };
    }

    private static Answer verb(boolean done, String text) {
        return done ? new Answer(200, text) : new Answer(409, "the scheduler is ending\n");
    }

    private void opened(Call call) {
        mailbox.post(() -> {
            calls.add(call);
            Iterator<Call> oldest = calls.iterator();
            if (calls.size() > MOST) {
                Call first = oldest.next();
                oldest.remove();
                first.drop();
            }
        });
    }

    /** One caller's connection; it is read from at once and answered once. */
    private final class Call extends HttpLink
            implements HttpParser.RequestHandler, ConnectionManager.AcceptedConnection {
        private String method;
        private String target;
        private int size;
        private boolean answered;

        Call(EndPoint endPoint) {
            super(endPoint, new Mailbox("a caller", pool), timers);
            parser = new HttpParser((HttpParser.RequestHandler) this, MAX_HEADERS, HttpCompliance.RFC9110);
        }

        @Override
        protected void onConnected() {
            setTimeLimit(WHOLE);
            opened(this);
            read();
        }

        private void drop() {
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
            size += piece.remaining();
            piece.position(piece.limit());
            if (size > MAX_BODY) {
                respond(new Answer(413, "a call has no body to speak of\n"));
                return true;
            }
            return false;
        }

        @Override
        public boolean messageComplete() {
            respond(answer(method, target, desk));
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
            setTimeLimit(UNREAD);
            HttpFields.Mutable fields = HttpFields.build()
                    .add(HttpHeader.CONTENT_TYPE, "text/plain")
                    .add(HttpHeader.CONNECTION, "close");
            if (answer.allow() != null) {
                fields.add(HttpHeader.ALLOW, answer.allow());
            }
            byte[] text = answer.text().getBytes(StandardCharsets.UTF_8);
            write(
                    new MetaData.Response(answer.status(), null, HttpVersion.HTTP_1_1, fields, text.length),
                    text,
                    () -> mailbox.post(() -> closeGracefully(LINGER)));
        }

        @Override
        protected void onEnd(Throwable cause) {
            OpsServer.this.mailbox.post(() -> calls.remove(this));
        }
    }
}
