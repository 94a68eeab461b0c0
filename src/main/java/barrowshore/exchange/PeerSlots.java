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
    private record Figure(int to, int slots) {}

    private static final class Peer {
        boolean known;
        /** Whether its figures are in the sums; those of a silent peer are kept, but do not count. */
        boolean counted;

        int incarnation;
        int sequence;
        long heardAt;
        final NavigableMap<Integer, Figure> figures = new TreeMap<>();
    }

    private final Peer[] peers;
    private final int me;
    private final long silence;
    private final SlotSums sums;
    private long malformed;
    private long unknownWorkers;
    private long visits;

    /**
     * For so many schedulers, of which this one has the number me.
     *
     * @param silence microseconds without a datagram after which what a peer has told counts no more
     */
    public PeerSlots(int schedulers, int me, long silence, SlotSums sums) {
        this.peers = new Peer[schedulers];
        this.me = me;
        this.silence = silence;
        this.sums = sums;
    }

    /** Enters a datagram; false if it was dropped: malformed, of no peer, or overtaken by a later one. */
    public boolean receive(long now, int from, byte[] message) {
        SlotSnapshot snapshot = from < 0 || from >= peers.length || from == me ? null : SlotSnapshot.read(message);
        if (snapshot == null) {
            malformed++;
            return false;
        }
        if (peers[from] == null) {
            peers[from] = new Peer();
        }
        Peer peer = peers[from];
        if (!inOrder(now, peer, snapshot)) {
            return false;
        }
        if (peer.known && peer.incarnation != snapshot.incarnation()) {
            count(peer, false);
            peer.figures.clear();
        }
        count(peer, true);
        peer.known = true;
        peer.incarnation = snapshot.incarnation();
        peer.sequence = snapshot.sequence();
        peer.heardAt = now;
        replace(peer, snapshot);
        return true;
    }

    /** Whether the datagram is later than all before. One of a silent peer always is: its clock may have been set back. */
    private boolean inOrder(long now, Peer peer, SlotSnapshot snapshot) {
        if (!peer.known || isSilent(now, peer)) {
            return true;
        }
        int life = snapshot.incarnation() - peer.incarnation;
        return life > 0 || life == 0 && (short) (snapshot.sequence() - peer.sequence) > 0;
    }

    private void replace(Peer peer, SlotSnapshot snapshot) {
        NavigableMap<Integer, Figure> covered = peer.figures.subMap(snapshot.from(), true, snapshot.to(), false);
        Map<Integer, Figure> before = new TreeMap<>(covered);
        covered.clear();
        int span = SlotSnapshot.span(snapshot.width());
        for (SlotSnapshot.Entry entry : snapshot.entries()) {
            visits++;
            Figure after = new Figure(entry.name() + span, entry.slots());
            Figure same = before.get(entry.name());
            if (same != null && same.to == after.to) {
                before.remove(entry.name());
                keep(peer, entry.name(), after, after.slots - same.slots);
            } else {
                keep(peer, entry.name(), after, after.slots);
            }
        }
        before.forEach((name, figure) -> {
            visits++;
            sums.add(name, figure.to, -figure.slots);
        });
    }

    private void keep(Peer peer, int name, Figure figure, int difference) {
        if (sums.add(name, figure.to, difference)) {
            peer.figures.put(name, figure);
        } else {
            unknownWorkers++;
        }
    }

    /** Puts the figures of a peer into the sums, or takes them back. */
    private void count(Peer peer, boolean counted) {
        if (peer.counted == counted) {
            return;
        }
        peer.counted = counted;
        peer.figures.forEach((name, figure) -> {
            visits++;
            sums.add(name, figure.to, counted ? figure.slots : -figure.slots);
        });
    }

    /** Takes back what silent peers have told; it counts again once they are heard of in the same life. */
    public void expireSilentPeers(long now) {
        for (Peer peer : peers) {
            if (peer != null && peer.counted && isSilent(now, peer)) {
                count(peer, false);
            }
        }
    }

    private boolean isSilent(long now, Peer peer) {
        return now - peer.heardAt > silence;
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
            sum += peer == null ? 0 : peer.figures.size();
        }
        return sum;
    }

    /** Datagrams dropped since they are of no form or no peer that is known here. */
    public long malformedDatagrams() {
        return malformed;
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
