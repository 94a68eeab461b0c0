// Part of the decision module; its whole interface is DispatchApi.java.
package barrowshore.module;

import barrowshore.budget.ColdWorkerBudget;
import barrowshore.module.DispatchApi.Settings;
import java.util.ArrayList;

/**
 * What one dispatcher knows of one worker: speed, jobs in flight, health, budget while cold. Owned by
 * WorkerList.
 */
final class Worker {
    /** Half-life of the statistics, in warm-up times: faults last about as long. */
    private static final double HALF_LIFE_WARM_UPS = 0.25;
    /** Errors that a worker counts as having had in one job before its first. */
    private static final double PRIOR_ERRORS = 0.01;

    final String id;
    /** Its number in the messages between dispatchers. */
    final int exchangeName;

    int kind, zone, cell, hall, strikes, slots;
    double rating;
    boolean listed, draining, silent;
    long startedAt, heardAt, silentAt, fullUntil, downUntil, reportedAt;
    /** Our attempts that have not ended. */
    final ArrayList<Job.Attempt> openAttempts = new ArrayList<>();

    double ownSlots, // of our open attempts
            abandonedSlots, // that cancelled or timed-out attempts of ours may still hold
            estimatedOtherSlots, // of silent dispatchers
            peerSlots, // that the other dispatchers have reported in messages
            reportedOtherSlots, // of other dispatchers, by the last load report
            meanOtherSlots, // decaying mean of the former
            meanOwnSlots, // decaying mean of our own and abandoned slots
            overdueMicros; // by which the most overdue job exceeds its expected running time

    final ArrayList<OpenJobs.AbandonedSlots> abandoned = new ArrayList<>(0);
    final ColdWorkerBudget coldBudget = new ColdWorkerBudget();
    /**
     * As of the last visit: speed, share of capacity, a job's wait including the wait it causes, error
     * cost.
     */
    double speed = 1, warmth = 1, waitCost, errorCost;

    IndexTable table;
    barrowshore.halls.HallServer hallServer;
    final WorkerStats stats = new WorkerStats();
    final WorkerContribution contribution = new WorkerContribution();

    Worker(String id) {
        this.id = id;
        this.exchangeName = barrowshore.exchange.SlotSnapshot.hashOf(id);
    }

    /** Forgets errors and time-outs from before a restart. */
    void clearAfterRestart(long now) {
        downUntil = 0;
        fullUntil = 0;
        reportedAt = 0;
        coldBudget.clear();
        stats.errorJobs = 0;
        stats.endedJobs = 0;
        strikes = 0;
        heardAt = now;
        silent = false;
    }

    /** Only served jobs clear strikes: a worker that fails fast or has crashed must not look cheap. */
    void recordServed(long now) {
        heardAt = now;
        stats.endedJobs++;
        downUntil = 0;
        strikes = 0;
    }

    /** Records the expected work at speed 1 and the running time of a served job. */
    void recordRun(long now, double work, double runTime, Settings settings) {
        stats.decay(now, HALF_LIFE_WARM_UPS * settings.warmUpMicros);
        stats.work += work;
        stats.runTime += runTime;
    }

    /** After a strike, a worker gets one job at a time until it serves one. */
    boolean isOnTrial() {
        return strikes > 0 && !openAttempts.isEmpty();
    }

    /** Whether it gets no job of any kind now. */
    boolean isAvoided(long now) {
        return silent || now < fullUntil || now < downUntil || isOnTrial();
    }

    void recordFailure() {
        stats.endedJobs++;
        stats.errorJobs++;
    }

    /** Decaying estimate of the share of jobs that fail here. */
    double errorShare(long now, Settings settings) {
        stats.decay(now, HALF_LIFE_WARM_UPS * settings.warmUpMicros);
        return (stats.errorJobs + PRIOR_ERRORS) / (stats.endedJobs + 1);
    }

    /**
     * Its speed, from its own jobs, overdue ones included, and a prior of priorJobs jobs at its kind's
     * speed.
     */
    double estimateSpeed(double kindSpeed, double meanWork, double priorJobs) {
        double priorWork = priorJobs * meanWork;
        return (priorWork + stats.work) / (priorWork / kindSpeed + stats.runTime + overdueMicros);
    }

    /** Slots in use, known and estimated. */
    double takenSlots() {
        return ownSlots + abandonedSlots + peerSlots + estimatedOtherSlots;
    }

    /** Share of the speed that each job gets with so many slots filled: a cold worker has fewer cores. */
    double speedShare(double filledSlots) {
        return warmth >= 1 ? 1 : Math.min(1, slots * warmth / Math.max(1, Math.min(slots, filledSlots)));
    }

    /** Speed of each job with so many slots filled. */
    double speedAt(double filledSlots) {
        return speed * speedShare(filledSlots);
    }

    /** Guaranteed share of its capacity: it grows at least linearly from the start capacity. */
    double currentWarmth(long now, Settings settings) {
        double share = startedAt > 0 ? Math.max(0, (now - startedAt) / (double) settings.warmUpMicros) : 1;
        return share >= 1 ? 1 : settings.startCapacity + (1 - settings.startCapacity) * share;
    }

    /** Whether the budget that all dispatchers share per window admits the job, so as not to overload it. */
    boolean coldBudgetAllows(
            long now, double kindSpeed, double slotWork, Settings settings, ColdWorkerBudget.Terms terms) {
        double budget = settings.dispatcherShare
                * settings.overloadMultiple
                * currentWarmth(now, settings)
                * slots
                * kindSpeed
                * settings.overloadWindowMicros;
        return coldBudget.allows(now, terms, id.hashCode(), budget, slotWork);
    }

    /**
     * Avoids it, twice as long at each strike in a row, capped; jittered so that dispatchers return apart.
     */
    void recordStrike(long now, double baseMicros, Rng rng) {
        double avoidedMicros = baseMicros * (1 << Math.min(strikes++, 4)) * (0.5 + rng.next());
        downUntil = Math.max(downUntil, now + (long) avoidedMicros);
    }
}
