package barrowshore.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class ClockTest {
    @Test
    void wallClockIsReadOnlyOnce() {
        AtomicLong nanos = new AtomicLong(-5_000);
        Clock clock = new Clock(1_700_000_000_000L, nanos::get);
        nanos.addAndGet(2_500_000);
        assertThat(clock.micros()).isEqualTo(1_700_000_000_002_500L);
    }
}
