package barrowshore.halls;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The decisions about halls, each hard case by itself: evidence in, states and gates out, on time that is handed in. */
class HallsTest {
    private static final long MS = 1_000, S = 1_000_000, TURN = 80 * MS;
    private static final List<String> NAMES = List.of("a", "b");

    /** One scheduler of hall a, and servers a0.. and b0.. that answer or do not. */
    private static final class Stage {
        final Halls halls;
        final List<HallServer> a = new ArrayList<>(), b = new ArrayList<>();
        final List<String> news = new ArrayList<>();
        long now = 100 * S;

        Stage(int inA, int inB, int schedulers) {
            this(inA, inB, schedulers, HallRules.defaults(NAMES, 0), 0);
        }

        Stage(int inA, int inB, int schedulers, HallRules rules, int me) {
            halls = new Halls(rules, schedulers, me, new Random(7)::nextDouble);
            for (int k = 0; k < inA; k++) {
                a.add(add("a" + k, 0, 0));
            }
            for (int k = 0; k < inB; k++) {
                b.add(add("b" + k, 1, 0));
            }
            halls.updateStates(now, false);
        }

        HallServer add(String id, int zone, long startedAt) {
            HallServer p = halls.serverFor(id);
            halls.updateListing(now, p, zone, true, false, startedAt);
            halls.updateCapacity(now, p, 5, 1, false);
            halls.recordSignOfLife(now, p);
            return p;
        }

        /** Turns for so long; the good ones give signs, the others have words spoken against them. */
        void pass(long time, List<HallServer> good, List<HallServer> bad) {
            for (long until = now + time; now < until; now += TURN) {
                good.forEach(p -> halls.recordSignOfLife(now, p));
                bad.forEach(p -> halls.recordFault(now, p, HallServer.Fault.UNREACHABLE));
                news.addAll(halls.updateStates(now, false));
            }
        }

        HallState state(int hall) {
            return halls.states().get(hall);
        }

        List<HallServer> taking(List<HallServer> of, double slots, double worth, boolean repeatable) {
            return taking(of, slots, worth, repeatable, 0);
        }

        List<HallServer> taking(List<HallServer> of, double slots, double worth, boolean repeatable, int tier) {
            double[] prices = halls.priceHalls(now, slots, worth, repeatable, tier);
            return of.stream()
                    .filter(p -> prices[p.hall] >= 0 ? prices[p.hall] != HallPolicy.CLOSED : halls.mayUse(p))
                    .toList();
        }

        /** Sends a job there and has it served after so long. */
        void serve(HallServer p, long took) {
            long sentAt = now;
            halls.recordSent(now, p, 1, 0);
            pass(took, List.of(), List.of());
            halls.recordEnd(now, p, sentAt, 1, true);
        }

        /** What another scheduler says of the halls. */
        void hear(Halls other, int from) {
            halls.receive(now, from, other.nextMessage(now));
        }
    }

    @Test
    void aDarkHallIsNoticedAndGetsTrialsOnly() {
        Stage s = new Stage(4, 4, 1);
        s.pass(S, s.b, s.a);
        assertThat(s.state(0)).isEqualTo(HallState.DARK);
        assertThat(s.state(1)).isEqualTo(HallState.SERVING);
        s.pass(2 * S, s.b, List.of());
        List<HallServer> open = s.taking(s.a, 1, 1, true);
        assertThat(open).isNotEmpty(); // one trial is due
        s.halls.recordSent(s.now, open.get(0), 1, 0);
        assertThat(s.taking(s.a, 1, 1, true)).isEmpty(); // and only one
        assertThat(s.taking(s.b, 1, 1, true)).hasSize(4);
    }

    @Test
    void theFirstTrialsAreWhatMayRunTwice() {
        Stage s = new Stage(4, 4, 1);
        s.pass(S, s.b, s.a);
        s.pass(2 * S, s.b, List.of());
        assertThat(s.taking(s.a, 1, 1, false).size())
                .isLessThanOrEqualTo(s.taking(s.a, 1, 1, true).size());
        Stage fresh = new Stage(4, 4, 1);
        fresh.pass(4 * TURN, fresh.b, fresh.a);
        assertThat(fresh.state(0)).isEqualTo(HallState.DARK);
        fresh.now += S;
        assertThat(fresh.taking(fresh.a, 1, 1, false)).isEmpty();
        assertThat(fresh.taking(fresh.a, 1, 1, true)).hasSize(4);
    }

