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
 * Guards against a fleet of schedulers together overloading a server that starts cold. The server answers at once, so that
 * only the schedulers' cold budget limits what they send. Every attempt is counted in sliding windows against
 * N + 2 sqrt(N) + 2, where N is the jobs that the settings allow at its present capacity. Three of thirty schedulers get
 * most of the requests, and clocks differ by some milliseconds.
 */
class ColdFleetTest {
    private static final long MILLISECOND = 1_000, SECOND = 1_000_000, STEP_MICROS = 5 * MILLISECOND;
    private static final long SERVER_START_MICROS = 1_000 * SECOND,
            WARM_UP_MICROS = 20 * SECOND,
            WINDOW_MICROS = 2 * SECOND;
    private static final int SCHEDULER_COUNT = 30, BUSY_SCHEDULERS = 3, SEED_COUNT = 4;
    private static final double OVERLOAD_MULTIPLE = 3, START_CAPACITY = 0.2;
    private static final long MAX_CLOCK_SKEW_MICROS = 20 * MILLISECOND;

    private static final long TURN_MICROS = 4 * WINDOW_MICROS, OVERLAP_MICROS = 3 * SECOND;

    @ParameterizedTest
    @CsvSource({"16,50000", "16,200000", "16,600000", "4,600000"})
    void aFleetWithoutRestartsKeepsTheColdBudget(int slots, long work) {
        assertBudgetKept(slots, work, 0, 0);
    }

    /**
     * During an upgrade, the old and the new process have half of a scheduler's budget each; the new one then gets all
     * of it.
     */
    @ParameterizedTest
    @CsvSource({"16,50000", "16,200000", "16,600000", "4,600000"})
    void aFleetOfOverlappingProcessesKeepsTheColdBudget(int slots, long work) {
        assertBudgetKept(slots, work, 0, 4 * SECOND);
    }

    /** A restarted scheduler does not know what it sent in the same turn before its crash. */
    @ParameterizedTest
    @CsvSource({"16,50000", "16,200000", "16,600000", "4,600000"})
    void aFleetWithKilledAndRestartedSchedulersKeepsTheColdBudget(int slots, long work) {
        assertBudgetKept(slots, work, 300 * MILLISECOND, 0);
    }

    private static void assertBudgetKept(int slots, long work, long restartIntervalMicros, long upgradeIntervalMicros) {
        WindowCount fullest = new WindowCount(slots, work);
        int calls = 0;
        for (int seed = 0; seed < SEED_COUNT; seed++) {
            Fleet fleet = new Fleet(slots, work, seed, restartIntervalMicros, upgradeIntervalMicros);
            fleet.run();
            calls += fleet.count.calls;
            fullest = fleet.count.budgetUsed > fullest.budgetUsed ? fleet.count : fullest;
        }
        String figures = fullest.figures() + String.format(Locale.ROOT, "; %d calls over %d seeds", calls, SEED_COUNT);
        assertThat(fullest.budgetUsed).as(figures).isLessThanOrEqualTo(1);
        assertThat(fullest.budgetUsed).as("the server is used: %s", figures).isGreaterThan(0.15);
    }

    /** Counts the calls to the server in a sliding window, and keeps the window that used most of its budget. */
    private static final class WindowCount {
        private final Deque<Long> window = new ArrayDeque<>();
        private final int slots;
        private final long work;
        int calls;
        double budgetUsed;
        private int mostCalls;
        private double allowedJobs;

        WindowCount(int slots, long work) {
            this.slots = slots;
            this.work = work;
        }

        void recordCall(long now) {
            calls++;
            window.add(now);
            while (window.peek() <= now - WINDOW_MICROS) {
                window.remove();
            }
            double share = START_CAPACITY + (1 - START_CAPACITY) * (now - SERVER_START_MICROS) / WARM_UP_MICROS;
            double jobs = OVERLOAD_MULTIPLE * share * slots * WINDOW_MICROS / work;
            double used = window.size() / (jobs + 2 * Math.sqrt(jobs) + 2);
            if (used > budgetUsed) {
                budgetUsed = used;
                mostCalls = window.size();
                allowedJobs = jobs;
            }
        }

        String figures() {
            return String.format(
                    Locale.ROOT,
                    "%d slots, jobs of %d ms: most %d calls in a window where N is %.1f, %.2f of N + 2 sqrt(N) + 2",
                    slots,
                    work / MILLISECOND,
                    mostCalls,
                    allowedJobs,
                    budgetUsed);
        }
    }

    /** A scheduler process: its module, timers, and whether the present request has been sent to the server. */
    private static final class SchedulerProcess implements DispatchApi.Actions {
        private record Timer(long at, String token) {}

        final DispatchApi module;
        private final long clockSkew;
        private final List<Timer> timers = new ArrayList<>();
        private long now;
        private boolean sent;
        private int requests;

        SchedulerProcess(Settings settings, long clockSkew, long now, Member server) {
            this.clockSkew = clockSkew;
            module = Emulator.productionModule(settings, this, null);
            advanceTo(now);
            module.start(this.now);
            module.list(this.now, ListKind.INITIAL, List.of(server));
        }

