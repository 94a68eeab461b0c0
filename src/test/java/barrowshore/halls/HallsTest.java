package barrowshore.halls;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests hall states, prices and limits case by case, from evidence and times that the test passes in. */
class HallsTest {
    private static final long MILLISECOND = 1_000, SECOND = 1_000_000, UPDATE_INTERVAL = 80 * MILLISECOND;
    private static final List<String> HALL_NAMES = List.of("a", "b");

    /** One scheduler, by default of hall a, that knows the servers a0, a1, ... of hall a and b0, b1, ... of hall b. */
    private static final class Fixture {
        final Halls halls;
        final List<HallServer> serversInA = new ArrayList<>(), serversInB = new ArrayList<>();
        final List<String> logLines = new ArrayList<>();
        long now = 100 * SECOND;

        Fixture(int countInA, int countInB, int schedulers) {
            this(countInA, countInB, schedulers, HallRules.defaults(HALL_NAMES, 0), 0);
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

        /** Updates the states for so long, with a sign of life or a fault of each given server before every update. */
        void run(long micros, List<HallServer> answering, List<HallServer> failing) {
            for (long until = now + micros; now < until; now += UPDATE_INTERVAL) {
                answering.forEach(server -> halls.recordSignOfLife(now, server));
                failing.forEach(server -> halls.recordFault(now, server, HallServer.Fault.UNREACHABLE));
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
                    .filter(server ->
                            prices[server.hall] >= 0 ? prices[server.hall] != HallPolicy.CLOSED : halls.mayUse(server))
                    .toList();
        }

        /** Sends a job to the server and ends it with a result after so long. */
        void serve(HallServer server, long micros) {
            long sentAt = now;
            halls.recordSent(now, server, 1, 0);
            run(micros, List.of(), List.of());
            halls.recordEnd(now, server, sentAt, 1, true);
        }

        /** Delivers the other scheduler's next message. */
        void receiveFrom(Halls other, int otherIndex) {
            halls.receive(now, otherIndex, other.nextMessage(now));
        }
    }

    @Test
    void aHallWithoutAnswersGoesDarkAndGetsOneTrialAtATime() {
        Fixture fixture = new Fixture(4, 4, 1);
        fixture.run(SECOND, fixture.serversInB, fixture.serversInA);
        assertThat(fixture.state(0)).isEqualTo(HallState.DARK);
        assertThat(fixture.state(1)).isEqualTo(HallState.SERVING);
        fixture.run(2 * SECOND, fixture.serversInB, List.of());
        List<HallServer> usable = fixture.usable(fixture.serversInA, 1, 1, true);
        assertThat(usable).isNotEmpty(); // one trial is due
        fixture.halls.recordSent(fixture.now, usable.get(0), 1, 0);
        assertThat(fixture.usable(fixture.serversInA, 1, 1, true)).isEmpty(); // and only one
        assertThat(fixture.usable(fixture.serversInB, 1, 1, true)).hasSize(4);
    }

    @Test
    void theFirstTrialsAreRepeatableJobs() {
        Fixture fixture = new Fixture(4, 4, 1);
        fixture.run(SECOND, fixture.serversInB, fixture.serversInA);
        fixture.run(2 * SECOND, fixture.serversInB, List.of());
        assertThat(fixture.usable(fixture.serversInA, 1, 1, false).size())
                .isLessThanOrEqualTo(
                        fixture.usable(fixture.serversInA, 1, 1, true).size());
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
            Fixture fixture = new Fixture(size, 4, 1);
            fixture.run(20 * SECOND, fixture.serversInA.subList(2, size), fixture.serversInA.subList(0, 2));
            assertThat(fixture.logLines).isEmpty();
        }
    }

    @Test
    void losingHalfOfAHallDoesNotChangeItsState() {
        Fixture fixture = new Fixture(6, 4, 1);
        fixture.run(60 * SECOND, fixture.serversInA.subList(3, 6), fixture.serversInA.subList(0, 3));
        assertThat(fixture.state(0)).isEqualTo(HallState.SERVING);
    }

