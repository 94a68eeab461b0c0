package barrowshore.servers;

import barrowshore.list.ServerList;
import barrowshore.memory.CountedBytes;
import barrowshore.memory.MemoryBudget;
import barrowshore.memory.MemoryReservation;
import barrowshore.module.DispatchApi.Load;
import barrowshore.module.DispatchApi.Note;
import barrowshore.module.DispatchApi.Status;
import barrowshore.net.ConnectionManager;
import barrowshore.net.HeadMemory;
import barrowshore.net.HttpLink;
import barrowshore.net.LineBuffer;
import barrowshore.net.Mailbox;
import barrowshore.request.JobRequest;
import barrowshore.wire.Json;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * The actor that sends attempts and probes to one server. It owns the server's connection pool, each connection from
 * its dial to its close, and reports exactly one outcome per attempt and probe. It doesn't choose servers and sends
 * nothing twice. It reports a request as not run only with proof: the server refused it, the connection never came up,
 * or it broke before the last byte was written.
 */
public final class Server {
    private static final String LOAD_HEADER = "X-Server-Load";
    private static final String NOT_PROCESSED_HEADER = "X-Not-Processed";
    /** Descriptors that dials to servers leave free, so that service discovery can still connect under load. */
    private static final int DESCRIPTORS_RESERVED_FOR_DISCOVERY = 2;
    /** Idle connections kept per server; only probes and repeatable requests reuse them. */
    private static final int MAX_IDLE_CONNECTIONS = 4;

    private static final byte[] NO_BODY = new byte[0];
    /** How long the rest of an answer may take once its outcome is known, before the connection is closed. */
    private static final long ANSWER_END_TIMEOUT_MILLIS = 1000;
    /** Bounds on the lines and bytes of one answer: far above what a job sends, yet cheap to read in vain. */
    private static final int MAX_ANSWER_LINES = 1000;

    private static final int MAX_ANSWER_BYTES = 1 << 20;
    /** Room for a result of 64 KiB with every byte escaped, plus the JSON fields around it. */
    private static final int MAX_LINE_BYTES = 400 * 1024;

    /** Room for a load report, the only body of an answer without a result that is read. */
    private static final int MAX_LOAD_REPORT_BYTES = 4096;
    /** The part of an answer's line that the number of connections bounds, so that no budget counts it. */
    private static final int UNCOUNTED_LINE_BYTES = 4096;
    /** How often an answer tries to get memory before another one has to give it up. */
    private static final int MAX_MEMORY_RETRIES = 50;

    /** One attempt, implemented by the module actor; {@link #ended} is called exactly once unless it is abandoned. */
    public interface Attempt {
        JobRequest request();

        /** How much longer the scheduler waits for the result. */
        long timeLeftMicros();

        /**
         * Whether sending may still begin: a client is waiting, and neither the deadline nor the window in which a repeat
         * is harmless has passed.
         */
        boolean maySend();

        /** Checks whether the client is still connected, then runs the callback, in any thread; it may only post. */
        void checkClient(Runnable then);

        /** The last byte of the request has been written; called in the writing thread, so it may only post. */
        void requestWritten();

        void noteReceived(Note note, double share);

        /** result: null unless the status is {@link Status#OK}; the attempt becomes its holder. */
        void ended(Status status, Load load, CountedBytes result);
    }

    /** Receives the outcome of a probe, once. */
    public interface Probe {
        void ended(Status status, Load load);
    }

    private final String uid;
    private final ConnectionManager connectionManager;
    private final Scheduler timers;
    private final Mailbox mailbox;
    private long idleTimeoutMillis;
    private final int maxConnections;
    private final MemoryBudget answerMemory;
    private final ArrayDeque<ServerConnection> idleConnections = new ArrayDeque<>();
    private final Set<ServerConnection> connections = new HashSet<>();
    private final Map<Attempt, Exchange> exchangesByAttempt = new HashMap<>();
    private int pendingDials;
    private InetSocketAddress address;
    private ServerList.State state = ServerList.State.GONE;
    private long bootMicros;

    public Server(
            String uid,
            Executor pool,
            ConnectionManager connectionManager,
            Scheduler timers,
            long keepAliveMicros,
            int maxConnections,
            MemoryBudget answerMemory) {
        this.uid = uid;
        this.answerMemory = answerMemory;
        this.connectionManager = connectionManager;
        this.timers = timers;
        this.maxConnections = maxConnections;
        this.idleTimeoutMillis = idleTimeoutMillis(keepAliveMicros);
        this.mailbox = new Mailbox("server " + uid, pool);
    }

