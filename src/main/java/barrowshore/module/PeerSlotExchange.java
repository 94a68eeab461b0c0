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
final class PeerSlotExchange implements PeerSlots.SlotSums {
    /** Microseconds after which something is told though nothing has changed; and without a word, a peer is silent. */
    private static final long HEARTBEAT_MICROS = 500_000, SILENCE_MICROS = 6 * HEARTBEAT_MICROS;

    private final SnapshotSender sender;
    private final PeerSlots peerSlots;
    private final WorkerList workerList;
    private final WorkCounters counters;
    /** Workers whose sum has changed since it was asked for. */
    private final Set<Worker> changedWorkers = new LinkedHashSet<>();

    PeerSlotExchange(int dispatchers, int ownIndex, WorkerList workerList, WorkCounters counters) {
        this.sender = new SnapshotSender(dispatchers, HEARTBEAT_MICROS);
        this.peerSlots = new PeerSlots(dispatchers, ownIndex, SILENCE_MICROS, this);
        this.workerList = workerList;
        this.counters = counters;
    }

    void start(long now) {
        sender.start(now);
    }

    /** Our slots at the worker may have changed; at one that wants nothing new they concern nobody. */
    void updateOwnSlots(Worker worker) {
        int slots = worker.listed ? (int) Math.ceil(worker.ownSlots + worker.abandonedSlots) : 0;
        sender.addSlots(worker.exchangeName, slots - worker.contribution.publishedSlots);
        worker.contribution.publishedSlots = slots;
    }

    /** What is to be told to all others now; null if nothing is. jobMicros: how long a job usually runs. */
    byte[] nextDatagram(long now, double jobMicros) {
        return sender.nextDatagram(now, workerList.ready.length, jobMicros);
    }

    /** Enters what a peer has told; what cannot be read is dropped. Returns the workers that it is about. */
    List<Worker> receive(long now, int from, byte[] message) {
        long visitsBefore = peerSlots.visits();
        boolean entered = peerSlots.receive(now, from, message);
        counters.countDatagram(
                entered, peerSlots.visits() - visitsBefore, peerSlots.malformedDatagrams(), peerSlots.unknownWorkers());
        return takeChangedWorkers();
    }

    /** Takes back what silent peers have told; returns the workers that it was about. */
    List<Worker> expireSilentPeers(long now) {
        peerSlots.expireSilentPeers(now);
        return takeChangedWorkers();
    }

    /** The share of the other dispatchers that is silent. */
    double silentShare(long now) {
        return peerSlots.silentShare(now);
    }

    /** Figures held: of peers, and our own. */
    int figureCount() {
        return peerSlots.figureCount() + sender.nameCount();
    }

    @Override
    public boolean add(int from, int to, int difference) {
        List<Worker> named = workerList.workersNamed(from, to);
        for (Worker w : named) {
            w.peerSlots = Math.max(0, w.peerSlots + difference);
        }
        if (difference != 0) {
            changedWorkers.addAll(named);
        }
        return !named.isEmpty();
    }

    private List<Worker> takeChangedWorkers() {
        List<Worker> workers = changedWorkers.isEmpty() ? List.of() : List.copyOf(changedWorkers);
        changedWorkers.clear();
        return workers;
    }
}
