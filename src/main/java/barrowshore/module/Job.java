package barrowshore.module;

import barrowshore.module.DispatchApi.JobClass;
import barrowshore.module.DispatchApi.Request;
import java.util.ArrayList;

/** The record of one request and its attempts; it decides nothing. */
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
        /** How long it was expected to wait for its start when it was sent. */
        double wait;

        boolean ended;
        /** Known not to have run. */
        boolean neverRan;

        /** When it last gave a sign; its sending is the first. */
        long signAt() {
            return Math.max(sentAt, Math.max(startedAt, progressAt));
        }

        /** When it began to run, as far as is known. */
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
    final int type;
    final JobClass jobClass;
    final double slots;
    final double hint;
    final boolean overQuota;
    final long answerBy;
    final long arrivedAt;
    final ArrayList<Attempt> attempts = new ArrayList<>(2);
    int out;
    boolean answered;
    /** Whether an attempt that has ended may have run. */
    boolean mayHaveRun;
    /** Expected work at speed 1, and what it pays for each unit of work. */
    double work;

    double density;

    Job(Request r, JobClass jobClass, boolean overQuota, long now) {
        this.id = r.id();
        this.type = r.jobClass();
        this.jobClass = jobClass;
        this.slots = r.slots();
        this.hint = r.workHintMicros();
        this.overQuota = overQuota;
        this.arrivedAt = now;
        this.answerBy = now + r.timeLeftMicros();
    }
}
