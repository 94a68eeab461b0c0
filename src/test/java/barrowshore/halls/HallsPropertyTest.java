package barrowshore.halls;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Invariants of {@link Halls} and {@link SpillShare} under random evidence, with messages lost, late and reordered. */
class HallsPropertyTest {
    private static final long MILLISECOND = 1_000, SECOND = 1_000_000;
    private static final List<String> HALL_NAMES = List.of("a", "b", "c");

    /** A message that is delivered at a later time. */
    private record DelayedMessage(long arrivesAt, int from, int to, byte[] bytes) {}

    /** Schedulers spread over three halls of servers, all driven by one seeded source of randomness. */
    private static final class Simulation {
        final Random random;
        final List<Halls> schedulers = new ArrayList<>();
        final List<Integer> homes = new ArrayList<>();
        final List<List<HallServer>> serversByScheduler = new ArrayList<>();
        final List<List<long[]>> jobsOut = new ArrayList<>();
        final Deque<DelayedMessage> messagesOnTheWay = new ArrayDeque<>();
        final int serversPerHall;
        long now = 1000 * SECOND;

        Simulation(long seed, int schedulerCount, int serversPerHall, double spill) {
            random = new Random(seed);
            this.serversPerHall = serversPerHall;
            for (int s = 0; s < schedulerCount; s++) {
                int home = s % HALL_NAMES.size();
                HallRules defaults = HallRules.defaults(HALL_NAMES, home);
                HallRules rules = new HallRules(
                        HALL_NAMES,
                        home,
                        defaults.tiersByHall(),
                        false,
                        spill,
                        0.6,
                        SECOND,
                        SECOND / 2,
                        3 * SECOND,
                        5 * SECOND,
                        20 * SECOND,
                        30 * SECOND,
                        0.1,
                        10);
                Halls halls = new Halls(rules, schedulerCount, s, random::nextDouble);
                List<HallServer> knownServers = new ArrayList<>();
                for (int h = 0; h < HALL_NAMES.size(); h++) {
                    for (int k = 0; k < serversPerHall; k++) {
                        HallServer server = halls.serverFor("s" + h + "-" + k);
                        halls.updateListing(now, server, h, true, false, 0);
                        halls.updateCapacity(now, server, 5, 1, false);
                        halls.recordSignOfLife(now, server);
                        knownServers.add(server);
                    }
                }
                schedulers.add(halls);
                homes.add(home);
                serversByScheduler.add(knownServers);
                jobsOut.add(new ArrayList<>());
            }
        }

        /** Whether the scheduler may send a job to the server now. */
        boolean mayUse(int scheduler, HallServer server) {
            double price = schedulers.get(scheduler).priceHalls(now, 1, 1, true, 0)[server.hall];
            return price >= 0
                    ? price != HallPolicy.CLOSED
                    : schedulers.get(scheduler).mayUse(server);
        }

        /** Advances by 80 ms: delivers messages, records evidence, updates the states, probes and sends messages. */
        void step(boolean[] hallAnswers, double lossRate) {
            now += 80 * MILLISECOND;
            for (DelayedMessage message : List.copyOf(messagesOnTheWay)) {
                if (message.arrivesAt <= now) {
                    messagesOnTheWay.remove(message);
                    schedulers.get(message.to).receive(now, message.from, message.bytes);
                }
            }
            for (int s = 0; s < schedulers.size(); s++) {
                Halls halls = schedulers.get(s);
                for (int k = 0; k < serversByScheduler.get(s).size(); k++) {
                    if (random.nextDouble() < 0.3) {
                        if (hallAnswers[k / serversPerHall]) {
                            halls.recordSignOfLife(
                                    now, serversByScheduler.get(s).get(k));
                        } else {
                            halls.recordFault(now, serversByScheduler.get(s).get(k), HallServer.Fault.UNREACHABLE);
                        }
                    }
                }
                halls.updateStates(now, true);
                for (String id : halls.serversToProbe()) {
                    HallServer server = halls.serverFor(id);
                    halls.recordProbe(now, server, hallAnswers[server.hall]);
                }
                if (schedulers.size() > 1 && random.nextInt(6) == 0) {
                    byte[] bytes = halls.nextMessage(now);
                    assertThat(bytes.length).isLessThanOrEqualTo(256);
                    for (int to = 0; to < schedulers.size(); to++) {
                        if (to != s && random.nextDouble() >= lossRate) {
                            messagesOnTheWay.add(new DelayedMessage(
                                    now
                                            + random.nextInt((int) (SpillShare.PROMISE_BINDING_MICROS
                                                    - SpillShare.PROMISE_VALID_MICROS
                                                    - 200 * MILLISECOND)),
                                    s,
                                    to,
                                    bytes));
                        }
                    }
                }
            }
        }
    }

