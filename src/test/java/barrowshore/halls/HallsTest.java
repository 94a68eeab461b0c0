package barrowshore.halls;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The decisions about halls, each hard case by itself: evidence in, states and gates out, on time that is handed in. */
class HallsTest {
    private static final long MS = 1_000, SECOND = 1_000_000, UPDATE_INTERVAL = 80 * MS;
    private static final List<String> NAMES = List.of("a", "b");

    /** One scheduler of hall a, and servers a0.. and b0.. that answer or do not. */
    private static final class Fixture {
        final Halls halls;
        final List<HallServer> serversInA = new ArrayList<>(), serversInB = new ArrayList<>();
        final List<String> logLines = new ArrayList<>();
        long now = 100 * SECOND;

        Fixture(int countInA, int countInB, int schedulers) {
            this(countInA, countInB, schedulers, HallRules.defaults(NAMES, 0), 0);
        }

        Fixture(int countInA, int countInB, int schedulers, HallRules rules, int ownIndex) {
            halls = new Halls(rules, schedulers, ownIndex, new Random(7)::nextDouble);
            for (int k = 0; k < countInA; k++) {
                serversInA.add(addServer("a" + k, 0, 0));
            }
            for (int k = 0; k < countInB; k++) {
                serversInB.add(addServer("b" + k, 1, 0));
            }
            halls.updateStates(now, false);
        }

        HallServer addServer(String id, int zone, long startedAt) {
            HallServer server = halls.serverFor(id);
            halls.updateListing(now, server, zone, true, false, startedAt);
            halls.updateCapacity(now, server, 5, 1, false);
            halls.recordSignOfLife(now, server);
            return server;
        }

        /** Turns for so long; the good ones give signs, the others have words spoken against them. */
        void run(long micros, List<HallServer> answering, List<HallServer> failing) {
            for (long until = now + micros; now < until; now += UPDATE_INTERVAL) {
                answering.forEach(p -> halls.recordSignOfLife(now, p));
                failing.forEach(p -> halls.recordFault(now, p, HallServer.Fault.UNREACHABLE));
                logLines.addAll(halls.updateStates(now, false));
            }
        }

        HallState state(int hall) {
            return halls.states().get(hall);
        }

        List<HallServer> usable(List<HallServer> servers, double slots, double worth, boolean repeatable) {
            return usable(servers, slots, worth, repeatable, 0);
        }

        List<HallServer> usable(List<HallServer> servers, double slots, double worth, boolean repeatable, int tier) {
            double[] prices = halls.priceHalls(now, slots, worth, repeatable, tier);
            return servers.stream()
                    .filter(p -> prices[p.hall] >= 0 ? prices[p.hall] != HallPolicy.CLOSED : halls.mayUse(p))
                    .toList();
        }

        /** Sends a job there and has it served after so long. */
        void serve(HallServer server, long micros) {
            long sentAt = now;
            halls.recordSent(now, server, 1, 0);
            run(micros, List.of(), List.of());
            halls.recordEnd(now, server, sentAt, 1, true);
        }

        /** What another scheduler says of the halls. */
        void receiveFrom(Halls other, int otherIndex) {
            halls.receive(now, otherIndex, other.nextMessage(now));
        }
    }

    @Test
    void aHallWithoutAnswersGoesDarkAndGetsOneTrialAtATime() {
        Fixture s = new Fixture(4, 4, 1);
        s.run(SECOND, s.serversInB, s.serversInA);
        assertThat(s.state(0)).isEqualTo(HallState.DARK);
        assertThat(s.state(1)).isEqualTo(HallState.SERVING);
        s.run(2 * SECOND, s.serversInB, List.of());
        List<HallServer> open = s.usable(s.serversInA, 1, 1, true);
        assertThat(open).isNotEmpty(); // one trial is due
        s.halls.recordSent(s.now, open.get(0), 1, 0);
        assertThat(s.usable(s.serversInA, 1, 1, true)).isEmpty(); // and only one
        assertThat(s.usable(s.serversInB, 1, 1, true)).hasSize(4);
    }

