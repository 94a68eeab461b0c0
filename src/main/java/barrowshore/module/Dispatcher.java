// Part of the decision module; its whole interface is DispatchApi.java.
package barrowshore.module;

import barrowshore.budget.ColdWorkerBudget;
import barrowshore.halls.HallPolicy;
import barrowshore.halls.HallRules;
import barrowshore.halls.HallState;
import java.util.Arrays;
import java.util.List;

/**
 * Decides for one dispatcher: which worker gets a job, when to retry, hedge or refuse it. It normally sends a
 * job to the worker with the lowest current index. Owned and called by a single thread.
 */
public final class Dispatcher implements DispatchApi {
    /** Ticks between refreshes, before jitter; far shorter than a job. */
    private static final int REFRESH_PERIOD_TICKS = 16;
    /** Costs that differ by less than this share are a tie, broken at random. */
    private static final double TIE_SHARE = 0.05;
    /** The index policy's reward R (Berten and Gaujal) for a job of mean worth: its longest accepted wait. */
    private static final double MAX_WAIT_MEAN_TARGETS = 2;
    /** How long a worker that is silent or fails to connect gets no jobs, at its first strike. */
    static final double AVOIDANCE_CONNECT_TIMEOUTS = 4;
    /** Half-life of the fleet's load, in mean job times. */
    private static final double LOAD_HALF_LIFE_JOBS = 8;
    /** Weight of one job in a running mean. */
    private static final double MEAN_JOB_WEIGHT = 0.01;
    /** The most jobs that one job timed by a progress note may stand for. */
    private static final double MAX_PROGRESS_WEIGHT_JOBS = 4;
    /** Retry budget: retries that a request earns, and the most that may be saved up. */
    private static final double RETRIES_PER_REQUEST = 0.1, MAX_SAVED_RETRIES = 100;
    /** Running time beyond this share of the target costs extra, as it leaves little for waiting. */
    private static final double TIGHT_TARGET_SHARE = 0.6;
    /** Refreshes between two messages about the halls' states. */
    private static final int HALL_MESSAGE_REFRESHES = 6;
    /** Mean targets of delay that one point charged for crossing zones is worth. */
    private static final double CROSSING_MEAN_TARGETS_PER_POINT = 3;

    private final Settings settings;
    private final Actions actions;
    private final Rng rng;
    private final HallAdapter halls;
    private final WorkerList workers;
    private final OpenJobs openJobs;
    private final TrafficStats traffic;
    private final MachineKind[] kinds;
    private final PeerSlotExchange peerSlots;
    private final TenantQuotas quotas;
    private final TokenBucket retries = new TokenBucket(MAX_SAVED_RETRIES, MAX_SAVED_RETRIES / 10);
    private final WorkCounters workCounters = new WorkCounters();
    private ColdWorkerBudget.Terms coldTerms;
    private final FleetView fleet;
    private int listFailures, nextProbeIndex, refreshCount;
    private boolean awaitsList;

    /** Counts of the entries visited so far. */
    public WorkCounters workCounters() {
        return workCounters;
    }

    /** Copies the settings; call {@link #start} before anything else. */
    public Dispatcher(Settings initialSettings, Actions actionHandler) {
        this(initialSettings, actionHandler, new IndexTableCache());
    }

    /** Shares computed index tables with other dispatchers of the same thread. */
    public Dispatcher(Settings initialSettings, Actions actionHandler, IndexTableCache sharedTables) {
        initialSettings.validate();
        settings = initialSettings.copy();
        actions = actionHandler;
        rng = new Rng(initialSettings.seed);
        openJobs = new OpenJobs(settings.machineKinds);
        traffic = new TrafficStats(settings);
        halls = new HallAdapter(settings, actions, rng, traffic);
        workers = new WorkerList(halls);
        kinds = new MachineKind[settings.machineKinds];
        Arrays.setAll(kinds, k -> new MachineKind(traffic.meanWork));
        peerSlots = new PeerSlotExchange(settings.dispatchers, settings.ownIndex, workers, workCounters);
        fleet = new FleetView(
                settings,
                new FleetView.Sources(traffic, kinds, openJobs, workers),
                halls,
                peerSlots,
                sharedTables,
                rng,
                workCounters);
        quotas = new TenantQuotas(settings);
        applyClassesAndTenants();
    }

