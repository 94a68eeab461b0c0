package barrowshore.capacity.simulated;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Measures the CPU time of one simulated scheduler: of the decision module's calls by category, and of all its threads
 * together. Calls to {@link #run} come from one thread at a time, as an actor's do; the totals may be read from any
 * thread.
 */
final class CpuMeter {
    /** Purpose of a call to the decision module; all categories except PROBES and REQUESTS are control. */
    enum Category {
        REFRESH,
        PEERS,
        LIST,
        CONFIGURATION,
        PROBES,
        REQUESTS
    }

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private final ThreadGroup group;
    private final AtomicLongArray nanos = new AtomicLongArray(Category.values().length);
    private final AtomicLongArray calls = new AtomicLongArray(Category.values().length);

    CpuMeter(ThreadGroup group) {
        this.group = group;
    }

    /** Runs the call and adds its CPU time and a count of one to the category. */
    void run(Category category, Runnable call) {
        long from = THREADS.getCurrentThreadCpuTime();
        try {
            call.run();
        } finally {
            nanos.addAndGet(category.ordinal(), THREADS.getCurrentThreadCpuTime() - from);
            calls.incrementAndGet(category.ordinal());
        }
    }

    long nanos(Category category) {
        return nanos.get(category.ordinal());
    }

    long calls(Category category) {
        return calls.get(category.ordinal());
    }

    /** Returns the CPU time of all live threads in the group; none of them ends before the scheduler does. */
    long threadGroupNanos() {
        Thread[] threads = new Thread[2 * group.activeCount() + 8];
        int count = group.enumerate(threads);
        long sum = 0;
        for (int k = 0; k < count; k++) {
            sum += Math.max(0, THREADS.getThreadCpuTime(threads[k].getId()));
        }
        return sum;
    }
}
