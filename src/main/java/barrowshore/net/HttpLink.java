package barrowshore.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpGenerator;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * One HTTP/1.1 connection of any peer: bytes in through Jetty's parser, messages out through its generator. It owns its
 * end point, its read buffer and the timer that limits it, and is the one place that gives them back; all of it runs in
 * the mailbox of the actor it belongs to. It must never resend anything, and never read further ahead than one buffer.
 */
public abstract class HttpLink extends AbstractConnection implements HttpParser.HttpHandler {
    private static final int READ_BUFFER_BYTES = 4096;
    private static final int INITIAL_HEADER_BUFFER_BYTES = 2048;
    /** A head, of a request or an answer, is at most so long. */
    protected static final int MAX_HEADER = 16384;
    /** Bytes read and thrown away at once for a peer to get its last answer. */
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;
    /**
     * A peer that floods us beyond that is read on at this pace: so many bytes, then a rest. Ended at once, its unread bytes
     * would reset the connection and eat the answer; so it is its time that is bounded.
     */
    private static final int FLOOD_READ_BYTES = 64 * 1024;

    private static final long FLOOD_PAUSE_MILLIS = 10;

    protected final Mailbox mailbox;
    private final Scheduler timers;
    private Scheduler.Task timeLimit;
    /** Counts the limits set: one that ran out as the next was set must not end the connection. */
    private int timeLimitCount;

    private final ByteBuffer readBuffer = BufferUtil.allocate(READ_BUFFER_BYTES);
    /** Set by the subclass's constructor; it needs the subclass as its handler. */
    protected HttpParser parser;
    /** Whether the message read last leaves the connection to the next one. */
    protected boolean persistent;

    private boolean closed;
    /** Set by the writer itself, so that whoever wrote knows as the write returns. */
    private volatile boolean writeFailed;

    private boolean discarding;
    /** Whether more came unasked than one buffer holds: it is thrown away, so that the peer's end is still seen. */
    private boolean flooded;

    private int discardedBytes;

    protected HttpLink(EndPoint endPoint, Mailbox mailbox, Scheduler timers) {
        super(endPoint, Runnable::run);
        this.mailbox = mailbox;
        this.timers = timers;
    }

    /** The peer has closed, the connection broke, or we closed it: called once, always. */
    protected abstract void onEnd(Throwable cause);

    @Override
    public void onOpen() {
        super.onOpen();
        mailbox.post(this::onConnected);
    }

    /** The connection is up. */
    protected void onConnected() {
        read();
    }

    @Override
    public void onFillable() {
        mailbox.post(this::read);
    }

    @Override
    public void onFillInterestedFailed(Throwable cause) {
        mailbox.post(() -> end(cause));
    }

    /** Calls {@link #onTimeLimit} after so long, unless another limit or none (0) is set before. */
    protected void setTimeLimit(long millis) {
        if (timeLimit != null) {
            timeLimit.cancel();
        }
        int timeLimitNumber = ++timeLimitCount;
        timeLimit = millis > 0 && !closed
                ? timers.schedule(
                        () -> mailbox.post(() -> {
                            if (timeLimitNumber == timeLimitCount) {
                                onTimeLimit();
                            }
                        }),
                        millis,
                        TimeUnit.MILLISECONDS)
                : null;
    }

    /** The limit has run out. */
    protected void onTimeLimit() {
        closeNow();
    }

