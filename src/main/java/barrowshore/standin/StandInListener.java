package barrowshore.standin;

import barrowshore.net.ConnectionManager;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.Function;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * One selector for all stand-ins of a process, each behind a loopback port of its own. It owns the selector and the
 * listening sockets, and must never listen elsewhere than on loopback.
 */
public final class StandInListener {
    private static final int BACKLOG = 256;

    /** A port that is listened on. */
    private record ListeningPort(ServerSocketChannel channel, Function<EndPoint, Connection> connectionFactory) {}

    private final Map<Integer, ListeningPort> listeningPorts = new ConcurrentHashMap<>();
    private final ConnectionManager connectionManager;

    /** most: connections to all of its doors together. */
    public StandInListener(Executor pool, Scheduler timers, int maxConnections) throws Exception {
        connectionManager = new ConnectionManager(pool, timers, 1, maxConnections, 1000, this::openConnection);
        connectionManager.start();
    }

    private Connection openConnection(EndPoint endPoint) {
        ListeningPort listening = listeningPorts.get(((InetSocketAddress) endPoint.getLocalSocketAddress()).getPort());
        if (listening == null) {
            throw new IllegalStateException("nobody listens there any more");
        }
        return listening.connectionFactory.apply(endPoint);
    }

    /** Listens on a port (0: a free one) until it is closed; returns the port. */
    int open(int port, Function<EndPoint, Connection> connectionFactory) throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        try {
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            channel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
        } catch (IOException e) {
            channel.close();
            throw e;
        }
        int boundPort = ((InetSocketAddress) channel.getLocalAddress()).getPort();
        listeningPorts.put(boundPort, new ListeningPort(channel, connectionFactory));
        connectionManager.listen(channel);
        return boundPort;
    }

    /** Refuses new connections there; the port is free again a little later, when the selector has let go. */
    void close(int port) {
        ListeningPort listening = listeningPorts.remove(port);
        if (listening != null) {
            try {
                listening.channel.close();
                // The selector lets go only in its next turn, and where nothing else happens there is none.
                connectionManager.getBean(ManagedSelector.class).submit(keys -> {});
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** Closes all doors. */
    public void stop() {
        listeningPorts.keySet().forEach(this::close);
        LifeCycle.stop(connectionManager);
    }
}
