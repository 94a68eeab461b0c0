package barrowshore.emulate;

import barrowshore.model.Timeline;
import java.util.PriorityQueue;

/**
 * Virtual time: discrete events in the order of their times and, at one time, of their making, so that the same inputs
 * give the same run. It owns the clock and what is still to come; it must never look at the real time.
 */
public final class VirtualClock implements Timeline {
    private record Event(long at, long order, Runnable run) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private long now;
    private long nextOrder;

    /** Starts at a time, so that 0 can go on meaning long ago. */
    public VirtualClock(long start) {
        now = start;
    }

    @Override
    public long now() {
        return now;
    }

    @Override
    public void runAt(long time, Runnable action) {
        events.add(new Event(Math.max(now, time), nextOrder++, action));
    }

    /** Runs it so long from now. */
    public void runAfter(long delay, Runnable action) {
        runAt(now + delay, action);
    }

    /** Runs what is due until then. */
    public void runUntil(long until) {
        while (!events.isEmpty() && events.peek().at <= until) {
            Event next = events.poll();
            now = next.at;
            next.run.run();
        }
        now = Math.max(now, until);
    }

    /** How many events there have been. */
    public long eventCount() {
        return nextOrder;
    }
}
