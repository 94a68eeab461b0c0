package barrowshore.servers;

import static barrowshore.servers.DiscoveryFixture.listJson;

import barrowshore.net.ManualTime;
import barrowshore.servers.ScriptedDiscovery.Call;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * A discovery that answers each call late, by simulated time: with what it has then. An outage swallows the calls that it
 * finds and those that come in it, and every open watch falls silent for good. It lists one server.
 */
final class SlowDiscovery implements AutoCloseable {
    private static final long HEARTBEAT_MILLIS = 2000;
    private static final String WATCH = "/api/targets?watch=1&after=";

    /** A call that waits for its answer. */
    private record WaitingCall(Call call, String target, long dueMillis) {}

    /** An open watch and what it was told last. */
    private static final class OpenWatch {
        final Call call;
        long revision;
        long lastLineMillis;

        OpenWatch(Call call, long revision, long nowMillis) {
            this.call = call;
            this.revision = revision;
            this.lastLineMillis = nowMillis;
        }
    }

    private final ScriptedDiscovery sockets = new ScriptedDiscovery();
    private final DiscoveryFixture fixture;
    private final ManualTime time;
    private final LongSupplier answerDelayMillis;
    private final List<WaitingCall> waitingCalls = new ArrayList<>();
    private final List<OpenWatch> watches = new ArrayList<>();
    /** Swallowed by an outage; they stay open. */
    private final List<Call> lostCalls = new ArrayList<>();

    private long revision = 5;
    private String state = "Ready";
    private boolean down;
    /** Whether the head of an answer comes at once, and only what follows it comes late. */
    private boolean headAtOnce;

    private int callCount;
    private int mostOpenCalls;

    SlowDiscovery(DiscoveryFixture fixture, LongSupplier answerDelayMillis) throws IOException {
        this.fixture = fixture;
        this.time = fixture.time;
        this.answerDelayMillis = answerDelayMillis;
    }

    InetSocketAddress address() {
        return sockets.address();
    }

    /** How many calls have come. */
    int callCount() {
        return callCount;
    }

    /** The most calls that were unanswered and still open at once. */
    int mostOpenCalls() {
        return mostOpenCalls;
    }

    /** Changes the server's state, which is told by the open watches at once. */
    void publish(String newState) {
        revision++;
        state = newState;
    }

    /** From now on the head of each answer comes at once, and only what follows it comes late. */
    void sendHeadsAtOnce() {
        headAtOnce = true;
    }

    void setDown(boolean nowDown) {
        down = nowDown;
        if (down) {
            waitingCalls.forEach(waiting -> lostCalls.add(waiting.call()));
            waitingCalls.clear();
            watches.forEach(watch -> lostCalls.add(watch.call));
            watches.clear();
        }
    }

    /** Does all that is due now. */
    void step() throws IOException {
        for (Call call = sockets.poll(); call != null; call = sockets.poll()) {
            receive(call);
        }
        for (WaitingCall waiting : List.copyOf(waitingCalls)) {
            if (time.millis() >= waiting.dueMillis()) {
                waitingCalls.remove(waiting);
                answer(waiting);
            }
        }
        for (OpenWatch watch : List.copyOf(watches)) {
            tell(watch);
        }
    }

    private void receive(Call call) throws IOException {
        String target;
        try {
            target = call.target();
        } catch (IOException e) {
            return; // closed before its request
        }
        callCount++;
        if (down) {
            lostCalls.add(call);
        } else {
            waitingCalls.add(new WaitingCall(call, target, time.millis() + answerDelayMillis.getAsLong()));
            if (headAtOnce) {
                sendHead(call);
            }
        }
        lostCalls.removeIf(Call::isEnded);
        waitingCalls.removeIf(waiting -> waiting.call().isEnded());
        mostOpenCalls = Math.max(mostOpenCalls, lostCalls.size() + waitingCalls.size());
    }

    private void answer(WaitingCall waiting) throws IOException {
        Call call = waiting.call();
        if (call.isEnded()) {
            return;
        }
        if (!headAtOnce) {
            sendHead(call);
        }
        if (waiting.target().startsWith(WATCH)) {
            long told = Long.parseLong(waiting.target().substring(WATCH.length()));
            watches.add(new OpenWatch(call, told, time.millis()));
        } else {
            long before = time.scheduled();
            call.chunk(listJson(revision, true, state));
            call.send("0\r\n\r\n");
            fixture.awaitTimerSince(before);
            receive(call); // the watch after the list
        }
    }

    private void sendHead(Call call) throws IOException {
        long before = time.scheduled();
        call.beginWatch(); // a list comes in chunks too
        fixture.awaitTimerSince(before);
    }

    private void tell(OpenWatch watch) throws IOException {
        boolean hasNews = watch.revision < revision;
        if (!hasNews && time.millis() < watch.lastLineMillis + HEARTBEAT_MILLIS) {
            return;
        }
        if (watch.call.isEnded()) {
            watches.remove(watch);
            return;
        }
        long before = time.scheduled();
        watch.call.chunk(hasNews ? listJson(revision, false, state) : "\n");
        fixture.awaitTimerSince(before);
        watch.revision = revision;
        watch.lastLineMillis = time.millis();
    }

    @Override
    public void close() throws IOException {
        sockets.close();
    }
}
