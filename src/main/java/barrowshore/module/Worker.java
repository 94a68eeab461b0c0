// Part of the decision module; its whole interface is DispatchApi.java.
package barrowshore.module;

import barrowshore.budget.ColdWorkerBudget;
import barrowshore.module.DispatchApi.Settings;
import java.util.ArrayList;

/** What one dispatcher knows of one worker: speed, jobs in flight, health, and its budget while cold. */
final class Worker {
    /** Own evidence halves in this share of the rules' warm-up time: troubles last about as long. */
    private static final double MEMORY = 0.25;
    /** Errors a worker is taken to have had in the one job before its first. */
    private static final double PRIOR_ERRORS = 0.01;

    final String id;
    /** Its name in what dispatchers tell one another. */
    final int name;

    int kind, zone, cell, hall, strikes, slots;
    double rating;
    boolean listed, draining, silent;
    long startedAt, heardAt, silentAt, fullUntil, downUntil, reportedAt;
    /** Our attempts that are out; their slots; others' slots: expected, told by them, reported; usual. */
    final ArrayList<Job.Attempt> out = new ArrayList<>();

    double own, left, others, told, reported, usual, ownUsual, overdue;
    final ArrayList<Ledger.Left> leftRunning = new ArrayList<>(0);
    final ColdWorkerBudget cold = new ColdWorkerBudget();
    /** As of the last refresh: speed, warm share, what a job waits and makes wait, cost of errors. */
    double speed = 1, warmth = 1, wait, charge;

    IndexTable table;
    barrowshore.halls.HallServer place;
    final Evidence seen = new Evidence();
    final WorkerView view = new WorkerView();

    Worker(String id) {
        this.id = id;
        this.name = barrowshore.exchange.SlotSnapshot.nameOf(id);
    }

    /** What was held against a worker is void once it has restarted. */
    void restarted(long now) {
        downUntil = 0;
        fullUntil = 0;
        reportedAt = 0;
        cold.clear();
        seen.errors = 0;
        seen.ends = 0;
        strikes = 0;
        heardAt = now;
        silent = false;
    }

    /** Only served jobs count as completions: a fast failer or a crashed worker must not look cheap. */
    void served(long now) {
        heardAt = now;
        seen.ends++;
        downUntil = 0;
        strikes = 0;
    }

    /** Evidence of speed: a job's expected work at speed 1, and how long it ran. */
    void ran(long now, double expected, double took, Settings set) {
        seen.fade(now, MEMORY * set.warmUpMicros);
        seen.work += expected;
        seen.took += took;
    }

    /** Struck and not yet heard to serve: one job at a time finds out. */
    boolean onTrial() {
        return strikes > 0 && !out.isEmpty();
    }

    /** Whether it gets nothing just now, whatever the job. */
    boolean aside(long now) {
        return silent || now < fullUntil || now < downUntil || onTrial();
    }

    void failed() {
        seen.ends++;
        seen.errors++;
    }

    /** The share of jobs that fail here, a decaying estimate. */
    double errorShare(long now, Settings set) {
        seen.fade(now, MEMORY * set.warmUpMicros);
        return (seen.errors + PRIOR_ERRORS) / (seen.ends + 1);
    }

    /** Speed from the kind's, as so many jobs weigh, its own served jobs, and how overdue those out are. */
    double speed(double usual, double meanWork, double jobs) {
        double prior = jobs * meanWork;
        return (prior + seen.work) / (prior / usual + seen.took + overdue);
    }

    /** Slots that are taken there, as far as is known or guessed. */
    double held() {
        return own + left + told + others;
    }

    /** The part of its speed that jobs get which fill so many slots: a cold worker has fewer cores. */
    double share(double filled) {
        return warmth >= 1 ? 1 : Math.min(1, slots * warmth / Math.max(1, Math.min(slots, filled)));
    }

    double pace(double filled) {
        return speed * share(filled);
    }

    /** The share of its capacity that it surely has: it grows no slower than evenly. */
    double warmth(long now, Settings set) {
        double share = startedAt > 0 ? Math.max(0, (now - startedAt) / (double) set.warmUpMicros) : 1;
        return share >= 1 ? 1 : set.startCapacity + (1 - set.startCapacity) * share;
    }

    /** Guards against pushing a cold worker over: a bound for all dispatchers together in any window. */
    boolean coldMay(long now, double usualSpeed, double size, Settings set, ColdWorkerBudget.Terms terms) {
        double whole = set.dispatcherShare
                * set.overloadMultiple
                * warmth(now, set)
                * slots
                * usualSpeed
                * set.overloadWindowMicros;
        return cold.allows(now, terms, id.hashCode(), whole, size);
    }

    /** Down: each strike doubles the time aside, jittered so that dispatchers do not return in unison. */
    void strike(long now, double base, Rng rng) {
        double time = base * (1 << Math.min(strikes++, 4)) * (0.5 + rng.next());
        downUntil = Math.max(downUntil, now + (long) time);
    }
}
