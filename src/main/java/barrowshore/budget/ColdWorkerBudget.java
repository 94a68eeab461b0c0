package barrowshore.budget;

import java.util.ArrayList;
import java.util.List;

/**
 * One scheduler's part in what all of them together may send to one worker that has just started. It owns what this
 * scheduler has sent there lately. Its sums hold without a word between schedulers, so it must never lean on what one has
 * learned and another has not: whose turn it is follows from the settings, the worker's name and the clock that all
 * read.
 *
 * <p>The whole, an amount of work in any window, is cut into equal tracks. On each track schedulers take turns that end
 * in a quiet time longer than the window, so that a window meets the sends of one turn of each track alone, and chance
 * does not enter. Tracks are out of phase, so that some scheduler may send at any time. Many tracks serve many
 * schedulers at once, but each must hold a few jobs to be of use.
 */
public final class ColdWorkerBudget {
    /** A turn and its quiet end, in windows; the share of the whole that is used, against estimates that may be high. */
    private static final double TURN_WINDOWS = 4, QUIET_WINDOWS = 1.1, USED_SHARE = 0.85;
    /** Usual jobs, as the classes' aims have them, for which a fully warm core has room in a track's window. */
    private static final double JOBS_PER_TRACK = 10;

    /**
     * What all schedulers share: how many they are, this one's number from 0, the window in microseconds, and the number
     * of tracks. startedAt: when this process started, {@link #STARTED_LONG_AGO} if no turn of before can matter any more.
     */
    public record Terms(int schedulers, int ownIndex, long windowMicros, int tracks, long startedAt) {
        private static final long STARTED_LONG_AGO = Long.MIN_VALUE / 2;

        public Terms {
            if (schedulers < 1 || ownIndex < 0 || windowMicros <= 0 || tracks < 1) {
                throw new IllegalArgumentException("a turn needs a scheduler, a window and a track");
            }
        }

        /** Terms of a process that has been up for long. */
        public Terms(int schedulers, int ownIndex, long windowMicros, int tracks) {
            this(schedulers, ownIndex, windowMicros, tracks, STARTED_LONG_AGO);
        }

        /**
         * The terms of a process that started then. In a turn that had begun before, a process of the same name may have
         * sent what is due to the scheduler, and this one does not know: it sends nothing until the next turn.
         */
        public Terms startedAt(long startTime) {
            return new Terms(schedulers, ownIndex, windowMicros, tracks, startTime);
        }

        /** These terms for the process that had the others before, if any. */
        public Terms keepStartOf(Terms previous) {
            return previous == null ? this : startedAt(previous.startedAt);
        }

        /** As many tracks as hold a few jobs each: multiple times the window against the mean aim of the classes. */
        public static Terms of(int schedulers, int ownIndex, long windowMicros, double multiple, double meanAimMicros) {
            int tracks =
                    (int) Math.min(schedulers, multiple * windowMicros / Math.max(1, meanAimMicros) / JOBS_PER_TRACK);
            return new Terms(schedulers, ownIndex, windowMicros, Math.max(1, tracks));
        }

        /** Whether this scheduler has a turn at that worker, not in its quiet end, begun with this process up. */
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

    /** Whether a job of that size may go now, where all schedulers may send so much in any window. */
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

    /** A job of that size goes now; what has left the window is forgotten. */
    public void recordSent(long now, Terms terms, double size) {
        sentJobs.removeIf(job -> job.sentAt <= now - terms.windowMicros);
        sentJobs.add(new SentJob(now, size));
    }

    /** The worker has started anew: what came before weighs no more. */
    public void clear() {
        sentJobs.clear();
    }
}
