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
    private static final int ENTRY = 2;
    /** Idle connections kept: only probes and what may run twice use them. */
    private static final int MOST_IDLE = 4;

    private static final byte[] NO_BODY = new byte[0];
    /** How long an answer's tail may take after its last line, before the connection is given up. */
    private static final long TAIL = 1000;
    /** Lines and bytes of one answer: far more than a job tells of itself, and few enough to be read for nothing. */
    private static final int MOST_LINES = 1000;

    private static final int MOST_ANSWER = 1 << 20;
    /** A result of 64 KiB with every byte escaped, and what stands round it. */
    private static final int LONGEST_LINE = 400 * 1024;

    /** More requests, or free slots, than any machine has. */
    private static final double MOST_LOAD = 1e5;

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
    private final ConnectionManager dialer;
    private final Scheduler timers;
    private final Mailbox mailbox;
    private final long retireAfter;
    private final int most;
    private final ArrayDeque<Link> idle = new ArrayDeque<>();
    private final Set<Link> links = new HashSet<>();
    private final Map<Attempt, Work> works = new HashMap<>();
    private int dialing;
    private InetSocketAddress address;
    private ServerList.State state = ServerList.State.GONE;
    private long bootMicros;

    public Server(String uid, Executor pool, ConnectionManager dialer, Scheduler timers, long keepAlive, int most) {
        this.uid = uid;
        this.dialer = dialer;
        this.timers = timers;
        this.most = most;
        // Guards against the stale-pool race: what is written to a connection that the server is closing may
        // have run, so an idle one is retired at half the time after which the server closes it.
        this.retireAfter = Math.max(1, keepAlive / 2000);
        this.mailbox = new Mailbox("server " + uid, pool);
    }

    /** What the service discovery says of it now. */
    public void update(ServerList.Entry entry) {
        mailbox.post(() -> {
            boolean moved = entry.address() != null && !entry.address().equals(address);
            if (moved || entry.bootMicros() != bootMicros || entry.state() != ServerList.State.READY) {
                retire();
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
            retire();
        });
    }

    /** Connections to a former address or life, or to one that drains, end: idle ones now, those at work after it. */
    private void retire() {
        links.forEach(link -> link.retired = true);
        while (!idle.isEmpty()) {
            idle.poll().closeNow();
        }
    }

    public void send(Attempt attempt) {
        mailbox.post(() -> {
            Work work = new Work(attempt, null);
            works.put(attempt, work);
            start(work);
        });
    }

    /** The attempt is no longer waited for; its end, if still to come, is of no interest. */
    public void abandon(Attempt attempt) {
        mailbox.post(() -> {
            Work work = works.remove(attempt);
            if (work != null) {
                work.over = true;
                if (work.link != null) {
                    work.link.closeNow();
                }
            }
        });
    }

    /** Nobody waits for the attempt any more: if its first byte has not gone, it does not go. */
    public void cancelIfUnsent(Attempt attempt) {
        mailbox.post(() -> {
            Work work = works.get(attempt);
            if (work != null && work.link == null) {
                work.end(Status.NOT_SENT, null, null);
            }
        });
    }

    public void probe(long timeoutMillis, Probe probe) {
        mailbox.post(() -> {
            Work work = new Work(null, probe);
            work.timer = timers.schedule(
                    () -> mailbox.post(() -> {
                        if (!work.over) {
                            work.end(Status.TIMEOUT, null, null);
                            if (work.link != null) {
                                work.link.closeNow();
                            }
                        }
                    }),
                    timeoutMillis,
                    TimeUnit.MILLISECONDS);
            start(work);
        });
    }

    private void start(Work work) {
        // Guards what must not run twice: a kept connection may be reset just as it is written to, which proves nothing
        // and fails the request. A fresh one that does not come up proves that it never ran.
        Link link = work.mayReuse() ? idle.pollLast() : null;
        if (link != null) {
            link.reserve(work);
            return;
        }
        if (address == null) {
            work.end(Status.CONNECT_FAILED, null, null);
            return;
        }
        if (links.size() + dialing >= most) {
            work.end(Status.NOT_SENT, null, null); // shed before descriptors run out; it has not been sent
            return;
        }
        dialing++;
        boolean started = dialer.dial(address, ENTRY, new ConnectionManager.DialHandler() {
            @Override
            public Connection apply(EndPoint endPoint) {
                return new Link(endPoint, work);
            }

            @Override
            public void onDialFailed(Throwable cause) {
                mailbox.post(() -> {
                    dialing--;
                    work.end(Status.CONNECT_FAILED, null, null);
                });
            }
        });
        if (!started) {
            dialing--;
            work.end(Status.NOT_SENT, null, null);
        }
    }

    /** What a connection carries: an attempt or a probe, and whether its one end has been told. */
    private final class Work {
        final Attempt attempt;
        final Probe probe;
        Scheduler.Task timer;
        Link link;
        boolean over;
        /**
         * Whether the last byte has been written. Set by the writer itself, the one thing here that does not come by
         * the mailbox: it once did, and a reset read in the same turn as the write overtook it, so that a request
         * written whole was reported as never run.
         */
        volatile boolean written;
        /** Whether a part of it was left for another thread to write: then nothing but a failed write proves anything. */
        boolean partly;

        Work(Attempt attempt, Probe probe) {
            this.attempt = attempt;
            this.probe = probe;
        }

        boolean mayReuse() {
            return probe != null || attempt.request().repeatable();
        }

        void end(Status status, Load load, byte[] result) {
            if (over) {
                return;
            }
            over = true;
            if (probe != null) {
                timer.cancel();
                probe.ended(status, load);
            } else {
                works.remove(attempt);
                attempt.ended(status, load, result);
            }
        }
    }

    /** A load report; what it does not tell is NaN, what is no report is null. */
    static Load load(Object json) {
        return json instanceof Map<?, ?> map && !map.isEmpty()
                ? new Load(number(map, "inflight"), number(map, "queue"), number(map, "x0"))
                : null;
    }

    /** A figure that no machine can have is none: it must not poison what is learned. */
    private static double number(Map<?, ?> map, String name) {
        double value = map.get(name) instanceof Number n ? n.doubleValue() : Double.NaN;
        return value >= 0 && value <= MOST_LOAD ? value : Double.NaN;
    }

    /** One connection: idle, or carrying one piece of work. */
    private final class Link extends HttpLink implements HttpParser.ResponseHandler {
        private Work work;
        /** What it will carry unless something ends first, while is looked whether the client is still there. */
        private Work reserved;
        /** Whether it has stood idle. */
        private boolean kept;

        private LineBuffer lines;
        private StringBuilder body;
        private boolean retired;
        /** Whether an earlier piece of work was carried here: then what comes may be a late answer to that. */
        private boolean used;

        private int linesRead, bytesRead;
        private int status;
        private boolean notProcessed;
        private Load load;

        Link(EndPoint endPoint, Work first) {
            super(endPoint, Server.this.mailbox, timers);
            this.work = first;
            parser = new HttpParser((HttpParser.ResponseHandler) this, MAX_HEADER);
        }

        @Override
        protected void onConnected() {
            dialing--;
            links.add(this);
            Work first = work;
            work = null;
            reserve(first);
        }

        /** The connection is the work's, whose client is asked after once more: its turn may have been long in coming. */
        void reserve(Work next) {
            reserved = next;
            setTimeLimit(0);
            if (next.attempt == null) {
                begin(next);
            } else {
                next.attempt.checkClient(() -> mailbox.post(() -> begin(next)));
            }
        }

        private void begin(Work next) {
            if (reserved != next) {
                return; // the connection has ended meanwhile
            }
            reserved = null;
            boolean fresh = !kept;
            if (next.over || !mayBegin(next)) {
                next.end(Status.NOT_SENT, null, null); // our reason: it says nothing of the server
                rest(); // the next attempt can have it
            } else if (kept && (retired || brokenWhileIdle())) {
                closeNow();
                start(next);
            } else {
                carry(next);
            }
            if (fresh) {
                read();
            }
        }

        /** Guards the drain rule: connecting took time, so the state is looked at again as the first byte goes. */
        private boolean mayBegin(Work next) {
            return state == ServerList.State.READY && (next.attempt == null || next.attempt.mayBegin());
        }

        private void rest() {
            if (retired || state != ServerList.State.READY || hasUnread()) {
                closeNow();
                return;
            }
            kept = true;
            setTimeLimit(retireAfter);
            idle.addLast(this);
            if (idle.size() > MOST_IDLE) {
                idle.pollFirst().closeNow();
            }
        }

        private void carry(Work next) {
            Attempt attempt = next.attempt;
            work = next;
            next.link = this;
            notProcessed = false;
            status = 0;
            load = null;
            lines = null;
            body = null;
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
                        () -> next.written = true);
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
                        next.written = true;
                        attempt.requestWritten();
                    });
            next.partly = !next.written && !hasWriteFailed();
        }

        @Override
        protected boolean wantsBytes() {
            return work != null;
        }

        @Override
        protected void read() {
            if (work == null && !isClosed() && brokenWhileIdle()) {
                closeNow(); // bytes or an end where nothing was asked: notice it at once
                return;
            }
            super.read();
        }

        @Override
        public void startResponse(HttpVersion version, int code, String reason) {
            status = code;
            persistent = version == HttpVersion.HTTP_1_1;
        }

        @Override
        public void parsedHeader(HttpField field) {
            super.parsedHeader(field);
            if (field.is(NOT_PROCESSED_HEADER)) {
                notProcessed = "1".equals(field.getValue());
            } else if (field.is(LOAD_HEADER)) {
                load = load(Json.parseOrNull(field.getValue()));
            }
        }

        @Override
        public boolean headerComplete() {
            if (status < 200) {
                return false; // an interim answer: the answer is still to come
            }
            if (work.attempt != null && status == 200) {
                lines = new LineBuffer(LONGEST_LINE);
            } else {
                body = new StringBuilder();
                if (work.attempt != null && !neverRan()) {
                    last(Status.ERROR, load, null); // its body, which may never end, says nothing more
                } else {
                    setTimeLimit(TAIL);
                }
            }
            return false;
        }

        /**
         * Whether the answer says, and proves, that the job did not run. On a connection that was used before, it may be a
         * second answer to the job before, which proves nothing where repeats do harm.
         */
        private boolean neverRan() {
            return notProcessed
                    && (status == 503 || status == 504)
                    && (!used || work.attempt.request().repeatWindowMicros() == JobRequest.NO_REPEAT_LIMIT);
        }

        @Override
        public boolean content(ByteBuffer bytes) {
            bytesRead += bytes.remaining();
            if (bytesRead > MOST_ANSWER) {
                throw new IllegalStateException("an answer is longer than " + MOST_ANSWER + " bytes");
            }
            if (lines != null) {
                lines.add(bytes, this::line);
            } else if (body.length() < LONGEST_LINE) {
                body.append(StandardCharsets.UTF_8.decode(bytes));
            }
            return false;
        }

        private void line(String text) {
            if (++linesRead > MOST_LINES) {
                throw new IllegalStateException("an answer has over " + MOST_LINES + " lines");
            }
            if (text.isBlank() || work.over) {
                return;
            }
            if (!(Json.parseOrNull(text) instanceof Map<?, ?> map)
                    || !work.attempt.request().id().equals(map.get("id"))) {
                // Not an answer to this request: nothing on this connection can be trusted any more. It is closed
                // before its end
                // is told, as by any exception here: a repeat that overtook the close would be a second copy.
                throw new IllegalStateException("an answer to another request");
            }
            Load told = load(map.get("load"));
            switch (String.valueOf(map.get("state"))) {
                case "started" -> work.attempt.noteReceived(Note.STARTED, 0);
                case "running" -> work.attempt.noteReceived(
                        Note.PROGRESS, map.get("share") instanceof Number n ? n.doubleValue() : 0);
                case "done" -> last(
                        Status.OK, told, String.valueOf(map.get("result")).getBytes(StandardCharsets.UTF_8));
                case "failed" -> last(Status.ERROR, told, null);
                case "returned" -> last(Status.FULL, told, null);
                case "lost" -> last(Status.RESET, told, null);
                default -> {}
            }
        }

        private void last(Status end, Load told, byte[] result) {
            work.end(end, told, result);
            setTimeLimit(TAIL);
        }

        @Override
        public boolean messageComplete() {
            if (status < 200) {
                if (++linesRead > MOST_LINES) {
                    throw new IllegalStateException("over " + MOST_LINES + " interim answers");
                }
                parser.reset();
                return true;
            }
            if (lines != null) {
                // A stream without a last line is a reset: the job may have run.
                work.end(Status.RESET, load, null);
            } else if (work.probe != null) {
                Load told = load(Json.parseOrNull(body.toString()));
                work.end(status == 200 ? Status.OK : Status.ERROR, told != null ? told : load, null);
            } else {
                work.end(neverRan() ? Status.FULL : Status.ERROR, load, null);
            }
            boolean reusable = persistent && work.written;
            used = true;
            work = null;
            parser.reset();
            if (reusable) {
                rest();
            } else {
                closeNow();
            }
            return true;
        }

        @Override
        protected void onEnd(Throwable cause) {
            links.remove(this);
            idle.remove(this);
            if (reserved != null) {
                Work next = reserved;
                reserved = null;
                if (kept && !next.over) {
                    start(next); // nothing of it was written here
                } else {
                    next.end(Status.CONNECT_FAILED, null, null);
                }
            }
            if (work != null) {
                // Only a request whose last byte was not written is known not to have run.
                work.end(
                        work.written || work.partly && !hasWriteFailed() ? Status.RESET : Status.CONNECT_FAILED,
                        null,
                        null);
                work = null;
            }
        }
    }
}
