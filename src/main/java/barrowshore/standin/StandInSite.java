package barrowshore.standin;

import barrowshore.config.Config;
import barrowshore.model.WorkerModel;
import barrowshore.node.JobScheduler;
import barrowshore.operator.OperatorSettings;
import barrowshore.operator.SchedulerConfig;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A small site on loopback sockets: halls of stand-in nodes, a stand-in discovery, and real schedulers, all in this
 * process. It owns them from start to stop. Two schedulers at most: they reach each other without the platform's help.
 */
public final class StandInSite implements AutoCloseable {
    private static final List<String> HALLS = StandInConfig.HALLS;
    private static final int CORES = 4, MOST_CONNECTIONS = 2048;

    private final ExecutorService pool = Executors.newFixedThreadPool(4, run -> {
        Thread thread = new Thread(run, "stand-ins");
        thread.setDaemon(true);
        return thread;
    });
    private final Scheduler timers = new ScheduledExecutorScheduler("stand-ins' timers", true, 1);
    private final StandInListener front;
    private final StandInDiscovery discovery;
    private final List<List<StandInWorker>> halls = new ArrayList<>();
    private final Map<String, Long> boots = new HashMap<>();
    private final List<JobScheduler> schedulers = new ArrayList<>();

    /** Starts halls of so many nodes and a scheduler in each. */
    public StandInSite(int nodes, OperatorSettings operator) throws Exception {
        timers.start();
        front = new StandInListener(pool, timers, MOST_CONNECTIONS);
        discovery = new StandInDiscovery(front, pool, timers);
        for (int h = 0; h < HALLS.size(); h++) {
            halls.add(new ArrayList<>());
            for (int n = 0; n < nodes; n++) {
                StandInWorker node = new StandInWorker(
                        "s-" + "ab".charAt(h) + n,
                        new WorkerModel.Spec(
                                CORES, 1, 40, n % 2 == 0, StandInConfig.START_CAPACITY, StandInConfig.WARM_UP_MICROS),
                        new WorkerModel.OverloadLimit(
                                StandInConfig.OVERLOAD_MULTIPLE,
                                StandInConfig.OVERLOAD_WINDOW_MICROS,
                                StandInConfig.MEAN_JOB_MICROS),
                        StandInConfig.PROGRESS_INTERVAL_MICROS,
                        front,
                        pool,
                        timers);
                halls.get(h).add(node);
                tell(h, node, "Ready");
            }
        }
        int[] ports = {freePort(), freePort()};
        for (int s = 0; s < HALLS.size(); s++) {
            schedulers.add(JobScheduler.start(new SchedulerConfig(Config.parse(config(s, ports)), operator)));
        }
    }

    private static int freePort() throws SocketException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private String config(int me, int[] ports) {
        List<String> peers = List.of("127.0.0.1:" + ports[0], "127.0.0.1:" + ports[1]);
        return StandInConfig.toJson(
                "scheduler-" + me,
                loopback(0),
                discovery.address(),
                me,
                me,
                loopback(ports[me]),
                peers,
                loopback(ports[1 - me]));
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private void tell(int hall, StandInWorker node, String state) {
        discovery.publish(
                node.uid(), node.address(), HALLS.get(hall), "usual", CORES, state, boots.getOrDefault(node.uid(), 0L));
    }

    /** The names of its halls. */
    public List<String> hallNames() {
        return HALLS;
    }

    public List<StandInWorker> nodes(int hall) {
        return halls.get(hall);
    }

    public List<JobScheduler> schedulers() {
        return schedulers;
    }

    /** Where the clients of a hall connect. */
    public InetSocketAddress entrance(int hall) throws Exception {
        return schedulers.get(hall).address();
    }

    /** Asks both schedulers until they serve. */
    public void awaitReady() throws Exception {
        for (JobScheduler scheduler : schedulers) {
            String answer = "";
            while (!answer.startsWith("HTTP/1.1 200")) {
                try (Socket socket = new Socket(
                        InetAddress.getLoopbackAddress(), scheduler.address().getPort())) {
                    socket.getOutputStream()
                            .write("GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                                    .getBytes(StandardCharsets.ISO_8859_1));
                    answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
                }
            }
        }
    }

    /** Every node of a hall dies at once. Discovery knows nothing of it yet. */
    public void lose(int hall) {
        CompletableFuture.allOf(
                        halls.get(hall).stream().map(StandInWorker::crash).toArray(CompletableFuture[]::new))
                .join();
    }

    /** The list hears at last that a hall's nodes are gone. */
    public void delist(int hall) {
        halls.get(hall).forEach(node -> tell(hall, node, "Gone"));
    }

    /** They start again, cold, and the list says so. */
    public void regain(int hall) {
        for (StandInWorker node : halls.get(hall)) {
            boots.put(node.uid(), node.restart().join());
            tell(hall, node, "Ready");
        }
    }

    /** What all nodes have counted. */
    public List<StandInWorker.Counters> counts() {
        return halls.stream()
                .flatMap(List::stream)
                .map(node -> node.counters().join())
                .toList();
    }

    @Override
    public void close() throws IOException {
        for (JobScheduler scheduler : schedulers) {
            scheduler.stop();
        }
        discovery.stop();
        halls.forEach(hall -> hall.forEach(StandInWorker::stop));
        front.stop();
        LifeCycle.stop(timers);
        pool.shutdownNow();
    }
}
