package barrowshore.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.function.LongSupplier;

/**
 * Adds up the processor time of the calls into one module, by kind. The time is that of the calling thread, so that
 * other processes on a busy machine are not counted; the cost of reading the clock is subtracted. Garbage collection
 * and compilation run on other threads and are not included.
 */
final class CallMeter {
    private static final int CALIBRATION_READS = 20_000;

    private final LongSupplier nanos;
    private final long readingCost;
    private final long[] nanosByKind = new long[CallKind.values().length];
    private final long[] callsByKind = new long[CallKind.values().length];

    private CallMeter(LongSupplier nanos, long readingCost) {
        this.nanos = nanos;
        this.readingCost = readingCost;
    }

    /** Returns a meter that counts calls without measuring their time. */
    static CallMeter countsOnly() {
        return new CallMeter(() -> 0, 0);
    }

    /** Returns a meter of the calling thread's processor time. */
    static CallMeter ofThisThread() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        LongSupplier nanos = threads::getCurrentThreadCpuTime;
        return new CallMeter(nanos, readingCost(nanos));
    }

    private static long readingCost(LongSupplier nanos) {
        long before = nanos.getAsLong();
        for (int i = 0; i < CALIBRATION_READS; i++) {
            nanos.getAsLong();
        }
        return (nanos.getAsLong() - before) / CALIBRATION_READS;
    }

    void measure(CallKind kind, Runnable call) {
        long before = nanos.getAsLong();
        call.run();
        long took = nanos.getAsLong() - before - readingCost;
        nanosByKind[kind.ordinal()] += Math.max(0, took);
        callsByKind[kind.ordinal()]++;
    }

    /** Clears all counts, at the end of the warm-up. */
    void reset() {
        Arrays.fill(nanosByKind, 0);
        Arrays.fill(callsByKind, 0);
    }

    long nanos(CallKind kind) {
        return nanosByKind[kind.ordinal()];
    }

    long calls(CallKind kind) {
        return callsByKind[kind.ordinal()];
    }

    /** Returns the nanoseconds of all control calls, or of all request calls. */
    long nanos(boolean control) {
        long sum = 0;
        for (CallKind kind : CallKind.values()) {
            sum += kind.control == control ? nanos(kind) : 0;
        }
        return sum;
    }
}