    @Test
    void oneOrTwoServersNeverMoveAHall() {
        for (int size = 3; size <= 6; size++) {
            Stage s = new Stage(size, 4, 1);
            s.pass(20 * S, s.a.subList(2, size), s.a.subList(0, 2));
            assertThat(s.news).isEmpty();
        }
    }

    @Test
    void halfOfAHallDeadForGoodDoesNotMoveIt() {
        Stage s = new Stage(6, 4, 1);
        s.pass(60 * S, s.a.subList(3, 6), s.a.subList(0, 3));
        assertThat(s.state(0)).isEqualTo(HallState.SERVING);
    }

    @Test
    void resetsAloneNeverMakeAHallDark() {
        Stage s = new Stage(4, 4, 1);
        for (int k = 0; k < 20; k++) {
            s.a.forEach(p -> s.halls.recordFault(s.now, p, HallServer.Fault.RESET));
            s.pass(TURN, s.b, List.of());
        }
        assertThat(s.state(0)).isEqualTo(HallState.DOUBTED);
        s.pass(4 * S, s.b, List.of());
        assertThat(s.state(0)).isEqualTo(HallState.SERVING);
    }

    @Test
    void aLoneServerIsBelievedLostOnlyAfterASecondWord() {
        Stage s = new Stage(1, 4, 1);
        s.halls.recordFault(s.now, s.a.get(0), HallServer.Fault.UNREACHABLE);
        s.pass(3 * S, s.b, List.of());
        assertThat(s.state(0)).isEqualTo(HallState.SERVING);
        s.pass(2 * S, s.b, s.a);
        assertThat(s.state(0)).isEqualTo(HallState.DARK);
    }

    @Test
    void aPlannedDrainIsNoDoubtAndNoFlap() {
        Stage s = new Stage(3, 4, 1);
        for (int round = 0; round < 3; round++) {
            s.a.forEach(p -> s.halls.updateListing(s.now, p, 0, false, true, 0));
            s.pass(2 * S, s.b, List.of());
            s.a.forEach(p -> s.halls.updateListing(s.now, p, 0, false, false, 0));
            s.pass(8 * S, s.b, List.of());
            assertThat(s.state(0)).isEqualTo(HallState.DARK);
            long started = s.now;
            s.a.forEach(p -> s.halls.updateListing(s.now, p, 0, true, false, started));
            s.pass(TURN, s.b, List.of());
            assertThat(s.state(0)).isEqualTo(HallState.RETURNING);
            s.pass(S, s.b, List.of());
            for (int k = 0; k < 30; k++) {
                s.a.stream().filter(p -> s.taking(s.a, 1, 1, true).contains(p)).forEach(p -> s.serve(p, 100 * MS));
            }
            s.pass(2 * S, s.a, List.of());
            assertThat(s.state(0)).isEqualTo(HallState.SERVING);
        }
        assertThat(s.news).noneMatch(line -> line.contains("doubted") || line.contains("held"));
    }

    @Test
    void aListThatForgetsAHallForAMomentDoesNotMakeItCold() {
        Stage s = new Stage(4, 4, 1);
        s.a.forEach(p -> s.halls.updateListing(s.now, p, 0, false, false, 0));
        s.pass(S, s.a, List.of());
        assertThat(s.state(0)).isEqualTo(HallState.DARK);
        s.a.forEach(p -> s.halls.updateListing(s.now, p, 0, true, false, 0));
        s.pass(TURN, s.a, List.of());
        assertThat(s.state(0)).isEqualTo(HallState.SERVING);
    }

    @Test
    void aReturningHallProvesItselfServerByServer() {
        Stage s = new Stage(4, 4, 1);
        s.pass(S, s.b, s.a);
        s.halls.recordProbe(s.now, s.a.get(0), true);
        s.pass(TURN, s.b, List.of());
        assertThat(s.state(0)).isEqualTo(HallState.RETURNING);
        s.pass(S, s.b, List.of());
        HallServer first = s.taking(s.a, 1, 1, true).get(0);
        s.halls.recordSent(s.now, first, 1, 0);
        assertThat(s.taking(s.a, 1, 1, true)).isEmpty(); // one trial, not one for each server
        s.halls.recordEnd(s.now, first, s.now, 1, true);
        assertThat(s.taking(s.a, 1, 1, true)).contains(first);
        // What it may hold grows with what it serves.
        int most = 0;
        for (int round = 0; round < 6; round++) {
            int out = 0;
            while (out < 100 && s.taking(List.of(first), 1, 1, true).size() == 1) {
                s.halls.recordSent(s.now, first, 1, 0);
                out++;
            }
            assertThat(out).isGreaterThan(most);
            most = out;
            for (int k = 0; k < out; k++) {
                s.halls.recordEnd(s.now, first, s.now, 1, k == 0);
            }
        }
    }

