package barrowshore.client;

import barrowshore.config.Config;
import barrowshore.module.DispatchApi;
import barrowshore.net.Clock;
import barrowshore.net.ConnectionManager;
import barrowshore.net.HttpLink;
import barrowshore.net.Mailbox;
import barrowshore.request.JobRequest;
import barrowshore.status.ServiceState;
import barrowshore.wire.SettingsReader;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Executor;
import java.util.concurrent.Semaphore;
import java.util.function.Supplier;
import java.util.regex.Pattern;
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
 * The clients' HTTP side: turns HTTP requests into job requests and final answers into responses. An actor that owns the set
 * of client connections and their limit; each connection is an actor of its own and owns at most one open job request. It
 * must never let a request that is not well formed reach the module, and never answer a request twice.
 */
public final class ClientConnections {
    private static final int MAX_BODY = 64 * 1024;
    private static final int MAX_HEADERS = 16 * 1024;
    /** Microseconds before the client's deadline at which a request is answered come what may: the answer's way back. */
    private static final long MARGIN = 25_000;
    /** How long a connection may stand idle that has had a job's answer. */
    private static final long IDLE = 120_000;
    /**
     * How long a request may take from the connection's first moment, or from its first byte on a connection that has
     * had a job's answer, until it is whole. The usual client sends it in one piece.
     */
    private static final long WHOLE = 2_000;
    /** How long one that comes when there is no room may take to say what for. */
    private static final long SHED = 200;
    /** How long a client may leave an answer unread. */
    private static final long UNREAD = 10_000;
    /** What a client is told to wait, in microseconds, that is shed before the module sees it. */
    private static final long SHED_DELAY = 1_000_000;
    /** How long a client may take to read the last answer and close. */
    private static final long LINGER = 1_000;
    /** Milliseconds after SIGTERM from which a request must be answered before the end, since nothing of it outlives us. */
    private static final long GRACE = 600;
    /** Slots and hints above this are no job's. */
    private static final double MOST_SLOTS = 64;

    private static final double MOST_HINT = 1e9;
    /** The longest time that a client may wait, in milliseconds. */
    private static final long LONGEST_WAIT = 3_600_000;

