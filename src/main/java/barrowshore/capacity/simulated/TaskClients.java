package barrowshore.capacity.simulated;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * The clients of the real schedulers: each task over a connection of its own, thousands at once on one selector and one
 * thread. It owns these connections and counts by answer. It must never send a task twice.
 */
final class TaskClients implements AutoCloseable {
    /** What a client got: a result, a refusal to come back later, a failure, or no answer at all. */
    enum Answer {
        SERVED,
        TURNED_DOWN,
        FAILED,
        NONE
    }

    /** Where the three digits of the status stand in an answer's first line. */
    private static final int STATUS_FROM = 9, STATUS_TO = 12;

    private static final int READ_BUFFER = 4096;

    private final Selector selector = Selector.open();
    private final Queue<Call> fresh = new ConcurrentLinkedQueue<>();
    private final AtomicLongArray answers;
    private final ByteBuffer in = ByteBuffer.allocate(READ_BUFFER);

    /** One task's connection. */
    private static final class Call {
        final int scheduler;
        final InetSocketAddress to;
        final ByteBuffer unsent;
        final StringBuilder start = new StringBuilder();

        Call(int scheduler, InetSocketAddress to, ByteBuffer unsent) {
            this.scheduler = scheduler;
            this.to = to;
            this.unsent = unsent;
        }
    }

    TaskClients(int schedulers) throws IOException {
        answers = new AtomicLongArray(schedulers * Answer.values().length);
        Thread thread = new Thread(this::carry, "task clients");
        thread.setDaemon(true);
        thread.start();
    }

    /** Sends a task to a scheduler, by its number and address. work: milliseconds that it takes on a free slot. */
    void send(int scheduler, InetSocketAddress to, String id, int jobClass, int tenant, long work) {
        String name = TargetSite.CLASSES.get(jobClass);
        String request = "POST /" + name + "?work=" + work + " HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: " + name + "\r\nX-Tenant-Id: " + TargetSite.tenant(tenant)
                + "\r\nX-Timeout-Ms: " + TargetSite.TIMEOUT_MILLIS
                + "\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx";
        fresh.add(new Call(scheduler, to, ByteBuffer.wrap(request.getBytes(StandardCharsets.ISO_8859_1))));
        selector.wakeup();
    }

    long answers(int scheduler, Answer answer) {
        return answers.get(scheduler * Answer.values().length + answer.ordinal());
    }

    private void carry() {
        try {
            while (selector.isOpen()) {
                selector.select();
                for (Call call = fresh.poll(); call != null; call = fresh.poll()) {
                    connect(call);
                }
                for (SelectionKey key : selector.selectedKeys()) {
                    go(key, (Call) key.attachment());
                }
                selector.selectedKeys().clear();
            }
        } catch (IOException | ClosedSelectorException e) {
            // Closed: whatever was open is of no interest any more.
            fresh.clear();
        }
    }

    private void connect(Call call) throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.configureBlocking(false);
        try {
            boolean up = channel.connect(call.to);
            channel.register(selector, up ? SelectionKey.OP_WRITE : SelectionKey.OP_CONNECT, call);
        } catch (IOException e) {
            channel.close();
            answered(call);
        }
    }

    private void go(SelectionKey key, Call call) throws IOException {
        SocketChannel channel = (SocketChannel) key.channel();
        try {
            if (key.isConnectable() && channel.finishConnect()) {
                key.interestOps(SelectionKey.OP_WRITE);
            }
            if (key.isWritable()) {
                channel.write(call.unsent);
                key.interestOps(call.unsent.hasRemaining() ? SelectionKey.OP_WRITE : SelectionKey.OP_READ);
            }
            if (key.isReadable() && !read(channel, call)) {
                channel.close();
                answered(call);
            }
        } catch (IOException | CancelledKeyException e) {
            channel.close();
            answered(call);
        }
    }

    /** Whether more may come. */
    private boolean read(SocketChannel channel, Call call) throws IOException {
        in.clear();
        int count = channel.read(in);
        in.flip();
        while (in.hasRemaining() && call.start.length() < STATUS_TO) {
            call.start.append((char) in.get());
        }
        return count >= 0;
    }

    private void answered(Call call) {
        String status = call.start.length() < STATUS_TO ? "" : call.start.substring(STATUS_FROM, STATUS_TO);
        Answer answer =
                switch (status) {
                    case "200" -> Answer.SERVED;
                    case "429", "503" -> Answer.TURNED_DOWN;
                    case "" -> Answer.NONE;
                    default -> Answer.FAILED;
                };
        answers.incrementAndGet(call.scheduler * Answer.values().length + answer.ordinal());
    }

    @Override
    public void close() throws IOException {
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }
}
