package barrowshore.module;

import barrowshore.module.DispatchApi.Settings;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * What one dispatcher believes of the fleet: what each worker holds, can do and makes a job wait, and the sums over all of
 * them. Sums are kept up as workers change, and a worker is looked at when something about it is due: a sign, the end of a
 * job, a list entry. The rest ages slowly, and a few workers in turn are looked at in each refresh, so that the cost of a
 * refresh does not grow with the fleet. It decides nothing: {@link Dispatcher} does, by these figures.
 */
final class FleetView {
    /** Loads of the table sets (report, 4.4), and the loads at which to change over. */
    private static final double LOW_TABLE_LOAD = 0.5,
            HIGH_TABLE_LOAD = 0.9,
            SWITCH_UP_LOAD = 0.7,
            SWITCH_DOWN_LOAD = 0.5;
    /** Slots of a worker: until known; at most. */
    private static final int DEFAULT_SLOTS = 4, MAX_SLOTS = 48;
    /** Table depth in slots: none waits longer than that. */
    private static final int TABLE_JOBS_PER_SLOT = 6;
    /** Due times without a sign until a worker is silent; the largest share of workers that may be. */
    private static final double SILENT_AFTER_SIGN_INTERVALS = 1.5, MAX_SILENT_SHARE = 0.4;
    /** Connect time-outs that a free worker may take to tell a start. */
    private static final double START_CONNECT_TIMEOUTS = 2;
    /** Mean aims that an error costs: the job is lost or redone. */
    private static final double ERROR_COST_MEAN_TARGETS = 3;
    /** Half-life of the fleet's load, in mean jobs. */
    private static final double LOAD_HALF_LIFE_JOBS = 8;
    /** Weight of a fresh report, which came late; and how long, in half-lives of the load, until the level counts again. */
    private static final double FRESH_REPORT_WEIGHT = 0.3, REPORT_HALF_LIFE_LOADS = 8;
    /** Jobs that a kind's speed weighs against a worker's own: where work is known; where it is a guess. */
    private static final double KNOWN_WORK_PRIOR_JOBS = 3, UNKNOWN_WORK_PRIOR_JOBS = 9;
    /** A fleet of that size is looked at whole in each refresh; of a larger one so many workers in turn. */
    private static final int SMALL_FLEET_WORKERS = 32, VISITS_IN_TURN = 6;
    /** Looks at a cold worker in the time that it takes to get warm. */
    private static final int VISITS_WHILE_COLD = 64;
    /** Share of the time that an overdue job has run until its worker is looked at again. */
    private static final double OVERDUE_REVISIT_SHARE = 0.1;
    /** Rounds of the bisection for a level. */
    private static final int LEVEL_BISECTION_ROUNDS = 24;

    /** Workers of one kind and table, which the other dispatchers fill alike. */
    static final class WorkerGroup {
        final int kind;
        final IndexTable table;
        int workerCount;
        /** Slots of the others at each. */
        double otherSlots;

        WorkerGroup(int kind, IndexTable table) {
            this.kind = kind;
            this.table = table;
        }
    }

    /** What the dispatcher has counted itself: traffic, kinds of machines, open jobs, the list. */
    record Sources(TrafficStats traffic, MachineKind[] kinds, OpenJobs openJobs, WorkerList workerList) {}

    private record GroupKey(int kind, IndexTable table) {}

    /** A worker to look at again; void if its view names another time. */
    private record ScheduledVisit(long at, Worker worker) {}

    private final Settings settings;
    private final TrafficStats traffic;
    private final MachineKind[] kinds;
    private final OpenJobs openJobs;
    private final WorkerList workerList;
    private final HallAdapter halls;
    private final PeerSlotExchange peers;
    private final IndexTableCache tables;
    private final Rng rng;
    private final WorkCounters counters;

    private final PriorityQueue<ScheduledVisit> scheduledVisits =
            new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private final Map<GroupKey, WorkerGroup> groups = new HashMap<>();
    private final OthersLoadEstimate reportedLoad = new OthersLoadEstimate();
    private final DecayWeight loadDecay = new DecayWeight();
    private final int[] workersOfKind;
    private double capacity, peerSlots;
    private double extrapolatedOtherSlots, otherSlots, fleetSlots, silentPeerShare = 1, overload = 1;
    private int silentWorkers, countedWorkers, nextInTurn;
    private boolean isHighLoad, visitsAllNext;
    private long refreshes, visits;

