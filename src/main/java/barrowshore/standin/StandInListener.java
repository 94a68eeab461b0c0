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
    private record Door(ServerSocketChannel channel, Function<EndPoint, Connection> opener) {}

    private final Map<Integer, Door> doors = new ConcurrentHashMap<>();
    private final ConnectionManager dialer;

    /** most: connections to all of its doors together. */
    public StandInListener(Executor pool, Scheduler timers, int most) throws Exception {
        dialer = new ConnectionManager(pool, timers, 1, most, 1000, this::accepted);
        dialer.start();
    }

    private Connection accepted(EndPoint endPoint) {
        Door door = doors.get(((InetSocketAddress) endPoint.getLocalSocketAddress()).getPort());
        if (door == null) {
            throw new IllegalStateException("nobody listens there any more");
        }
        return door.opener.apply(endPoint);
    }

    /** Listens on a port (0: a free one) until it is closed; returns the port. */
    int open(int port, Function<EndPoint, Connection> opener) throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        try {
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            channel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
        } catch (IOException e) {
            channel.close();
            throw e;
        }
        int bound = ((InetSocketAddress) channel.getLocalAddress()).getPort();
        doors.put(bound, new Door(channel, opener));
        dialer.listen(channel);
        return bound;
    }

    /** Refuses new connections there; the port is free again a little later, when the selector has let go. */
    void close(int port) {
        Door door = doors.remove(port);
        if (door != null) {
            try {
                door.channel.close();
                // The selector lets go only in its next turn, and where nothing else happens there is none.
                dialer.getBean(ManagedSelector.class).submit(keys -> {});
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** Closes all doors. */
    public void stop() {
        doors.keySet().forEach(this::close);
        LifeCycle.stop(dialer);
    }
}
