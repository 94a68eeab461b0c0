package barrowshore.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * A model of one worker: cores, slots, a bounded queue (FIFO or with backfill), warm-up after a start, failure from
 * overload while cold, hangs, slowdown and draining. It owns each job from its offer to its single final callback, never
 * cancels one, and knows nothing of senders or transport. All time comes from a {@link Timeline}; not thread-safe.
 */
public final class WorkerModel {
    /**
     * Allowance for random arrivals: a cold worker fails above N + 3 sqrt(N) + 3 mean jobs in a window, where N is what
     * the overload limit allows.
     */
    private static final double RANDOM_ARRIVAL_ALLOWANCE = 3;
    /** An overload violates the senders' rule if more than this share of the work came from senders told of the start. */
    private static final double INFORMED_SHARE_OF_OVERLOAD = 2 / 3.0;

    /**
     * A worker's hardware. speed: of a core, relative to a standard core; queue: slots of work that may wait;
     * startCapacity: the share of its capacity right after a start; warmUpMicros: time until it has all of it.
     */
    public record Spec(
            int cores, double speed, double queue, boolean backfill, double startCapacity, long warmUpMicros) {}

    /**
     * What a cold worker fails from: work arriving at this multiple of its current capacity over the window. meanJobWork:
     * slots times work of the mean job.
     */
    public record OverloadLimit(double multiple, long windowMicros, double meanJobWork) {}

    /**
     * A job on a worker; its work is in microseconds at speed 1. Callbacks come in order, and the last one is done, failed,
     * returned or lost.
     */
    public interface Job {
        double slots();

        double work();

        /** Memory needed while it runs; a worker has one unit per core. */
        default double memory() {
            return 0;
        }

        /** Whether the sender had been told of the worker's latest start. */
        default boolean senderKnewOfRestart() {
            return true;
        }

        void started();

        void progress(double share);

        void done();

        void failed();

        /** Handed back without being started: the queue is full, or the worker is draining. */
        void returned();

        /** The worker's process died while holding it. */
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

    /** Creates a warm worker. progressIntervalMicros: time between progress callbacks; 0: none. */
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

    /** Whether it failed from overload while cold; it then never starts again. */
    public boolean hasFailedFromOverload() {
        return failedFromOverload;
    }

    /** Whether more than two thirds of the work that overloaded it came from senders that had been told of its start. */
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

    /** Slots of the jobs that wait or run. */
    public double occupiedAndWaitingSlots() {
        return waitingSlots + occupiedSlots();
    }

    /** Slots of the waiting jobs. */
    public double waitingSlots() {
        return waitingSlots;
    }

    /** Present capacity in cores at speed 1. */
    public double capacity() {
        return capacityShare(timeline.now()) * spec.cores() * spec.speed() / slowdown;
    }

    /** Number of waiting jobs. */
    public int waitingJobs() {
        return queue.size();
    }

    /** Speed that a slot would have if a one-slot job started in it now. */
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

    /** Highest ratio so far of work from informed senders in a window to what the cold worker fails above. */
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

    /** Share of full capacity at a time: grows linearly over the warm-up. */
    private double capacityShare(long at) {
        double share = (at - startedAt) / (double) spec.warmUpMicros();
        return share >= 1 ? 1 : spec.startCapacity() + (1 - spec.startCapacity()) * Math.max(0, share);
    }

    /**
     * The share of a core that each running slot gets. A cold worker has fewer cores, shared evenly, and not slower ones: a
     * single job runs at full speed.
     */
    private double coreShare(long at) {
        return Math.min(1, capacityShare(at) * spec.cores() / Math.max(1, occupiedSlots()));
    }

    /** The time from which there is a whole core for each slot that runs now. */
    private long fullSpeedTime() {
        double needed = Math.max(1, occupiedSlots()) / spec.cores();
        double share = (needed - spec.startCapacity()) / Math.max(1e-9, 1 - spec.startCapacity());
        return startedAt + (long) Math.ceil(spec.warmUpMicros() * Math.max(0, Math.min(1, share)));
    }

