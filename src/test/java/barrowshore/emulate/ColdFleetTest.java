package barrowshore.emulate;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.module.DispatchApi;
import barrowshore.module.DispatchApi.DedupScope;
import barrowshore.module.DispatchApi.Health;
import barrowshore.module.DispatchApi.JobClass;
import barrowshore.module.DispatchApi.ListKind;
import barrowshore.module.DispatchApi.Member;
import barrowshore.module.DispatchApi.RepeatSafety;
import barrowshore.module.DispatchApi.Request;
import barrowshore.module.DispatchApi.Settings;
import barrowshore.module.DispatchApi.Status;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Thirty real modules before one server that starts cold. It answers each job at once, so that no waiting holds a
 * scheduler back and only the cold budget does. All that comes to it, every attempt, is counted exactly in any window
 * against N + 2 sqrt(N) + 2, where N is the jobs that the settings allow at its present capacity. Three schedulers get
 * many times the mean, most get next to nothing, and their clocks are some milliseconds apart.
 */
class ColdFleetTest {
    private static final long MS = 1_000, S = 1_000_000, STEP = 5 * MS;
    private static final long BOOT = 1_000 * S, COLD = 20 * S, WINDOW = 2 * S;
    private static final int SCHEDULERS = 30, BUSY = 3, SEEDS = 4;
    private static final double MULTIPLE = 3, START_CAPACITY = 0.2;
    /** How far apart clocks are at most. */
    private static final long SKEW = 20 * MS;

    private static final long TURN = 4 * WINDOW, BOTH_FOR = 3 * S;

    @ParameterizedTest
    @CsvSource({"16,50000", "16,200000", "16,600000", "4,600000"})
    void theSumOfAFleetThatStaysIsKept(int slots, long work) {
        assertKept(slots, work, 0, 0);
    }

    /** The process after starts with half of what is due to a scheduler, and has all once the one before is gone. */
    @ParameterizedTest
    @CsvSource({"16,50000", "16,200000", "16,600000", "4,600000"})
    void theSumIsKeptWhereSchedulersRunInTwoProcessesForAWhile(int slots, long work) {
        assertKept(slots, work, 0, 4 * S);
    }

    /** A scheduler that has just started does not know what it sent before, in the same turn. */
    @ParameterizedTest
    @CsvSource({"16,50000", "16,200000", "16,600000", "4,600000"})
    void theSumIsKeptWhereSchedulersAreKilledAndStartAfreshUnderTheirNames(int slots, long work) {
        assertKept(slots, work, 300 * MS, 0);
    }