    private static final Pattern ID = Pattern.compile("[0-9A-Za-z._-]{1,64}");
    private static final Pattern WHOLE_NUMBER = Pattern.compile("[0-9]{1,9}");
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,10}(\\.[0-9]{1,9})?");
    /** What goes on to the server as it is: nothing that another reader might take for the end of a line. */
    private static final Pattern KEY = Pattern.compile("[!-~]([ -~]*[!-~])?");

    private static final Pattern TARGET = Pattern.compile("/[A-Za-z0-9._~:/?\\[\\]@!$&'()*+,;=%-]{0,4095}");
    /** What decides of a request; said twice, it says nothing. */
    private static final List<String> ONCE =
            List.of("X-Request-ID", "X-Priority-Class", "X-Tenant-Id", "X-Timeout-Ms", "X-Attrs", "Idempotency-Key");
    /** Bytes of request bodies held at once, over all connections: a quarter of the heap. */
    private static final int MOST_BYTES = 14 << 20;

    private static final byte[] NOTHING = new byte[0];

    private final Clock clock;
    private final Executor pool;
    private final Scheduler timers;
    private final JobRequest.RequestHandler desk;
    private final Semaphore bytes = new Semaphore(MOST_BYTES);
    /** What jobs may be; replaced whole. */
    private volatile Terms terms;

    private int most;
    private final Mailbox mailbox;
    private final Set<ClientLink> links = new HashSet<>();
    /**
     * Those to close when there are too many: ended but for the peer, oldest first; without a job yet, the longest there
     * first, whatever it asked for meanwhile; idle, oldest first.
     */
    private final Set<ClientLink> ending = new LinkedHashSet<>();

    private final Set<ClientLink> waiting = new TreeSet<>(Comparator.comparingLong(link -> link.number));
    private final Set<ClientLink> idle = new LinkedHashSet<>();
    private final Supplier<ServiceState> standing;
    private long cappedFrom = Long.MAX_VALUE;
    private long cap = Long.MAX_VALUE;
    private Runnable whenEmpty;
    /** Connections so far. */
    private long admitted;

    public ClientConnections(
            Config config,
            Clock clock,
            Executor pool,
            Scheduler timers,
            JobRequest.RequestHandler desk,
            Supplier<ServiceState> standing,
            int most) {
        this.clock = clock;
        this.pool = pool;
        this.timers = timers;
        this.desk = desk;
        this.standing = standing;
        this.terms = Terms.of(config);
        this.most = most;
        this.mailbox = new Mailbox("the client side", pool);
    }

    /** Jobs that come from now on are judged by this configuration; those whose head has come keep their class. */
    public void updateSettings(Config config) {
        terms = Terms.of(config);
    }

    /** Classes by number and those that are taken, tenants by number, what the classes are. */
    private record Terms(List<String> classes, Set<String> served, List<String> tenants, DispatchApi.JobClass[] types) {
        static Terms of(Config config) {
            return new Terms(config.classes(), config.acceptedClasses(), config.tenants(), config.settings().classes);
        }
    }

    public Connection accept(EndPoint endPoint) {
        return new ClientLink(endPoint);
    }

    /** The process may be killed so many milliseconds from now: requests that still come are answered before. */
    public void scheduleEnd(long millis) {
        long now = clock.micros();
        mailbox.post(() -> {
            cappedFrom = now + GRACE * 1000;
            cap = now + millis * 1000;
            links.forEach(link -> link.cap(cappedFrom, cap));
        });
    }

    /**
     * Closes connections without a request on them: those that have had a job's answer, or all of them. One without is about
     * to bring a request, or else its time runs out by itself.
     */
    public void closeIdle(boolean all) {
        mailbox.post(() -> links.forEach(link -> link.leave(all)));
    }

    /** So many connections are let be from now on; above it those go that nobody will miss. */
    public void setMaxConnections(int now) {
        mailbox.post(() -> {
            most = now;
            int over = links.size() - most;
            while (over > 0 && makeRoom()) {
                over--;
            }
        });
    }

    /** The message runs once no connection is left. */
    public void whenEmpty(Runnable message) {
        mailbox.post(() -> {
            whenEmpty = message;
            tellIfEmpty();
        });
    }

    private void opened(ClientLink link) {
        mailbox.post(() -> {
            link.number = ++admitted;
            links.add(link);
            link.cap(cappedFrom, cap);
            if (links.size() > most && !makeRoom()) {
                link.shed();
            }
            waiting.add(link);
            link.admitted();
        });
    }

    /**
     * Guards the limit on descriptors, for the usual clients: above it the connection goes that nobody will miss, the
     * longest there first. One that has had a job's answer goes last, and one with a request on it never.
     */
    private boolean makeRoom() {
        for (Set<ClientLink> some : List.of(ending, waiting, idle)) {
            Iterator<ClientLink> oldest = some.iterator();
            if (oldest.hasNext()) {
                ClientLink link = oldest.next();
                oldest.remove();
                link.closeIfIdle(true);
                return true;
            }
        }
        return false;
    }

    /** Where the link stands now; null: a request is on it. */
    private void stands(ClientLink link, Set<ClientLink> where) {
        mailbox.post(() -> {
            ending.remove(link);
            waiting.remove(link);
            idle.remove(link);
            if (where != null && links.contains(link)) {
                where.add(link);
            }
        });
    }

    private void closed(ClientLink link) {
        stands(link, null);
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

    /** A request that is turned away with a plain status before it becomes a job request. */
    private static final class BadRequest extends Exception {
        private static final long serialVersionUID = 1;
        final int status;

        BadRequest(int status, String why) {
            super(why, null, false, false);
            this.status = status;
        }
    }

    /** One client's connection. */
    final class ClientLink extends HttpLink
            implements HttpParser.RequestHandler, ConnectionManager.AcceptedConnection, JobRequest.Client {
        private String method;
        private String target;
        private HttpFields.Mutable fields;
        private ByteArrayOutputStream body;
        /** The HTTP request's head as a job request, still without its body; null: it asks whether we are ready. */
        private JobRequest head;

        private boolean busy;
        /** Whether a job has been answered here: a usual client's connection, as far as we can tell. */
        private boolean known;
        /** Whether a request is on its way in, its time running. */
        private boolean dribbling;
        /** Whether an answer is being written; whether that was the last and the peer is let read it. */
        private boolean answering;

        private boolean lingering;
        /** Whether a 100 is being written, and the answer that waits for it: a client may leave even that unread. */
        private boolean inviting;

        private Runnable behindInvitation;
        /** Whether it came when there was no room. */
        private boolean shedding;

        private boolean last;
        /** Its place among those that have come; the client side's. */
        private long number;

        private long cappedFrom = Long.MAX_VALUE;
        private long cap = Long.MAX_VALUE;
        private long firstByteAt;
        private int held;
        private JobRequest request;
        /** Whether the connection has ended; read by whoever is about to begin an attempt. */
        private volatile boolean gone;

        ClientLink(EndPoint endPoint) {
            super(endPoint, new Mailbox("a client", pool), timers);
            parser = new HttpParser((HttpParser.RequestHandler) this, MAX_HEADERS, HttpCompliance.RFC9110);
        }

        @Override
        protected void onConnected() {
            setTimeLimit(WHOLE);
            opened(this);
        }

        /** Read from only now, when it is known how its answers are to end. */
        private void admitted() {
            mailbox.post(this::read);
        }

        private void cap(long from, long at) {
            mailbox.post(() -> {
                cappedFrom = from;
                cap = at;
            });
        }

        private void leave(boolean also) {
            mailbox.post(() -> {
                if (also || known) {
                    closeIfIdle(false);
                }
            });
        }

        /**
         * Ends the connection unless a request is on it, or has come and is only not yet read. evicted: there is no room,
         * so half a request does not keep it, but it is told so.
         */
        private void closeIfIdle(boolean evicted) {
            mailbox.post(() -> {
                if (!busy) {
                    read(); // what is in the socket may be a whole request
                }
                if (isClosed()) {
                    return;
                }
                if (lingering) {
                    if (evicted) {
                        closeNow(); // else its own limit ends it: the last answer may still be on its way
                    }
                } else if (!busy && parser.isStart()) {
                    if (evicted && !known) {
                        closeNow(); // it has had nothing of us that could be lost, and room is needed now
                    } else {
                        linger();
                    }
                } else if (!busy && evicted) {
                    rejectUnserved();
                }
            });
        }

        /**
         * Ends our side first and reads to the peer's end: what crosses our end is thrown away, never served, and does not
         * turn the end into a reset that could eat the answer before it.
         */
        private void linger() {
            lingering = true;
            busy = true;
            stands(this, ending);
            closeGracefully(LINGER);
        }

        /** No room: one rejection as soon as it is known for what, or soon after. */
        private void shed() {
            mailbox.post(() -> {
                shedding = true;
                setTimeLimit(SHED);
            });
        }

        private void rejectUnserved() {
            busy = true;
            persistent = false;
            if (head != null) {
                desk.countTurnedAway(head.jobClass());
            }
            give(new JobRequest.Rejection(SHED_DELAY));
        }

        @Override
        protected boolean wantsBytes() {
            return !busy;
        }

        /** Guards the job of a client that sends much behind its request and goes: its going has to be noticed. */
        @Override
        protected boolean discardsOverflow() {
            persistent = false;
            return true;
        }

        @Override
        protected void read() {
            super.read();
            if (!busy && !isClosed() && !dribbling && !parser.isStart()) {
                dribbling = true;
                if (known) {
                    setTimeLimit(WHOLE); // else its time has run since the connection came up
                }
            }
        }

        /** Nothing, or half a request, when its time is up; what has come by now is still looked at. */
        @Override
        protected void onTimeLimit() {
            if (!busy) {
                read();
            }
            if (isClosed()) {
                return;
            }
            if (shedding && !busy) {
                rejectUnserved();
            } else if (answering || lingering || behindInvitation != null) {
                closeNow();
            } else if (!busy && parser.isStart()) {
                linger();
            } else if (!busy) {
                reject(408, "the request is not whole");
            }
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
            super.parsedHeader(field);
            fields.add(field);
        }

        /** All that a head can be wrong in is said before its body comes, so that no body is waited for in vain. */
        @Override
        public boolean headerComplete() {
            try {
                if (fields.getLongField(HttpHeader.CONTENT_LENGTH) > MAX_BODY) {
                    throw tooLarge();
                }
                head = target.equals("/-/ready") ? null : head();
            } catch (BadRequest e) {
                reject(e.status, e.getMessage());
                return true;
            }
            if (shedding) {
                rejectUnserved();
                return true;
            }
            if (fields.contains(HttpHeader.EXPECT, "100-continue")) {
                inviting = true;
                write(
                        new MetaData.Response(100, null, HttpVersion.HTTP_1_1, HttpFields.EMPTY),
                        NOTHING,
                        () -> mailbox.post(this::invited));
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
                BadRequest e = tooLarge();
                reject(e.status, e.getMessage());
                return true;
            }
            if (!bytes.tryAcquire(more)) {
                // Guards the limit on memory: many large bodies at once are shed before the heap is full.
                rejectUnserved();
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

        private static BadRequest tooLarge() {
            return new BadRequest(413, "the body is over " + MAX_BODY + " bytes");
        }

        /** An error ends the connection: whoever sent that has no claim to be read on, nor do we know where. */
        private void reject(int status, String why) {
            persistent = false;
            busy = true;
            plain(status, why);
        }

        @Override
        public boolean messageComplete() {
            if (busy) {
                return true;
            }
            busy = true;
            dribbling = false;
            setTimeLimit(0);
            stands(this, null);
            if (head == null) {
                // Looked at as the answer is given: once clients are sent away there is no yes any more.
                desk.askReady(listed -> mailbox.post(() -> {
                    boolean ready = listed && standing.get().acceptsClients();
                    plain(ready ? 200 : 503, ready ? "ready" : "not ready");
                }));
                return true;
            }
            request = head.withBody(body.toByteArray());
            desk.submit(request, this);
            return true;
        }

        /** Whether it is a POST with a body to a path served here, and no header of a job's is there twice. */
        private void checkForm(Terms terms, String path) throws BadRequest {
            if (!terms.served().contains(path)) {
                throw new BadRequest(404, "no such path");
            }
            if (!method.equals("POST")) {
                throw new BadRequest(405, "jobs come by POST");
            }
            if (!fields.contains(HttpHeader.CONTENT_LENGTH) && !fields.contains(HttpHeader.TRANSFER_ENCODING)) {
                throw new BadRequest(411, "Content-Length is missing");
            }
            for (String name : ONCE) {
                if (fields.getValuesList(name).size() > 1) {
                    throw new BadRequest(400, name + " is there twice");
                }
            }
        }

        /** Reads the HTTP request's head as a job request. */
        private JobRequest head() throws BadRequest {
            if (!TARGET.matcher(target).matches()) {
                throw new BadRequest(400, "the target cannot be read");
            }
            String path = target.substring(1).split("[/?;]", 2)[0];
            Terms terms = ClientConnections.this.terms;
            List<String> tenants = terms.tenants();
            checkForm(terms, path);
            String id = header("X-Request-ID");
            if (!ID.matcher(id).matches()) {
                throw new BadRequest(400, "X-Request-ID is not a word of at most 64 letters and digits");
            }
            if (!header("X-Priority-Class").equals(path)) {
                throw new BadRequest(400, "X-Priority-Class is not the path's class");
            }
            int tenant = tenants.isEmpty() ? -1 : tenants.indexOf(SettingsReader.normalizeName(header("X-Tenant-Id")));
            if (tenant < 0 && !tenants.isEmpty()) {
                throw new BadRequest(400, "X-Tenant-Id is not known");
            }
            long timeout = 1000 * (long) positive("X-Timeout-Ms", header("X-Timeout-Ms"), WHOLE_NUMBER, LONGEST_WAIT);
            double slots = 1;
            double hint = cost();
            String attrs = fields.get("X-Attrs");
            for (String pair : attrs == null || attrs.isBlank() ? new String[0] : attrs.split(",")) {
                int eq = pair.indexOf('=');
                if (eq < 0) {
                    throw new BadRequest(400, "X-Attrs is not name=value,name=value");
                }
                String value = pair.substring(eq + 1).strip();
                switch (pair.substring(0, eq).strip()) {
                    case "slots" -> slots = positive("X-Attrs slots", value, DECIMAL, MOST_SLOTS);
                    case "hint" -> hint = positive("X-Attrs hint", value, DECIMAL, MOST_HINT);
                    default -> {}
                }
            }
            long deadline = firstByteAt + timeout - Math.min(MARGIN, timeout / 4);
            int jobClass = terms.classes().indexOf(path);
            DispatchApi.RepeatSafety effect = terms.types()[jobClass].safety();
            // A keyed job's repeats could not be told without.
            String key = effect == DispatchApi.RepeatSafety.KEYED
                    ? header("Idempotency-Key")
                    : fields.get("Idempotency-Key");
            if (key != null && !KEY.matcher(key).matches()) {
                throw new BadRequest(400, "Idempotency-Key is not plain text");
            }
            return new JobRequest(
                    id,
                    jobClass,
                    tenant,
                    slots,
                    hint,
                    firstByteAt >= cappedFrom ? Math.min(deadline, cap) : deadline,
                    switch (effect) {
                        case SAFE -> JobRequest.NO_REPEAT_LIMIT;
                        case KEYED -> terms.types()[jobClass].repeatWindowMicros();
                        case UNSAFE -> 0;
                    },
                    method,
                    target,
                    key,
                    NOTHING);
        }

        /** The client's guess at the work, in microseconds; one that cannot be read is none: the job is whole without. */
        private double cost() {
            List<String> told = fields.getValuesList("X-Cost");
            double value =
                    told.size() == 1 && DECIMAL.matcher(told.get(0).strip()).matches()
                            ? Double.parseDouble(told.get(0).strip())
                            : 0;
            return value <= MOST_HINT ? value : 0;
        }

        private String header(String name) throws BadRequest {
            String value = fields.get(name);
            if (value == null || value.isBlank()) {
                throw new BadRequest(400, name + " is missing");
            }
            return value;
        }

        /** A number in plain digits; what else a parser of numbers would take is not a client's to send. */
        private static double positive(String name, String text, Pattern form, double most) throws BadRequest {
            if (form.matcher(text).matches()) {
                double value = Double.parseDouble(text);
                if (value > 0 && value <= most) {
                    return value;
                }
            }
            throw new BadRequest(400, name + " is not a positive number" + (form == DECIMAL ? " in range" : ""));
        }

        @Override
        public void answer(JobRequest.Answer answer) {
            mailbox.post(() -> give(answer));
        }

        @Override
        public boolean isGone() {
            return gone;
        }

        @Override
        public void checkConnection(Runnable then) {
            mailbox.post(() -> {
                read();
                then.run();
            });
        }

        private void give(JobRequest.Answer answer) {
            request = null;
            known |= !(answer instanceof JobRequest.IdInUse);
            if (answer instanceof JobRequest.Served served) {
                respond(
                        200,
                        HttpFields.build().add(HttpHeader.CONTENT_TYPE, "application/octet-stream"),
                        served.result());
            } else if (answer instanceof JobRequest.Rejection down) {
                HttpFields.Mutable extra = HttpFields.build();
                if (down.retryAfterMicros() > 0) {
                    extra.add(
                            HttpHeader.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", down.retryAfterMicros() / 1e6));
                }
                respond(503, extra, NOTHING);
            } else if (answer instanceof JobRequest.Failed failed) {
                plain(failed.timedOut() ? 504 : 502, failed.timedOut() ? "no answer in time" : "the job failed");
            } else if (answer instanceof JobRequest.IdInUse rejected) {
                reject(409, rejected.reason());
            }
        }

        private void plain(int status, String text) {
            HttpFields.Mutable extra = HttpFields.build().add(HttpHeader.CONTENT_TYPE, "text/plain");
            if (status == 405) {
                extra.add(HttpHeader.ALLOW, "POST");
            }
            respond(status, extra, (text + "\n").getBytes(StandardCharsets.UTF_8));
        }

        private void invited() {
            inviting = false;
            if (behindInvitation != null) {
                Runnable answer = behindInvitation;
                behindInvitation = null;
                answer.run();
            }
        }

        private void respond(int status, HttpFields.Mutable extra, byte[] content) {
            release();
            if (isClosed()) {
                return;
            }
            if (inviting) {
                behindInvitation = () -> respond(status, extra, content);
                setTimeLimit(UNREAD);
                return;
            }
            last = !persistent || standing.get().closesAfterAnswer();
            if (last) {
                extra.add(HttpHeader.CONNECTION, "close");
                stands(this, ending);
            }
            answering = true;
            setTimeLimit(UNREAD);
            write(
                    new MetaData.Response(status, null, HttpVersion.HTTP_1_1, extra, content.length),
                    content,
                    () -> mailbox.post(this::answered));
        }

        private void answered() {
            if (isClosed()) {
                return;
            }
            answering = false;
            if (last || isFlooded()) {
                linger();
                return;
            }
            busy = false;
            parser.reset();
            setTimeLimit(known ? IDLE : WHOLE);
            stands(this, known ? idle : waiting);
            read();
        }

        @Override
        public void badMessage(HttpException failure) {
            if (!busy && !isClosed()) {
                reject(failure.getCode(), failure.getReason() == null ? "bad request" : failure.getReason());
            }
        }

        @Override
        protected void onEnd(Throwable cause) {
            gone = true;
            closed(this);
            release();
            if (request != null) {
                desk.clientGone(request);
                request = null;
            }
        }
    }
}