    @Test
    void theFirstTrialsAreRepeatableJobs() {
        Fixture s = new Fixture(4, 4, 1);
        s.run(SECOND, s.serversInB, s.serversInA);
        s.run(2 * SECOND, s.serversInB, List.of());
        assertThat(s.usable(s.serversInA, 1, 1, false).size())
                .isLessThanOrEqualTo(s.usable(s.serversInA, 1, 1, true).size());
        Fixture fresh = new Fixture(4, 4, 1);
        fresh.run(4 * UPDATE_INTERVAL, fresh.serversInB, fresh.serversInA);
        assertThat(fresh.state(0)).isEqualTo(HallState.DARK);
        fresh.now += SECOND;
        assertThat(fresh.usable(fresh.serversInA, 1, 1, false)).isEmpty();
        assertThat(fresh.usable(fresh.serversInA, 1, 1, true)).hasSize(4);
    }

    @Test
    void oneOrTwoLostServersNeverChangeALargerHallsState() {
        for (int size = 3; size <= 6; size++) {
            Fixture s = new Fixture(size, 4, 1);
            s.run(20 * SECOND, s.serversInA.subList(2, size), s.serversInA.subList(0, 2));
            assertThat(s.logLines).isEmpty();
        }
    }

    @Test
    void losingHalfOfAHallDoesNotChangeItsState() {
        Fixture s = new Fixture(6, 4, 1);
        s.run(60 * SECOND, s.serversInA.subList(3, 6), s.serversInA.subList(0, 3));
        assertThat(s.state(0)).isEqualTo(HallState.SERVING);
    }

    @Test
    void resetsAloneNeverMakeAHallDark() {
        Fixture s = new Fixture(4, 4, 1);
        for (int k = 0; k < 20; k++) {
            s.serversInA.forEach(p -> s.halls.recordFault(s.now, p, HallServer.Fault.RESET));
            s.run(UPDATE_INTERVAL, s.serversInB, List.of());
        }
        assertThat(s.state(0)).isEqualTo(HallState.DOUBTED);
        s.run(4 * SECOND, s.serversInB, List.of());
        assertThat(s.state(0)).isEqualTo(HallState.SERVING);
    }

    @Test
    void aSingleServerHallGoesDarkOnlyAfterASecondFault() {
        Fixture s = new Fixture(1, 4, 1);
        s.halls.recordFault(s.now, s.serversInA.get(0), HallServer.Fault.UNREACHABLE);
        s.run(3 * SECOND, s.serversInB, List.of());
        assertThat(s.state(0)).isEqualTo(HallState.SERVING);
        s.run(2 * SECOND, s.serversInB, s.serversInA);
        assertThat(s.state(0)).isEqualTo(HallState.DARK);
    }

    @Test
    void aPlannedDrainCausesNeitherDoubtNorHoldOff() {
        Fixture s = new Fixture(3, 4, 1);
        for (int round = 0; round < 3; round++) {
            s.serversInA.forEach(p -> s.halls.updateListing(s.now, p, 0, false, true, 0));
            s.run(2 * SECOND, s.serversInB, List.of());
            s.serversInA.forEach(p -> s.halls.updateListing(s.now, p, 0, false, false, 0));
            s.run(8 * SECOND, s.serversInB, List.of());
            assertThat(s.state(0)).isEqualTo(HallState.DARK);
            long started = s.now;
            s.serversInA.forEach(p -> s.halls.updateListing(s.now, p, 0, true, false, started));
            s.run(UPDATE_INTERVAL, s.serversInB, List.of());
            assertThat(s.state(0)).isEqualTo(HallState.RETURNING);
            s.run(SECOND, s.serversInB, List.of());
            for (int k = 0; k < 30; k++) {
                s.serversInA.stream()
                        .filter(p -> s.usable(s.serversInA, 1, 1, true).contains(p))
                        .forEach(p -> s.serve(p, 100 * MS));
            }
            s.run(2 * SECOND, s.serversInA, List.of());
            assertThat(s.state(0)).isEqualTo(HallState.SERVING);
        }
        assertThat(s.logLines).noneMatch(line -> line.contains("doubted") || line.contains("held"));
    }

