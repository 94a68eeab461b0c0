package barrowshore.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * A model of one order node: cores, slots, a bounded queue served in order or by what fits, warm-up after a start,
 * falling over when too much comes while it is cold, pauses in which it takes work and answers nothing, slowness, and a
 * drain. Nothing that waits or runs is ever cancelled. It owns the jobs that it was offered, each until its one end, and
 * must never know who offered them or over what. Pure: time comes from a {@link Timeline}; not thread-safe.
 */
public final class WorkerModel {
    /** Chance: a cold node falls over above N + 3 sqrt(N) + 3 mean jobs in a window, N being what the limit allows. */
    private static final double RANDOM_ARRIVAL_ALLOWANCE = 3;
    /** The part of what pushed it over that must have come from senders who knew, for the rule to be broken. */
    private static final double INFORMED_SHARE_OF_OVERLOAD = 2 / 3.0;

    /**
     * What a node is. speed: of a core, against the standard one; queue: slots of work that may wait; coldFrom: the share
     * of its capacity at a start; coldTime: until it is warm, microseconds.
     */
    public record Spec(int cores, double speed, double queue, boolean backfill, double coldFrom, long coldTime) {}

    /** What pushes a cold node over: so many times its present capacity for so long. meanJob: work of a usual job. */
    public record OverloadLimit(double multiple, long window, double meanJob) {}

    /** A job on a node; work in microseconds at speed 1. The calls come in order, and the last one is one of four. */
    public interface Job {
        double slots();

        double work();

        /** Memory that it needs while it runs; a node has one unit for each core. */
        default double memory() {
            return 0;
        }

        /** Whether whoever sent it had been told that the node has just started. */
        default boolean senderKnewOfRestart() {
            return true;
        }

        void started();

        void progress(double share);

        void done();

        void failed();

        /** Handed back unstarted: the queue is full, or it drains. */
        void returned();

        /** The process died with it. */
        void lost();
    }

    private static final class RunningJob {
        final Job job;
        double remainingWork;
        int completionVersion;

        RunningJob(Job job) {
            this.job = job;
            this.remainingWork = job.work();
        }
    }

    private record Arrival(long at, double work, boolean senderKnew) {}

    private final Timeline timeline;
    private final Spec spec;
    private final OverloadLimit overloadLimit;
    private final long progressIntervalMicros;
    private final Deque<Job> queue = new ArrayDeque<>();
    private final List<RunningJob> running = new ArrayList<>();
    private final List<Runnable> heldCallbacks = new ArrayList<>();
    private final Deque<Arrival> arrivals = new ArrayDeque<>();
    private double arrivedWork;
    private boolean up = true;
    private boolean failedFromOverload, overloadedByInformedSenders;
    private boolean draining;
    private boolean hung;
    private double slowdown = 1;
    private long startedAt = Long.MIN_VALUE / 4;
    private long progressUpdatedAt;
    private double waitingSlots;
    private double coldBudgetUsed;
    private long served;

    /** A node that has been up for long. progressEvery: microseconds between notes of progress; 0: none. */
    public WorkerModel(Timeline timeline, Spec spec, OverloadLimit overloadLimit, long progressIntervalMicros) {
        this.timeline = timeline;
        this.spec = spec;
        this.overloadLimit = overloadLimit;
        this.progressIntervalMicros = progressIntervalMicros;
        this.progressUpdatedAt = timeline.now();
    }

    public boolean isUp() {
        return up;
    }

    /** Whether it fell over while cold. */
    public boolean hasFailedFromOverload() {
        return failedFromOverload;
    }

    /** Whether it fell over under what came from senders that knew of its start: two thirds of it, as the rule has it. */
    public boolean wasOverloadedByInformedSenders() {
        return overloadedByInformedSenders;
    }

    public boolean isHung() {
        return hung;
    }

    public Spec spec() {
        return spec;
    }

    public int jobCount() {
        return queue.size() + running.size();
    }

    /** Slots of what waits and runs. */
    public double occupiedAndWaitingSlots() {
        return waitingSlots + occupiedSlots();
    }

    /** Slots of the work that waits. */
    public double waitingSlots() {
        return waitingSlots;
    }

    /** What it can do now, in cores at speed 1. */
    public double capacity() {
        return capacityShare(timeline.now()) * spec.cores() * spec.speed() / slowdown;
    }

    /** How many jobs wait. */
    public int waitingJobs() {
        return queue.size();
    }

    /** How fast a slot runs that is filled now. */
    public double pace() {
        return Math.min(
                        1,
                        capacityShare(timeline.now())
                                * spec.cores()
                                / Math.max(1, Math.min(spec.cores(), occupiedSlots() + 1)))
                * spec.speed()
                / slowdown;
    }