    FleetView(
            Settings settings,
            Sources records,
            HallAdapter halls,
            PeerSlotExchange peers,
            IndexTableCache tables,
            Rng rng,
            WorkCounters counters) {
        this.settings = settings;
        this.traffic = records.traffic;
        this.kinds = records.kinds;
        this.openJobs = records.openJobs;
        this.workerList = records.workerList;
        this.halls = halls;
        this.peers = peers;
        this.tables = tables;
        this.rng = rng;
        this.counters = counters;
        this.workersOfKind = new int[kinds.length];
    }

    void start(long now) {
        loadDecay.nextKeepShare(now, 1);
    }

    /** The load of the fleet where it is over its capacity, against that; else 1. */
    double overload() {
        return overload;
    }

    /** The list has changed for these workers. */
    void updateListed(long now, Collection<Worker> workers) {
        for (Worker worker : workers) {
            removeFromSums(worker);
            peers.updateOwnSlots(worker);
            if (worker.listed) {
                scheduleVisit(worker, now);
            }
        }
        counters.countListUpdate(workers.size());
    }

    /** All workers are looked at in the next refresh, as what is believed of all has changed. */
    void visitAllNext() {
        visitsAllNext = true;
    }

    /** The worker is looked at in the first refresh from then on. */
    void scheduleVisit(Worker worker, long at) {
        if (at < worker.contribution.nextVisitAt) {
            worker.contribution.nextVisitAt = at;
            scheduledVisits.add(new ScheduledVisit(at, worker));
        }
    }

    /**
     * Renews, at jittered intervals, what ages: overdue jobs, silence, the fleet's load and its parts. Returns the jobs with
     * an attempt that gave no sign in time.
     */
    List<Job> refresh(long now) {
        refreshes++;
        visits = 0;
        List<Job> jobsWithoutSign = new ArrayList<>();
        peers.expireSilentPeers(now).forEach(w -> updateCosts(now, w));
        silentPeerShare = settings.mayMessagePeers ? peers.silentShare(now) : 1;
        List<Worker> due = takeDueWorkers(now);
        double keep = loadDecay.nextKeepShare(now, LOAD_HALF_LIFE_JOBS * traffic.meanWork);
        double boundSlots = 0;
        for (double slots : openJobs.ownSlotsBoundToKind) {
            boundSlots += slots;
        }
        double otherFreeSlots = Math.max(0, openJobs.ownSlots - boundSlots) * (settings.dispatchers - 1);
        extrapolatedOtherSlots = keep * extrapolatedOtherSlots + (1 - keep) * otherFreeSlots;
        fleetSlots = keep * fleetSlots
                + (1 - keep) * (peerSlots + openJobs.ownSlots * (1 + silentPeerShare * (settings.dispatchers - 1)));
        due.forEach(w -> visit(now, w, jobsWithoutSign));
        updateFleetLoad();
        spreadOtherSlots();
        for (Worker w : due) {
            w.estimatedOtherSlots = estimateOtherSlots(now, w);
            updateCosts(now, w);
            scheduleVisit(w, nextVisitAt(now, w));
        }
        counters.countRefresh(visits);
        return jobsWithoutSign;
    }

    /** The ready workers to look at now: those with something due, and some in turn. */
    private List<Worker> takeDueWorkers(long now) {
        List<Worker> due = new ArrayList<>();
        while (!scheduledVisits.isEmpty() && scheduledVisits.peek().at <= now) {
            ScheduledVisit visit = scheduledVisits.poll();
            if (visit.at == visit.worker.contribution.nextVisitAt) {
                visit.worker.contribution.nextVisitAt = Long.MAX_VALUE;
                addOnce(visit.worker, due);
            }
        }
        int inTurn = visitsAllNext || workerList.ready.length <= SMALL_FLEET_WORKERS
                ? workerList.ready.length
                : VISITS_IN_TURN;
        visitsAllNext = false;
        for (int k = 0; k < inTurn; k++) {
            nextInTurn = nextInTurn + 1 < workerList.ready.length ? nextInTurn + 1 : 0;
            addOnce(workerList.ready[nextInTurn], due);
        }
        return due;
    }

    private void addOnce(Worker worker, List<Worker> due) {
        if (worker.listed && worker.contribution.visitedInRefresh != refreshes) {
            worker.contribution.visitedInRefresh = refreshes;
            due.add(worker);
        }
    }

