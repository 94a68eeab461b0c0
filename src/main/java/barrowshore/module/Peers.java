package barrowshore.module;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the dispatchers tell one another: the slots that each has in flight at each worker. Messages may be lost or
 * overtake one another, so each names whole figures, not changes, and a number by which older ones are dropped; the
 * whole state follows now and then. It decides nothing.
 */
final class Peers {
    /** Bytes of a message at most; of its head; of a worker in it. */
    private static final int MOST = 256, HEAD = 5, ENTRY = 5;

    private static final int CHANGE = 1, WHOLE = 2;

    /** One other dispatcher: which of its lives and messages was heard last, when, and its slots by worker. */
    private static final class Peer {
        int life = -1, number;
        long heardAt;
        Map<Integer, Double> slots = new HashMap<>();
    }

    private final Peer[] peers;
    private final int me;
    private final int life;
    private final Effort effort;
    private int number;

    Peers(int count, int me, int life, Effort effort) {
        this.effort = effort;
        this.peers = new Peer[count];
        this.me = me;
        this.life = life & 0xffff;
    }

    /** A message with the slots in flight at these workers; whole: there is nothing anywhere else. */
    byte[] message(Collection<Worker> workers, boolean whole) {
        int most = Math.min(workers.size(), (MOST - HEAD) / ENTRY);
        ByteBuffer out = ByteBuffer.allocate(HEAD + most * ENTRY);
        out.put((byte) (whole && most == workers.size() ? WHOLE : CHANGE))
                .putShort((short) life)
                .putShort((short) ++number);
        for (Worker w : workers) {
            if (out.remaining() >= ENTRY) {
                out.putInt(w.id.hashCode()).put((byte) Math.min(255, Math.ceil(w.own + w.left)));
            }
        }
        return out.array();
    }

    /** A message with the slots wherever we have any. */
    byte[] message(Worker[] ready) {
        return message(Arrays.stream(ready).filter(w -> w.own + w.left > 0).toList(), true);
    }

    byte[] message(Worker worker) {
        return message(List.of(worker), false);
    }

    /** Enters what a peer has told, and returns the ready workers that it is about; what cannot be read is dropped. */
    Iterable<Worker> heard(long now, int from, byte[] message, Roster roster) {
        if (from < 0
                || from >= peers.length
                || from == me
                || message.length < HEAD
                || (message.length - HEAD) % ENTRY != 0) {
            return List.of();
        }
        ByteBuffer in = ByteBuffer.wrap(message);
        int kind = in.get(), life = in.getShort() & 0xffff, number = in.getShort() & 0xffff;
        Peer peer = peers[from] == null ? peers[from] = new Peer() : peers[from];
        boolean whole = kind == WHOLE || peer.life != life;
        if (peer.life != life) {
            peer.life = life; // it has restarted: what it had is not its own any more
            peer.slots.clear();
        } else if ((short) (number - peer.number) <= 0) {
            return List.of();
        }
        effort.datagrams++;
        peer.number = number;
        peer.heardAt = now;
        if (kind == WHOLE) {
            peer.slots.clear();
        }
        List<Worker> about = whole ? Arrays.asList(roster.ready) : new ArrayList<>(1);
        while (in.hasRemaining()) {
            int name = in.getInt();
            peer.slots.put(name, (double) (in.get() & 0xff));
            if (!whole) {
                about.addAll(roster.named(name));
            }
        }
        effort.datagramVisits += (long) about.size() * peers.length;
        return about;
    }

    /** The slots that peers heard of since then have told for a worker. */
    double slots(Worker w, long since) {
        double sum = 0;
        for (Peer peer : peers) {
            sum += peer != null && peer.heardAt >= since ? peer.slots.getOrDefault(w.id.hashCode(), 0.0) : 0;
        }
        return sum;
    }

    /** The share of the other dispatchers that has not been heard of since then. */
    double missing(long since) {
        int heard = 0;
        for (Peer peer : peers) {
            heard += peer != null && peer.heardAt >= since ? 1 : 0;
        }
        return peers.length < 2 ? 0 : 1 - heard / (peers.length - 1.0);
    }
}
