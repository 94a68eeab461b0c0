package barrowshore.module;

import barrowshore.halls.HallRules;
import barrowshore.module.DispatchApi.Effect;
import barrowshore.module.DispatchApi.Health;
import barrowshore.module.DispatchApi.JobClass;
import barrowshore.module.DispatchApi.ListKind;
import barrowshore.module.DispatchApi.Member;
import barrowshore.module.DispatchApi.Note;
import barrowshore.module.DispatchApi.Request;
import barrowshore.module.DispatchApi.Scope;
import barrowshore.module.DispatchApi.Settings;
import barrowshore.module.DispatchApi.Status;
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
import org.openjdk.jmh.annotations.Warmup;

/** What a request with its outcome, a refresh and a peer's datagram cost the module, with halls off and on. */
@State(org.openjdk.jmh.annotations.Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 4, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Fork(1)
public class PickBenchmark {
    @Param({"10", "100", "1000"})
    int servers;

    @Param({"false", "true"})
    boolean halls;

    private DispatchApi module;
    private long now = 1_000_000_000L;
    private int number;
    private byte[] datagram;

    private static final class Nothing implements DispatchApi.Actions {
        byte[] told;

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
        public void tell(byte[] message) {
            told = message;
        }

        @Override
        public void timer(long delay, String token) {}

        @Override
        public void watch() {}

        @Override
        public void log(String line) {}
    }

    private DispatchApi module(int me, Nothing actions) {
        Settings set = new Settings();
        set.classes = new JobClass[] {new JobClass(200_000, 1, 5_000_000, 10, 0, Effect.SAFE, Scope.ALL, 0, -1, 0)};
        set.dispatchers = Math.max(2, servers / 8);
        set.me = me;
        set.mayTell = true;
        set.crossZoneCharge = 0.1;
        set.tellsStart = true;
        set.progressEvery = 2_000_000;
        set.halls = halls ? HallRules.usual(List.of("a", "b", "c", "d"), 0) : null;
        DispatchApi made = new Dispatcher(set, actions);
        List<Member> list = new ArrayList<>();
        for (int k = 0; k < servers; k++) {
            list.add(new Member("server-" + k, Health.READY, 5, 0, 0, k % 4, 0));
        }
        made.start(now);
        made.list(now, ListKind.WHOLE, list);
        return made;
    }

    @Setup
    public void start() {
        Nothing other = new Nothing();
        DispatchApi peer = module(1, other);
        peer.request(now, new Request("x", 0, -1, 1, 0, 5_000_000));
        datagram = other.told;
        module = module(0, new Nothing());
        for (int k = 0; k < 1000; k++) {
            requestWithItsOutcome();
        }
        module.timer(now, "refresh");
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
        module.timer(now, "refresh");
    }

    @Benchmark
    public void datagram() {
        // A number of its own each time, or it would be dropped as an old one.
        datagram[3] = (byte) (++number >> 8);
        datagram[4] = (byte) number;
        module.peer(now, 1, datagram);
    }
}
