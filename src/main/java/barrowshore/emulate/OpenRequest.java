package barrowshore.emulate;

import barrowshore.module.DispatchApi.RepeatSafety;
import barrowshore.module.DispatchApi.Status;
import java.util.ArrayList;
import java.util.List;

/** A request that a scheduler has open, from its arrival to its one final answer. */
final class OpenRequest {
    private final EmulatedScheduler scheduler;
    private final Emulation emulation;

    final ClientJob job;
    final String id;
    final long deadline;
    final List<Attempt> attempts = new ArrayList<>(2);
    int outstanding;
    boolean answered;

    OpenRequest(Emulation emulation, EmulatedScheduler scheduler, ClientJob job, String id, long deadline) {
        this.emulation = emulation;
        this.scheduler = scheduler;
        this.job = job;
        this.id = id;
        this.deadline = deadline;
    }

    /** The client's time is up: what is out is given up, and the client is told so. */
    void expire() {
        if (!answered) {
            for (Attempt attempt : List.copyOf(attempts)) {
                attempt.finish(Status.TIMEOUT);
            }
            if (!answered) {
                emulation.report.missedDeadlines++;
                answer(Status.TIMEOUT, 0);
                scheduler.module().clientGone(emulation.clock.now(), id);
            }
        }
    }

    /** Its client has closed the connection: nobody waits for an answer, and what is out is called back. */
    void disconnectClient() {
        if (!answered) {
            answered = true;
            scheduler.module().clientGone(emulation.clock.now(), id);
            releaseIfFinished();
        }
    }

    /** The one final answer; OK, FULL for a rejection, ERROR for a failure, TIMEOUT where it was ours. */
    void answer(Status status, long retryAfter) {
        if (answered) {
            emulation.report.duplicateAnswers++;
            return;
        }
        answered = true;
        if (status == Status.OK) {
            boolean inTime = job.isInTime();
            if (!job.served) {
                job.served = true;
                emulation.report.recordServed(
                        job.createdAt - Emulation.START,
                        job.zone,
                        job.classIndex,
                        job.worth(),
                        inTime,
                        emulation.clock.now() - job.createdAt);
            }
        } else if (status == Status.FULL) {
            emulation.report.recordRefusal(job.createdAt - Emulation.START);
            emulation.clients.retry(job, emulation.random.other.nextDouble() < 0.9 ? retryAfter : 0);
        } else {
            emulation.report.recordFailure(job.createdAt - Emulation.START);
            if (job.jobClass.repeatSafety() == RepeatSafety.SAFE) {
                emulation.clients.retry(job, 0);
            }
        }
        releaseIfFinished();
    }

    /** Once it is answered and nothing is out, its scheduler keeps it no longer. */
    void releaseIfFinished() {
        if (answered && outstanding == 0) {
            scheduler.forget(this);
        }
    }
}
