// The decisions of one dispatcher. The whole interface of this module is one small file: DispatchApi.java.
package barrowshore.module;

import barrowshore.budget.ColdWorkerBudget;
import barrowshore.halls.HallPolicy;
import barrowshore.halls.HallRules;
import barrowshore.halls.HallState;
import java.util.Arrays;
import java.util.List;

/** Picks, attempts, answers, refusals, fairness and the list. Ordinary path: the lowest current index. */
public final class Dispatcher implements DispatchApi {
    // Shares and multiples of told or learned figures, each with its reason.
    private static final int REFRESH_TICKS = 16; // between refreshes, before jitter: far under a job's time
    private static final double TIE = 0.05; // indices within this share are a tie, broken at random
    private static final double PATIENCE = 2; // mean aims that a job of mean worth is worth waiting: R
    static final double ASIDE = 4; // connect time-outs aside, at first, for a broken worker
    private static final double LOAD_JOBS = 8; // half-life of the fleet's load, in mean jobs
    private static final double LEARN = 0.01; // weight of a job in a mean
    private static final double MAX_WEIGHT = 4; // jobs that one noted job may count for
    private static final double RETRY_SHARE = 0.1, RETRIES_SAVED = 100; // repeats: a request; saved at most
    private static final double TIGHT = 0.6; // share of the aim in running from which each bit more costs
    private static final int HALLS_REFRESHES = 6; // refreshes between two tellings of the halls' states
    private static final double CROSSING = 3; // mean aims of delay worth a point for crossing zones

    private final Settings set;
    private final Actions act;
    private final Rng rng;
    private final HallSide halls; // which halls a job may go to; off unless the operators say so
    private final Roster roster;
    private final Ledger ledger;
    private final Traffic mean;
    private final Kind[] kinds;
    private final Peers peers;
    private final Quotas quotas;
    private final TokenBucket retries = new TokenBucket(RETRIES_SAVED, RETRIES_SAVED / 10);
    private final WorkCounters effort = new WorkCounters();
    private ColdWorkerBudget.Terms turns;
    private final FleetView fleet;
    private int askFailures, probeNext, refreshes;
    private boolean asking;

    /** What it has gone over so far. */
    public WorkCounters workCounters() {
        return effort;
    }

    /** A dispatcher that decides by the settings and orders through the actions; call start first. */
    public Dispatcher(Settings settings, Actions actions) {
        this(settings, actions, new IndexTableCache());
    }

    /** The same, with tables that other dispatchers of this thread may have worked out. */
    public Dispatcher(Settings settings, Actions actions, IndexTableCache shared) {
        settings.validate();
        set = settings.copy();
        act = actions;
        rng = new Rng(settings.seed);
        ledger = new Ledger(set.kinds);
        mean = new Traffic(set);
        halls = new HallSide(set, act, rng, mean);
        roster = new Roster(halls);
        kinds = new Kind[set.kinds];
        Arrays.setAll(kinds, k -> new Kind(mean.work));
        peers = new Peers(set.dispatchers, set.ownIndex, roster, effort);
        fleet = new FleetView(
                set, new FleetView.Records(mean, kinds, ledger, roster), halls, peers, shared, rng, effort);
        quotas = new Quotas(set);
        terms();
    }

    /** What follows from the classes and tenants. */
    private void terms() {
        mean.enter(kinds);
        quotas.enter();
        double aim = Arrays.stream(set.classes)
                .mapToLong(JobClass::targetMicros)
                .average()
                .orElse(0);
        turns = ColdWorkerBudget.Terms.of(
                        set.dispatchers, set.ownIndex, set.overloadWindowMicros, set.overloadMultiple, aim)
                .keepStartOf(turns);
    }

    @Override
    public void start(long now) {
        turns = turns.startedAt(now);
        quotas.start(now);
        fleet.start(now);
        peers.start(now);
        act.setTimer((long) (REFRESH_TICKS * set.tickMicros * (0.5 + rng.next())), "refresh");
        if (set.pollsList) {
            ask();
        }
    }

    private void ask() {
        asking = true;
        act.watchList();
    }