    /** Renews what is believed of one worker, and its part in the sums. */
    private void visit(long now, Worker worker, List<Job> jobsWithoutSign) {
        visits++;
        MachineKind kind = kinds[worker.kind];
        worker.warmth = worker.currentWarmth(now, settings);
        worker.table = tableFor(worker);
        openJobs.releaseEndedAbandoned(now, worker);
        peers.updateOwnSlots(worker);
        double keep = worker.contribution.ownSlotsDecay.nextKeepShare(now, LOAD_HALF_LIFE_JOBS * traffic.meanWork);
        worker.usualOwnSlots = keep * worker.usualOwnSlots + (1 - keep) * (worker.ownSlots + worker.abandonedSlots);
        boolean isSignDue = checkSigns(now, worker, jobsWithoutSign);
        worker.speed = worker.estimateSpeed(
                kind.speed, traffic.meanWork, traffic.mostlyHinted ? KNOWN_WORK_PRIOR_JOBS : UNKNOWN_WORK_PRIOR_JOBS);
        halls.updateCapacity(now, worker, kind.speed, isSignDue);
        updateSilence(now, worker, isSignDue);
        addToSums(now, worker);
    }

    /** Sees how overdue the worker's jobs are, and whether a sign is; enters the jobs whose attempt gave none. */
    private boolean checkSigns(long now, Worker worker, List<Job> jobsWithoutSign) {
        boolean isSignDue = false;
        worker.overdueMicros = 0;
        for (int i = 0; i < worker.openAttempts.size(); i++) {
            Job.Attempt attempt = worker.openAttempts.get(i);
            double signTimeout = signTimeout(attempt);
            if (now - attempt.lastSignAt() > signTimeout) {
                jobsWithoutSign.add(attempt.job);
            }
            isSignDue |= now - Math.max(attempt.sentAt, worker.heardAt) > signTimeout;
            worker.overdueMicros = Math.max(worker.overdueMicros, now - attempt.beganAt() - expectedRunTime(attempt));
        }
        return isSignDue;
    }

    /** Guards against machines that fall silent: their count would stand or drain and look cheap. */
    private void updateSilence(long now, Worker worker, boolean isSignDue) {
        boolean wasSilent = worker.silent;
        int otherSilentWorkers = silentWorkers - (worker.contribution.silent ? 1 : 0);
        worker.silent = wasSilent
                ? worker.heardAt <= worker.silentAt && (!worker.openAttempts.isEmpty() || now < worker.downUntil)
                : isSignDue && otherSilentWorkers + 0.5 < MAX_SILENT_SHARE * workerList.ready.length;
        if (worker.silent && !wasSilent) {
            worker.silentAt = now;
            worker.recordStrike(now, Dispatcher.AVOIDANCE_CONNECT_TIMEOUTS * settings.connectTimeoutMicros, rng);
        }
    }

    /** Puts the worker's part into the sums in the place of what was there before. */
    private void addToSums(long now, Worker worker) {
        WorkerContribution contribution = worker.contribution;
        removeFromSums(worker);
        contribution.isCounted = true;
        countedWorkers++;
        contribution.kind = worker.kind;
        workersOfKind[worker.kind]++;
        contribution.silent = worker.silent;
        silentWorkers += worker.silent ? 1 : 0;
        contribution.capacity = halls.isHallInUse(worker) ? worker.slots * worker.warmth : 0;
        capacity += contribution.capacity;
        contribution.sample = OthersLoadEstimate.Sample.of(now, worker, 2 * traffic.meanWork);
        reportedLoad.replace(OthersLoadEstimate.Sample.NONE, contribution.sample);
        contribution.peerSlots = worker.peerSlots;
        peerSlots += contribution.peerSlots;
        boolean isAvoided = worker.silent
                || now < worker.downUntil
                || !halls.isHallInUse(worker)
                || worker.warmth < 1; // cold: in turns
        if (!isAvoided) {
            contribution.group = groups.computeIfAbsent(
                    new GroupKey(worker.kind, worker.table), s -> new WorkerGroup(s.kind(), s.table()));
            contribution.group.workerCount++;
        }
    }

