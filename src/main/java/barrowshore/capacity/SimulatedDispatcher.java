package barrowshore.capacity;

import barrowshore.emulate.VirtualClock;
import barrowshore.module.DispatchApi;
import barrowshore.module.DispatchApi.ListKind;
import barrowshore.module.DispatchApi.Member;
import barrowshore.module.DispatchApi.Note;
import barrowshore.module.DispatchApi.ReportSource;
import barrowshore.module.DispatchApi.Request;
import barrowshore.module.DispatchApi.Settings;
import barrowshore.module.DispatchApi.Status;
import barrowshore.module.Dispatcher;
import barrowshore.module.WorkCounters;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One scheduler of a simulated fleet: a real decision module, its open requests, and counts of the datagrams it sends
 * and receives. The module's actions are carried out after the call that issued them, so that the measured time of the
 * call is the module's alone.
 */
final class SimulatedDispatcher implements DispatchApi.Actions {
    private static final int MAX_DATAGRAM_BYTES = 256;

    /** The workers, network and statistics that the schedulers share. */
    interface Fleet {
        SimulatedWorker worker(String id);

        /** Returns the one-way delay between two zones in microseconds. */
        long oneWayMicros(int from, int to);

        /** Sends a datagram to all other schedulers; each copy can be lost or duplicated. */
        void broadcast(SimulatedDispatcher from, byte[] message);

        /** Records that a task has started, this many microseconds after its request. */
        void started(TaskKind kind, long waited);

        /** Records that a further attempt of an already started task has started. */
        void hedgeStarted();

        void refused();

        void failed();
    }

    final int number;
    final int zone;
    final CallMeter meter;
    final DatagramCount datagrams = new DatagramCount();
    private final VirtualClock clock;
    private final Fleet fleet;
    private final Settings settings;
    private Dispatcher module;
    private final Map<String, OpenRequest> open = new HashMap<>();
    /** Actions that the module issued during the current call. */
    private final ArrayDeque<Runnable> pendingActions = new ArrayDeque<>();

    private int requests;
    private long entriesApplied;

    SimulatedDispatcher(int number, int zone, Settings settings, CallMeter meter, VirtualClock clock, Fleet fleet) {
        this.number = number;
        this.zone = zone;
        this.settings = settings;
        this.meter = meter;
        this.clock = clock;
        this.fleet = fleet;
        this.module = new Dispatcher(settings, this);
    }

    private void call(CallKind kind, Runnable call) {
        meter.measure(kind, call);
        while (!pendingActions.isEmpty()) {
            pendingActions.poll().run();
        }
    }

    /** Resets the counts at the end of the warm-up. */
    void reset() {
        meter.reset();
        datagrams.reset();
        entriesApplied = 0;
    }

    void start(List<Member> workers) {
        call(CallKind.START, () -> module.start(clock.now()));
        list(ListKind.WHOLE, workers);
    }

    void list(ListKind kind, List<Member> entries) {
        entriesApplied += entries.size();
        call(CallKind.LIST, () -> module.list(clock.now(), kind, entries));
    }

    /** Applies new tenant quotas. */
    void quotas(double[] quotas) {
        Settings next = new Settings();
        next.copyIdentityFrom(settings);
        next.copyReloadableFrom(settings);
        next.tenantQuota = quotas;
        call(CallKind.SETTINGS, () -> module.changeSettings(clock.now(), next));
    }

    void receive(int from, byte[] message) {
        datagrams.countReceived(message);
        call(CallKind.DATAGRAM, () -> module.peerMessage(clock.now(), from, message));
    }

    void request(Arrivals.Arrival arrival) {
        OpenRequest request = new OpenRequest("r" + number + "-" + ++requests, arrival.kind(), arrival.work());
        open.put(request.id, request);
        Request asked = new Request(
                request.id,
                arrival.kind().ordinal(),
                arrival.tenant(),
                1,
                arrival.estimatedWork(),
                TaskKind.Terms.DEADLINE_MICROS);
        call(CallKind.REQUEST, () -> module.request(clock.now(), asked));
    }

    long entriesApplied() {
        return entriesApplied;
    }

    WorkCounters workCounters() {
        return module.workCounters();
    }

    /** Measures the objects that the module holds, without this simulation object. */
    ObjectGraphSize heldState() {
        return ObjectGraphSize.of(module, this);
    }

    /** Releases the module, so that the memory it held can be measured. */
    void releaseModule() {
        module = null;
    }

