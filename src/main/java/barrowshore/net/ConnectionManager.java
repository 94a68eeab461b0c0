package barrowshore.net;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.nio.channels.NetworkChannel;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.IO;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Opens and accepts all sockets; independent of the protocols spoken on them. It owns the selector and two budgets of
 * descriptors, for client and for outgoing connections. A permit is taken when an accept or a dial starts and returned
 * once the descriptor is released, which is later than the close of the channel (see {@link #afterRelease}).
 */
public final class ConnectionManager extends SelectorManager {
    private static final System.Logger LOG = System.getLogger(ConnectionManager.class.getName());

    /** Marks a connection that was accepted and so counts against the budget of client connections. */
    public interface AcceptedConnection {}

    /** Receives the outcome of a dial: creates the protocol's connection on the new end point, or gets the failure. */
    public interface DialHandler extends Function<EndPoint, Connection> {
        /** The dial has failed; called instead of {@link #apply}. */
        void onDialFailed(Throwable cause);
    }

    /** How often {@link #stopListening} tries to accept connections that still wait for a permit. */
    private static final int MAX_ACCEPT_SWEEPS = 100;

    private static final long ACCEPT_SWEEP_INTERVAL_MILLIS = 10;

    /**
     * For what the system keeps of a connection's unread bytes, which counts as this process's memory where that is limited.
     * Left to itself the system lets it grow to some megabytes for each connection.
     */
    private static final int RECEIVE_BUFFER_BYTES = 32 * 1024;

    private final ResizableSemaphore outgoingPermits;
    private final ResizableSemaphore clientPermits;
    private final Function<EndPoint, Connection> acceptedConnectionFactory;
    private volatile long connectTimeoutMillis;
    /** The only selector; null until the start, and kept after the stop, which closes connections that still use it. */
    private volatile ManagedSelector selector;
    /** Accepted connections until their descriptors are released, even if no actor knows them yet. */
    private final AtomicInteger openClientConnections = new AtomicInteger();

    /** The listening socket's key while accepting is paused for lack of permits, else null; selector thread only. */
    private SelectionKey pausedListenKey;

    private final AtomicReference<Runnable> clientsGoneCallback = new AtomicReference<>();

    public ConnectionManager(
            Executor pool,
            Scheduler scheduler,
            int maxOutgoing,
            int maxClients,
            long connectTimeoutMillis,
            Function<EndPoint, Connection> acceptedConnectionFactory) {
        super(pool, scheduler, 1);
        this.outgoingPermits = new ResizableSemaphore(maxOutgoing);
        this.clientPermits = new ResizableSemaphore(maxClients);
        this.acceptedConnectionFactory = acceptedConnectionFactory;
        this.connectTimeoutMillis = connectTimeoutMillis;
    }

    @Override
    protected ManagedSelector newSelector(int id) {
        selector = super.newSelector(id);
        return selector;
    }

    /** Dials; returns false, without calling the handler, if fewer than {@code descriptorsToLeave} would remain free. */
    public boolean dial(InetSocketAddress address, int descriptorsToLeave, DialHandler handler) {
        if (!outgoingPermits.tryAcquire(1 + descriptorsToLeave)) {
            return false;
        }
        outgoingPermits.release(descriptorsToLeave);
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            limitReceiveBuffer(channel);
            if (channel.connect(address)) {
                accept(channel, handler);
            } else {
                connect(channel, handler);
                scheduleConnectTimeout(channel, handler);
            }
        } catch (IOException | RuntimeException e) {
            IO.close(channel);
            outgoingPermits.release();
            handler.onDialFailed(e);
        }
        return true;
    }

    /**
     * Limits the time to connect. In a process short of processor time the timer may fire before the selector has noticed
     * an established connection, so the selector's thread decides after one more selection. Jetty's own connect timeout,
     * which has no such check, is far longer.
     */
    private void scheduleConnectTimeout(SocketChannel channel, DialHandler handler) {
        long limitMillis = connectTimeoutMillis;
        getScheduler()
                .schedule(
                        () -> {
                            if (channel.isConnectionPending()) {
                                selector.submit(keys -> selector.submit(nextKeys -> {
                                    if (channel.isConnectionPending()) {
                                        connectionFailed(
                                                channel,
                                                new SocketTimeoutException(
                                                        "not connected within " + limitMillis + " ms"),
                                                handler);
                                    }
                                }));
                            }
                        },
                        limitMillis,
                        TimeUnit.MILLISECONDS);
    }

    /**
     * Limits what the system keeps of unread bytes; one that refuses has a limit of its own. To be called before the socket
     * connects or listens: accepted connections have the limit of the listening socket.
     */
    public static void limitReceiveBuffer(NetworkChannel channel) {
        try {
            channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
        } catch (IOException e) {
            LOG.log(Level.DEBUG, "the receive buffer of a socket cannot be limited", e);
        }
    }

    public void listen(ServerSocketChannel server) throws IOException {
        server.configureBlocking(false);
        acceptor(server);
    }

    /**
     * Stops listening without losing connections: closing the socket would reset those in its backlog. So it is first
     * deregistered, since a registered socket is closed only at a later selection; then all waiting connections are
     * accepted and the socket is closed at once. The callback runs after that.
     */
    public void stopListening(ServerSocketChannel server, Runnable ended) {
        selector.submit(keys -> {
            SelectionKey key = server.keyFor(keys);
            if (key != null) {
                key.cancel();
            }
            selector.submit(nextKeys -> acceptWaitingThenClose(server, MAX_ACCEPT_SWEEPS, ended));
        });
    }

    private void acceptWaitingThenClose(ServerSocketChannel server, int sweepsLeft, Runnable ended) {
        try {
            for (SelectableChannel channel = doAccept(server); channel != null; channel = doAccept(server)) {
                accepted(channel);
            }
            if (sweepsLeft > 0 && (server.isRegistered() || clientPermits.availablePermits() <= 0)) {
                getScheduler()
                        .schedule(
                                () -> selector.submit(keys -> acceptWaitingThenClose(server, sweepsLeft - 1, ended)),
                                ACCEPT_SWEEP_INTERVAL_MILLIS,
                                TimeUnit.MILLISECONDS);
            } else {
                server.close();
                ended.run();
            }
        } catch (IOException e) {
            IO.close(server);
            ended.run();
        }
    }

    /** Sets the time limit of dials that begin from now on. */
    public void setConnectTimeout(long millis) {
        connectTimeoutMillis = millis;
    }

    /** Changes both budgets; negative deltas take effect as descriptors in use are released. */
    public void addPermits(int outgoingDelta, int clientDelta) {
        outgoingPermits.addPermits(outgoingDelta);
        clientPermits.addPermits(clientDelta);
        selector.submit(keys -> resumeAccepting());
    }

    /** A semaphore whose permits may be reduced even while all are in use. */
    private static final class ResizableSemaphore extends Semaphore {
        private static final long serialVersionUID = 1;

        ResizableSemaphore(int permits) {
            super(permits);
        }

        void addPermits(int delta) {
            if (delta < 0) {
                reducePermits(-delta);
            } else {
                release(delta);
            }
        }
    }

    /**
     * Accepts only while there are client permits; other connections wait in the backlog. Without this limit a burst of
     * 1,200 idle connections used up all descriptors, and nothing could be dialed.
     */
    @Override
    protected SelectableChannel doAccept(SelectableChannel server) throws IOException {
        if (!clientPermits.tryAcquire()) {
            pauseAccepting(server);
            return null;
        }
        SelectableChannel channel = null;
        try {
            channel = super.doAccept(server);
            return channel;
        } finally {
            if (channel == null) {
                clientPermits.release();
            } else {
                openClientConnections.incrementAndGet();
            }
        }
    }

    /**
     * Removes the interest in accepts. Otherwise the selector would spin on connections that it may not accept, and take
     * processor time from the threads that close others and so free permits.
     */
    private void pauseAccepting(SelectableChannel server) {
        SelectionKey key = server.keyFor(selector.getSelector());
        if (key != null && key.isValid()) {
            key.interestOps(0);
            pausedListenKey = key;
        }
    }

    private void resumeAccepting() {
        SelectionKey key = pausedListenKey;
        pausedListenKey = null;
        if (key != null && key.isValid()) {
            key.interestOps(SelectionKey.OP_ACCEPT);
        }
    }

    @Override
    protected void accepted(SelectableChannel channel) {
        try {
            channel.configureBlocking(false);
            ((SocketChannel) channel).setOption(StandardSocketOptions.TCP_NODELAY, true);
            accept(channel, null);
        } catch (IOException e) {
            IO.close(channel); // the client left while in the backlog; go on with the others
            releaseClientPermit();
        }
    }

    @Override
    protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        return new SocketChannelEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }

    @Override
    public Connection newConnection(SelectableChannel channel, EndPoint endPoint, Object attachment) {
        return attachment instanceof DialHandler handler
                ? handler.apply(endPoint)
                : acceptedConnectionFactory.apply(endPoint);
    }

    @Override
    public void connectionClosed(Connection connection, Throwable cause) {
        super.connectionClosed(connection, cause);
        SelectableChannel channel = ((SocketChannelEndPoint) connection.getEndPoint()).getChannel();
        afterRelease(
                channel,
                connection instanceof AcceptedConnection ? this::releaseClientPermit : outgoingPermits::release);
    }

    /**
     * Runs the action once the descriptor of a closed channel is released. The JDK keeps the descriptor of a registered
     * channel until the next selection, before which many others may be accepted: with permits returned at the close, a
     * burst of clients held more descriptors than their budget.
     */
    private void afterRelease(SelectableChannel channel, Runnable action) {
        selector.submit(keys -> {
            if (channel.isRegistered()) {
                afterRelease(channel, action);
            } else {
                action.run();
            }
        });
    }

    /** Setting up an accepted connection, or a dialed one that was established at once, has failed. */
    @Override
    protected void onAcceptFailed(SelectableChannel channel, Throwable cause, Object attachment) {
        super.onAcceptFailed(channel, cause, attachment);
        if (attachment instanceof DialHandler handler) {
            afterRelease(channel, outgoingPermits::release);
            handler.onDialFailed(cause);
        } else {
            afterRelease(channel, this::releaseClientPermit);
        }
    }

    private void releaseClientPermit() {
        clientPermits.release();
        resumeAccepting();
        if (openClientConnections.decrementAndGet() == 0) {
            notifyIfClientsGone();
        }
    }

    /** Runs the callback once no accepted connection is open; for use after {@link #stopListening} is done. */
    public void runWhenClientsGone(Runnable callback) {
        clientsGoneCallback.set(callback);
        notifyIfClientsGone();
    }

    private void notifyIfClientsGone() {
        Runnable callback = openClientConnections.get() == 0 ? clientsGoneCallback.getAndSet(null) : null;
        if (callback != null) {
            callback.run();
        }
    }

    @Override
    protected void connectionFailed(SelectableChannel channel, Throwable cause, Object attachment) {
        IO.close(channel);
        if (attachment instanceof DialHandler handler) {
            afterRelease(channel, outgoingPermits::release);
            handler.onDialFailed(cause);
        }
    }
}
