package barrowshore.module;

import barrowshore.module.DispatchApi.Status;
import java.util.HashMap;
import java.util.Map;

/** One dispatcher's open requests, their attempts, and the slots that these hold; owned by {@link Dispatcher}. */
final class OpenJobs {
    private final Map<String, Job> jobs = new HashMap<>();
    /** Slots of all our open attempts; and by kind, of those that only this kind of machine can run. */
    double ownSlots;

    final double[] ownSlotsBoundToKind;

    OpenJobs(int kinds) {
        ownSlotsBoundToKind = new double[kinds];
    }

    void add(Job job) {
        jobs.put(job.id, job);
    }

    /** The request, or null if unknown or ended. */
    Job job(String id) {
        return jobs.get(id);
    }

    /** The attempt if it has not ended, else null. */
    Job.Attempt openAttempt(String id, int number) {
        Job job = jobs.get(id);
        boolean exists = job != null && number >= 0 && number < job.attempts.size();
        return exists && !job.attempts.get(number).ended ? job.attempts.get(number) : null;
    }

    /** Adds the next attempt of a job. */
    Job.Attempt addAttempt(Job job, Worker worker, long now) {
        Job.Attempt attempt = new Job.Attempt(job, job.attempts.size(), worker, now);
        job.attempts.add(attempt);
        worker.openAttempts.add(attempt);
        countSlots(attempt, 1);
        return attempt;
    }

    /**
     * Ends an attempt. A cancelled or timed-out one may still run although nobody waits for it, so its slots stay in
     * use until its expected end.
     */
    void endAttempt(Job.Attempt attempt, Status status, long now) {
        Worker worker = attempt.worker;
        attempt.ended = true;
        attempt.neverRan = status.neverRan();
        attempt.job.mayHaveRun |= !attempt.neverRan;
        worker.openAttempts.remove(attempt);
        countSlots(attempt, -1);
        double expectedEnd = (attempt.startedAt > 0 ? attempt.startedAt : now + attempt.expectedWait)
                + attempt.job.expectedWork / worker.speedAt(worker.takenSlots());
        if ((status == Status.CANCELLED || status == Status.TIMEOUT) && expectedEnd > now) {
            worker.abandoned.add(new AbandonedSlots(attempt.job.slots, (long) expectedEnd));
            worker.abandonedSlots += attempt.job.slots;
        }
    }

    /** Slots that an abandoned attempt may still hold, and until when. */
    record AbandonedSlots(double slots, long until) {}

    /** Releases the slots of abandoned attempts that should have ended. */
    void releaseEndedAbandoned(long now, Worker worker) {
        if (worker.abandoned.isEmpty()) {
            return;
        }
        worker.abandoned.removeIf(left -> left.until() <= now);
        worker.abandonedSlots =
                worker.abandoned.stream().mapToDouble(AbandonedSlots::slots).sum();
    }

    private void countSlots(Job.Attempt attempt, int sign) {
        double change = sign * attempt.job.slots;
        attempt.job.openAttempts += sign;
        attempt.worker.ownSlots = attempt.worker.openAttempts.isEmpty() ? 0 : attempt.worker.ownSlots + change;
        ownSlots += change;
        if (attempt.job.jobClass.kind() >= 0) {
            ownSlotsBoundToKind[attempt.job.jobClass.kind()] += change;
        }
    }

    /** Marks the request as answered; it is removed once no attempt is out. */
    void markAnswered(Job job) {
        job.answered = true;
        if (job.openAttempts == 0) {
            jobs.remove(job.id);
        }
    }
}
