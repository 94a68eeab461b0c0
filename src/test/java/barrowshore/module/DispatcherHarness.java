package barrowshore.module;

import barrowshore.module.DispatchApi.DedupScope;
import barrowshore.module.DispatchApi.Health;
import barrowshore.module.DispatchApi.JobClass;
import barrowshore.module.DispatchApi.ListKind;
import barrowshore.module.DispatchApi.Member;
import barrowshore.module.DispatchApi.RepeatSafety;
import barrowshore.module.DispatchApi.Request;
import barrowshore.module.DispatchApi.Settings;
import barrowshore.module.DispatchApi.Status;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Drives a dispatcher on a fake clock and records its actions. */
final class DispatcherHarness implements DispatchApi.Actions {
    /** A timer that the dispatcher has set. */
    record Due(long at, String token) {}

    final Settings settings;
    final Dispatcher dispatcher;
    final List<String> actions = new ArrayList<>();
    final List<Due> timers = new ArrayList<>();
    final Map<String, List<String>> workersSentTo = new TreeMap<>();
    final List<byte[]> peerMessages = new ArrayList<>();
    long now = 1_000_000_000L;

    DispatcherHarness(Settings settings) {
        this.settings = settings;
        this.dispatcher = new Dispatcher(settings, this);
        dispatcher.start(now);
    }

    static Settings settings(RepeatSafety safety, DedupScope scope) {
        Settings settings = new Settings();
        settings.classes = new JobClass[] {new JobClass(100_000, 0, 2_000_000, 1, 0, safety, scope, 500_000, -1, 0)};
        settings.maxAttempts = 4;
        settings.mayCancel = true;
        return settings;
    }

    static Member member(String worker, Health health, int zone, int cell, long startedAt) {
        return new Member(worker, health, 4, cell, 0, zone, startedAt);
    }

    DispatcherHarness withWorkers(int count) {
        List<Member> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(member("w" + i, Health.READY, i % 2, i / 2, 0));
        }
        dispatcher.list(now, ListKind.INITIAL, list);
        return this;
    }

    /** Makes a request and returns the worker that got it, or null if none did. */
    String request(String id) {
        dispatcher.request(now, new Request(id, 0, 0, 1, 0, 2_000_000));
        return lastWorker(id);
    }

    String lastWorker(String id) {
        List<String> to = workersSentTo.get(id);
        return to == null ? null : to.get(to.size() - 1);
    }

    int attemptCount(String id) {
        return workersSentTo.getOrDefault(id, List.of()).size();
    }

    void outcome(String id, Status status) {
        dispatcher.outcome(now, id, attemptCount(id) - 1, status == Status.OK, status, 10_000, null);
    }

    /** Advances the clock to a time and fires the timers due by then. */
    void advanceTo(long time) {
        while (true) {
            Due next = null;
            for (Due due : timers) {
                if (due.at <= time && (next == null || due.at < next.at)) {
                    next = due;
                }
            }
            if (next == null) {
                now = time;
                return;
            }
            timers.remove(next);
            now = Math.max(now, next.at);
            dispatcher.timerFired(now, next.token);
        }
    }

    long countActions(String action) {
        return actions.stream().filter(a -> a.startsWith(action)).count();
    }

    @Override
    public void send(String id, String worker, long timeout) {
        actions.add("send " + id + " " + worker);
        workersSentTo.computeIfAbsent(id, k -> new ArrayList<>()).add(worker);
    }

    @Override
    public void refuse(String id, long retryAfter) {
        actions.add("refuse " + id);
    }

    @Override
    public void fail(String id) {
        actions.add("fail " + id);
    }

    @Override
    public void cancel(String id, int attempt) {
        actions.add("cancel " + id + " " + attempt);
    }

    @Override
    public void probe(String worker) {
        actions.add("probe " + worker);
    }

    @Override
    public void sendToPeers(byte[] message) {
        peerMessages.add(message);
    }

    @Override
    public void setTimer(long delay, String token) {
        timers.add(new Due(now + Math.max(1, delay), token));
    }

    @Override
    public void watchList() {
        actions.add("watch");
    }

    @Override
    public void log(String line) {
        actions.add("log " + line);
    }
}
