package barrowshore.servers;

import barrowshore.list.ServerList;
import barrowshore.list.ServerList.Update;
import barrowshore.net.ConnectionManager;
import barrowshore.net.ManualTime;
import barrowshore.wire.Json;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.locks.ReentrantLock;
import org.eclipse.jetty.util.component.LifeCycle;

/**
 * A {@link ServiceDiscovery} by simulated time over real connections. The actor runs in the thread that posts to it, so that
 * a step of time has done all its work when it returns.
 */
final class DiscoveryFixture implements AutoCloseable, ServiceDiscovery.Listener {
    static final ServerList.ZoneKindNames NAMES = new ServerList.ZoneKindNames(List.of("a"), List.of("m"));
    static final Update EMPTY_LIST = new Update(0, true, List.of());

    final ManualTime time = new ManualTime();
    final BlockingQueue<Update> updates = new LinkedBlockingQueue<>();
    private final ExecutorService pool = Executors.newFixedThreadPool(4);
    /** Held by whichever thread runs the actor. */
    private final ReentrantLock actorLock = new ReentrantLock();
    /** Its connect timeout is longer than the one of service discovery. */
    private final ConnectionManager connectionManager =
            new ConnectionManager(pool, time, 50, 1, 60_000, endPoint -> null);

    ServiceDiscovery client;
    /** The list known at the end of the startup wait; null before. */
    volatile Update listAtStartupWaitEnd;

    DiscoveryFixture() throws Exception {
        connectionManager.start();
    }

    void start(InetSocketAddress address, Update configuredList, long graceMicros, boolean besidePredecessor) {
        client = new ServiceDiscovery(
                address, NAMES, this::runLocked, connectionManager, time, this, configuredList, graceMicros);
        client.open(besidePredecessor);
    }

    private void runLocked(Runnable message) {
        actorLock.lock();
        try {
            message.run();
        } finally {
            actorLock.unlock();
        }
    }

    /** Waits until the actor has finished what it is running in another thread. */
    void awaitActor() {
        runLocked(() -> {});
    }

    /** Waits, without advancing time, until the actor has read something and so has set a timer. */
    void awaitTimerSince(long scheduledBefore) {
        while (time.scheduled() == scheduledBefore) {
            Thread.onSpinWait();
        }
        awaitActor();
    }

    @Override
    public void updated(Update update) {
        updates.add(update);
    }

    @Override
    public void startupWaitEnded(Update knownList) {
        listAtStartupWaitEnd = knownList;
    }

    static String listJson(long rev, boolean all, String state) {
        return "{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":[{\"uid\":\"s-1\",\"endpoint\":\"127.0.0.1:1\","
                + "\"az\":\"a\",\"model\":\"m\",\"state\":\"" + state + "\"}]}\n";
    }

    static Update parse(String listJson) {
        return ServerList.parse((Map<?, ?>) Json.parse(listJson), NAMES);
    }

    @Override
    public void close() {
        LifeCycle.stop(connectionManager);
        pool.shutdownNow();
    }
}