    @Override
    public void list(long now, ListKind how, List<Member> entries) {
        if (how == ListKind.FAILED) {
            // Guards against a storm of calls at a list service that is behind: back off inside askEvery.
            double share = Math.min(1 / 3.0, (1 << Math.min(++askFailures, 6)) / 40.0);
            act.setTimer((long) (set.listPollMicros * share * (0.5 + rng.next())), "ask");
            asking = true;
            return;
        }
        asking &= how == ListKind.INITIAL;
        askFailures = asking ? askFailures : 0;
        entries.forEach(set::check);
        // Rule: a worker that drains or is gone leaves at once.
        fleet.listed(now, roster.enter(how, entries, now, set.ratingsReflectLoad));
        probeNext = (int) (rng.next() * roster.ready.length);
        refresh(now);
    }

    @Override
    public void request(long now, Request r) {
        set.check(r);
        Job job = new Job(r, set.classes[r.jobClass()], quotas.over(now, r.tenant()), now);
        ledger.open(job);
        mean.enter(job, LEARN);
        retries.add(RETRY_SHARE);
        dispatch(now, job);
        if (set.reportSource == ReportSource.PROBES && set.mayProbe && roster.ready.length > 0) {
            // Where load is told only when asked: look at one worker a request, in turn; never at a cold one.
            probeNext = (probeNext + 1) % roster.ready.length;
            Worker w = roster.ready[probeNext];
            if (w.warmth >= 1 && now >= w.downUntil) {
                act.probe(w.id);
            }
        }
    }

    /** Sends the job to the lowest index, or answers it. */
    private void dispatch(long now, Job job) {
        Worker w = job.attempts.size() < set.maxAttempts && now < job.answerBy ? pick(now, job) : null;
        if (w == null) {
            answer(now, job);
            return;
        }
        double wait = fleet.queueing(w, job.slots);
        Job.Attempt a = ledger.enter(job, w, now);
        a.wait = wait;
        halls.sent(now, a, mean.aim);
        tell(now, w);
        // Departure, on kinds that a class names: there a job that could go elsewhere pays for those that
        // cannot, so the wait that it causes counts by their worth against its own.
        kinds[w.kind].worth += LEARN * job.slots * (mean.value(job) - kinds[w.kind].worth);
        if (w.warmth < 1) {
            w.cold.recordSent(now, turns, mean.surely(job));
        }
        fleet.price(now, w);
        act.send(job.id, w.id, 0);
    }

    /** The best worker in the halls that are open to the job, nearer ones first where the rules want that. */
    private Worker pick(long now, Job job) {
        Worker best = null;
        for (int tier = 0; best == null && tier < halls.gate.tierRounds(); tier++) {
            best = lowest(now, job, halls.weigh(now, job, tier));
        }
        return best;
    }

    /** The lowest current index among eligible workers where the wait is within the worth; null if none. */
    private Worker lowest(long now, Job job, double[] prices) {
        Worker best = null;
        double lowest = Double.POSITIVE_INFINITY;
        double crossing = CROSSING * set.crossZoneCharge * mean.aim;
        // Departure: where the aim grows with the job's own work, running slowly costs less than waiting.
        double running = job.work / (1 + job.jobClass.targetStretch());
        double budget = job.jobClass.targetMicros() + job.jobClass.targetStretch() * job.work;
        // The paper's R for this job, by its worth for each unit of work. Above capacity a wait is passed on
        // to all that follow, which a table of load 0.9 does not know.
        double worth = PATIENCE * mean.aim * mean.value(job) / (fleet.pressure() * fleet.pressure());
        worth *= job.overQuota ? set.overQuotaWorth : 1;
        effort.picked(roster.ready.length);
        for (Worker w : roster.ready) {
            double away = prices[w.hall];
            if (away == HallPolicy.CLOSED
                    || away < 0 && !halls.takes(w)
                    || w.aside(now)
                    || job.jobClass.kind() >= 0 && w.kind != job.jobClass.kind()
                    || !mayGo(now, job, w)) {
                continue;
            }
            Kind k = kinds[w.kind];
            double wait = job.slots > 1 ? fleet.waiting(w, job.slots - 1) : w.wait;
            // Not only the cheapest is asked: where that one is crowded, one across a border may not be.
            if (wait > worth) {
                continue;
            }
            double pace = w.pace(w.held() + job.slots), run = job.work / pace;
            // Refused at once it may be done elsewhere; sent, it would only take a slot until its time is up.
            if (now + run > job.answerBy) {
                continue;
            }
            // What misses its aim at a cold worker earns nothing; a rejection may be tried again.
            if (w.warmth < 1 && now + fleet.queueing(w, job.slots) + run > job.arrivedAt + budget) {
                continue;
            }
            double cost = running / pace + wait * (k.named ? k.worth / mean.value(job) : 1);
            cost += Math.max(0, run - TIGHT * budget); // little of the aim is left for waiting
            cost += w.charge + crossing * HallPolicy.perServerPrice(away);
            cost *= 1 + TIE * rng.next();
            if (cost < lowest && (w.warmth >= 1 || w.coldMay(now, k.speed, mean.surely(job), set, turns))) {
                lowest = cost;
                best = w;
            }
        }
        return best;
    }

