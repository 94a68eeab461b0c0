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

/** What dispatchers tell one another, over a way that loses, doubles and reorders; see also the tests of the exchange. */
class PeersTest {
    private static final long SECOND = 1_000_000;

    /** One dispatcher's books of its peers, with a list of workers of its own. */
    private static final class Side {
        final Roster roster;
        final WorkCounters effort = new WorkCounters();
        final Peers peers;

        Side(int me, long startedAt, int workers) {
            DispatchApi.Settings settings = Bench.settings(RepeatSafety.SAFE, DedupScope.ALL);
            roster = new Roster(new HallSide(settings, new Bench(settings), new Rng(1), new Traffic(settings)));
            List<Member> members = new ArrayList<>();
            for (int k = 0; k < workers; k++) {
                members.add(Bench.member("w" + k, Health.READY, 0, 0, 0));
            }
            roster.enter(ListKind.WHOLE, members, startedAt, false);
            peers = new Peers(3, me, roster, effort);
            peers.start(startedAt);
        }

        Worker worker(int k) {
            return roster.worker("w" + k);
        }

        byte[] holds(long now, int worker, double slots) {
            worker(worker).own = slots;
            peers.changed(worker(worker));
            return peers.due(now, SECOND);
        }
    }

    private final Side ours = new Side(0, 0, 4);
    private final Side first = new Side(1, 0, 4);
    private final Side second = new Side(2, 0, 4);

    @Test
    void sumsWhatAllHaveToldAndForgetsTheSilent() {
        ours.peers.heard(SECOND, 1, first.holds(SECOND, 0, 3));
        ours.peers.heard(2 * SECOND, 2, second.holds(2 * SECOND, 0, 4));
        assertThat(ours.worker(0).told).isEqualTo(7);
        assertThat(ours.worker(1).told).isZero();
        assertThat(ours.peers.missing(2 * SECOND)).isZero();
        ours.peers.expire(SECOND * 9 / 2);
        assertThat(ours.worker(0).told).isEqualTo(4);
        assertThat(ours.peers.missing(SECOND * 9 / 2)).isEqualTo(0.5);
        assertThat(new Peers(1, 0, ours.roster, new WorkCounters()).missing(0)).isZero();
    }

    @Test
    void dropsWhatWasOvertakenOrCameTwice() {
        byte[] early = first.holds(SECOND, 0, 3);
        byte[] late = first.holds(SECOND + SECOND / 10, 0, 1);
        ours.peers.heard(2 * SECOND, 1, late);
        ours.peers.heard(3 * SECOND, 1, early);
        ours.peers.heard(3 * SECOND, 1, late);
        assertThat(ours.worker(0).told).isEqualTo(1);
        assertThat(ours.peers.missing(5 * SECOND + 1))
                .as("heard of at 2 s only")
                .isEqualTo(1);
    }

    @Test
    void theWholeStateCorrectsWhatWasLost() {
        ours.peers.heard(SECOND, 1, first.holds(SECOND, 0, 3));
        first.holds(SECOND * 2, 0, 0); // lost
        ours.peers.heard(3 * SECOND, 1, first.holds(3 * SECOND, 1, 2));
        assertThat(ours.worker(0).told).isZero();
        assertThat(ours.worker(1).told).isEqualTo(2);
    }

    @Test
    void aRestartedPeerBeginsAnew() {
        first.holds(SECOND, 0, 1);
        ours.peers.heard(2 * SECOND, 1, first.holds(2 * SECOND, 0, 3));
        byte[] stray = first.holds(3 * SECOND, 0, 4);
        ours.peers.heard(3 * SECOND, 1, new Side(1, 3 * SECOND, 4).holds(3 * SECOND, 1, 2));
        ours.peers.heard(3 * SECOND, 1, stray);
        assertThat(ours.worker(0).told).isZero();
        assertThat(ours.worker(1).told).isEqualTo(2);
    }

    @Test
    void dropsAndCountsWhatNoPeerSends() {
        byte[] good = first.holds(SECOND, 0, 3);
        byte[] otherFormat = good.clone();
        otherFormat[0] = 9;
        ours.peers.heard(SECOND, 0, good);
        ours.peers.heard(SECOND, 3, good);
        ours.peers.heard(SECOND, -1, good);
        ours.peers.heard(SECOND, 1, new byte[0]);
        ours.peers.heard(SECOND, 1, java.util.Arrays.copyOf(good, 10));
        ours.peers.heard(SECOND, 1, otherFormat);
        assertThat(ours.peers.missing(SECOND)).isEqualTo(1);
        assertThat(ours.effort.malformedDatagrams()).isEqualTo(6);
        assertThat(ours.effort.datagrams()).isZero();
    }

    @Test
    void dropsAndCountsWhatNamesUnknownWorkers() {
        Side larger = new Side(1, 0, 6);
        larger.worker(5).own = 2;
        larger.peers.changed(larger.worker(5));
        ours.peers.heard(SECOND, 1, larger.holds(SECOND, 1, 1));
        assertThat(ours.worker(1).told).isEqualTo(1);
        assertThat(ours.effort.unknownWorkers()).isEqualTo(1);
        assertThat(ours.peers.figures()).isEqualTo(1);
    }

    /** A worker that drains holds what it held, and nobody chooses it any more. */
    @Test
    void tellsNothingOfAWorkerThatWantsNothingNew() {
        ours.peers.heard(SECOND, 1, first.holds(SECOND, 0, 3));
        first.roster.enter(ListKind.CHANGES, List.of(Bench.member("w0", Health.DRAINING, 0, 0, 0)), 2 * SECOND, false);
        ours.peers.heard(2 * SECOND, 1, first.holds(2 * SECOND, 0, 3));
        assertThat(ours.worker(0).told).isZero();
    }

    /** The first byte of the halls' datagrams is their mark; no figure of ours may be taken for one. */
    @Test
    void isNotTakenForATellingOfHalls() {
        assertThat(first.holds(SECOND, 0, 3)[0]).isNotEqualTo(barrowshore.halls.HallPolicy.MESSAGE_TYPE);
    }
}
