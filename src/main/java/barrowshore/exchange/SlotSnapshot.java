package barrowshore.exchange;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * One datagram of the exchange between schedulers: the slots that its sender has in flight at every worker whose name lies
 * in a range. What the range covers and the datagram does not list is zero, so each datagram is right by itself, whatever
 * was lost, doubled or overtaken before it.
 *
 * <p>Form: format (1 byte), incarnation (4), sequence (2), width of names in bits (1), number of entries (1); for a part of
 * the names its first name and the name after its last (a varint each); then for each entry a varint of the distance from
 * the name before, doubled, plus one if more than one slot is held, in which case a byte with the slots follows. A last
 * byte of zero fills up what an earlier version of this program would take for its own.
 *
 * @param incarnation orders the lives of one sender: a later start has a higher one, in serial arithmetic
 * @param sequence orders the datagrams of one life, 16 bits in serial arithmetic
 * @param width how many bits the names here have; a name stands for all workers whose full names begin with it
 * @param from the first full name that is covered
 * @param to the full name after the last one that is covered
 * @param entries in ascending order of names, none with zero slots
 */
public record SlotSnapshot(int incarnation, int sequence, int width, int from, int to, List<Entry> entries) {
    /** The longest datagram in bytes (protocol page), without heads. */
    public static final int MAX_BYTES = 256;
    /** Bits of a full name. */
    public static final int FULL_WIDTH = 30;
    /** The name after the last. */
    public static final int NAMES_END = 1 << FULL_WIDTH;

    static final int MIN_WIDTH = 12;
    private static final byte FORMAT_WHOLE = 4, FORMAT_PART = 5;
    private static final int HEAD_BYTES = 9;
    private static final int MAX_SLOTS = 255;
    /** Datagrams of the earlier version: a head, and entries of this many bytes. */
    private static final int EARLIER_HEAD_BYTES = 5, EARLIER_ENTRY_BYTES = 5;

    /**
     * The slots at the workers of one name.
     *
     * @param name a full name whose bits beyond the width are zero
     */
    public record Entry(int name, int slots) {}

    /** The full name of a worker, the same at every scheduler: the upper bits of a checksum over its id. */
    public static int nameOf(String workerId) {
        CRC32 checksum = new CRC32();
        checksum.update(workerId.getBytes(StandardCharsets.UTF_8));
        return (int) (checksum.getValue() >>> (Integer.SIZE - FULL_WIDTH));
    }

    /** The width at which two of so many workers share a name about once in 500 fleets. */
    public static int widthFor(int workers) {
        int bits = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, workers));
        return Math.min(FULL_WIDTH, Math.max(MIN_WIDTH, 2 * bits + 6));
    }

    /** How many full names one name of that width stands for. */
    public static int span(int width) {
        return 1 << (FULL_WIDTH - width);
    }

    /** The full name with the bits beyond the width cleared. */
    static int shortened(int name, int width) {
        return name & -span(width);
    }

    private boolean whole() {
        return from == 0 && to == NAMES_END;
    }

    /** Writes datagrams entry by entry, so that the sender sees what still fits. */
    static final class Writer {
        private final ByteBuffer out = ByteBuffer.allocate(MAX_BYTES);
        private final int width;
        private final int from;
        private final List<Entry> entries = new ArrayList<>();
        /** The name before the next, in units of the width. */
        private int previous;

        /** A datagram of at most so many bytes that covers the names from there on. */
        Writer(int width, int from, int maxBytes) {
            out.limit(maxBytes);
            this.width = width;
            this.from = from;
            this.previous = from / span(width);
            out.position(HEAD_BYTES + 2 * maxVarintBytes(width));
        }

        private static int maxVarintBytes(int bits) {
            return (bits + 1) / 7 + 1;
        }

        /** Adds an entry at the shortened name; false if it does not fit any more. */
        boolean add(int name, int slots) {
            int room = maxVarintBytes(width + 1) + 1;
            if (out.remaining() <= room || entries.size() == MAX_SLOTS) {
                return false;
            }
            int position = name / span(width);
            boolean many = slots > 1;
            putVarint(out, (position - previous) * 2L + (many ? 1 : 0));
            if (many) {
                out.put((byte) Math.min(MAX_SLOTS, slots));
            }
            previous = position;
            entries.add(new Entry(name, Math.min(MAX_SLOTS, slots)));
            return true;
        }

        /** The datagram, covering the names up to there. */
        byte[] finish(int incarnation, int sequence, int to) {
            SlotSnapshot snapshot = new SlotSnapshot(incarnation, sequence, width, from, to, entries);
            int start = HEAD_BYTES + 2 * maxVarintBytes(width), end = out.position();
            ByteBuffer whole = ByteBuffer.allocate(MAX_BYTES);
            whole.put(snapshot.whole() ? FORMAT_WHOLE : FORMAT_PART);
            whole.putInt(incarnation).putShort((short) sequence);
            whole.put((byte) width).put((byte) entries.size());
            if (!snapshot.whole()) {
                putVarint(whole, from / span(width));
                putVarint(whole, to / span(width));
            }
            whole.put(out.array(), start, end - start);
            if ((whole.position() - EARLIER_HEAD_BYTES) % EARLIER_ENTRY_BYTES == 0) {
                whole.put((byte) 0);
            }
            byte[] message = new byte[whole.position()];
            whole.flip().get(message);
            return message;
        }
    }

    /** Reads a datagram; null if it is not one of this form. */
    public static SlotSnapshot read(byte[] message) {
        if (message.length < HEAD_BYTES || message.length > MAX_BYTES) {
            return null;
        }
        try {
            return read(ByteBuffer.wrap(message));
        } catch (BufferUnderflowException e) {
            return null;
        }
    }

    private static SlotSnapshot read(ByteBuffer in) {
        byte format = in.get();
        int incarnation = in.getInt();
        int sequence = in.getShort() & 0xffff;
        int width = in.get();
        int count = in.get() & 0xff;
        if (format != FORMAT_WHOLE && format != FORMAT_PART || width < MIN_WIDTH || width > FULL_WIDTH) {
            return null;
        }
        long names = 1L << width;
        long first = format == FORMAT_PART ? getVarint(in) : 0;
        long end = format == FORMAT_PART ? getVarint(in) : names;
        if (first < 0 || first >= end || end > names) {
            return null;
        }
        List<Entry> entries = new ArrayList<>(count);
        long position = first;
        for (int k = 0; k < count; k++) {
            long coded = getVarint(in);
            position += coded >>> 1;
            int slots = (coded & 1) == 0 ? 1 : in.get() & 0xff;
            if (coded < 0 || position >= end || slots == 0) {
                return null;
            }
            entries.add(new Entry((int) (position * span(width)), slots));
        }
        if (in.remaining() > 1) {
            return null;
        }
        return new SlotSnapshot(
                incarnation, sequence, width, (int) (first * span(width)), (int) (end * span(width)), entries);
    }

    private static void putVarint(ByteBuffer out, long value) {
        long rest = value;
        while (rest > 0x7f) {
            out.put((byte) (rest & 0x7f | 0x80));
            rest >>>= 7;
        }
        out.put((byte) rest);
    }

    /** A varint of at most five bytes; -1 if it is longer. */
    private static long getVarint(ByteBuffer in) {
        long value = 0;
        for (int shift = 0; shift < 35; shift += 7) {
            byte next = in.get();
            value |= (long) (next & 0x7f) << shift;
            if (next >= 0) {
                return value;
            }
        }
        return -1;
    }
}
