package barrowshore.net;

import java.lang.System.Logger.Level;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;

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
    /** Whether a run is queued or under way. */
    private final AtomicBoolean scheduled = new AtomicBoolean();

    public Mailbox(String name, Executor pool) {
        this.name = name;
        this.pool = pool;
    }

    public void post(Runnable message) {
        messages.add(message);
        scheduleRun();
    }

    private void scheduleRun() {
        if (scheduled.compareAndSet(false, true)) {
            boolean submitted = false;
            try {
                pool.execute(this);
                submitted = true;
            } catch (RejectedExecutionException e) {
                // The pool rejects only after its shutdown, when the whole scheduler has stopped.
                LOG.log(Level.DEBUG, "mailbox of " + name + ": message dropped, the pool has been shut down", e);
            } finally {
                if (!submitted) {
                    scheduled.set(false); // after an error such as lack of memory, the next message tries again
                }
            }
        }
    }

    @Override
    public void run() {
        try {
            processMessages();
        } finally {
            scheduled.set(false);
            if (!messages.isEmpty()) {
                scheduleRun();
            }
        }
    }

    private void processMessages() {
        for (int processed = 0; processed < MAX_MESSAGES_PER_RUN; processed++) {
            Runnable message = messages.poll();
            if (message == null) {
                return;
            }
            try {
                message.run();
            } catch (Throwable e) { // a failing message must not block the mailbox
                LOG.log(Level.ERROR, "mailbox of " + name + ": message failed; continuing with the next", e);
            }
        }
    }
}
