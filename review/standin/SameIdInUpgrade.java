import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * During an upgrade a bad client sends the id of another client's open request. The old process has that request, the new
 * one takes the second and sends it to a worker: a job that must never run twice runs twice at once.
 */
public final class SameIdInUpgrade {
    private static final int OPEN_REQUESTS = 6;
    private static final long JOB_MILLIS = 2000, DEADLINE_MILLIS = 5000;
    private static final long FIRST_JOB_MILLIS = 50;
    /** From the new version's yes to SIGTERM. */
    private static final long TERM_MILLIS = 50;
    /** After SIGTERM until the bad client sends, and between two of its requests. */
    private static final long BAD_CLIENT_MILLIS = 150, BAD_CLIENT_PAUSE_MILLIS = 50;
    /** SIGKILL comes after the longest deadline, 3 s at most, and 0.7 s. */
    private static final long KILL_AFTER_MILLIS = 3700;

    public static void main(String[] arguments) {
        Trial.run(arguments, SameIdInUpgrade::play);
    }

    private static boolean play(Trial trial) throws Exception {
        Map<String, AtomicInteger> running = new ConcurrentHashMap<>();
        AtomicInteger twiceAtOnce = new AtomicInteger(), servedToBadClient = new AtomicInteger();
        AtomicInteger served = new AtomicInteger(), errors = new AtomicInteger();
        Trial.WorkerBehaviour serve = (connection, request) -> {
            String id = request.header("X-Request-ID");
            AtomicInteger copies = running.computeIfAbsent(id, i -> new AtomicInteger());
            trial.say(connection.worker.uid + " got " + id + " with body " + new String(request.body));
            if (copies.incrementAndGet() > 1) {
                twiceAtOnce.incrementAndGet();
                trial.say("SECOND RUN of " + id + " at " + connection.worker.uid + " while the first goes on");
            }
            connection.writeStarted(id);
            Trial.sleep(id.startsWith("first") ? FIRST_JOB_MILLIS : JOB_MILLIS);
            copies.decrementAndGet();
            connection.writeLast(id, "done", ",\"result\":\"" + id + "\"");
        };
        Trial.Discovery discovery = trial.new Discovery(1);
        for (int k = 1; k <= 6; k++) {
            Trial.Worker worker = trial.new Worker("s-" + k, serve);
            discovery.publish(worker.uid, worker.entry("Ready"));
        }
        Trial.SchedulerUnderTest scheduler = trial.new SchedulerUnderTest();
        scheduler.openToOperators();
        scheduler.configure(
                discovery.port,
                discovery.wholeList(),
                Trial.settings(
                        true, 2_000_000, Trial.jobClass("platba", 400_000, DEADLINE_MILLIS * 1000, "at_most_once")));
        scheduler.start();
        List<String> ids = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        List<Trial.ClientConnection> connections = new ArrayList<>();
        // The usual clients keep their connections from before, which belong to the process in service.
        for (int k = 0; k < OPEN_REQUESTS; k++) {
            ids.add("r" + k);
            Trial.ClientConnection connection = new Trial.ClientConnection(scheduler.port);
            connections.add(connection);
            connection.ask(Trial.request("platba", "first" + k, DEADLINE_MILLIS, "lunch"), DEADLINE_MILLIS);
        }
        Process old = trial.trouble ? scheduler.startNewVersion() : null;
        for (int k = 0; k < OPEN_REQUESTS; k++) {
            String id = ids.get(k);
            Trial.ClientConnection connection = connections.get(k);
            Thread client = new Thread(() -> {
                try (connection) {
                    trial.say("usual client wrote " + id);
                    int status = connection.ask(Trial.request("platba", id, DEADLINE_MILLIS, "lunch"), DEADLINE_MILLIS + 500)
                            .status;
                    trial.say("usual client got " + status + " for " + id);
                    served.addAndGet(status == 200 ? 1 : 0);
                } catch (java.io.IOException e) {
                    trial.say("usual client: " + e.getMessage() + " for " + id);
                }
            });
            client.start();
            clients.add(client);
        }
        Trial.sleep(TERM_MILLIS);
        if (trial.trouble) {
            scheduler.signal(old, "TERM");
        }
        long termMillis = trial.millis();
        Trial.sleep(BAD_CLIENT_MILLIS);
        for (String id : ids) {
            Thread client = new Thread(() -> {
                try (Trial.ClientConnection connection = new Trial.ClientConnection(scheduler.port)) {
                    trial.say("bad client wrote " + id + ", which is open");
                    Trial.Message answer =
                            connection.ask(Trial.request("platba", id, DEADLINE_MILLIS, "other"), DEADLINE_MILLIS + 500);
                    trial.say("bad client got " + answer.status + " for " + id);
                    (answer.status == 200 ? servedToBadClient : errors).incrementAndGet();
                } catch (java.io.IOException e) {
                    trial.say("bad client: " + e.getMessage() + " for " + id);
                }
            });
            client.start();
            clients.add(client);
            Trial.sleep(BAD_CLIENT_PAUSE_MILLIS);
        }
        while (old != null && old.isAlive() && trial.millis() < termMillis + KILL_AFTER_MILLIS) {
            Trial.sleep(10);
        }
        if (old != null && old.isAlive()) {
            scheduler.signal(old, "KILL");
        }
        for (Thread client : clients) {
            client.join();
        }
        trial.say("usual requests served " + served + "; second runs at the same time " + twiceAtOnce
                + "; bad client served " + servedToBadClient + ", given an error " + errors);
        if (served.get() == 0) {
            throw new IllegalStateException("nothing was served");
        }
        return twiceAtOnce.get() == 0 && servedToBadClient.get() == 0;
    }
}
