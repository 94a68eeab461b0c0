package barrowshore.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How much is discarded before reading pauses, and between two pauses. */
class DiscardMeterTest {
    private static final int READ_BYTES = 4096;

    @ParameterizedTest
    @CsvSource({"true, 16777216", "false, 262144"})
    void readingPausesAboveItsLimitAndThenEach64Kilobytes(boolean answerAwaited, int fullSpeedBytes) {
        DiscardMeter meter = new DiscardMeter();
        assertThat(readsUntilPause(meter, answerAwaited)).isEqualTo((fullSpeedBytes + 65_536) / READ_BYTES + 1);
        assertThat(readsUntilPause(meter, answerAwaited)).isEqualTo(65_536 / READ_BYTES + 1);
        assertThat(readsUntilPause(meter, answerAwaited)).isEqualTo(65_536 / READ_BYTES + 1);
    }

    private static int readsUntilPause(DiscardMeter meter, boolean answerAwaited) {
        int countBefore = meter.count();
        while (!meter.isPauseDue(answerAwaited)) {
            meter.add(0);
            meter.add(READ_BYTES);
        }
        return meter.count() - countBefore;
    }
}