    /** The spill limits of all schedulers in one hall add up to no more than the configured share of its slots. */
    @Property(tries = 60, seed = "20261201")
    void theSumOfAllSpillLimitsStaysWithinTheRules(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 9) int schedulerCount) {
        Simulation simulation = new Simulation(seed, schedulerCount, 4, 0.6);
        boolean[] hallAnswers = {true, true, true};
        for (int k = 0; k < 400; k++) {
            if (simulation.random.nextInt(60) == 0) {
                hallAnswers[simulation.random.nextInt(3)] ^= true;
            }
            simulation.step(hallAnswers, 0.3);
            for (int s = 0; s < schedulerCount; s++) {
                // Only every second scheduler has jobs to spill, so that some lend and some borrow.
                Halls halls = simulation.schedulers.get(s);
                int h = (simulation.homes.get(s) + 1 + simulation.random.nextInt(2)) % 3;
                HallServer server = simulation.serversByScheduler.get(s).get(h * 4 + simulation.random.nextInt(4));
                if (s % 2 == 0 && simulation.mayUse(s, server)) {
                    halls.recordSent(simulation.now, server, 1, 0);
                    simulation.jobsOut.get(s).add(new long[] {
                        simulation.serversByScheduler.get(s).indexOf(server), simulation.now
                    });
                }
                if (!simulation.jobsOut.get(s).isEmpty() && simulation.random.nextInt(3) == 0) {
                    long[] oldestJob = simulation.jobsOut.get(s).remove(0);
                    halls.recordEnd(
                            simulation.now,
                            simulation.serversByScheduler.get(s).get((int) oldestJob[0]),
                            oldestJob[1],
                            1,
                            true);
                }
            }
            for (int h = 0; h < 3; h++) {
                double limitSum = 0;
                for (int s = 0; s < schedulerCount; s++) {
                    limitSum += simulation.homes.get(s) == h
                            ? 0
                            : simulation.schedulers.get(s).spillLimit(simulation.now, h);
                }
                assertThat(limitSum).as("hall %s at %s", h, simulation.now).isLessThanOrEqualTo(0.6 * 20 + 1e-6);
            }
        }
    }

    /** With needs that come and go, the limits in one hall stay within the total, and some schedulers do borrow. */
    @Property(tries = 100, seed = "20261201")
    void loansNeverLetTheSumOfLimitsExceedTheTotal(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 6) int schedulerCount) {
        Random random = new Random(seed);
        SpillShare[] shares = new SpillShare[schedulerCount];
        java.util.Arrays.setAll(shares, s -> new SpillShare(schedulerCount, s));
        double totalSlots = 12, evenPart = totalSlots / schedulerCount, mostBorrowed = 0;
        List<Runnable> deliveries = new ArrayList<>();
        List<Long> deliveryTimes = new ArrayList<>();
        boolean[] busy = new boolean[schedulerCount];
        for (long now = 1000 * SECOND; now < 1040 * SECOND; now += 20 * MILLISECOND) {
            for (int k = deliveries.size() - 1; k >= 0; k--) {
                if (deliveryTimes.get(k) <= now) {
                    deliveryTimes.remove(k);
                    deliveries.remove(k).run();
                }
            }
            double sum = 0;
            for (int s = 0; s < schedulerCount; s++) {
                SpillShare share = shares[s];
                busy[s] ^= random.nextInt(150) == 0;
                double limit = share.slotLimit(now, evenPart, schedulerCount);
                if (s == 0 || busy[s]) {
                    if (share.usedSlots() + 1 <= limit) {
                        share.addUsedSlots(now, 1);
                    } else {
                        share.askForMore(now, share.usedSlots() + 1);
                    }
                } else if (share.usedSlots() > 0 && random.nextInt(5) == 0) {
                    share.addUsedSlots(now, -1);
                }
                if (random.nextInt(20) == 0) {
                    int promise = share.nextPromise255ths(now, evenPart, random.nextInt(10) > 0), from = s;
                    double used = share.usedSlots();
                    boolean asks = share.asksForMore(now);
                    for (int to = 0; to < schedulerCount; to++) {
                        long at = now + random.nextInt((int) (850 * MILLISECOND));
                        SpillShare other = shares[to];
                        if (to != s && random.nextDouble() < 0.7) {
                            deliveryTimes.add(at);
                            deliveries.add(
                                    () -> other.recordPeerReport(at + 20 * MILLISECOND, from, promise, used, asks));
                        }
                    }
                }
                double limitAfter = share.slotLimit(now, evenPart, schedulerCount);
                sum += limitAfter;
                mostBorrowed = Math.max(mostBorrowed, limitAfter - evenPart);
            }
            assertThat(sum).as("at %s", now).isLessThanOrEqualTo(totalSlots + 1e-9);
        }
        assertThat(mostBorrowed).isGreaterThan(0);
    }

    /** Once a hall answers for good, its schedulers use it again, however it flapped before. */
    @Property(tries = 60, seed = "20261201")
    void aHallThatAnswersIsUsedAgainHoweverItFlapped(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 5) int serversPerHall) {
        Simulation simulation = new Simulation(seed, 3, serversPerHall, 0.6);
        boolean[] hallAnswers = {true, true, true};
        for (int k = 0; k < 500; k++) {
            if (simulation.random.nextInt(25) == 0) {
                hallAnswers[simulation.random.nextInt(3)] ^= true;
            }
            simulation.step(hallAnswers, 0.2);
        }
        java.util.Arrays.fill(hallAnswers, true);
        for (int k = 0; k < 1200; k++) {
            simulation.step(hallAnswers, 0.2);
            for (int s = 0; s < 3; s++) {
                Halls halls = simulation.schedulers.get(s);
                int home = simulation.homes.get(s);
                for (int n = 0; n < serversPerHall; n++) {
                    HallServer server = simulation.serversByScheduler.get(s).get(home * serversPerHall + n);
                    if (simulation.mayUse(s, server)) {
                        halls.recordSent(simulation.now, server, 1, 0);
                        halls.recordEnd(simulation.now, server, simulation.now, 1, true);
                    }
                }
            }
        }
        for (int s = 0; s < 3; s++) {
            assertThat(simulation.schedulers.get(s).states().get(simulation.homes.get(s)))
                    .isEqualTo(HallState.SERVING);
        }
    }

    /** While a hall returns, an unproven server never holds more than one job of a scheduler. */
    @Property(tries = 60, seed = "20261201")
    void anUnprovenServerHoldsOneJob(@ForAll long seed) {
        Simulation simulation = new Simulation(seed, 1, 6, 0.6);
        boolean[] hallAnswers = {false, true, true};
        for (int k = 0; k < 60; k++) {
            simulation.step(hallAnswers, 0);
        }
        hallAnswers[0] = true;
        Halls halls = simulation.schedulers.get(0);
        int[] firstJobs = new int[18];
        boolean[] proven = new boolean[18];
        for (int k = 0; k < 200; k++) {
            simulation.step(hallAnswers, 0);
            if (halls.states().get(0) != HallState.RETURNING) {
                continue;
            }
            int firstJobsOut = 0, provenCount = 0;
            for (int n = 0; n < 6; n++) {
                HallServer server = simulation.serversByScheduler.get(0).get(n);
                if (simulation.mayUse(0, server)) {
                    halls.recordSent(simulation.now, server, 1, 0);
                    firstJobs[n] += proven[n] ? 0 : 1;
                }
                firstJobsOut += !proven[n] && firstJobs[n] > 0 ? 1 : 0;
                provenCount += proven[n] ? 1 : 0;
            }
            assertThat(java.util.Arrays.stream(firstJobs).max().orElse(0)).isLessThanOrEqualTo(1);
            assertThat(firstJobsOut).isLessThanOrEqualTo(Math.max(1, provenCount));
            for (int n = 0; n < 6; n++) {
                if (firstJobs[n] == 1 && !proven[n] && simulation.random.nextInt(4) == 0) {
                    halls.recordEnd(
                            simulation.now, simulation.serversByScheduler.get(0).get(n), simulation.now, 1, true);
                    proven[n] = true;
                }
            }
        }
    }

    /** Any datagram is received without an exception, and claimed exactly if its first byte is the halls' type. */
    @Property(tries = 500, seed = "20261201")
    void anyBytesAreHandledWithoutAnException(@ForAll byte[] bytes) {
        Halls halls = new Halls(HallRules.defaults(HALL_NAMES, 0), 3, 0, new Random(1)::nextDouble);
        assertThat(halls.receive(SECOND, 1, bytes)).isEqualTo(bytes.length > 0 && bytes[0] == HallPolicy.MESSAGE_TYPE);
        if (bytes.length > 0) {
            bytes[0] = HallPolicy.MESSAGE_TYPE;
            assertThat(halls.receive(SECOND, 2, bytes)).isTrue();
        }
    }
}
