package barrowshore.exchange;

import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * The slots in flight that the other schedulers (peers) last reported, per worker name (see {@link SlotSnapshot#hashOf}).
 * Each difference goes to the caller's {@link SlotSums}, so that no sum over all peers and workers is ever recomputed. Does
 * no I/O; the caller passes the time in microseconds.
 */
public final class PeerSlots {
    /** Receives changes to the sums over all peers, kept per worker. */
    public interface SlotSums {
        /**
         * Adds the difference to the sum of the workers whose full names are in [from, to). Returns false if there is no
         * such worker; the reported entry is then not stored.
         */
        boolean add(int from, int to, int difference);
    }

    /** The slots a peer reported for the full names from the map key to rangeEnd, exclusive. */
    private record RangeSlots(int rangeEnd, int slots) {}

    /** One peer: its last datagram's place in the order, and the slots it reported. */
    private static final class Peer {
        boolean hasReported;
        /** Whether its slots are included in the sums; those of a silent peer are stored but not included. */
        boolean counted;

        int incarnation;
        int sequence;
        long lastDatagramMicros;
        final NavigableMap<Integer, RangeSlots> slotsByName = new TreeMap<>();
    }

    private final Peer[] peers;
    private final int ownNumber;
    private final long silenceMicros;
    private final SlotSums sums;
    private long malformedDatagrams;
    private long entriesOfUnknownWorkers;
    private long entriesProcessed;

    /**
     * @param schedulers the number of schedulers, this one included
     * @param silenceMicros a peer without a datagram for longer than this is silent: its slots leave the sums
     */
    public PeerSlots(int schedulers, int ownNumber, long silenceMicros, SlotSums sums) {
        this.peers = new Peer[schedulers];
        this.ownNumber = ownNumber;
        this.silenceMicros = silenceMicros;
        this.sums = sums;
    }

    /** Applies a datagram. Returns false if it was dropped: malformed, not from a peer, or not newer than the last one. */
    public boolean receive(long now, int peerNumber, byte[] message) {
        SlotSnapshot snapshot = peerNumber < 0 || peerNumber >= peers.length || peerNumber == ownNumber
                ? null
                : SlotSnapshot.read(message);
        if (snapshot == null) {
            malformedDatagrams++;
            return false;
        }
        if (peers[peerNumber] == null) {
            peers[peerNumber] = new Peer();
        }
        Peer peer = peers[peerNumber];
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
        peer.lastDatagramMicros = now;
        replaceRange(peer, snapshot);
        return true;
    }

    /**
     * Whether the datagram is newer than the last one applied. After silence any datagram is accepted, since the peer's
     * clock, from which the incarnation comes, may have been set back.
     */
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
        int rangeLength = SlotSnapshot.namesPerPrefix(snapshot.nameBits());
        for (SlotSnapshot.Entry entry : snapshot.entries()) {
            entriesProcessed++;
            RangeSlots updated = new RangeSlots(entry.name() + rangeLength, entry.slots());
            RangeSlots previous = dropped.get(entry.name());
            if (previous != null && previous.rangeEnd == updated.rangeEnd) {
                dropped.remove(entry.name());
                store(peer, entry.name(), updated, updated.slots - previous.slots);
            } else {
                store(peer, entry.name(), updated, updated.slots);
            }
        }
        dropped.forEach((name, old) -> {
            entriesProcessed++;
            sums.add(name, old.rangeEnd, -old.slots);
        });
    }

    private void store(Peer peer, int name, RangeSlots rangeSlots, int difference) {
        if (sums.add(name, rangeSlots.rangeEnd, difference)) {
            peer.slotsByName.put(name, rangeSlots);
        } else {
            entriesOfUnknownWorkers++;
        }
    }

    /** Adds a peer's slots to the sums, or subtracts them. */
    private void setCounted(Peer peer, boolean counted) {
        if (peer.counted == counted) {
            return;
        }
        peer.counted = counted;
        peer.slotsByName.forEach((name, rangeSlots) -> {
            entriesProcessed++;
            sums.add(name, rangeSlots.rangeEnd, counted ? rangeSlots.slots : -rangeSlots.slots);
        });
    }

    /** Subtracts the slots of silent peers; they count again with the peer's next datagram of the same incarnation. */
    public void expireSilentPeers(long now) {
        for (Peer peer : peers) {
            if (peer != null && peer.counted && isSilent(now, peer)) {
                setCounted(peer, false);
            }
        }
    }

    private boolean isSilent(long now, Peer peer) {
        return now - peer.lastDatagramMicros > silenceMicros;
    }

    /** Whether a scheduler has sent nothing for longer than the silence limit, or never. */
    boolean isSilent(long now, int peerNumber) {
        return peers[peerNumber] == null || isSilent(now, peers[peerNumber]);
    }

    /** The share of the other schedulers that are silent, from 0 to 1. */
    public double silentShare(long now) {
        int activePeers = 0;
        for (Peer peer : peers) {
            activePeers += peer != null && !isSilent(now, peer) ? 1 : 0;
        }
        return peers.length < 2 ? 0 : 1 - activePeers / (peers.length - 1.0);
    }

    /** Stored entries over all peers. */
    public int entryCount() {
        int sum = 0;
        for (Peer peer : peers) {
            sum += peer == null ? 0 : peer.slotsByName.size();
        }
        return sum;
    }

    /** Datagrams dropped because they were malformed or came from no known peer. */
    public long malformedDatagrams() {
        return malformedDatagrams;
    }

    /** Reported entries dropped because no known worker matches their name. */
    public long entriesOfUnknownWorkers() {
        return entriesOfUnknownWorkers;
    }

    /** Entries processed so far, as a measure of work done. */
    public long entriesProcessed() {
        return entriesProcessed;
    }
}
