package barrowshore.module;

import barrowshore.halls.HallRules;
import barrowshore.module.DispatchApi.DedupScope;
import barrowshore.module.DispatchApi.Health;
import barrowshore.module.DispatchApi.JobClass;
import barrowshore.module.DispatchApi.ListKind;
import barrowshore.module.DispatchApi.Member;
import barrowshore.module.DispatchApi.Note;
import barrowshore.module.DispatchApi.RepeatSafety;
import barrowshore.module.DispatchApi.Request;
import barrowshore.module.DispatchApi.Settings;
import barrowshore.module.DispatchApi.Status;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.annotations.Warmup;

/**
 * What a request with its outcome, a refresh, a peer's datagram and a change of the list cost the module, with halls off
 * and on, at sizes up to twice the target; with {@code -prof gc} also what they allocate.
 */
@State(org.openjdk.jmh.annotations.Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 4, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Fork(1)
public class PickBenchmark {
    /** Schedulers at the target. */
    private static final int DISPATCHERS = 10;
    /** Different datagrams that a peer has told, and where they hold the number of the peer's life (SlotSnapshot). */
    private static final int DATAGRAMS = 512, INCARNATION_OFFSET = 1;

    private static final int MOST_STEPS = 20 * DATAGRAMS;

    @Param({"10", "96", "385", "770", "1540"})
    int servers;

    @Param({"false", "true"})
    boolean halls;

    private Dispatcher module;
    private long now = 1_000_000_000L;
    private int number;
    private final List<byte[]> datagrams = new ArrayList<>();
    private long heard;
    private long changes;

    private static final class Nothing implements DispatchApi.Actions {
        final List<byte[]> told = new ArrayList<>();

        @Override
        public void send(String id, String worker, long timeout) {}

        @Override
        public void refuse(String id, long retryAfter) {}

        @Override
        public void fail(String id) {}

        @Override
        public void cancel(String id, int attempt) {}

        @Override
        public void probe(String worker) {}

        @Override
        public void sendToPeers(byte[] message) {
            told.add(message);
        }

        @Override
        public void setTimer(long delay, String token) {}

        @Override
        public void watchList() {}

        @Override
        public void log(String line) {}
    }

    private Dispatcher module(int me, long seed, Nothing actions) {
        Settings set = new Settings();
        set.seed = seed;
        set.classes =
                new JobClass[] {new JobClass(200_000, 1, 5_000_000, 10, 0, RepeatSafety.SAFE, DedupScope.ALL, 0, -1, 0)
                };
        set.dispatchers = DISPATCHERS;
        set.ownIndex = me;
        set.mayMessagePeers = true;
        set.crossZoneCharge = 0.1;
        set.notesStart = true;
        set.progressMicros = 2_000_000;
        set.halls = halls ? HallRules.defaults(List.of("a", "b", "c", "d"), 0) : null;
        Dispatcher made = new Dispatcher(set, actions);
        List<Member> list = new ArrayList<>();
        for (int k = 0; k < servers; k++) {
            list.add(member(k, Health.READY));
        }
        made.start(now);
        made.list(now, ListKind.WHOLE, list);
        return made;
    }

    private static Member member(int number, Health health) {
        return new Member("server-" + number, health, 5, 0, 0, number % 4, 0);
    }

    @Setup
    public void start() {
        datagrams.addAll(tellings(1));
        module = module(0, 1, new Nothing());
        for (int k = 0; k < 1000; k++) {
            requestWithItsOutcome();
        }
        module.timerFired(now, "refresh");
    }

    /** What a peer tells in one of its lives, as it starts and ends tasks. */
    private List<byte[]> tellings(long seed) {
        Nothing actions = new Nothing();
        Dispatcher peer = module(1, seed, actions);
        long time = now;
        for (int step = 0; step < MOST_STEPS && actions.told.size() < DATAGRAMS; step++) {
            String id = "x" + step;
            time += 80_000;
            peer.request(time, new Request(id, 0, -1, 1, 0, 5_000_000));
            peer.timerFired(time, "refresh");
            peer.outcome(time, id, 0, true, Status.OK, 100_000, null);
        }
        return actions.told;
    }

    /** A datagram that was dropped costs nothing, and would be measured for one that was entered. */
    @TearDown
    public void check() {
        if (heard > 0 && module.workCounters().datagrams() < heard / 2) {
            throw new IllegalStateException(
                    module.workCounters().datagrams() + " of " + heard + " datagrams were entered");
        }
    }

    @Benchmark
    public void requestWithItsOutcome() {
        String id = "r" + ++number;
        now += 1_000;
        module.request(now, new Request(id, 0, -1, 1, 0, 5_000_000));
        module.note(now + 500, id, 0, Note.STARTED, 0);
        module.outcome(now + 900, id, 0, true, Status.OK, 100_000, null);
    }

    @Benchmark
    public void refresh() {
        now += 80_000;
        module.timerFired(now, "refresh");
    }

    @Benchmark
    public void datagram() {
        byte[] next = datagrams.get((int) (heard % datagrams.size()));
        // A later life in each round, or what is told again would be dropped as doubled.
        ByteBuffer.wrap(next).putInt(INCARNATION_OFFSET, (int) (1 + heard / datagrams.size()));
        heard++;
        module.peerMessage(now, 1, next);
    }

    @Benchmark
    public void listChange() {
        int changed = (int) (changes / 2 % servers);
        Health health = changes++ % 2 == 0 ? Health.DRAINING : Health.READY;
        module.list(now, ListKind.CHANGES, List.of(member(changed, health)));
    }
}
