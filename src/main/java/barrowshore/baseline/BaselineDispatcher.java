package barrowshore.baseline;

import barrowshore.module.DispatchApi;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.ToDoubleFunction;

/**
 * Textbook policies behind the decision module's interface, as baselines to compare the module with: each chooses a
 * worker by one simple rule. It owns the state that the policy needs, keeps the platform's rules (repeat safety, drains,
 * slow start), retries where allowed, and refuses no job that some worker may take. Not for production, and independent of
 * the module's code. Time and random numbers come from the caller.
 */
public final class BaselineDispatcher implements DispatchApi {
    /** How a worker is chosen. TRUE_STATE sees the real state of all workers: an upper bound for the others. */
    public enum Policy {
        RANDOM,
        ROUND_ROBIN,
        LEAST_IN_FLIGHT,
        TWO_CHOICES,
        LEAST_RESPONSE_TIME,
        TRUE_STATE
    }

    /** Cost of sending a job of that many slots to a worker, computed from the worker's true state. */
    public interface OracleCost {
        double cost(String worker, double slots);
    }

    /** Weight of a new answer in a worker's moving average of response times. */
    private static final double RESPONSE_TIME_SMOOTHING = 0.2;
    /** Mean time for which an unreachable worker is excluded, in connect timeouts. */
    private static final double EXCLUSION_CONNECT_TIMEOUTS = 4;
    /** A worker's assumed slots, where a load report gives only the free ones. */
    private static final double DEFAULT_SLOTS = 4;

    /** What the policy knows of one worker; member is null while the worker is not listed. */
    private static final class WorkerState {
        final String id;
        Member member;
        double ownSlots, otherSlots, meanResponseMicros;
        long excludedUntil;

        WorkerState(String id) {
            this.id = id;
        }
    }

    private record SentAttempt(WorkerState worker, long sentAt, double slots) {}

    /** An unanswered job and its attempts; neverRan has one entry per attempt. */
    private static final class OpenJob {
        final Request request;
        final JobClass jobClass;
        final long deadline;
        final List<SentAttempt> attempts = new ArrayList<>(1);
        final List<Boolean> neverRan = new ArrayList<>(1);

        OpenJob(Request request, JobClass jobClass, long deadline) {
            this.request = request;
            this.jobClass = jobClass;
            this.deadline = deadline;
        }
    }

    private final Policy policy;
    private final Settings settings;
    private final Actions actions;
    private final DoubleSupplier random;
    private final OracleCost oracle;
    private final Map<String, WorkerState> workers = new LinkedHashMap<>();
    private final Map<String, OpenJob> jobs = new HashMap<>();
    private int nextWorker;
    private int nextProbed;

    /** random: numbers from 0 to 1; oracle: used by {@link Policy#TRUE_STATE} only. */
    public BaselineDispatcher(
            Policy policy, Settings settings, Actions actions, DoubleSupplier random, OracleCost oracle) {
        this.policy = policy;
        this.settings = settings;
        this.actions = actions;
        this.random = random;
        this.oracle = oracle;
    }

    @Override
    public void start(long now) {
        if (settings.pollsList) {
            actions.watchList();
        }
    }

    @Override
    public void list(long now, ListKind kind, List<Member> entries) {
        if (kind == ListKind.FAILED) {
            actions.setTimer((long) (settings.listPollMicros / 40.0 * (0.5 + random.getAsDouble())), "ask");
            return;
        }
        if (kind != ListKind.CHANGES) {
            workers.values().forEach(w -> w.member = null);
        }
        for (Member m : entries) {
            workers.computeIfAbsent(m.worker(), WorkerState::new).member = m;
        }
    }

