package barrowshore.net;

import java.lang.System.Logger.Level;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The mailbox of an actor: runs messages posted by any thread one at a time and in order, so that only one thread
 * at a time touches the actor's state. It runs them on the shared pool, never on the caller's stack, and an exception
 * in one message doesn't affect the next.
 */
public final class Mailbox implements Runnable {
    private static final System.Logger LOG = System.getLogger(Mailbox.class.getName());
    /** After so many messages a busy actor queues again behind the other tasks of the pool. */
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

    /** The pool rejects only after its shutdown, when the whole scheduler has stopped and the message can be dropped. */
    private void submitRun() {
        try {
            pool.execute(this);
        } catch (RejectedExecutionException e) {
            LOG.log(Level.DEBUG, "mailbox of " + name + ": message dropped, the pool has been shut down", e);
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
            } catch (Throwable e) { // a failing message must not block the mailbox
                LOG.log(Level.ERROR, "mailbox of " + name + ": message failed; continuing with the next", e);
            }
        }
        if (pendingCount.addAndGet(-processed) > 0) {
            submitRun();
        }
    }
}
