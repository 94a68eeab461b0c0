package barrowshore.budget;

import java.util.ArrayList;
import java.util.List;

/**
 * One scheduler's share of the work that all schedulers together may send to one cold (recently started) worker. Owned by
 * the worker's record; remembers the jobs that this scheduler sent there within the window. The total holds without
 * communication, so whose turn it is must never depend on what only some schedulers know: it follows from the settings,
 * the worker's name and the clock, which all of them share.
 *
 * <p>The total amount of work in any window is cut into equal tracks. On each track schedulers take turns that end in a
 * quiet time longer than the window, so that any window contains the sends of at most one turn of each track. Tracks are
 * out of phase, so that some scheduler may send at any time. More tracks let more schedulers send at once, but each track
 * must have room for a few jobs.
 */
public final class ColdWorkerBudget {
    /** Length of a turn and of its quiet end, in windows. */
    private static final double TURN_WINDOWS = 4, QUIET_WINDOWS = 1.1;
    /** Share of the total that is used; the rest is a margin for estimates of the total that are too high. */
    private static final double USED_SHARE = 0.85;
    /** Jobs of the classes' mean target duration for which a fully warm core has room in one track's window. */
    private static final double JOBS_PER_TRACK = 10;

    /**
     * The rules of the turns, the same for all schedulers but for ownIndex (counted from 0) and startedAt: when this
     * process started, or {@link #STARTED_LONG_AGO} if no turn from before its start can matter any more.
     */
    public record Terms(int schedulers, int ownIndex, long windowMicros, int tracks, long startedAt) {
        private static final long STARTED_LONG_AGO = Long.MIN_VALUE / 2;

        public Terms {
            if (schedulers < 1 || ownIndex < 0 || windowMicros <= 0 || tracks < 1) {
                throw new IllegalArgumentException(
                        "cold worker budget: schedulers, window and tracks must be positive, ownIndex not negative");
            }
        }

        /** Terms of a process that started long ago. */
        public Terms(int schedulers, int ownIndex, long windowMicros, int tracks) {
            this(schedulers, ownIndex, windowMicros, tracks, STARTED_LONG_AGO);
        }

        /**
         * These terms for a process that started at that time. In a turn that began earlier, a predecessor of the same name
         * may have used up the turn's budget, unknown to this process: it sends nothing until its next turn.
         */
        public Terms startedAt(long startTime) {
            return new Terms(schedulers, ownIndex, windowMicros, tracks, startTime);
        }

        /** These terms with the start time of the process's previous terms; null: there were none. */
        public Terms keepStartOf(Terms previous) {
            return previous == null ? this : startedAt(previous.startedAt);
        }

        /**
         * Terms with as many tracks as leave each room for {@link #JOBS_PER_TRACK} jobs of the mean target duration;
         * windowsOfWork: work per window that a fully warm core may be sent, in windows.
         */
        public static Terms of(
                int schedulers, int ownIndex, long windowMicros, double windowsOfWork, double meanTargetMicros) {
            int tracks = (int)
                    Math.min(schedulers, windowsOfWork * windowMicros / Math.max(1, meanTargetMicros) / JOBS_PER_TRACK);
            return new Terms(schedulers, ownIndex, windowMicros, Math.max(1, tracks));
        }

        /** Whether this scheduler may send in a turn at that worker that began after this process started. */
        public boolean hasTurn(long now, int workerHash) {
            long period = (long) (TURN_WINDOWS * windowMicros);
            for (int track = 0; track < tracks; track++) {
                long phase = track * period / tracks, shiftedNow = now + phase;
                long turnNumber = Math.floorDiv(shiftedNow, period) + workerHash + (long) track * schedulers / tracks;
                boolean quiet = Math.floorMod(shiftedNow, period) >= period - QUIET_WINDOWS * windowMicros;
                boolean begunSinceStart = startedAt + phase <= shiftedNow - Math.floorMod(shiftedNow, period);
                if (!quiet && begunSinceStart && Math.floorMod(turnNumber, schedulers) == ownIndex) {
                    return true;
                }
            }
            return false;
        }
    }

    private record SentJob(long sentAt, double size) {}

    private final List<SentJob> sentJobs = new ArrayList<>(0);

    /** Whether a job may be sent now, where all schedulers together may send totalPerWindow, in the unit of size. */
    public boolean allows(long now, Terms terms, int workerHash, double totalPerWindow, double size) {
        if (!terms.hasTurn(now, workerHash)) {
            return false;
        }
        double used = size;
        for (SentJob job : sentJobs) {
            used += job.sentAt > now - terms.windowMicros ? job.size : 0;
        }
        return used <= USED_SHARE * totalPerWindow / terms.tracks;
    }

    /** Records a job sent now, and forgets those older than the window. */
    public void recordSent(long now, Terms terms, double size) {
        sentJobs.removeIf(job -> job.sentAt <= now - terms.windowMicros);
        sentJobs.add(new SentJob(now, size));
    }

    /** Forgets all sent jobs: the worker has restarted. */
    public void clear() {
        sentJobs.clear();
    }
}