    @Override
    public void request(long now, Request request) {
        OpenJob job = new OpenJob(request, settings.classes[request.jobClass()], now + request.timeLeftMicros());
        jobs.put(request.id(), job);
        dispatch(now, job);
        if (settings.mayProbe
                && settings.reportSource == ReportSource.PROBES
                && policy == Policy.TWO_CHOICES
                && !workers.isEmpty()) {
            List<WorkerState> known = new ArrayList<>(workers.values());
            WorkerState worker = known.get(nextProbed++ % known.size());
            if (isReady(worker) && capacityShare(now, worker) >= 1) {
                actions.probe(worker.id);
            }
        }
    }

    private boolean isReady(WorkerState worker) {
        return worker.member != null && worker.member.health() == Health.READY;
    }

    private double capacityShare(long now, WorkerState worker) {
        long startedAt = worker.member.startedAt();
        double share = startedAt > 0 ? Math.max(0, (now - startedAt) / (double) settings.warmUpMicros) : 1;
        return share >= 1 ? 1 : settings.startCapacity + (1 - settings.startCapacity) * share;
    }

    private void dispatch(long now, OpenJob job) {
        WorkerState target = null;
        if (job.attempts.size() < settings.maxAttempts && now < job.deadline) {
            List<WorkerState> candidates = new ArrayList<>();
            for (WorkerState worker : workers.values()) {
                // Slow start under any policy: a cold worker is a candidate with the probability of its capacity share.
                if (isReady(worker)
                        && now >= worker.excludedUntil
                        && maySend(now, job, worker)
                        && random.getAsDouble() < capacityShare(now, worker)) {
                    candidates.add(worker);
                }
            }
            target = candidates.isEmpty() ? null : chooseWorker(now, job, candidates);
        }
        if (target == null) {
            giveUp(job);
            return;
        }
        job.attempts.add(new SentAttempt(target, now, job.request.slots()));
        job.neverRan.add(false);
        target.ownSlots += job.request.slots();
        actions.send(job.request.id(), target.id, 0);
    }

    private WorkerState chooseWorker(long now, OpenJob job, List<WorkerState> candidates) {
        return switch (policy) {
            case RANDOM -> randomWorker(candidates);
            case ROUND_ROBIN -> candidates.get(nextWorker++ % candidates.size());
            case LEAST_IN_FLIGHT -> lowest(candidates, w -> w.ownSlots / weight(w));
            case TWO_CHOICES -> lowest(
                    List.of(randomWorker(candidates), randomWorker(candidates)),
                    w -> (w.ownSlots + w.otherSlots) / weight(w));
            case LEAST_RESPONSE_TIME -> lowest(candidates, w -> w.meanResponseMicros * (1 + w.ownSlots) / weight(w));
            case TRUE_STATE -> lowest(candidates, w -> oracle.cost(w.id, job.request.slots()));
        };
    }

    private double weight(WorkerState worker) {
        return worker.member.rating() > 0 ? worker.member.rating() : 1;
    }

    private WorkerState randomWorker(List<WorkerState> candidates) {
        return candidates.get((int) (random.getAsDouble() * candidates.size()));
    }

    /** The candidate with the lowest measure. Ties are broken at random, or all schedulers would choose the same worker. */
    private WorkerState lowest(List<WorkerState> candidates, ToDoubleFunction<WorkerState> measure) {
        WorkerState best = null;
        double lowestCost = 0, ties = 0;
        for (WorkerState worker : candidates) {
            double cost = measure.applyAsDouble(worker);
            if (best == null || cost < lowestCost) {
                best = worker;
                lowestCost = cost;
                ties = 1;
            } else if (cost == lowestCost && random.getAsDouble() * ++ties < 1) {
                best = worker;
            }
        }
        return best;
    }