    @Test
    void oldAnswersAreASignButProveNothing() {
        Stage s = new Stage(4, 4, 1);
        long sentAt = s.now;
        s.a.forEach(p -> s.halls.recordSent(s.now, p, 1, 0));
        s.pass(S, s.b, s.a);
        assertThat(s.state(0)).isEqualTo(HallState.DARK);
        s.halls.recordEnd(s.now, s.a.get(0), sentAt, 1, true);
        s.pass(TURN, s.b, List.of());
        assertThat(s.state(0)).isEqualTo(HallState.RETURNING);
        s.a.subList(1, 4).forEach(p -> s.halls.recordEnd(s.now, p, sentAt, 1, true)); // the rest comes while it returns
        s.pass(S, s.b, List.of());
        HallServer first = s.taking(s.a, 1, 1, true).get(0);
        s.halls.recordSent(s.now, first, 1, 0);
        assertThat(s.taking(s.a, 1, 1, true)).isEmpty();
    }

    @Test
    void aHalfWorkingHallIsHeldAtWhatItServes() {
        Stage s = new Stage(4, 4, 1);
        s.pass(S, s.b, s.a);
        List<HallServer> good = s.a.subList(0, 2), bad = s.a.subList(2, 4);
        s.pass(TURN, good, List.of());
        for (int k = 0; k < 200; k++) {
            for (HallServer p : s.taking(s.a, 1, 1, true)) {
                s.halls.recordSent(s.now, p, 1, 0);
                s.halls.recordEnd(s.now, p, s.now, 1, good.contains(p));
            }
            s.pass(TURN, good, bad);
        }
        assertThat(s.state(0)).isEqualTo(HallState.RETURNING);
        assertThat(s.taking(good, 1, 1, true)).hasSize(2);
        assertThat(s.taking(bad, 1, 1, false)).isEmpty();
    }

    @Test
    void aHallThatFlapsIsHeldOffForLongerEachTime() {
        Stage s = new Stage(4, 4, 1);
        List<Long> held = new ArrayList<>();
        s.pass(S, s.b, s.a);
        for (int flap = 0; flap < 3; flap++) {
            s.pass(TURN, s.a, List.of());
            for (int k = 0; k < 40 && s.state(0) == HallState.RETURNING; k++) {
                for (HallServer p : s.taking(s.a, 1, 1, true)) {
                    s.halls.recordSent(s.now, p, 1, 0);
                    s.halls.recordEnd(s.now, p, s.now, 1, true);
                }
                s.pass(TURN, s.a, List.of());
            }
            for (int k = 0; k < 50 && s.state(0) != HallState.HELD; k++) {
                s.pass(TURN, s.b, s.a);
            }
            assertThat(s.state(0)).isEqualTo(HallState.HELD);
            long from = s.now;
            assertThat(s.taking(s.a, 1, 1, true)).isEmpty();
            while (s.state(0) == HallState.HELD && s.now - from < 60 * S) {
                s.pass(TURN, s.a, List.of()); // it looks well all the time
            }
            held.add(s.now - from);
        }
        assertThat(held.get(0)).isBetween(3 * S, 7 * S);
        assertThat(held.get(1)).isBetween(7 * S, 13 * S);
        assertThat(held.get(2)).isBetween(14 * S, 26 * S);
    }

    @Test
    void cutOffAloneIsToldApartFromDark() {
        Stage s = new Stage(4, 4, 2), other = new Stage(4, 4, 2, HallRules.defaults(NAMES, 0), 1);
        for (int k = 0; k < 20; k++) {
            other.now = s.now;
            other.pass(TURN, other.a, List.of());
            s.hear(other.halls, 1);
            s.pass(TURN, s.b, s.a);
        }
        assertThat(s.state(0)).isEqualTo(HallState.DARK);
        assertThat(s.news).anyMatch(line -> line.contains("cut-off"));
        assertThat(other.state(0)).isEqualTo(HallState.SERVING);
        // Its own trouble must not keep others' work out of a hall that serves.
        other.hear(s.halls, 0);
        Stage far = new Stage(4, 4, 3, HallRules.defaults(NAMES, 1), 2);
        far.now = s.now;
        far.pass(TURN, far.a, List.of());
        far.hear(s.halls, 0);
        assertThat(far.taking(far.a, 1, 1, true)).hasSize(4);
    }