        /** Advances the process's clock to a time and runs due timers. */
        void advanceTo(long time) {
            now = time + clockSkew;
            List<Timer> due = timers.stream().filter(t -> t.at <= now).toList();
            timers.removeAll(due);
            due.forEach(t -> module.timerFired(now, t.token));
        }

        /** Passes a request to the module; true if it was sent to the server, which answers at once. */
        boolean request(long work) {
            sent = false;
            String id = "r" + requests++;
            module.request(now, new Request(id, 0, -1, 1, 0, 2 * SECOND));
            boolean reachedServer = sent;
            if (reachedServer) {
                module.outcome(now, id, 0, true, Status.OK, work, null);
            }
            return reachedServer;
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

    /** The schedulers, of one process or two each, their requests and restarts. */
    private static final class Fleet {
        final WindowCount count;
        private final UniformRandomProvider random;
        private final long work;
        private final long restartIntervalMicros;
        private final long upgradeIntervalMicros;
        private final Member server;
        private final long[] clockSkews;
        private final List<List<SchedulerProcess>> schedulers = new ArrayList<>();
        private long lastSeed;

        Fleet(int slots, long work, int seed, long restartIntervalMicros, long upgradeIntervalMicros) {
            count = new WindowCount(slots, work);
            random = RandomSource.XO_SHI_RO_256_PP.create(seed);
            this.work = work;
            this.restartIntervalMicros = restartIntervalMicros;
            this.upgradeIntervalMicros = upgradeIntervalMicros;
            server = new Member("cold-" + seed, Health.READY, slots, 0, 0, 0, SERVER_START_MICROS);
            clockSkews = random.longs(SCHEDULER_COUNT, 0, MAX_CLOCK_SKEW_MICROS).toArray();
            for (int index = 0; index < SCHEDULER_COUNT; index++) {
                schedulers.add(new ArrayList<>(List.of(newProcess(index, SERVER_START_MICROS - TURN_MICROS))));
            }
        }

        private SchedulerProcess newProcess(int index, long now) {
            Settings settings = new Settings();
            settings.seed = ++lastSeed;
            settings.dispatchers = SCHEDULER_COUNT;
            settings.ownIndex = index;
            settings.tickMicros = STEP_MICROS;
            // The target time stretches up to the deadline: a job on the cold server is slow but not late.
            settings.classes = new JobClass[] {
                new JobClass(work, 19, 2 * SECOND, 1, 0, RepeatSafety.SAFE, DedupScope.ALL, 500 * MILLISECOND, -1, 0)
            };
            settings.startCapacity = START_CAPACITY;
            settings.warmUpMicros = WARM_UP_MICROS;
            settings.overloadWindowMicros = WINDOW_MICROS;
            settings.overloadMultiple = OVERLOAD_MULTIPLE;
            return new SchedulerProcess(settings, clockSkews[index], now, server);
        }

        void run() {
            for (long now = SERVER_START_MICROS + STEP_MICROS;
                    now < SERVER_START_MICROS + WARM_UP_MICROS;
                    now += STEP_MICROS) {
                injectRestarts(now);
                for (int index = 0; index < SCHEDULER_COUNT; index++) {
                    for (SchedulerProcess process : schedulers.get(index)) {
                        process.advanceTo(now);
                        serve(now, process, requestCount(now, index));
                    }
                }
            }
        }

        private void serve(long now, SchedulerProcess process, int requests) {
            for (int k = 0; k < requests; k++) {
                if (process.request(work)) {
                    count.recordCall(now);
                }
            }
        }

        /**
         * Requests arriving at a scheduler in a step. Worst case: schedulers whose turn it may be to use the budget
         * are busy.
         */
        private int requestCount(long now, int index) {
            return isBusy(now, index) ? 2 : random.nextInt(20) == 0 ? 1 : 0;
        }

        private boolean isBusy(long now, int index) {
            return Math.floorMod(
                            index - now / TURN_MICROS - server.worker().hashCode(), SCHEDULER_COUNT / BUSY_SCHEDULERS)
                    == 0;
        }

        private void injectRestarts(long now) {
            long sinceStart = now - SERVER_START_MICROS;
            if (restartIntervalMicros > 0 && sinceStart % restartIntervalMicros == 0) {
                int index = random.nextInt(SCHEDULER_COUNT);
                while (random.nextInt(20) > 0 && !isBusy(now, index)) {
                    index = random.nextInt(SCHEDULER_COUNT);
                }
                schedulers.get(index).set(0, newProcess(index, now));
            }
            if (upgradeIntervalMicros > 0 && sinceStart % upgradeIntervalMicros == 0) {
                for (int index = 0; index < SCHEDULER_COUNT; index++) {
                    schedulers.get(index).add(newProcess(index, now));
                    schedulers.get(index).forEach(process -> process.module.setDispatcherShare(0.5));
                }
            }
            if (upgradeIntervalMicros > 0 && sinceStart % upgradeIntervalMicros == OVERLAP_MICROS) {
                for (List<SchedulerProcess> processes : schedulers) {
                    if (processes.size() > 1) {
                        processes.remove(0);
                        processes.get(0).module.setDispatcherShare(1);
                    }
                }
            }
        }
    }
}
