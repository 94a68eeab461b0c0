package barrowshore.emulate;

import barrowshore.model.Timeline;
import java.util.PriorityQueue;

/**
 * Discrete-event virtual time. It owns the clock and the pending events, which run by time and, at equal times, in the order
 * they were added, so that equal inputs give equal runs. It never reads the real time.
 */
public final class VirtualClock implements Timeline {
    private record Event(long at, long order, Runnable run) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private long now;
    private long nextOrder;

    /** Starts at a given time, so that 0 can mean long ago. */
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

    /** Runs the action after a delay. */
    public void runAfter(long delay, Runnable action) {
        runAt(now + delay, action);
    }

    /** Runs the events due up to a time, and advances the clock to it. */
    public void runUntil(long until) {
        while (!events.isEmpty() && events.peek().at <= until) {
            Event next = events.poll();
            now = next.at;
            next.run.run();
        }
        now = Math.max(now, until);
    }

    /** Number of events added so far. */
    public long eventCount() {
        return nextOrder;
    }
}