    /** Whether the class allows the job at this worker after its earlier attempts (rule: no effect twice). */
    private boolean mayGo(long now, Job job, Worker w) {
        JobClass type = job.jobClass;
        for (int i = 0; i < job.attempts.size(); i++) {
            Job.Attempt a = job.attempts.get(i);
            if (a.worker == w || !a.neverRan && type.safety() == RepeatSafety.UNSAFE) {
                return false;
            }
            if (!a.neverRan && type.safety() == RepeatSafety.KEYED) {
                boolean group =
                        switch (type.scope()) {
                            case ALL -> true;
                            case ZONE -> w.zone == a.worker.zone;
                            case CELL -> w.cell == a.worker.cell;
                        };
                // It has to come within the window, and its connection may take its time to come up.
                if (!group || now + set.connectTimeoutMicros - a.sentAt >= type.repeatWindowMicros()) {
                    return false;
                }
            }
        }
        return true;
    }

    /** No worker for it: a refusal where known to be harmless, else a failure; none while a copy is out. */
    private void answer(long now, Job job) {
        if (job.out > 0) {
            return;
        }
        ledger.answered(job);
        halls.refused(now, job);
        if (!job.mayHaveRun
                || job.jobClass.safety() == RepeatSafety.SAFE
                || job.jobClass.safety() == RepeatSafety.KEYED && job.jobClass.scope() == DedupScope.ALL) {
            long delay = (long) Math.min(set.maxRetryAfterMicros, mean.work * (1 + rng.next()));
            act.refuse(job.id, delay); // told also where the site's clients may not heed it
        } else {
            act.fail(job.id);
        }
    }

    @Override
    public void outcome(
            long now, String id, int attempt, boolean closed, Status status, long latencyMicros, Load load) {
        Job.Attempt a = ledger.attempt(id, attempt);
        if (a == null) {
            return;
        }
        Job job = a.job;
        ledger.leave(a, status, now);
        tell(now, a.worker);
        learn(now, a, status, latencyMicros);
        reported(now, a.worker, load);
        fleet.price(now, a.worker);
        // The budget guards against retries that amplify an overload; what never ran may go on at once.
        boolean again = !closed
                && (status.neverRan() || status != Status.CANCELLED && retries.take())
                && halls.mayRepeat(now, job);
        if (closed || job.answered) {
            end(job);
        } else if (again) {
            dispatch(now, job);
        } else {
            answer(now, job);
        }
    }

    /** The request has ended: nothing more is sent; attempts still out are called back and awaited. */
    private void end(Job job) {
        for (Job.Attempt a : job.attempts) {
            if (!a.ended && !job.answered && set.mayCancel) {
                act.cancel(job.id, a.number);
            }
        }
        ledger.answered(job);
    }

    private void learn(long now, Job.Attempt a, Status status, long latency) {
        Worker w = a.worker;
        // Guards against taking a job pushed out by one of higher priority for a crash of the worker.
        JobClass type = a.job.jobClass;
        boolean pushed = type.safety() == RepeatSafety.SAFE && type.priority() < mean.topPriority;
        if (status == Status.ERROR) {
            w.heardAt = now;
        }
        halls.ended(now, a, status, pushed);
        if (status == Status.OK) {
            w.served(now);
            speed(now, a, latency);
        } else if (status == Status.ERROR || status == Status.RESET && !pushed) {
            w.failed();
        }
        if (status == Status.CONNECT_FAILED) {
            w.strike(now, ASIDE * set.connectTimeoutMicros, rng);
        } else if (status == Status.TIMEOUT && w.heardAt < a.sentAt && !w.silent) {
            w.strike(now, ASIDE * set.connectTimeoutMicros, rng); // not a word for all that time
        } else if (status == Status.FULL) {
            w.heardAt = now;
            // A full worker frees a slot about every 1/(s mu); jittered so that dispatchers come back apart.
            w.fullUntil = now + (long) (mean.work / w.speed / w.table.slots * (0.5 + 2 * rng.next()));
        }
    }