    private static void assertKept(int slots, long work, long restartEvery, long twoProcessesEvery) {
        Count most = new Count(slots, work);
        int calls = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Fleet fleet = new Fleet(slots, work, seed, restartEvery, twoProcessesEvery);
            fleet.play();
            calls += fleet.count.calls;
            most = fleet.count.use > most.use ? fleet.count : most;
        }
        String figures = most.figures() + String.format(Locale.ROOT, "; %d calls over %d seeds", calls, SEEDS);
        assertThat(most.use).as(figures).isLessThanOrEqualTo(1);
        assertThat(most.use).as("the server is used: %s", figures).isGreaterThan(0.15);
    }

    /** What has come to the server within a window, and the fullest of all windows. */
    private static final class Count {
        private final Deque<Long> window = new ArrayDeque<>();
        private final int slots;
        private final long work;
        int calls;
        double use;
        private int most;
        private double allowed;

        Count(int slots, long work) {
            this.slots = slots;
            this.work = work;
        }

        void came(long now) {
            calls++;
            window.add(now);
            while (window.peek() <= now - WINDOW) {
                window.remove();
            }
            double share = START_CAPACITY + (1 - START_CAPACITY) * (now - BOOT) / COLD;
            double jobs = MULTIPLE * share * slots * WINDOW / work;
            double used = window.size() / (jobs + 2 * Math.sqrt(jobs) + 2);
            if (used > use) {
                use = used;
                most = window.size();
                allowed = jobs;
            }
        }

        String figures() {
            return String.format(
                    Locale.ROOT,
                    "%d slots, jobs of %d ms: most %d calls in a window where N is %.1f, %.2f of N + 2 sqrt(N) + 2",
                    slots,
                    work / MS,
                    most,
                    allowed,
                    use);
        }
    }

    /** A process: its module, and the request that it has sent on in the present call. */
    private static final class Process implements DispatchApi.Actions {
        private record Timer(long at, String token) {}

        final DispatchApi module;
        private final long ahead;
        private final List<Timer> timers = new ArrayList<>();
        private long now;
        private boolean sent;
        private int requests;

        Process(Settings settings, long ahead, long now, Member server) {
            this.ahead = ahead;
            module = Emulator.module(settings, this, null);
            at(now);
            module.start(this.now);
            module.list(this.now, ListKind.INITIAL, List.of(server));
        }

        /** Lets the time pass up to now. */
        void at(long time) {
            now = time + ahead;
            List<Timer> due = timers.stream().filter(t -> t.at <= now).toList();
            timers.removeAll(due);
            due.forEach(t -> module.timerFired(now, t.token));
        }

        /** Whether it sends a job to the server, which answers at once. */
        boolean request(long work) {
            sent = false;
            String id = "r" + requests++;
            module.request(now, new Request(id, 0, -1, 1, 0, 2 * S));
            boolean came = sent;
            if (came) {
                module.outcome(now, id, 0, true, Status.OK, work, null);
            }
            return came;
        }

        @Override
        public void send(String id, String worker, long timeout) {
            sent = true;
        }

        @Override
        public void setTimer(long delay, String token) {
            timers.add(new Timer(now + delay, token));
        }

        @Override
        public void refuse(String id, long retryAfter) {}

        @Override
        public void fail(String id) {}

        @Override
        public void cancel(String id, int attempt) {}

        @Override
        public void probe(String worker) {}

        @Override
        public void sendToPeers(byte[] message) {}

        @Override
        public void watchList() {}

        @Override
        public void log(String line) {}
    }

    /** The schedulers, each of one process or of two, and what befalls them. */
    private static final class Fleet {
        final Count count;
        private final UniformRandomProvider random;
        private final long work;
        private final long restartEvery;
        private final long twoProcessesEvery;
        private final Member server;
        private final long[] ahead;
        private final List<List<Process>> schedulers = new ArrayList<>();
        private long seeds;

        Fleet(int slots, long work, int seed, long restartEvery, long twoProcessesEvery) {
            count = new Count(slots, work);
            random = RandomSource.XO_SHI_RO_256_PP.create(seed);
            this.work = work;
            this.restartEvery = restartEvery;
            this.twoProcessesEvery = twoProcessesEvery;
            server = new Member("cold-" + seed, Health.READY, slots, 0, 0, 0, BOOT);
            ahead = random.longs(SCHEDULERS, 0, SKEW).toArray();
            for (int me = 0; me < SCHEDULERS; me++) {
                schedulers.add(new ArrayList<>(List.of(process(me, BOOT - TURN))));
            }
        }

        private Process process(int me, long now) {
            Settings set = new Settings();
            set.seed = ++seeds;
            set.dispatchers = SCHEDULERS;
            set.ownIndex = me;
            set.tickMicros = STEP;
            // An aim that grows with the work as far as the deadline: cold, a job is slow but not late.
            set.classes = new JobClass[] {
                new JobClass(work, 19, 2 * S, 1, 0, RepeatSafety.SAFE, DedupScope.ALL, 500 * MS, -1, 0)
            };
            set.startCapacity = START_CAPACITY;
            set.warmUpMicros = COLD;
            set.overloadWindowMicros = WINDOW;
            set.overloadMultiple = MULTIPLE;
            return new Process(set, ahead[me], now, server);
        }

        void play() {
            for (long now = BOOT + STEP; now < BOOT + COLD; now += STEP) {
                befall(now);
                for (int me = 0; me < SCHEDULERS; me++) {
                    for (Process process : schedulers.get(me)) {
                        process.at(now);
                        serve(now, process, requests(now, me));
                    }
                }
            }
        }

        private void serve(long now, Process process, int requests) {
            for (int k = 0; k < requests; k++) {
                if (process.request(work)) {
                    count.came(now);
                }
            }
        }

        /** How many requests come to a scheduler in a step: busy are those that may have a turn, the worst case. */
        private int requests(long now, int me) {
            return busy(now, me) ? 2 : random.nextInt(20) == 0 ? 1 : 0;
        }

        private boolean busy(long now, int me) {
            return Math.floorMod(me - now / TURN - server.worker().hashCode(), SCHEDULERS / BUSY) == 0;
        }

        private void befall(long now) {
            long since = now - BOOT;
            if (restartEvery > 0 && since % restartEvery == 0) {
                int me = random.nextInt(SCHEDULERS);
                while (random.nextInt(20) > 0 && !busy(now, me)) {
                    me = random.nextInt(SCHEDULERS);
                }
                schedulers.get(me).set(0, process(me, now));
            }
            if (twoProcessesEvery > 0 && since % twoProcessesEvery == 0) {
                for (int me = 0; me < SCHEDULERS; me++) {
                    schedulers.get(me).add(process(me, now));
                    schedulers.get(me).forEach(process -> process.module.setDispatcherShare(0.5));
                }
            }
            if (twoProcessesEvery > 0 && since % twoProcessesEvery == BOTH_FOR) {
                for (List<Process> processes : schedulers) {
                    if (processes.size() > 1) {
                        processes.remove(0);
                        processes.get(0).module.setDispatcherShare(1);
                    }
                }
            }
        }
    }
}
