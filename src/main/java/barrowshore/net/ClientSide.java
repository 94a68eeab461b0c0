package barrowshore.net;

import barrowshore.wire.SettingsReader;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.Semaphore;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * The clients' HTTP side: turns requests into flows and final answers into responses. An actor that owns the set of
 * client connections and their limit; each connection is an actor of its own and owns at most one open flow. It must
 * never let a request that is not well formed reach the module, and never answer a flow twice.
 */
final class ClientSide {
    private static final int MAX_BODY = 64 * 1024;
    private static final int MAX_HEADERS = 16 * 1024;
    /** Microseconds before the client's deadline at which a flow is answered come what may: the answer's way back. */
    private static final long MARGIN = 25_000;
    /** How long a connection may stand idle or a request dribble in. */
    private static final long IDLE = 120_000;
    /** What a client is told to wait, in microseconds, that is shed before the module sees it. */
    private static final long SHED_DELAY = 1_000_000;
    /** How long a client may take to read the last answer and close. */
    private static final long LINGER = 1_000;
    /** Bytes of request bodies held at once, over all connections: a quarter of the heap. */
    private static final int MOST_BYTES = 14 << 20;
    private static final byte[] NOTHING = new byte[0];

    private final Clock clock;
    private final Executor pool;
    private final Scheduler timers;
    private final ModuleActor module;
    private final Semaphore bytes = new Semaphore(MOST_BYTES);
    private final List<String> classes;
    private final List<String> tenants;
    private final int most;
    private final Mailbox mailbox;
    private final Set<ClientLink> links = new HashSet<>();
    private boolean draining;
    private Runnable whenEmpty;

    ClientSide(Config config, Clock clock, Executor pool, Scheduler timers, ModuleActor module, int most) {
        this.clock = clock;
        this.pool = pool;
        this.timers = timers;
        this.module = module;
        this.classes = config.classes();
        this.tenants = config.tenants();
        this.most = most;
        this.mailbox = new Mailbox("the client side", pool);
    }

    Connection accept(EndPoint endPoint) {
        return new ClientLink(endPoint);
    }

    /** From now on each answer ends its connection and idle ones are closed; the message runs once none is left. */
    void drain(Runnable message) {
        mailbox.post(() -> {
            draining = true;
            whenEmpty = message;
            links.forEach(ClientLink::drain);
            links.forEach(link -> link.closeIfIdle(null));
            tellIfEmpty();
        });
    }

    private void opened(ClientLink link) {
        mailbox.post(() -> {
            links.add(link);
            if (draining) {
                link.drain();
            } else if (links.size() > most) {
                // Guards the limit on descriptors: a connection above it gets one answer, a turn-down, and ends.
                // Idle ones are closed to make room, which a client is told to expect between requests.
                link.shed();
                links.forEach(other -> other.closeIfIdle(link));
            }
            link.admitted();
        });
    }

    private void closed(ClientLink link) {
        mailbox.post(() -> {
            links.remove(link);
            tellIfEmpty();
        });
    }

    private void tellIfEmpty() {
        if (whenEmpty != null && links.isEmpty()) {
            whenEmpty.run();
            whenEmpty = null;
        }
    }

    /** A request that is turned away with a plain status before it becomes a flow. */
    private static final class BadRequest extends Exception {
        private static final long serialVersionUID = 1;
        final int status;

        BadRequest(int status, String why) {
            super(why, null, false, false);
            this.status = status;
        }
    }

    /** One client's connection. */
    final class ClientLink extends HttpLink implements HttpParser.RequestHandler {
        private String method;
        private String target;
        private HttpFields.Mutable fields;
        private ByteArrayOutputStream body;
        private boolean persistent;
        private boolean busy;
        private boolean draining;
        private boolean shedding;
        private long firstByteAt;
        private int held;
        private Flow flow;