    @Test
    void aHallBrieflyMissingFromTheServerListServesAtOnceWhenListedAgain() {
        Fixture s = new Fixture(4, 4, 1);
        s.serversInA.forEach(p -> s.halls.updateListing(s.now, p, 0, false, false, 0));
        s.run(SECOND, s.serversInA, List.of());
        assertThat(s.state(0)).isEqualTo(HallState.DARK);
        s.serversInA.forEach(p -> s.halls.updateListing(s.now, p, 0, true, false, 0));
        s.run(UPDATE_INTERVAL, s.serversInA, List.of());
        assertThat(s.state(0)).isEqualTo(HallState.SERVING);
    }

    @Test
    void aReturningHallProvesItselfServerByServer() {
        Fixture s = new Fixture(4, 4, 1);
        s.run(SECOND, s.serversInB, s.serversInA);
        s.halls.recordProbe(s.now, s.serversInA.get(0), true);
        s.run(UPDATE_INTERVAL, s.serversInB, List.of());
        assertThat(s.state(0)).isEqualTo(HallState.RETURNING);
        s.run(SECOND, s.serversInB, List.of());
        HallServer first = s.usable(s.serversInA, 1, 1, true).get(0);
        s.halls.recordSent(s.now, first, 1, 0);
        assertThat(s.usable(s.serversInA, 1, 1, true)).isEmpty(); // one trial, not one for each server
        s.halls.recordEnd(s.now, first, s.now, 1, true);
        assertThat(s.usable(s.serversInA, 1, 1, true)).contains(first);
        // What it may hold grows with what it serves.
        int previousLimit = 0;
        for (int round = 0; round < 6; round++) {
            int accepted = 0;
            while (accepted < 100 && s.usable(List.of(first), 1, 1, true).size() == 1) {
                s.halls.recordSent(s.now, first, 1, 0);
                accepted++;
            }
            assertThat(accepted).isGreaterThan(previousLimit);
            previousLimit = accepted;
            for (int k = 0; k < accepted; k++) {
                s.halls.recordEnd(s.now, first, s.now, 1, k == 0);
            }
        }
    }

    @Test
    void resultsOfEarlierJobsAreASignOfLifeButProveNothing() {
        Fixture s = new Fixture(4, 4, 1);
        long sentAt = s.now;
        s.serversInA.forEach(p -> s.halls.recordSent(s.now, p, 1, 0));
        s.run(SECOND, s.serversInB, s.serversInA);
        assertThat(s.state(0)).isEqualTo(HallState.DARK);
        s.halls.recordEnd(s.now, s.serversInA.get(0), sentAt, 1, true);
        s.run(UPDATE_INTERVAL, s.serversInB, List.of());
        assertThat(s.state(0)).isEqualTo(HallState.RETURNING);
        s.serversInA
                .subList(1, 4)
                .forEach(p -> s.halls.recordEnd(s.now, p, sentAt, 1, true)); // the rest comes while it returns
        s.run(SECOND, s.serversInB, List.of());
        HallServer first = s.usable(s.serversInA, 1, 1, true).get(0);
        s.halls.recordSent(s.now, first, 1, 0);
        assertThat(s.usable(s.serversInA, 1, 1, true)).isEmpty();
    }

    @Test
    void aHalfWorkingHallKeepsReturningAndUsesOnlyProvenServers() {
        Fixture s = new Fixture(4, 4, 1);
        s.run(SECOND, s.serversInB, s.serversInA);
        List<HallServer> answering = s.serversInA.subList(0, 2), failing = s.serversInA.subList(2, 4);
        s.run(UPDATE_INTERVAL, answering, List.of());
        for (int k = 0; k < 200; k++) {
            for (HallServer p : s.usable(s.serversInA, 1, 1, true)) {
                s.halls.recordSent(s.now, p, 1, 0);
                s.halls.recordEnd(s.now, p, s.now, 1, answering.contains(p));
            }
            s.run(UPDATE_INTERVAL, answering, failing);
        }
        assertThat(s.state(0)).isEqualTo(HallState.RETURNING);
        assertThat(s.usable(answering, 1, 1, true)).hasSize(2);
        assertThat(s.usable(failing, 1, 1, false)).isEmpty();
    }

