package barrowshore.module;

import barrowshore.module.DispatchApi.Status;
import java.util.HashMap;
import java.util.Map;

/** The books of what is open: requests by id, attempts, and our slots in flight. It decides nothing. */
final class Ledger {
    private final Map<String, Job> jobs = new HashMap<>();
    /** Slots of ours in flight, and those of jobs that only one kind of machine can run, by kind. */
    double slots;

    final double[] named;

    Ledger(int kinds) {
        named = new double[kinds];
    }

    void open(Job job) {
        jobs.put(job.id, job);
    }

    /** The request, or null if it is not known or long ended. */
    Job job(String id) {
        return jobs.get(id);
    }

    /** The attempt if it is still out, else null. */
    Job.Attempt attempt(String id, int number) {
        Job job = jobs.get(id);
        boolean known = job != null && number >= 0 && number < job.attempts.size();
        return known && !job.attempts.get(number).ended ? job.attempts.get(number) : null;
    }

    /** Enters the next attempt of a job. */
    Job.Attempt enter(Job job, Worker w, long now) {
        Job.Attempt a = new Job.Attempt(job, job.attempts.size(), w, now);
        job.attempts.add(a);
        w.out.add(a);
        count(a, 1);
        return a;
    }

    /**
     * Enters the end of an attempt. One that was given up is likely to run on, or to be run yet, for nobody: its slots
     * stay taken for as long as it was expected to run.
     */
    void leave(Job.Attempt a, Status status, long now) {
        Worker w = a.worker;
        a.ended = true;
        a.neverRan = status.neverRan();
        a.job.mayHaveRun |= !a.neverRan;
        w.out.remove(a);
        count(a, -1);
        double until = (a.startedAt > 0 ? a.startedAt : now + a.wait) + a.job.work / w.pace(w.held());
        if ((status == Status.CANCELLED || status == Status.TIMEOUT) && until > now) {
            w.leftRunning.add(new Left(a.job.slots, (long) until));
            w.left += a.job.slots;
        }
    }

    /** Slots that what was given up may still take, and until when. */
    record Left(double slots, long until) {}

    /** What was given up has ended by now. */
    void settle(long now, Worker w) {
        if (w.leftRunning.isEmpty()) {
            return;
        }
        w.leftRunning.removeIf(left -> left.until() <= now);
        w.left = w.leftRunning.stream().mapToDouble(Left::slots).sum();
    }

    private void count(Job.Attempt a, int sign) {
        double change = sign * a.job.slots;
        a.job.out += sign;
        a.worker.own = a.worker.out.isEmpty() ? 0 : a.worker.own + change;
        slots += change;
        if (a.job.jobClass.kind() >= 0) {
            named[a.job.jobClass.kind()] += change;
        }
    }

    /** The request has its answer; it is forgotten once no attempt is out. */
    void answered(Job job) {
        job.answered = true;
        if (job.out == 0) {
            jobs.remove(job.id);
        }
    }
}
