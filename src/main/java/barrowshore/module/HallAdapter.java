package barrowshore.module;

import barrowshore.halls.HallPolicy;
import barrowshore.halls.HallRules;
import barrowshore.halls.HallServer;
import barrowshore.halls.Halls;
import barrowshore.module.DispatchApi.Actions;
import barrowshore.module.DispatchApi.RepeatSafety;
import barrowshore.module.DispatchApi.Settings;
import barrowshore.module.DispatchApi.Status;
import java.util.List;

/**
 * Translates between the decision module and {@link HallPolicy}: reports attempts and workers to it, and sends,
 * probes and logs what it returns. Owned by {@link Dispatcher}.
 */
final class HallAdapter {
    private static final double[] PRICES_WITHOUT_HALLS = {0, 1};

    HallPolicy policy;
    private final Settings settings;
    private final Actions actions;
    private final TrafficStats traffic;
    private final Rng rng;

    HallAdapter(Settings settings, Actions actions, Rng rng, TrafficStats traffic) {
        this.settings = settings;
        this.actions = actions;
        this.rng = rng;
        policy = settings.halls == null
                ? HallPolicy.OFF
                : new Halls(settings.halls, settings.dispatchers, settings.ownIndex, rng::next);
        this.traffic = traffic;
    }

    /** The job's worth relative to the mean job, at most 1, reduced if it is over quota. */
    private double relativeWorth(Job job) {
        return Math.min(1, traffic.relativeWorth(job)) * (job.overQuota ? settings.overQuotaWorthShare : 1);
    }

    /** Applies new rules, null: none; the halls keep their states if there were rules before. */
    void changeRules(long now, HallRules rules) {
        if (rules == null) {
            policy = HallPolicy.OFF;
        } else if (!policy.changeRules(rules)) {
            policy = new Halls(rules, settings.dispatchers, settings.ownIndex, rng::next);
        }
    }

    /** Reports a worker's list entry. */
    void updateListing(long now, Worker worker) {
        worker.hallServer = policy.serverFor(worker.id);
        worker.hall = policy != HallPolicy.OFF ? policy.hallOfZone(worker.zone) : worker.zone == settings.zone ? 0 : 1;
        policy.updateListing(now, worker.hallServer, worker.zone, worker.listed, worker.draining, worker.startedAt);
    }

    /** The job's price per hall, see {@link HallPolicy#priceHalls}; without halls: in our zone, and elsewhere. */
    double[] priceHalls(long now, Job job, int tier) {
        return policy == HallPolicy.OFF
                ? PRICES_WITHOUT_HALLS
                : policy.priceHalls(
                        now, job.slots, relativeWorth(job), job.jobClass.safety() == RepeatSafety.SAFE, tier);
    }

    boolean mayUse(Worker worker) {
        return policy.mayUse(worker.hallServer);
    }

    boolean isHallInUse(Worker worker) {
        return policy.isHallInUse(worker.hallServer);
    }

    void recordSent(long now, Job.Attempt attempt, double meanTarget) {
        policy.recordSent(now, attempt.worker.hallServer, attempt.job.slots, attempt.expectedWait / meanTarget);
    }

    /** Reports an attempt's end; mayBePreempted: a job of higher priority may have pushed it out. */
    void recordEnd(long now, Job.Attempt attempt, Status status, boolean mayBePreempted) {
        HallServer server = attempt.worker.hallServer;
        policy.recordEnd(now, server, attempt.sentAt, attempt.job.slots, status == Status.OK);
        if (status == Status.ERROR || status == Status.FULL) {
            policy.recordSignOfLife(now, server);
        } else if (status == Status.CONNECT_FAILED) {
            policy.recordFault(now, server, HallServer.Fault.UNREACHABLE);
        } else if (status == Status.RESET && !mayBePreempted) {
            policy.recordFault(now, server, HallServer.Fault.RESET);
        }
    }

    /**
     * Reports a worker's estimated capacity, bounded by its listed rating: load reports without a queue figure make
     * slots look more numerous while jobs wait, and a hall's limit must not grow with its load.
     */
    void updateCapacity(long now, Worker worker, double speed, boolean silent) {
        double slots = worker.rating > 1 ? Math.min(worker.rating, worker.slots) : worker.slots;
        policy.updateCapacity(now, worker.hallServer, slots * worker.warmth, speed, silent);
    }

    void recordRefusal(long now, Job job) {
        policy.recordRefusal(now, relativeWorth(job));
    }

    void recordProbe(long now, Worker worker, Status status) {
        if (status == Status.OK && policy.isHallTroubled(worker.hallServer)) {
            worker.heardAt = now; // it answers again, so one job may try it
            worker.downUntil = 0;
        }
        if (status != Status.NOT_SENT) {
            policy.recordProbe(now, worker.hallServer, status == Status.OK || status == Status.ERROR);
        }
    }

    /** Whether the hall of the job's last worker lets it be retried. */
    boolean mayRetry(long now, Job job) {
        return policy.mayRetry(now, job.attempts.get(job.attempts.size() - 1).worker.hallServer, relativeWorth(job));
    }

    void updateStates(long now) {
        List<String> changes = policy.updateStates(now, settings.mayProbe);
        changes.forEach(actions::log);
        policy.serversToProbe().forEach(actions::probe);
        if (!changes.isEmpty()) {
            sendStates(now);
        }
    }

    void sendStates(long now) {
        byte[] message = settings.mayMessagePeers ? policy.nextMessage(now) : null;
        if (message != null) {
            actions.sendToPeers(message);
        }
    }
}