    /**
     * How long a connection may be idle: half of the server's keep-alive time, since a request written to a connection that
     * the server is just closing may have run.
     */
    private static long idleTimeoutMillis(long keepAliveMicros) {
        return Math.max(1, keepAliveMicros / 2000);
    }

    /** Changes the server's keep-alive time; idle connections are closed, as they may have been idle for too long by now. */
    public void setKeepAlive(long keepAliveMicros) {
        mailbox.post(() -> {
            long nextTimeoutMillis = idleTimeoutMillis(keepAliveMicros);
            if (nextTimeoutMillis < idleTimeoutMillis) {
                closeIdleConnections();
            }
            idleTimeoutMillis = nextTimeoutMillis;
        });
    }

    private void closeIdleConnections() {
        while (!idleConnections.isEmpty()) {
            idleConnections.poll().closeNow();
        }
    }

    /** Takes over the server's latest entry from the server list. */
    public void update(ServerList.Entry entry) {
        mailbox.post(() -> {
            boolean moved = entry.address() != null && !entry.address().equals(address);
            if (moved || entry.bootMicros() != bootMicros || entry.state() != ServerList.State.READY) {
                retireConnections();
            }
            address = entry.address() != null ? entry.address() : address;
            bootMicros = entry.bootMicros();
            state = entry.state();
        });
    }

    /** The server list no longer has this server: nothing new is sent to it. */
    public void markUnlisted() {
        mailbox.post(() -> {
            state = ServerList.State.GONE;
            retireConnections();
        });
    }

    /** After a restart, a move or the start of a drain: closes idle connections now, busy ones after their exchange. */
    private void retireConnections() {
        connections.forEach(connection -> connection.retired = true);
        closeIdleConnections();
    }

    public void send(Attempt attempt) {
        mailbox.post(() -> {
            Exchange exchange = new Exchange(attempt, null);
            exchangesByAttempt.put(attempt, exchange);
            startExchange(exchange);
        });
    }

    /** Drops the attempt and closes its connection; no outcome is reported any more. */
    public void abandon(Attempt attempt) {
        mailbox.post(() -> {
            Exchange exchange = exchangesByAttempt.remove(attempt);
            if (exchange != null) {
                exchange.ended = true;
                if (exchange.connection != null) {
                    exchange.connection.closeNow();
                }
            }
        });
    }

    /** Ends the attempt as {@link Status#NOT_SENT} if none of it has been sent yet. */
    public void cancelIfUnsent(Attempt attempt) {
        mailbox.post(() -> {
            Exchange exchange = exchangesByAttempt.get(attempt);
            if (exchange != null && exchange.connection == null) {
                exchange.end(Status.NOT_SENT, null, null);
            }
        });
    }

    public void probe(long timeoutMillis, Probe probe) {
        mailbox.post(() -> {
            Exchange exchange = new Exchange(null, probe);
            exchange.timer = timers.schedule(
                    () -> mailbox.post(() -> {
                        if (!exchange.ended) {
                            exchange.end(Status.TIMEOUT, null, null);
                            if (exchange.connection != null) {
                                exchange.connection.closeNow();
                            }
                        }
                    }),
                    timeoutMillis,
                    TimeUnit.MILLISECONDS);
            startExchange(exchange);
        });
    }

    private void startExchange(Exchange exchange) {
        // A request that must not run twice gets a new connection: if that fails to connect, the request never ran. A
        // reused one may be reset while being written to, which proves nothing and fails the request.
        ServerConnection connection = exchange.mayReuseConnection() ? idleConnections.pollLast() : null;
        if (connection != null) {
            connection.reserve(exchange);
            return;
        }
        if (address == null) {
            exchange.end(Status.CONNECT_FAILED, null, null);
            return;
        }
        if (connections.size() + pendingDials >= maxConnections) {
            exchange.end(Status.NOT_SENT, null, null); // rejected before descriptors run out
            return;
        }
        pendingDials++;
        boolean started = connectionManager.dial(
                address, DESCRIPTORS_RESERVED_FOR_DISCOVERY, new ConnectionManager.DialHandler() {
                    @Override
                    public Connection apply(EndPoint endPoint) {
                        return new ServerConnection(endPoint, exchange);
                    }

                    @Override
                    public void onDialFailed(Throwable cause) {
                        mailbox.post(() -> {
                            pendingDials--;
                            exchange.end(Status.CONNECT_FAILED, null, null);
                        });
                    }
                });
        if (!started) {
            pendingDials--;
            exchange.end(Status.NOT_SENT, null, null);
        }
    }

