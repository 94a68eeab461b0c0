package barrowshore.module;

import barrowshore.module.DispatchApi.Load;

/**
 * What a load report tells of a worker, whichever figures a site's reports have: the slots that others hold there, now
 * and usually, and how many slots a machine of its kind has. It decides nothing.
 */
final class LoadReader {
    /** Weight of a report in a kind's slots, and of one that shows fewer where only free ones are told. */
    private static final double LEARN = 0.05, FALL = 0.002;
    /** The same for room that a report shows by itself: few reports come where there are many schedulers. */
    private static final double FREE = 0.5;

    private LoadReader() {}

    /** A kind's slots from what one report shows; fall: the weight where it shows fewer. */
    private static void learn(Kind k, double seen, double fall) {
        k.slots += k.slots > 0 ? (seen > k.slots ? LEARN : fall) * (seen - k.slots) : seen;
    }

    /**
     * Enters a report; one without in-flight, free slots or a queue says nothing of use. What it shows is of a while ago,
     * and so is our part in it: that is taken as what we usually hold. Less what we hold now, a worker would look the
     * emptier the more we have just sent it, and get still more.
     */
    static void enter(long now, Worker w, Kind k, Load load, double slotsOfAJob, double halfLife) {
        boolean free = load.freeSlots() >= 0, count = load.inFlight() >= 0;
        double queue = load.queue() >= 0 ? load.queue() : 0, held;
        if (count) {
            held = load.inFlight() * slotsOfAJob - w.ownUsual;
            double running = load.inFlight() - queue;
            if (free && (load.queue() >= 0 || load.freeSlots() >= 0.5) || free && queue >= 1) {
                // Where no queue is told, it shows as in flight: only with a slot free is there none to speak of, but
                // for
                // what waits behind a wide job. So each counts for the one slot that it takes at least.
                learn(k, running + load.freeSlots(), LEARN);
            } else if (queue >= 1) {
                // A wide job at the head may leave slots empty: what runs is the least that there is.
                k.slots = k.slots > 0 ? k.slots : w.slots;
                learn(k, running * slotsOfAJob, FALL);
            }
        } else if (free) {
            // What is taken shows only against the whole: the most that was ever free beside what is known to run.
            double running = 0;
            for (Job.Attempt a : w.out) {
                running += a.startedAt > 0 ? a.job.slots : 0;
            }
            // A full one shows no more than what we run there: where the first report is such a one's, the kind has a
            // usual
            // worker's slots until it has shown more. What is free by itself is there, but for the reports' noise; what
            // we run
            // may have been counted as free when that was reported.
            k.slots = k.slots > 0 ? k.slots : load.queue() >= 1 ? w.slots : load.freeSlots() + running;
            k.slots += Math.max(0, load.freeSlots() - k.slots) * FREE;
            learn(k, load.freeSlots() + running, FALL);
            held = k.slots - load.freeSlots() + queue * slotsOfAJob - w.ownUsual;
        } else {
            return;
        }
        w.reported = Math.max(0, held);
        double keep = w.reportedAt > 0 ? Math.pow(0.5, (now - w.reportedAt) / halfLife) : 0;
        w.usual = keep * w.usual + (1 - keep) * w.reported;
        w.reportedAt = now;
    }
}
