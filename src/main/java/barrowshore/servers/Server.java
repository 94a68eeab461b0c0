package barrowshore.servers;

import barrowshore.list.ServerList;
import barrowshore.module.DispatchApi.Load;
import barrowshore.module.DispatchApi.Note;
import barrowshore.module.DispatchApi.Status;
import barrowshore.net.ConnectionManager;
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
 * One server: an actor that carries attempts and probes to it over its own pool of connections. It owns those
 * connections, each from its dial to its end, and reports exactly one end of each attempt and probe. It must never
 * choose a server, never send anything twice, and never say that a request did not run without proof: refused, never
 * up, or broken before the last byte was written.
 */
public final class Server {
    private static final String LOAD_HEADER = "X-Server-Load";
    private static final String NOT_PROCESSED_HEADER = "X-Not-Processed";
    /** Descriptors left to the service discovery: busy servers must not keep it from being heard. */
    private static final int DESCRIPTORS_RESERVED_FOR_DISCOVERY = 2;
    /** Idle connections kept: only probes and what may run twice use them. */
    private static final int MAX_IDLE_CONNECTIONS = 4;

    private static final byte[] NO_BODY = new byte[0];
    /** How long an answer's tail may take after its last line, before the connection is given up. */
    private static final long ANSWER_END_TIMEOUT_MILLIS = 1000;
    /** Lines and bytes of one answer: far more than a job tells of itself, and few enough to be read for nothing. */
    private static final int MAX_ANSWER_LINES = 1000;

    private static final int MAX_ANSWER_BYTES = 1 << 20;
    /** A result of 64 KiB with every byte escaped, and what stands round it. */
    private static final int MAX_LINE_BYTES = 400 * 1024;

    /** More requests, or free slots, than any machine has. */
    private static final double MAX_LOAD_VALUE = 1e5;

    /** One attempt, as the module actor knows it; it gets one end. */
    public interface Attempt {
        JobRequest request();

        /** How long the scheduler will wait, in microseconds from now. */
        long timeLeftMicros();

        /**
         * Whether its first byte may still go: somebody waits for it, and its time is not up, nor that in which a repeat is
         * harmless.
         */
        boolean mayBegin();

        /** Looks whether its client is still there, then runs the message, from any thread; it may only post. */
        void checkClient(Runnable then);

        /** Its last byte has been written; called by the writer, so it may only post. */
        void requestWritten();

        void noteReceived(Note note, double share);

        void ended(Status status, Load load, byte[] result);
    }

    /** Takes the one end of a probe. */
    public interface Probe {
        void ended(Status status, Load load);
    }

