package barrowshore.client;

import barrowshore.config.Config;
import barrowshore.memory.CountedBytes;
import barrowshore.memory.GrowableBuffer;
import barrowshore.memory.MemoryBudget;
import barrowshore.memory.MemoryReservation;
import barrowshore.net.Clock;
import barrowshore.net.ConnectionManager;
import barrowshore.net.HeadMemory;
import barrowshore.net.HttpLink;
import barrowshore.net.Mailbox;
import barrowshore.request.JobRequest;
import barrowshore.status.ServiceState;
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
import java.util.function.Supplier;
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

    /** The part of a request's body that the number of connections bounds, so that no budget counts it. */
    private static final int UNCOUNTED_BODY_BYTES = 4096;
    /** Where a body's length is not told, its buffer begins with this size. */
    private static final int INITIAL_BODY_BYTES = 256;

    private static final byte[] NO_BYTES = new byte[0];

    private final Clock clock;
    private final Executor pool;
    private final Scheduler timers;
    private final JobRequest.RequestHandler requestHandler;
    /** For what requests hold: long heads and bodies. */
    private final MemoryBudget requestMemory;
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
            int maxConnections,
            MemoryBudget requestMemory) {
        this.clock = clock;
        this.pool = pool;
        this.timers = timers;
        this.requestHandler = requestHandler;
        this.serviceState = serviceState;
        this.jobRules = JobRules.of(config);
        this.maxConnections = maxConnections;
        this.requestMemory = requestMemory;
        this.mailbox = new Mailbox("the client connections", pool);
    }

    /** Applies the configuration to requests whose head has not been parsed yet; the others keep their class. */
    public void updateSettings(Config config) {
        jobRules = JobRules.of(config);
    }

    public Connection accept(EndPoint endPoint) {
        return new ClientConnection(endPoint);
    }

    /**
     * Prepares for a kill: requests that begin from the first time on, by the scheduler's clock, get a deadline of the
     * second at most. An earlier limit stays.
     */
    public void capDeadlinesForShutdown(long fromMicros, long latestDeadlineMicros) {
        mailbox.post(() -> {
            capFromMicros = Math.min(capFromMicros, fromMicros);
            capMicros = Math.min(capMicros, latestDeadlineMicros);
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

    /** One client's connection; an actor that owns its open request. */
    final class ClientConnection extends HttpLink
            implements HttpParser.RequestHandler, ConnectionManager.AcceptedConnection, JobRequest.Client {
        private String method;
        private String target;
        private HttpFields.Mutable headers;
        private GrowableBuffer body;
        /** What the body holds until the request is submitted, which takes it over. */
        private MemoryReservation bodyMemory = requestMemory.newReservation(UNCOUNTED_BODY_BYTES);

        private final HeadMemory headMemory = new HeadMemory(requestMemory);
        /** The result that is being written; else null. */
        private CountedBytes resultInFlight;
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
        private JobRequest openRequest;
        /** The connection has ended; read from other threads before an attempt is started. */
        private volatile boolean gone;

        ClientConnection(EndPoint endPoint) {
            super(endPoint, new Mailbox("a client connection", pool), timers);
            parser = newParser();
        }

        private HttpParser newParser() {
            return withoutFieldCache(
                    new HttpParser((HttpParser.RequestHandler) this, MAX_REQUEST_HEADER_BYTES, HttpCompliance.RFC9110));
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
            requestHead = null;
            firstByteMicros = clock.micros();
        }

        @Override
        public void parsedHeader(HttpField field) {
            super.parsedHeader(field);
            RequestHeadParser.keepIfRead(field, headers);
        }

        @Override
        protected boolean reserveForParsing(int bytes) {
            boolean inBody = body != null && !parser.isState(HttpParser.State.TRAILER);
            if (inBody || headMemory.tryAdd(bytes)) {
                return true;
            }
            rejectOverload();
            return false;
        }

        /** Rejects a bad head before its body arrives, so that no body is awaited that would not be used. */
        @Override
        public boolean headerComplete() {
            try {
                if (headers.getLongField(HttpHeader.CONTENT_LENGTH) > MAX_BODY_BYTES) {
                    throw tooLarge();
                }
                requestHead = target.equals("/-/ready")
                        ? null
                        : new RequestHeadParser(jobRules, method, target, headers)
                                .parse(firstByteMicros, firstByteMicros >= capFromMicros ? capMicros : Long.MAX_VALUE);
            } catch (BadRequest e) {
                reject(e.status, e.getMessage());
                return true;
            }
            if (overLimit) {
                rejectOverload();
                return true;
            }
            int length = (int) headers.getLongField(HttpHeader.CONTENT_LENGTH);
            if (!bodyMemory.fits(length)) {
                rejectOverload(); // before the body arrives in vain
                return true;
            }
            body = length >= 0
                    ? new GrowableBuffer(UNCOUNTED_BODY_BYTES, length)
                    : new GrowableBuffer(INITIAL_BODY_BYTES, MAX_BODY_BYTES);
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
            if (!bodyMemory.tryGrowTo(body.capacityFor(pieceBytes))) {
                // Rejected before many large bodies at once fill the heap.
                rejectOverload();
                return true;
            }
            body.append(piece, pieceBytes);
            return false;
        }

        /** Forgets the request that was being received; what has been submitted is the request handler's. */
        private void releaseReceived() {
            method = null;
            target = null;
            headers = null;
            requestHead = null;
            body = null;
            bodyMemory.release();
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
            byte[] content = body.toArray();
            int attributeBytes = requestHead.target().length()
                    + (requestHead.key() == null ? 0 : requestHead.key().length());
            MemoryReservation reservation = bodyMemory;
            bodyMemory = requestMemory.newReservation(UNCOUNTED_BODY_BYTES);
            if (!reservation.tryGrowTo(content.length + attributeBytes)) {
                reservation.release();
                rejectOverload();
                return true;
            }
            openRequest = requestHead.withBody(new CountedBytes(content, attributeBytes, reservation));
            releaseReceived();
            requestHandler.submit(openRequest, this);
            return true;
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
        public boolean mayBeGone() {
            return gone || isEndUnknown();
        }

        @Override
        public void checkConnection(Runnable then) {
            mailbox.post(() -> checkEnd(then));
        }

        private void sendAnswer(JobRequest.Answer answer) {
            openRequest = null;
            jobAnswered |= !(answer instanceof JobRequest.IdInUse);
            if (answer instanceof JobRequest.Served served) {
                if (isClosed()) {
                    served.result().release();
                    return;
                }
                resultInFlight = served.result();
                resultInFlight.setReclaimer(() -> mailbox.post(this::closeUnreadAnswer));
                respond(
                        200,
                        HttpFields.build().add(HttpHeader.CONTENT_TYPE, "application/octet-stream"),
                        resultInFlight.get());
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
            releaseReceived();
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
            releaseResult();
            if (closeAfterAnswer || isFlooded()) {
                linger();
                return;
            }
            busy = false;
            resetParser(headMemory, this::newParser);
            setTimeLimit(jobAnswered ? IDLE_TIMEOUT_MILLIS : REQUEST_TIMEOUT_MILLIS);
            setEvictionGroup(this, jobAnswered ? idle : unanswered);
            read();
        }

        /** Others wait for the memory of a result that this client has not taken. */
        private void closeUnreadAnswer() {
            if (resultInFlight != null) {
                closeNow();
            }
        }

        private void releaseResult() {
            if (resultInFlight != null) {
                resultInFlight.release();
                resultInFlight = null;
            }
        }

        /** The body cannot be parsed, such as in a chunk of no valid size. */
        @Override
        public void earlyEOF() {
            if (!isEndOfStream() && !busy && !isClosed()) {
                reject(400, "the body cannot be read");
            }
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
            releaseReceived();
            headMemory.release();
            releaseResult();
            if (openRequest != null) {
                requestHandler.clientGone(openRequest);
                openRequest = null;
            }
        }
    }
}
