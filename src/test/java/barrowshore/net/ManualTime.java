package barrowshore.net;

import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;

/** Time that moves only when told; timers run in the mover's thread. */
public final class ManualTime extends AbstractLifeCycle implements Scheduler {
    private record Entry(long at, long order, Runnable run) {}

    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private long nanos;
    private long order;

    @Override
    public synchronized Task schedule(Runnable run, long delay, TimeUnit unit) {
        Entry entry = new Entry(nanos + unit.toNanos(delay), order++, run);
        entries.add(entry);
        return () -> {
            synchronized (this) {
                return entries.remove(entry);
            }
        };
    }

    public synchronized long nanos() {
        return nanos;
    }

    public long millis() {
        return TimeUnit.NANOSECONDS.toMillis(nanos());
    }

    /** How many timers have been set so far. */
    public synchronized long scheduled() {
        return order;
    }

    /** Moves time on; what is due by then runs at its own time. */
    public void advance(long millis) {
        long until = nanos() + TimeUnit.MILLISECONDS.toNanos(millis);
        for (Entry due = next(until); due != null; due = next(until)) {
            due.run.run();
        }
    }

    private synchronized Entry next(long until) {
        Entry due = entries.peek();
        boolean now = due != null && due.at <= until;
        nanos = now ? Math.max(nanos, due.at) : until;
        return now ? entries.poll() : null;
    }
}
