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
 * Schedulers exchange their slots over a network that loses three datagrams in ten, duplicates and reorders them. Every
 * sum must be correct within the stated time after its last change.
 */
class ExchangePropertyTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long HEARTBEAT_MICROS = SECOND_MICROS / 2;
    private static final long SILENCE_MICROS = 3 * SECOND_MICROS;
    /** A job's run time in the target deployment. */
    private static final double JOB_MICROS = 11.5 * SECOND_MICROS;

    private static final long STEP_MICROS = SECOND_MICROS / 12;
    /**
     * Sending the whole state this many times makes every sum correct almost certainly: the chance that an entry is lost
     * each time, 0.3 to the power of 14, is below one in ten million.
     */
    private static final int ROUNDS_UNTIL_CORRECT = 14;

    private static final int[] WORKER_NAMES =
            IntStream.range(0, 800).map(w -> SlotSnapshot.hashOf("worker-" + w)).toArray();

    private record DatagramInFlight(long arrivalMicros, int to, int from, byte[] message) {}

    /** One scheduler: its own slots, its sender, and the slots received from its peers. */
    private static final class Scheduler {
        final Map<Integer, Integer> slotsByName = new TreeMap<>();
        final Map<Integer, Integer> peerSlotsByName = new HashMap<>();
        SnapshotSender sender;
        PeerSlots peerSlots;
        long pausedUntilMicros;

        Scheduler(int schedulerCount, int ownNumber, long now, int workers) {
            NavigableMap<Integer, Integer> workersByName = new TreeMap<>();
            for (int w = 0; w < workers; w++) {
                workersByName.put(workerName(w), w);
            }
            sender = new SnapshotSender(schedulerCount, HEARTBEAT_MICROS);
            sender.start(now);
            peerSlots = new PeerSlots(schedulerCount, ownNumber, SILENCE_MICROS, (from, to, difference) -> {
                Set<Integer> matching = workersByName.subMap(from, to).keySet();
                matching.forEach(name -> peerSlotsByName.merge(name, difference, Integer::sum));
                return !matching.isEmpty();
            });
        }

        void setSlots(int name, int slots) {
            sender.addSlots(name, slots - slotsByName.getOrDefault(name, 0));
            slotsByName.put(name, slots);
        }
    }

    private static int workerName(int worker) {
        return WORKER_NAMES[worker];
    }

    private static final class Fleet {
        final int schedulerCount;
        final int workerCount;
        final double lossShare;
        final SplittableRandom random;
        final List<Scheduler> schedulers = new ArrayList<>();
        final PriorityQueue<DatagramInFlight> inFlight =
                new PriorityQueue<>((a, b) -> Long.compare(a.arrivalMicros, b.arrivalMicros));
        final Map<Integer, Long> lives = new HashMap<>();
        long nowMicros = 1_700_000_000L * SECOND_MICROS;
        long schedulerTrafficBytes;

        Fleet(int schedulerCount, int workerCount, double lossShare, long seed) {
            this.schedulerCount = schedulerCount;
            this.workerCount = workerCount;
            this.lossShare = lossShare;
            this.random = new SplittableRandom(seed);
            for (int k = 0; k < schedulerCount; k++) {
                schedulers.add(new Scheduler(schedulerCount, k, nowMicros, workerCount));
            }
        }

        void restart(int number) {
            nowMicros += 2_000; // a process takes time to start, so its incarnation, in milliseconds, is higher
            schedulers.set(number, new Scheduler(schedulerCount, number, nowMicros, workerCount));
        }

        void changeSlots(int changes) {
            for (int c = 0; c < changes; c++) {
                Scheduler scheduler = schedulers.get(random.nextInt(schedulerCount));
                scheduler.setSlots(
                        workerName(random.nextInt(workerCount)), random.nextInt(3) == 0 ? random.nextInt(9) : 0);
            }
        }

        /** Advances time by one step: sends what is due, then delivers what has arrived. */
        void step() {
            nowMicros += STEP_MICROS;
            for (int k = 0; k < schedulerCount; k++) {
                Scheduler scheduler = schedulers.get(k);
                byte[] message = nowMicros < scheduler.pausedUntilMicros
                        ? null
                        : scheduler.sender.nextDatagram(nowMicros, workerCount, JOB_MICROS);
                for (int to = 0; message != null && to < schedulerCount; to++) {
                    schedulerTrafficBytes += to == 0 ? message.length + SnapshotSender.IP_UDP_HEADER_BYTES : 0;
                    send(k, to, message);
                }
                scheduler.peerSlots.expireSilentPeers(nowMicros);
            }
            while (!inFlight.isEmpty() && inFlight.peek().arrivalMicros <= nowMicros) {
                DatagramInFlight next = inFlight.poll();
                if (nowMicros >= schedulers.get(next.to).pausedUntilMicros) {
                    schedulers.get(next.to).peerSlots.receive(nowMicros, next.from, next.message);
                }
            }
        }

        private void send(int from, int to, byte[] message) {
            if (to == from || random.nextDouble() < lossShare) {
                return;
            }
            inFlight.add(new DatagramInFlight(nowMicros + random.nextInt(200_000), to, from, message));
            if (random.nextInt(5) == 0) {
                inFlight.add(new DatagramInFlight(nowMicros + random.nextInt(400_000), to, from, message));
            }
        }

        void run(long micros) {
            for (long until = nowMicros + micros; nowMicros < until; ) {
                step();
            }
        }

        /** How long sending the largest scheduler's whole state takes within the budget. */
        long roundMicros() {
            int maxNames = schedulers.stream()
                    .mapToInt(s -> s.sender.nameCount())
                    .max()
                    .orElse(0);
            double rate = Math.max(
                    SnapshotSender.MIN_BUDGET_BYTES_PER_SECOND,
                    SnapshotSender.FLEET_BUDGET_BYTES_PER_SECOND / schedulerCount);
            // About 5 bytes per entry; 45 bytes of headers per datagram: IP and UDP 28, fixed 9, two varints of 4.
            double roundBytes = maxNames
                    * 5.0
                    * rate
                    * SnapshotSender.PART_INTERVAL_SECONDS
                    / (rate * SnapshotSender.PART_INTERVAL_SECONDS - 45);
            return Math.max(HEARTBEAT_MICROS + STEP_MICROS, (long)
                    ((roundBytes / rate + SnapshotSender.PART_INTERVAL_SECONDS) * SECOND_MICROS));
        }

        /** The observer's total is at most what its peers hold, not counting the silent one. */
        void assertSumNotAboveHeld(int observer, int silentPeer) {
            int observedSlots = schedulers.get(observer).peerSlotsByName.values().stream()
                    .mapToInt(s -> s)
                    .sum();
            int heldByOthers = 0;
            for (int k = 0; k < schedulerCount; k++) {
                heldByOthers += k == observer || k == silentPeer
                        ? 0
                        : schedulers.get(k).slotsByName.values().stream()
                                .mapToInt(s -> s)
                                .sum();
            }
            assertThat(observedSlots).isLessThanOrEqualTo(heldByOthers);
        }

        /** At each scheduler, each worker's sum is what all peers that are not silent hold there. */
        void assertAllSumsCorrect() {
            for (int k = 0; k < schedulerCount; k++) {
                for (int w = 0; w < workerCount; w++) {
                    int expected = 0;
                    for (int other = 0; other < schedulerCount; other++) {
                        boolean counts =
                                other != k && !schedulers.get(k).peerSlots.isSilent(nowMicros, other);
                        expected +=
                                !counts ? 0 : schedulers.get(other).slotsByName.getOrDefault(workerName(w), 0);
                    }
                    assertThat(schedulers.get(k).peerSlotsByName.getOrDefault(workerName(w), 0))
                            .as("worker %d at scheduler %d", w, k)
                            .isEqualTo(expected);
                }
            }
        }
    }

    @Property(tries = 40)
    void everySumIsCorrectWithinTheStatedTime(
            @ForAll long seed,
            @ForAll @IntRange(min = 2, max = 12) int schedulers,
            @ForAll @IntRange(min = 1, max = 400) int workers) {
        Fleet fleet = new Fleet(schedulers, workers, 0.3, seed);
        for (int k = 0; k < 24; k++) {
            fleet.changeSlots(schedulers * 5);
            fleet.step();
        }
        fleet.run(ROUNDS_UNTIL_CORRECT * fleet.roundMicros());
        fleet.assertAllSumsCorrect();
    }

    @Property(tries = 20)
    void restartedSchedulerLeavesNoStaleSlots(@ForAll long seed, @ForAll @IntRange(min = 1, max = 300) int workers) {
        Fleet fleet = new Fleet(5, workers, 0.3, seed);
        for (int k = 0; k < 24; k++) {
            fleet.changeSlots(40);
            fleet.step();
            if (k % 6 == 5) {
                fleet.restart(fleet.random.nextInt(5));
            }
        }
        fleet.run(ROUNDS_UNTIL_CORRECT * fleet.roundMicros());
        fleet.assertAllSumsCorrect();
    }

    @Property(tries = 20)
    void pausedPeerExpiresAndRecovers(@ForAll long seed) {
        Fleet fleet = new Fleet(5, 200, 0.3, seed);
        fleet.changeSlots(400);
        fleet.run(4 * SECOND_MICROS);
        fleet.schedulers.get(2).pausedUntilMicros = fleet.nowMicros + 10 * SECOND_MICROS;
        fleet.run(5 * SECOND_MICROS);
        fleet.assertSumNotAboveHeld(0, 2);
        assertThat(fleet.schedulers.get(0).peerSlots.silentShare(fleet.nowMicros))
                .isGreaterThanOrEqualTo(0.25);
        fleet.changeSlots(200);
        fleet.run(6 * SECOND_MICROS + ROUNDS_UNTIL_CORRECT * fleet.roundMicros());
        fleet.assertAllSumsCorrect();
    }

    /** Ten schedulers, 770 workers, 3,000 slots held, and changes as when 260 jobs start and end per second. */
    @Property(tries = 3)
    void trafficStaysWithinBudget(@ForAll long seed) {
        Fleet fleet = new Fleet(10, 770, 0, seed);
        fleet.changeSlots(4000);
        fleet.run(5 * SECOND_MICROS);
        fleet.schedulerTrafficBytes = 0;
        for (int k = 0; k < 240; k++) {
            fleet.changeSlots(44);
            fleet.step();
        }
        double seconds = 240.0 * STEP_MICROS / SECOND_MICROS;
        assertThat(fleet.schedulerTrafficBytes / seconds)
                .as("bytes per second in and out, headers included")
                .isLessThan(4096);
    }
}