    /** Reads and parses until there is nothing more, or the subclass stops it by {@link #wantsBytes}. */
    protected void read() {
        try {
            while (!closed) {
                if (!discarding && !flooded && BufferUtil.space(readBuffer) == 0 && !wantsBytes()) {
                    flooded = discardsOverflow();
                }
                if (discarding || flooded) {
                    discardedBytes += readBuffer.remaining();
                    BufferUtil.clear(readBuffer);
                    if (discardedBytes > MAX_DISCARDED_BYTES + FLOOD_READ_BYTES) {
                        discardedBytes = MAX_DISCARDED_BYTES;
                        timers.schedule(() -> mailbox.post(this::read), FLOOD_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
                        return;
                    }
                }
                boolean parse = !discarding && !flooded && wantsBytes();
                if (parse && BufferUtil.hasContent(readBuffer)) {
                    parser.parseNext(readBuffer);
                    continue;
                }
                int filled = getEndPoint().fill(readBuffer);
                if (filled < 0) {
                    if (parse) {
                        parser.atEOF();
                        parser.parseNext(BufferUtil.EMPTY_BUFFER);
                    }
                    end(null);
                } else if (filled == 0) {
                    // A full buffer that nobody wants is left unread: the peer waits, as TCP has it.
                    if ((BufferUtil.space(readBuffer) > 0 || parse) && !isFillInterested()) {
                        fillInterested(Callback.from(
                                Invocable.InvocationType.NON_BLOCKING, this::onFillable, this::onFillInterestedFailed));
                    }
                    return;
                }
            }
        } catch (IOException | RuntimeException | AssertionError e) {
            // Whatever a peer sends costs at most its own connection. The parser, where assertions are on, has one
            // against
            // an error within an answer that says 200.
            end(e);
        }
    }

    /** Whether bytes go to the parser now; if not they are kept, and only the end of the stream is looked for. */
    protected boolean wantsBytes() {
        return true;
    }

    /**
     * A whole buffer has come that nobody wants yet. True: it and all that follows is thrown away, and nothing more can be
     * read here; false: the peer is left to wait, and its end is not seen until it is read on.
     */
    protected boolean discardsOverflow() {
        return false;
    }

    protected boolean isFlooded() {
        return flooded;
    }

    /** Whether the peer has closed a connection that should be silent; asked just before it is written to. */
    public boolean brokenWhileIdle() {
        try {
            return closed || !getEndPoint().isOpen() || getEndPoint().fill(readBuffer) != 0;
        } catch (IOException e) {
            return true;
        }
    }

    /** Whether bytes have come that nobody has asked for. */
    protected boolean hasUnread() {
        return BufferUtil.hasContent(readBuffer);
    }

    /**
     * Ends our side and lets the peer end its own: closing at once, with bytes unread, would reset the connection and
     * could destroy the answer on its way.
     */
    protected void closeGracefully(long millis) {
        discarding = true;
        discardedBytes = 0;
        setTimeLimit(millis);
        getEndPoint().shutdownOutput();
        read();
    }

    /** The peer does not speak HTTP. */
    @Override
    public void badMessage(HttpException failure) {
        end(failure instanceof Throwable cause ? cause : null);
    }

    protected boolean isClosed() {
        return closed;
    }

    public void closeNow() {
        end(null);
    }

    private void end(Throwable cause) {
        if (!closed) {
            closed = true;
            setTimeLimit(0);
            getEndPoint().close(cause);
            onEnd(cause);
        }
    }

    /**
     * Writes a whole message. The runnable is run by whoever writes the last byte, before anything that comes back can
     * be read; it may only post or set a flag meant for that. A failure ends the connection, through the mailbox.
     */
    protected void write(MetaData message, byte[] body, Runnable written) {
        ByteBuffer content = body.length == 0 ? null : ByteBuffer.wrap(body);
        ByteBuffer header = generateHeader(message, content);
        Callback callback = Callback.from(written::run, cause -> {
            writeFailed = true;
            mailbox.post(() -> end(cause));
        });
        if (content == null) {
            getEndPoint().write(callback, header);
        } else {
            getEndPoint().write(callback, header, content);
        }
    }

    /** Whether a write has failed, which proves that its last byte has not gone. */
    protected boolean hasWriteFailed() {
        return writeFailed;
    }

    /** Writes bytes that are a message already, or a part of one; as above. One write at a time. */
    protected void write(ByteBuffer bytes, Runnable written) {
        getEndPoint().write(Callback.from(written::run, cause -> mailbox.post(() -> end(cause))), bytes);
    }

    private static ByteBuffer generateHeader(MetaData message, ByteBuffer content) {
        for (int size = INITIAL_HEADER_BUFFER_BYTES; ; size *= 2) {
            HttpGenerator generator = new HttpGenerator();
            ByteBuffer header = BufferUtil.allocate(size);
            try {
                HttpGenerator.Result result = message instanceof MetaData.Request request
                        ? generator.generateRequest(request, header, null, content, true)
                        : generator.generateResponse((MetaData.Response) message, false, header, null, content, true);
                if (result == HttpGenerator.Result.FLUSH) {
                    return header;
                }
                if (result != HttpGenerator.Result.HEADER_OVERFLOW || size > 4 * MAX_HEADER) {
                    throw new IllegalStateException("the generator wants " + result);
                }
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    // What most peers' messages do not need.

    @Override
    public boolean contentComplete() {
        return false;
    }

    @Override
    public boolean content(ByteBuffer bytes) {
        return false;
    }

    @Override
    public boolean headerComplete() {
        return false;
    }

    @Override
    public void parsedHeader(HttpField field) {
        if (field.getHeader() == HttpHeader.CONNECTION && field.contains("close")) {
            persistent = false;
        }
    }

    @Override
    public void earlyEOF() {}
}
