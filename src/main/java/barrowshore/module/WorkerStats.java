package barrowshore.module;

/** What jobs have shown of one worker, fading: sums that halve in a stated time. It decides nothing. */
final class WorkerStats {
    /** Work done at speed 1, how long it took, errors, and ends of any kind. */
    double work, runTime, errorJobs, endedJobs;

    private long decayedAt;

    void decay(long now, double halfLife) {
        double keepShare = Math.pow(0.5, (now - decayedAt) / halfLife);
        work *= keepShare;
        runTime *= keepShare;
        errorJobs *= keepShare;
        endedJobs *= keepShare;
        decayedAt = now;
    }
}
