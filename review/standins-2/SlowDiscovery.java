import java.util.Comparator;
import java.util.List;

/**
 * Discovery is slow: it answers each call late. A worker begins to drain. The scheduler has to stop sending there within
 * the time that the settings allow after it counts as told.
 */
final class SlowDiscovery extends Case {
    /** How late discovery answers each call. */
    private static final long ANSWER_DELAY_MILLIS = 800;
    /** A change counts as told at the latest so long after discovery had it and could be reached. */
    private static final long TOLD_LIMIT_MILLIS = 6000;
    /** Every time limit is longer by the first; a scheduler may be held up by the second before it writes. */
    private static final long SOCKET_SLACK_MILLIS = 50, HELD_UP_MILLIS = 150;
    private static final long BEFORE_DRAIN_MILLIS = 5000, AFTER_DRAIN_MILLIS = 25_000;
    private static final int CLIENTS = 14;
    private static final long JOB_MILLIS = 250, TIMEOUT_MILLIS = 5000;

    public static void main(String[] arguments) throws Exception {
        play(new SlowDiscovery(), arguments[0]);
    }

    @Override
    boolean isBroken() throws Exception {
        Discovery discovery = new Discovery();
        List<Worker> workers =
                List.of(new Worker("s-1", JOB_MILLIS), new Worker("s-2", JOB_MILLIS), new Worker("s-3", JOB_MILLIS));
        for (Worker worker : workers) {
            publish(discovery, worker, "Ready");
        }
        Scheduler scheduler = new Scheduler(folder, Scheduler.freeAddress());
        scheduler.writeConfig(SchedulerConfig.json(scheduler.address, discovery.address(), discovery.wholeList()));
        discovery.answerDelayMillis = trouble ? ANSWER_DELAY_MILLIS : 0;
        scheduler.start();
        if (!scheduler.awaitReady()) {
            throw new IllegalStateException("the scheduler is not ready");
        }
        sendJobs(scheduler, Record.now() + BEFORE_DRAIN_MILLIS);
        Worker leaving = workers.stream()
                .max(Comparator.comparingInt(worker -> worker.arrivals.size()))
                .orElseThrow();
        long drainMillis = Record.now();
        require(!leaving.arrivals.isEmpty(), "no worker got a job");
        leaving.draining = true;
        publish(discovery, leaving, "Terminating");
        sendJobs(scheduler, drainMillis + AFTER_DRAIN_MILLIS);
        long latest = drainMillis
                + TOLD_LIMIT_MILLIS
                + SchedulerConfig.DRAIN_GRACE_MILLIS
                + SOCKET_SLACK_MILLIS
                + HELD_UP_MILLIS;
        long tooLate = leaving.arrivals.stream()
                .filter(arrival -> arrival.firstByteMillis() > latest)
                .count();
        Record.line("jobs sent to the leaving worker after " + latest + ": " + tooLate);
        return tooLate > 0;
    }

    private static void publish(Discovery discovery, Worker worker, String state) {
        discovery.publish(worker.uid, worker.address(), SchedulerConfig.ZONE, SchedulerConfig.MODEL, state, 0);
    }

    private static void sendJobs(Scheduler scheduler, long endMillis) throws InterruptedException {
        List<Load.Outcome> outcomes =
                Load.run(scheduler.address, CLIENTS, SchedulerConfig.SAFE_CLASS, TIMEOUT_MILLIS, endMillis);
        require(Load.served(outcomes) > 0, "no job was served");
    }
}
