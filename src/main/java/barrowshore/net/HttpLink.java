package barrowshore.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
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
 * Base of all HTTP/1.1 connections, on Jetty's parser and generator. Each belongs to an actor and runs in its mailbox;
 * it owns its end point, read buffer and time limit and is the only place that releases them. It resends nothing and
 * reads at most one buffer ahead.
 */
public abstract class HttpLink extends AbstractConnection implements HttpParser.HttpHandler {
    static final int READ_BUFFER_BYTES = 4096;
    private static final int INITIAL_HEADER_BUFFER_BYTES = 2048;
    /** Longest accepted head of a request or a response. */
    protected static final int MAX_HEADER_BYTES = 16384;

    private static final long FLOOD_PAUSE_MILLIS = 10;
    private static final int DISCARD_BUFFER_BYTES = 64 * 1024;
    /** Takes what is discarded, on all connections: nobody reads it. */
    private static final ByteBuffer DISCARD_BUFFER = ByteBuffer.allocateDirect(DISCARD_BUFFER_BYTES);
    /** After so long without a byte, a peer whose window was closed has had time to send on, or to tell its end. */
    private static final long QUIET_MILLIS = 10;
    /** How often {@link #checkEnd} waits for that. */
    private static final int MAX_QUIET_WAITS = 4;

    /** Time until the next try to parse after {@link #reserveForParsing} has refused. */
    protected static final long MEMORY_RETRY_MILLIS = 10;

    protected final Mailbox mailbox;
    private final Scheduler timers;
    private Scheduler.Task timeLimit;
    /** Number of the latest time limit: an earlier one that fires late must not close the connection. */
    private int timeLimitCount;

    private final ByteBuffer readBuffer = BufferUtil.allocate(READ_BUFFER_BYTES);
    /** Set by the subclass's constructor, since the subclass is its handler. */
    protected HttpParser parser;
    /** Whether the connection may be reused after the last message read. */
    protected boolean persistent;

    private boolean closed;
    /** Set directly by the writing thread, so that it is known as soon as the write returns. */
    private volatile boolean writeFailed;

    private boolean discarding;
    /** Whether unsolicited bytes overflowed the buffer; they are discarded, so that the peer's close is still seen. */
    private boolean flooded;

    private final DiscardMeter discardMeter = new DiscardMeter();
    /** Whether reading has stopped until a timer fires. */
    private boolean readingPaused;
    /** Whether the last {@link #checkEnd} could not tell: so much comes that the end may be behind it. */
    private volatile boolean endUnknown;

    /** Whether reading goes on when a timer fires, after {@link #reserveForParsing} has refused. */
    private boolean waitingForMemory;

    /** Whether the peer has ended its stream, so that a message which is not whole never will be. */
    private boolean endOfStream;

    protected HttpLink(EndPoint endPoint, Mailbox mailbox, Scheduler timers) {
        super(endPoint, Runnable::run);
        this.mailbox = mailbox;
        this.timers = timers;
    }

    /**
     * Switches off the parser's cache of fields: it takes some 100 KB for each connection on which a second message comes,
     * and most fields are new with each message.
     */
    protected static HttpParser withoutFieldCache(HttpParser parser) {
        parser.setHeaderCacheSize(0);
        return parser;
    }

    /** Prepares for the next message; after a long head the parser is replaced, since its buffers stay as large as that. */
    protected void resetParser(HeadMemory headMemory, Supplier<HttpParser> newParser) {
        if (headMemory.isLong()) {
            parser = newParser.get();
        } else {
            parser.reset();
        }
        headMemory.release();
    }

    /** Called exactly once, when either side has closed the connection or it broke. */
    protected abstract void onClosed(Throwable cause);

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

    /** Calls {@link #onTimeLimit} after the given time unless another limit is set before; 0 removes the limit. */
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

    /** Called when the time limit expires. */
    protected void onTimeLimit() {
        closeNow();
    }

    /** Reads and parses until no bytes are left or {@link #isParsingEnabled} stops it. */
    protected void read() {
        try {
            boolean goOn = true;
            while (goOn && !closed) {
                goOn = discardUnwanted() && (canParse() && BufferUtil.hasContent(readBuffer) ? parse() : fill());
            }
        } catch (IOException | RuntimeException | AssertionError | OutOfMemoryError e) {
            // Whatever a peer sends may cost at most its own connection. With assertions enabled, the parser throws an
            // AssertionError on an error within a response with status 200.
            end(e);
        }
    }

    private boolean canParse() {
        return !isDiscarding() && isParsingEnabled();
    }

    /** Discards what nobody wants any more; false: so much that reading pauses. */
    private boolean discardUnwanted() {
        if (!isDiscarding() && BufferUtil.space(readBuffer) == 0 && !isParsingEnabled()) {
            flooded = discardsOverflow();
        }
        if (!isDiscarding()) {
            return true;
        }
        discardMeter.add(readBuffer.remaining());
        BufferUtil.clear(readBuffer);
        if (!readingPaused && discardMeter.isPauseDue(!discarding)) {
            pauseReading();
        }
        return !readingPaused;
    }

    private boolean isDiscarding() {
        return discarding || flooded;
    }

