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
 * @param nameBits how many bits the names here have; a name stands for all workers whose full names begin with it
 * @param from the first full name that is covered
 * @param to the full name after the last one that is covered
 * @param entries in ascending order of names, none with zero slots
 */
public record SlotSnapshot(int incarnation, int sequence, int nameBits, int from, int to, List<Entry> entries) {
    /** The longest datagram in bytes (protocol page), without heads. */
    public static final int MAX_BYTES = 256;
    /** Bits of a full name. */
    public static final int FULL_NAME_BITS = 30;
    /** The name after the last. */
    public static final int NAME_LIMIT = 1 << FULL_NAME_BITS;

    static final int MIN_NAME_BITS = 12;
    private static final byte FORMAT_ALL_NAMES = 4, FORMAT_NAME_RANGE = 5;
    private static final int FIXED_HEADER_BYTES = 9;
    private static final int MAX_BYTE_VALUE = 255;
    /** Datagrams of the earlier version: a head, and entries of this many bytes. */
    private static final int OLD_FORMAT_HEADER_BYTES = 5, OLD_FORMAT_ENTRY_BYTES = 5;

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
        return (int) (checksum.getValue() >>> (Integer.SIZE - FULL_NAME_BITS));
    }

    /** The width at which two of so many workers share a name about once in 500 fleets. */
    public static int nameBitsFor(int workers) {
        int bits = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, workers));
        return Math.min(FULL_NAME_BITS, Math.max(MIN_NAME_BITS, 2 * bits + 6));
    }

    /** How many full names one name of that width stands for. */
    public static int namesPerPrefix(int nameBits) {
        return 1 << (FULL_NAME_BITS - nameBits);
    }

    /** The full name with the bits beyond the width cleared. */
    static int truncate(int name, int nameBits) {
        return name & -namesPerPrefix(nameBits);
    }

    private boolean coversAllNames() {
        return from == 0 && to == NAME_LIMIT;
    }

    /** Writes datagrams entry by entry, so that the sender sees what still fits. */
    static final class Writer {
        private final ByteBuffer out = ByteBuffer.allocate(MAX_BYTES);
        private final int nameBits;
        private final int from;
        private final List<Entry> entries = new ArrayList<>();
        /** The name before the next, in units of the width. */
        private int previousPrefix;

        /** A datagram of at most so many bytes that covers the names from there on. */
        Writer(int nameBits, int from, int maxBytes) {
            out.limit(maxBytes);
            this.nameBits = nameBits;
            this.from = from;
            this.previousPrefix = from / namesPerPrefix(nameBits);
            out.position(FIXED_HEADER_BYTES + 2 * maxVarintBytes(nameBits));
        }

        private static int maxVarintBytes(int bits) {
            return (bits + 1) / 7 + 1;
        }

        /** Adds an entry at the shortened name; false if it does not fit any more. */
        boolean add(int name, int slots) {
            int maxEntryBytes = maxVarintBytes(nameBits + 1) + 1;
            if (out.remaining() <= maxEntryBytes || entries.size() == MAX_BYTE_VALUE) {
                return false;
            }
            int prefix = name / namesPerPrefix(nameBits);
            boolean hasSlotsByte = slots > 1;
            putVarint(out, (prefix - previousPrefix) * 2L + (hasSlotsByte ? 1 : 0));
            if (hasSlotsByte) {
                out.put((byte) Math.min(MAX_BYTE_VALUE, slots));
            }
            previousPrefix = prefix;
            entries.add(new Entry(name, Math.min(MAX_BYTE_VALUE, slots)));
            return true;
        }

        /** The datagram, covering the names up to there. */
        byte[] finish(int incarnation, int sequence, int to) {
            SlotSnapshot snapshot = new SlotSnapshot(incarnation, sequence, nameBits, from, to, entries);
            int entriesStart = FIXED_HEADER_BYTES + 2 * maxVarintBytes(nameBits), entriesEnd = out.position();
            ByteBuffer datagram = ByteBuffer.allocate(MAX_BYTES);
            datagram.put(snapshot.coversAllNames() ? FORMAT_ALL_NAMES : FORMAT_NAME_RANGE);
            datagram.putInt(incarnation).putShort((short) sequence);
            datagram.put((byte) nameBits).put((byte) entries.size());
            if (!snapshot.coversAllNames()) {
                putVarint(datagram, from / namesPerPrefix(nameBits));
                putVarint(datagram, to / namesPerPrefix(nameBits));
            }
            datagram.put(out.array(), entriesStart, entriesEnd - entriesStart);
            if ((datagram.position() - OLD_FORMAT_HEADER_BYTES) % OLD_FORMAT_ENTRY_BYTES == 0) {
                datagram.put((byte) 0);
            }
            byte[] message = new byte[datagram.position()];
            datagram.flip().get(message);
            return message;
        }
    }

    /** Reads a datagram; null if it is not one of this form. */
    public static SlotSnapshot read(byte[] message) {
        if (message.length < FIXED_HEADER_BYTES || message.length > MAX_BYTES) {
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
        int nameBits = in.get();
        int entryCount = in.get() & 0xff;
        if (format != FORMAT_ALL_NAMES && format != FORMAT_NAME_RANGE
                || nameBits < MIN_NAME_BITS
                || nameBits > FULL_NAME_BITS) {
            return null;
        }
        long prefixCount = 1L << nameBits;
        long firstPrefix = format == FORMAT_NAME_RANGE ? getVarint(in) : 0;
        long prefixLimit = format == FORMAT_NAME_RANGE ? getVarint(in) : prefixCount;
        if (firstPrefix < 0 || firstPrefix >= prefixLimit || prefixLimit > prefixCount) {
            return null;
        }
        List<Entry> entries = new ArrayList<>(entryCount);
        long prefix = firstPrefix;
        for (int k = 0; k < entryCount; k++) {
            long coded = getVarint(in);
            prefix += coded >>> 1;
            int slots = (coded & 1) == 0 ? 1 : in.get() & 0xff;
            if (coded < 0 || prefix >= prefixLimit || slots == 0) {
                return null;
            }
            entries.add(new Entry((int) (prefix * namesPerPrefix(nameBits)), slots));
        }
        if (in.remaining() > 1) {
            return null;
        }
        return new SlotSnapshot(
                incarnation,
                sequence,
                nameBits,
                (int) (firstPrefix * namesPerPrefix(nameBits)),
                (int) (prefixLimit * namesPerPrefix(nameBits)),
                entries);
    }

    private static void putVarint(ByteBuffer out, long value) {
        long remaining = value;
        while (remaining > 0x7f) {
            out.put((byte) (remaining & 0x7f | 0x80));
            remaining >>>= 7;
        }
        out.put((byte) remaining);
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
