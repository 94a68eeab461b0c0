package barrowshore.exchange;

import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * What the other schedulers have told of their slots in flight. Sums are kept by the {@link SlotSums} of the caller, which
 * hears of each difference as it comes, so that nothing is ever added up over all peers and workers. Pure: time is what the
 * caller says, in microseconds.
 */
public final class PeerSlots {
    /** The sums by worker over all peers. */
    public interface SlotSums {
        /**
         * The slots at all workers whose full names are in a range have changed by so many; false if there is none, in
         * which case the figure is not kept.
         */
        boolean add(int from, int to, int difference);
    }

    /** One figure of a peer: for the full names from its key on, up to that one. */
    private record RangeSlots(int rangeEnd, int slots) {}

    private static final class Peer {
        boolean hasReported;
        /** Whether its figures are in the sums; those of a silent peer are kept, but do not count. */
        boolean counted;

        int incarnation;
        int sequence;
        long heardAtMicros;
        final NavigableMap<Integer, RangeSlots> slotsByName = new TreeMap<>();
    }

    private final Peer[] peers;
    private final int ownNumber;
    private final long silenceMicros;
    private final SlotSums sums;
    private long malformedDatagrams;
    private long unknownWorkers;
    private long visits;

    /**
     * For so many schedulers, of which this one has the number me.
     *
     * @param silence microseconds without a datagram after which what a peer has told counts no more
     */
    public PeerSlots(int schedulers, int ownNumber, long silenceMicros, SlotSums sums) {
        this.peers = new Peer[schedulers];
        this.ownNumber = ownNumber;
        this.silenceMicros = silenceMicros;
        this.sums = sums;
    }

    /** Enters a datagram; false if it was dropped: malformed, of no peer, or overtaken by a later one. */
    public boolean receive(long now, int from, byte[] message) {
        SlotSnapshot snapshot =
                from < 0 || from >= peers.length || from == ownNumber ? null : SlotSnapshot.read(message);
        if (snapshot == null) {
            malformedDatagrams++;
            return false;
        }
        if (peers[from] == null) {
            peers[from] = new Peer();
        }
        Peer peer = peers[from];
        if (!isNewer(now, peer, snapshot)) {
            return false;
        }
        if (peer.hasReported && peer.incarnation != snapshot.incarnation()) {
            setCounted(peer, false);
            peer.slotsByName.clear();
        }
        setCounted(peer, true);
        peer.hasReported = true;
        peer.incarnation = snapshot.incarnation();
        peer.sequence = snapshot.sequence();
        peer.heardAtMicros = now;
        replaceRange(peer, snapshot);
        return true;
    }

    /** Whether the datagram is later than all before. One of a silent peer always is: its clock may have been set back. */
    private boolean isNewer(long now, Peer peer, SlotSnapshot snapshot) {
        if (!peer.hasReported || isSilent(now, peer)) {
            return true;
        }
        int incarnationDifference = snapshot.incarnation() - peer.incarnation;
        return incarnationDifference > 0
                || incarnationDifference == 0 && (short) (snapshot.sequence() - peer.sequence) > 0;
    }

    private void replaceRange(Peer peer, SlotSnapshot snapshot) {
        NavigableMap<Integer, RangeSlots> covered =
                peer.slotsByName.subMap(snapshot.from(), true, snapshot.to(), false);
        Map<Integer, RangeSlots> dropped = new TreeMap<>(covered);
        covered.clear();
        int span = SlotSnapshot.namesPerPrefix(snapshot.nameBits());
        for (SlotSnapshot.Entry entry : snapshot.entries()) {
            visits++;
            RangeSlots updated = new RangeSlots(entry.name() + span, entry.slots());
            RangeSlots previous = dropped.get(entry.name());
            if (previous != null && previous.rangeEnd == updated.rangeEnd) {
                dropped.remove(entry.name());
                store(peer, entry.name(), updated, updated.slots - previous.slots);
            } else {
                store(peer, entry.name(), updated, updated.slots);
            }
        }
        dropped.forEach((name, old) -> {
            visits++;
            sums.add(name, old.rangeEnd, -old.slots);
        });
    }

    private void store(Peer peer, int name, RangeSlots rangeSlots, int difference) {
        if (sums.add(name, rangeSlots.rangeEnd, difference)) {
            peer.slotsByName.put(name, rangeSlots);
        } else {
            unknownWorkers++;
        }
    }

    /** Puts the figures of a peer into the sums, or takes them back. */
    private void setCounted(Peer peer, boolean counted) {
        if (peer.counted == counted) {
            return;
        }
        peer.counted = counted;
        peer.slotsByName.forEach((name, rangeSlots) -> {
            visits++;
            sums.add(name, rangeSlots.rangeEnd, counted ? rangeSlots.slots : -rangeSlots.slots);
        });
    }

    /** Takes back what silent peers have told; it counts again once they are heard of in the same life. */
    public void expireSilentPeers(long now) {
        for (Peer peer : peers) {
            if (peer != null && peer.counted && isSilent(now, peer)) {
                setCounted(peer, false);
            }
        }
    }

    private boolean isSilent(long now, Peer peer) {
        return now - peer.heardAtMicros > silenceMicros;
    }

    /** Whether nothing has been heard of a scheduler for a while. */
    boolean isSilent(long now, int number) {
        return peers[number] == null || isSilent(now, peers[number]);
    }

    /** The share of the other schedulers that is silent. */
    public double silentShare(long now) {
        int heard = 0;
        for (Peer peer : peers) {
            heard += peer != null && !isSilent(now, peer) ? 1 : 0;
        }
        return peers.length < 2 ? 0 : 1 - heard / (peers.length - 1.0);
    }

    /** Figures held, over all peers. */
    public int figureCount() {
        int sum = 0;
        for (Peer peer : peers) {
            sum += peer == null ? 0 : peer.slotsByName.size();
        }
        return sum;
    }

    /** Datagrams dropped since they are of no form or no peer that is known here. */
    public long malformedDatagrams() {
        return malformedDatagrams;
    }

    /** Figures dropped since no worker of that name is known here. */
    public long unknownWorkers() {
        return unknownWorkers;
    }

    /** Figures gone over so far. */
    public long visits() {
        return visits;
    }
}