    private void removeFromSums(Worker worker) {
        WorkerContribution contribution = worker.contribution;
        if (!contribution.isCounted) {
            return;
        }
        contribution.isCounted = false;
        countedWorkers--;
        workersOfKind[contribution.kind]--;
        silentWorkers -= contribution.silent ? 1 : 0;
        capacity -= contribution.capacity;
        reportedLoad.replace(contribution.sample, OthersLoadEstimate.Sample.NONE);
        peerSlots -= contribution.peerSlots;
        if (contribution.group != null && --contribution.group.workerCount == 0) {
            groups.remove(new GroupKey(contribution.group.kind, contribution.group.table));
        }
        contribution.group = null;
    }

    /** Sets the fleet's load against its capacity. */
    private void updateFleetLoad() {
        otherSlots = reportedLoad.estimateOtherSlots(extrapolatedOtherSlots, settings.dispatchers);
        double slotsInUse = fleetSlots - silentPeerShare * (extrapolatedOtherSlots - otherSlots);
        overload = Math.max(1, slotsInUse / Math.max(1, capacity));
        boolean wasHighLoad = isHighLoad;
        isHighLoad = slotsInUse > (isHighLoad ? SWITCH_DOWN_LOAD : SWITCH_UP_LOAD) * capacity;
        visitsAllNext |= isHighLoad != wasHighLoad;
        double meanSpeed = 0;
        for (int k = 0; k < kinds.length; k++) {
            meanSpeed += countedWorkers == 0 ? 0 : kinds[k].speed * workersOfKind[k] / countedWorkers;
        }
        // Without hints only the product of work and speed is seen: hold the mean speed at 1.
        double scale = traffic.mostlyHinted || meanSpeed <= 0 ? 1 : 1 / meanSpeed;
        traffic.rescaleWork(scale);
        for (MachineKind k : kinds) {
            k.rescaleWork(scale);
        }
    }

    private IndexTable tableFor(Worker worker) {
        // Until reports tell, the rating is taken as the number of slots: the proportions matter most.
        double known = kinds[worker.kind].slots > 0
                ? kinds[worker.kind].slots
                : worker.rating > 1 ? worker.rating : DEFAULT_SLOTS;
        worker.slots = Math.max(1, Math.min(MAX_SLOTS, (int) Math.round(known)));
        int slots = Math.max(1, (int) (worker.slots * worker.warmth));
        return tables.get(slots, slots * TABLE_JOBS_PER_SLOT, isHighLoad ? HIGH_TABLE_LOAD : LOW_TABLE_LOAD);
    }

    /** What one more mean job waits there and makes others wait: the index above an idle worker's. */
    double waitCost(Worker worker, double moreSlots) {
        double aboveIdle = worker.table.expected(
                        worker.takenSlots() - worker.estimatedOtherSlots + moreSlots, worker.estimatedOtherSlots)
                - worker.table.idleIndex();
        return aboveIdle * traffic.meanWork / worker.speedAt(1);
    }

    /** How long a job of so many slots is expected to wait there for its start. */
    double expectedQueueing(Worker worker, double slots) {
        double slotsOver = Math.max(0, worker.takenSlots() + slots - worker.slots);
        return slotsOver / (worker.slots * worker.warmth) * traffic.meanWork / worker.speed;
    }

    /** Renews what a job waits at the worker, and what errors there cost. */
    void updateCosts(long now, Worker worker) {
        if (worker.table == null) {
            return; // not looked at yet
        }
        if (worker.contribution.isCounted) {
            peerSlots += worker.peerSlots - worker.contribution.peerSlots;
            worker.contribution.peerSlots = worker.peerSlots;
        }
        worker.waitCost = waitCost(worker, 0);
        worker.errorCost = worker.errorShare(now, settings) * ERROR_COST_MEAN_TARGETS * traffic.meanTarget;
    }

    private double expectedRunTime(Job.Attempt attempt) {
        return attempt.job.expectedWork
                / (kinds[attempt.worker.kind].speed * attempt.worker.speedShare(attempt.worker.takenSlots()));
    }

    /** How long an attempt may go without a sign, where notes come at a start and then at intervals. */
    private double signTimeout(Job.Attempt attempt) {
        if (!settings.notesStart || settings.progressMicros == 0) {
            return 4 * (attempt.expectedWait + expectedRunTime(attempt) + settings.progressMicros);
        }
        return SILENT_AFTER_SIGN_INTERVALS
                * (attempt.startedAt > 0
                        ? settings.progressMicros
                        : attempt.expectedWait
                                + START_CONNECT_TIMEOUTS * settings.connectTimeoutMicros
                                + (attempt.expectedWait > 0 ? settings.progressMicros : 0));
    }