    public double freeSlots() {
        return Math.max(0, spec.cores() - occupiedSlots());
    }

    /** The most that came while it was cold from senders who knew of it, against what would have pushed it over. */
    public double coldBudgetUsed() {
        return coldBudgetUsed;
    }

    public long served() {
        return served;
    }

    private double occupiedSlots() {
        double sum = 0;
        for (RunningJob r : running) {
            sum += r.job.slots();
        }
        return sum;
    }

    /** The share of its capacity that it has at a time. */
    private double capacityShare(long at) {
        double share = (at - startedAt) / (double) spec.coldTime();
        return share >= 1 ? 1 : spec.coldFrom() + (1 - spec.coldFrom()) * Math.max(0, share);
    }

    /**
     * The part of its speed that each running slot gets: while cold there are fewer cores than slots, shared evenly, so a
     * lone job runs as fast as ever.
     */
    private double coreShare(long at) {
        return Math.min(1, capacityShare(at) * spec.cores() / Math.max(1, occupiedSlots()));
    }

    /** From when on there is a whole core for each slot that runs now. */
    private long fullSpeedTime() {
        double needed = Math.max(1, occupiedSlots()) / spec.cores();
        double share = (needed - spec.coldFrom()) / Math.max(1e-9, 1 - spec.coldFrom());
        return startedAt + (long) Math.ceil(spec.coldTime() * Math.max(0, Math.min(1, share)));
    }

    /** Work that a slot does from one time to another, as many as now running. */
    private double workPerSlot(long from, long to) {
        if (hung || to <= from) {
            return 0;
        }
        long rampEnd = Math.max(from, Math.min(to, fullSpeedTime()));
        double rampTime = (rampEnd - from) * (coreShare(from) + coreShare(rampEnd)) / 2;
        return (rampTime + (to - rampEnd)) * spec.speed() / slowdown;
    }

    /** When a slot will have done so much from now on, as many as now running. */
    private long finishTime(long from, double amount) {
        double needed = amount * slowdown / spec.speed();
        long rampEnd = fullSpeedTime();
        if (from >= rampEnd) {
            return from + (long) Math.ceil(needed);
        }
        double untilRampEnd = (rampEnd - from) * (coreShare(from) + coreShare(rampEnd)) / 2;
        if (needed >= untilRampEnd) {
            return rampEnd + (long) Math.ceil(needed - untilRampEnd);
        }
        // the pace grows evenly: need = a t + b t^2 / 2
        double a = coreShare(from), b = (coreShare(rampEnd) - a) / (rampEnd - from);
        return from + (long) Math.ceil((Math.sqrt(a * a + 2 * b * needed) - a) / b);
    }

    /** A job's last byte has come. */
    public void offer(Job job) {
        if (!up) {
            job.lost();
            return;
        }
        recordArrival(job);
        if (!up) {
            job.lost(); // it was the one too many
            return;
        }
        if (draining
                || job.slots() > spec.cores()
                || job.memory() > spec.cores()
                || waitingSlots + job.slots() > spec.queue() && !canStartNow(job)) {
            deliver(job::returned);
            return;
        }
        queue.add(job);
        waitingSlots += job.slots();
        startWaitingJobs();
    }

    /** Every job that comes weighs, those that are turned away too. */
    private void recordArrival(Job job) {
        long now = timeline.now();
        double work = job.work() * job.slots();
        arrivals.add(new Arrival(now, work, job.senderKnewOfRestart()));
        arrivedWork += work;
        while (arrivals.peek().at() <= now - overloadLimit.window()) {
            arrivedWork -= arrivals.poll().work();
        }
        if (capacityShare(now) < 1) {
            double allowedJobs = overloadLimit.multiple()
                    * spec.cores()
                    * spec.speed()
                    * capacityShare(now)
                    * overloadLimit.window()
                    / overloadLimit.meanJob();
            double workLimit =
                    (allowedJobs + RANDOM_ARRIVAL_ALLOWANCE * Math.sqrt(allowedJobs) + RANDOM_ARRIVAL_ALLOWANCE)
                            * overloadLimit.meanJob();
            double workSinceStart = 0, informedWork = 0;
            for (Arrival a : arrivals) {
                workSinceStart += a.at() >= startedAt ? a.work() : 0;
                informedWork += a.at() >= startedAt && a.senderKnew() ? a.work() : 0;
            }
            coldBudgetUsed = Math.max(coldBudgetUsed, informedWork / workLimit);
            if (workSinceStart > workLimit) {
                failedFromOverload = true;
                overloadedByInformedSenders = informedWork > INFORMED_SHARE_OF_OVERLOAD * workSinceStart;
                crash();
            }
        }
    }

