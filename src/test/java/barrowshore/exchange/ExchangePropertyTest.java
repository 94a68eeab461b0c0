package barrowshore.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Schedulers that tell one another over a way that loses three datagrams of ten, doubles and reorders them: whatever was
 * lost, each figure is right within the stated time after it last changed.
 */
class ExchangePropertyTest {
    private static final long SECOND = 1_000_000;
    private static final long HEARTBEAT = SECOND / 2;
    private static final long SILENCE = 3 * SECOND;
    /** How long a job runs: the target's. */
    private static final double JOB = 11.5 * SECOND;

    private static final long STEP = SECOND / 12;
    /**
     * Within how many rounds over the whole state each figure is right with all but certainty: 0.3 to the power of 14 is
     * under one in ten million.
     */
    private static final int ROUNDS = 14;

    private static final int[] NAMES =
            IntStream.range(0, 800).map(w -> SlotSnapshot.nameOf("worker-" + w)).toArray();

    private record Arrival(long at, int to, int from, byte[] message) {}

    /** One scheduler: what it holds, what it tells, and what it has heard. */
    private static final class Side {
        final Map<Integer, Integer> holds = new TreeMap<>();
        final Map<Integer, Integer> sums = new HashMap<>();
        SnapshotSender sender;
        PeerSlots heard;
        long pausedUntil;

        Side(int count, int me, long now, int workers) {
            NavigableMap<Integer, Integer> workersByName = new TreeMap<>();
            for (int w = 0; w < workers; w++) {
                workersByName.put(name(w), w);
            }
            sender = new SnapshotSender(count, HEARTBEAT);
            sender.start(now);
            heard = new PeerSlots(count, me, SILENCE, (from, to, difference) -> {
                Set<Integer> named = workersByName.subMap(from, to).keySet();
                named.forEach(name -> sums.merge(name, difference, Integer::sum));
                return !named.isEmpty();
            });
        }

        void hold(int name, int slots) {
            sender.addSlots(name, slots - holds.getOrDefault(name, 0));
            holds.put(name, slots);
        }
    }

    private static int name(int worker) {
        return NAMES[worker];
    }

    private static final class Fleet {
        final int count;
        final int workers;
        final double loss;
        final SplittableRandom random;
        final List<Side> sides = new ArrayList<>();
        final PriorityQueue<Arrival> underWay = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
        final Map<Integer, Long> lives = new HashMap<>();
        long now = 1_700_000_000L * SECOND;
        long bytes;

        Fleet(int count, int workers, double loss, long seed) {
            this.count = count;
            this.workers = workers;
            this.loss = loss;
            this.random = new SplittableRandom(seed);
            for (int k = 0; k < count; k++) {
                sides.add(new Side(count, k, now, workers));
            }
        }

        void restart(int k) {
            now += 2_000; // a process takes its time to come up
            sides.set(k, new Side(count, k, now, workers));
        }

        void change(int changes) {
            for (int c = 0; c < changes; c++) {
                Side side = sides.get(random.nextInt(count));
                side.hold(name(random.nextInt(workers)), random.nextInt(3) == 0 ? random.nextInt(9) : 0);
            }
        }

        /** One step of time: what is due goes out, and what is under way arrives. */
        void step() {
            now += STEP;
            for (int k = 0; k < count; k++) {
                Side side = sides.get(k);
                byte[] message = now < side.pausedUntil ? null : side.sender.nextDatagram(now, workers, JOB);
                for (int to = 0; message != null && to < count; to++) {
                    bytes += to == 0 ? message.length + SnapshotSender.HEADER_BYTES : 0;
                    send(k, to, message);
                }
                side.heard.expireSilentPeers(now);
            }
            while (!underWay.isEmpty() && underWay.peek().at <= now) {
                Arrival next = underWay.poll();
                if (now >= sides.get(next.to).pausedUntil) {
                    sides.get(next.to).heard.receive(now, next.from, next.message);
                }
            }
        }

        private void send(int from, int to, byte[] message) {
            if (to == from || random.nextDouble() < loss) {
                return;
            }
            underWay.add(new Arrival(now + random.nextInt(200_000), to, from, message));
            if (random.nextInt(5) == 0) {
                underWay.add(new Arrival(now + random.nextInt(400_000), to, from, message));
            }
        }