    @Test
    void aHallThatFlapsIsHeldOffForLongerEachTime() {
        Fixture s = new Fixture(4, 4, 1);
        List<Long> holdOffs = new ArrayList<>();
        s.run(SECOND, s.serversInB, s.serversInA);
        for (int flap = 0; flap < 3; flap++) {
            s.run(UPDATE_INTERVAL, s.serversInA, List.of());
            for (int k = 0; k < 40 && s.state(0) == HallState.RETURNING; k++) {
                for (HallServer p : s.usable(s.serversInA, 1, 1, true)) {
                    s.halls.recordSent(s.now, p, 1, 0);
                    s.halls.recordEnd(s.now, p, s.now, 1, true);
                }
                s.run(UPDATE_INTERVAL, s.serversInA, List.of());
            }
            for (int k = 0; k < 50 && s.state(0) != HallState.HELD; k++) {
                s.run(UPDATE_INTERVAL, s.serversInB, s.serversInA);
            }
            assertThat(s.state(0)).isEqualTo(HallState.HELD);
            long from = s.now;
            assertThat(s.usable(s.serversInA, 1, 1, true)).isEmpty();
            while (s.state(0) == HallState.HELD && s.now - from < 60 * SECOND) {
                s.run(UPDATE_INTERVAL, s.serversInA, List.of()); // it looks well all the time
            }
            holdOffs.add(s.now - from);
        }
        assertThat(holdOffs.get(0)).isBetween(3 * SECOND, 7 * SECOND);
        assertThat(holdOffs.get(1)).isBetween(7 * SECOND, 13 * SECOND);
        assertThat(holdOffs.get(2)).isBetween(14 * SECOND, 26 * SECOND);
    }

    @Test
    void aHallCutOffOnlyFromThisSchedulerIsLoggedAsCutOff() {
        Fixture s = new Fixture(4, 4, 2), other = new Fixture(4, 4, 2, HallRules.defaults(NAMES, 0), 1);
        for (int k = 0; k < 20; k++) {
            other.now = s.now;
            other.run(UPDATE_INTERVAL, other.serversInA, List.of());
            s.receiveFrom(other.halls, 1);
            s.run(UPDATE_INTERVAL, s.serversInB, s.serversInA);
        }
        assertThat(s.state(0)).isEqualTo(HallState.DARK);
        assertThat(s.logLines).anyMatch(line -> line.contains("cut-off"));
        assertThat(other.state(0)).isEqualTo(HallState.SERVING);
        // Its own trouble must not keep others' work out of a hall that serves.
        other.receiveFrom(s.halls, 0);
        Fixture far = new Fixture(4, 4, 3, HallRules.defaults(NAMES, 1), 2);
        far.now = s.now;
        far.run(UPDATE_INTERVAL, far.serversInA, List.of());
        far.receiveFrom(s.halls, 0);
        assertThat(far.usable(far.serversInA, 1, 1, true)).hasSize(4);
    }

    @Test
    void aFreshSchedulerBelievesItsPeers() {
        Fixture other = new Fixture(4, 4, 2, HallRules.defaults(NAMES, 0), 1);
        other.run(SECOND, other.serversInB, other.serversInA);
        Fixture s = new Fixture(4, 4, 2, HallRules.defaults(NAMES, 1), 0);
        s.serversInA.forEach(p -> p.lastSignAt = Long.MIN_VALUE / 2); // it has never heard of any
        s.now = other.now;
        s.run(SECOND, s.serversInB, List.of()); // it was not there before: nothing counts yet
        s.receiveFrom(other.halls, 1);
        s.run(UPDATE_INTERVAL, s.serversInB, List.of());
        assertThat(s.state(0)).isEqualTo(HallState.DARK);
        // It does not say so itself: a rumour would come back to its teller as a second voice.
        HallMessageCodec.Message told = HallMessageCodec.decode(s.halls.nextMessage(s.now), 3);
        assertThat(told.halls().get(0).state()).isEqualTo(HallState.SERVING);
    }

    @Test
    void aTroubledHallTakesNoForeignWork() {
        Fixture home = new Fixture(4, 4, 2, HallRules.defaults(NAMES, 1), 1);
        Fixture s = new Fixture(4, 4, 2);
        assertThat(s.usable(s.serversInB, 1, 1, true)).hasSize(4);
        home.run(2 * SECOND, home.serversInA, home.serversInB);
        s.now = home.now;
        s.run(UPDATE_INTERVAL, s.serversInB, List.of());
        s.receiveFrom(home.halls, 1);
        assertThat(s.usable(s.serversInB, 1, 1, true)).isEmpty();
    }