    @Test
    void resetsAloneNeverMakeAHallDark() {
        Fixture fixture = new Fixture(4, 4, 1);
        for (int k = 0; k < 20; k++) {
            fixture.serversInA.forEach(
                    server -> fixture.halls.recordFault(fixture.now, server, HallServer.Fault.RESET));
            fixture.run(UPDATE_INTERVAL, fixture.serversInB, List.of());
        }
        assertThat(fixture.state(0)).isEqualTo(HallState.DOUBTED);
        fixture.run(4 * SECOND, fixture.serversInB, List.of());
        assertThat(fixture.state(0)).isEqualTo(HallState.SERVING);
    }

    @Test
    void aSingleServerHallGoesDarkOnlyAfterASecondFault() {
        Fixture fixture = new Fixture(1, 4, 1);
        fixture.halls.recordFault(fixture.now, fixture.serversInA.get(0), HallServer.Fault.UNREACHABLE);
        fixture.run(3 * SECOND, fixture.serversInB, List.of());
        assertThat(fixture.state(0)).isEqualTo(HallState.SERVING);
        fixture.run(2 * SECOND, fixture.serversInB, fixture.serversInA);
        assertThat(fixture.state(0)).isEqualTo(HallState.DARK);
    }

    @Test
    void aPlannedDrainCausesNeitherDoubtNorHoldOff() {
        Fixture fixture = new Fixture(3, 4, 1);
        for (int round = 0; round < 3; round++) {
            fixture.serversInA.forEach(server -> fixture.halls.updateListing(fixture.now, server, 0, false, true, 0));
            fixture.run(2 * SECOND, fixture.serversInB, List.of());
            fixture.serversInA.forEach(server -> fixture.halls.updateListing(fixture.now, server, 0, false, false, 0));
            fixture.run(8 * SECOND, fixture.serversInB, List.of());
            assertThat(fixture.state(0)).isEqualTo(HallState.DARK);
            long started = fixture.now;
            fixture.serversInA.forEach(
                    server -> fixture.halls.updateListing(fixture.now, server, 0, true, false, started));
            fixture.run(UPDATE_INTERVAL, fixture.serversInB, List.of());
            assertThat(fixture.state(0)).isEqualTo(HallState.RETURNING);
            fixture.run(SECOND, fixture.serversInB, List.of());
            for (int k = 0; k < 30; k++) {
                fixture.serversInA.stream()
                        .filter(server ->
                                fixture.usable(fixture.serversInA, 1, 1, true).contains(server))
                        .forEach(server -> fixture.serve(server, 100 * MILLISECOND));
            }
            fixture.run(2 * SECOND, fixture.serversInA, List.of());
            assertThat(fixture.state(0)).isEqualTo(HallState.SERVING);
        }
        assertThat(fixture.logLines).noneMatch(line -> line.contains("doubted") || line.contains("held"));
    }

    @Test
    void aHallBrieflyMissingFromTheServerListServesAtOnceWhenListedAgain() {
        Fixture fixture = new Fixture(4, 4, 1);
        fixture.serversInA.forEach(server -> fixture.halls.updateListing(fixture.now, server, 0, false, false, 0));
        fixture.run(SECOND, fixture.serversInA, List.of());
        assertThat(fixture.state(0)).isEqualTo(HallState.DARK);
        fixture.serversInA.forEach(server -> fixture.halls.updateListing(fixture.now, server, 0, true, false, 0));
        fixture.run(UPDATE_INTERVAL, fixture.serversInA, List.of());
        assertThat(fixture.state(0)).isEqualTo(HallState.SERVING);
    }

    @Test
    void aReturningHallProvesItselfServerByServer() {
        Fixture fixture = new Fixture(4, 4, 1);
        fixture.run(SECOND, fixture.serversInB, fixture.serversInA);
        fixture.halls.recordProbe(fixture.now, fixture.serversInA.get(0), true);
        fixture.run(UPDATE_INTERVAL, fixture.serversInB, List.of());
        assertThat(fixture.state(0)).isEqualTo(HallState.RETURNING);
        fixture.run(SECOND, fixture.serversInB, List.of());
        HallServer first = fixture.usable(fixture.serversInA, 1, 1, true).get(0);
        fixture.halls.recordSent(fixture.now, first, 1, 0);
        assertThat(fixture.usable(fixture.serversInA, 1, 1, true)).isEmpty(); // one trial, not one for each server
        fixture.halls.recordEnd(fixture.now, first, fixture.now, 1, true);
        assertThat(fixture.usable(fixture.serversInA, 1, 1, true)).contains(first);
        // The slots that it may hold grow with each job that it serves.
        int previousLimit = 0;
        for (int round = 0; round < 6; round++) {
            int accepted = 0;
            while (accepted < 100 && fixture.usable(List.of(first), 1, 1, true).size() == 1) {
                fixture.halls.recordSent(fixture.now, first, 1, 0);
                accepted++;
            }
            assertThat(accepted).isGreaterThan(previousLimit);
            previousLimit = accepted;
            for (int k = 0; k < accepted; k++) {
                fixture.halls.recordEnd(fixture.now, first, fixture.now, 1, k == 0);
            }
        }
    }

