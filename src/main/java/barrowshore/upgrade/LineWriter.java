package barrowshore.upgrade;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes lines to another process in a thread of its own, so that one that doesn't read never holds this process up. Lines
 * wait in a bounded queue; what finds it full is dropped.
 */
final class LineWriter {
    private static final System.Logger LOG = System.getLogger("barrowshore.upgrade.Twin");
    private static final int MAX_QUEUED_LINES = 49_152;
    /** Optional lines are dropped above this, so that the others find room; all ids that a process remembers fit. */
    private static final int MAX_QUEUED_BEFORE_OPTIONAL = MAX_QUEUED_LINES / 2;

    /** A long line is dropped where so many characters wait; the longest list of servers fits. */
    private static final long MAX_QUEUED_LONG_CHARACTERS = 2 << 20;

    private final SocketChannel channel;
    /** Characters of long lines in the queue. */
    private final AtomicLong queuedLongCharacters = new AtomicLong();

    private final BlockingQueue<QueuedLine> lines = new LinkedBlockingQueue<>(MAX_QUEUED_LINES);
    private final Thread thread;

    private record QueuedLine(String text, boolean isLong) {}

    /** Starts the thread, which ends when the channel fails or {@link #stop} is called. */
    LineWriter(SocketChannel channel) {
        this.channel = channel;
        this.thread = new Thread(this::writeLoop, "upgrade-writer");
        thread.setDaemon(true);
        thread.start();
    }

    /** Queues a line, without its terminator; optional: the other process can do without it. */
    void write(String line, boolean optional) {
        boolean hasRoom = !optional || lines.size() < MAX_QUEUED_BEFORE_OPTIONAL;
        if (!hasRoom || !lines.offer(new QueuedLine(line, false))) {
            logDropped();
        }
    }

    /** Queues a line that may be as long as a list of servers: so many that wait are bounded in characters too. */
    void writeLong(String line) {
        boolean hasRoom = queuedLongCharacters.addAndGet(line.length()) <= MAX_QUEUED_LONG_CHARACTERS;
        if (!hasRoom || !lines.offer(new QueuedLine(line, true))) {
            queuedLongCharacters.addAndGet(-line.length());
            logDropped();
        }
    }

    private static void logDropped() {
        LOG.log(Level.DEBUG, "a line to the other process of the upgrade was dropped: it does not read");
    }

    private void writeLoop() {
        try {
            while (channel.isOpen()) {
                QueuedLine line = lines.take();
                if (line.isLong()) {
                    queuedLongCharacters.addAndGet(-line.text().length());
                }
                ByteBuffer bytes = ByteBuffer.wrap((line.text() + "\n").getBytes(StandardCharsets.UTF_8));
                while (bytes.hasRemaining()) {
                    channel.write(bytes);
                }
            }
        } catch (IOException e) {
            // The reader thread sees the closed connection and cleans up.
            LOG.log(Level.DEBUG, "a line to the other process of the upgrade was not sent", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends the thread, which closes the channel too if it is being written to. */
    void stop() {
        thread.interrupt();
    }
}