    @Test
    void foreignWorkStaysWithinTheSpillLimitAndHighWorthGetsTheLastOfIt() {
        Fixture s = new Fixture(4, 4, 2); // 20 slots in b, two schedulers: 10 each
        double sent = 0;
        while (sent < 100 && !s.usable(s.serversInB, 1, 0.2, true).isEmpty()) {
            s.halls.recordSent(s.now, s.serversInB.get(0), 1, 0);
            sent++;
        }
        assertThat(sent).isEqualTo(7); // 0.76 of 10
        while (sent < 100 && !s.usable(s.serversInB, 1, 1, true).isEmpty()) {
            s.halls.recordSent(s.now, s.serversInB.get(0), 1, 0);
            sent++;
        }
        assertThat(sent).isEqualTo(10);
        assertThat(s.usable(s.serversInA, 1, 1, true)).hasSize(4); // at home there is no such limit
    }

    @Test
    void aHallCrowdedByItsOwnRequestsAcceptsLessForeignWork() {
        Fixture home = new Fixture(4, 4, 2, HallRules.defaults(NAMES, 1), 1);
        Fixture s = new Fixture(4, 4, 2);
        for (int k = 0; k < 100; k++) {
            home.halls.recordRefusal(home.now, 1);
            home.run(UPDATE_INTERVAL, home.serversInB, List.of());
        }
        s.now = home.now;
        s.run(UPDATE_INTERVAL, s.serversInB, List.of());
        double before = s.halls.spillLimit(s.now, 1);
        s.receiveFrom(home.halls, 1);
        assertThat(s.halls.spillLimit(s.now, 1)).isLessThan(before / 10);
        home.run(10 * SECOND, home.serversInB, List.of());
        s.now = home.now;
        s.receiveFrom(home.halls, 1);
        assertThat(s.halls.spillLimit(s.now, 1))
                .isGreaterThan(before); // and its scheduler is known not to share any more
    }

    @Test
    void retriesAfterAHallFailureAreBoundedAndReservedForHighWorth() {
        Fixture s = new Fixture(4, 4, 1);
        s.run(SECOND, s.serversInB, s.serversInA);
        int lowWorthRetries = 0, highWorthRetries = 0;
        while (lowWorthRetries < 100 && s.halls.mayRetry(s.now, s.serversInA.get(0), 0.1)) {
            lowWorthRetries++;
        }
        while (highWorthRetries < 100 && s.halls.mayRetry(s.now, s.serversInA.get(0), 1)) {
            highWorthRetries++;
        }
        assertThat(lowWorthRetries).isBetween(1, 5);
        assertThat(lowWorthRetries + highWorthRetries).isEqualTo(10);
        assertThat(s.halls.mayRetry(s.now, s.serversInB.get(0), 0))
                .isTrue(); // one server's trouble in a hall that serves
    }

    @Test
    void strictTiersOpenAFurtherHallOnlyInALaterRound() {
        HallRules usual = HallRules.defaults(NAMES, 0);
        HallRules strict = new HallRules(
                NAMES, 0, List.of(0, 1), true, 0.5, 0.6, SECOND, SECOND / 2, SECOND, SECOND, SECOND, SECOND, 0.1, 10);
        Fixture s = new Fixture(4, 4, 1, strict, 0);
        assertThat(s.halls.tierRounds()).isEqualTo(2);
        assertThat(s.usable(s.serversInB, 1, 1, true)).isEmpty();
        assertThat(s.usable(s.serversInB, 1, 1, true, 1)).hasSize(4);
        assertThat(new Fixture(4, 4, 1, usual, 0).halls.tierRounds()).isEqualTo(1);
    }

