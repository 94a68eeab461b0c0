package barrowshore.emulate;

import barrowshore.model.WorkerModel;
import barrowshore.module.DispatchApi.Health;
import barrowshore.module.DispatchApi.Note;
import barrowshore.module.DispatchApi.ReportSource;
import barrowshore.module.DispatchApi.Status;

/** One attempt to run a request on a node, over connections that take time and may be cut. Owned by its request. */
final class Attempt implements WorkerModel.Job {
    /** A failing job fails after at most this much work. */
    private static final long MAX_WORK_BEFORE_FAILURE_MICROS = 20 * Emulation.MILLISECOND;

    private final Emulation emulation;
    private final VirtualClock clock;
    private final EmulatedScheduler scheduler;

    final OpenRequest request;
    final int number;
    final EmulatedNode node;
    final long sentAt;
    final int incarnation;
    long arrivedAtNode;
    /** Whether the scheduler knew of the node's latest start when it sent the attempt. */
    boolean senderKnewOfRestart;

    boolean ended;
    boolean fails;

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

    /** Ends the attempt and reports its outcome to the module, once; later calls do nothing. */
    void finish(Status status) {
        if (ended) {
            return;
        }
        ended = true;
        request.openAttemptCount--;
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

    /** Opens a connection, which takes three one-way trips, and sends the request over it. */
    void connectAndSend() {
        if (!node.isReachableFrom(scheduler)) {
            // No reply at all: the connect times out.
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
                finish(Status.NOT_SENT); // the node was drained or delisted during the connect
                return;
            }
            senderKnewOfRestart = scheduler.listedStartTimes.getOrDefault(node.id, -1L) == node.startedAt;
            emulation.report.recordSend(clock.now() - Emulation.START_MICROS, node.zone, scheduler.zone);
            clock.runAfter(oneWay, () -> {
                if (node.isReachableFrom(scheduler)) {
                    arrivedAtNode = clock.now();
                    emulation.report.loadBalance.recordArrival(node.number, scheduler.number, work() * slots());
                    node.model.offer(this);
                } // else the bytes are lost: no callback, the request times out
            });
        });
    }

    /** Runs the action after a delay, unless by then the attempt has ended or its scheduler has crashed. */
    private void runIfPending(long delay, Runnable action) {
        clock.runAfter(delay, () -> {
            if (scheduler.isIncarnation(incarnation) && !ended) {
                action.run();
            }
        });
    }

    /**
     * Runs the action once the message has travelled back to the scheduler; a disconnected node holds it until
     * reconnected.
     */
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
        return fails ? Math.min(MAX_WORK_BEFORE_FAILURE_MICROS, request.job.work) : request.job.work;
    }

    @Override
    public void started() {
        request.job.recordStart(node, arrivedAtNode, request);
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
            emulation.report.recordWastedWork(request.job.work * request.job.slots); // nobody waits for the result
        }
        runAtScheduler(() -> finish(fails ? Status.ERROR : Status.OK));
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