    /** Updates what depends on the configured classes and tenants. */
    private void applyClassesAndTenants() {
        traffic.applyClasses(kinds);
        quotas.applyQuotas();
        double meanTarget = settings.activeClasses().stream()
                .mapToLong(JobClass::targetMicros)
                .average()
                .orElse(0);
        coldTerms = ColdWorkerBudget.Terms.of(
                        settings.dispatchers,
                        settings.ownIndex,
                        settings.overloadWindowMicros,
                        settings.overloadMultiple,
                        meanTarget)
                .keepStartOf(coldTerms);
    }

    @Override
    public void start(long now) {
        coldTerms = coldTerms.startedAt(now);
        quotas.start(now);
        fleet.start(now);
        peerSlots.start(now);
        actions.setTimer((long) (REFRESH_PERIOD_TICKS * settings.tickMicros * (0.5 + rng.next())), "refresh");
        if (settings.pollsList) {
            watchWorkerList();
        }
    }

    private void watchWorkerList() {
        awaitsList = true;
        actions.watchList();
    }

    @Override
    public void list(long now, ListKind kind, List<Member> entries) {
        if (kind == ListKind.FAILED) {
            // Backs off, within the poll interval, so that a slow list service is not flooded with calls.
            double pollShare = Math.min(1 / 3.0, (1 << Math.min(++listFailures, 6)) / 40.0);
            actions.setTimer((long) (settings.listPollMicros * pollShare * (0.5 + rng.next())), "ask");
            awaitsList = true;
            return;
        }
        awaitsList &= kind == ListKind.INITIAL;
        listFailures = awaitsList ? listFailures : 0;
        entries.forEach(settings::check);
        // A worker that drains or is gone must get no further job.
        fleet.updateListed(now, workers.update(kind, entries, now, settings.ratingsReflectLoad));
        nextProbeIndex = (int) (rng.next() * workers.ready.length);
        refresh(now);
    }

    @Override
    public void request(long now, Request r) {
        settings.check(r);
        Job job = new Job(r, settings.classes[r.jobClass()], quotas.countsAsOverQuota(now, r.tenant()), now);
        openJobs.add(job);
        traffic.recordRequest(job, MEAN_JOB_WEIGHT);
        retries.add(RETRIES_PER_REQUEST);
        dispatch(now, job);
        if (settings.reportSource == ReportSource.PROBES && settings.mayProbe && workers.ready.length > 0) {
            // Load is reported only to probes: probe one worker per request, in turn, but never a cold one.
            nextProbeIndex = (nextProbeIndex + 1) % workers.ready.length;
            Worker worker = workers.ready[nextProbeIndex];
            if (worker.warmth >= 1 && now >= worker.downUntil) {
                actions.probe(worker.id);
            }
        }
    }

    /** Sends the job to the worker with the lowest index, or answers it if there is none. */
    private void dispatch(long now, Job job) {
        Worker worker = job.attempts.size() < settings.maxAttempts && now < job.dueAt ? pick(now, job) : null;
        if (worker == null) {
            refuseOrFail(now, job);
            return;
        }
        double wait = fleet.expectedQueueing(worker, job.slots);
        Job.Attempt attempt = openJobs.addAttempt(job, worker, now);
        attempt.expectedWait = wait;
        halls.recordSent(now, attempt, traffic.meanTarget);
        publishSlots(now, worker);
        // Extends the index policy: on a kind of machine that some class requires, the wait that a job causes
        // is charged by the worth of the jobs there, so that jobs that can go elsewhere do.
        kinds[worker.kind].meanWorth +=
                MEAN_JOB_WEIGHT * job.slots * (traffic.relativeWorth(job) - kinds[worker.kind].meanWorth);
        if (worker.warmth < 1) {
            worker.coldBudget.recordSent(now, coldTerms, traffic.budgetSlotWork(job));
        }
        fleet.updateCosts(now, worker);
        actions.send(job.id, worker.id, 0);
    }

    /** The cheapest worker in the halls open to the job, nearer tiers first where the rules ask for it. */
    private Worker pick(long now, Job job) {
        Worker best = null;
        for (int tier = 0; best == null && tier < halls.policy.tierRounds(); tier++) {
            best = cheapestEligible(now, job, halls.priceHalls(now, job, tier));
        }
        return best;
    }