    @Test
    void aFreshSchedulerBelievesTheOthers() {
        Stage other = new Stage(4, 4, 2, HallRules.defaults(NAMES, 0), 1);
        other.pass(S, other.b, other.a);
        Stage s = new Stage(4, 4, 2, HallRules.defaults(NAMES, 1), 0);
        s.a.forEach(p -> p.signAt = Long.MIN_VALUE / 2); // it has never heard of any
        s.now = other.now;
        s.pass(S, s.b, List.of()); // it was not there before: nothing counts yet
        s.hear(other.halls, 1);
        s.pass(TURN, s.b, List.of());
        assertThat(s.state(0)).isEqualTo(HallState.DARK);
        // It does not say so itself: a rumour would come back to its teller as a second voice.
        HallTalk.Message told = HallTalk.read(s.halls.nextMessage(s.now), 3);
        assertThat(told.halls().get(0).state()).isEqualTo(HallState.SERVING);
    }

    @Test
    void aTroubledHallTakesNoGuests() {
        Stage home = new Stage(4, 4, 2, HallRules.defaults(NAMES, 1), 1);
        Stage s = new Stage(4, 4, 2);
        assertThat(s.taking(s.b, 1, 1, true)).hasSize(4);
        home.pass(2 * S, home.a, home.b);
        s.now = home.now;
        s.pass(TURN, s.b, List.of());
        s.hear(home.halls, 1);
        assertThat(s.taking(s.b, 1, 1, true)).isEmpty();
    }

    @Test
    void workFromOutsideStaysWithinThePartAndTheWorthiestGetsTheLastOfIt() {
        Stage s = new Stage(4, 4, 2); // 20 slots in b, two schedulers: 10 each
        double sent = 0;
        while (sent < 100 && !s.taking(s.b, 1, 0.2, true).isEmpty()) {
            s.halls.recordSent(s.now, s.b.get(0), 1, 0);
            sent++;
        }
        assertThat(sent).isEqualTo(7); // 0.76 of 10
        while (sent < 100 && !s.taking(s.b, 1, 1, true).isEmpty()) {
            s.halls.recordSent(s.now, s.b.get(0), 1, 0);
            sent++;
        }
        assertThat(sent).isEqualTo(10);
        assertThat(s.taking(s.a, 1, 1, true)).hasSize(4); // at home there is no such limit
    }

    @Test
    void crowdedDinersOfItsOwnMakeAHallLessWelcoming() {
        Stage home = new Stage(4, 4, 2, HallRules.defaults(NAMES, 1), 1);
        Stage s = new Stage(4, 4, 2);
        for (int k = 0; k < 100; k++) {
            home.halls.recordRefusal(home.now, 1);
            home.pass(TURN, home.b, List.of());
        }
        s.now = home.now;
        s.pass(TURN, s.b, List.of());
        double before = s.halls.part(s.now, 1);
        s.hear(home.halls, 1);
        assertThat(s.halls.part(s.now, 1)).isLessThan(before / 10);
        home.pass(10 * S, home.b, List.of());
        s.now = home.now;
        s.hear(home.halls, 1);
        assertThat(s.halls.part(s.now, 1)).isGreaterThan(before); // and its scheduler is known not to share any more
    }

    @Test
    void retriesOfAHallThatEndsAtOnceAreBoundedAndTheWorthiestComeFirst() {
        Stage s = new Stage(4, 4, 1);
        s.pass(S, s.b, s.a);
        int poor = 0, rich = 0;
        while (poor < 100 && s.halls.mayRetry(s.now, s.a.get(0), 0.1)) {
            poor++;
        }
        while (rich < 100 && s.halls.mayRetry(s.now, s.a.get(0), 1)) {
            rich++;
        }
        assertThat(poor).isBetween(1, 5);
        assertThat(poor + rich).isEqualTo(10);
        assertThat(s.halls.mayRetry(s.now, s.b.get(0), 0)).isTrue(); // one server's trouble in a hall that serves
    }

    @Test
    void strictTiersOpenAFurtherHallOnlyInALaterRound() {
        HallRules usual = HallRules.defaults(NAMES, 0);
        HallRules strict = new HallRules(NAMES, 0, List.of(0, 1), true, 0.5, 0.6, S, S / 2, S, S, S, S, 0.1, 10);
        Stage s = new Stage(4, 4, 1, strict, 0);
        assertThat(s.halls.tierRounds()).isEqualTo(2);
        assertThat(s.taking(s.b, 1, 1, true)).isEmpty();
        assertThat(s.taking(s.b, 1, 1, true, 1)).hasSize(4);
        assertThat(new Stage(4, 4, 1, usual, 0).halls.tierRounds()).isEqualTo(1);
    }