        ClientLink(EndPoint endPoint) {
            super(endPoint, new Mailbox("a client", pool), timers);
            parser = new HttpParser((HttpParser.RequestHandler) this, MAX_HEADERS, HttpCompliance.RFC9110);
        }

        @Override
        void begin() {
            limit(IDLE);
            opened(this);
        }

        /** Read from only now, when it is known how its answers are to end. */
        private void admitted() {
            mailbox.post(this::read);
        }

        private void drain() {
            mailbox.post(() -> draining = true);
        }

        private void closeIfIdle(ClientLink but) {
            mailbox.post(() -> {
                if (this == but || busy || !parser.isStart()) {
                    return;
                }
                if (hasUnread() || brokenWhileIdle()) {
                    read();   // what the look took from the socket is a request; nothing else would wake us for it
                } else {
                    shut();
                }
            });
        }

        private void shed() {
            mailbox.post(() -> shedding = true);
        }

        @Override
        boolean wantsBytes() {
            return !busy;
        }

        @Override
        public void startRequest(String method, String target, HttpVersion version) {
            this.method = method;
            this.target = target;
            persistent = version == HttpVersion.HTTP_1_1;
            fields = HttpFields.build();
            body = new ByteArrayOutputStream();
            firstByteAt = clock.micros();
        }

        @Override
        public void parsedHeader(HttpField field) {
            fields.add(field);
        }

        @Override
        public boolean headerComplete() {
            if (fields.contains(HttpHeader.CONNECTION, "close")) {
                persistent = false;
            }
            if (fields.getLongField(HttpHeader.CONTENT_LENGTH) > MAX_BODY) {
                tooLarge();
                return true;
            }
            if (fields.contains(HttpHeader.EXPECT, "100-continue")) {
                write(new MetaData.Response(100, null, HttpVersion.HTTP_1_1, HttpFields.EMPTY), NOTHING, () -> { });
            }
            return false;
        }

        @Override
        public boolean content(ByteBuffer piece) {
            if (busy) {
                return true;
            }
            int more = piece.remaining();
            if (body.size() + more > MAX_BODY) {
                tooLarge();
                return true;
            }
            if (!bytes.tryAcquire(more)) {
                // Guards the limit on memory: many large bodies at once are shed before the heap is full.
                persistent = false;
                busy = true;
                answer(new Flow.TurnDown(SHED_DELAY));
                return true;
            }
            held += more;
            byte[] copy = new byte[more];
            piece.get(copy);
            body.writeBytes(copy);
            return false;
        }

        private void release() {
            bytes.release(held);
            held = 0;
        }

        private void tooLarge() {
            persistent = false;   // the rest of the body is not read
            busy = true;
            plain(413, "the body is over " + MAX_BODY + " bytes");
        }

        @Override
        public boolean messageComplete() {
            if (busy) {
                return true;
            }
            busy = true;
            limit(0);
            try {
                if (target.equals("/-/ready")) {
                    module.ready(ready -> mailbox.post(() -> plain(ready ? 200 : 503, ready ? "ready" : "not ready")));
                    return true;
                }
                Flow read = flow();
                if (shedding) {
                    persistent = false;
                    answer(new Flow.TurnDown(SHED_DELAY));
                    return true;
                }
                flow = read;
                module.open(read, answer -> mailbox.post(() -> answer(answer)));
            } catch (BadRequest e) {
                plain(e.status, e.getMessage());
            }
            return true;
        }