    @Test
    void resultsOfEarlierJobsAreASignOfLifeButProveNothing() {
        Fixture fixture = new Fixture(4, 4, 1);
        long sentAt = fixture.now;
        fixture.serversInA.forEach(server -> fixture.halls.recordSent(fixture.now, server, 1, 0));
        fixture.run(SECOND, fixture.serversInB, fixture.serversInA);
        assertThat(fixture.state(0)).isEqualTo(HallState.DARK);
        fixture.halls.recordEnd(fixture.now, fixture.serversInA.get(0), sentAt, 1, true);
        fixture.run(UPDATE_INTERVAL, fixture.serversInB, List.of());
        assertThat(fixture.state(0)).isEqualTo(HallState.RETURNING);
        // The other results come while it returns.
        fixture.serversInA
                .subList(1, 4)
                .forEach(server -> fixture.halls.recordEnd(fixture.now, server, sentAt, 1, true));
        fixture.run(SECOND, fixture.serversInB, List.of());
        HallServer first = fixture.usable(fixture.serversInA, 1, 1, true).get(0);
        fixture.halls.recordSent(fixture.now, first, 1, 0);
        assertThat(fixture.usable(fixture.serversInA, 1, 1, true)).isEmpty();
    }

    @Test
    void aHalfWorkingHallKeepsReturningAndUsesOnlyProvenServers() {
        Fixture fixture = new Fixture(4, 4, 1);
        fixture.run(SECOND, fixture.serversInB, fixture.serversInA);
        List<HallServer> answering = fixture.serversInA.subList(0, 2), failing = fixture.serversInA.subList(2, 4);
        fixture.run(UPDATE_INTERVAL, answering, List.of());
        for (int k = 0; k < 200; k++) {
            for (HallServer server : fixture.usable(fixture.serversInA, 1, 1, true)) {
                fixture.halls.recordSent(fixture.now, server, 1, 0);
                fixture.halls.recordEnd(fixture.now, server, fixture.now, 1, answering.contains(server));
            }
            fixture.run(UPDATE_INTERVAL, answering, failing);
        }
        assertThat(fixture.state(0)).isEqualTo(HallState.RETURNING);
        assertThat(fixture.usable(answering, 1, 1, true)).hasSize(2);
        assertThat(fixture.usable(failing, 1, 1, false)).isEmpty();
    }

    @Test
    void aHallThatFlapsIsHeldOffForLongerEachTime() {
        Fixture fixture = new Fixture(4, 4, 1);
        List<Long> holdOffs = new ArrayList<>();
        fixture.run(SECOND, fixture.serversInB, fixture.serversInA);
        for (int flap = 0; flap < 3; flap++) {
            fixture.run(UPDATE_INTERVAL, fixture.serversInA, List.of());
            for (int k = 0; k < 40 && fixture.state(0) == HallState.RETURNING; k++) {
                for (HallServer server : fixture.usable(fixture.serversInA, 1, 1, true)) {
                    fixture.halls.recordSent(fixture.now, server, 1, 0);
                    fixture.halls.recordEnd(fixture.now, server, fixture.now, 1, true);
                }
                fixture.run(UPDATE_INTERVAL, fixture.serversInA, List.of());
            }
            for (int k = 0; k < 50 && fixture.state(0) != HallState.HELD; k++) {
                fixture.run(UPDATE_INTERVAL, fixture.serversInB, fixture.serversInA);
            }
            assertThat(fixture.state(0)).isEqualTo(HallState.HELD);
            long heldSince = fixture.now;
            assertThat(fixture.usable(fixture.serversInA, 1, 1, true)).isEmpty();
            while (fixture.state(0) == HallState.HELD && fixture.now - heldSince < 60 * SECOND) {
                fixture.run(UPDATE_INTERVAL, fixture.serversInA, List.of()); // it answers all the time
            }
            holdOffs.add(fixture.now - heldSince);
        }
        assertThat(holdOffs.get(0)).isBetween(3 * SECOND, 7 * SECOND);
        assertThat(holdOffs.get(1)).isBetween(7 * SECOND, 13 * SECOND);
        assertThat(holdOffs.get(2)).isBetween(14 * SECOND, 26 * SECOND);
    }