    /** The eligible worker of lowest cost whose wait is not above the job's longest wait; null if none. */
    private Worker cheapestEligible(long now, Job job, double[] prices) {
        Worker best = null;
        double lowestCost = Double.POSITIVE_INFINITY;
        double crossingCost = CROSSING_MEAN_TARGETS_PER_POINT * settings.crossZoneCharge * traffic.meanTarget;
        // Extends the index policy: if the target grows with the job's work, slow running costs less than
        // waiting.
        double runningCost = job.expectedWork / (1 + job.jobClass.targetStretch());
        double target = job.jobClass.targetMicros() + job.jobClass.targetStretch() * job.expectedWork;
        // The index policy's reward R, scaled by the job's worth per unit of work. Above capacity a wait
        // delays all later jobs too, which a table computed for load 0.9 does not include.
        double maxWait = MAX_WAIT_MEAN_TARGETS
                * traffic.meanTarget
                * traffic.relativeWorth(job)
                / (fleet.overload() * fleet.overload());
        maxWait *= job.overQuota ? settings.overQuotaWorthShare : 1;
        workCounters.countPick(workers.ready.length);
        for (Worker worker : workers.ready) {
            double hallPrice = prices[worker.hall];
            if (hallPrice == HallPolicy.CLOSED
                    || hallPrice < 0 && !halls.mayUse(worker)
                    || worker.isAvoided(now)
                    || job.jobClass.kind() >= 0 && worker.kind != job.jobClass.kind()
                    || !mayRepeatAt(now, job, worker)) {
                continue;
            }
            MachineKind kind = kinds[worker.kind];
            double wait = job.slots > 1 ? fleet.waitCost(worker, job.slots - 1) : worker.waitCost;
            // Checked for each worker: where the cheapest is crowded, one in another zone may be free.
            if (wait > maxWait) {
                continue;
            }
            double pace = worker.speedAt(worker.takenSlots() + job.slots), runTime = job.expectedWork / pace;
            // A job that cannot end in time would only hold a slot; refused now, the client can go elsewhere.
            if (now + runTime > job.dueAt) {
                continue;
            }
            // A job that misses its target at a cold worker earns nothing; a refused one can be retried.
            if (worker.warmth < 1
                    && now + fleet.expectedQueueing(worker, job.slots) + runTime > job.arrivedAt + target) {
                continue;
            }
            double cost = runningCost / pace
                    + wait * (kind.requiredBySomeClass ? kind.meanWorth / traffic.relativeWorth(job) : 1);
            cost += Math.max(0, runTime - TIGHT_TARGET_SHARE * target);
            cost += worker.errorCost + crossingCost * HallPolicy.perServerPrice(hallPrice);
            cost *= 1 + TIE_SHARE * rng.next();
            if (cost < lowestCost
                    && (worker.warmth >= 1
                            || worker.coldBudgetAllows(
                                    now, kind.speed, traffic.budgetSlotWork(job), settings, coldTerms))) {
                lowestCost = cost;
                best = worker;
            }
        }
        return best;
    }

