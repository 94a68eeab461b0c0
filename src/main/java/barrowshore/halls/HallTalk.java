package barrowshore.halls;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * How schedulers tell one another of halls: one datagram of at most 256 bytes, whole figures under a number, so that a
 * lost or overtaken one is put right by the next. It decides nothing and checks all that it reads.
 *
 * <p>Form: mark 3, life (2 bytes), number (2), home hall (1; 255: none), count (1); then for each hall its number (1),
 * state (high 4 bits) and 1 if it asks for more (1), tenths of a second
 * since the last sign (1; 255: none),
 * promise (1, 255ths of the even part), slots in use from outside (2, tenths), welcome (1, 255ths).
 */
final class HallTalk {
    private static final int HEAD = 7;
    private static final int ENTRY = 7;
    /** Halls in one message; of more, each message tells the next so many. */
    static final int MOST = (256 - HEAD) / ENTRY;

    private static final HallState[] STATES = HallState.values();

    /** What is told of one hall; sign: microseconds since the last sign of it, negative: there was none lately. */
    record Told(int hall, HallState state, boolean asks, long sign, int promise, double used, double welcome) {}

    /** A whole message. */
    record Message(int life, int number, int home, List<Told> halls) {}

    private HallTalk() {}

    static byte[] write(Message m) {
        ByteBuffer out = ByteBuffer.allocate(HEAD + ENTRY * m.halls().size());
        out.put(HallPolicy.MESSAGE_TYPE).putShort((short) m.life()).putShort((short) m.number());
        out.put((byte) (m.home() < 0 ? 255 : m.home())).put((byte) m.halls().size());
        for (Told t : m.halls()) {
            out.put((byte) t.hall()).put((byte) (t.state().ordinal() << 4 | (t.asks() ? 1 : 0)));
            out.put((byte) (t.sign() < 0 ? 255 : Math.min(254, t.sign() / 100_000)));
            out.put((byte) t.promise()).putShort((short) Math.min(65535, Math.ceil(t.used() * 10)));
            out.put((byte) Math.max(0, Math.min(255, (int) (t.welcome() * 255))));
        }
        return out.array();
    }

    /** Reads a message; null if it is none. */
    static Message read(byte[] bytes, int halls) {
        if (bytes.length < HEAD || bytes[0] != HallPolicy.MESSAGE_TYPE) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(bytes, 1, bytes.length - 1);
        int life = in.getShort() & 0xffff, number = in.getShort() & 0xffff;
        int home = in.get() & 255, count = in.get() & 255;
        if (in.remaining() != count * ENTRY || home != 255 && home >= halls) {
            return null;
        }
        List<Told> told = new ArrayList<>(count);
        for (int k = 0; k < count; k++) {
            int hall = in.get() & 255, flags = in.get() & 255, sign = in.get() & 255, promise = in.get() & 255;
            double used = (in.getShort() & 0xffff) / 10.0, welcome = (in.get() & 255) / 255.0;
            if (hall >= halls || flags >> 4 >= STATES.length) {
                return null;
            }
            told.add(new Told(
                    hall,
                    STATES[flags >> 4],
                    (flags & 1) != 0,
                    sign == 255 ? -1 : sign * 100_000L,
                    promise,
                    used,
                    welcome));
        }
        return new Message(life, number, home == 255 ? -1 : home, told);
    }
}
