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
 * Time taken by a request with its outcome, a refresh, a peer's datagram and a list change in the decision module, with
 * halls off and on, for fleets up to twice the target size; {@code -prof gc} adds the allocations.
 */
@State(org.openjdk.jmh.annotations.Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 4, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Fork(1)
public class PickBenchmark {
    /** Schedulers at the target size. */
    private static final int DISPATCHERS = 10;
    /** Distinct peer datagrams to replay, and the offset of the peer's incarnation in them (see SlotSnapshot). */
    private static final int DATAGRAMS = 512, INCARNATION_OFFSET = 1;

    /** Bound of the steps for recording them. */
    private static final int MAX_STEPS = 20 * DATAGRAMS;

    @Param({"10", "96", "385", "770", "1540"})
    int servers;

    @Param({"false", "true"})
    boolean halls;

    private Dispatcher dispatcher;
    private long now = 1_000_000_000L;
    private int requestCount;
    private final List<byte[]> datagrams = new ArrayList<>();
    private long receivedDatagrams;
    private long listChanges;

    private static final class RecordingActions implements DispatchApi.Actions {
        final List<byte[]> peerMessages = new ArrayList<>();

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
            peerMessages.add(message);
        }

        @Override
        public void setTimer(long delay, String token) {}

        @Override
        public void watchList() {}

        @Override
        public void log(String line) {}
    }

    private Dispatcher newDispatcher(int ownIndex, long seed, RecordingActions actions) {
        Settings settings = new Settings();
        settings.seed = seed;
        settings.classes =
                new JobClass[] {new JobClass(200_000, 1, 5_000_000, 10, 0, RepeatSafety.SAFE, DedupScope.ALL, 0, -1, 0)
                };
        settings.dispatchers = DISPATCHERS;
        settings.ownIndex = ownIndex;
        settings.mayMessagePeers = true;
        settings.crossZoneCharge = 0.1;
        settings.notesStart = true;
        settings.progressMicros = 2_000_000;
        settings.halls = halls ? HallRules.defaults(List.of("a", "b", "c", "d"), 0) : null;
        Dispatcher created = new Dispatcher(settings, actions);
        List<Member> list = new ArrayList<>();
        for (int k = 0; k < servers; k++) {
            list.add(member(k, Health.READY));
        }
        created.start(now);
        created.list(now, ListKind.WHOLE, list);
        return created;
    }

    private static Member member(int number, Health health) {
        return new Member("server-" + number, health, 5, 0, 0, number % 4, 0);
    }

    @Setup
    public void start() {
        datagrams.addAll(recordPeerDatagrams(1));
        dispatcher = newDispatcher(0, 1, new RecordingActions());
        for (int k = 0; k < 1000; k++) {
            requestWithItsOutcome();
        }
        dispatcher.timerFired(now, "refresh");
    }

    /** The datagrams that a peer sends in one incarnation while jobs start and end. */
    private List<byte[]> recordPeerDatagrams(long seed) {
        RecordingActions actions = new RecordingActions();
        Dispatcher peer = newDispatcher(1, seed, actions);
        long time = now;
        for (int step = 0; step < MAX_STEPS && actions.peerMessages.size() < DATAGRAMS; step++) {
            String id = "x" + step;
            time += 80_000;
            peer.request(time, new Request(id, 0, -1, 1, 0, 5_000_000));
            peer.timerFired(time, "refresh");
            peer.outcome(time, id, 0, true, Status.OK, 100_000, null);
        }
        return actions.peerMessages;
    }

    /** Fails if datagrams were dropped, since dropped ones cost almost nothing and would distort the result. */
    @TearDown
    public void check() {
        if (receivedDatagrams > 0 && dispatcher.workCounters().datagrams() < receivedDatagrams / 2) {
            throw new IllegalStateException(
                    dispatcher.workCounters().datagrams() + " of " + receivedDatagrams + " datagrams were applied");
        }
    }

    @Benchmark
    public void requestWithItsOutcome() {
        String id = "r" + ++requestCount;
        now += 1_000;
        dispatcher.request(now, new Request(id, 0, -1, 1, 0, 5_000_000));
        dispatcher.note(now + 500, id, 0, Note.STARTED, 0);
        dispatcher.outcome(now + 900, id, 0, true, Status.OK, 100_000, null);
    }

    @Benchmark
    public void refresh() {
        now += 80_000;
        dispatcher.timerFired(now, "refresh");
    }

    @Benchmark
    public void datagram() {
        byte[] next = datagrams.get((int) (receivedDatagrams % datagrams.size()));
        // A later incarnation in each round, since repeated datagrams would be dropped.
        ByteBuffer.wrap(next).putInt(INCARNATION_OFFSET, (int) (1 + receivedDatagrams / datagrams.size()));
        receivedDatagrams++;
        dispatcher.peerMessage(now, 1, next);
    }

    @Benchmark
    public void listChange() {
        int changed = (int) (listChanges / 2 % servers);
        Health health = listChanges++ % 2 == 0 ? Health.DRAINING : Health.READY;
        dispatcher.list(now, ListKind.CHANGES, List.of(member(changed, health)));
    }
}
