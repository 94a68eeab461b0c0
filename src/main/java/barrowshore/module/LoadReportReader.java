package barrowshore.module;

import barrowshore.module.DispatchApi.Load;

/**
 * Derives from a worker's load reports the slots that other dispatchers hold there and the slots of its kind of
 * machine, whichever figures a site's reports contain.
 */
final class LoadReportReader {
    /** Weight of a report in a kind's slots, and of one that shows fewer where they can only be bounded below. */
    private static final double SLOTS_WEIGHT = 0.05, FEWER_SLOTS_WEIGHT = 0.002;
    /** Weight of free slots above the known ones; high, as with many schedulers each gets few reports. */
    private static final double FREE_SLOTS_WEIGHT = 0.5;

    private LoadReportReader() {}

    /** Updates a kind's slots from one report; fewerWeight applies where it shows fewer. */
    private static void learnSlots(MachineKind kind, double seenSlots, double fewerWeight) {
        kind.slots += kind.slots > 0
                ? (seenSlots > kind.slots ? SLOTS_WEIGHT : fewerWeight) * (seenSlots - kind.slots)
                : seenSlots;
    }

    /**
     * Applies a report; one that tells neither in-flight jobs nor free slots is ignored. A report describes the past,
     * so our mean slots are subtracted from it: with our current ones, the more jobs we had just sent, the emptier
     * the worker would look, and it would get still more.
     */
    static void applyReport(long now, Worker worker, MachineKind kind, Load load, double slotsPerJob, double halfLife) {
        boolean tellsFreeSlots = load.freeSlots() >= 0, tellsInFlight = load.inFlight() >= 0;
        double queue = load.queue() >= 0 ? load.queue() : 0, otherSlots;
        if (tellsInFlight) {
            otherSlots = load.inFlight() * slotsPerJob - worker.meanOwnSlots;
            double running = load.inFlight() - queue;
            if (tellsFreeSlots && (load.queue() >= 0 || load.freeSlots() >= 0.5) || tellsFreeSlots && queue >= 1) {
                // Without a queue figure, queued jobs count as in flight: only a free slot shows that there are none,
                // but for those behind a wide job. Each in-flight job is therefore counted as one slot, its minimum.
                learnSlots(kind, running + load.freeSlots(), SLOTS_WEIGHT);
            } else if (queue >= 1) {
                // A wide job at the queue's head may leave slots empty, so running jobs are only a lower bound.
                kind.slots = kind.slots > 0 ? kind.slots : worker.slots;
                learnSlots(kind, running * slotsPerJob, FEWER_SLOTS_WEIGHT);
            }
        } else if (tellsFreeSlots) {
            // Slots in use = all slots - free slots; all slots = the most seen free plus those of jobs known to run.
            double running = 0;
            for (Job.Attempt attempt : worker.openAttempts) {
                running += attempt.startedAt > 0 ? attempt.job.slots : 0;
            }
            // A full worker shows only the slots that our jobs hold, so a kind whose first report is of one starts
            // with the slots assumed for its workers. Free slots exist but for noise; slots of our running jobs may
            // have been reported as free.
            kind.slots = kind.slots > 0 ? kind.slots : load.queue() >= 1 ? worker.slots : load.freeSlots() + running;
            kind.slots += Math.max(0, load.freeSlots() - kind.slots) * FREE_SLOTS_WEIGHT;
            learnSlots(kind, load.freeSlots() + running, FEWER_SLOTS_WEIGHT);
            otherSlots = kind.slots - load.freeSlots() + queue * slotsPerJob - worker.meanOwnSlots;
        } else {
            return;
        }
        worker.reportedOtherSlots = Math.max(0, otherSlots);
        double keep = worker.reportedAt > 0 ? Math.pow(0.5, (now - worker.reportedAt) / halfLife) : 0;
        worker.meanOtherSlots = keep * worker.meanOtherSlots + (1 - keep) * worker.reportedOtherSlots;
        worker.reportedAt = now;
    }
}