    private void pauseReading() {
        readingPaused = true;
        timers.schedule(
                () -> mailbox.post(() -> {
                    readingPaused = false;
                    read();
                }),
                FLOOD_PAUSE_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Reads all that has arrived, so that an end is noticed that comes behind it, then runs the callback. Where unwanted
     * bytes have overflowed the buffer, an end may be on its way behind more of them, which the peer could not send before:
     * so the callback waits until none has come for a while. If they go on coming, {@link #isEndUnknown} is true afterwards.
     */
    protected void checkEnd(Runnable then) {
        checkEnd(then, MAX_QUIET_WAITS);
    }

    private void checkEnd(Runnable then, int waitsLeft) {
        read();
        if (closed || !flooded) {
            then.run();
            return;
        }
        int countBefore = discardMeter.count();
        timers.schedule(
                () -> mailbox.post(() -> {
                    read();
                    boolean quiet = closed || discardMeter.count() == countBefore && !readingPaused;
                    if (quiet || waitsLeft == 0) {
                        endUnknown = !quiet;
                        then.run();
                    } else {
                        checkEnd(then, waitsLeft - 1);
                    }
                }),
                QUIET_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Whether the peer sends so much that the last {@link #checkEnd} could not tell whether it has ended; any thread. */
    protected boolean isEndUnknown() {
        return endUnknown;
    }

    /** Parses what is in the buffer; false: it has to wait for memory. */
    private boolean parse() {
        if (reserveForParsing(readBuffer.remaining())) {
            parser.parseNext(readBuffer);
        } else if (!closed && isParsingEnabled()) {
            retryReadLater();
            return false;
        }
        return true;
    }

    /** Fills the buffer from the socket; false: there was nothing to read. */
    private boolean fill() throws IOException {
        boolean parse = canParse();
        int filled = isDiscarding() ? fillAndDiscard() : getEndPoint().fill(readBuffer);
        if (filled < 0) {
            endOfStream = true;
            if (parse) {
                parser.atEOF();
                parser.parseNext(BufferUtil.EMPTY_BUFFER);
            }
            end(null);
        } else if (filled == 0) {
            // With a full buffer and nobody to take it, stop reading: TCP flow control makes the peer wait.
            if ((BufferUtil.space(readBuffer) > 0 || parse) && !isFillInterested()) {
                fillInterested(Callback.from(
                        Invocable.InvocationType.NON_BLOCKING, this::onFillable, this::onFillInterestedFailed));
            }
            return false;
        }
        return true;
    }

    private int fillAndDiscard() throws IOException {
        ByteBuffer buffer = DISCARD_BUFFER.duplicate();
        BufferUtil.clear(buffer);
        int filled = getEndPoint().fill(buffer);
        discardMeter.add(Math.max(0, filled));
        return filled;
    }

    /**
     * Reserves memory for what parsing so many bytes may make this connection keep. False: not now; unless the subclass has
     * stopped parsing, it is tried again after {@link #MEMORY_RETRY_MILLIS}, and meanwhile nothing more is read.
     */
    protected boolean reserveForParsing(int bytes) {
        return true;
    }

    private void retryReadLater() {
        if (!waitingForMemory) {
            waitingForMemory = true;
            timers.schedule(
                    () -> mailbox.post(() -> {
                        waitingForMemory = false;
                        read();
                    }),
                    MEMORY_RETRY_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Whether bytes go to the parser now; if not, one buffer of them is kept, and the end of the stream is noticed. */
    protected boolean isParsingEnabled() {
        return true;
    }

    /**
     * What to do when unwanted bytes fill the buffer. True: discard them and all that follow, so that nothing more can be
     * parsed on this connection. False: stop reading, so that the peer's close goes unnoticed until reading resumes.
     */
    protected boolean discardsOverflow() {
        return false;
    }

    protected boolean isFlooded() {
        return flooded;
    }

    /** Whether an idle connection was closed, or got unsolicited bytes; to be checked right before writing. */
    public boolean isBrokenWhileIdle() {
        try {
            return closed || !getEndPoint().isOpen() || getEndPoint().fill(readBuffer) != 0;
        } catch (IOException e) {
            return true;
        }
    }

    /** Whether the buffer holds unparsed bytes. */
    protected boolean hasUnread() {
        return BufferUtil.hasContent(readBuffer);
    }

    /**
     * Shuts down our side and waits up to the given time for the peer to close its own. Closing with bytes unread would
     * reset the connection and could destroy an answer in flight.
     */
    protected void closeGracefully(long millis) {
        discarding = true;
        discardMeter.reset();
        setTimeLimit(millis);
        getEndPoint().shutdownOutput();
        read();
    }

    /** The peer has sent something other than valid HTTP. */
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
            onClosed(cause);
        }
    }

    /**
     * Writes a complete message. The callback runs in the thread that writes the last byte, before any response can be
     * read; it may only post, or set a volatile flag. A failure closes the connection, by a message to the mailbox.
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

    /** Whether a write has failed, which proves that its last byte was not sent. */
    protected boolean hasWriteFailed() {
        return writeFailed;
    }

    /** Writes bytes of an encoded message, with the callback as above; only one write may be pending at a time. */
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
                if (result != HttpGenerator.Result.HEADER_OVERFLOW || size > 4 * MAX_HEADER_BYTES) {
                    throw new IllegalStateException(
                            "cannot generate the message head: HttpGenerator returned " + result);
                }
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    // Defaults for parser events that most subclasses don't use.

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

    /**
     * The message cannot be parsed to its end: the stream has ended within it, or it is invalid behind its head. The parser
     * reports an exception of this class's methods in the same way, and as such only where assertions are enabled.
     */
    @Override
    public void earlyEOF() {
        if (!endOfStream) {
            end(new IOException("the rest of a message is invalid"));
        }
    }

    /** Whether the peer has ended its stream. */
    protected boolean isEndOfStream() {
        return endOfStream;
    }
}
