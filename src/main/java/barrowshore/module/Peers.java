package barrowshore.module;

import barrowshore.exchange.PeerSlots;
import barrowshore.exchange.SnapshotSender;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * What the dispatchers tell one another: the slots that each has in flight at each worker. It puts workers into the names
 * of the exchange, and keeps in each {@link Worker#lineReceived} the sum of what the others have told. It decides nothing.
 */
final class Peers implements PeerSlots.SlotSums {
    /** Microseconds after which something is told though nothing has changed; and without a word, a peer is silent. */
    private static final long HEARTBEAT = 500_000, SILENCE = 6 * HEARTBEAT;

    private final SnapshotSender sender;
    private final PeerSlots told;
    private final Roster roster;
    private final WorkCounters effort;
    /** Workers whose sum has changed since it was asked for. */
    private final Set<Worker> touched = new LinkedHashSet<>();

    Peers(int dispatchers, int me, Roster roster, WorkCounters effort) {
        this.sender = new SnapshotSender(dispatchers, HEARTBEAT);
        this.told = new PeerSlots(dispatchers, me, SILENCE, this);
        this.roster = roster;
        this.effort = effort;
    }

    void start(long now) {
        sender.start(now);
    }

    /** Our slots at the worker may have changed; at one that wants nothing new they concern nobody. */
    void changed(Worker w) {
        int held = w.listed ? (int) Math.ceil(w.own + w.left) : 0;
        sender.addSlots(w.name, held - w.view.published);
        w.view.published = held;
    }

    /** What is to be told to all others now; null if nothing is. jobMicros: how long a job usually runs. */
    byte[] due(long now, double jobMicros) {
        return sender.nextDatagram(now, roster.ready.length, jobMicros);
    }

    /** Enters what a peer has told; what cannot be read is dropped. Returns the workers that it is about. */
    List<Worker> heard(long now, int from, byte[] message) {
        long before = told.visits();
        boolean entered = told.receive(now, from, message);
        effort.heard(entered, told.visits() - before, told.malformedDatagrams(), told.unknownWorkers());
        return takeTouched();
    }

    /** Takes back what silent peers have told; returns the workers that it was about. */
    List<Worker> expire(long now) {
        told.expireSilentPeers(now);
        return takeTouched();
    }

    /** The share of the other dispatchers that is silent. */
    double missing(long now) {
        return told.silentShare(now);
    }

    /** Figures held: of peers, and our own. */
    int figures() {
        return told.figureCount() + sender.nameCount();
    }

    @Override
    public boolean add(int from, int to, int difference) {
        List<Worker> named = roster.named(from, to);
        for (Worker w : named) {
            w.told = Math.max(0, w.told + difference);
        }
        if (difference != 0) {
            touched.addAll(named);
        }
        return !named.isEmpty();
    }

    private List<Worker> takeTouched() {
        List<Worker> workers = touched.isEmpty() ? List.of() : List.copyOf(touched);
        touched.clear();
        return workers;
    }
}
