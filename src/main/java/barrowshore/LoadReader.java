package barrowshore;

import barrowshore.DispatchApi.Load;

/**
 * What a load report tells of a worker, whichever figures a site's reports have: the slots that others hold there, now
 * and usually, and how many slots a machine of its kind has. It decides nothing.
 */
final class LoadReader {
    /** Weight of a report in a kind's slots, and of one that shows fewer where only free ones are told. */
    private static final double LEARN = 0.05, FALL = 0.002;
    /** Weight of a report in what others usually hold. */
    private static final double USUAL = 0.15;

    private LoadReader() { }

    /** Enters a report; one without in-flight and free slots says nothing of use. */
    static void enter(long now, Worker w, Kind k, Load load) {
        boolean free = load.freeSlots() >= 0, count = load.inFlight() >= 0;
        double queue = load.queue() >= 0 ? load.queue() : 0, held;
        if (count) {
            held = load.inFlight() - w.out.size();
            double seen = load.inFlight() - queue + (free ? load.freeSlots() : 0);
            if (free || queue >= 1) {
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
            held = k.slots - load.freeSlots() + queue - w.own - w.left;
        } else {
            return;
        }
        w.reported = Math.max(0, held);
        w.usual += w.reportedAt > 0 ? USUAL * (w.reported - w.usual) : w.reported - w.usual;
        w.reportedAt = now;
    }
}
