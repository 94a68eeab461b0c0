package barrowshore.module;

import barrowshore.module.DispatchApi.JobClass;
import barrowshore.module.DispatchApi.Request;
import java.util.ArrayList;

/** One request and its attempts; owned by {@link OpenJobs} until answered and all attempts have ended. */
final class Job {
    /** One attempt; startedAt 0: no start note yet. */
    static final class Attempt {
        final Job job;
        final int number;
        final Worker worker;
        final long sentAt;
        long startedAt;
        long progressAt;
        double progress;
        /** Wait for its start that was expected when it was sent. */
        double expectedWait;

        boolean ended;
        /** Known not to have run. */
        boolean neverRan;

        /** When it was sent or last gave a sign. */
        long lastSignAt() {
            return Math.max(sentAt, Math.max(startedAt, progressAt));
        }

        /** When it began to run; if unknown, when it was sent. */
        long beganAt() {
            return startedAt > 0 ? startedAt : sentAt;
        }

        Attempt(Job job, int number, Worker worker, long sentAt) {
            this.job = job;
            this.number = number;
            this.worker = worker;
            this.sentAt = sentAt;
        }
    }

    final String id;
    final int classIndex;
    final JobClass jobClass;
    final double slots;
    final double workHintMicros;
    final boolean overQuota;
    final long dueAt;
    final long arrivedAt;
    final ArrayList<Attempt> attempts = new ArrayList<>(2);
    int openAttempts;
    boolean answered;
    /** Whether any ended attempt may have run. */
    boolean mayHaveRun;
    /** Expected work at speed 1, and worth per unit of work. */
    double expectedWork;

    double worthPerWork;

    Job(Request r, JobClass jobClass, boolean overQuota, long now) {
        this.id = r.id();
        this.classIndex = r.jobClass();
        this.jobClass = jobClass;
        this.slots = r.slots();
        this.workHintMicros = r.workHintMicros();
        this.overQuota = overQuota;
        this.arrivedAt = now;
        this.dueAt = now + r.timeLeftMicros();
    }
}
