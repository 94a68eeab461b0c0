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
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    /** Microseconds before the client's deadline at which a request is answered come what may: the answer's way back. */
    private static final long ANSWER_MARGIN_MICROS = 25_000;
    /** How long a connection may stand idle that has had a job's answer. */
    private static final long IDLE_TIMEOUT_MILLIS = 120_000;
    /**
     * How long a request may take from the connection's first moment, or from its first byte on a connection that has
     * had a job's answer, until it is whole. The usual client sends it in one piece.
     */
    private static final long REQUEST_TIMEOUT_MILLIS = 2_000;
    /** How long one that comes when there is no room may take to say what for. */
    private static final long OVERLOAD_REQUEST_TIMEOUT_MILLIS = 200;
    /** How long a client may leave an answer unread. */
    private static final long ANSWER_TIMEOUT_MILLIS = 10_000;
    /** What a client is told to wait, in microseconds, that is shed before the module sees it. */
    private static final long OVERLOAD_RETRY_AFTER_MICROS = 1_000_000;
    /** How long a client may take to read the last answer and close. */
    private static final long LINGER_MILLIS = 1_000;
    /** Milliseconds after SIGTERM from which a request must be answered before the end, since nothing of it outlives us. */
    private static final long SHUTDOWN_GRACE_MILLIS = 600;
    /** Slots and hints above this are no job's. */
    private static final double MAX_JOB_SLOTS = 64;

    private static final double MAX_WORK_HINT_MICROS = 1e9;
    /** The longest time that a client may wait, in milliseconds. */
    private static final long MAX_TIMEOUT_MILLIS = 3_600_000;

    private static final Pattern REQUEST_ID_PATTERN = Pattern.compile("[0-9A-Za-z._-]{1,64}");
    private static final Pattern INTEGER_PATTERN = Pattern.compile("[0-9]{1,9}");
    private static final Pattern DECIMAL_PATTERN = Pattern.compile("[0-9]{1,10}(\\.[0-9]{1,9})?");
    /** What goes on to the server as it is: nothing that another reader might take for the end of a line. */
    private static final Pattern IDEMPOTENCY_KEY_PATTERN = Pattern.compile("[!-~]([ -~]*[!-~])?");

    private static final Pattern TARGET_PATTERN = Pattern.compile("/[A-Za-z0-9._~:/?\\[\\]@!$&'()*+,;=%-]{0,4095}");
    /** What decides of a request; said twice, it says nothing. */
    private static final List<String> SINGLE_VALUE_HEADERS =
            List.of("X-Request-ID", "X-Priority-Class", "X-Tenant-Id", "X-Timeout-Ms", "X-Attrs", "Idempotency-Key");
    /** Bytes of request bodies held at once, over all connections: a quarter of the heap. */
    private static final int MAX_BUFFERED_BODY_BYTES = 14 << 20;

    private static final byte[] NO_BYTES = new byte[0];

    private final Clock clock;
    private final Executor pool;
    private final Scheduler timers;
    private final JobRequest.RequestHandler requestHandler;
    private final Semaphore bodyBytePermits = new Semaphore(MAX_BUFFERED_BODY_BYTES);
    /** What jobs may be; replaced whole. */
    private volatile JobRules jobRules;

    private int maxConnections;
    private final Mailbox mailbox;
    private final Set<ClientConnection> connections = new HashSet<>();
    /**
     * Those to close when there are too many: ended but for the peer, oldest first; without a job yet, the longest there
     * first, whatever it asked for meanwhile; idle, oldest first.
     */
    private final Set<ClientConnection> closing = new LinkedHashSet<>();

    private final Set<ClientConnection> unanswered =
            new TreeSet<>(Comparator.comparingLong(connection -> connection.sequenceNumber));
    private final Set<ClientConnection> idle = new LinkedHashSet<>();
    private final Supplier<ServiceState> serviceState;
    private long deadlineCapFromMicros = Long.MAX_VALUE;
    private long deadlineCapMicros = Long.MAX_VALUE;
    private Runnable whenEmpty;
    /** Connections so far. */
    private long acceptedCount;

    public ClientConnections(
            Config config,
            Clock clock,
            Executor pool,
            Scheduler timers,
            JobRequest.RequestHandler requestHandler,
            Supplier<ServiceState> serviceState,
            int maxConnections) {
        this.clock = clock;
        this.pool = pool;
        this.timers = timers;
        this.requestHandler = requestHandler;
        this.serviceState = serviceState;
        this.jobRules = JobRules.of(config);
        this.maxConnections = maxConnections;
        this.mailbox = new Mailbox("the client side", pool);
    }

    /** Jobs that come from now on are judged by this configuration; those whose head has come keep their class. */
    public void updateSettings(Config config) {
        jobRules = JobRules.of(config);
    }

    /** Classes by number and those that are taken, tenants by number, what the classes are. */
    private record JobRules(
            List<String> classes,
            Set<String> acceptedClasses,
            List<String> tenants,
            DispatchApi.JobClass[] classTypes) {
        static JobRules of(Config config) {
            return new JobRules(
                    config.classes(), config.acceptedClasses(), config.tenants(), config.settings().classes);
        }
    }

    public Connection accept(EndPoint endPoint) {
        return new ClientConnection(endPoint);
    }

    /** The process may be killed so many milliseconds from now: requests that still come are answered before. */
    public void scheduleEnd(long millisToKill) {
        long now = clock.micros();
        mailbox.post(() -> {
            deadlineCapFromMicros = now + SHUTDOWN_GRACE_MILLIS * 1000;
            deadlineCapMicros = now + millisToKill * 1000;
            connections.forEach(connection -> connection.capDeadlines(deadlineCapFromMicros, deadlineCapMicros));
        });
    }

    /**
     * Closes connections without a request on them: those that have had a job's answer, or all of them. One without is about
     * to bring a request, or else its time runs out by itself.
     */
    public void closeIdle(boolean all) {
        mailbox.post(() -> connections.forEach(connection -> connection.closeIdleConnection(all)));
    }

    /** So many connections are let be from now on; above it those go that nobody will miss. */
    public void setMaxConnections(int limit) {
        mailbox.post(() -> {
            maxConnections = limit;
            int excess = connections.size() - maxConnections;
            while (excess > 0 && evictOldest()) {
                excess--;
            }
        });
    }

    /** The message runs once no connection is left. */
    public void whenEmpty(Runnable action) {
        mailbox.post(() -> {
            whenEmpty = action;
            notifyIfEmpty();
        });
    }

    private void addConnection(ClientConnection connection) {
        mailbox.post(() -> {
            connection.sequenceNumber = ++acceptedCount;
            connections.add(connection);
            connection.capDeadlines(deadlineCapFromMicros, deadlineCapMicros);
            if (connections.size() > maxConnections && !evictOldest()) {
                connection.markOverLimit();
            }
            unanswered.add(connection);
            connection.startReading();
        });
    }

    /**
     * Guards the limit on descriptors, for the usual clients: above it the connection goes that nobody will miss, the
     * longest there first. One that has had a job's answer goes last, and one with a request on it never.
     */
    private boolean evictOldest() {
        for (Set<ClientConnection> group : List.of(closing, unanswered, idle)) {
            Iterator<ClientConnection> oldest = group.iterator();
            if (oldest.hasNext()) {
                ClientConnection evicted = oldest.next();
                oldest.remove();
                evicted.closeIfIdle(true);
                return true;
            }
        }
        return false;
    }

    /** Where the link stands now; null: a request is on it. */
    private void setEvictionGroup(ClientConnection connection, Set<ClientConnection> group) {
        mailbox.post(() -> {
            closing.remove(connection);
            unanswered.remove(connection);
            idle.remove(connection);
            if (group != null && connections.contains(connection)) {
                group.add(connection);
            }
        });
    }

    private void removeConnection(ClientConnection connection) {
        setEvictionGroup(connection, null);
        mailbox.post(() -> {
            connections.remove(connection);
            notifyIfEmpty();
        });
    }

    private void notifyIfEmpty() {
        if (whenEmpty != null && connections.isEmpty()) {
            whenEmpty.run();
            whenEmpty = null;
        }
    }

    /** A request that is turned away with a plain status before it becomes a job request. */
    private static final class BadRequest extends Exception {
        private static final long serialVersionUID = 1;
        final int status;

        BadRequest(int status, String reason) {
            super(reason, null, false, false);
            this.status = status;
        }
    }

    /** One client's connection. */
    final class ClientConnection extends HttpLink
            implements HttpParser.RequestHandler, ConnectionManager.AcceptedConnection, JobRequest.Client {
        private String method;
        private String target;
        private HttpFields.Mutable headers;
        private ByteArrayOutputStream body;
        /** The HTTP request's head as a job request, still without its body; null: it asks whether we are ready. */
        private JobRequest requestHead;

        private boolean busy;
        /** Whether a job has been answered here: a usual client's connection, as far as we can tell. */
        private boolean jobAnswered;
        /** Whether a request is on its way in, its time running. */
        private boolean receivingRequest;
        /** Whether an answer is being written; whether that was the last and the peer is let read it. */
        private boolean writingAnswer;

        private boolean lingering;
        /** Whether a 100 is being written, and the answer that waits for it: a client may leave even that unread. */
        private boolean writingContinue;

        private Runnable answerAfterContinue;
        /** Whether it came when there was no room. */
        private boolean overLimit;

        private boolean closeAfterAnswer;
        /** Its place among those that have come; the client side's. */
        private long sequenceNumber;

        private long deadlineCapFromMicros = Long.MAX_VALUE;
        private long deadlineCapMicros = Long.MAX_VALUE;
        private long firstByteMicros;
        private int bufferedBytes;
        private JobRequest openRequest;
        /** Whether the connection has ended; read by whoever is about to begin an attempt. */
        private volatile boolean gone;

        ClientConnection(EndPoint endPoint) {
            super(endPoint, new Mailbox("a client", pool), timers);
            parser = new HttpParser((HttpParser.RequestHandler) this, MAX_HEADER_BYTES, HttpCompliance.RFC9110);
        }

        @Override
        protected void onConnected() {
            setTimeLimit(REQUEST_TIMEOUT_MILLIS);
            addConnection(this);
        }

        /** Read from only now, when it is known how its answers are to end. */
        private void startReading() {
            mailbox.post(this::read);
        }

        private void capDeadlines(long fromMicros, long capMicros) {
            mailbox.post(() -> {
                deadlineCapFromMicros = fromMicros;
                deadlineCapMicros = capMicros;
            });
        }

        private void closeIdleConnection(boolean includeUnanswered) {
            mailbox.post(() -> {
                if (includeUnanswered || jobAnswered) {
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
                    if (evicted && !jobAnswered) {
                        closeNow(); // it has had nothing of us that could be lost, and room is needed now
                    } else {
                        linger();
                    }
                } else if (!busy && evicted) {
                    rejectOverload();
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
            setEvictionGroup(this, closing);
            closeGracefully(LINGER_MILLIS);
        }

        /** No room: one rejection as soon as it is known for what, or soon after. */
        private void markOverLimit() {
            mailbox.post(() -> {
                overLimit = true;
                setTimeLimit(OVERLOAD_REQUEST_TIMEOUT_MILLIS);
            });
        }

        private void rejectOverload() {
            busy = true;
            persistent = false;
            if (requestHead != null) {
                requestHandler.countTurnedAway(requestHead.jobClass());
            }
            sendAnswer(new JobRequest.Rejection(OVERLOAD_RETRY_AFTER_MICROS));
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
            if (!busy && !isClosed() && !receivingRequest && !parser.isStart()) {
                receivingRequest = true;
                if (jobAnswered) {
                    setTimeLimit(REQUEST_TIMEOUT_MILLIS); // else its time has run since the connection came up
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
            if (overLimit && !busy) {
                rejectOverload();
            } else if (writingAnswer || lingering || answerAfterContinue != null) {
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
            headers = HttpFields.build();
            body = new ByteArrayOutputStream();
            firstByteMicros = clock.micros();
        }

        @Override
        public void parsedHeader(HttpField field) {
            super.parsedHeader(field);
            headers.add(field);
        }

        /** All that a head can be wrong in is said before its body comes, so that no body is waited for in vain. */
        @Override
        public boolean headerComplete() {
            try {
                if (headers.getLongField(HttpHeader.CONTENT_LENGTH) > MAX_BODY_BYTES) {
                    throw tooLarge();
                }
                requestHead = target.equals("/-/ready") ? null : parseHead();
            } catch (BadRequest e) {
                reject(e.status, e.getMessage());
                return true;
            }
            if (overLimit) {
                rejectOverload();
                return true;
            }
            if (headers.contains(HttpHeader.EXPECT, "100-continue")) {
                writingContinue = true;
                write(
                        new MetaData.Response(100, null, HttpVersion.HTTP_1_1, HttpFields.EMPTY),
                        NO_BYTES,
                        () -> mailbox.post(this::onContinueWritten));
            }
            return false;
        }

        @Override
        public boolean content(ByteBuffer piece) {
            if (busy) {
                return true;
            }
            int pieceBytes = piece.remaining();
            if (body.size() + pieceBytes > MAX_BODY_BYTES) {
                BadRequest e = tooLarge();
                reject(e.status, e.getMessage());
                return true;
            }
            if (!bodyBytePermits.tryAcquire(pieceBytes)) {
                // Guards the limit on memory: many large bodies at once are shed before the heap is full.
                rejectOverload();
                return true;
            }
            bufferedBytes += pieceBytes;
            byte[] copy = new byte[pieceBytes];
            piece.get(copy);
            body.writeBytes(copy);
            return false;
        }

        private void releaseBufferedBytes() {
            bodyBytePermits.release(bufferedBytes);
            bufferedBytes = 0;
        }

        private static BadRequest tooLarge() {
            return new BadRequest(413, "the body is over " + MAX_BODY_BYTES + " bytes");
        }

        /** An error ends the connection: whoever sent that has no claim to be read on, nor do we know where. */
        private void reject(int status, String reason) {
            persistent = false;
            busy = true;
            respondText(status, reason);
        }

        @Override
        public boolean messageComplete() {
            if (busy) {
                return true;
            }
            busy = true;
            receivingRequest = false;
            setTimeLimit(0);
            setEvictionGroup(this, null);
            if (requestHead == null) {
                // Looked at as the answer is given: once clients are sent away there is no yes any more.
                requestHandler.askReady(listed -> mailbox.post(() -> {
                    boolean ready = listed && serviceState.get().acceptsClients();
                    respondText(ready ? 200 : 503, ready ? "ready" : "not ready");
                }));
                return true;
            }
            openRequest = requestHead.withBody(body.toByteArray());
            requestHandler.submit(openRequest, this);
            return true;
        }

        /** Whether it is a POST with a body to a path served here, and no header of a job's is there twice. */
        private void checkRequestForm(JobRules rules, String jobClass) throws BadRequest {
            if (!rules.acceptedClasses().contains(jobClass)) {
                throw new BadRequest(404, "no such path");
            }
            if (!method.equals("POST")) {
                throw new BadRequest(405, "jobs come by POST");
            }
            if (!headers.contains(HttpHeader.CONTENT_LENGTH) && !headers.contains(HttpHeader.TRANSFER_ENCODING)) {
                throw new BadRequest(411, "Content-Length is missing");
            }
            for (String name : SINGLE_VALUE_HEADERS) {
                if (headers.getValuesList(name).size() > 1) {
                    throw new BadRequest(400, name + " is there twice");
                }
            }
        }

        /** Reads the HTTP request's head as a job request. */
        private JobRequest parseHead() throws BadRequest {
            if (!TARGET_PATTERN.matcher(target).matches()) {
                throw new BadRequest(400, "the target cannot be read");
            }
            String className = target.substring(1).split("[/?;]", 2)[0];
            JobRules rules = ClientConnections.this.jobRules;
            List<String> tenants = rules.tenants();
            checkRequestForm(rules, className);
            String requestId = requiredHeader("X-Request-ID");
            if (!REQUEST_ID_PATTERN.matcher(requestId).matches()) {
                throw new BadRequest(400, "X-Request-ID is not a word of at most 64 letters and digits");
            }
            if (!requiredHeader("X-Priority-Class").equals(className)) {
                throw new BadRequest(400, "X-Priority-Class is not the path's class");
            }
            int tenant = tenants.isEmpty()
                    ? -1
                    : tenants.indexOf(SettingsReader.normalizeName(requiredHeader("X-Tenant-Id")));
            if (tenant < 0 && !tenants.isEmpty()) {
                throw new BadRequest(400, "X-Tenant-Id is not known");
            }
            long timeoutMicros = 1000
                    * (long) parsePositive(
                            "X-Timeout-Ms", requiredHeader("X-Timeout-Ms"), INTEGER_PATTERN, MAX_TIMEOUT_MILLIS);
            double slots = 1;
            double workHintMicros = parseWorkHint();
            String attrs = headers.get("X-Attrs");
            for (String pair : attrs == null || attrs.isBlank() ? new String[0] : attrs.split(",")) {
                int separator = pair.indexOf('=');
                if (separator < 0) {
                    throw new BadRequest(400, "X-Attrs is not name=value,name=value");
                }
                String value = pair.substring(separator + 1).strip();
                switch (pair.substring(0, separator).strip()) {
                    case "slots" -> slots = parsePositive("X-Attrs slots", value, DECIMAL_PATTERN, MAX_JOB_SLOTS);
                    case "hint" -> workHintMicros =
                            parsePositive("X-Attrs hint", value, DECIMAL_PATTERN, MAX_WORK_HINT_MICROS);
                    default -> {}
                }
            }
            long deadlineMicros = firstByteMicros + timeoutMicros - Math.min(ANSWER_MARGIN_MICROS, timeoutMicros / 4);
            int jobClass = rules.classes().indexOf(className);
            DispatchApi.RepeatSafety repeatSafety = rules.classTypes()[jobClass].safety();
            // A keyed job's repeats could not be told without.
            String idempotencyKey = repeatSafety == DispatchApi.RepeatSafety.KEYED
                    ? requiredHeader("Idempotency-Key")
                    : headers.get("Idempotency-Key");
            if (idempotencyKey != null
                    && !IDEMPOTENCY_KEY_PATTERN.matcher(idempotencyKey).matches()) {
                throw new BadRequest(400, "Idempotency-Key is not plain text");
            }
            return new JobRequest(
                    requestId,
                    jobClass,
                    tenant,
                    slots,
                    workHintMicros,
                    firstByteMicros >= deadlineCapFromMicros
                            ? Math.min(deadlineMicros, deadlineCapMicros)
                            : deadlineMicros,
                    switch (repeatSafety) {
                        case SAFE -> JobRequest.NO_REPEAT_LIMIT;
                        case KEYED -> rules.classTypes()[jobClass].repeatWindowMicros();
                        case UNSAFE -> 0;
                    },
                    method,
                    target,
                    idempotencyKey,
                    NO_BYTES);
        }

        /** The client's guess at the work, in microseconds; one that cannot be read is none: the job is whole without. */
        private double parseWorkHint() {
            List<String> values = headers.getValuesList("X-Cost");
            double value = values.size() == 1
                            && DECIMAL_PATTERN.matcher(values.get(0).strip()).matches()
                    ? Double.parseDouble(values.get(0).strip())
                    : 0;
            return value <= MAX_WORK_HINT_MICROS ? value : 0;
        }

        private String requiredHeader(String name) throws BadRequest {
            String value = headers.get(name);
            if (value == null || value.isBlank()) {
                throw new BadRequest(400, name + " is missing");
            }
            return value;
        }

        /** A number in plain digits; what else a parser of numbers would take is not a client's to send. */
        private static double parsePositive(String name, String text, Pattern pattern, double max) throws BadRequest {
            if (pattern.matcher(text).matches()) {
                double value = Double.parseDouble(text);
                if (value > 0 && value <= max) {
                    return value;
                }
            }
            throw new BadRequest(
                    400, name + " is not a positive number" + (pattern == DECIMAL_PATTERN ? " in range" : ""));
        }

        @Override
        public void answer(JobRequest.Answer answer) {
            mailbox.post(() -> sendAnswer(answer));
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

        private void sendAnswer(JobRequest.Answer answer) {
            openRequest = null;
            jobAnswered |= !(answer instanceof JobRequest.IdInUse);
            if (answer instanceof JobRequest.Served served) {
                respond(
                        200,
                        HttpFields.build().add(HttpHeader.CONTENT_TYPE, "application/octet-stream"),
                        served.result());
            } else if (answer instanceof JobRequest.Rejection rejection) {
                HttpFields.Mutable extraHeaders = HttpFields.build();
                if (rejection.retryAfterMicros() > 0) {
                    extraHeaders.add(
                            HttpHeader.RETRY_AFTER,
                            String.format(Locale.ROOT, "%.3f", rejection.retryAfterMicros() / 1e6));
                }
                respond(503, extraHeaders, NO_BYTES);
            } else if (answer instanceof JobRequest.Failed failed) {
                respondText(failed.timedOut() ? 504 : 502, failed.timedOut() ? "no answer in time" : "the job failed");
            } else if (answer instanceof JobRequest.IdInUse idInUse) {
                reject(409, idInUse.reason());
            }
        }

        private void respondText(int status, String text) {
            HttpFields.Mutable extraHeaders = HttpFields.build().add(HttpHeader.CONTENT_TYPE, "text/plain");
            if (status == 405) {
                extraHeaders.add(HttpHeader.ALLOW, "POST");
            }
            respond(status, extraHeaders, (text + "\n").getBytes(StandardCharsets.UTF_8));
        }

        private void onContinueWritten() {
            writingContinue = false;
            if (answerAfterContinue != null) {
                Runnable answer = answerAfterContinue;
                answerAfterContinue = null;
                answer.run();
            }
        }

        private void respond(int status, HttpFields.Mutable extraHeaders, byte[] content) {
            releaseBufferedBytes();
            if (isClosed()) {
                return;
            }
            if (writingContinue) {
                answerAfterContinue = () -> respond(status, extraHeaders, content);
                setTimeLimit(ANSWER_TIMEOUT_MILLIS);
                return;
            }
            closeAfterAnswer = !persistent || serviceState.get().closesAfterAnswer();
            if (closeAfterAnswer) {
                extraHeaders.add(HttpHeader.CONNECTION, "close");
                setEvictionGroup(this, closing);
            }
            writingAnswer = true;
            setTimeLimit(ANSWER_TIMEOUT_MILLIS);
            write(
                    new MetaData.Response(status, null, HttpVersion.HTTP_1_1, extraHeaders, content.length),
                    content,
                    () -> mailbox.post(this::onAnswerWritten));
        }

        private void onAnswerWritten() {
            if (isClosed()) {
                return;
            }
            writingAnswer = false;
            if (closeAfterAnswer || isFlooded()) {
                linger();
                return;
            }
            busy = false;
            parser.reset();
            setTimeLimit(jobAnswered ? IDLE_TIMEOUT_MILLIS : REQUEST_TIMEOUT_MILLIS);
            setEvictionGroup(this, jobAnswered ? idle : unanswered);
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
            removeConnection(this);
            releaseBufferedBytes();
            if (openRequest != null) {
                requestHandler.clientGone(openRequest);
                openRequest = null;
            }
        }
    }
}
