package barrowshore.module;

/** Decaying sums over the jobs that one worker ran; owned by {@link Worker}. */
final class WorkerStats {
    /** Work at speed 1 and running time of served jobs; jobs that ended in an error, and in any way. */
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