    @Test
    void aPauseOfThisProcessIsNoEvidenceAgainstAnyHall() {
        Fixture s = new Fixture(4, 4, 1);
        s.run(SECOND, s.serversInA, List.of());
        s.now += 5 * SECOND;
        s.serversInA.forEach(p -> s.halls.recordFault(s.now, p, HallServer.Fault.SILENT));
        s.serversInB.forEach(p -> s.halls.recordFault(s.now, p, HallServer.Fault.SILENT));
        s.run(UPDATE_INTERVAL, List.of(), List.of());
        s.run(2 * SECOND, allServers(s), List.of());
        assertThat(s.logLines).isEmpty();
    }

    private static List<HallServer> allServers(Fixture s) {
        List<HallServer> all = new ArrayList<>(s.serversInA);
        all.addAll(s.serversInB);
        return all;
    }

    @Test
    void inPanicEachServerGetsOneJob() {
        Fixture s = new Fixture(3, 3, 1);
        s.run(3 * SECOND, List.of(), allServers(s));
        assertThat(s.halls.states()).containsOnly(HallState.DARK);
        List<HallServer> open = s.usable(allServers(s), 1, 1, false);
        assertThat(open).hasSize(6);
        open.forEach(p -> s.halls.recordSent(s.now, p, 1, 0));
        assertThat(s.usable(allServers(s), 1, 1, false)).isEmpty();
    }

    @Test
    void inPanicAServerProvenEarlierGetsOneJobToo() {
        Fixture s = new Fixture(3, 3, 1);
        s.run(SECOND, s.serversInB, s.serversInA);
        s.run(SECOND, allServers(s), List.of());
        s.serve(s.usable(s.serversInA, 1, 1, true).get(0), UPDATE_INTERVAL);
        s.run(3 * SECOND, List.of(), allServers(s));
        assertThat(s.halls.states()).doesNotContain(HallState.SERVING, HallState.RETURNING, HallState.DOUBTED);
        List<HallServer> open = s.usable(allServers(s), 1, 1, false);
        open.forEach(p -> s.halls.recordSent(s.now, p, 1, 0));
        assertThat(s.usable(allServers(s), 1, 1, false)).isEmpty();
    }

    @Test
    void aHallOfNewServersReturnsWithOneJobAtATime() {
        Fixture s = new Fixture(4, 4, 1);
        s.run(SECOND, s.serversInB, s.serversInA);
        s.serversInA.forEach(p -> s.halls.updateListing(s.now, p, 0, false, false, 0));
        s.run(SECOND, s.serversInB, List.of());
        List<HallServer> fresh = new ArrayList<>();
        for (int k = 0; k < 4; k++) {
            fresh.add(s.addServer("new" + k, 0, s.now));
        }
        s.run(UPDATE_INTERVAL, s.serversInB, List.of());
        assertThat(s.state(0)).isEqualTo(HallState.RETURNING);
        s.run(SECOND, s.serversInB, List.of());
        s.halls.recordSent(s.now, s.usable(fresh, 1, 1, true).get(0), 1, 0);
        assertThat(s.usable(fresh, 1, 1, true)).isEmpty();
    }

    @Test
    void datagramsAreCheckedAndOldOnesDropped() {
        Fixture s = new Fixture(4, 4, 2), other = new Fixture(4, 4, 2, HallRules.defaults(NAMES, 1), 1);
        byte[] first = other.halls.nextMessage(other.now);
        for (int k = 0; k < 20; k++) {
            other.halls.recordRefusal(other.now, 1);
            other.run(UPDATE_INTERVAL, other.serversInB, List.of());
        }
        byte[] second = other.halls.nextMessage(other.now);
        assertThat(second.length).isLessThanOrEqualTo(256);
        assertThat(s.halls.receive(s.now, 1, second)).isTrue();
        double part = s.halls.spillLimit(s.now, 1);
        assertThat(s.halls.receive(s.now, 1, first)).isTrue();
        assertThat(s.halls.spillLimit(s.now, 1)).isEqualTo(part);
        for (int cut = 1; cut < second.length; cut++) {
            assertThat(s.halls.receive(s.now, 1, java.util.Arrays.copyOf(second, cut)))
                    .isTrue();
        }
        assertThat(s.halls.receive(s.now, 1, new byte[] {1, 2, 3})).isFalse();
        assertThat(HallMessageCodec.decode(new byte[] {3, 0, 0, 0, 0, 0, 1, 9, 0, 0, 0, 0, 0, 0}, 3))
                .isNull();
    }
}
