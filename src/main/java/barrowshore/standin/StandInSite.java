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
 * A small site on loopback sockets: two halls of stand-in workers, a stand-in discovery, and a real scheduler for each
 * hall, all in this process. It owns them from start to stop. There are no more than two schedulers, as each has the
 * other's address in place of the platform's address for all peers.
 */
public final class StandInSite implements AutoCloseable {
    private static final List<String> HALLS = StandInConfig.HALLS;
    private static final int CORES_PER_WORKER = 4, MAX_CONNECTIONS = 2048;

    private final ExecutorService pool = Executors.newFixedThreadPool(4, task -> {
        Thread thread = new Thread(task, "stand-ins");
        thread.setDaemon(true);
        return thread;
    });
    private final Scheduler timers = new ScheduledExecutorScheduler("stand-in timers", true, 1);
    private final StandInListener listener;
    private final StandInDiscovery discovery;
    private final List<List<StandInWorker>> workersByHall = new ArrayList<>();
    private final Map<String, Long> bootMillisByUid = new HashMap<>();
    private final List<JobScheduler> schedulers = new ArrayList<>();

    /** Starts the workers of each hall, then the schedulers. */
    public StandInSite(int workersPerHall, OperatorSettings operator) throws Exception {
        timers.start();
        listener = new StandInListener(pool, timers, MAX_CONNECTIONS);
        discovery = new StandInDiscovery(listener, pool, timers);
        for (int hall = 0; hall < HALLS.size(); hall++) {
            workersByHall.add(new ArrayList<>());
            for (int number = 0; number < workersPerHall; number++) {
                StandInWorker worker = new StandInWorker(
                        "s-" + "ab".charAt(hall) + number,
                        new WorkerModel.Spec(
                                CORES_PER_WORKER,
                                1,
                                40,
                                number % 2 == 0,
                                StandInConfig.START_CAPACITY,
                                StandInConfig.WARM_UP_MICROS),
                        new WorkerModel.OverloadLimit(
                                StandInConfig.OVERLOAD_MULTIPLE,
                                StandInConfig.OVERLOAD_WINDOW_MICROS,
                                StandInConfig.MEAN_JOB_MICROS),
                        StandInConfig.PROGRESS_INTERVAL_MICROS,
                        listener,
                        pool,
                        timers);
                workersByHall.get(hall).add(worker);
                publish(hall, worker, "Ready");
            }
        }
        int[] ports = {findFreeUdpPort(), findFreeUdpPort()};
        for (int scheduler = 0; scheduler < HALLS.size(); scheduler++) {
            schedulers.add(
                    JobScheduler.start(new SchedulerConfig(Config.parse(schedulerConfig(scheduler, ports)), operator)));
        }
    }

    private static int findFreeUdpPort() throws SocketException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private String schedulerConfig(int scheduler, int[] ports) {
        List<String> peers = List.of("127.0.0.1:" + ports[0], "127.0.0.1:" + ports[1]);
        return StandInConfig.toJson(
                "scheduler-" + scheduler,
                loopback(0),
                discovery.address(),
                scheduler,
                scheduler,
                loopback(ports[scheduler]),
                peers,
                loopback(ports[1 - scheduler]));
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private void publish(int hall, StandInWorker worker, String state) {
        discovery.publish(
                worker.uid(),
                worker.address(),
                HALLS.get(hall),
                "usual",
                CORES_PER_WORKER,
                state,
                bootMillisByUid.getOrDefault(worker.uid(), 0L));
    }

    public List<String> hallNames() {
        return HALLS;
    }

    public List<StandInWorker> workers(int hall) {
        return workersByHall.get(hall);
    }

    public List<JobScheduler> schedulers() {
        return schedulers;
    }

    /** Returns the address that clients of a hall connect to. */
    public InetSocketAddress clientAddress(int hall) throws Exception {
        return schedulers.get(hall).address();
    }

    /** Polls both schedulers until they are ready. */
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

    /** Crashes all workers of a hall at once; discovery still lists them. */
    public void crashHall(int hall) {
        CompletableFuture.allOf(workersByHall.get(hall).stream()
                        .map(StandInWorker::crash)
                        .toArray(CompletableFuture[]::new))
                .join();
    }

    /** Removes a hall's workers from discovery. */
    public void delistHall(int hall) {
        workersByHall.get(hall).forEach(worker -> publish(hall, worker, "Gone"));
    }

    /** Restarts a hall's workers, which are then cold, and lists them in discovery with their start times. */
    public void restartHall(int hall) {
        for (StandInWorker worker : workersByHall.get(hall)) {
            bootMillisByUid.put(worker.uid(), worker.restart().join());
            publish(hall, worker, "Ready");
        }
    }

    /** Returns the counters of all workers of both halls. */
    public List<StandInWorker.Counters> workerCounters() {
        return workersByHall.stream()
                .flatMap(List::stream)
                .map(worker -> worker.counters().join())
                .toList();
    }

    @Override
    public void close() throws IOException {
        for (JobScheduler scheduler : schedulers) {
            scheduler.stop();
        }
        discovery.stop();
        workersByHall.forEach(hall -> hall.forEach(StandInWorker::stop));
        listener.stop();
        LifeCycle.stop(timers);
        pool.shutdownNow();
    }
}
