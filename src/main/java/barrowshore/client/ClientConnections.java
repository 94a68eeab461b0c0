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
 * The HTTP server for clients: turns HTTP requests into job requests and final answers into responses. An actor that
 * owns the client connections and their limit; each connection is an actor of its own with at most one open job request.
 * A malformed request must never reach the dispatch module, and no request may be answered twice.
 */
public final class ClientConnections {
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int MAX_REQUEST_HEADER_BYTES = 16 * 1024;
    /** A request is answered this long before the client's deadline, to leave time for the answer's way back. */
    private static final long ANSWER_MARGIN_MICROS = 25_000;
    /** For connections on which a job has been answered. */
    private static final long IDLE_TIMEOUT_MILLIS = 120_000;
    /**
     * Time for a request to arrive completely, counted from the connection's start, or from the request's first byte
     * once a job has been answered on the connection. Clients usually send a request in one piece.
     */
    private static final long REQUEST_TIMEOUT_MILLIS = 2_000;
    /** Time for a request's head on a connection above the limit; then the connection is rejected without it. */
    private static final long OVERLOAD_REQUEST_TIMEOUT_MILLIS = 200;
    /** Time for a client to take an answer. */
    private static final long ANSWER_READ_TIMEOUT_MILLIS = 10_000;
    /** Retry-After of requests that are rejected before the dispatch module sees them. */
    private static final long OVERLOAD_RETRY_AFTER_MICROS = 1_000_000;
    /** Time for a client to read the last answer and close. */
    private static final long LINGER_MILLIS = 1_000;
    /** Requests that begin this long or longer after SIGTERM must be answered before the process is killed. */
    private static final long SHUTDOWN_GRACE_MILLIS = 600;

    private static final double MAX_JOB_SLOTS = 64;
    private static final double MAX_WORK_HINT_MICROS = 1e9;
    private static final long MAX_TIMEOUT_MILLIS = 3_600_000;