    /** The exchange of one request and its answer, for an attempt or a probe; it reports its outcome once. */
    private final class Exchange {
        final Attempt attempt;
        final Probe probe;
        Scheduler.Task timer;
        ServerConnection connection;
        boolean ended;
        /**
         * Whether the last byte has been written. Set directly by the writing thread: if posted to the mailbox, it could
         * be overtaken by a reset read right after the write, and a fully written request be reported as never run.
         */
        volatile boolean fullyWritten;
        /** Whether another thread finishes the write: then only a failed write proves that the request did not run. */
        boolean writePending;

        Exchange(Attempt attempt, Probe probe) {
            this.attempt = attempt;
            this.probe = probe;
        }

        boolean mayReuseConnection() {
            return probe != null || attempt.request().repeatable();
        }

        void end(Status status, Load load, CountedBytes result) {
            if (ended) {
                if (result != null) {
                    result.release();
                }
                return;
            }
            ended = true;
            if (probe != null) {
                timer.cancel();
                probe.ended(status, load);
            } else {
                exchangesByAttempt.remove(attempt);
                attempt.ended(status, load, result);
            }
        }
    }

    /** One connection to the server: idle, reserved for an exchange, or carrying one. */
    private final class ServerConnection extends HttpLink implements HttpParser.ResponseHandler {
        private Exchange exchange;
        /** The exchange to carry next, while its client's connection is being checked; else null. */
        private Exchange reservedFor;
        /** Whether the connection has been in the idle pool. */
        private boolean wasIdle;

        private LineBuffer lineBuffer;
        private StringBuilder answerBody;
        /** What the unfinished line holds; passed on with the result. */
        private MemoryReservation lineMemory = newLineMemory();

        private final HeadMemory headMemory = new HeadMemory(answerMemory);
        private int memoryRetries;
        /** The body that is being written, which this connection holds until then; else null. */
        private final AtomicReference<CountedBytes> bodyInFlight = new AtomicReference<>();

        private boolean retired;
        /** Whether an earlier exchange used this connection: then an answer may be a late one to that. */
        private boolean usedBefore;

        private int linesRead, bytesRead;
        private int statusCode;
        private boolean notProcessed;
        private Load headerLoad;

        ServerConnection(EndPoint endPoint, Exchange first) {
            super(endPoint, Server.this.mailbox, timers);
            this.exchange = first;
            parser = newParser();
        }

        private HttpParser newParser() {
            return withoutFieldCache(new HttpParser((HttpParser.ResponseHandler) this, MAX_HEADER_BYTES));
        }

        @Override
        protected void onConnected() {
            pendingDials--;
            connections.add(this);
            Exchange first = exchange;
            exchange = null;
            reserve(first);
        }

        /** Reserves this connection and checks the client again, which may have left while the attempt waited. */
        void reserve(Exchange next) {
            reservedFor = next;
            setTimeLimit(0);
            if (next.attempt == null) {
                beginExchange(next);
            } else {
                next.attempt.checkClient(() -> mailbox.post(() -> beginExchange(next)));
            }
        }

        private void beginExchange(Exchange next) {
            if (reservedFor != next) {
                return; // this connection was closed in the meantime
            }
            reservedFor = null;
            boolean newConnection = !wasIdle;
            if (next.ended || !mayBegin(next)) {
                next.end(Status.NOT_SENT, null, null); // a local decision that doesn't count against the server
                returnToPool();
            } else if (wasIdle && (retired || isBrokenWhileIdle())) {
                closeNow();
                startExchange(next);
            } else {
                sendRequest(next);
            }
            if (newConnection) {
                read();
            }
        }

        /** Checked right before the first byte: the server may have begun to drain while the connection came up. */
        private boolean mayBegin(Exchange next) {
            return state == ServerList.State.READY && (next.attempt == null || next.attempt.maySend());
        }

        private MemoryReservation newLineMemory() {
            return answerMemory.newReservation(UNCOUNTED_LINE_BYTES);
        }

        private void returnToPool() {
            lineBuffer = null;
            answerBody = null;
            lineMemory.release();
            if (retired || state != ServerList.State.READY || hasUnread()) {
                closeNow();
                return;
            }
            wasIdle = true;
            setTimeLimit(idleTimeoutMillis);
            idleConnections.addLast(this);
            if (idleConnections.size() > MAX_IDLE_CONNECTIONS) {
                idleConnections.pollFirst().closeNow();
            }
        }

