import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Several clients that each send one job after the other until a given time. */
final class Load {
    /** How long each client waits between an answer and its next job. */
    private static final long PAUSE_MILLIS = 100;

    /** One job and its answer. */
    record Outcome(String id, String jobClass, Client.Answer answer) {}

    private Load() {}

    /** Runs until the time of the record is endMillis and all answers are there. */
    static List<Outcome> run(String address, int clients, String jobClass, long timeoutMillis, long endMillis)
            throws InterruptedException {
        List<Outcome> outcomes = Collections.synchronizedList(new ArrayList<>());
        List<Thread> threads = new ArrayList<>();
        for (int k = 0; k < clients; k++) {
            Thread thread = new Thread(() -> sendUntil(address, jobClass, timeoutMillis, endMillis, outcomes));
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return outcomes;
    }

    /** How many of them were served. */
    static long served(List<Outcome> outcomes) {
        return outcomes.stream()
                .filter(outcome -> outcome.answer().status() == 200)
                .count();
    }

    private static void sendUntil(
            String address, String jobClass, long timeoutMillis, long endMillis, List<Outcome> outcomes) {
        byte[] body = "lunch".getBytes(StandardCharsets.UTF_8);
        try (Client client = new Client(address)) {
            while (Record.now() < endMillis) {
                String id = Client.newId();
                outcomes.add(new Outcome(id, jobClass, client.submit(id, jobClass, timeoutMillis, body)));
                Thread.sleep(PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
