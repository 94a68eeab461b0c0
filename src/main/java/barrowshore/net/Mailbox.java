package barrowshore.net;

import java.lang.System.Logger.Level;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The mailbox of an actor: messages posted from any thread run one at a time, in order, on the shared pool. It owns the
 * promise that an actor's state is touched by one thread at a time; it must never run a message in the caller's stack,
 * and never let an exception of one message lose the next.
 */
public final class Mailbox implements Runnable {
    private static final System.Logger LOG = System.getLogger(Mailbox.class.getName());
    /** Messages run in one turn, so that a busy actor lets the others at the pool. */
    private static final int MAX_MESSAGES_PER_RUN = 64;

    private final String name;
    private final Executor pool;
    private final ConcurrentLinkedQueue<Runnable> messages = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pendingCount = new AtomicInteger();

    public Mailbox(String name, Executor pool) {
        this.name = name;
        this.pool = pool;
    }

    public void post(Runnable message) {
        messages.add(message);
        if (pendingCount.getAndIncrement() == 0) {
            submitRun();
        }
    }

    /** A pool that has been shut down means that the whole scheduler has stopped at once, and this with it. */
    private void submitRun() {
        try {
            pool.execute(this);
        } catch (RejectedExecutionException e) {
            LOG.log(Level.DEBUG, "a message to " + name + " came after the end", e);
        }
    }

    @Override
    public void run() {
        int processed = 0;
        while (processed < MAX_MESSAGES_PER_RUN) {
            Runnable message = messages.poll();
            if (message == null) {
                break;
            }
            processed++;
            try {
                message.run();
            } catch (Throwable e) { // guards the actor: a message that dies must not wedge the mailbox
                LOG.log(Level.ERROR, "a message to " + name + " failed", e);
            }
        }
        if (pendingCount.addAndGet(-processed) > 0) {
            submitRun();
        }
    }
}