    /**
     * How long the job ran: since its start note; else from the share done at the last progress note, which
     * long jobs get more often (weighed back); only where no notes exist at all, with the wait in it.
     */
    private void speed(long now, Job.Attempt a, long latency) {
        double ran = Math.max(1, a.startedAt > 0 ? now - a.startedAt : latency), weight = 1;
        if (a.startedAt == 0 && set.progressMicros > 0) {
            ran = Math.max(1, (now - a.progressAt) / Math.max(0.01, 1 - a.progress));
            // Guards against an endless speed: a note in the tick of the answer tells nothing.
            weight = a.progressAt == 0 || a.progressAt == now
                    ? 0
                    : Math.min(MAX_WEIGHT, Math.max(1, set.progressMicros / ran));
        }
        if (weight == 0 || a.worker.warmth(now, set) < 1) {
            return;
        }
        Kind k = kinds[a.worker.kind];
        a.worker.ran(now, a.job.work * weight, ran * weight, set);
        mean.ran(a.job, LEARN * weight, ran * k.speed);
        k.ran(Math.max(LEARN, 1 / (5 + k.jobs)) * weight, a.job.work, ran);
    }

    private void reported(long now, Worker w, Load load) {
        if (load != null) {
            LoadReader.enter(now, w, kinds[w.kind], load, mean.size / mean.work, LOAD_JOBS * mean.work);
        }
    }

    @Override
    public void note(long now, String id, int number, Note note, double share) {
        Job.Attempt a = ledger.attempt(id, number);
        if (a != null) {
            a.worker.heardAt = now;
            halls.gate.recordSignOfLife(now, a.worker.place);
            a.startedAt = note == Note.STARTED ? now : a.startedAt;
            a.progressAt = note == Note.PROGRESS ? now : a.progressAt;
            a.progress = note == Note.PROGRESS ? share : a.progress;
        }
    }

    @Override
    public void clientGone(long now, String id) {
        if (ledger.job(id) != null) {
            end(ledger.job(id));
        }
    }

    @Override
    public void probed(long now, String worker, Status status, long latency, Load load) {
        Worker w = roster.worker(worker);
        if (w == null) {
            return;
        }
        if (status == Status.OK) {
            reported(now, w, load);
        }
        halls.probed(now, w, status);
    }

    /** Others are told what we have in flight, so that a full worker is not found out by waiting there. */
    private void tell(long now, Worker w) {
        fleet.lookAt(w, now);
        peers.changed(w);
        tell(now);
    }

    private void tell(long now) {
        byte[] message = set.mayMessagePeers && set.dispatchers > 1 ? peers.due(now, mean.work) : null;
        if (message != null) {
            act.sendToPeers(message);
        }
    }

    @Override
    public void peerMessage(long now, int from, byte[] message) {
        if (halls.gate.receive(now, from, message)) {
            return;
        }
        peers.heard(now, from, message).forEach(w -> fleet.price(now, w));
    }

    @Override
    public void timerFired(long now, String token) {
        if (token.equals("refresh")) {
            refresh(now);
            if (set.dispatchers > 1 && ++refreshes % HALLS_REFRESHES == 0) {
                halls.tell(now);
            }
            tell(now);
            act.setTimer((long) (REFRESH_TICKS * set.tickMicros * (0.75 + rng.next() / 2)), "refresh");
        } else if (token.equals("ask") && asking) {
            ask();
        }
    }

    /** Renews what ages; what may run twice does not wait for an attempt without a sign. */
    private void refresh(long now) {
        for (Job job : fleet.refresh(now)) {
            if (set.mayHedge
                    && job.jobClass.safety() == RepeatSafety.SAFE
                    && job.out == 1
                    && !job.answered
                    && retries.take()
                    && halls.mayRepeat(now, job)) {
                dispatch(now, job);
            }
        }
        halls.turn(now);
    }

    @Override
    public void changeHallRules(long now, HallRules rules) {
        halls.rules(now, rules);
        roster.all().forEach(w -> halls.enter(now, w));
        fleet.visitAll();
    }

    @Override
    public List<HallState> hallStates() {
        return halls.gate.states();
    }

    @Override
    public void changeSettings(long now, Settings next) {
        set.copyReloadableFrom(next);
        terms();
        fleet.visitAll();
        refresh(now);
    }

    @Override
    public void setDispatcherShare(double part) {
        set.dispatcherShare = part;
    }

    @Override
    public int countAvoided(long now) {
        return roster.avoided(now);
    }

    @Override
    public double spilledSlots(int hall) {
        return halls.gate.spilledSlots(hall);
    }
}