    @Test
    void aHallCutOffOnlyFromThisSchedulerIsLoggedAsCutOff() {
        Fixture fixture = new Fixture(4, 4, 2), other = new Fixture(4, 4, 2, HallRules.defaults(HALL_NAMES, 0), 1);
        for (int k = 0; k < 20; k++) {
            other.now = fixture.now;
            other.run(UPDATE_INTERVAL, other.serversInA, List.of());
            fixture.receiveFrom(other.halls, 1);
            fixture.run(UPDATE_INTERVAL, fixture.serversInB, fixture.serversInA);
        }
        assertThat(fixture.state(0)).isEqualTo(HallState.DARK);
        assertThat(fixture.logLines).anyMatch(line -> line.contains("cut-off"));
        assertThat(other.state(0)).isEqualTo(HallState.SERVING);
        // Its report must not keep other schedulers' work out of a hall that serves.
        other.receiveFrom(fixture.halls, 0);
        Fixture far = new Fixture(4, 4, 3, HallRules.defaults(HALL_NAMES, 1), 2);
        far.now = fixture.now;
        far.run(UPDATE_INTERVAL, far.serversInA, List.of());
        far.receiveFrom(fixture.halls, 0);
        assertThat(far.usable(far.serversInA, 1, 1, true)).hasSize(4);
    }

    @Test
    void aFreshSchedulerBelievesItsPeers() {
        Fixture other = new Fixture(4, 4, 2, HallRules.defaults(HALL_NAMES, 0), 1);
        other.run(SECOND, other.serversInB, other.serversInA);
        Fixture fixture = new Fixture(4, 4, 2, HallRules.defaults(HALL_NAMES, 1), 0);
        fixture.serversInA.forEach(server -> server.lastSignAt = Long.MIN_VALUE / 2); // no sign of life yet
        fixture.now = other.now;
        fixture.run(SECOND, fixture.serversInB, List.of()); // after its first gap it ignores all evidence for a while
        fixture.receiveFrom(other.halls, 1);
        fixture.run(UPDATE_INTERVAL, fixture.serversInB, List.of());
        assertThat(fixture.state(0)).isEqualTo(HallState.DARK);
        // It does not report this itself: a peer's own report must not come back to it as a second opinion.
        HallMessageCodec.Message message = HallMessageCodec.decode(fixture.halls.nextMessage(fixture.now), 3);
        assertThat(message.halls().get(0).state()).isEqualTo(HallState.SERVING);
    }

    @Test
    void aTroubledHallTakesNoForeignWork() {
        Fixture home = new Fixture(4, 4, 2, HallRules.defaults(HALL_NAMES, 1), 1);
        Fixture fixture = new Fixture(4, 4, 2);
        assertThat(fixture.usable(fixture.serversInB, 1, 1, true)).hasSize(4);
        home.run(2 * SECOND, home.serversInA, home.serversInB);
        fixture.now = home.now;
        fixture.run(UPDATE_INTERVAL, fixture.serversInB, List.of());
        fixture.receiveFrom(home.halls, 1);
        assertThat(fixture.usable(fixture.serversInB, 1, 1, true)).isEmpty();
    }

    @Test
    void foreignWorkStaysWithinTheSpillLimitAndHighWorthGetsTheLastOfIt() {
        Fixture fixture = new Fixture(4, 4, 2); // 20 slots in b, two schedulers: 10 each
        double sentJobs = 0;
        while (sentJobs < 100
                && !fixture.usable(fixture.serversInB, 1, 0.2, true).isEmpty()) {
            fixture.halls.recordSent(fixture.now, fixture.serversInB.get(0), 1, 0);
            sentJobs++;
        }
        assertThat(sentJobs).isEqualTo(7); // 0.7 + 0.3 * 0.2 = 0.76 of 10
        while (sentJobs < 100 && !fixture.usable(fixture.serversInB, 1, 1, true).isEmpty()) {
            fixture.halls.recordSent(fixture.now, fixture.serversInB.get(0), 1, 0);
            sentJobs++;
        }
        assertThat(sentJobs).isEqualTo(10);
        assertThat(fixture.usable(fixture.serversInA, 1, 1, true)).hasSize(4); // the home hall has no such limit
    }

