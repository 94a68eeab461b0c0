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
 * Clients of the real schedulers: each task has its own connection, and thousands of them share one selector and one
 * thread. It counts the answers by kind and never sends a task twice.
 */
final class TaskClients implements AutoCloseable {
    /** Outcome for a client: a result, a refusal (429 or 503), any other status, or no answer. */
    enum Answer {
        SERVED,
        TURNED_DOWN,
        FAILED,
        NONE
    }

    /** Position of the status code in the first line of a response. */
    private static final int STATUS_START = 9, STATUS_END = 12;

    private static final int READ_BUFFER_BYTES = 4096;

    private final Selector selector = Selector.open();
    private final Queue<TaskRequest> newTasks = new ConcurrentLinkedQueue<>();
    private final AtomicLongArray answers;
    private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);

    /** State of the connection of one task. */
    private static final class TaskRequest {
        final int scheduler;
        final InetSocketAddress address;
        final ByteBuffer unsent;
        final StringBuilder responseStart = new StringBuilder();

        TaskRequest(int scheduler, InetSocketAddress to, ByteBuffer unsent) {
            this.scheduler = scheduler;
            this.address = to;
            this.unsent = unsent;
        }
    }

    TaskClients(int schedulers) throws IOException {
        answers = new AtomicLongArray(schedulers * Answer.values().length);
        Thread thread = new Thread(this::runSelector, "task clients");
        thread.setDaemon(true);
        thread.start();
    }

    /** Sends a task to the scheduler with this number and address. workMillis: time that it takes on a free slot. */
    void send(int scheduler, InetSocketAddress to, String id, int jobClass, int tenant, long workMillis) {
        String name = TargetSite.CLASSES.get(jobClass);
        String request = "POST /" + name + "?work=" + workMillis + " HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: " + name + "\r\nX-Tenant-Id: " + TargetSite.tenantName(tenant)
                + "\r\nX-Timeout-Ms: " + TargetSite.TIMEOUT_MILLIS
                + "\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx";
        newTasks.add(new TaskRequest(scheduler, to, ByteBuffer.wrap(request.getBytes(StandardCharsets.ISO_8859_1))));
        selector.wakeup();
    }

    long answers(int scheduler, Answer answer) {
        return answers.get(scheduler * Answer.values().length + answer.ordinal());
    }

    private void runSelector() {
        try {
            while (selector.isOpen()) {
                selector.select();
                for (TaskRequest task = newTasks.poll(); task != null; task = newTasks.poll()) {
                    connect(task);
                }
                for (SelectionKey key : selector.selectedKeys()) {
                    handleReady(key, (TaskRequest) key.attachment());
                }
                selector.selectedKeys().clear();
            }
        } catch (IOException | ClosedSelectorException e) {
            // The selector is closed; connections that are still open are dropped.
            newTasks.clear();
        }
    }

    private void connect(TaskRequest task) throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.configureBlocking(false);
        try {
            boolean up = channel.connect(task.address);
            channel.register(selector, up ? SelectionKey.OP_WRITE : SelectionKey.OP_CONNECT, task);
        } catch (IOException e) {
            channel.close();
            countAnswer(task);
        }
    }

    private void handleReady(SelectionKey key, TaskRequest task) throws IOException {
        SocketChannel channel = (SocketChannel) key.channel();
        try {
            if (key.isConnectable() && channel.finishConnect()) {
                key.interestOps(SelectionKey.OP_WRITE);
            }
            if (key.isWritable()) {
                channel.write(task.unsent);
                key.interestOps(task.unsent.hasRemaining() ? SelectionKey.OP_WRITE : SelectionKey.OP_READ);
            }
            if (key.isReadable() && !read(channel, task)) {
                channel.close();
                countAnswer(task);
            }
        } catch (IOException | CancelledKeyException e) {
            channel.close();
            countAnswer(task);
        }
    }

    /** Reads the available bytes; returns false at the end of the stream. */
    private boolean read(SocketChannel channel, TaskRequest task) throws IOException {
        readBuffer.clear();
        int count = channel.read(readBuffer);
        readBuffer.flip();
        while (readBuffer.hasRemaining() && task.responseStart.length() < STATUS_END) {
            task.responseStart.append((char) readBuffer.get());
        }
        return count >= 0;
    }

    private void countAnswer(TaskRequest task) {
        String status =
                task.responseStart.length() < STATUS_END ? "" : task.responseStart.substring(STATUS_START, STATUS_END);
        Answer answer =
                switch (status) {
                    case "200" -> Answer.SERVED;
                    case "429", "503" -> Answer.TURNED_DOWN;
                    case "" -> Answer.NONE;
                    default -> Answer.FAILED;
                };
        answers.incrementAndGet(task.scheduler * Answer.values().length + answer.ordinal());
    }

    @Override
    public void close() throws IOException {
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }
}
