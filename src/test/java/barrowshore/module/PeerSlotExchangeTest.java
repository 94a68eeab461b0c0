package barrowshore.module;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.module.DispatchApi.DedupScope;
import barrowshore.module.DispatchApi.Health;
import barrowshore.module.DispatchApi.ListKind;
import barrowshore.module.DispatchApi.Member;
import barrowshore.module.DispatchApi.RepeatSafety;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Dispatchers' messages to each other when they are lost, repeated or reordered; see also the exchange package's
 * tests.
 */
class PeerSlotExchangeTest {
    private static final long SECOND = 1_000_000;

    /** One dispatcher's worker list and its exchange with peers. */
    private static final class PeerSide {
        final WorkerList workerList;
        final WorkCounters counters = new WorkCounters();
        final PeerSlotExchange peers;

        PeerSide(int ownIndex, long startedAt, int workers) {
            DispatchApi.Settings settings = DispatcherHarness.settings(RepeatSafety.SAFE, DedupScope.ALL);
            workerList = new WorkerList(
                    new HallAdapter(settings, new DispatcherHarness(settings), new Rng(1), new TrafficStats(settings)));
            List<Member> members = new ArrayList<>();
            for (int k = 0; k < workers; k++) {
                members.add(DispatcherHarness.member("w" + k, Health.READY, 0, 0, 0));
            }
            workerList.update(ListKind.WHOLE, members, startedAt, false);
            peers = new PeerSlotExchange(3, ownIndex, workerList, counters);
            peers.start(startedAt);
        }

        Worker worker(int k) {
            return workerList.find("w" + k);
        }

        byte[] datagramWithSlots(long now, int worker, double slots) {
            worker(worker).ownSlots = slots;
            peers.updateOwnSlots(worker(worker));
            return peers.nextDatagram(now, SECOND);
        }
    }

    private final PeerSide ours = new PeerSide(0, 0, 4);
    private final PeerSide first = new PeerSide(1, 0, 4);
    private final PeerSide second = new PeerSide(2, 0, 4);

    @Test
    void sumsThePeersSlotsAndForgetsSilentPeers() {
        ours.peers.receive(SECOND, 1, first.datagramWithSlots(SECOND, 0, 3));
        ours.peers.receive(2 * SECOND, 2, second.datagramWithSlots(2 * SECOND, 0, 4));
        assertThat(ours.worker(0).peerSlots).isEqualTo(7);
        assertThat(ours.worker(1).peerSlots).isZero();
        assertThat(ours.peers.silentShare(2 * SECOND)).isZero();
        ours.peers.expireSilentPeers(SECOND * 9 / 2);
        assertThat(ours.worker(0).peerSlots).isEqualTo(4);
        assertThat(ours.peers.silentShare(SECOND * 9 / 2)).isEqualTo(0.5);
        assertThat(new PeerSlotExchange(1, 0, ours.workerList, new WorkCounters()).silentShare(0))
                .isZero();
    }

    @Test
    void dropsReorderedAndRepeatedMessages() {
        byte[] early = first.datagramWithSlots(SECOND, 0, 3);
        byte[] late = first.datagramWithSlots(SECOND + SECOND / 10, 0, 1);
        ours.peers.receive(2 * SECOND, 1, late);
        ours.peers.receive(3 * SECOND, 1, early);
        ours.peers.receive(3 * SECOND, 1, late);
        assertThat(ours.worker(0).peerSlots).isEqualTo(1);
        assertThat(ours.peers.silentShare(5 * SECOND + 1))
                .as("last accepted message at 2 s")
                .isEqualTo(1);
    }

    @Test
    void aFullSnapshotRepairsALostMessage() {
        ours.peers.receive(SECOND, 1, first.datagramWithSlots(SECOND, 0, 3));
        first.datagramWithSlots(SECOND * 2, 0, 0); // lost
        ours.peers.receive(3 * SECOND, 1, first.datagramWithSlots(3 * SECOND, 1, 2));
        assertThat(ours.worker(0).peerSlots).isZero();
        assertThat(ours.worker(1).peerSlots).isEqualTo(2);
    }

    @Test
    void aRestartedPeersEarlierSlotsAreDropped() {
        first.datagramWithSlots(SECOND, 0, 1);
        ours.peers.receive(2 * SECOND, 1, first.datagramWithSlots(2 * SECOND, 0, 3));
        byte[] stray = first.datagramWithSlots(3 * SECOND, 0, 4);
        ours.peers.receive(3 * SECOND, 1, new PeerSide(1, 3 * SECOND, 4).datagramWithSlots(3 * SECOND, 1, 2));
        ours.peers.receive(3 * SECOND, 1, stray);
        assertThat(ours.worker(0).peerSlots).isZero();
        assertThat(ours.worker(1).peerSlots).isEqualTo(2);
    }

    @Test
    void dropsAndCountsMalformedMessages() {
        byte[] good = first.datagramWithSlots(SECOND, 0, 3);
        byte[] otherFormat = good.clone();
        otherFormat[0] = 9;
        ours.peers.receive(SECOND, 0, good);
        ours.peers.receive(SECOND, 3, good);
        ours.peers.receive(SECOND, -1, good);
        ours.peers.receive(SECOND, 1, new byte[0]);
        ours.peers.receive(SECOND, 1, java.util.Arrays.copyOf(good, 10));
        ours.peers.receive(SECOND, 1, otherFormat);
        assertThat(ours.peers.silentShare(SECOND)).isEqualTo(1);
        assertThat(ours.counters.malformedDatagrams()).isEqualTo(6);
        assertThat(ours.counters.datagrams()).isZero();
    }

    @Test
    void dropsAndCountsFiguresOfUnknownWorkers() {
        PeerSide larger = new PeerSide(1, 0, 6);
        larger.worker(5).ownSlots = 2;
        larger.peers.updateOwnSlots(larger.worker(5));
        ours.peers.receive(SECOND, 1, larger.datagramWithSlots(SECOND, 1, 1));
        assertThat(ours.worker(1).peerSlots).isEqualTo(1);
        assertThat(ours.counters.unknownWorkers()).isEqualTo(1);
        assertThat(ours.peers.figureCount()).isEqualTo(1);
    }

    /** No dispatcher chooses a draining worker, so its slots are not sent although its jobs still run. */
    @Test
    void sendsNoSlotsOfADrainingWorker() {
        ours.peers.receive(SECOND, 1, first.datagramWithSlots(SECOND, 0, 3));
        first.workerList.update(
                ListKind.CHANGES, List.of(DispatcherHarness.member("w0", Health.DRAINING, 0, 0, 0)), 2 * SECOND, false);
        ours.peers.receive(2 * SECOND, 1, first.datagramWithSlots(2 * SECOND, 0, 3));
        assertThat(ours.worker(0).peerSlots).isZero();
    }

    /** Hall messages are recognized by their first byte, which no slot message may start with. */
    @Test
    void aSlotMessageIsNotTakenForAHallMessage() {
        assertThat(first.datagramWithSlots(SECOND, 0, 3)[0]).isNotEqualTo(barrowshore.halls.HallPolicy.MESSAGE_TYPE);
    }
}
