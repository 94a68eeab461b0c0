package barrowshore.module;

import barrowshore.exchange.PeerSlots;
import barrowshore.exchange.SnapshotSender;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Exchanges with the other dispatchers the slots that each has in flight at each worker, and keeps their sum in
 * {@link Worker#peerSlots}. Owned by {@link Dispatcher}.
 */
final class PeerSlotExchange implements PeerSlots.SlotSums {
    /** Longest time between two of our messages, and time without one after which a peer counts as silent. */
    private static final long HEARTBEAT_MICROS = 500_000, SILENCE_MICROS = 6 * HEARTBEAT_MICROS;

    private final SnapshotSender sender;
    private final PeerSlots peerSlots;
    private final WorkerList workerList;
    private final WorkCounters counters;
    /** Workers whose sum has changed since {@link #takeChangedWorkers}. */
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

    /** Publishes our slots at the worker; 0 if it is not ready, as no other dispatcher would choose it. */
    void updateOwnSlots(Worker worker) {
        int slots = worker.listed ? (int) Math.ceil(worker.ownSlots + worker.abandonedSlots) : 0;
        sender.addSlots(worker.exchangeName, slots - worker.contribution.publishedSlots);
        worker.contribution.publishedSlots = slots;
    }

    /** The datagram to send to all peers now, or null. jobMicros: a job's mean running time. */
    byte[] nextDatagram(long now, double jobMicros) {
        return sender.nextDatagram(now, workerList.ready.length, jobMicros);
    }

    /** Applies a peer's datagram, or drops it if malformed; returns the workers that it changed. */
    List<Worker> receive(long now, int from, byte[] message) {
        long visitsBefore = peerSlots.entriesProcessed();
        boolean entered = peerSlots.receive(now, from, message);
        counters.countDatagram(
                entered,
                peerSlots.entriesProcessed() - visitsBefore,
                peerSlots.malformedDatagrams(),
                peerSlots.entriesOfUnknownWorkers());
        return takeChangedWorkers();
    }

    /** Removes the slots of peers that have become silent; returns the workers that this changed. */
    List<Worker> expireSilentPeers(long now) {
        peerSlots.expireSilentPeers(now);
        return takeChangedWorkers();
    }

    /** The share of the other dispatchers that are silent. */
    double silentShare(long now) {
        return peerSlots.silentShare(now);
    }

    /** How many figures are held, peers' and our own. */
    int figureCount() {
        return peerSlots.entryCount() + sender.nameCount();
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