    @Test
    void aHallCrowdedByItsOwnRequestsAcceptsLessForeignWork() {
        Fixture home = new Fixture(4, 4, 2, HallRules.defaults(HALL_NAMES, 1), 1);
        Fixture fixture = new Fixture(4, 4, 2);
        for (int k = 0; k < 100; k++) {
            home.halls.recordRefusal(home.now, 1);
            home.run(UPDATE_INTERVAL, home.serversInB, List.of());
        }
        fixture.now = home.now;
        fixture.run(UPDATE_INTERVAL, fixture.serversInB, List.of());
        double limitBefore = fixture.halls.spillLimit(fixture.now, 1);
        fixture.receiveFrom(home.halls, 1);
        assertThat(fixture.halls.spillLimit(fixture.now, 1)).isLessThan(limitBefore / 10);
        home.run(10 * SECOND, home.serversInB, List.of());
        fixture.now = home.now;
        fixture.receiveFrom(home.halls, 1);
        // The home scheduler is known by now not to share the spill limit.
        assertThat(fixture.halls.spillLimit(fixture.now, 1)).isGreaterThan(limitBefore);
    }

    @Test
    void retriesAfterAHallFailureAreBoundedAndReservedForHighWorth() {
        Fixture fixture = new Fixture(4, 4, 1);
        fixture.run(SECOND, fixture.serversInB, fixture.serversInA);
        int lowWorthRetries = 0, highWorthRetries = 0;
        while (lowWorthRetries < 100 && fixture.halls.mayRetry(fixture.now, fixture.serversInA.get(0), 0.1)) {
            lowWorthRetries++;
        }
        while (highWorthRetries < 100 && fixture.halls.mayRetry(fixture.now, fixture.serversInA.get(0), 1)) {
            highWorthRetries++;
        }
        assertThat(lowWorthRetries).isBetween(1, 5);
        assertThat(lowWorthRetries + highWorthRetries).isEqualTo(10);
        // Retries in a serving hall are not limited here.
        assertThat(fixture.halls.mayRetry(fixture.now, fixture.serversInB.get(0), 0))
                .isTrue();
    }

    @Test
    void strictTiersOpenAFurtherHallOnlyInALaterRound() {
        HallRules defaults = HallRules.defaults(HALL_NAMES, 0);
        HallRules strict = new HallRules(
                HALL_NAMES,
                0,
                List.of(0, 1),
                true,
                0.5,
                0.6,
                SECOND,
                SECOND / 2,
                SECOND,
                SECOND,
                SECOND,
                SECOND,
                0.1,
                10);
        Fixture fixture = new Fixture(4, 4, 1, strict, 0);
        assertThat(fixture.halls.tierRounds()).isEqualTo(2);
        assertThat(fixture.usable(fixture.serversInB, 1, 1, true)).isEmpty();
        assertThat(fixture.usable(fixture.serversInB, 1, 1, true, 1)).hasSize(4);
        assertThat(new Fixture(4, 4, 1, defaults, 0).halls.tierRounds()).isEqualTo(1);
    }

    @Test
    void aPauseOfThisProcessIsNoEvidenceAgainstAnyHall() {
        Fixture fixture = new Fixture(4, 4, 1);
        fixture.run(SECOND, fixture.serversInA, List.of());
        fixture.now += 5 * SECOND;
        fixture.serversInA.forEach(server -> fixture.halls.recordFault(fixture.now, server, HallServer.Fault.SILENT));
        fixture.serversInB.forEach(server -> fixture.halls.recordFault(fixture.now, server, HallServer.Fault.SILENT));
        fixture.run(UPDATE_INTERVAL, List.of(), List.of());
        fixture.run(2 * SECOND, allServers(fixture), List.of());
        assertThat(fixture.logLines).isEmpty();
    }

