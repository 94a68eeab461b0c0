package barrowshore.module;

import barrowshore.module.DispatchApi.Load;

/**
 * What a load report tells of a worker, whichever figures a site's reports have: the slots that others hold there, now
 * and usually, and how many slots a machine of its kind has. It decides nothing.
 */
final class LoadReportReader {
    /** Weight of a report in a kind's slots, and of one that shows fewer where only free ones are told. */
    private static final double SLOTS_WEIGHT = 0.05, FEWER_SLOTS_WEIGHT = 0.002;
    /** The same for room that a report shows by itself: few reports come where there are many schedulers. */
    private static final double FREE_SLOTS_WEIGHT = 0.5;

    private LoadReportReader() {}

    /** A kind's slots from what one report shows; fall: the weight where it shows fewer. */
    private static void learnSlots(MachineKind kind, double seenSlots, double fewerWeight) {
        kind.slots += kind.slots > 0
                ? (seenSlots > kind.slots ? SLOTS_WEIGHT : fewerWeight) * (seenSlots - kind.slots)
                : seenSlots;
    }

    /**
     * Enters a report; one without in-flight, free slots or a queue says nothing of use. What it shows is of a while ago,
     * and so is our part in it: that is taken as what we usually hold. Less what we hold now, a worker would look the
     * emptier the more we have just sent it, and get still more.
     */
    static void applyReport(long now, Worker worker, MachineKind kind, Load load, double slotsPerJob, double halfLife) {
        boolean tellsFreeSlots = load.freeSlots() >= 0, tellsInFlight = load.inFlight() >= 0;
        double queue = load.queue() >= 0 ? load.queue() : 0, otherSlots;
        if (tellsInFlight) {
            otherSlots = load.inFlight() * slotsPerJob - worker.usualOwnSlots;
            double running = load.inFlight() - queue;
            if (tellsFreeSlots && (load.queue() >= 0 || load.freeSlots() >= 0.5) || tellsFreeSlots && queue >= 1) {
                // Where no queue is told, it shows as in flight: only with a slot free is there none to speak of, but
                // for
                // what waits behind a wide job. So each counts for the one slot that it takes at least.
                learnSlots(kind, running + load.freeSlots(), SLOTS_WEIGHT);
            } else if (queue >= 1) {
                // A wide job at the head may leave slots empty: what runs is the least that there is.
                kind.slots = kind.slots > 0 ? kind.slots : worker.slots;
                learnSlots(kind, running * slotsPerJob, FEWER_SLOTS_WEIGHT);
            }
        } else if (tellsFreeSlots) {
            // What is taken shows only against the whole: the most that was ever free beside what is known to run.
            double running = 0;
            for (Job.Attempt attempt : worker.openAttempts) {
                running += attempt.startedAt > 0 ? attempt.job.slots : 0;
            }
            // A full one shows no more than what we run there: where the first report is such a one's, the kind has a
            // usual
            // worker's slots until it has shown more. What is free by itself is there, but for the reports' noise; what
            // we run
            // may have been counted as free when that was reported.
            kind.slots = kind.slots > 0 ? kind.slots : load.queue() >= 1 ? worker.slots : load.freeSlots() + running;
            kind.slots += Math.max(0, load.freeSlots() - kind.slots) * FREE_SLOTS_WEIGHT;
            learnSlots(kind, load.freeSlots() + running, FEWER_SLOTS_WEIGHT);
            otherSlots = kind.slots - load.freeSlots() + queue * slotsPerJob - worker.usualOwnSlots;
        } else {
            return;
        }
        worker.reportedOtherSlots = Math.max(0, otherSlots);
        double keep = worker.reportedAt > 0 ? Math.pow(0.5, (now - worker.reportedAt) / halfLife) : 0;
        worker.usualOtherSlots = keep * worker.usualOtherSlots + (1 - keep) * worker.reportedOtherSlots;
        worker.reportedAt = now;
    }
}