    private final String uid;
    private final ConnectionManager connectionManager;
    private final Scheduler timers;
    private final Mailbox mailbox;
    private final long idleTimeoutMillis;
    private final int maxConnections;
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
            int maxConnections) {
        this.uid = uid;
        this.connectionManager = connectionManager;
        this.timers = timers;
        this.maxConnections = maxConnections;
        // Guards against the stale-pool race: what is written to a connection that the server is closing may
        // have run, so an idle one is retired at half the time after which the server closes it.
        this.idleTimeoutMillis = Math.max(1, keepAliveMicros / 2000);
        this.mailbox = new Mailbox("server " + uid, pool);
    }

    /** What the service discovery says of it now. */
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

    /** The service discovery no longer lists it. */
    public void unlisted() {
        mailbox.post(() -> {
            state = ServerList.State.GONE;
            retireConnections();
        });
    }

    /** Connections to a former address or life, or to one that drains, end: idle ones now, those at work after it. */
    private void retireConnections() {
        connections.forEach(connection -> connection.retired = true);
        while (!idleConnections.isEmpty()) {
            idleConnections.poll().closeNow();
        }
    }

    public void send(Attempt attempt) {
        mailbox.post(() -> {
            Exchange exchange = new Exchange(attempt, null);
            exchangesByAttempt.put(attempt, exchange);
            startExchange(exchange);
        });
    }

    /** The attempt is no longer waited for; its end, if still to come, is of no interest. */
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

    /** Nobody waits for the attempt any more: if its first byte has not gone, it does not go. */
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
        // Guards what must not run twice: a kept connection may be reset just as it is written to, which proves nothing
        // and fails the request. A fresh one that does not come up proves that it never ran.
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
            exchange.end(Status.NOT_SENT, null, null); // shed before descriptors run out; it has not been sent
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

    /** What a connection carries: an attempt or a probe, and whether its one end has been told. */
    private final class Exchange {
        final Attempt attempt;
        final Probe probe;
        Scheduler.Task timer;
        ServerConnection connection;
        boolean ended;
        /**
         * Whether the last byte has been written. Set by the writer itself, the one thing here that does not come by
         * the mailbox: it once did, and a reset read in the same turn as the write overtook it, so that a request
         * written whole was reported as never run.
         */
        volatile boolean fullyWritten;
        /** Whether a part of it was left for another thread to write: then nothing but a failed write proves anything. */
        boolean writePending;

        Exchange(Attempt attempt, Probe probe) {
            this.attempt = attempt;
            this.probe = probe;
        }

        boolean mayReuseConnection() {
            return probe != null || attempt.request().repeatable();
        }

        void end(Status status, Load load, byte[] result) {
            if (ended) {
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

    /** A load report; what it does not tell is NaN, what is no report is null. */
    static Load parseLoad(Object json) {
        return json instanceof Map<?, ?> map && !map.isEmpty()
                ? new Load(loadValue(map, "inflight"), loadValue(map, "queue"), loadValue(map, "x0"))
                : null;
    }

    /** A figure that no machine can have is none: it must not poison what is learned. */
    private static double loadValue(Map<?, ?> map, String name) {
        double value = map.get(name) instanceof Number n ? n.doubleValue() : Double.NaN;
        return value >= 0 && value <= MAX_LOAD_VALUE ? value : Double.NaN;
    }

    /** One connection: idle, or carrying one piece of work. */
    private final class ServerConnection extends HttpLink implements HttpParser.ResponseHandler {
        private Exchange exchange;
        /** What it will carry unless something ends first, while is looked whether the client is still there. */
        private Exchange reservedFor;
        /** Whether it has stood idle. */
        private boolean wasIdle;

        private LineBuffer lineBuffer;
        private StringBuilder answerBody;
        private boolean retired;
        /** Whether an earlier piece of work was carried here: then what comes may be a late answer to that. */
        private boolean usedBefore;

        private int linesRead, bytesRead;
        private int statusCode;
        private boolean notProcessed;
        private Load headerLoad;

        ServerConnection(EndPoint endPoint, Exchange first) {
            super(endPoint, Server.this.mailbox, timers);
            this.exchange = first;
            parser = new HttpParser((HttpParser.ResponseHandler) this, MAX_HEADER);
        }

        @Override
        protected void onConnected() {
            pendingDials--;
            connections.add(this);
            Exchange first = exchange;
            exchange = null;
            reserve(first);
        }

        /** The connection is the work's, whose client is asked after once more: its turn may have been long in coming. */
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
                return; // the connection has ended meanwhile
            }
            reservedFor = null;
            boolean newConnection = !wasIdle;
            if (next.ended || !mayBegin(next)) {
                next.end(Status.NOT_SENT, null, null); // our reason: it says nothing of the server
                returnToPool(); // the next attempt can have it
            } else if (wasIdle && (retired || brokenWhileIdle())) {
                closeNow();
                startExchange(next);
            } else {
                sendRequest(next);
            }
            if (newConnection) {
                read();
            }
        }

        /** Guards the drain rule: connecting took time, so the state is looked at again as the first byte goes. */
        private boolean mayBegin(Exchange next) {
            return state == ServerList.State.READY && (next.attempt == null || next.attempt.mayBegin());
        }

        private void returnToPool() {
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
                            request.body().length),
                    request.body(),
                    () -> {
                        next.fullyWritten = true;
                        attempt.requestWritten();
                    });
            next.writePending = !next.fullyWritten && !hasWriteFailed();
        }

        @Override
        protected boolean wantsBytes() {
            return exchange != null;
        }

        @Override
        protected void read() {
            if (exchange == null && !isClosed() && brokenWhileIdle()) {
                closeNow(); // bytes or an end where nothing was asked: notice it at once
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
                headerLoad = parseLoad(Json.parseOrNull(field.getValue()));
            }
        }

        @Override
        public boolean headerComplete() {
            if (statusCode < 200) {
                return false; // an interim answer: the answer is still to come
            }
            if (exchange.attempt != null && statusCode == 200) {
                lineBuffer = new LineBuffer(MAX_LINE_BYTES);
            } else {
                answerBody = new StringBuilder();
                if (exchange.attempt != null && !provesJobDidNotRun()) {
                    endExchange(Status.ERROR, headerLoad, null); // its body, which may never end, says nothing more
                } else {
                    setTimeLimit(ANSWER_END_TIMEOUT_MILLIS);
                }
            }
            return false;
        }

        /**
         * Whether the answer says, and proves, that the job did not run. On a connection that was used before, it may be a
         * second answer to the job before, which proves nothing where repeats do harm.
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
                throw new IllegalStateException("an answer is longer than " + MAX_ANSWER_BYTES + " bytes");
            }
            if (lineBuffer != null) {
                lineBuffer.add(bytes, this::handleLine);
            } else if (answerBody.length() < MAX_LINE_BYTES) {
                answerBody.append(StandardCharsets.UTF_8.decode(bytes));
            }
            return false;
        }

        private void handleLine(String line) {
            if (++linesRead > MAX_ANSWER_LINES) {
                throw new IllegalStateException("an answer has over " + MAX_ANSWER_LINES + " lines");
            }
            if (line.isBlank() || exchange.ended) {
                return;
            }
            if (!(Json.parseOrNull(line) instanceof Map<?, ?> map)
                    || !exchange.attempt.request().id().equals(map.get("id"))) {
                // Not an answer to this request: nothing on this connection can be trusted any more. It is closed
                // before its end
                // is told, as by any exception here: a repeat that overtook the close would be a second copy.
                throw new IllegalStateException("an answer to another request");
            }
            Load reportedLoad = parseLoad(map.get("load"));
            switch (String.valueOf(map.get("state"))) {
                case "started" -> exchange.attempt.noteReceived(Note.STARTED, 0);
                case "running" -> exchange.attempt.noteReceived(
                        Note.PROGRESS, map.get("share") instanceof Number n ? n.doubleValue() : 0);
                case "done" -> endExchange(
                        Status.OK,
                        reportedLoad,
                        String.valueOf(map.get("result")).getBytes(StandardCharsets.UTF_8));
                case "failed" -> endExchange(Status.ERROR, reportedLoad, null);
                case "returned" -> endExchange(Status.FULL, reportedLoad, null);
                case "lost" -> endExchange(Status.RESET, reportedLoad, null);
                default -> {}
            }
        }

        private void endExchange(Status endStatus, Load reportedLoad, byte[] result) {
            exchange.end(endStatus, reportedLoad, result);
            setTimeLimit(ANSWER_END_TIMEOUT_MILLIS);
        }

        @Override
        public boolean messageComplete() {
            if (statusCode < 200) {
                if (++linesRead > MAX_ANSWER_LINES) {
                    throw new IllegalStateException("over " + MAX_ANSWER_LINES + " interim answers");
                }
                parser.reset();
                return true;
            }
            if (lineBuffer != null) {
                // A stream without a last line is a reset: the job may have run.
                exchange.end(Status.RESET, headerLoad, null);
            } else if (exchange.probe != null) {
                Load reportedLoad = parseLoad(Json.parseOrNull(answerBody.toString()));
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
            parser.reset();
            if (reusable) {
                returnToPool();
            } else {
                closeNow();
            }
            return true;
        }

        @Override
        protected void onEnd(Throwable cause) {
            connections.remove(this);
            idleConnections.remove(this);
            if (reservedFor != null) {
                Exchange next = reservedFor;
                reservedFor = null;
                if (wasIdle && !next.ended) {
                    startExchange(next); // nothing of it was written here
                } else {
                    next.end(Status.CONNECT_FAILED, null, null);
                }
            }
            if (exchange != null) {
                // Only a request whose last byte was not written is known not to have run.
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
