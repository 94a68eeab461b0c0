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
    private static final double SLACK = 3;
    /** The part of what pushed it over that must have come from senders who knew, for the rule to be broken. */
    private static final double KNOWING = 2 / 3.0;

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

    private static final class Running {
        final Job job;
        double left;
        int plan;

        Running(Job job) {
            this.job = job;
            this.left = job.work();
        }
    }

    private record Arrival(long at, double size, boolean knowing) {}

    private final Timeline time;
    private final Spec spec;
    private final OverloadLimit falling;
    private final long progressEvery;
    private final Deque<Job> queue = new ArrayDeque<>();
    private final List<Running> running = new ArrayList<>();
    private final List<Runnable> unsaid = new ArrayList<>();
    private final Deque<Arrival> arrivals = new ArrayDeque<>();
    private double arrived;
    private boolean up = true;
    private boolean fallen, pushedOver;
    private boolean draining;
    private boolean hung;
    private double slowness = 1;
    private long bornAt = Long.MIN_VALUE / 4;
    private long settledAt;
    private double waitingSlots;
    private double coldUse;
    private long served;

    /** A node that has been up for long. progressEvery: microseconds between notes of progress; 0: none. */
    public WorkerModel(Timeline time, Spec spec, OverloadLimit falling, long progressEvery) {
        this.time = time;
        this.spec = spec;
        this.falling = falling;
        this.progressEvery = progressEvery;
        this.settledAt = time.now();
    }

    public boolean isUp() {
        return up;
    }

    /** Whether it fell over while cold. */
    public boolean hasFailedFromOverload() {
        return fallen;
    }

    /** Whether it fell over under what came from senders that knew of its start: two thirds of it, as the rule has it. */
    public boolean wasOverloadedByInformedSenders() {
        return pushedOver;
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
        return waitingSlots + used();
    }

    /** Slots of the work that waits. */
    public double waitingSlots() {
        return waitingSlots;
    }

    /** What it can do now, in cores at speed 1. */
    public double capacity() {
        return warmth(time.now()) * spec.cores() * spec.speed() / slowness;
    }

    /** How many jobs wait. */
    public int waitingJobs() {
        return queue.size();
    }

    /** How fast a slot runs that is filled now. */
    public double pace() {
        return Math.min(1, warmth(time.now()) * spec.cores() / Math.max(1, Math.min(spec.cores(), used() + 1)))
                * spec.speed()
                / slowness;
    }

    public double freeSlots() {
        return Math.max(0, spec.cores() - used());
    }

    /** The most that came while it was cold from senders who knew of it, against what would have pushed it over. */
    public double coldBudgetUsed() {
        return coldUse;
    }

    public long served() {
        return served;
    }

    private double used() {
        double sum = 0;
        for (Running r : running) {
            sum += r.job.slots();
        }
        return sum;
    }

    /** The share of its capacity that it has at a time. */
    private double warmth(long at) {
        double share = (at - bornAt) / (double) spec.coldTime();
        return share >= 1 ? 1 : spec.coldFrom() + (1 - spec.coldFrom()) * Math.max(0, share);
    }

    /**
     * The part of its speed that each running slot gets: while cold there are fewer cores than slots, shared evenly, so a
     * lone job runs as fast as ever.
     */
    private double pace(long at) {
        return Math.min(1, warmth(at) * spec.cores() / Math.max(1, used()));
    }

    /** From when on there is a whole core for each slot that runs now. */
    private long whole() {
        double needed = Math.max(1, used()) / spec.cores();
        double share = (needed - spec.coldFrom()) / Math.max(1e-9, 1 - spec.coldFrom());
        return bornAt + (long) Math.ceil(spec.coldTime() * Math.max(0, Math.min(1, share)));
    }

    /** Work that a slot does from one time to another, as many as now running. */
    private double work(long from, long to) {
        if (hung || to <= from) {
            return 0;
        }
        long bend = Math.max(from, Math.min(to, whole()));
        double cold = (bend - from) * (pace(from) + pace(bend)) / 2;
        return (cold + (to - bend)) * spec.speed() / slowness;
    }

    /** When a slot will have done so much from now on, as many as now running. */
    private long finish(long from, double amount) {
        double need = amount * slowness / spec.speed();
        long whole = whole();
        if (from >= whole) {
            return from + (long) Math.ceil(need);
        }
        double until = (whole - from) * (pace(from) + pace(whole)) / 2;
        if (need >= until) {
            return whole + (long) Math.ceil(need - until);
        }
        // the pace grows evenly: need = a t + b t^2 / 2
        double a = pace(from), b = (pace(whole) - a) / (whole - from);
        return from + (long) Math.ceil((Math.sqrt(a * a + 2 * b * need) - a) / b);
    }

    /** A job's last byte has come. */
    public void offer(Job job) {
        if (!up) {
            job.lost();
            return;
        }
        weigh(job);
        if (!up) {
            job.lost(); // it was the one too many
            return;
        }
        if (draining
                || job.slots() > spec.cores()
                || job.memory() > spec.cores()
                || waitingSlots + job.slots() > spec.queue() && !fits(job)) {
            say(job::returned);
            return;
        }
        queue.add(job);
        waitingSlots += job.slots();
        pump();
    }

    /** Every job that comes weighs, those that are turned away too. */
    private void weigh(Job job) {
        long now = time.now();
        double size = job.work() * job.slots();
        arrivals.add(new Arrival(now, size, job.senderKnewOfRestart()));
        arrived += size;
        while (arrivals.peek().at() <= now - falling.window()) {
            arrived -= arrivals.poll().size();
        }
        if (warmth(now) < 1) {
            double jobs = falling.multiple()
                    * spec.cores()
                    * spec.speed()
                    * warmth(now)
                    * falling.window()
                    / falling.meanJob();
            double limit = (jobs + SLACK * Math.sqrt(jobs) + SLACK) * falling.meanJob();
            double since = 0, knowing = 0;
            for (Arrival a : arrivals) {
                since += a.at() >= bornAt ? a.size() : 0;
                knowing += a.at() >= bornAt && a.knowing() ? a.size() : 0;
            }
            coldUse = Math.max(coldUse, knowing / limit);
            if (since > limit) {
                fallen = true;
                pushedOver = knowing > KNOWING * since;
                crash();
            }
        }
    }

    private boolean fits(Job job) {
        return queue.isEmpty() && room(job);
    }

    private boolean room(Job job) {
        double memory = 0;
        for (Running r : running) {
            memory += r.job.memory();
        }
        return used() + job.slots() <= spec.cores() && memory + job.memory() <= spec.cores();
    }

    /** Starts what can start. */
    private void pump() {
        if (!up || hung) {
            return;
        }
        boolean more = true;
        while (more) {
            more = false;
            for (Job job : queue) {
                if (room(job)) {
                    queue.remove(job);
                    waitingSlots = queue.isEmpty() ? 0 : waitingSlots - job.slots();
                    settle();
                    Running r = new Running(job);
                    running.add(r);
                    say(job::started);
                    planBeside(r);
                    note(r);
                    more = true;
                    break;
                }
                if (!spec.backfill()) {
                    break; // the first one waits until it fits
                }
            }
        }
    }

    /** Books what has been done since the last time. */
    private void settle() {
        long now = time.now();
        double done = work(settledAt, now);
        for (Running r : running) {
            r.left -= done;
        }
        settledAt = now;
    }

    /** One more runs, or one less: while it is cold, that changes the pace of all. */
    private void planBeside(Running fresh) {
        if (time.now() < bornAt + spec.coldTime()) {
            replan();
        } else if (fresh != null) {
            plan(fresh);
        }
    }

    private void plan(Running r) {
        int plan = ++r.plan;
        if (!hung) {
            time.runAt(finish(time.now(), Math.max(0, r.left)), () -> {
                if (plan == r.plan && up && running.contains(r)) {
                    settle();
                    running.remove(r);
                    planBeside(null);
                    served++;
                    say(r.job::done);
                    pump();
                }
            });
        }
    }

    private void note(Running r) {
        if (progressEvery > 0) {
            time.runAt(time.now() + progressEvery, () -> {
                if (up && running.contains(r)) {
                    if (!hung) {
                        settle();
                        double share = Math.min(1, Math.max(0, 1 - r.left / r.job.work()));
                        say(() -> r.job.progress(share));
                    }
                    note(r);
                }
            });
        }
    }

    private void say(Runnable word) {
        if (hung) {
            unsaid.add(word);
        } else {
            word.run();
        }
    }

    private void replan() {
        running.forEach(this::plan);
    }

    /** From now on everything takes so many times as long. */
    public void setSlowdown(double factor) {
        settle();
        slowness = factor;
        replan();
    }

    /** It takes work and answers nothing, or goes on with what it has. */
    public void setHung(boolean on) {
        settle();
        hung = on;
        replan();
        if (!on) {
            List<Runnable> words = List.copyOf(unsaid);
            unsaid.clear();
            words.forEach(Runnable::run);
            pump();
        }
    }

    /** It finishes what it runs, hands back what waits and takes nothing new; or takes work again. */
    public void setDraining(boolean on) {
        draining = on;
        if (on) {
            List<Job> waiting = List.copyOf(queue);
            queue.clear();
            waitingSlots = 0;
            waiting.forEach(job -> say(job::returned));
        }
    }

    /** The process dies with all that it holds. */
    public void crash() {
        if (!up) {
            return;
        }
        settle();
        up = false;
        List<Job> lost = new ArrayList<>(queue);
        running.forEach(r -> lost.add(r.job));
        queue.clear();
        running.clear();
        unsaid.clear();
        waitingSlots = 0;
        lost.forEach(Job::lost);
    }

    /** The process starts again, cold. */
    public void restart() {
        if (fallen) {
            return; // what was pushed over stays down
        }
        up = true;
        hung = false;
        draining = false;
        slowness = 1;
        bornAt = time.now();
        settledAt = bornAt;
    }
}