    private static List<HallServer> allServers(Fixture fixture) {
        List<HallServer> all = new ArrayList<>(fixture.serversInA);
        all.addAll(fixture.serversInB);
        return all;
    }

    @Test
    void inPanicEachServerGetsOneJob() {
        Fixture fixture = new Fixture(3, 3, 1);
        fixture.run(3 * SECOND, List.of(), allServers(fixture));
        assertThat(fixture.halls.states()).containsOnly(HallState.DARK);
        List<HallServer> usable = fixture.usable(allServers(fixture), 1, 1, false);
        assertThat(usable).hasSize(6);
        usable.forEach(server -> fixture.halls.recordSent(fixture.now, server, 1, 0));
        assertThat(fixture.usable(allServers(fixture), 1, 1, false)).isEmpty();
    }

    @Test
    void inPanicAServerProvenEarlierGetsOneJobToo() {
        Fixture fixture = new Fixture(3, 3, 1);
        fixture.run(SECOND, fixture.serversInB, fixture.serversInA);
        fixture.run(SECOND, allServers(fixture), List.of());
        fixture.serve(fixture.usable(fixture.serversInA, 1, 1, true).get(0), UPDATE_INTERVAL);
        fixture.run(3 * SECOND, List.of(), allServers(fixture));
        assertThat(fixture.halls.states()).doesNotContain(HallState.SERVING, HallState.RETURNING, HallState.DOUBTED);
        List<HallServer> usable = fixture.usable(allServers(fixture), 1, 1, false);
        usable.forEach(server -> fixture.halls.recordSent(fixture.now, server, 1, 0));
        assertThat(fixture.usable(allServers(fixture), 1, 1, false)).isEmpty();
    }

    @Test
    void aHallOfNewServersReturnsWithOneJobAtATime() {
        Fixture fixture = new Fixture(4, 4, 1);
        fixture.run(SECOND, fixture.serversInB, fixture.serversInA);
        fixture.serversInA.forEach(server -> fixture.halls.updateListing(fixture.now, server, 0, false, false, 0));
        fixture.run(SECOND, fixture.serversInB, List.of());
        List<HallServer> fresh = new ArrayList<>();
        for (int k = 0; k < 4; k++) {
            fresh.add(fixture.addServer("new" + k, 0, fixture.now));
        }
        fixture.run(UPDATE_INTERVAL, fixture.serversInB, List.of());
        assertThat(fixture.state(0)).isEqualTo(HallState.RETURNING);
        fixture.run(SECOND, fixture.serversInB, List.of());
        fixture.halls.recordSent(fixture.now, fixture.usable(fresh, 1, 1, true).get(0), 1, 0);
        assertThat(fixture.usable(fresh, 1, 1, true)).isEmpty();
    }

    @Test
    void datagramsAreCheckedAndOldOnesDropped() {
        Fixture fixture = new Fixture(4, 4, 2), other = new Fixture(4, 4, 2, HallRules.defaults(HALL_NAMES, 1), 1);
        byte[] olderMessage = other.halls.nextMessage(other.now);
        for (int k = 0; k < 20; k++) {
            other.halls.recordRefusal(other.now, 1);
            other.run(UPDATE_INTERVAL, other.serversInB, List.of());
        }
        byte[] newerMessage = other.halls.nextMessage(other.now);
        assertThat(newerMessage.length).isLessThanOrEqualTo(256);
        assertThat(fixture.halls.receive(fixture.now, 1, newerMessage)).isTrue();
        double limit = fixture.halls.spillLimit(fixture.now, 1);
        assertThat(fixture.halls.receive(fixture.now, 1, olderMessage)).isTrue();
        assertThat(fixture.halls.spillLimit(fixture.now, 1)).isEqualTo(limit);
        for (int length = 1; length < newerMessage.length; length++) {
            assertThat(fixture.halls.receive(fixture.now, 1, java.util.Arrays.copyOf(newerMessage, length)))
                    .isTrue();
        }
        assertThat(fixture.halls.receive(fixture.now, 1, new byte[] {1, 2, 3})).isFalse();
        assertThat(HallMessageCodec.decode(new byte[] {3, 0, 0, 0, 0, 0, 1, 9, 0, 0, 0, 0, 0, 0}, 3))
                .isNull();
    }
}
