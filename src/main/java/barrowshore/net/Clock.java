package barrowshore.net;

import java.util.function.LongSupplier;

/**
 * The scheduler's clock, in microseconds of Unix time. It reads the wall clock only at the start and is monotonic from
 * there, so that a step of the wall clock never moves a deadline. The decision module gets times passed in and must not
 * read it.
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
