import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A class with a long deadline vanishes at SIGHUP; at the planned restart after it, requests get no answer. */
public final class VanishedClass {
    private static final long DEADLINE_MILLIS = 1200;
    /** SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM; a little later here. */
    private static final long KILL_AFTER_MILLIS = DEADLINE_MILLIS + 700 + 100;
    /** A request that comes later than this after SIGTERM is lost if SIGKILL finds it unanswered. */
    private static final long TAKEN_AFTER_MILLIS = 700;
    /** Requests written less than this before SIGKILL are left out. */
    private static final long CROSSING_MILLIS = 100;
    private static final long JOB_MILLIS = 600, PAUSE_MILLIS = 30, STAGGER_MILLIS = 53;
    private static final int CLIENTS = 12;

    /** A request that has been written whole. */
    private record Sent(String id, long atMillis) {}

    public static void main(String[] arguments) {
        Trial.run(arguments, VanishedClass::play);
    }

    private static boolean play(Trial trial) throws Exception {
        Map<String, Boolean> forwarded = new ConcurrentHashMap<>();
        Trial.WorkerBehaviour serve = (connection, request) -> {
            String id = request.header("X-Request-ID");
            forwarded.put(id, true);
            trial.say(connection.worker.uid + " got " + id);
            connection.writeStarted(id);
            Trial.sleep(JOB_MILLIS);
            connection.writeLast(id, "done", ",\"result\":\"" + id + "\"");
        };
        Trial.Discovery discovery = trial.new Discovery(1);
        for (int k = 1; k <= 6; k++) {
            Trial.Worker worker = trial.new Worker("s-" + k, serve);
            discovery.publish(worker.uid, worker.entry("Ready"));
        }
        String kept = Trial.jobClass("objednavka", 300_000, DEADLINE_MILLIS * 1000, "at_most_once");
        String vanishing = Trial.jobClass("kuchyn-davka", 1_000_000, 15_000_000, "at_most_once");
        String now = Trial.settings(true, 2_000_000, kept);
        Trial.SchedulerUnderTest scheduler = trial.new SchedulerUnderTest();
        scheduler.configure(
                discovery.port, discovery.wholeList(), trial.trouble ? Trial.settings(true, 2_000_000, kept, vanishing) : now);
        scheduler.start();
        Map<String, Sent> open = new ConcurrentHashMap<>();
        List<Sent> lost = new ArrayList<>();
        AtomicBoolean killed = new AtomicBoolean();
        AtomicInteger served = new AtomicInteger(), others = new AtomicInteger(), numbers = new AtomicInteger();
        long[] termMillis = {Long.MAX_VALUE / 2};
        for (int k = 0; k < CLIENTS; k++) {
            long offsetMillis = k * STAGGER_MILLIS;
            Trial.inThread("client", () -> {
                Trial.sleep(offsetMillis);
                while (!killed.get()) {
                    // For 0.3 s after SIGTERM new connections go on coming; kept ones are used as long as they are open.
                    if (trial.millis() > termMillis[0] + 300) {
                        return;
                    }
                    try (Trial.ClientConnection client = new Trial.ClientConnection(scheduler.port)) {
                        while (!killed.get()) {
                            String id = "r" + numbers.incrementAndGet();
                            client.write(Trial.request("objednavka", id, DEADLINE_MILLIS, "lunch"));
                            Sent sent = new Sent(id, trial.millis());
                            open.put(id, sent);
                            trial.say("client wrote " + id);
                            Trial.Message answer = null;
                            try {
                                answer = client.readAnswer(30_000);
                            } catch (java.io.IOException e) {
                                trial.say("client's connection broke under " + id);
                            }
                            if (answer == null) {
                                if (!killed.get() && !forwarded.containsKey(id)) {
                                    open.remove(id); // it crossed the end of a resting connection
                                }
                                break;
                            }
                            open.remove(id);
                            (answer.status == 200 ? served : others).incrementAndGet();
                            trial.say("client got " + answer.status + " for " + id);
                            if (answer.header("Connection").equals("close")) {
                                break;
                            }
                            Trial.sleep(PAUSE_MILLIS);
                        }
                    }
                }
            });
        }
        Trial.sleep(1500);
        if (trial.trouble) {
            scheduler.configure(discovery.port, discovery.wholeList(), now);
            scheduler.signal("HUP");
        }
        Trial.sleep(3000);
        termMillis[0] = trial.millis();
        scheduler.signal("TERM");
        while (scheduler.isAlive() && trial.millis() < termMillis[0] + KILL_AFTER_MILLIS) {
            Trial.sleep(5);
        }
        long endMillis = trial.millis();
        boolean wasAlive = scheduler.isAlive();
        open.values().forEach(sent -> {
            boolean counts = sent.atMillis > termMillis[0] + TAKEN_AFTER_MILLIS
                    ? sent.atMillis < endMillis - CROSSING_MILLIS
                    : endMillis > sent.atMillis + DEADLINE_MILLIS + 500 || !wasAlive;
            if (counts) {
                lost.add(sent);
            }
        });
        killed.set(true);
        if (wasAlive) {
            scheduler.signal("KILL");
        } else {
            trial.say("the scheduler ended by itself, " + (endMillis - termMillis[0]) + " ms after SIGTERM");
        }
        lost.forEach(sent -> trial.say("LOST " + sent.id() + ", written " + (sent.atMillis() - termMillis[0])
                + " ms after SIGTERM" + (forwarded.containsKey(sent.id()) ? ", run by a worker" : "")
                + ", unanswered " + (endMillis - sent.atMillis()) + " ms later"));
        trial.say("served " + served + ", otherwise answered " + others + ", lost " + lost.size());
        if (served.get() == 0) {
            throw new IllegalStateException("nothing was served");
        }
        return lost.isEmpty();
    }
}
