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
    private static final double LOW_TABLE = 0.5, HIGH_TABLE = 0.9, SWITCH_UP = 0.7, SWITCH_DOWN = 0.5;
    /** Slots of a worker: until known; at most. */
    private static final int FIRST_SLOTS = 4, MAX_SLOTS = 48;
    /** Table depth in slots: none waits longer than that. */
    private static final int DEPTH = 6;
    /** Due times without a sign until a worker is silent; the largest share of workers that may be. */
    private static final double SILENT = 1.5, MAX_ASIDE = 0.4;
    /** Connect time-outs that a free worker may take to tell a start. */
    private static final double START = 2;
    /** Mean aims that an error costs: the job is lost or redone. */
    private static final double ERROR_COST = 3;
    /** Half-life of the fleet's load, in mean jobs. */
    private static final double LOAD_JOBS = 8;
    /** Weight of a fresh report, which came late; and how long, in half-lives of the load, until the level counts again. */
    private static final double TRUST = 0.3, FORGET = 8;
    /** Jobs that a kind's speed weighs against a worker's own: where work is known; where it is a guess. */
    private static final double PRIOR_JOBS = 3, PRIOR_GUESSED = 9;
    /** A fleet of that size is looked at whole in each refresh; of a larger one so many workers in turn. */
    private static final int SMALL_FLEET = 32, IN_TURN = 6;
    /** Looks at a cold worker in the time that it takes to get warm. */
    private static final int LOOKS_WHILE_COLD = 64;
    /** Share of the time that an overdue job has run until its worker is looked at again. */
    private static final double LOOK_AGAIN = 0.1;
    /** Rounds of the bisection for a level. */
    private static final int LEVEL_ROUNDS = 24;

    /** Workers of one kind and table, which the other dispatchers fill alike. */
    static final class SameShape {
        final int kind;
        final IndexTable table;
        int workers;
        /** Slots of the others at each. */
        double others;

        SameShape(int kind, IndexTable table) {
            this.kind = kind;
            this.table = table;
        }
    }

    /** What the dispatcher has counted itself: traffic, kinds of machines, open jobs, the list. */
    record Records(Traffic mean, Kind[] kinds, Ledger ledger, Roster roster) {}

    private record Shape(int kind, IndexTable table) {}

    /** A worker to look at again; void if its view names another time. */
    private record Look(long at, Worker worker) {}

    private final Settings set;
    private final Traffic mean;
    private final Kind[] kinds;
    private final Ledger ledger;
    private final Roster roster;
    private final HallSide halls;
    private final Peers peers;
    private final IndexTableCache tables;
    private final Rng rng;
    private final WorkCounters effort;

    private final PriorityQueue<Look> looks = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private final Map<Shape, SameShape> shapes = new HashMap<>();
    private final FleetLoad reported = new FleetLoad();
    private final Fade load = new Fade();
    private final int[] workersOfKind;
    private double capacity, told;
    private double loadOthers, othersLoad, loadAll, missing = 1, pressure = 1;
    private int silent, counted, nextInTurn;
    private boolean high, visitAll;
    private long refreshes, visits;

    FleetView(
            Settings set,
            Records records,
            HallSide halls,
            Peers peers,
            IndexTableCache tables,
            Rng rng,
            WorkCounters effort) {
        this.set = set;
        this.mean = records.mean;
        this.kinds = records.kinds;
        this.ledger = records.ledger;
        this.roster = records.roster;
        this.halls = halls;
        this.peers = peers;
        this.tables = tables;
        this.rng = rng;
        this.effort = effort;
        this.workersOfKind = new int[kinds.length];
    }

    void start(long now) {
        load.keep(now, 1);
    }

    /** The load of the fleet where it is over its capacity, against that; else 1. */
    double pressure() {
        return pressure;
    }

    /** The list has changed for these workers. */
    void listed(long now, Collection<Worker> workers) {
        for (Worker w : workers) {
            withdraw(w);
            peers.changed(w);
            if (w.listed) {
                lookAt(w, now);
            }
        }
        effort.listed(workers.size());
    }

    /** All workers are looked at in the next refresh, as what is believed of all has changed. */
    void visitAll() {
        visitAll = true;
    }

    /** The worker is looked at in the first refresh from then on. */
    void lookAt(Worker w, long at) {
        if (at < w.view.lookAt) {
            w.view.lookAt = at;
            looks.add(new Look(at, w));
        }
    }

    /**
     * Renews, at jittered intervals, what ages: overdue jobs, silence, the fleet's load and its parts. Returns the jobs with
     * an attempt that gave no sign in time.
     */
    List<Job> refresh(long now) {
        refreshes++;
        visits = 0;
        List<Job> late = new ArrayList<>();
        peers.expire(now).forEach(w -> price(now, w));
        missing = set.mayMessagePeers ? peers.missing(now) : 1;
        List<Worker> due = due(now);
        double keep = load.keep(now, LOAD_JOBS * mean.work);
        double bound = 0;
        for (double slots : ledger.named) {
            bound += slots;
        }
        double free = Math.max(0, ledger.slots - bound) * (set.dispatchers - 1);
        loadOthers = keep * loadOthers + (1 - keep) * free;
        loadAll = keep * loadAll + (1 - keep) * (told + ledger.slots * (1 + missing * (set.dispatchers - 1)));
        due.forEach(w -> visit(now, w, late));
        weigh();
        fill();
        for (Worker w : due) {
            w.others = others(now, w);
            price(now, w);
            lookAt(w, nextLook(now, w));
        }
        effort.refreshed(visits);
        return late;
    }

    /** The ready workers to look at now: those with something due, and some in turn. */
    private List<Worker> due(long now) {
        List<Worker> due = new ArrayList<>();
        while (!looks.isEmpty() && looks.peek().at <= now) {
            Look look = looks.poll();
            if (look.at == look.worker.view.lookAt) {
                look.worker.view.lookAt = Long.MAX_VALUE;
                include(look.worker, due);
            }
        }
        int inTurn = visitAll || roster.ready.length <= SMALL_FLEET ? roster.ready.length : IN_TURN;
        visitAll = false;
        for (int k = 0; k < inTurn; k++) {
            nextInTurn = nextInTurn + 1 < roster.ready.length ? nextInTurn + 1 : 0;
            include(roster.ready[nextInTurn], due);
        }
        return due;
    }

    private void include(Worker w, List<Worker> due) {
        if (w.listed && w.view.visitedIn != refreshes) {
            w.view.visitedIn = refreshes;
            due.add(w);
        }
    }

    /** Renews what is believed of one worker, and its part in the sums. */
    private void visit(long now, Worker w, List<Job> late) {
        visits++;
        Kind kind = kinds[w.kind];
        w.warmth = w.warmth(now, set);
        w.table = table(w);
        ledger.settle(now, w);
        peers.changed(w);
        double keep = w.view.usual.keep(now, LOAD_JOBS * mean.work);
        w.ownUsual = keep * w.ownUsual + (1 - keep) * (w.own + w.left);
        boolean due = signs(now, w, late);
        w.speed = w.speed(kind.speed, mean.work, mean.hinted ? PRIOR_JOBS : PRIOR_GUESSED);
        halls.see(now, w, kind.speed, due);
        silence(now, w, due);
        enter(now, w);
    }

    /** Sees how overdue the worker's jobs are, and whether a sign is; enters the jobs whose attempt gave none. */
    private boolean signs(long now, Worker w, List<Job> late) {
        boolean due = false;
        w.overdue = 0;
        for (int i = 0; i < w.out.size(); i++) {
            Job.Attempt a = w.out.get(i);
            double patience = patience(a);
            if (now - a.signAt() > patience) {
                late.add(a.job);
            }
            due |= now - Math.max(a.sentAt, w.heardAt) > patience;
            w.overdue = Math.max(w.overdue, now - a.beganAt() - expected(a));
        }
        return due;
    }

    /** Guards against machines that fall silent: their count would stand or drain and look cheap. */
    private void silence(long now, Worker w, boolean due) {
        boolean was = w.silent;
        int others = silent - (w.view.silent ? 1 : 0);
        w.silent = was
                ? w.heardAt <= w.silentAt && (!w.out.isEmpty() || now < w.downUntil)
                : due && others + 0.5 < MAX_ASIDE * roster.ready.length;
        if (w.silent && !was) {
            w.silentAt = now;
            w.strike(now, Dispatcher.ASIDE * set.connectTimeoutMicros, rng);
        }
    }

    /** Puts the worker's part into the sums in the place of what was there before. */
    private void enter(long now, Worker w) {
        WorkerView view = w.view;
        withdraw(w);
        view.counted = true;
        counted++;
        view.kind = w.kind;
        workersOfKind[w.kind]++;
        view.silent = w.silent;
        silent += w.silent ? 1 : 0;
        view.capacity = halls.open(w) ? w.slots * w.warmth : 0;
        capacity += view.capacity;
        view.sample = FleetLoad.Sample.of(now, w, 2 * mean.work);
        reported.replace(FleetLoad.Sample.NONE, view.sample);
        view.told = w.told;
        told += view.told;
        boolean out = w.silent || now < w.downUntil || !halls.open(w) || w.warmth < 1; // cold: in turns
        if (!out) {
            view.shape = shapes.computeIfAbsent(new Shape(w.kind, w.table), s -> new SameShape(s.kind(), s.table()));
            view.shape.workers++;
        }
    }

    private void withdraw(Worker w) {
        WorkerView view = w.view;
        if (!view.counted) {
            return;
        }
        view.counted = false;
        counted--;
        workersOfKind[view.kind]--;
        silent -= view.silent ? 1 : 0;
        capacity -= view.capacity;
        reported.replace(view.sample, FleetLoad.Sample.NONE);
        told -= view.told;
        if (view.shape != null && --view.shape.workers == 0) {
            shapes.remove(new Shape(view.shape.kind, view.shape.table));
        }
        view.shape = null;
    }

    /** Sets the fleet's load against its capacity. */
    private void weigh() {
        othersLoad = reported.others(loadOthers, set.dispatchers);
        double fleet = loadAll - missing * (loadOthers - othersLoad);
        pressure = Math.max(1, fleet / Math.max(1, capacity));
        boolean before = high;
        high = fleet > (high ? SWITCH_DOWN : SWITCH_UP) * capacity;
        visitAll |= high != before;
        double speed = 0;
        for (int k = 0; k < kinds.length; k++) {
            speed += counted == 0 ? 0 : kinds[k].speed * workersOfKind[k] / counted;
        }
        // Without hints only the product of work and speed is seen: hold the mean speed at 1.
        double scale = mean.hinted || speed <= 0 ? 1 : 1 / speed;
        mean.rescale(scale);
        for (Kind k : kinds) {
            k.rescale(scale);
        }
    }

    private IndexTable table(Worker w) {
        // Until reports tell, the rating is taken as the number of slots: the proportions matter most.
        double known = kinds[w.kind].slots > 0 ? kinds[w.kind].slots : w.rating > 1 ? w.rating : FIRST_SLOTS;
        w.slots = Math.max(1, Math.min(MAX_SLOTS, (int) Math.round(known)));
        int slots = Math.max(1, (int) (w.slots * w.warmth));
        return tables.get(slots, slots * DEPTH, high ? HIGH_TABLE : LOW_TABLE);
    }

    /** What one more mean job waits there and makes others wait: the index above an idle worker's. */
    double waiting(Worker w, double more) {
        double above = w.table.expected(w.held() - w.others + more, w.others) - w.table.idle();
        return above * mean.work / w.pace(1);
    }

    /** How long a job of so many slots is expected to wait there for its start. */
    double queueing(Worker w, double slots) {
        double over = Math.max(0, w.held() + slots - w.slots);
        return over / (w.slots * w.warmth) * mean.work / w.speed;
    }

    /** Renews what a job waits at the worker, and what errors there cost. */
    void price(long now, Worker w) {
        if (w.table == null) {
            return; // not looked at yet
        }
        if (w.view.counted) {
            told += w.told - w.view.told;
            w.view.told = w.told;
        }
        w.wait = waiting(w, 0);
        w.charge = w.errorShare(now, set) * ERROR_COST * mean.aim;
    }

    private double expected(Job.Attempt a) {
        return a.job.work / (kinds[a.worker.kind].speed * a.worker.share(a.worker.held()));
    }

    /** How long an attempt may go without a sign, where notes come at a start and then at intervals. */
    private double patience(Job.Attempt a) {
        if (!set.notesStart || set.progressMicros == 0) {
            return 4 * (a.wait + expected(a) + set.progressMicros);
        }
        return SILENT
                * (a.startedAt > 0
                        ? set.progressMicros
                        : a.wait + START * set.connectTimeoutMicros + (a.wait > 0 ? set.progressMicros : 0));
    }

    /** When the worker has to be looked at again: something of its jobs is due then, or grows with time. */
    private long nextLook(long now, Worker w) {
        if (w.silent) {
            return now;
        }
        double next = w.warmth < 1 ? now + set.warmUpMicros / LOOKS_WHILE_COLD : Long.MAX_VALUE;
        if (w.downUntil > now) {
            next = Math.min(next, w.downUntil);
        }
        for (Ledger.Left left : w.leftRunning) {
            next = Math.min(next, left.until());
        }
        for (int i = 0; i < w.out.size(); i++) {
            Job.Attempt a = w.out.get(i);
            double patience = patience(a), end = a.beganAt() + expected(a);
            next = Math.min(next, end > now ? end : now + LOOK_AGAIN * (now - a.beganAt()));
            next = Math.min(next, Math.max(a.sentAt, w.heardAt) + patience);
            next = a.job.out == 1 && !a.job.answered ? Math.min(next, a.signAt() + patience) : next;
        }
        return (long) Math.max(now, next);
    }

    /**
     * Spreads the others' load (own slots in flight times the other dispatchers) over the fleet as they do,
     * by the same tables: the level at which all indices are equal. Guards against herding: own counts near
     * zero look alike.
     */
    private void fill() {
        for (SameShape shape : shapes.values()) {
            shape.others = 0;
        }
        for (int k = 0; k < kinds.length; k++) {
            level(k, missing * ledger.named[k] * (set.dispatchers - 1));
        }
        level(-1, missing * othersLoad);
    }

    /** Adds so many slots of the others to the workers of a kind (-1: any), lowest index first. */
    private void level(int kind, double slots) {
        if (slots <= 0) {
            return;
        }
        double low = 0, high = 20 * (mean.aim + mean.work);
        for (int i = 0; i < LEVEL_ROUNDS; i++) {
            double mid = (low + high) / 2, sum = 0;
            for (SameShape shape : shapes.values()) {
                visits++;
                sum += kind < 0 || shape.kind == kind
                        ? shape.workers * Math.max(0, filled(shape, mid) - shape.others)
                        : 0;
            }
            low = sum > slots ? low : mid;
            high = sum > slots ? mid : high;
        }
        for (SameShape shape : shapes.values()) {
            if (kind < 0 || shape.kind == kind) {
                shape.others = Math.max(shape.others, filled(shape, low));
            }
        }
    }

    /** The others' view of a worker is the usual one: our own evidence of its speed is not theirs. */
    private double filled(SameShape shape, double level) {
        double rate = kinds[shape.kind].speed / mean.work;
        return shape.table.inverse(level * rate + (1 - mean.running) * shape.table.idle());
    }

    /**
     * Slots that silent dispatchers are expected to hold there. They need not spread as we would: what they usually hold
     * there counts above the level, and the last report counts a little, for about the time that a job takes.
     */
    private double others(long now, Worker w) {
        double others = w.view.shape == null ? 0 : w.view.shape.others;
        if (w.reportedAt == 0 || missing == 0) {
            return others;
        }
        double age = now - w.reportedAt, last = TRUST * Math.pow(0.5, age / (2 * mean.work));
        double held = w.usual + last * (w.reported - w.usual);
        return others + Math.pow(0.5, age / (FORGET * LOAD_JOBS * mean.work)) * (held - others);
    }
}
