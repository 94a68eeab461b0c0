package barrowshore.emulate;

import barrowshore.module.DispatchApi.RepeatSafety;
import barrowshore.module.DispatchApi.Status;
import java.util.ArrayList;
import java.util.List;

/** A request at a scheduler, from its arrival to its single final answer. It owns its attempts. */
final class OpenRequest {
    private final EmulatedScheduler scheduler;
    private final Emulation emulation;

    final ClientJob job;
    final String id;
    final long deadline;
    final List<Attempt> attempts = new ArrayList<>(2);
    int openAttemptCount;
    boolean answered;

    OpenRequest(Emulation emulation, EmulatedScheduler scheduler, ClientJob job, String id, long deadline) {
        this.emulation = emulation;
        this.scheduler = scheduler;
        this.job = job;
        this.id = id;
        this.deadline = deadline;
    }

    /** Ends open attempts at the deadline, and answers with a timeout if the module has not answered by then. */
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

    /** The client has closed the connection: no answer is sent, and the module may cancel open attempts. */
    void disconnectClient() {
        if (!answered) {
            answered = true;
            scheduler.module().clientGone(emulation.clock.now(), id);
            releaseIfFinished();
        }
    }

    /** Gives the final answer: OK, FULL for a refusal, ERROR for a failure, TIMEOUT if the module gave none in time. */
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
                        job.createdAt - Emulation.START_MICROS,
                        job.zone,
                        job.classIndex,
                        job.worth(),
                        inTime,
                        emulation.clock.now() - job.createdAt);
            }
        } else if (status == Status.FULL) {
            emulation.report.recordRefusal(job.createdAt - Emulation.START_MICROS);
            emulation.clients.retry(job, emulation.random.other.nextDouble() < 0.9 ? retryAfter : 0);
        } else {
            emulation.report.recordFailure(job.createdAt - Emulation.START_MICROS);
            if (job.jobClass.repeatSafety() == RepeatSafety.SAFE) {
                emulation.clients.retry(job, 0);
            }
        }
        releaseIfFinished();
    }

    /** Removes the request from its scheduler once it is answered and has no open attempt. */
    void releaseIfFinished() {
        if (answered && openAttemptCount == 0) {
            scheduler.forget(this);
        }
    }
}
