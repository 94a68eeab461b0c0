package barrowshore.exchange;

import java.util.Map;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What one scheduler tells the others of its own slots in flight, and when: changes are gathered for a short while and go
 * out as {@link SlotSnapshot}s under a budget of bytes a second. Where the whole state fits one datagram, each datagram
 * holds all of it; else its parts follow one another over the range of names. While nothing changes the parts go on
 * at a slow pace, so that what was lost is made good and the others know that this scheduler is there. Pure: time is what
 * the caller says, in microseconds.
 */
public final class SnapshotSender {
    /** Bytes of the IP and UDP heads of one datagram. */
    public static final int HEADER_BYTES = 28;
    /** Bytes a second that all schedulers together may cost each one, in and out, heads counted, where jobs are long. */
    static final double FLEET_BYTES_PER_SECOND = 0.85 * 4096;
    /**
     * Bytes a second that one scheduler may send however many there are: about four small datagrams. Passes the fleet's
     * budget above 18 schedulers, among which the state of each is small.
     */
    static final double LEAST_BYTES_PER_SECOND = 190;
    /**
     * The state turns over in the time of a job. Where that is shorter than this, more may be told in proportion, up to a
     * multiple, or it would be out of date before it is told.
     */
    private static final double LONG_JOB_MICROS = 10e6, MOST_MULTIPLE = 10;
    /** Changes are gathered for this share of a job's time: so much of the state may be out of date. */
    private static final double GATHER_SHARE = 0.02;
    /** How far apart the parts of a large state may be: several must be lost before this scheduler seems silent. */
    static final double PART_SECONDS = 0.6;
    /** The longest datagram of a sender with the least budget. */
    private static final int LEAST_PART_BYTES = 96;

    private static final double MICROS = 1e6;
    /** The budget that may be saved up: two full datagrams. */
    private static final double SAVED_BYTES = 2.0 * (SlotSnapshot.MAX_BYTES + HEADER_BYTES);

    private final double bytesPerSecond;
    private final long heartbeat;
    private final int partBytes;
    private final NavigableMap<Integer, Integer> slots = new TreeMap<>();
    /** Names whose figure has changed since it was told. */
    private final NavigableSet<Integer> untold = new TreeSet<>();

    private int incarnation;
    private int sequence;
    private int cursor;
    private double budget = SAVED_BYTES;
    private long creditedAt;
    private long sentAt = Long.MIN_VALUE / 2;
    /** Until when the budget does not suffice for what was due last. */
    private long waitUntil = Long.MIN_VALUE;

    /**
     * A sender among so many schedulers.
     *
     * @param heartbeat microseconds after which a datagram goes out though nothing has changed
     */
    public SnapshotSender(int schedulers, long heartbeat) {
        this.bytesPerSecond = Math.max(LEAST_BYTES_PER_SECOND, FLEET_BYTES_PER_SECOND / schedulers);
        this.heartbeat = heartbeat;
        int affordable = (int) (bytesPerSecond * PART_SECONDS) - HEADER_BYTES;
        this.partBytes = Math.min(SlotSnapshot.MAX_BYTES, Math.max(LEAST_PART_BYTES, affordable));
    }

    /** Begins a life: what is sent from now on goes before all that an earlier life has sent. */
    public void start(long now) {
        incarnation = (int) (now / 1000);
        creditedAt = now;
    }

    /** So many slots more, or fewer, are held at the workers of that full name. */
    public void addSlots(int name, int difference) {
        if (difference != 0) {
            slots.merge(name, difference, (held, more) -> held + more == 0 ? null : held + more);
            untold.add(name);
        }
    }

    /** Names at which slots are held. */
    public int nameCount() {
        return slots.size();
    }

    /**
     * The datagram that is due now, or null if none is or the budget does not allow it yet.
     *
     * @param workers how many there are
     * @param jobMicros how long a job usually runs
     */
    public byte[] nextDatagram(long now, int workers, double jobMicros) {
        double rate = bytesPerSecond * Math.min(MOST_MULTIPLE, Math.max(1, LONG_JOB_MICROS / jobMicros));
        budget = Math.min(SAVED_BYTES, budget + rate * (now - creditedAt) / MICROS);
        creditedAt = now;
        boolean news = !untold.isEmpty() && now - sentAt >= GATHER_SHARE * jobMicros;
        if (!news && now - sentAt < heartbeat || now < waitUntil) {
            return null;
        }
        int width = SlotSnapshot.widthFor(workers);
        int from = SlotSnapshot.shortened(cursor, width);
        SlotSnapshot.Writer writer = new SlotSnapshot.Writer(width, from, partBytes);
        int to = fill(writer, from, width);
        byte[] message = writer.finish(incarnation, sequence + 1, to);
        double missing = message.length + HEADER_BYTES - budget;
        if (missing > 0) {
            waitUntil = now + (long) (missing / rate * MICROS);
            return null;
        }
        budget -= message.length + HEADER_BYTES;
        sequence++;
        sentAt = now;
        untold.subSet(from, to).clear();
        cursor = to == SlotSnapshot.NAMES_END ? 0 : to;
        return message;
    }

    /** Writes as many entries as fit, from there on; returns the name after the last that is covered. */
    private int fill(SlotSnapshot.Writer writer, int from, int width) {
        int name = -1;
        int sum = 0;
        for (Map.Entry<Integer, Integer> held : slots.tailMap(from).entrySet()) {
            int shortened = SlotSnapshot.shortened(held.getKey(), width);
            if (shortened != name) {
                if (name >= 0 && !writer.add(name, sum)) {
                    return name;
                }
                name = shortened;
                sum = 0;
            }
            sum += held.getValue();
        }
        return name < 0 || writer.add(name, sum) ? SlotSnapshot.NAMES_END : name;
    }
}