    private boolean canStartNow(Job job) {
        return queue.isEmpty() && hasRoom(job);
    }

    private boolean hasRoom(Job job) {
        double memory = 0;
        for (RunningJob r : running) {
            memory += r.job.memory();
        }
        return occupiedSlots() + job.slots() <= spec.cores() && memory + job.memory() <= spec.cores();
    }

    /** Starts what can start. */
    private void startWaitingJobs() {
        if (!up || hung) {
            return;
        }
        boolean startedOne = true;
        while (startedOne) {
            startedOne = false;
            for (Job job : queue) {
                if (hasRoom(job)) {
                    queue.remove(job);
                    waitingSlots = queue.isEmpty() ? 0 : waitingSlots - job.slots();
                    updateProgress();
                    RunningJob r = new RunningJob(job);
                    running.add(r);
                    deliver(job::started);
                    rescheduleAfterChange(r);
                    scheduleProgress(r);
                    startedOne = true;
                    break;
                }
                if (!spec.backfill()) {
                    break; // the first one waits until it fits
                }
            }
        }
    }

    /** Books what has been done since the last time. */
    private void updateProgress() {
        long now = timeline.now();
        double done = workPerSlot(progressUpdatedAt, now);
        for (RunningJob r : running) {
            r.remainingWork -= done;
        }
        progressUpdatedAt = now;
    }

    /** One more runs, or one less: while it is cold, that changes the pace of all. */
    private void rescheduleAfterChange(RunningJob started) {
        if (timeline.now() < startedAt + spec.coldTime()) {
            rescheduleAll();
        } else if (started != null) {
            scheduleCompletion(started);
        }
    }

    private void scheduleCompletion(RunningJob r) {
        int version = ++r.completionVersion;
        if (!hung) {
            timeline.runAt(finishTime(timeline.now(), Math.max(0, r.remainingWork)), () -> {
                if (version == r.completionVersion && up && running.contains(r)) {
                    updateProgress();
                    running.remove(r);
                    rescheduleAfterChange(null);
                    served++;
                    deliver(r.job::done);
                    startWaitingJobs();
                }
            });
        }
    }

    private void scheduleProgress(RunningJob r) {
        if (progressIntervalMicros > 0) {
            timeline.runAt(timeline.now() + progressIntervalMicros, () -> {
                if (up && running.contains(r)) {
                    if (!hung) {
                        updateProgress();
                        double share = Math.min(1, Math.max(0, 1 - r.remainingWork / r.job.work()));
                        deliver(() -> r.job.progress(share));
                    }
                    scheduleProgress(r);
                }
            });
        }
    }

    private void deliver(Runnable callback) {
        if (hung) {
            heldCallbacks.add(callback);
        } else {
            callback.run();
        }
    }

    private void rescheduleAll() {
        running.forEach(this::scheduleCompletion);
    }

    /** From now on everything takes so many times as long. */
    public void setSlowdown(double factor) {
        updateProgress();
        slowdown = factor;
        rescheduleAll();
    }

    /** It takes work and answers nothing, or goes on with what it has. */
    public void setHung(boolean hang) {
        updateProgress();
        hung = hang;
        rescheduleAll();
        if (!hang) {
            List<Runnable> callbacks = List.copyOf(heldCallbacks);
            heldCallbacks.clear();
            callbacks.forEach(Runnable::run);
            startWaitingJobs();
        }
    }

    /** It finishes what it runs, hands back what waits and takes nothing new; or takes work again. */
    public void setDraining(boolean drain) {
        draining = drain;
        if (drain) {
            List<Job> waiting = List.copyOf(queue);
            queue.clear();
            waitingSlots = 0;
            waiting.forEach(job -> deliver(job::returned));
        }
    }

    /** The process dies with all that it holds. */
    public void crash() {
        if (!up) {
            return;
        }
        updateProgress();
        up = false;
        List<Job> lost = new ArrayList<>(queue);
        running.forEach(r -> lost.add(r.job));
        queue.clear();
        running.clear();
        heldCallbacks.clear();
        waitingSlots = 0;
        lost.forEach(Job::lost);
    }

    /** The process starts again, cold. */
    public void restart() {
        if (failedFromOverload) {
            return; // what was pushed over stays down
        }
        up = true;
        hung = false;
        draining = false;
        slowdown = 1;
        startedAt = timeline.now();
        progressUpdatedAt = startedAt;
    }
}
