package barrowshore.capacity.simulated;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * The processor time of one hollow scheduler: of the decision module's calls by what they are for, and of all of its
 * threads together. It owns these sums. Calls are made by one thread at a time, as an actor's are; sums may be read by any.
 */
final class ProcessorMeter {
    /** What a call of the decision module is for; all but requests and probes are control. */
    enum Part {
        REFRESH,
        PEERS,
        LIST,
        CONFIGURATION,
        PROBES,
        REQUESTS
    }

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private final ThreadGroup group;
    private final AtomicLongArray nanos = new AtomicLongArray(Part.values().length);
    private final AtomicLongArray calls = new AtomicLongArray(Part.values().length);

    ProcessorMeter(ThreadGroup group) {
        this.group = group;
    }

    void run(Part part, Runnable call) {
        long from = THREADS.getCurrentThreadCpuTime();
        try {
            call.run();
        } finally {
            nanos.addAndGet(part.ordinal(), THREADS.getCurrentThreadCpuTime() - from);
            calls.incrementAndGet(part.ordinal());
        }
    }

    long nanos(Part part) {
        return nanos.get(part.ordinal());
    }

    long calls(Part part) {
        return calls.get(part.ordinal());
    }

    /** Of all threads in the group that are alive; none of them ends before the scheduler does. */
    long allNanos() {
        Thread[] threads = new Thread[2 * group.activeCount() + 8];
        int count = group.enumerate(threads);
        long sum = 0;
        for (int k = 0; k < count; k++) {
            sum += Math.max(0, THREADS.getThreadCpuTime(threads[k].getId()));
        }
        return sum;
    }
}
