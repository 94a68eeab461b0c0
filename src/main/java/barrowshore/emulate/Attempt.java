package barrowshore.emulate;

import barrowshore.model.WorkerModel;
import barrowshore.module.DispatchApi.Health;
import barrowshore.module.DispatchApi.Note;
import barrowshore.module.DispatchApi.ReportSource;
import barrowshore.module.DispatchApi.Status;

/** One sending of a request to a machine, over connections that take time and may be cut. */
final class Attempt implements WorkerModel.Job {
    /** How long a job that fails runs at most before it does. */
    private static final long MAX_WORK_BEFORE_FAILURE = 20 * Emulation.MILLISECOND;

    private final Emulation emulation;
    private final VirtualClock clock;
    private final EmulatedScheduler scheduler;

    final OpenRequest request;
    final int number;
    final EmulatedNode node;
    final long sentAt;
    final int incarnation;
    long arrivedAt;
    /** Whether its scheduler had been told of the node's last start as it was sent. */
    boolean senderKnewOfRestart;

    boolean ended;
    boolean willFail;

    Attempt(Emulation emulation, EmulatedScheduler scheduler, OpenRequest request, int number, EmulatedNode node) {
        this.emulation = emulation;
        this.clock = emulation.clock;
        this.scheduler = scheduler;
        this.sentAt = clock.now();
        this.incarnation = scheduler.incarnation();
        this.request = request;
        this.number = number;
        this.node = node;
    }

    /** What has become of it, told once. */
    void finish(Status status) {
        if (ended) {
            return;
        }
        ended = true;
        request.outstanding--;
        scheduler.outstandingSlots[node.zone] -= request.job.slots;
        if (status == Status.OK && !request.answered) {
            request.answer(Status.OK, 0);
        }
        boolean isAnswer = status == Status.OK || status == Status.ERROR || status == Status.FULL;
        scheduler
                .module()
                .outcome(
                        clock.now(),
                        request.id,
                        number,
                        request.answered,
                        status,
                        clock.now() - sentAt,
                        isAnswer && scheduler.settings().reportSource == ReportSource.ANSWERS
                                ? node.reportedLoad
                                : null);
        request.releaseIfFinished();
    }

    /** Connects and sends. */
    void connectAndSend() {
        if (!node.isReachableFrom(scheduler)) {
            // It says nothing: the connection never comes up.
            runIfPending(EmulatedScheduler.CONNECT_TIMEOUT_MICROS, () -> finish(Status.CONNECT_FAILED));
            return;
        }
        long oneWay = emulation.random.oneWayMicros(scheduler.zone, node.zone);
        if (!node.model.isUp()) {
            runIfPending(2 * oneWay, () -> finish(Status.CONNECT_FAILED));
            return;
        }
        runIfPending(3 * oneWay, () -> {
            if (scheduler.listedHealth.get(node.id) != Health.READY) {
                finish(Status.NOT_SENT); // it was told to drain while the connection came up
                return;
            }
            senderKnewOfRestart = scheduler.listedStartTimes.getOrDefault(node.id, -1L) == node.startedAt;
            emulation.report.recordSend(clock.now() - Emulation.START, node.zone, scheduler.zone);
            clock.runAfter(oneWay, () -> {
                if (node.isReachableFrom(scheduler)) {
                    arrivedAt = clock.now();
                    emulation.report.loadBalance.recordArrival(node.number, scheduler.number, work() * slots());
                    node.model.offer(this);
                } // else its bytes wait in vain, and it is never heard of
            });
        });
    }

    /** Runs it then, unless the attempt has ended or its scheduler has died. */
    private void runIfPending(long delay, Runnable action) {
        clock.runAfter(delay, () -> {
            if (scheduler.isIncarnation(incarnation) && !ended) {
                action.run();
            }
        });
    }

    /** Runs it when it has come back to the scheduler; where the machine is cut off, once it is not. */
    private void runAtScheduler(Runnable action) {
        if (node.disconnected) {
            node.heldAnswers.add(() -> scheduler.deliverFrom(node.zone, incarnation, action));
        } else {
            scheduler.deliverFrom(node.zone, incarnation, action);
        }
    }

    private void sendNote(Note note, double share) {
        runAtScheduler(() -> {
            if (!ended) {
                scheduler.module().note(clock.now(), request.id, number, note, share);
            }
        });
    }

    @Override
    public double slots() {
        return request.job.slots;
    }

    @Override
    public boolean senderKnewOfRestart() {
        return senderKnewOfRestart;
    }

    @Override
    public double memory() {
        return request.job.slots * request.job.jobClass.memoryPerSlot();
    }

    @Override
    public double work() {
        return willFail ? Math.min(MAX_WORK_BEFORE_FAILURE, request.job.work) : request.job.work;
    }

    @Override
    public void started() {
        request.job.recordStart(node, arrivedAt, request);
        if (scheduler.settings().notesStart) {
            sendNote(Note.STARTED, 0);
        }
    }

    @Override
    public void progress(double share) {
        sendNote(Note.PROGRESS, share);
    }

    @Override
    public void done() {
        if (request.answered || !scheduler.isIncarnation(incarnation)) {
            emulation.report.recordWastedWork(request.job.work * request.job.slots); // done for nobody
        }
        runAtScheduler(() -> finish(willFail ? Status.ERROR : Status.OK));
    }

    @Override
    public void failed() {
        runAtScheduler(() -> finish(Status.ERROR));
    }

    @Override
    public void returned() {
        runAtScheduler(() -> finish(Status.FULL));
    }

    @Override
    public void lost() {
        runAtScheduler(() -> finish(Status.RESET));
    }
}