    /** Whether the job may run on this worker after its earlier attempts, without taking effect twice. */
    private boolean mayRepeatAt(long now, Job job, Worker worker) {
        JobClass type = job.jobClass;
        for (int i = 0; i < job.attempts.size(); i++) {
            Job.Attempt past = job.attempts.get(i);
            if (past.worker == worker || !past.neverRan && type.safety() == RepeatSafety.UNSAFE) {
                return false;
            }
            if (!past.neverRan && type.safety() == RepeatSafety.KEYED) {
                boolean isInSameDedupScope =
                        switch (type.scope()) {
                            case ALL -> true;
                            case ZONE -> worker.zone == past.worker.zone;
                            case CELL -> worker.cell == past.worker.cell;
                        };
                // The repeat must arrive within the window, even if connecting takes the whole time-out.
                if (!isInSameDedupScope
                        || now + settings.connectTimeoutMicros - past.sentAt >= type.repeatWindowMicros()) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Refuses the job if repeating it is harmless, else fails it; does nothing while an attempt is out. */
    private void refuseOrFail(long now, Job job) {
        if (job.openAttempts > 0) {
            return;
        }
        openJobs.markAnswered(job);
        halls.recordRefusal(now, job);
        if (!job.mayHaveRun
                || job.jobClass.safety() == RepeatSafety.SAFE
                || job.jobClass.safety() == RepeatSafety.KEYED && job.jobClass.scope() == DedupScope.ALL) {
            long delay = (long) Math.min(settings.maxRetryAfterMicros, traffic.meanWork * (1 + rng.next()));
            actions.refuse(job.id, delay);
        } else {
            actions.fail(job.id);
        }
    }

    @Override
    public void outcome(
            long now, String id, int attemptNumber, boolean closed, Status status, long latency, Load load) {
        Job.Attempt attempt = openJobs.openAttempt(id, attemptNumber);
        if (attempt == null) {
            return;
        }
        Job job = attempt.job;
        openJobs.endAttempt(attempt, status, now);
        publishSlots(now, attempt.worker);
        learnFromEnd(now, attempt, status, latency);
        applyLoadReport(now, attempt.worker, load);
        fleet.updateCosts(now, attempt.worker);
        // The budget keeps retries from amplifying an overload; a job that never ran is retried without it.
        boolean mayRetry = !closed
                && (status.neverRan() || status != Status.CANCELLED && retries.tryTake())
                && halls.mayRetry(now, job);
        if (closed || job.answered) {
            endRequest(job);
        } else if (mayRetry) {
            dispatch(now, job);
        } else {
            refuseOrFail(now, job);
        }
    }

    /** Ends the request: sends nothing more and cancels the attempts still out. */
    private void endRequest(Job job) {
        for (Job.Attempt attempt : job.attempts) {
            if (!attempt.ended && !job.answered && settings.mayCancel) {
                actions.cancel(job.id, attempt.number);
            }
        }
        openJobs.markAnswered(job);
    }

    private void learnFromEnd(long now, Job.Attempt attempt, Status status, long latency) {
        Worker worker = attempt.worker;
        // A reset may mean that a job of higher priority pushed this one out, not that the worker crashed.
        JobClass jobClass = attempt.job.jobClass;
        boolean mayBePreempted =
                jobClass.safety() == RepeatSafety.SAFE && jobClass.priority() < traffic.highestPriority;
        if (status == Status.ERROR) {
            worker.heardAt = now;
        }
        halls.recordEnd(now, attempt, status, mayBePreempted);
        if (status == Status.OK) {
            worker.recordServed(now);
            learnSpeed(now, attempt, latency);
        } else if (status == Status.ERROR || status == Status.RESET && !mayBePreempted) {
            worker.recordFailure();
        }
        if (status == Status.CONNECT_FAILED) {
            worker.recordStrike(now, AVOIDANCE_CONNECT_TIMEOUTS * settings.connectTimeoutMicros, rng);
        } else if (status == Status.TIMEOUT && worker.heardAt < attempt.sentAt && !worker.silent) {
            // The worker gave no sign at all between the sending and the time-out.
            worker.recordStrike(now, AVOIDANCE_CONNECT_TIMEOUTS * settings.connectTimeoutMicros, rng);
        } else if (status == Status.FULL) {
            worker.heardAt = now;
            // Until it frees a slot on average; jittered so that dispatchers do not return in unison.
            worker.fullUntil = now
                    + (long) (traffic.meanWork
                            / worker.speed
                            / worker.table.slots // mean time until a slot is free
                            * (0.5 + 2 * rng.next()));
        }
    }

    /**
     * Learns speeds from the job's running time: measured from its start note, else extrapolated from the
     * last progress note (long jobs have more of them, so they weigh less), else the whole latency, wait
     * included.
     */
    private void learnSpeed(long now, Job.Attempt attempt, long latency) {
        double runTime = Math.max(1, attempt.startedAt > 0 ? now - attempt.startedAt : latency), weight = 1;
        if (attempt.startedAt == 0 && settings.progressMicros > 0) {
            runTime = Math.max(1, (now - attempt.progressAt) / Math.max(0.01, 1 - attempt.progress));
            // A progress note in the tick of the answer would give an infinite speed.
            weight = attempt.progressAt == 0 || attempt.progressAt == now
                    ? 0
                    : Math.min(MAX_PROGRESS_WEIGHT_JOBS, Math.max(1, settings.progressMicros / runTime));
        }
        if (weight == 0 || attempt.worker.currentWarmth(now, settings) < 1) {
            return;
        }
        MachineKind kind = kinds[attempt.worker.kind];
        attempt.worker.recordRun(now, attempt.job.expectedWork * weight, runTime * weight, settings);
        traffic.recordRun(attempt.job, MEAN_JOB_WEIGHT * weight, runTime * kind.speed);
        kind.recordRun(
                Math.max(MEAN_JOB_WEIGHT, 1 / (5 + kind.jobCount)) * weight, // first jobs weigh more
                attempt.job.expectedWork,
                runTime);
    }

    private void applyLoadReport(long now, Worker worker, Load load) {
        if (load != null) {
            LoadReportReader.applyReport(
                    now,
                    worker,
                    kinds[worker.kind],
                    load,
                    traffic.meanSlotWork / traffic.meanWork,
                    LOAD_HALF_LIFE_JOBS * traffic.meanWork);
        }
    }

    @Override
    public void note(long now, String id, int attemptNumber, Note note, double share) {
        Job.Attempt attempt = openJobs.openAttempt(id, attemptNumber);
        if (attempt != null) {
            attempt.worker.heardAt = now;
            halls.policy.recordSignOfLife(now, attempt.worker.hallServer);
            attempt.startedAt = note == Note.STARTED ? now : attempt.startedAt;
            attempt.progressAt = note == Note.PROGRESS ? now : attempt.progressAt;
            attempt.progress = note == Note.PROGRESS ? share : attempt.progress;
        }
    }

    @Override
    public void clientGone(long now, String id) {
        if (openJobs.job(id) != null) {
            endRequest(openJobs.job(id));
        }
    }

    @Override
    public void probed(long now, String workerId, Status status, long latency, Load load) {
        Worker worker = workers.find(workerId);
        if (worker == null) {
            return;
        }
        if (status == Status.OK) {
            applyLoadReport(now, worker, load);
        }
        halls.recordProbe(now, worker, status);
    }

    /** Tells peers our slots in flight, so that they need not discover a full worker by waiting there. */
    private void publishSlots(long now, Worker worker) {
        fleet.scheduleVisit(worker, now);
        peerSlots.updateOwnSlots(worker);
        publishSlots(now);
    }

    private void publishSlots(long now) {
        byte[] message = settings.mayMessagePeers && settings.dispatchers > 1
                ? peerSlots.nextDatagram(now, traffic.meanWork)
                : null;
        if (message != null) {
            actions.sendToPeers(message);
        }
    }

    @Override
    public void peerMessage(long now, int from, byte[] message) {
        if (halls.policy.receive(now, from, message)) {
            return;
        }
        peerSlots.receive(now, from, message).forEach(w -> fleet.updateCosts(now, w));
    }

    @Override
    public void timerFired(long now, String token) {
        if (token.equals("refresh")) {
            refresh(now);
            if (settings.dispatchers > 1 && ++refreshCount % HALL_MESSAGE_REFRESHES == 0) {
                halls.sendStates(now);
            }
            publishSlots(now);
            actions.setTimer(
                    (long) (REFRESH_PERIOD_TICKS * settings.tickMicros * (0.75 + rng.next() / 2)), // jitter
                    "refresh");
        } else if (token.equals("ask") && awaitsList) {
            watchWorkerList();
        }
    }

    /** Refreshes all estimates, and hedges safe jobs whose attempt has given no sign in time. */
    private void refresh(long now) {
        for (Job job : fleet.refresh(now)) {
            if (settings.mayHedge
                    && job.jobClass.safety() == RepeatSafety.SAFE
                    && job.openAttempts == 1
                    && !job.answered
                    && retries.tryTake()
                    && halls.mayRetry(now, job)) {
                dispatch(now, job);
            }
        }
        halls.updateStates(now);
    }

    @Override
    public void changeHallRules(long now, HallRules rules) {
        halls.changeRules(now, rules);
        workers.all().forEach(w -> halls.updateListing(now, w));
        fleet.visitAllNext();
    }

    @Override
    public List<HallState> hallStates() {
        return halls.policy.states();
    }

    @Override
    public void changeSettings(long now, Settings next) {
        settings.copyReloadableFrom(next);
        applyClassesAndTenants();
        fleet.visitAllNext();
        refresh(now);
    }

    @Override
    public void setDispatcherShare(double part) {
        settings.dispatcherShare = part;
    }

    @Override
    public int countAvoided(long now) {
        return workers.countAvoided(now);
    }

    @Override
    public double spilledSlots(int hall) {
        return halls.policy.spilledSlots(hall);
    }
}
