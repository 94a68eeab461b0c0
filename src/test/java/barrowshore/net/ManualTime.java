package barrowshore.net;

import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;

/** A scheduler whose time moves only by {@link #advance}; timers run in the thread that calls it. */
public final class ManualTime extends AbstractLifeCycle implements Scheduler {
    private record Timer(long dueNanos, long order, Runnable run) {}

    private final PriorityQueue<Timer> timers = new PriorityQueue<>(
            (a, b) -> a.dueNanos != b.dueNanos ? Long.compare(a.dueNanos, b.dueNanos) : Long.compare(a.order, b.order));
    private long nanos;
    private long scheduledCount;

    @Override
    public synchronized Task schedule(Runnable run, long delay, TimeUnit unit) {
        Timer entry = new Timer(nanos + unit.toNanos(delay), scheduledCount++, run);
        timers.add(entry);
        return () -> {
            synchronized (this) {
                return timers.remove(entry);
            }
        };
    }

    public synchronized long nanos() {
        return nanos;
    }

    public long millis() {
        return TimeUnit.NANOSECONDS.toMillis(nanos());
    }

    /** Number of timers ever scheduled. */
    public synchronized long scheduled() {
        return scheduledCount;
    }

    /** Advances time; each timer due by then runs at its own due time. */
    public void advance(long millis) {
        long until = nanos() + TimeUnit.MILLISECONDS.toNanos(millis);
        for (Timer due = pollDue(until); due != null; due = pollDue(until)) {
            due.run.run();
        }
    }

    private synchronized Timer pollDue(long until) {
        Timer due = timers.peek();
        boolean now = due != null && due.dueNanos <= until;
        nanos = now ? Math.max(nanos, due.dueNanos) : until;
        return now ? timers.poll() : null;
    }
}
