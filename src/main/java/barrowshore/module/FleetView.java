package barrowshore.module;

import barrowshore.module.DispatchApi.Settings;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * One dispatcher's estimates of each worker's load, speed and waiting time, and of the fleet's; owned by
 * {@link Dispatcher}, which decides by them. Sums over the fleet are updated per worker, and a refresh visits only the
 * workers with something due (a sign, the end of a job, a list entry) and a few others in turn, so that its cost does
 * not grow with the fleet.
 */
final class FleetView {
    /** Loads that index tables are computed for, and the fleet's loads at which to switch between them. */
    private static final double LOW_TABLE_LOAD = 0.5,
            HIGH_TABLE_LOAD = 0.9,
            SWITCH_UP_LOAD = 0.7,
            SWITCH_DOWN_LOAD = 0.5;
    /** Slots assumed for a worker until known, and at most. */
    private static final int DEFAULT_SLOTS = 4, MAX_SLOTS = 48;
    /** Length of an index table; no worker is given more jobs per slot. */
    private static final int TABLE_JOBS_PER_SLOT = 6;
    /**
     * Expected intervals between signs until a worker counts as silent; the largest share of ready workers that may.
     */
    private static final double SILENT_AFTER_SIGN_INTERVALS = 1.5, MAX_SILENT_SHARE = 0.4;
    /** How long a free worker may take to report a job's start. */
    private static final double START_CONNECT_TIMEOUTS = 2;
    /** Cost of an error, by which a job is lost or redone. */
    private static final double ERROR_COST_MEAN_TARGETS = 3;
    /** Half-life of the load means, in mean job times. */
    private static final double LOAD_HALF_LIFE_JOBS = 8;
    /** Weight of a new report, which describes the past; half-life of reports, in half-lives of the load. */
    private static final double FRESH_REPORT_WEIGHT = 0.3, REPORT_HALF_LIFE_LOADS = 8;
    /** Weight, in jobs, of the kind's speed in a worker's: with work known by hints, and without. */
    private static final double KNOWN_WORK_PRIOR_JOBS = 3, UNKNOWN_WORK_PRIOR_JOBS = 9;
    /** Fleets up to this size are visited whole in each refresh; of larger ones, this many workers in turn. */
    private static final int SMALL_FLEET_WORKERS = 32, VISITS_IN_TURN = 6;
    /** Visits to a cold worker over its warm-up time. */
    private static final int VISITS_WHILE_COLD = 64;
    /** Time until a worker with an overdue job is visited again, as a share of the job's time so far. */
    private static final double OVERDUE_REVISIT_SHARE = 0.1;
    /** Rounds of the bisection in {@link #fillToLevel}. */
    private static final int LEVEL_BISECTION_ROUNDS = 24;

    /** Workers of one kind and index table, which the other dispatchers are assumed to fill equally. */
    static final class WorkerGroup {
        final int kind;
        final IndexTable table;
        int workerCount;
        /** Slots that other dispatchers are estimated to hold at each of them. */
        double otherSlots;

        WorkerGroup(int kind, IndexTable table) {
            this.kind = kind;
            this.table = table;
        }
    }

    /** The dispatcher's own records that the estimates are made from. */
    record Sources(TrafficStats traffic, MachineKind[] kinds, OpenJobs openJobs, WorkerList workerList) {}

    private record GroupKey(int kind, IndexTable table) {}

