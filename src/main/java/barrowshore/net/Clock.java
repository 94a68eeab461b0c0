package barrowshore.net;

import java.util.function.LongSupplier;

/**
 * The scheduler's one clock: microseconds of Unix time, anchored to the wall clock once, at the start, and monotonic
 * from there, so that a step of the wall clock never moves a deadline. It must never be read by the decision module.
 */
public final class Clock {
    private final LongSupplier nanos;
    private final long anchorNanos;
    private final long anchorMicros;

    public Clock(long wallMillis, LongSupplier nanos) {
        this.nanos = nanos;
        this.anchorNanos = nanos.getAsLong();
        this.anchorMicros = wallMillis * 1000;
    }

    public static Clock system() {
        return new Clock(System.currentTimeMillis(), System::nanoTime);
    }

    public long micros() {
        return anchorMicros + (nanos.getAsLong() - anchorNanos) / 1000;
    }
}
