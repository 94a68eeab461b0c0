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
 * Accepts the connections to all stand-ins of a process, each on a port of its own, with one selector. It owns the
 * selector and the listening sockets, and must listen on loopback only.
 */
public final class StandInListener {
    private static final int BACKLOG = 256;

    private record ListeningPort(ServerSocketChannel channel, Function<EndPoint, Connection> connectionFactory) {}

    private final Map<Integer, ListeningPort> listeningPorts = new ConcurrentHashMap<>();
    private final ConnectionManager connectionManager;

    /** maxConnections: over all ports together. */
    public StandInListener(Executor pool, Scheduler timers, int maxConnections) throws Exception {
        connectionManager = new ConnectionManager(pool, timers, 1, maxConnections, 1000, this::openConnection);
        connectionManager.start();
    }

    private Connection openConnection(EndPoint endPoint) {
        ListeningPort listening = listeningPorts.get(((InetSocketAddress) endPoint.getLocalSocketAddress()).getPort());
        if (listening == null) {
            throw new IllegalStateException("the port of this connection was closed after the connection was accepted");
        }
        return listening.connectionFactory.apply(endPoint);
    }

    /** Listens on a port (0: any free one) until {@link #close}; returns the port. */
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

    /** Refuses new connections; the port is free again a little later, once the selector has released its channel. */
    void close(int port) {
        ListeningPort listening = listeningPorts.remove(port);
        if (listening != null) {
            try {
                listening.channel.close();
                // The selector releases a closed channel in its next select, which nothing else may trigger.
                connectionManager.getBean(ManagedSelector.class).submit(keys -> {});
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** Closes all ports and connections. */
    public void stop() {
        listeningPorts.keySet().forEach(this::close);
        LifeCycle.stop(connectionManager);
    }
}
