package barrowshore.exchange;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * One datagram between schedulers: the sender's slots in flight at every worker whose name lies in a range. A worker's full
 * name is a 30-bit hash of its id; a datagram carries only the leading bits (the prefix). Names in the range that are not
 * listed have zero slots, so each datagram is correct on its own, whatever was lost, duplicated or reordered before it.
 *
 * <p>Layout: format (1 byte), incarnation (4), sequence (2), name bits (1), number of entries (1); if only a range of names
 * is covered, its first prefix and its end (exclusive), a varint each; then for each entry a varint of the distance from
 * the previous prefix, doubled, plus one if more than one slot is held, in which case a byte with the slots follows. A zero
 * byte is appended where the length would be valid in the old format, so that older versions drop the datagram.
 *
 * @param incarnation identifies one run of the sender's process; a later start has a higher one, in serial arithmetic
 * @param sequence orders the datagrams of one incarnation, 16 bits in serial arithmetic
 * @param nameBits the number of leading name bits sent; an entry covers all workers that share them
 * @param from the first full name covered
 * @param to the end of the full names covered, exclusive
 * @param entries in ascending order of names, none with zero slots
 */
public record SlotSnapshot(int incarnation, int sequence, int nameBits, int from, int to, List<Entry> entries) {
    /** The longest datagram that the protocol allows, without IP and UDP headers. */
    public static final int MAX_BYTES = 256;
    /** Bits of a full name. */
    public static final int FULL_NAME_BITS = 30;
    /** One above the highest full name. */
    public static final int NAME_LIMIT = 1 << FULL_NAME_BITS;

    static final int MIN_NAME_BITS = 12;
    private static final byte FORMAT_ALL_NAMES = 4, FORMAT_NAME_RANGE = 5;
    private static final int FIXED_HEADER_BYTES = 9;
    /** Limit of the entry count and of an entry's slots, each sent in one byte. */
    private static final int MAX_BYTE_VALUE = 255;
    /** The format of older versions: a header followed by entries of fixed size. */
    private static final int OLD_FORMAT_HEADER_BYTES = 5, OLD_FORMAT_ENTRY_BYTES = 5;

    /**
     * The slots at all workers that share one name prefix.
     *
     * @param name a full name whose bits after the prefix are zero
     */
    public record Entry(int name, int slots) {}

    /** The full name of a worker, equal at every scheduler: the upper 30 bits of the CRC-32 of its id. */
    public static int hashOf(String workerId) {
        CRC32 checksum = new CRC32();
        checksum.update(workerId.getBytes(StandardCharsets.UTF_8));
        return (int) (checksum.getValue() >>> (Integer.SIZE - FULL_NAME_BITS));
    }

    /** The name bits with which about one fleet of this size in 500 has two workers that share a prefix. */
    public static int nameBitsFor(int workers) {
        int bits = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, workers));
        return Math.min(FULL_NAME_BITS, Math.max(MIN_NAME_BITS, 2 * bits + 6));
    }

    /** How many full names share one prefix of that many bits. */
    public static int namesPerPrefix(int nameBits) {
        return 1 << (FULL_NAME_BITS - nameBits);
    }

    /** The full name with the bits after the prefix cleared. */
    static int truncate(int name, int nameBits) {
        return name & -namesPerPrefix(nameBits);
    }

    private boolean coversAllNames() {
        return from == 0 && to == NAME_LIMIT;
    }

    /** Builds one datagram entry by entry and reports when it is full. */
    static final class Writer {
        private final ByteBuffer out = ByteBuffer.allocate(MAX_BYTES);
        private final int nameBits;
        private final int from;
        private final List<Entry> entries = new ArrayList<>();
        private int previousPrefix;

        /** Starts a datagram of at most maxBytes that covers the full names from {@code from} on. */
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

        /** Adds an entry for a truncated name; false if it no longer fits. Names must ascend. */
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

        /** Returns the datagram, covering the full names up to {@code to}, exclusive. */
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

    /** Reads a datagram; null if it is malformed or of another format. */
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

    /** Reads a varint of at most five bytes; -1 if it is longer. */
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