    /** A visit due; ignored if the worker's {@code nextVisitAt} has changed. */
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
            Sources sources,
            HallAdapter halls,
            PeerSlotExchange peers,
            IndexTableCache tables,
            Rng rng,
            WorkCounters counters) {
        this.settings = settings;
        this.traffic = sources.traffic;
        this.kinds = sources.kinds;
        this.openJobs = sources.openJobs;
        this.workerList = sources.workerList;
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

    /** The fleet's load over its capacity, at least 1. */
    double overload() {
        return overload;
    }

    /** Follows list changes of these workers. */
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

    /** Makes the next refresh visit all workers, after a change that concerns them all. */
    void visitAllNext() {
        visitsAllNext = true;
    }

    /** Makes the first refresh at or after this time visit the worker. */
    void scheduleVisit(Worker worker, long at) {
        if (at < worker.contribution.nextVisitAt) {
            worker.contribution.nextVisitAt = at;
            scheduledVisits.add(new ScheduledVisit(at, worker));
        }
    }

    /**
     * Updates the estimates that change with time: overdue jobs, silent workers, the fleet's load. Returns the jobs
     * with an attempt that gave no sign in time.
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

    /** The ready workers to visit now: those with a visit due, and some in turn. */
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

    /** Updates the estimates for one worker, and its part in the sums. */
    private void visit(long now, Worker worker, List<Job> jobsWithoutSign) {
        visits++;
        MachineKind kind = kinds[worker.kind];
        worker.warmth = worker.currentWarmth(now, settings);
        worker.table = tableFor(worker);
        openJobs.releaseEndedAbandoned(now, worker);
        peers.updateOwnSlots(worker);
        double keep = worker.contribution.ownSlotsDecay.nextKeepShare(now, LOAD_HALF_LIFE_JOBS * traffic.meanWork);
        worker.meanOwnSlots = keep * worker.meanOwnSlots + (1 - keep) * (worker.ownSlots + worker.abandonedSlots);
        boolean isSignDue = checkSigns(now, worker, jobsWithoutSign);
        worker.speed = worker.estimateSpeed(
                kind.speed, traffic.meanWork, traffic.mostlyHinted ? KNOWN_WORK_PRIOR_JOBS : UNKNOWN_WORK_PRIOR_JOBS);
        halls.updateCapacity(now, worker, kind.speed, isSignDue);
        updateSilence(now, worker, isSignDue);
        addToSums(now, worker);
    }

    /** Whether a sign of the worker is overdue; sets how overdue its jobs are and collects those without a sign. */
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

    /** Marks a worker as silent: otherwise its falling job count would make a dead one look cheap. */
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

    /** Replaces the worker's part in the sums. */
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
                || worker.warmth < 1; // dispatchers take turns at cold workers
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

    /** Updates the overload, the choice of index tables and the scale of speeds. */
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
        // Without hints only the product of work and speed is known, so the mean speed is fixed at 1.
        double scale = traffic.mostlyHinted || meanSpeed <= 0 ? 1 : 1 / meanSpeed;
        traffic.rescaleWork(scale);
        for (MachineKind k : kinds) {
            k.rescaleWork(scale);
        }
    }

    private IndexTable tableFor(Worker worker) {
        // Until reports show the slots, the rating is used: the ratios between workers matter most.
        double known = kinds[worker.kind].slots > 0
                ? kinds[worker.kind].slots
                : worker.rating > 1 ? worker.rating : DEFAULT_SLOTS;
        worker.slots = Math.max(1, Math.min(MAX_SLOTS, (int) Math.round(known)));
        int slots = Math.max(1, (int) (worker.slots * worker.warmth));
        return tables.get(slots, slots * TABLE_JOBS_PER_SLOT, isHighLoad ? HIGH_TABLE_LOAD : LOW_TABLE_LOAD);
    }

    /** Waiting time that one more mean job has and causes there: its index less an idle worker's. */
    double waitCost(Worker worker, double moreSlots) {
        double aboveIdle = worker.table.expected(
                        worker.takenSlots() - worker.estimatedOtherSlots + moreSlots, worker.estimatedOtherSlots)
                - worker.table.idleIndex();
        return aboveIdle * traffic.meanWork / worker.speedAt(1);
    }

    /** Expected wait there until a job of so many slots starts. */
    double expectedQueueing(Worker worker, double slots) {
        double slotsOver = Math.max(0, worker.takenSlots() + slots - worker.slots);
        return slotsOver / (worker.slots * worker.warmth) * traffic.meanWork / worker.speed;
    }

    /** Updates the worker's cost of waiting and of errors. */
    void updateCosts(long now, Worker worker) {
        if (worker.table == null) {
            return; // not visited yet
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

    /** How long an attempt may go without a sign; shorter where start and progress notes are sent. */
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

    /** When to visit the worker again: the next time that something about it or its jobs is due. */
    private long nextVisitAt(long now, Worker worker) {
        if (worker.silent) {
            return now;
        }
        double next = worker.warmth < 1 ? now + settings.warmUpMicros / VISITS_WHILE_COLD : Long.MAX_VALUE;
        if (worker.downUntil > now) {
            next = Math.min(next, worker.downUntil);
        }
        for (OpenJobs.AbandonedSlots abandoned : worker.abandoned) {
            next = Math.min(next, abandoned.until());
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
     * Estimates the slots that silent dispatchers hold at each group, assuming that they route by the same tables
     * until all indices are equal. Without it dispatchers herd, as workers look alike to one with few jobs of its
     * own.
     */
    private void spreadOtherSlots() {
        for (WorkerGroup group : groups.values()) {
            group.otherSlots = 0;
        }
        for (int k = 0; k < kinds.length; k++) {
            fillToLevel(k, silentPeerShare * openJobs.ownSlotsBoundToKind[k] * (settings.dispatchers - 1));
        }
        fillToLevel(-1, silentPeerShare * otherSlots);
    }

    /**
     * Distributes the others' slots over workers of a kind (-1: any), lowest index first, by bisection of the level.
     */
    private void fillToLevel(int kind, double slots) {
        if (slots <= 0) {
            return;
        }
        double low = 0, high = 20 * (traffic.meanTarget + traffic.meanWork);
        for (int i = 0; i < LEVEL_BISECTION_ROUNDS; i++) {
            double middle = (low + high) / 2, sum = 0;
            for (WorkerGroup group : groups.values()) {
                visits++;
                sum += kind < 0 || group.kind == kind
                        ? group.workerCount * Math.max(0, slotsAtLevel(group, middle) - group.otherSlots)
                        : 0;
            }
            low = sum > slots ? low : middle;
            high = sum > slots ? middle : high;
        }
        for (WorkerGroup group : groups.values()) {
            if (kind < 0 || group.kind == kind) {
                group.otherSlots = Math.max(group.otherSlots, slotsAtLevel(group, low));
            }
        }
    }

    /** Slots at which a worker's index reaches the level, at its kind's speed: others have not seen our jobs there. */
    private double slotsAtLevel(WorkerGroup group, double level) {
        double rate = kinds[group.kind].speed / traffic.meanWork;
        return group.table.inverse(level * rate + (1 - traffic.meanInverseStretch) * group.table.idleIndex());
    }

    /**
     * Slots that silent dispatchers are expected to hold there. They may not route as assumed, so the mean of
     * reported slots outweighs the level, and the last report adds a little for about the length of a job.
     */
    private double estimateOtherSlots(long now, Worker worker) {
        double levelSlots = worker.contribution.group == null ? 0 : worker.contribution.group.otherSlots;
        if (worker.reportedAt == 0 || silentPeerShare == 0) {
            return levelSlots;
        }
        double age = now - worker.reportedAt,
                reportWeight = FRESH_REPORT_WEIGHT * Math.pow(0.5, age / (2 * traffic.meanWork));
        double reportedSlots =
                worker.meanOtherSlots + reportWeight * (worker.reportedOtherSlots - worker.meanOtherSlots);
        return levelSlots
                + Math.pow(0.5, age / (REPORT_HALF_LIFE_LOADS * LOAD_HALF_LIFE_JOBS * traffic.meanWork))
                        * (reportedSlots - levelSlots);
    }
}