        private void sendRequest(Exchange next) {
            Attempt attempt = next.attempt;
            exchange = next;
            next.connection = this;
            notProcessed = false;
            statusCode = 0;
            headerLoad = null;
            lineBuffer = null;
            answerBody = null;
            persistent = true;
            linesRead = 0;
            bytesRead = 0;
            setTimeLimit(0);
            HttpFields.Mutable fields =
                    HttpFields.build().add(HttpHeader.HOST, address.getHostString() + ":" + address.getPort());
            if (attempt == null) {
                write(
                        new MetaData.Request("GET", HttpURI.from("/-/load"), HttpVersion.HTTP_1_1, fields, 0),
                        NO_BODY,
                        () -> next.fullyWritten = true);
                return;
            }
            JobRequest request = attempt.request();
            byte[] body = request.body().retain();
            if (body == null) {
                // The request has been answered since the last check.
                exchange = null;
                next.connection = null;
                next.end(Status.NOT_SENT, null, null);
                returnToPool();
                return;
            }
            bodyInFlight.set(request.body());
            fields.add("X-Request-ID", request.id());
            fields.add("X-Timeout-Ms", String.valueOf(Math.max(1, attempt.timeLeftMicros() / 1000)));
            if (request.key() != null) {
                fields.add("Idempotency-Key", request.key());
            }
            write(
                    new MetaData.Request(
                            request.method(),
                            HttpURI.from(request.target()),
                            HttpVersion.HTTP_1_1,
                            fields,
                            body.length),
                    body,
                    () -> {
                        next.fullyWritten = true;
                        releaseBody();
                        attempt.requestWritten();
                    });
            next.writePending = !next.fullyWritten && !hasWriteFailed();
        }

        private void releaseBody() {
            CountedBytes body = bodyInFlight.getAndSet(null);
            if (body != null) {
                body.release();
            }
        }

        @Override
        protected boolean isParsingEnabled() {
            return exchange != null;
        }

        /** Waits for memory rather than fail: what others hold is given back as their clients get their answers. */
        @Override
        protected boolean reserveForParsing(int bytes) {
            if (tryReserve(bytes)) {
                memoryRetries = 0;
                return true;
            }
            memoryRetries++;
            if (memoryRetries % MAX_MEMORY_RETRIES == 0) {
                answerMemory.reclaimOldest();
            }
            return false;
        }

        private boolean tryReserve(int bytes) {
            if (answerBody == null && lineBuffer == null || parser.isState(HttpParser.State.TRAILER)) {
                return headMemory.tryAdd(bytes);
            }
            if (lineBuffer == null || exchange.ended) {
                return true;
            }
            int capacity = lineBuffer.capacityFor(bytes);
            lineMemory.shrinkTo(capacity);
            if (!lineMemory.tryGrowTo(capacity)) {
                return false;
            }
            lineMemory.setReclaimer(() -> mailbox.post(this::closeNow));
            return true;
        }

        @Override
        protected void read() {
            if (exchange == null && !isClosed() && isBrokenWhileIdle()) {
                closeNow(); // unsolicited bytes, or the server has closed an idle connection
                return;
            }
            super.read();
        }

        @Override
        public void startResponse(HttpVersion version, int code, String reason) {
            statusCode = code;
            persistent = version == HttpVersion.HTTP_1_1;
        }

        @Override
        public void parsedHeader(HttpField field) {
            super.parsedHeader(field);
            if (field.is(NOT_PROCESSED_HEADER)) {
                notProcessed = "1".equals(field.getValue());
            } else if (field.is(LOAD_HEADER)) {
                headerLoad = LoadReport.parse(Json.parseOrNull(field.getValue()));
            }
        }

        @Override
        public boolean headerComplete() {
            if (statusCode < 200) {
                return false; // an interim (1xx) response; the final one follows
            }
            if (exchange.attempt != null && statusCode == 200) {
                lineBuffer = new LineBuffer(MAX_LINE_BYTES);
            } else {
                answerBody = new StringBuilder();
                if (exchange.attempt != null && !provesJobDidNotRun()) {
                    endExchange(Status.ERROR, headerLoad, null); // don't wait for the body: it may never end
                } else {
                    setTimeLimit(ANSWER_END_TIMEOUT_MILLIS);
                }
            }
            return false;
        }