    /** Whether an attempt on this worker keeps the job's repeat safety, given its earlier attempts. */
    private boolean maySend(long now, OpenJob job, WorkerState worker) {
        for (int i = 0; i < job.attempts.size(); i++) {
            SentAttempt earlier = job.attempts.get(i);
            if (earlier.worker == worker) {
                return false;
            }
            if (job.neverRan.get(i)) {
                continue;
            }
            boolean sharesKeys = earlier.worker.member != null
                    && switch (job.jobClass.scope()) {
                        case ALL -> true;
                        case ZONE -> earlier.worker.member.zone() == worker.member.zone();
                        case CELL -> earlier.worker.member.cell() == worker.member.cell();
                    };
            if (job.jobClass.safety() == RepeatSafety.UNSAFE
                    || job.jobClass.safety() == RepeatSafety.KEYED
                            && (!sharesKeys || now - earlier.sentAt >= job.jobClass.repeatWindowMicros())) {
                return false;
            }
        }
        return true;
    }

    /** Gives the final answer: a refusal if the client may safely repeat the job, else a failure. */
    private void giveUp(OpenJob job) {
        jobs.remove(job.request.id());
        boolean mayRepeat = job.jobClass.safety() == RepeatSafety.SAFE
                || job.jobClass.safety() == RepeatSafety.KEYED && job.jobClass.scope() == DedupScope.ALL
                || !job.neverRan.contains(false);
        if (mayRepeat) {
            actions.refuse(job.request.id(), Math.min(settings.maxRetryAfterMicros, (long)
                    (1e5 * (1 + random.getAsDouble()))));
        } else {
            actions.fail(job.request.id());
        }
    }

    @Override
    public void outcome(long now, String id, int attempt, boolean closed, Status status, long latency, Load load) {
        OpenJob job = jobs.get(id);
        if (job == null) {
            return;
        }
        SentAttempt attemptSent = job.attempts.get(attempt);
        WorkerState worker = attemptSent.worker;
        worker.ownSlots = Math.max(0, worker.ownSlots - attemptSent.slots);
        job.neverRan.set(attempt, status.neverRan());
        recordLoad(worker, load);
        if (status == Status.OK) {
            worker.meanResponseMicros += (worker.meanResponseMicros == 0 ? 1 : RESPONSE_TIME_SMOOTHING)
                    * (latency - worker.meanResponseMicros);
        } else if (status == Status.CONNECT_FAILED || status == Status.TIMEOUT) {
            worker.excludedUntil = now
                    + (long)
                            (EXCLUSION_CONNECT_TIMEOUTS * settings.connectTimeoutMicros * (0.5 + random.getAsDouble()));
        }
        if (closed) {
            jobs.remove(id);
        } else {
            dispatch(now, job);
        }
    }

    /**
     * Estimates other schedulers' slots from whichever figures a report has; it includes our own jobs, which are
     * subtracted.
     */
    private void recordLoad(WorkerState worker, Load load) {
        if (load == null) {
            return;
        }
        double inFlight = load.inFlight() >= 0
                ? load.inFlight()
                : (load.freeSlots() >= 0 ? Math.max(0, DEFAULT_SLOTS - load.freeSlots()) : 0)
                        + Math.max(0, load.queue());
        worker.otherSlots = Double.isNaN(inFlight) ? 0 : Math.max(0, inFlight - worker.ownSlots);
    }

    @Override
    public void note(long now, String id, int attempt, Note note, double share) {}

    @Override
    public void clientGone(long now, String id) {
        OpenJob job = jobs.remove(id);
        if (job != null) {
            for (int i = 0; i < job.attempts.size(); i++) {
                job.attempts.get(i).worker.ownSlots =
                        Math.max(0, job.attempts.get(i).worker.ownSlots - job.request.slots());
            }
        }
    }

    @Override
    public void probed(long now, String worker, Status status, long latency, Load load) {
        if (status == Status.OK && workers.get(worker) != null) {
            recordLoad(workers.get(worker), load);
        }
    }

    @Override
    public void peerMessage(long now, int from, byte[] message) {}

    @Override
    public void timerFired(long now, String token) {
        if (token.equals("ask")) {
            actions.watchList();
        }
    }
}