        /** Reads the request as a flow. */
        private Flow flow() throws BadRequest {
            String path = target.startsWith("/") ? target.substring(1).split("[/?#;]", 2)[0] : "";
            if (!classes.contains(path)) {
                throw new BadRequest(404, "no such path");
            }
            if (!method.equals("POST")) {
                throw new BadRequest(405, "jobs come by POST");
            }
            String id = header("X-Request-ID");
            if (!header("X-Priority-Class").equals(path)) {
                throw new BadRequest(400, "X-Priority-Class is not the path's class");
            }
            int tenant = tenants.isEmpty() ? -1 : tenants.indexOf(SettingsReader.plain(header("X-Tenant-Id")));
            if (tenant < 0 && !tenants.isEmpty()) {
                throw new BadRequest(400, "X-Tenant-Id is not known");
            }
            long timeout = (long) (positive("X-Timeout-Ms", header("X-Timeout-Ms")) * 1000);
            double slots = 1;
            double hint = 0;
            String attrs = fields.get("X-Attrs");
            for (String pair : attrs == null || attrs.isBlank() ? new String[0] : attrs.split(",")) {
                int eq = pair.indexOf('=');
                if (eq < 0) {
                    throw new BadRequest(400, "X-Attrs is not name=value,name=value");
                }
                switch (pair.substring(0, eq).strip()) {
                    case "slots" -> slots = positive("X-Attrs slots", pair.substring(eq + 1));
                    case "hint" -> hint = positive("X-Attrs hint", pair.substring(eq + 1));
                    default -> { }
                }
            }
            return new Flow(id, classes.indexOf(path), tenant, slots, hint,
                    firstByteAt + timeout - Math.min(MARGIN, timeout / 4), method, target, body.toByteArray());
        }

        private String header(String name) throws BadRequest {
            String value = fields.get(name);
            if (value == null || value.isBlank()) {
                throw new BadRequest(400, name + " is missing");
            }
            return value;
        }

        private double positive(String name, String text) throws BadRequest {
            try {
                double value = Double.parseDouble(text.strip());
                if (value > 0 && value < 1e9) {
                    return value;
                }
            } catch (NumberFormatException e) {
                // said below
            }
            throw new BadRequest(400, name + " is not a positive number");
        }

        private void answer(Flow.Answer answer) {
            flow = null;
            if (answer instanceof Flow.Served served) {
                respond(200, HttpFields.build().add(HttpHeader.CONTENT_TYPE, "application/octet-stream"),
                        served.result());
            } else if (answer instanceof Flow.TurnDown down) {
                HttpFields.Mutable extra = HttpFields.build();
                if (down.retryAfter() > 0) {
                    extra.add(HttpHeader.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", down.retryAfter() / 1e6));
                }
                respond(503, extra, NOTHING);
            } else if (answer instanceof Flow.Failed failed) {
                plain(failed.late() ? 504 : 502, failed.late() ? "no answer in time" : "the job failed");
            } else if (answer instanceof Flow.Rejected rejected) {
                plain(409, rejected.why());
            }
        }

        private void plain(int status, String text) {
            HttpFields.Mutable extra = HttpFields.build().add(HttpHeader.CONTENT_TYPE, "text/plain");
            if (status == 405) {
                extra.add(HttpHeader.ALLOW, "POST");
            }
            respond(status, extra, (text + "\n").getBytes(StandardCharsets.UTF_8));
        }

        private void respond(int status, HttpFields.Mutable extra, byte[] content) {
            release();
            if (isClosed()) {
                return;
            }
            boolean last = !persistent || draining || shedding;
            if (last) {
                extra.add(HttpHeader.CONNECTION, "close");
            }
            write(new MetaData.Response(status, null, HttpVersion.HTTP_1_1, extra, content.length), content, () -> mailbox.post(() -> {
                if (last) {
                    finish(LINGER);
                } else {
                    busy = false;
                    parser.reset();
                    limit(IDLE);
                    read();
                }
            }));
        }

        @Override
        public void badMessage(HttpException failure) {
            if (!busy && !isClosed()) {
                persistent = false;
                busy = true;
                plain(failure.getCode(), failure.getReason() == null ? "bad request" : failure.getReason());
            }
        }

        @Override
        void onEnd(Throwable cause) {
            closed(this);
            release();
            if (flow != null) {
                module.clientGone(flow);
                flow = null;
            }
        }
    }
}
