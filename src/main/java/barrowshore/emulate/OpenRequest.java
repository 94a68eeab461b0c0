package barrowshore.emulate;

import barrowshore.module.DispatchApi.RepeatSafety;
import barrowshore.module.DispatchApi.Status;
import java.util.ArrayList;
import java.util.List;

/** A request that a scheduler has open, from its arrival to its one final answer. */
final class OpenRequest {
    private final EmulatedScheduler scheduler;
    private final World world;

    final ClientJob job;
    final String id;
    final long deadline;
    final List<Attempt> attempts = new ArrayList<>(2);
    int outstanding;
    boolean answered;

    OpenRequest(World world, EmulatedScheduler scheduler, ClientJob job, String id, long deadline) {
        this.world = world;
        this.scheduler = scheduler;
        this.job = job;
        this.id = id;
        this.deadline = deadline;
    }

    /** The client's time is up: what is out is given up, and the client is told so. */
    void expire() {
        if (!answered) {
            for (Attempt a : List.copyOf(attempts)) {
                a.end(Status.TIMEOUT);
            }
            if (!answered) {
                world.report.silent++;
                answer(Status.TIMEOUT, 0);
                scheduler.module().clientGone(world.kernel.now(), id);
            }
        }
    }

    /** Its client has closed the connection: nobody waits for an answer, and what is out is called back. */
    void clientLeaves() {
        if (!answered) {
            answered = true;
            scheduler.module().clientGone(world.kernel.now(), id);
            forget();
        }
    }

    /** The one final answer; OK, FULL for a rejection, ERROR for a failure, TIMEOUT where it was ours. */
    void answer(Status how, long retryAfter) {
        if (answered) {
            world.report.answersTwice++;
            return;
        }
        answered = true;
        if (how == Status.OK) {
            boolean inTime = job.inTime();
            if (!job.served) {
                job.served = true;
                world.report.served(
                        job.since - World.START,
                        job.zone,
                        job.type,
                        job.worth(),
                        inTime,
                        world.kernel.now() - job.since);
            }
        } else if (how == Status.FULL) {
            world.report.refused(job.since - World.START);
            world.clients.retry(job, world.draws.random.nextDouble() < 0.9 ? retryAfter : 0);
        } else {
            world.report.failed(job.since - World.START);
            if (job.jobClass.effect() == RepeatSafety.SAFE) {
                world.clients.retry(job, 0);
            }
        }
        forget();
    }

    /** Once it is answered and nothing is out, its scheduler keeps it no longer. */
    void forget() {
        if (answered && outstanding == 0) {
            scheduler.forget(this);
        }
    }
}
