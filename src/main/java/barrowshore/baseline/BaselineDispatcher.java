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
 * Textbook policies behind the module's own interface, to measure the module against: each chooses a worker by one plain
 * rule. They own the books that such a policy keeps, keep every rule of the platform (who may repeat what, drains, slow
 * starts), and send again what may go again; they never turn a job down that has a worker to go to. They must never be
 * put in service, nor lean on anything that the module knows. Pure: time and chance come from the caller.
 */
public final class BaselineDispatcher implements DispatchApi {
    /** The rules by which one is chosen. */
    public enum Policy {
        RANDOM,
        ROUND_ROBIN,
        LEAST_IN_FLIGHT,
        TWO_CHOICES,
        LEAST_RESPONSE_TIME,
        TRUE_STATE
    }

    /** A cost of sending a job of so many slots to a worker, of one who sees more than a scheduler does. */
    public interface OracleCost {
        double cost(String worker, double slots);
    }

    /** Weight of an answer in a worker's mean response time. */
    private static final double LEARN = 0.2;
    /** How long a worker that could not be reached gets nothing, in connect time-outs. */
    private static final double ASIDE = 4;
    /** A worker's usual slots until a report tells. */
    private static final double SLOTS = 4;

    /** What is known of one worker. */
    private static final class Known {
        final String id;
        Member member;
        double own, taken, response;
        long downUntil;

        Known(String id) {
            this.id = id;
        }
    }

    private record Sent(Known worker, long at, double slots) {}

    /** A job that is open, and where it went. */
    private static final class Open {
        final Request request;
        final JobClass type;
        final long answerBy;
        final List<Sent> sent = new ArrayList<>(1);
        final List<Boolean> neverRan = new ArrayList<>(1);

        Open(Request request, JobClass type, long answerBy) {
            this.request = request;
            this.type = type;
            this.answerBy = answerBy;
        }
    }

    private final Policy rule;
    private final Settings set;
    private final Actions act;
    private final DoubleSupplier chance;
    private final OracleCost sight;
    private final Map<String, Known> workers = new LinkedHashMap<>();
    private final Map<String, Open> jobs = new HashMap<>();
    private int next;
    private int probeNext;

    /** chance: numbers from 0 to 1; sight: for {@link Policy#TRUE_STATE} alone. */
    public BaselineDispatcher(
            Policy rule, Settings settings, Actions actions, DoubleSupplier chance, OracleCost sight) {
        this.rule = rule;
        this.set = settings;
        this.act = actions;
        this.chance = chance;
        this.sight = sight;
    }

    @Override
    public void start(long now) {
        if (set.pollsList) {
            act.watchList();
        }
    }

    @Override
    public void list(long now, ListKind kind, List<Member> entries) {
        if (kind == ListKind.FAILED) {
            act.setTimer((long) (set.listPollMicros / 40.0 * (0.5 + chance.getAsDouble())), "ask");
            return;
        }
        if (kind != ListKind.CHANGES) {
            workers.values().forEach(w -> w.member = null);
        }
        for (Member m : entries) {
            workers.computeIfAbsent(m.worker(), Known::new).member = m;
        }
    }

    @Override
    public void request(long now, Request request) {
        Open job = new Open(request, set.classes[request.jobClass()], now + request.timeLeftMicros());
        jobs.put(request.id(), job);
        dispatch(now, job);
        if (set.mayProbe
                && set.reportSource == ReportSource.PROBES
                && rule == Policy.TWO_CHOICES
                && !workers.isEmpty()) {
            List<Known> all = new ArrayList<>(workers.values());
            Known w = all.get(probeNext++ % all.size());
            if (ready(w) && warmth(now, w) >= 1) {
                act.probe(w.id);
            }
        }
    }

    private boolean ready(Known w) {
        return w.member != null && w.member.health() == Health.READY;
    }

    private double warmth(long now, Known w) {
        long since = w.member.startedAt();
        double share = since > 0 ? Math.max(0, (now - since) / (double) set.warmUpMicros) : 1;
        return share >= 1 ? 1 : set.startCapacity + (1 - set.startCapacity) * share;
    }

    private void dispatch(long now, Open job) {
        Known to = null;
        if (job.sent.size() < set.maxAttempts && now < job.answerBy) {
            List<Known> fit = new ArrayList<>();
            for (Known w : workers.values()) {
                // Slow start: a worker that is cold stands in for so much of a warm one, whatever the rule.
                if (ready(w) && now >= w.downUntil && mayGo(now, job, w) && chance.getAsDouble() < warmth(now, w)) {
                    fit.add(w);
                }
            }
            to = fit.isEmpty() ? null : choose(now, job, fit);
        }
        if (to == null) {
            answer(job);
            return;
        }
        job.sent.add(new Sent(to, now, job.request.slots()));
        job.neverRan.add(false);
        to.own += job.request.slots();
        act.send(job.request.id(), to.id, 0);
    }