        /**
         * Whether the answer proves that the job did not run. On a reused connection it may be a second answer to the
         * previous job, so there it is proof only if repeats are always harmless.
         */
        private boolean provesJobDidNotRun() {
            return notProcessed
                    && (statusCode == 503 || statusCode == 504)
                    && (!usedBefore || exchange.attempt.request().repeatWindowMicros() == JobRequest.NO_REPEAT_LIMIT);
        }

        @Override
        public boolean content(ByteBuffer bytes) {
            bytesRead += bytes.remaining();
            if (bytesRead > MAX_ANSWER_BYTES) {
                throw new InvalidAnswerException("answer exceeds " + MAX_ANSWER_BYTES + " bytes");
            }
            if (lineBuffer != null) {
                if (!exchange.ended) {
                    lineBuffer.add(bytes, this::handleLine);
                }
            } else if (exchange.probe != null && answerBody.length() + bytes.remaining() <= MAX_LOAD_REPORT_BYTES) {
                answerBody.append(StandardCharsets.UTF_8.decode(bytes));
            }
            return false;
        }

        private void handleLine(String line) {
            if (++linesRead > MAX_ANSWER_LINES) {
                throw new InvalidAnswerException("answer exceeds " + MAX_ANSWER_LINES + " lines");
            }
            if (line.isBlank() || exchange.ended) {
                return;
            }
            // An invalid line's exception closes the connection before the outcome is reported: a retry sent before the
            // close would be a second copy.
            AnswerLine answerLine =
                    AnswerLine.parse(line, exchange.attempt.request().id());
            Load reportedLoad = answerLine.load();
            switch (answerLine.state()) {
                case STARTED -> exchange.attempt.noteReceived(Note.STARTED, 0);
                case RUNNING -> exchange.attempt.noteReceived(Note.PROGRESS, answerLine.share());
                case DONE -> endExchange(Status.OK, reportedLoad, countResult(answerLine.result()));
                case FAILED -> endExchange(Status.ERROR, reportedLoad, null);
                case RETURNED -> endExchange(Status.FULL, reportedLoad, null);
                case LOST -> endExchange(Status.RESET, reportedLoad, null);
                default -> {}
            }
        }

        /** The result takes over what its line, which is longer, has reserved. */
        private CountedBytes countResult(byte[] result) {
            MemoryReservation reservation = lineMemory;
            reservation.setReclaimer(null);
            lineMemory = newLineMemory();
            return new CountedBytes(result, 0, reservation);
        }

        private void endExchange(Status endStatus, Load reportedLoad, CountedBytes result) {
            lineMemory.release(); // the rest of the answer is not kept
            exchange.end(endStatus, reportedLoad, result);
            setTimeLimit(ANSWER_END_TIMEOUT_MILLIS);
        }

        @Override
        public boolean messageComplete() {
            if (statusCode < 200) {
                if (++linesRead > MAX_ANSWER_LINES) {
                    throw new InvalidAnswerException("more than " + MAX_ANSWER_LINES + " interim responses");
                }
                parser.reset();
                return true;
            }
            if (lineBuffer != null) {
                // The stream ended without a final state: the job may have run.
                exchange.end(Status.RESET, headerLoad, null);
            } else if (exchange.probe != null) {
                Load reportedLoad = LoadReport.parse(Json.parseOrNull(answerBody.toString()));
                exchange.end(
                        statusCode == 200 ? Status.OK : Status.ERROR,
                        reportedLoad != null ? reportedLoad : headerLoad,
                        null);
            } else {
                exchange.end(provesJobDidNotRun() ? Status.FULL : Status.ERROR, headerLoad, null);
            }
            boolean reusable = persistent && exchange.fullyWritten;
            usedBefore = true;
            exchange = null;
            resetParser(headMemory, this::newParser);
            if (reusable) {
                returnToPool();
            } else {
                closeNow();
            }
            return true;
        }

        @Override
        protected void onClosed(Throwable cause) {
            connections.remove(this);
            idleConnections.remove(this);
            lineMemory.release();
            headMemory.release();
            releaseBody();
            if (reservedFor != null) {
                Exchange next = reservedFor;
                reservedFor = null;
                if (wasIdle && !next.ended) {
                    startExchange(next); // none of it has been sent
                } else {
                    next.end(Status.CONNECT_FAILED, null, null);
                }
            }
            if (exchange != null) {
                // Only a request whose last byte was not written is certain not to have run.
                exchange.end(
                        exchange.fullyWritten || exchange.writePending && !hasWriteFailed()
                                ? Status.RESET
                                : Status.CONNECT_FAILED,
                        null,
                        null);
                exchange = null;
            }
        }
    }
}
