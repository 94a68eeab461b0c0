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
    static final double FLEET_BUDGET_BYTES_PER_SECOND = 0.85 * 4096;
    /**
     * Bytes a second that one scheduler may send however many there are: about four small datagrams. Passes the fleet's
     * budget above 18 schedulers, among which the state of each is small.
     */
    static final double MIN_BUDGET_BYTES_PER_SECOND = 190;
    /**
     * The state turns over in the time of a job. Where that is shorter than this, more may be told in proportion, up to a
     * multiple, or it would be out of date before it is told.
     */
    private static final double LONG_JOB_MICROS = 10e6, MAX_BUDGET_FACTOR = 10;
    /** Changes are gathered for this share of a job's time: so much of the state may be out of date. */
    private static final double BATCHING_SHARE_OF_JOB_TIME = 0.02;
    /** How far apart the parts of a large state may be: several must be lost before this scheduler seems silent. */
    static final double PART_INTERVAL_SECONDS = 0.6;
    /** The longest datagram of a sender with the least budget. */
    private static final int MIN_PART_BYTES = 96;

    private static final double MICROS_PER_SECOND = 1e6;
    /** The budget that may be saved up: two full datagrams. */
    private static final double MAX_SAVED_BUDGET_BYTES = 2.0 * (SlotSnapshot.MAX_BYTES + HEADER_BYTES);

    private final double budgetBytesPerSecond;
    private final long heartbeatMicros;
    private final int maxPartBytes;
    private final NavigableMap<Integer, Integer> slotsByName = new TreeMap<>();
    /** Names whose figure has changed since it was told. */
    private final NavigableSet<Integer> unsentNames = new TreeSet<>();

    private int incarnation;
    private int sequence;
    private int nextPartStart;
    private double budgetBytes = MAX_SAVED_BUDGET_BYTES;
    private long creditedAtMicros;
    private long sentAtMicros = Long.MIN_VALUE / 2;
    /** Until when the budget does not suffice for what was due last. */
    private long waitUntilMicros = Long.MIN_VALUE;

    /**
     * A sender among so many schedulers.
     *
     * @param heartbeat microseconds after which a datagram goes out though nothing has changed
     */
    public SnapshotSender(int schedulers, long heartbeatMicros) {
        this.budgetBytesPerSecond = Math.max(MIN_BUDGET_BYTES_PER_SECOND, FLEET_BUDGET_BYTES_PER_SECOND / schedulers);
        this.heartbeatMicros = heartbeatMicros;
        int affordableBytes = (int) (budgetBytesPerSecond * PART_INTERVAL_SECONDS) - HEADER_BYTES;
        this.maxPartBytes = Math.min(SlotSnapshot.MAX_BYTES, Math.max(MIN_PART_BYTES, affordableBytes));
    }

    /** Begins a life: what is sent from now on goes before all that an earlier life has sent. */
    public void start(long now) {
        incarnation = (int) (now / 1000);
        creditedAtMicros = now;
    }

    /** So many slots more, or fewer, are held at the workers of that full name. */
    public void addSlots(int name, int difference) {
        if (difference != 0) {
            slotsByName.merge(name, difference, (held, change) -> held + change == 0 ? null : held + change);
            unsentNames.add(name);
        }
    }

    /** Names at which slots are held. */
    public int nameCount() {
        return slotsByName.size();
    }

    /**
     * The datagram that is due now, or null if none is or the budget does not allow it yet.
     *
     * @param workers how many there are
     * @param jobMicros how long a job usually runs
     */
    public byte[] nextDatagram(long now, int workers, double jobMicros) {
        double rateBytesPerSecond =
                budgetBytesPerSecond * Math.min(MAX_BUDGET_FACTOR, Math.max(1, LONG_JOB_MICROS / jobMicros));
        budgetBytes = Math.min(
                MAX_SAVED_BUDGET_BYTES,
                budgetBytes + rateBytesPerSecond * (now - creditedAtMicros) / MICROS_PER_SECOND);
        creditedAtMicros = now;
        boolean changesDue = !unsentNames.isEmpty() && now - sentAtMicros >= BATCHING_SHARE_OF_JOB_TIME * jobMicros;
        if (!changesDue && now - sentAtMicros < heartbeatMicros || now < waitUntilMicros) {
            return null;
        }
        int nameBits = SlotSnapshot.nameBitsFor(workers);
        int from = SlotSnapshot.truncate(nextPartStart, nameBits);
        SlotSnapshot.Writer writer = new SlotSnapshot.Writer(nameBits, from, maxPartBytes);
        int to = addEntries(writer, from, nameBits);
        byte[] message = writer.finish(incarnation, sequence + 1, to);
        double missingBytes = message.length + HEADER_BYTES - budgetBytes;
        if (missingBytes > 0) {
            waitUntilMicros = now + (long) (missingBytes / rateBytesPerSecond * MICROS_PER_SECOND);
            return null;
        }
        budgetBytes -= message.length + HEADER_BYTES;
        sequence++;
        sentAtMicros = now;
        unsentNames.subSet(from, to).clear();
        nextPartStart = to == SlotSnapshot.NAME_LIMIT ? 0 : to;
        return message;
    }

    /** Writes as many entries as fit, from there on; returns the name after the last that is covered. */
    private int addEntries(SlotSnapshot.Writer writer, int from, int nameBits) {
        int name = -1;
        int slotSum = 0;
        for (Map.Entry<Integer, Integer> held : slotsByName.tailMap(from).entrySet()) {
            int truncated = SlotSnapshot.truncate(held.getKey(), nameBits);
            if (truncated != name) {
                if (name >= 0 && !writer.add(name, slotSum)) {
                    return name;
                }
                name = truncated;
                slotSum = 0;
            }
            slotSum += held.getValue();
        }
        return name < 0 || writer.add(name, slotSum) ? SlotSnapshot.NAME_LIMIT : name;
    }
}