    private Known choose(long now, Open job, List<Known> fit) {
        return switch (rule) {
            case RANDOM -> any(fit);
            case ROUND_ROBIN -> fit.get(next++ % fit.size());
            case LEAST_IN_FLIGHT -> least(fit, w -> w.own / weight(w));
            case TWO_CHOICES -> least(List.of(any(fit), any(fit)), w -> (w.own + w.taken) / weight(w));
            case LEAST_RESPONSE_TIME -> least(fit, w -> w.response * (1 + w.own) / weight(w));
            case TRUE_STATE -> least(fit, w -> sight.cost(w.id, job.request.slots()));
        };
    }

    private double weight(Known w) {
        return w.member.rating() > 0 ? w.member.rating() : 1;
    }

    private Known any(List<Known> of) {
        return of.get((int) (chance.getAsDouble() * of.size()));
    }

    /** The least by a measure; ties go by chance, or every scheduler would choose the same. */
    private Known least(List<Known> of, ToDoubleFunction<Known> measure) {
        Known best = null;
        double lowest = 0, ties = 0;
        for (Known w : of) {
            double cost = measure.applyAsDouble(w);
            if (best == null || cost < lowest) {
                best = w;
                lowest = cost;
                ties = 1;
            } else if (cost == lowest && chance.getAsDouble() * ++ties < 1) {
                best = w;
            }
        }
        return best;
    }

    private boolean mayGo(long now, Open job, Known w) {
        for (int i = 0; i < job.sent.size(); i++) {
            Sent s = job.sent.get(i);
            if (s.worker == w) {
                return false;
            }
            if (job.neverRan.get(i)) {
                continue;
            }
            boolean group = s.worker.member != null
                    && switch (job.type.scope()) {
                        case ALL -> true;
                        case ZONE -> s.worker.member.zone() == w.member.zone();
                        case CELL -> s.worker.member.cell() == w.member.cell();
                    };
            if (job.type.safety() == RepeatSafety.UNSAFE
                    || job.type.safety() == RepeatSafety.KEYED
                            && (!group || now - s.at >= job.type.repeatWindowMicros())) {
                return false;
            }
        }
        return true;
    }

    private void answer(Open job) {
        jobs.remove(job.request.id());
        boolean harmless = job.type.safety() == RepeatSafety.SAFE
                || job.type.safety() == RepeatSafety.KEYED && job.type.scope() == DedupScope.ALL
                || !job.neverRan.contains(false);
        if (harmless) {
            act.refuse(job.request.id(), Math.min(set.maxRetryAfterMicros, (long) (1e5 * (1 + chance.getAsDouble()))));
        } else {
            act.fail(job.request.id());
        }
    }

    @Override
    public void outcome(long now, String id, int attempt, boolean closed, Status status, long latency, Load load) {
        Open job = jobs.get(id);
        if (job == null) {
            return;
        }
        Sent sent = job.sent.get(attempt);
        Known w = sent.worker;
        w.own = Math.max(0, w.own - sent.slots);
        job.neverRan.set(attempt, status.neverRan());
        told(w, load);
        if (status == Status.OK) {
            w.response += (w.response == 0 ? 1 : LEARN) * (latency - w.response);
        } else if (status == Status.CONNECT_FAILED || status == Status.TIMEOUT) {
            w.downUntil = now + (long) (ASIDE * set.connectTimeoutMicros * (0.5 + chance.getAsDouble()));
        }
        if (closed) {
            jobs.remove(id);
        } else {
            dispatch(now, job);
        }
    }

    /** What a report tells is taken, whichever figures it has; our own jobs there are in it. */
    private void told(Known w, Load load) {
        if (load == null) {
            return;
        }
        double held = load.inFlight() >= 0
                ? load.inFlight()
                : (load.freeSlots() >= 0 ? Math.max(0, SLOTS - load.freeSlots()) : 0) + Math.max(0, load.queue());
        w.taken = Double.isNaN(held) ? 0 : Math.max(0, held - w.own);
    }

    @Override
    public void note(long now, String id, int attempt, Note note, double share) {}

    @Override
    public void clientGone(long now, String id) {
        Open job = jobs.remove(id);
        if (job != null) {
            for (int i = 0; i < job.sent.size(); i++) {
                job.sent.get(i).worker.own = Math.max(0, job.sent.get(i).worker.own - job.request.slots());
            }
        }
    }

    @Override
    public void probed(long now, String worker, Status status, long latency, Load load) {
        if (status == Status.OK && workers.get(worker) != null) {
            told(workers.get(worker), load);
        }
    }

    @Override
    public void peerMessage(long now, int from, byte[] message) {}

    @Override
    public void timerFired(long now, String token) {
        if (token.equals("ask")) {
            act.watchList();
        }
    }
}
