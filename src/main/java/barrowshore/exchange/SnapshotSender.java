package barrowshore.exchange;

import java.util.Map;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Decides when one scheduler reports its own slots in flight to its peers, and writes the reports: changes are batched
 * briefly and sent as {@link SlotSnapshot}s within a budget of bytes per second. If the whole state fits one datagram, each
 * datagram holds all of it; otherwise successive datagrams cover successive ranges of names. Without changes, datagrams
 * continue at the heartbeat, which repairs losses and shows that this scheduler is alive. Does no I/O; the caller passes
 * the time in microseconds.
 */
public final class SnapshotSender {
    /** Bytes of the IP and UDP headers of one datagram. */
    public static final int IP_UDP_HEADER_BYTES = 28;
    /** Traffic in and out of one scheduler, headers included, from all schedulers together while jobs are long. */
    static final double FLEET_BUDGET_BYTES_PER_SECOND = 0.85 * 4096;
    /**
     * What one scheduler may send in a fleet of any size: about four small datagrams. Above 18 schedulers the sum exceeds
     * the fleet's budget, but there each scheduler's state is small.
     */
    static final double MIN_BUDGET_BYTES_PER_SECOND = 190;
    /**
     * The state turns over within one job's run time. For jobs shorter than this the budget grows in proportion, up to a
     * factor; otherwise reports would be out of date before they are sent.
     */
    private static final double LONG_JOB_MICROS = 10e6, MAX_BUDGET_FACTOR = 10;
    /** Changes are batched for this share of a job's run time, so about this share of the state may be out of date. */
    private static final double BATCHING_SHARE_OF_JOB_TIME = 0.02;
    /** Target gap between the parts of a large state: several in a row must be lost before peers see silence. */
    static final double PART_INTERVAL_SECONDS = 0.6;
    /** Size limit of a datagram at the smallest budget. */
    private static final int MIN_PART_BYTES = 96;

    private static final double MICROS_PER_SECOND = 1e6;
    /** Unused budget accumulates up to two full datagrams. */
    private static final double MAX_SAVED_BUDGET_BYTES = 2.0 * (SlotSnapshot.MAX_BYTES + IP_UDP_HEADER_BYTES);

    private final double budgetBytesPerSecond;
    private final long heartbeatMicros;
    private final int maxPartBytes;
    private final NavigableMap<Integer, Integer> slotsByName = new TreeMap<>();
    /** Full names whose slots have changed since they were last sent. */
    private final NavigableSet<Integer> unsentNames = new TreeSet<>();

    private int incarnation;
    private int sequence;
    private int nextPartStart;
    private double budgetBytes = MAX_SAVED_BUDGET_BYTES;
    private long creditedAtMicros;
    private long sentAtMicros = Long.MIN_VALUE / 2;
    /** Until then the budget does not cover the datagram that was due last. */
    private long waitUntilMicros = Long.MIN_VALUE;

    /**
     * @param schedulers the number of schedulers that share the fleet's budget
     * @param heartbeatMicros interval after which a datagram is sent even without changes
     */
    public SnapshotSender(int schedulers, long heartbeatMicros) {
        this.budgetBytesPerSecond = Math.max(MIN_BUDGET_BYTES_PER_SECOND, FLEET_BUDGET_BYTES_PER_SECOND / schedulers);
        this.heartbeatMicros = heartbeatMicros;
        int affordableBytes = (int) (budgetBytesPerSecond * PART_INTERVAL_SECONDS) - IP_UDP_HEADER_BYTES;
        this.maxPartBytes = Math.min(SlotSnapshot.MAX_BYTES, Math.max(MIN_PART_BYTES, affordableBytes));
    }

    /** Starts an incarnation: its datagrams supersede those of earlier runs of this scheduler. */
    public void start(long now) {
        incarnation = (int) (now / 1000);
        creditedAtMicros = now;
    }

    /** Changes the slots held at the workers of that full name by the difference. */
    public void addSlots(int name, int difference) {
        if (difference != 0) {
            slotsByName.merge(name, difference, (held, change) -> held + change == 0 ? null : held + change);
            unsentNames.add(name);
        }
    }

    /** The number of names at which slots are held. */
    public int nameCount() {
        return slotsByName.size();
    }

    /**
     * Returns the datagram that is due now, or null if none is due or the budget does not cover it yet.
     *
     * @param workers the number of workers, which sets how many name bits are sent
     * @param jobMicros the usual run time of a job
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
        double missingBytes = message.length + IP_UDP_HEADER_BYTES - budgetBytes;
        if (missingBytes > 0) {
            waitUntilMicros = now + (long) (missingBytes / rateBytesPerSecond * MICROS_PER_SECOND);
            return null;
        }
        budgetBytes -= message.length + IP_UDP_HEADER_BYTES;
        sequence++;
        sentAtMicros = now;
        unsentNames.subSet(from, to).clear();
        nextPartStart = to == SlotSnapshot.NAME_LIMIT ? 0 : to;
        return message;
    }

    /** Writes as many entries as fit, from {@code from} on; returns the end of the names covered, exclusive. */
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
