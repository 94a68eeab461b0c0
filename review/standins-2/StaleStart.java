import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * A scheduler is killed; a worker begins to drain, which discovery's agent has; the scheduler is started again while
 * discovery is down, with the list that it had last. It may send to that worker no longer than the settings allow after
 * its start.
 */
final class StaleStart extends Case {
    /** How long discovery is down. */
    private static final long OUTAGE_MILLIS = 8000;
    /** Every time limit is longer by the first; a scheduler may be held up by the second before it writes. */
    private static final long SOCKET_SLACK_MILLIS = 50, HELD_UP_MILLIS = 150;
    private static final long BEFORE_KILL_MILLIS = 4000, AFTER_START_MILLIS = 14_000;
    private static final long JOB_MILLIS = 250, TIMEOUT_MILLIS = 5000;
    private static final int CLIENTS = 14;

    public static void main(String[] arguments) throws Exception {
        play(new StaleStart(), arguments[0]);
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
        scheduler.writeConfig(SchedulerConfig.json(
                "n1", scheduler.address, discovery.address(), null, discovery.wholeList()));
        scheduler.start(Map.of());
        if (!scheduler.awaitReady()) {
            throw new IllegalStateException("the scheduler is not ready");
        }
        sendJobs(scheduler, Record.now() + BEFORE_KILL_MILLIS);
        scheduler.kill();
        Worker leaving = workers.stream()
                .max(Comparator.comparingInt(worker -> worker.arrivals.size()))
                .orElseThrow();
        leaving.draining = true;
        publish(discovery, leaving, "Terminating");
        discovery.setDown(trouble);
        scheduler.start(Map.of());
        long startMillis = Record.now();
        Listener.start(() -> endOutage(discovery));
        scheduler.awaitReady();
        sendJobs(scheduler, startMillis + AFTER_START_MILLIS);
        long latest = startMillis + SchedulerConfig.DRAIN_GRACE_MILLIS + SOCKET_SLACK_MILLIS + HELD_UP_MILLIS;
        long tooLate = leaving.arrivals.stream()
                .filter(arrival -> arrival.firstByteMillis() > latest)
                .count();
        Record.line("jobs sent to the leaving worker after " + latest + ": " + tooLate);
        return tooLate > 0;
    }

    private static void endOutage(Discovery discovery) {
        try {
            Thread.sleep(OUTAGE_MILLIS);
            discovery.setDown(false);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void publish(Discovery discovery, Worker worker, String state) {
        discovery.publish(worker.uid, worker.address(), SchedulerConfig.ZONE, SchedulerConfig.MODEL, state, 0);
    }

    private static void sendJobs(Scheduler scheduler, long endMillis) throws InterruptedException {
        Load.run(scheduler.address, CLIENTS, SchedulerConfig.SAFE_CLASS, TIMEOUT_MILLIS, endMillis);
    }
}