        void run(long micros) {
            for (long until = now + micros; now < until; ) {
                step();
            }
        }

        /** How long a round over the largest state takes at the budget. */
        long round() {
            int most = sides.stream().mapToInt(s -> s.sender.nameCount()).max().orElse(0);
            double rate =
                    Math.max(SnapshotSender.LEAST_BYTES_PER_SECOND, SnapshotSender.FLEET_BYTES_PER_SECOND / count);
            double bytesOfRound =
                    most * 5.0 * rate * SnapshotSender.PART_SECONDS / (rate * SnapshotSender.PART_SECONDS - 45);
            return Math.max(HEARTBEAT + STEP, (long) ((bytesOfRound / rate + SnapshotSender.PART_SECONDS) * SECOND));
        }

        /** What one scheduler believes in all is no more than the others but one hold, which told it last. */
        void assertRightSum(int at, int silent) {
            int believed = sides.get(at).sums.values().stream().mapToInt(s -> s).sum();
            int held = 0;
            for (int k = 0; k < count; k++) {
                held += k == at || k == silent
                        ? 0
                        : sides.get(k).holds.values().stream().mapToInt(s -> s).sum();
            }
            assertThat(believed).isLessThanOrEqualTo(held);
        }

        /** At each scheduler, for each worker: the sum of what all others hold that are not silent. */
        void assertAllRight() {
            for (int k = 0; k < count; k++) {
                for (int w = 0; w < workers; w++) {
                    int expected = 0;
                    for (int other = 0; other < count; other++) {
                        boolean counts = other != k && !sides.get(k).heard.isSilent(now, other);
                        expected += !counts ? 0 : sides.get(other).holds.getOrDefault(name(w), 0);
                    }
                    assertThat(sides.get(k).sums.getOrDefault(name(w), 0))
                            .as("worker %d at scheduler %d", w, k)
                            .isEqualTo(expected);
                }
            }
        }
    }

    @Property(tries = 40)
    void eachFigureIsRightWithinTheStatedTime(
            @ForAll long seed,
            @ForAll @IntRange(min = 2, max = 12) int schedulers,
            @ForAll @IntRange(min = 1, max = 400) int workers) {
        Fleet fleet = new Fleet(schedulers, workers, 0.3, seed);
        for (int k = 0; k < 24; k++) {
            fleet.change(schedulers * 5);
            fleet.step();
        }
        fleet.run(ROUNDS * fleet.round());
        fleet.assertAllRight();
    }

    @Property(tries = 20)
    void aRestartUnderTheSameNameLeavesNothingBehind(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 300) int workers) {
        Fleet fleet = new Fleet(5, workers, 0.3, seed);
        for (int k = 0; k < 24; k++) {
            fleet.change(40);
            fleet.step();
            if (k % 6 == 5) {
                fleet.restart(fleet.random.nextInt(5));
            }
        }
        fleet.run(ROUNDS * fleet.round());
        fleet.assertAllRight();
    }

    @Property(tries = 20)
    void aPeerPausedForTenSecondsIsForgottenAndThenRightAgain(@ForAll long seed) {
        Fleet fleet = new Fleet(5, 200, 0.3, seed);
        fleet.change(400);
        fleet.run(4 * SECOND);
        fleet.sides.get(2).pausedUntil = fleet.now + 10 * SECOND;
        fleet.run(5 * SECOND);
        fleet.assertRightSum(0, 2);
        assertThat(fleet.sides.get(0).heard.silentShare(fleet.now)).isGreaterThanOrEqualTo(0.25);
        fleet.change(200);
        fleet.run(6 * SECOND + ROUNDS * fleet.round());
        fleet.assertAllRight();
    }

    /** Ten schedulers before 770 workers, 3,000 slots held, and changes as fast as 260 tasks start and end a second. */
    @Property(tries = 3)
    void theBudgetHoldsWhateverChanges(@ForAll long seed) {
        Fleet fleet = new Fleet(10, 770, 0, seed);
        fleet.change(4000);
        fleet.run(5 * SECOND);
        fleet.bytes = 0;
        for (int k = 0; k < 240; k++) {
            fleet.change(44);
            fleet.step();
        }
        double seconds = 240.0 * STEP / SECOND;
        assertThat(fleet.bytes / seconds)
                .as("bytes a second in and out, heads counted")
                .isLessThan(4096);
    }
}
