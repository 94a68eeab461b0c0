package barrowshore.emulate;

import barrowshore.model.WorkerModel;
import barrowshore.module.DispatchApi.Health;
import barrowshore.module.DispatchApi.Note;
import barrowshore.module.DispatchApi.ReportSource;
import barrowshore.module.DispatchApi.Status;

/** One sending of a request to a machine, over connections that take time and may be cut. */
final class Attempt implements WorkerModel.Job {
    /** How long a job that fails runs at most before it does. */
    private static final long FAILS_WITHIN = 20 * World.MS;

    private final World world;
    private final VirtualClock kernel;
    private final EmulatedScheduler scheduler;

    final OpenRequest open;
    final int number;
    final EmulatedNode node;
    final long sentAt;
    final int born;
    long cameAt;
    /** Whether its scheduler had been told of the node's last start as it was sent. */
    boolean knew;

    boolean ended;
    boolean failing;

    Attempt(World world, EmulatedScheduler scheduler, OpenRequest open, int number, EmulatedNode node) {
        this.world = world;
        this.kernel = world.kernel;
        this.scheduler = scheduler;
        this.sentAt = kernel.now();
        this.born = scheduler.life();
        this.open = open;
        this.number = number;
        this.node = node;
    }

    /** What has become of it, told once. */
    void end(Status status) {
        if (ended) {
            return;
        }
        ended = true;
        open.outstanding--;
        scheduler.out[node.zone] -= open.job.slots;
        if (status == Status.OK && !open.answered) {
            open.answer(Status.OK, 0);
        }
        boolean answer = status == Status.OK || status == Status.ERROR || status == Status.FULL;
        scheduler
                .module()
                .outcome(
                        kernel.now(),
                        open.id,
                        number,
                        open.answered,
                        status,
                        kernel.now() - sentAt,
                        answer && scheduler.settings().reportSource == ReportSource.ANSWERS ? node.reported : null);
        open.forget();
    }

    /** Connects and sends. */
    void go() {
        if (!node.reachable(scheduler)) {
            // It says nothing: the connection never comes up.
            later(EmulatedScheduler.CONNECT_TIMEOUT, () -> end(Status.CONNECT_FAILED));
            return;
        }
        long there = world.draws.way(scheduler.zone, node.zone);
        if (!node.model.isUp()) {
            later(2 * there, () -> end(Status.CONNECT_FAILED));
            return;
        }
        later(3 * there, () -> {
            if (scheduler.listed.get(node.id) != Health.READY) {
                end(Status.NOT_SENT); // it was told to drain while the connection came up
                return;
            }
            knew = scheduler.bootsHeard.getOrDefault(node.id, -1L) == node.boot;
            world.report.sent(kernel.now() - World.START, node.zone, scheduler.zone);
            kernel.runAfter(there, () -> {
                if (node.reachable(scheduler)) {
                    cameAt = kernel.now();
                    world.report.even.came(node.number, scheduler.number, work() * slots());
                    node.model.offer(this);
                } // else its bytes wait in vain, and it is never heard of
            });
        });
    }

    /** Runs it then, unless the attempt has ended or its scheduler has died. */
    private void later(long delay, Runnable run) {
        kernel.runAfter(delay, () -> {
            if (scheduler.lives(born) && !ended) {
                run.run();
            }
        });
    }

    /** Runs it when it has come back to the scheduler; where the machine is cut off, once it is not. */
    private void back(Runnable run) {
        if (node.vanished) {
            node.unsaid.add(() -> scheduler.over(node.zone, born, run));
        } else {
            scheduler.over(node.zone, born, run);
        }
    }

    private void note(Note note, double share) {
        back(() -> {
            if (!ended) {
                scheduler.module().note(kernel.now(), open.id, number, note, share);
            }
        });
    }

    @Override
    public double slots() {
        return open.job.slots;
    }

    @Override
    public boolean senderKnewOfRestart() {
        return knew;
    }

    @Override
    public double memory() {
        return open.job.slots * open.job.jobClass.memory();
    }

    @Override
    public double work() {
        return failing ? Math.min(FAILS_WITHIN, open.job.work) : open.job.work;
    }

    @Override
    public void started() {
        open.job.started(node, cameAt, open);
        if (scheduler.settings().notesStart) {
            note(Note.STARTED, 0);
        }
    }

    @Override
    public void progress(double share) {
        note(Note.PROGRESS, share);
    }

    @Override
    public void done() {
        if (open.answered || !scheduler.lives(born)) {
            world.report.wasted(open.job.work * open.job.slots); // done for nobody
        }
        back(() -> end(failing ? Status.ERROR : Status.OK));
    }

    @Override
    public void failed() {
        back(() -> end(Status.ERROR));
    }

    @Override
    public void returned() {
        back(() -> end(Status.FULL));
    }

    @Override
    public void lost() {
        back(() -> end(Status.RESET));
    }
}
