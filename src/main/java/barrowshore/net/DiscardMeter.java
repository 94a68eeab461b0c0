package barrowshore.net;

/**
 * Counts the bytes that a connection reads only to discard them, and tells when reading has to pause. What is discarded is
 * not closed at once: a close with bytes unread would reset the connection and could destroy the last answer.
 */
final class DiscardMeter {
    /** Read at full speed after the last answer, so that the peer can still read that; the time limit bounds the rest. */
    private static final int MAX_AFTER_LAST_ANSWER_BYTES = 256 * 1024;
    /**
     * Read at full speed while an answer is awaited: the peer's close is noticed only behind them, so they exceed what
     * systems usually buffer for a connection.
     */
    private static final int MAX_BEFORE_ANSWER_BYTES = 16 * 1024 * 1024;
    /** Read between two pauses, above that. */
    private static final int BYTES_PER_PAUSE = 64 * 1024;

    private int bytes;
    private int count;

    /** Counts what one read has discarded, maybe nothing. */
    void add(int discardedBytes) {
        bytes += discardedBytes;
        count += discardedBytes > 0 ? 1 : 0;
    }

    /** Forgets the bytes. */
    void reset() {
        bytes = 0;
    }

    /** Whether so much has been discarded that reading has to pause; if so, the next bytes count towards the next pause. */
    boolean isPauseDue(boolean answerAwaited) {
        int fullSpeedBytes = answerAwaited ? MAX_BEFORE_ANSWER_BYTES : MAX_AFTER_LAST_ANSWER_BYTES;
        if (bytes <= fullSpeedBytes + BYTES_PER_PAUSE) {
            return false;
        }
        bytes = fullSpeedBytes;
        return true;
    }

    /** The number of reads that have discarded something. */
    int count() {
        return count;
    }
}
