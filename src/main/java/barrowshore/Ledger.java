package barrowshore;

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

    /** Enters the end of an attempt. */
    void leave(Job.Attempt a, boolean neverRan) {
        a.ended = true;
        a.neverRan = neverRan;
        a.job.mayHaveRun |= !neverRan;
        a.worker.out.remove(a);
        count(a, -1);
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