    /** When the worker has to be looked at again: something of its jobs is due then, or grows with time. */
    private long nextVisitAt(long now, Worker worker) {
        if (worker.silent) {
            return now;
        }
        double next = worker.warmth < 1 ? now + settings.warmUpMicros / VISITS_WHILE_COLD : Long.MAX_VALUE;
        if (worker.downUntil > now) {
            next = Math.min(next, worker.downUntil);
        }
        for (OpenJobs.AbandonedSlots left : worker.abandoned) {
            next = Math.min(next, left.until());
        }
        for (int i = 0; i < worker.openAttempts.size(); i++) {
            Job.Attempt attempt = worker.openAttempts.get(i);
            double signTimeout = signTimeout(attempt), expectedEnd = attempt.beganAt() + expectedRunTime(attempt);
            next = Math.min(
                    next, expectedEnd > now ? expectedEnd : now + OVERDUE_REVISIT_SHARE * (now - attempt.beganAt()));
            next = Math.min(next, Math.max(attempt.sentAt, worker.heardAt) + signTimeout);
            next = attempt.job.openAttempts == 1 && !attempt.job.answered
                    ? Math.min(next, attempt.lastSignAt() + signTimeout)
                    : next;
        }
        return (long) Math.max(now, next);
    }

    /**
     * Spreads the others' load (own slots in flight times the other dispatchers) over the fleet as they do,
     * by the same tables: the level at which all indices are equal. Guards against herding: own counts near
     * zero look alike.
     */
    private void spreadOtherSlots() {
        for (WorkerGroup shape : groups.values()) {
            shape.otherSlots = 0;
        }
        for (int k = 0; k < kinds.length; k++) {
            fillToLevel(k, silentPeerShare * openJobs.ownSlotsBoundToKind[k] * (settings.dispatchers - 1));
        }
        fillToLevel(-1, silentPeerShare * otherSlots);
    }

    /** Adds so many slots of the others to the workers of a kind (-1: any), lowest index first. */
    private void fillToLevel(int kind, double slots) {
        if (slots <= 0) {
            return;
        }
        double low = 0, high = 20 * (traffic.meanTarget + traffic.meanWork);
        for (int i = 0; i < LEVEL_BISECTION_ROUNDS; i++) {
            double middle = (low + high) / 2, sum = 0;
            for (WorkerGroup shape : groups.values()) {
                visits++;
                sum += kind < 0 || shape.kind == kind
                        ? shape.workerCount * Math.max(0, slotsAtLevel(shape, middle) - shape.otherSlots)
                        : 0;
            }
            low = sum > slots ? low : middle;
            high = sum > slots ? middle : high;
        }
        for (WorkerGroup shape : groups.values()) {
            if (kind < 0 || shape.kind == kind) {
                shape.otherSlots = Math.max(shape.otherSlots, slotsAtLevel(shape, low));
            }
        }
    }

    /** The others' view of a worker is the usual one: our own evidence of its speed is not theirs. */
    private double slotsAtLevel(WorkerGroup shape, double level) {
        double rate = kinds[shape.kind].speed / traffic.meanWork;
        return shape.table.inverse(level * rate + (1 - traffic.meanInverseStretch) * shape.table.idleIndex());
    }

    /**
     * Slots that silent dispatchers are expected to hold there. They need not spread as we would: what they usually hold
     * there counts above the level, and the last report counts a little, for about the time that a job takes.
     */
    private double estimateOtherSlots(long now, Worker worker) {
        double levelSlots = worker.contribution.group == null ? 0 : worker.contribution.group.otherSlots;
        if (worker.reportedAt == 0 || silentPeerShare == 0) {
            return levelSlots;
        }
        double age = now - worker.reportedAt,
                reportWeight = FRESH_REPORT_WEIGHT * Math.pow(0.5, age / (2 * traffic.meanWork));
        double reportedSlots =
                worker.usualOtherSlots + reportWeight * (worker.reportedOtherSlots - worker.usualOtherSlots);
        return levelSlots
                + Math.pow(0.5, age / (REPORT_HALF_LIFE_LOADS * LOAD_HALF_LIFE_JOBS * traffic.meanWork))
                        * (reportedSlots - levelSlots);
    }
}