    @Test
    void aPauseOfOurOwnIsNotHeldAgainstAnyHall() {
        Stage s = new Stage(4, 4, 1);
        s.pass(S, s.a, List.of());
        s.now += 5 * S;
        s.a.forEach(p -> s.halls.recordFault(s.now, p, HallServer.Fault.SILENT));
        s.b.forEach(p -> s.halls.recordFault(s.now, p, HallServer.Fault.SILENT));
        s.pass(TURN, List.of(), List.of());
        s.pass(2 * S, allOf(s), List.of());
        assertThat(s.news).isEmpty();
    }

    private static List<HallServer> allOf(Stage s) {
        List<HallServer> all = new ArrayList<>(s.a);
        all.addAll(s.b);
        return all;
    }

    @Test
    void whenNoHallIsLeftEachServerIsTriedWithOneJob() {
        Stage s = new Stage(3, 3, 1);
        s.pass(3 * S, List.of(), allOf(s));
        assertThat(s.halls.states()).containsOnly(HallState.DARK);
        List<HallServer> open = s.taking(allOf(s), 1, 1, false);
        assertThat(open).hasSize(6);
        open.forEach(p -> s.halls.recordSent(s.now, p, 1, 0));
        assertThat(s.taking(allOf(s), 1, 1, false)).isEmpty();
    }

    @Test
    void whatProvedItselfBeforeIsTriedLikeTheRestWhenNoHallIsLeft() {
        Stage s = new Stage(3, 3, 1);
        s.pass(S, s.b, s.a);
        s.pass(S, allOf(s), List.of());
        s.serve(s.taking(s.a, 1, 1, true).get(0), TURN);
        s.pass(3 * S, List.of(), allOf(s));
        assertThat(s.halls.states()).doesNotContain(HallState.SERVING, HallState.RETURNING, HallState.DOUBTED);
        List<HallServer> open = s.taking(allOf(s), 1, 1, false);
        open.forEach(p -> s.halls.recordSent(s.now, p, 1, 0));
        assertThat(s.taking(allOf(s), 1, 1, false)).isEmpty();
    }

    @Test
    void aHallOfAllNewServersComesBackGently() {
        Stage s = new Stage(4, 4, 1);
        s.pass(S, s.b, s.a);
        s.a.forEach(p -> s.halls.updateListing(s.now, p, 0, false, false, 0));
        s.pass(S, s.b, List.of());
        List<HallServer> fresh = new ArrayList<>();
        for (int k = 0; k < 4; k++) {
            fresh.add(s.add("new" + k, 0, s.now));
        }
        s.pass(TURN, s.b, List.of());
        assertThat(s.state(0)).isEqualTo(HallState.RETURNING);
        s.pass(S, s.b, List.of());
        s.halls.recordSent(s.now, s.taking(fresh, 1, 1, true).get(0), 1, 0);
        assertThat(s.taking(fresh, 1, 1, true)).isEmpty();
    }

    @Test
    void datagramsAreCheckedAndOldOnesDropped() {
        Stage s = new Stage(4, 4, 2), other = new Stage(4, 4, 2, HallRules.defaults(NAMES, 1), 1);
        byte[] first = other.halls.nextMessage(other.now);
        for (int k = 0; k < 20; k++) {
            other.halls.recordRefusal(other.now, 1);
            other.pass(TURN, other.b, List.of());
        }
        byte[] second = other.halls.nextMessage(other.now);
        assertThat(second.length).isLessThanOrEqualTo(256);
        assertThat(s.halls.receive(s.now, 1, second)).isTrue();
        double part = s.halls.part(s.now, 1);
        assertThat(s.halls.receive(s.now, 1, first)).isTrue();
        assertThat(s.halls.part(s.now, 1)).isEqualTo(part);
        for (int cut = 1; cut < second.length; cut++) {
            assertThat(s.halls.receive(s.now, 1, java.util.Arrays.copyOf(second, cut)))
                    .isTrue();
        }
        assertThat(s.halls.receive(s.now, 1, new byte[] {1, 2, 3})).isFalse();
        assertThat(HallTalk.read(new byte[] {3, 0, 0, 0, 0, 0, 1, 9, 0, 0, 0, 0, 0, 0}, 3))
                .isNull();
    }
}
