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
 * The module's side of the decisions about halls: puts what happens to attempts and workers into the words of
 * {@link HallPolicy}, and carries out what a turn of the halls wants told, probed and logged. It decides nothing.
 */
final class HallSide {
    private static final double[] PLAIN = {0, 1};

    HallPolicy gate;
    private final Settings set;
    private final Actions act;
    private final Traffic mean;
    private final Rng rng;

    HallSide(Settings set, Actions act, Rng rng, Traffic mean) {
        this.set = set;
        this.act = act;
        this.rng = rng;
        gate = set.halls == null ? HallPolicy.OFF : new Halls(set.halls, set.dispatchers, set.ownIndex, rng::next);
        this.mean = mean;
    }

    /** What a job pays for the room it takes, against the usual job. */
    private double standing(Job job) {
        return Math.min(1, mean.value(job)) * (job.overQuota ? set.overQuotaWorth : 1);
    }

    /** New rules: halls keep their states where there were rules before. */
    void rules(long now, HallRules rules) {
        if (rules == null) {
            gate = HallPolicy.OFF;
        } else if (!gate.changeRules(rules)) {
            gate = new Halls(rules, set.dispatchers, set.ownIndex, rng::next);
        }
    }

    /** What the list says of a worker. */
    void enter(long now, Worker w) {
        w.place = gate.serverFor(w.id);
        w.hall = gate != HallPolicy.OFF ? gate.hallOfZone(w.zone) : w.zone == set.zone ? 0 : 1;
        gate.updateListing(now, w.place, w.zone, w.listed, w.draining, w.startedAt);
    }

    /** What a job pays in each hall, as {@link HallPolicy#priceHalls} has it; without halls: here, and elsewhere. */
    double[] weigh(long now, Job job, int tier) {
        return gate == HallPolicy.OFF
                ? PLAIN
                : gate.priceHalls(now, job.slots, standing(job), job.jobClass.safety() == RepeatSafety.SAFE, tier);
    }

    boolean takes(Worker w) {
        return gate.mayUse(w.place);
    }

    boolean open(Worker w) {
        return gate.isHallInUse(w.place);
    }

    void sent(long now, Job.Attempt a, double usualAim) {
        gate.recordSent(now, a.worker.place, a.job.slots, a.wait / usualAim);
    }

    /** What the end of an attempt says of its worker; pushed: it may have been put out for a more urgent one. */
    void ended(long now, Job.Attempt a, Status status, boolean pushed) {
        HallServer place = a.worker.place;
        gate.recordEnd(now, place, a.sentAt, a.job.slots, status == Status.OK);
        if (status == Status.ERROR || status == Status.FULL) {
            gate.recordSignOfLife(now, place);
        } else if (status == Status.CONNECT_FAILED) {
            gate.recordFault(now, place, HallServer.Fault.UNREACHABLE);
        } else if (status == Status.RESET && !pushed) {
            gate.recordFault(now, place, HallServer.Fault.RESET);
        }
    }

    /**
     * What the module believes of a worker. Reports that do not tell of a queue make it think of more slots than there
     * are while jobs wait, and a limit must not grow with the crowd: what the list says bounds it.
     */
    void see(long now, Worker w, double speed, boolean silent) {
        double slots = w.rating > 1 ? Math.min(w.rating, w.slots) : w.slots;
        gate.updateCapacity(now, w.place, slots * w.warmth, speed, silent);
    }

    void refused(long now, Job job) {
        gate.recordRefusal(now, standing(job));
    }

    void probed(long now, Worker w, Status status) {
        if (status == Status.OK && gate.isHallTroubled(w.place)) {
            w.heardAt = now; // it answers again: one job may find out the rest
            w.downUntil = 0;
        }
        if (status != Status.NOT_SENT) {
            gate.recordProbe(now, w.place, status == Status.OK || status == Status.ERROR);
        }
    }

    /** Whether the job may be tried again, as far as its last worker's hall is concerned. */
    boolean mayRepeat(long now, Job job) {
        return gate.mayRetry(now, job.attempts.get(job.attempts.size() - 1).worker.place, standing(job));
    }

    void turn(long now) {
        List<String> news = gate.updateStates(now, set.mayProbe);
        news.forEach(act::log);
        gate.serversToProbe().forEach(act::probe);
        if (!news.isEmpty()) {
            tell(now);
        }
    }

    void tell(long now) {
        byte[] message = set.mayMessagePeers ? gate.nextMessage(now) : null;
        if (message != null) {
            act.sendToPeers(message);
        }
    }
}
