import java.util.Comparator;
import java.util.List;

/**
 * A worker begins to drain, and the scheduler is told. Later discovery is down for some seconds, and a new version of the
 * scheduler is started beside the old process in that time. The two are one scheduler: the worker may get nothing new.
 */
final class UpgradeInOutage extends Case {
    /** How long discovery is down. */
    private static final long OUTAGE_MILLIS = 12_000;
    /** Discovery's news counts as told to the new process so long after its yes. */
    private static final long TOLD_AFTER_YES_MILLIS = 2000;
    /** Every time limit is longer by the first; a scheduler may be held up by the second before it writes. */
    private static final long SOCKET_SLACK_MILLIS = 50, HELD_UP_MILLIS = 150;
    /** SIGKILL comes so long after SIGTERM: the longest deadline, 3 s at most, and 0.7 s. */
    private static final long KILL_AFTER_TERM_MILLIS = 3700;
    private static final long BEFORE_DRAIN_MILLIS = 4000, BEFORE_OUTAGE_MILLIS = 5000, AFTER_OUTAGE_MILLIS = 3000;
    private static final long JOB_MILLIS = 250, TIMEOUT_MILLIS = 5000;
    private static final int CLIENTS = 14;

    public static void main(String[] arguments) throws Exception {
        play(new UpgradeInOutage(), arguments[0]);
    }

    @Override
    boolean isBroken() throws Exception {
        Discovery discovery = new Discovery();
        List<Worker> workers =
                List.of(new Worker("s-1", JOB_MILLIS), new Worker("s-2", JOB_MILLIS), new Worker("s-3", JOB_MILLIS));
        for (Worker worker : workers) {
            publish(discovery, worker, "Ready");
        }
        Scheduler before = new Scheduler(folder, Scheduler.freeAddress());
        before.writeConfig(SchedulerConfig.json(before.address, discovery.address(), discovery.wholeList()));
        String opsBefore = Scheduler.freeAddress();
        before.start(opsBefore);
        if (!before.awaitYes(opsBefore)) {
            throw new IllegalStateException("the scheduler is not ready");
        }
        sendJobs(before, Record.now() + BEFORE_DRAIN_MILLIS);
        Worker leaving = workers.stream()
                .max(Comparator.comparingInt(worker -> worker.arrivals.size()))
                .orElseThrow();
        require(!leaving.arrivals.isEmpty(), "no worker got a job");
        leaving.draining = true;
        publish(discovery, leaving, "Terminating");
        sendJobs(before, Record.now() + BEFORE_OUTAGE_MILLIS);
        discovery.setDown(trouble);
        long outageMillis = Record.now();
        Listener.start(() -> endOutage(discovery));
        long yesMillis = upgrade(before);
        sendJobs(before, outageMillis + OUTAGE_MILLIS + AFTER_OUTAGE_MILLIS);
        long latest = yesMillis
                + TOLD_AFTER_YES_MILLIS
                + SchedulerConfig.DRAIN_GRACE_MILLIS
                + SOCKET_SLACK_MILLIS
                + HELD_UP_MILLIS;
        long tooLate = leaving.arrivals.stream()
                .filter(arrival -> arrival.firstByteMillis() > latest)
                .count();
        long afterYes = leaving.arrivals.stream()
                .filter(arrival -> arrival.firstByteMillis() > yesMillis)
                .count();
        Record.line("jobs sent to the leaving worker after the yes: " + afterYes + "; after " + latest + ": " + tooLate);
        return tooLate > 0;
    }

    /** Starts the new version and ends the old process; returns when the new one said yes. */
    private static long upgrade(Scheduler before) throws Exception {
        String ops = Scheduler.freeAddress();
        Scheduler next = before.startNewVersion(ops);
        if (!next.awaitYes(ops)) {
            throw new IllegalStateException("the new version is not ready");
        }
        long yesMillis = Record.now();
        before.terminate();
        Listener.start(() -> {
            try {
                Thread.sleep(KILL_AFTER_TERM_MILLIS);
                before.kill();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        return yesMillis;
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
        List<Load.Outcome> outcomes =
                Load.run(scheduler.address, CLIENTS, SchedulerConfig.SAFE_CLASS, TIMEOUT_MILLIS, endMillis);
        require(Load.served(outcomes) > 0, "no job was served");
    }
}
