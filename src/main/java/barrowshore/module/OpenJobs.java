package barrowshore.module;

import barrowshore.module.DispatchApi.Status;
import java.util.HashMap;
import java.util.Map;

/** The books of what is open: requests by id, attempts, and our slots in flight. It decides nothing. */
final class OpenJobs {
    private final Map<String, Job> jobs = new HashMap<>();
    /** Slots of ours in flight, and those of jobs that only one kind of machine can run, by kind. */
    double ownSlots;

    final double[] ownSlotsBoundToKind;

    OpenJobs(int kinds) {
        ownSlotsBoundToKind = new double[kinds];
    }

    void add(Job job) {
        jobs.put(job.id, job);
    }

    /** The request, or null if it is not known or long ended. */
    Job job(String id) {
        return jobs.get(id);
    }

    /** The attempt if it is still out, else null. */
    Job.Attempt openAttempt(String id, int number) {
        Job job = jobs.get(id);
        boolean exists = job != null && number >= 0 && number < job.attempts.size();
        return exists && !job.attempts.get(number).ended ? job.attempts.get(number) : null;
    }

    /** Enters the next attempt of a job. */
    Job.Attempt addAttempt(Job job, Worker worker, long now) {
        Job.Attempt attempt = new Job.Attempt(job, job.attempts.size(), worker, now);
        job.attempts.add(attempt);
        worker.openAttempts.add(attempt);
        countSlots(attempt, 1);
        return attempt;
    }

    /**
     * Enters the end of an attempt. One that was given up is likely to run on, or to be run yet, for nobody: its slots
     * stay taken for as long as it was expected to run.
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

    /** Slots that what was given up may still take, and until when. */
    record AbandonedSlots(double slots, long until) {}

    /** What was given up has ended by now. */
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

    /** The request has its answer; it is forgotten once no attempt is out. */
    void markAnswered(Job job) {
        job.answered = true;
        if (job.openAttempts == 0) {
            jobs.remove(job.id);
        }
    }
}