    /** Work that each slot does between two times if the running slots stay as they are. */
    private double workPerSlot(long from, long to) {
        if (hung || to <= from) {
            return 0;
        }
        long rampEnd = Math.max(from, Math.min(to, fullSpeedTime()));
        double rampTime = (rampEnd - from) * (coreShare(from) + coreShare(rampEnd)) / 2;
        return (rampTime + (to - rampEnd)) * spec.speed() / slowdown;
    }

    /** When a slot will have done that much work if the running slots stay as they are. */
    private long finishTime(long from, double work) {
        double needed = work * slowdown / spec.speed();
        long rampEnd = fullSpeedTime();
        if (from >= rampEnd) {
            return from + (long) Math.ceil(needed);
        }
        double untilRampEnd = (rampEnd - from) * (coreShare(from) + coreShare(rampEnd)) / 2;
        if (needed >= untilRampEnd) {
            return rampEnd + (long) Math.ceil(needed - untilRampEnd);
        }
        // The core share grows linearly: needed = a t + b t^2 / 2, solved for t.
        double a = coreShare(from), b = (coreShare(rampEnd) - a) / (rampEnd - from);
        return from + (long) Math.ceil((Math.sqrt(a * a + 2 * b * needed) - a) / b);
    }

    /** Takes, queues or returns a job that has arrived completely. */
    public void offer(Job job) {
        if (!up) {
            job.lost();
            return;
        }
        recordArrival(job);
        if (!up) {
            job.lost(); // this job overloaded the worker
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

    /**
     * Counts an arriving job, even one that is then returned, towards the overload limit; crashes if a cold worker
     * exceeds it.
     */
    private void recordArrival(Job job) {
        long now = timeline.now();
        double work = job.work() * job.slots();
        arrivals.add(new Arrival(now, work, job.senderKnewOfRestart()));
        arrivedWork += work;
        while (arrivals.peek().at() <= now - overloadLimit.windowMicros()) {
            arrivedWork -= arrivals.poll().work();
        }
        if (capacityShare(now) < 1) {
            double allowedJobs = overloadLimit.multiple()
                    * spec.cores()
                    * spec.speed()
                    * capacityShare(now)
                    * overloadLimit.windowMicros()
                    / overloadLimit.meanJobWork();
            double workLimit =
                    (allowedJobs + RANDOM_ARRIVAL_ALLOWANCE * Math.sqrt(allowedJobs) + RANDOM_ARRIVAL_ALLOWANCE)
                            * overloadLimit.meanJobWork();
            double workSinceStart = 0, informedWork = 0;
            for (Arrival arrival : arrivals) {
                workSinceStart += arrival.at() >= startedAt ? arrival.work() : 0;
                informedWork += arrival.at() >= startedAt && arrival.senderKnew() ? arrival.work() : 0;
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

    /** Starts waiting jobs that fit: from the head of the queue only, or any of them with backfill. */
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
                    break; // FIFO: nothing passes the first job
                }
            }
        }
    }

    /** Subtracts the work done since the last call from each running job. */
    private void updateProgress() {
        long now = timeline.now();
        double done = workPerSlot(progressUpdatedAt, now);
        for (RunningJob r : running) {
            r.remainingWork -= done;
        }
        progressUpdatedAt = now;
    }

    /** Plans completions after a job started (null: one ended): while cold, the number of jobs changes the speed of all. */
    private void rescheduleAfterChange(RunningJob started) {
        if (timeline.now() < startedAt + spec.warmUpMicros()) {
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

    /** From now on all work takes this many times as long. */
    public void setSlowdown(double factor) {
        updateProgress();
        slowdown = factor;
        rescheduleAll();
    }

    /**
     * While hung it accepts jobs, does no work and delivers no callback; afterwards it continues and delivers those
     * held.
     */
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

    /** While draining it finishes running jobs; waiting and new jobs are returned. */
    public void setDraining(boolean drain) {
        draining = drain;
        if (drain) {
            List<Job> waiting = List.copyOf(queue);
            queue.clear();
            waitingSlots = 0;
            waiting.forEach(job -> deliver(job::returned));
        }
    }

    /** The process dies: all its jobs are lost. */
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

    /** Starts the process again, cold. */
    public void restart() {
        if (failedFromOverload) {
            return; // a worker that failed from overload stays down
        }
        up = true;
        hung = false;
        draining = false;
        slowdown = 1;
        startedAt = timeline.now();
        progressUpdatedAt = startedAt;
    }
}
