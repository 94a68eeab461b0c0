package barrowshore.halls;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes and checks the datagrams, of at most 256 bytes, by which schedulers report on halls to one another. Each carries
 * absolute values and a sequence number, so that the next one repairs a lost or reordered one.
 *
 * <p>Layout: type 3 (1 byte), incarnation (2), sequence number (2), home hall (1; 255: none), report count (1); then for
 * each hall its number (1), state in the high 4 bits and 1 if the sender asks for more slots (1), tenths of a second since
 * the last sign of life (1; 255: none), promise (1, in 255ths of the even part), slots that the sender's spilled work
 * holds (2, in tenths), share of the spill limit that the hall accepts (1, in 255ths).
 */
final class HallMessageCodec {
    private static final int HEADER_BYTES = 7;
    private static final int HALL_REPORT_BYTES = 7;
    /** Where there are more halls, successive messages cycle through them. */
    static final int MAX_HALLS_PER_MESSAGE = (256 - HEADER_BYTES) / HALL_REPORT_BYTES;

    private static final HallState[] STATES = HallState.values();

    /** The sender's report on one hall; a negative sinceSignMicros means no recent sign of life. */
    record HallReport(
            int hall,
            HallState state,
            boolean asksForMore,
            long sinceSignMicros,
            int promise255ths,
            double usedSlots,
            double acceptedShare) {}

    /** One datagram. The incarnation tells the sender's process from earlier ones; homeHall is -1 for none. */
    record Message(int incarnation, int sequenceNumber, int homeHall, List<HallReport> halls) {}

    private HallMessageCodec() {}

    static byte[] encode(Message message) {
        ByteBuffer out = ByteBuffer.allocate(
                HEADER_BYTES + HALL_REPORT_BYTES * message.halls().size());
        out.put(HallPolicy.MESSAGE_TYPE).putShort((short) message.incarnation()).putShort((short)
                message.sequenceNumber());
        out.put((byte) (message.homeHall() < 0 ? 255 : message.homeHall()))
                .put((byte) message.halls().size());
        for (HallReport report : message.halls()) {
            out.put((byte) report.hall()).put((byte) (report.state().ordinal() << 4 | (report.asksForMore() ? 1 : 0)));
            out.put((byte) (report.sinceSignMicros() < 0 ? 255 : Math.min(254, report.sinceSignMicros() / 100_000)));
            out.put((byte) report.promise255ths())
                    .putShort((short) Math.min(65535, Math.ceil(report.usedSlots() * 10)));
            out.put((byte) Math.max(0, Math.min(255, (int) (report.acceptedShare() * 255))));
        }
        return out.array();
    }

    /** Decodes a datagram; null if it is malformed or names a hall that does not exist. */
    static Message decode(byte[] bytes, int hallCount) {
        if (bytes.length < HEADER_BYTES || bytes[0] != HallPolicy.MESSAGE_TYPE) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(bytes, 1, bytes.length - 1);
        int incarnation = in.getShort() & 0xffff, sequenceNumber = in.getShort() & 0xffff;
        int homeHall = in.get() & 255, reportCount = in.get() & 255;
        if (in.remaining() != reportCount * HALL_REPORT_BYTES || homeHall != 255 && homeHall >= hallCount) {
            return null;
        }
        List<HallReport> reports = new ArrayList<>(reportCount);
        for (int k = 0; k < reportCount; k++) {
            int hall = in.get() & 255,
                    stateAndAsks = in.get() & 255,
                    tenthsSinceSign = in.get() & 255,
                    promise255ths = in.get() & 255;
            double usedSlots = (in.getShort() & 0xffff) / 10.0, acceptedShare = (in.get() & 255) / 255.0;
            if (hall >= hallCount || stateAndAsks >> 4 >= STATES.length) {
                return null;
            }
            reports.add(new HallReport(
                    hall,
                    STATES[stateAndAsks >> 4],
                    (stateAndAsks & 1) != 0,
                    tenthsSinceSign == 255 ? -1 : tenthsSinceSign * 100_000L,
                    promise255ths,
                    usedSlots,
                    acceptedShare));
        }
        return new Message(incarnation, sequenceNumber, homeHall == 255 ? -1 : homeHall, reports);
    }
}
