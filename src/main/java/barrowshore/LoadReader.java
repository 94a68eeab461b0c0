package barrowshore;

import barrowshore.DispatchApi.Load;

/**
 * What a load report tells of a worker, whichever figures a site's reports have: the slots that others hold there, now
 * and usually, and how many slots a machine of its kind has. It decides nothing.
 */
final class LoadReader {
    /** Weight of a report in a kind's slots, and of one that shows fewer where only free ones are told. */
    private static final double LEARN = 0.05, FALL = 0.002;
    private LoadReader() { }

    /**
     * Enters a report; one without in-flight and free slots says nothing of use. What it shows is of a while ago, and so
     * is our part in it: that is taken as what we usually hold. Less what we hold now, a worker would look the emptier
     * the more we have just sent it, and get still more.
     */
    static void enter(long now, Worker w, Kind k, Load load, double slotsOfAJob, double halfLife) {
        boolean free = load.freeSlots() >= 0, count = load.inFlight() >= 0;
        double queue = load.queue() >= 0 ? load.queue() : 0, held;
        if (count) {
            held = load.inFlight() * slotsOfAJob - w.ownUsual;
            double seen = load.inFlight() - queue + (free ? load.freeSlots() : 0);
            // Where no queue is told, it shows as in flight: only with a slot free is there none to speak of.
            if (free && (load.queue() >= 0 || load.freeSlots() >= 0.5) || queue >= 1) {
                k.slots += k.slots > 0 ? LEARN * (seen - k.slots) : seen;
            }
        } else if (free) {
            // What is taken shows only against the whole: the most that was ever free beside what is known to run.
            double running = 0;
            for (Job.Attempt a : w.out) {
                running += a.startedAt > 0 ? a.job.slots : 0;
            }
            double seen = load.freeSlots() + running;
            k.slots += k.slots > 0 ? (seen > k.slots ? LEARN : FALL) * (seen - k.slots) : seen;
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