    /** A client's request, kept until it is answered and all its attempts have ended. */
    private final class OpenRequest {
        final String id;
        final TaskKind kind;
        final long work;
        final long since = clock.now();
        final List<Attempt> attempts = new ArrayList<>(1);
        int outstanding;
        boolean answered;
        boolean everStarted;

        OpenRequest(String id, TaskKind kind, long work) {
            this.id = id;
            this.kind = kind;
            this.work = work;
        }

        void answer() {
            answered = true;
            forgetIfEnded();
        }

        void forgetIfEnded() {
            if (answered && outstanding == 0) {
                open.remove(id);
            }
        }
    }

    /** One attempt of a request on one worker. */
    private final class Attempt implements SimulatedWorker.Task {
        /** One-way delays until the worker has the request, including connection setup. */
        private static final int ONE_WAY_DELAYS_TO_SEND = 4;

        final OpenRequest request;
        final int number;
        final SimulatedWorker worker;
        final long sentAt = clock.now();
        boolean ended;

        Attempt(OpenRequest request, int number, SimulatedWorker worker) {
            this.request = request;
            this.number = number;
            this.worker = worker;
        }

        void send() {
            clock.runAfter(ONE_WAY_DELAYS_TO_SEND * fleet.oneWayMicros(zone, worker.zone), () -> worker.offer(this));
        }

        private void end(Status status) {
            if (ended) {
                return;
            }
            ended = true;
            request.outstanding--;
            request.answered |= status == Status.OK;
            boolean answer = status == Status.OK || status == Status.FULL;
            DispatchApi.Load load = answer && settings.reportSource == ReportSource.ANSWERS ? worker.load() : null;
            long took = clock.now() - sentAt;
            call(
                    CallKind.OUTCOME,
                    () -> module.outcome(clock.now(), request.id, number, request.answered, status, took, load));
            request.forgetIfEnded();
        }

        private void afterReturnDelay(Runnable run) {
            clock.runAfter(fleet.oneWayMicros(worker.zone, zone), run);
        }

        private void note(Note note, double share) {
            afterReturnDelay(() -> {
                if (!ended) {
                    call(CallKind.NOTE, () -> module.note(clock.now(), request.id, number, note, share));
                }
            });
        }

        @Override
        public long work() {
            return request.work;
        }

        @Override
        public boolean withdrawn() {
            return ended;
        }

        @Override
        public void started() {
            if (!request.everStarted) {
                request.everStarted = true;
                fleet.started(request.kind, clock.now() - request.since);
            } else {
                fleet.hedgeStarted();
            }
            note(Note.STARTED, 0);
        }

        @Override
        public void progress(double share) {
            note(Note.PROGRESS, share);
        }

        @Override
        public void done() {
            afterReturnDelay(() -> end(Status.OK));
        }

        @Override
        public void rejected() {
            afterReturnDelay(() -> end(Status.FULL));
        }
    }

    // Actions of the module.

    @Override
    public void send(String id, String worker, long timeout) {
        pendingActions.add(() -> {
            OpenRequest request = open.get(id);
            Attempt attempt = new Attempt(request, request.attempts.size(), fleet.worker(worker));
            request.attempts.add(attempt);
            request.outstanding++;
            attempt.send();
        });
    }

    @Override
    public void refuse(String id, long retryAfter) {
        pendingActions.add(() -> {
            fleet.refused();
            open.get(id).answer();
        });
    }

    @Override
    public void fail(String id) {
        pendingActions.add(() -> {
            fleet.failed();
            open.get(id).answer();
        });
    }

    @Override
    public void cancel(String id, int attempt) {
        pendingActions.add(() -> {
            Attempt called = open.get(id).attempts.get(attempt);
            clock.runAfter(0, () -> called.end(Status.CANCELLED));
        });
    }

    @Override
    public void probe(String worker) {
        throw new IllegalStateException("the simulation has no probes, but the module sent one");
    }

    @Override
    public void sendToPeers(byte[] message) {
        if (message.length > MAX_DATAGRAM_BYTES) {
            throw new IllegalStateException("datagram of " + message.length + " bytes exceeds the size limit");
        }
        pendingActions.add(() -> {
            datagrams.countSent(message);
            fleet.broadcast(this, message);
        });
    }

    @Override
    public void setTimer(long delay, String token) {
        pendingActions.add(() -> clock.runAfter(
                Math.max(1, delay), () -> call(CallKind.REFRESH, () -> module.timerFired(clock.now(), token))));
    }

    @Override
    public void watchList() {}

    @Override
    public void log(String line) {}
}