    private static final Pattern REQUEST_ID_PATTERN = Pattern.compile("[0-9A-Za-z._-]{1,64}");
    private static final Pattern INTEGER = Pattern.compile("[0-9]{1,9}");
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,10}(\\.[0-9]{1,9})?");
    /** The key is forwarded unchanged, so it must not hold anything that a server could read as the end of a line. */
    private static final Pattern KEY_PATTERN = Pattern.compile("[!-~]([ -~]*[!-~])?");

    private static final Pattern TARGET_PATTERN = Pattern.compile("/[A-Za-z0-9._~:/?\\[\\]@!$&'()*+,;=%-]{0,4095}");
    /** Headers that decide how a request is handled; a repeated one is ambiguous and rejected. */
    private static final List<String> SINGLE_VALUE_HEADERS =
            List.of("X-Request-ID", "X-Priority-Class", "X-Tenant-Id", "X-Timeout-Ms", "X-Attrs", "Idempotency-Key");
    /** Limit on the request bodies in memory over all connections: a quarter of the heap. */
    private static final int MAX_BUFFERED_BODY_BYTES = 14 << 20;

    private static final byte[] NO_BYTES = new byte[0];

    private final Clock clock;
    private final Executor pool;
    private final Scheduler timers;
    private final JobRequest.RequestHandler requestHandler;
    private final Semaphore bodyBytePermits = new Semaphore(MAX_BUFFERED_BODY_BYTES);
    /** Replaced as a whole when the configuration changes. */
    private volatile JobRules jobRules;

    private int maxConnections;
    private final Mailbox mailbox;
    private final Set<ClientConnection> connections = new HashSet<>();
    /**
     * The eviction groups, in the order in which they are closed above the limit, oldest first in each: {@code closing}
     * sends or has sent its last answer; {@code unanswered} has had no job's answer and is sorted by the connections'
     * age, so that readiness checks don't renew a place; {@code idle} has had one. None has an open job.
     */
    private final Set<ClientConnection> closing = new LinkedHashSet<>();

    private final Set<ClientConnection> unanswered = new TreeSet<>(Comparator.comparingLong(c -> c.sequenceNumber));
    private final Set<ClientConnection> idle = new LinkedHashSet<>();
    private final Supplier<ServiceState> serviceState;
    private long capFromMicros = Long.MAX_VALUE; // requests that begin later have a deadline of at most capMicros
    private long capMicros = Long.MAX_VALUE;
    private Runnable whenEmpty;
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
        this.mailbox = new Mailbox("the client connections", pool);
    }

    /** Applies the configuration to requests whose head has not been parsed yet; the others keep their class. */
    public void updateSettings(Config config) {
        jobRules = JobRules.of(config);
    }

    /** The part of the configuration that requests are checked against; classes and tenants by number. */
    private record JobRules(
            List<String> classes, Set<String> accepted, List<String> tenants, DispatchApi.JobClass[] types) {
        static JobRules of(Config config) {
            return new JobRules(
                    config.classes(), config.acceptedClasses(), config.tenants(), config.settings().classes);
        }
    }

    public Connection accept(EndPoint endPoint) {
        return new ClientConnection(endPoint);
    }

    /** Prepares for a kill after that time: requests that still arrive must be answered before it. */
    public void capDeadlinesForShutdown(long millisToKill) {
        long now = clock.micros();
        mailbox.post(() -> {
            capFromMicros = now + SHUTDOWN_GRACE_MILLIS * 1000;
            capMicros = now + millisToKill * 1000;
            connections.forEach(connection -> connection.capDeadlines(capFromMicros, capMicros));
        });
    }

    /**
     * Closes connections without an open request: all, or only those on which a job has been answered. The others are
     * about to send a request, or their time limit closes them.
     */
    public void closeIdle(boolean includeUnanswered) {
        mailbox.post(() -> connections.forEach(connection -> connection.closeIdleConnection(includeUnanswered)));
    }

    /** Sets the limit on connections and evicts those above it. */
    public void setMaxConnections(int limit) {
        mailbox.post(() -> {
            maxConnections = limit;
            int excess = connections.size() - maxConnections;
            while (excess > 0 && evictOldest()) {
                excess--;
            }
        });
    }

    public void runWhenEmpty(Runnable action) {
        mailbox.post(() -> {
            whenEmpty = action;
            notifyIfEmpty();
        });
    }

    private void addConnection(ClientConnection connection) {
        mailbox.post(() -> {
            connection.sequenceNumber = ++acceptedCount;
            connections.add(connection);
            connection.capDeadlines(capFromMicros, capMicros);
            if (connections.size() > maxConnections && !evictOldest()) {
                connection.markOverLimit();
            }
            unanswered.add(connection);
            connection.startReading();
        });
    }

    /**
     * Closes one connection, if any can be closed, so that the descriptors suffice for clients that send jobs: one on
     * which a job has been answered is closed last, one with an open request never.
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

    /** Moves the connection to the eviction group; null: to none, since a request is open on it. */
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

    /** An HTTP request that is answered with an error status before it becomes a job request. */
    private static final class BadRequest extends Exception {
        private static final long serialVersionUID = 1;
        final int status;

        BadRequest(int status, String reason) {
            super(reason, null, false, false);
            this.status = status;
        }
    }

    /** One client's connection; an actor that owns its open request. */
    final class ClientConnection extends HttpLink
            implements HttpParser.RequestHandler, ConnectionManager.AcceptedConnection, JobRequest.Client {
        private String method;
        private String target;
        private HttpFields.Mutable headers;
        private ByteArrayOutputStream body;
        /** The job request without its body; null: the request is a readiness check. */
        private JobRequest requestHead;
        /** A request is being handled or the connection is closing; nothing more is parsed. */
        private boolean busy;
        /** A job has been answered here, which marks the connection as that of a client that sends jobs. */
        private boolean jobAnswered;
        /** A request has arrived in part; its time limit is running. */
        private boolean receivingRequest;

        private boolean writingAnswer;
        /** Our side is closed; the client may still read the last answer. */
        private boolean lingering;
        /** An interim 100 response is being written; a client may leave even that unread. */
        private boolean writingContinue;
        /** The answer that waits until the 100 has been written. */
        private Runnable answerAfterContinue;
        /** Accepted above the limit on connections: its request is to be rejected. */
        private boolean overLimit;

        private boolean closeAfterAnswer;
        /** Numbers the connections as accepted; owned by the enclosing actor. */
        private long sequenceNumber;

        private long capFromMicros = Long.MAX_VALUE;
        private long capMicros = Long.MAX_VALUE;
        private long firstByteMicros;
        private int bufferedBytes;
        private JobRequest openRequest;
        /** The connection has ended; read from other threads before an attempt is started. */
        private volatile boolean gone;

        ClientConnection(EndPoint endPoint) {
            super(endPoint, new Mailbox("a client connection", pool), timers);
            parser = new HttpParser((HttpParser.RequestHandler) this, MAX_REQUEST_HEADER_BYTES, HttpCompliance.RFC9110);
        }

        @Override
        protected void onConnected() {
            setTimeLimit(REQUEST_TIMEOUT_MILLIS);
            addConnection(this);
        }

        /** Starts reading, now that the deadline cap and the limit on connections have been applied. */
        private void startReading() {
            mailbox.post(this::read);
        }

        private void capDeadlines(long fromMicros, long maxMicros) {
            mailbox.post(() -> {
                capFromMicros = fromMicros;
                capMicros = maxMicros;
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
         * Closes the connection unless a request is open on it or waits unread in the socket. evicted: to make room, so
         * a partial request is rejected instead of awaited.
         */
        private void closeIfIdle(boolean evicted) {
            mailbox.post(() -> {
                if (!busy) {
                    read(); // the socket may hold a complete request
                }
                if (isClosed()) {
                    return;
                }
                if (lingering) {
                    if (evicted) {
                        closeNow(); // else its time limit closes it: the last answer may still be on its way
                    }
                } else if (!busy && parser.isStart()) {
                    if (evicted && !jobAnswered) {
                        closeNow(); // no job's answer has been sent that could be lost
                    } else {
                        linger();
                    }
                } else if (!busy && evicted) {
                    rejectOverload();
                }
            });
        }

        /**
         * Closes our side and discards what the client sends until it closes too: a request that crosses the close is
         * never served, and unread bytes do not cause a reset that could destroy the last answer.
         */
        private void linger() {
            lingering = true;
            busy = true;
            setEvictionGroup(this, closing);
            closeGracefully(LINGER_MILLIS);
        }

        /** Rejects the connection as soon as its request's head has arrived, or after a short time without one. */
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
                requestHandler.countRejected(requestHead.jobClass());
            }
            sendAnswer(new JobRequest.Rejection(OVERLOAD_RETRY_AFTER_MICROS));
        }

        @Override
        protected boolean isParsingEnabled() {
            return !busy;
        }

        /** Discards, so that the close of a client is noticed that sends much behind its request and then leaves. */
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
                    setTimeLimit(REQUEST_TIMEOUT_MILLIS); // else the limit has run since the connection came up
                }
            }
        }

        /** Closes or rejects; bytes that have already arrived are read first. */
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

        /** Rejects a bad head before its body arrives, so that no body is awaited that would not be used. */
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
                // Rejected before many large bodies at once fill the heap.
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

        /** Answers with an error and closes: after a bad request it is unknown where the next one begins. */
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
                // The service state is read last: it may have been drained since the question was asked.
                requestHandler.checkReady(listed -> mailbox.post(() -> {
                    boolean ready = listed && serviceState.get().acceptsClients();
                    respondText(ready ? 200 : 503, ready ? "ready" : "not ready");
                }));
                return true;
            }
            openRequest = requestHead.withBody(body.toByteArray());
            requestHandler.submit(openRequest, this);
            return true;
        }

        /** Requires a POST with a body to a known path, and no repeated header that decides about the job. */
        private void checkRequestForm(JobRules rules, String jobClass) throws BadRequest {
            if (!rules.accepted().contains(jobClass)) {
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

        private JobRequest parseHead() throws BadRequest {
            if (!TARGET_PATTERN.matcher(target).matches()) {
                throw new BadRequest(400, "the target cannot be read");
            }
            String className = target.substring(1).split("[/?;]", 2)[0];
            JobRules rules = ClientConnections.this.jobRules;
            List<String> tenants = rules.tenants();
            checkRequestForm(rules, className);
            String requestId = required("X-Request-ID");
            if (!REQUEST_ID_PATTERN.matcher(requestId).matches()) {
                throw new BadRequest(400, "X-Request-ID is not a word of at most 64 letters and digits");
            }
            if (!required("X-Priority-Class").equals(className)) {
                throw new BadRequest(400, "X-Priority-Class is not the path's class");
            }
            int tenant =
                    tenants.isEmpty() ? -1 : tenants.indexOf(SettingsReader.normalizeName(required("X-Tenant-Id")));
            if (tenant < 0 && !tenants.isEmpty()) {
                throw new BadRequest(400, "X-Tenant-Id is not known");
            }
            long timeoutMicros =
                    1000 * (long) parsePositive("X-Timeout-Ms", required("X-Timeout-Ms"), INTEGER, MAX_TIMEOUT_MILLIS);
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
                    case "slots" -> slots = parsePositive("X-Attrs slots", value, DECIMAL, MAX_JOB_SLOTS);
                    case "hint" -> workHintMicros = parsePositive("X-Attrs hint", value, DECIMAL, MAX_WORK_HINT_MICROS);
                    default -> {}
                }
            }
            long deadlineMicros = firstByteMicros + timeoutMicros - Math.min(ANSWER_MARGIN_MICROS, timeoutMicros / 4);
            int jobClass = rules.classes().indexOf(className);
            DispatchApi.RepeatSafety repeatSafety = rules.types()[jobClass].safety();
            // Without the key, servers could not recognize repeats of a keyed job.
            String key = repeatSafety == DispatchApi.RepeatSafety.KEYED
                    ? required("Idempotency-Key")
                    : headers.get("Idempotency-Key");
            if (key != null && !KEY_PATTERN.matcher(key).matches()) {
                throw new BadRequest(400, "Idempotency-Key is not plain text");
            }
            return new JobRequest(
                    requestId,
                    jobClass,
                    tenant,
                    slots,
                    workHintMicros,
                    firstByteMicros >= capFromMicros ? Math.min(deadlineMicros, capMicros) : deadlineMicros,
                    switch (repeatSafety) {
                        case SAFE -> JobRequest.NO_REPEAT_LIMIT;
                        case KEYED -> rules.types()[jobClass].repeatWindowMicros();
                        case UNSAFE -> 0;
                    },
                    method,
                    target,
                    key,
                    NO_BYTES);
        }

        /** The client's estimate of the work, in microseconds; 0 if missing or unreadable, since it is optional. */
        private double parseWorkHint() {
            List<String> values = headers.getValuesList("X-Cost");
            double value =
                    values.size() == 1 && DECIMAL.matcher(values.get(0).strip()).matches()
                            ? Double.parseDouble(values.get(0).strip())
                            : 0;
            return value <= MAX_WORK_HINT_MICROS ? value : 0;
        }

        private String required(String name) throws BadRequest {
            String value = headers.get(name);
            if (value == null || value.isBlank()) {
                throw new BadRequest(400, name + " is missing");
            }
            return value;
        }

        /** Parses plain digits only; other forms that Java's parser takes, such as NaN or 1e9, are rejected. */
        private static double parsePositive(String name, String text, Pattern pattern, double max) throws BadRequest {
            if (pattern.matcher(text).matches()) {
                double value = Double.parseDouble(text);
                if (value > 0 && value <= max) {
                    return value;
                }
            }
            throw new BadRequest(400, name + " is not a positive number" + (pattern == DECIMAL ? " in range" : ""));
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
                HttpFields.Mutable extra = HttpFields.build();
                if (rejection.retryAfterMicros() > 0) {
                    extra.add(
                            HttpHeader.RETRY_AFTER,
                            String.format(Locale.ROOT, "%.3f", rejection.retryAfterMicros() / 1e6));
                }
                respond(503, extra, NO_BYTES);
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
                setTimeLimit(ANSWER_READ_TIMEOUT_MILLIS);
                return;
            }
            closeAfterAnswer = !persistent || serviceState.get().closesAfterAnswer();
            if (closeAfterAnswer) {
                extraHeaders.add(HttpHeader.CONNECTION, "close");
                setEvictionGroup(this, closing);
            }
            writingAnswer = true;
            setTimeLimit(ANSWER_READ_TIMEOUT_MILLIS);
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
        protected void onClosed(Throwable cause) {
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
