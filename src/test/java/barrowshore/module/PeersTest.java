package barrowshore.module;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What dispatchers tell one another, over a way that loses, doubles and reorders. */
class PeersTest {
    private static final Roster NONE = new Roster(null);

    private final Peers ours = new Peers(3, 0, 7, new Effort());
    private final Peers first = new Peers(3, 1, 11, new Effort());
    private final Peers second = new Peers(3, 2, 12, new Effort());

    private static Worker worker(String id, double slots) {
        Worker w = new Worker(id);
        w.own = slots;
        return w;
    }

    @Test
    void sumsWhatAllHaveToldAndForgetsTheSilent() {
        ours.heard(10, 1, first.message(worker("a", 3)), NONE);
        ours.heard(20, 2, second.message(worker("a", 4)), NONE);
        assertThat(ours.slots(worker("a", 0), 0)).isEqualTo(7);
        assertThat(ours.slots(worker("a", 0), 15)).isEqualTo(4);
        assertThat(ours.slots(worker("b", 0), 0)).isZero();
        assertThat(ours.missing(0)).isZero();
        assertThat(ours.missing(15)).isEqualTo(0.5);
        assertThat(new Peers(1, 0, 7, new Effort()).missing(0)).isZero();
    }

    @Test
    void dropsWhatWasOvertakenOrCameTwice() {
        byte[] early = first.message(worker("a", 3)), late = first.message(worker("a", 1));
        ours.heard(10, 1, late, NONE);
        ours.heard(20, 1, early, NONE);
        ours.heard(30, 1, late, NONE);
        assertThat(ours.slots(worker("a", 0), 0)).isEqualTo(1);
        assertThat(ours.missing(20)).as("heard of at 10 only").isEqualTo(1);
    }

    @Test
    void theWholeStateCorrectsWhatWasLost() {
        ours.heard(10, 1, first.message(worker("a", 3)), NONE);
        first.message(worker("a", 0)); // lost
        ours.heard(20, 1, first.message(List.of(worker("b", 2)), true), NONE);
        assertThat(ours.slots(worker("a", 0), 0)).isZero();
        assertThat(ours.slots(worker("b", 0), 0)).isEqualTo(2);
    }

    @Test
    void aRestartedPeerBeginsAnew() {
        first.message(worker("a", 1));
        ours.heard(10, 1, first.message(worker("a", 3)), NONE);
        ours.heard(20, 1, new Peers(3, 1, 99, new Effort()).message(worker("b", 2)), NONE);
        assertThat(ours.slots(worker("a", 0), 0)).isZero();
        assertThat(ours.slots(worker("b", 0), 0)).isEqualTo(2);
    }

    @Test
    void dropsWhatNoPeerSends() {
        byte[] good = first.message(worker("a", 3));
        ours.heard(10, 0, good, NONE);
        ours.heard(10, 3, good, NONE);
        ours.heard(10, -1, good, NONE);
        ours.heard(10, 1, new byte[0], NONE);
        ours.heard(10, 1, java.util.Arrays.copyOf(good, good.length - 1), NONE);
        assertThat(ours.missing(0)).isEqualTo(1);
        assertThat(first.message(java.util.Collections.nCopies(300, worker("a", 999)), true))
                .hasSizeLessThan(257);
    }
}
