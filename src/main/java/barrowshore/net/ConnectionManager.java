package barrowshore.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
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
 * Opens and accepts every socket. It owns the selector and the budgets of descriptors for clients' and for outgoing
 * connections: a permit is taken when an accept or a dial starts and given back when the descriptor has been released,
 * which is later than the close of the channel (see {@link #afterRelease}). It must never know what is spoken on a
 * connection.
 */
public final class ConnectionManager extends SelectorManager {
    /** Marks a connection that was accepted, and so counts among the clients'. */
    public interface AcceptedConnection {}

    /** Makes the connection that speaks on a fresh end point. */
    public interface DialHandler extends Function<EndPoint, Connection> {
        /** The dial has failed; called instead of {@link #apply}. */
        void onDialFailed(Throwable cause);
    }

    /** How often, and how many milliseconds apart, is looked whether those that wait for a descriptor can be taken in. */
    private static final int MAX_ACCEPT_SWEEPS = 100;

    private static final long ACCEPT_SWEEP_INTERVAL_MILLIS = 10;

    private final ResizableSemaphore outgoingPermits;
    private final ResizableSemaphore clientPermits;
    private final Function<EndPoint, Connection> acceptedConnectionFactory;
    private final long connectTimeoutMillis;
    /** The only one; null until the start, and kept after the end for connections that are closed by it. */
    private volatile ManagedSelector selector;
    /** Clients' connections from their accept to their end, also those that no actor knows yet; the permits given out. */
    private final AtomicInteger openClientConnections = new AtomicInteger();

    /** The listening socket's key while nothing is accepted for want of a permit, else null; the selector thread's. */
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

    /** Dials; false if that would not leave so many descriptors to others, in which case the opener hears nothing. */
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
     * Guards what is up against being taken for what never came up: where the process is short of processor time, the
     * limit may run out while the selector has yet to look at a connection that has long been up. So the selector's own
     * thread decides, after it has looked once more. Its limit on connecting, which does not look, is far longer.
     */
    private void scheduleConnectTimeout(SocketChannel channel, DialHandler handler) {
        getScheduler()
                .schedule(
                        () -> {
                            if (channel.isConnectionPending()) {
                                selector.submit(keys -> selector.submit(nextKeys -> {
                                    if (channel.isConnectionPending()) {
                                        connectionFailed(
                                                channel,
                                                new SocketTimeoutException("not up in " + connectTimeoutMillis + " ms"),
                                                handler);
                                    }
                                }));
                            }
                        },
                        connectTimeoutMillis,
                        TimeUnit.MILLISECONDS);
    }

    public void listen(ServerSocketChannel server) throws IOException {
        server.configureBlocking(false);
        acceptor(server);
    }

    /**
     * Stops listening without a loss: a connection that waits in the queue of a socket that is closed is reset. So the
     * socket is taken from the selector first, since one that a selector still knows is closed only later; then, in one
     * go, all that wait are taken in and it is closed. The message runs after that.
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

    /** So many descriptors more; less than 0: fewer, those in use as they are given back. */
    public void addPermits(int outgoingDelta, int clientDelta) {
        outgoingPermits.addPermits(outgoingDelta);
        clientPermits.addPermits(clientDelta);
        selector.submit(keys -> resumeAccepting());
    }

    /** Permits that may become fewer while all are given out. */
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
     * Guards the descriptors: 1,200 idle connections in a burst once used them all up before the client side had closed
     * any, and nothing could be dialed. Above the clients' part the rest wait in the backlog until one has ended.
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
     * Guards the processor: a selector that goes on looking for connections that it may not accept never rests, while those
     * that would close others and so make room wait for their turn, and the queue grows.
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
            IO.close(channel); // it has gone while it waited; the others that wait have not
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
     * Runs the action once the descriptor of a closed channel has been released. The JDK keeps the descriptor of a channel
     * that a selector knows until the next selection, and the selector's thread may accept many others before that: with
     * permits that came back at the close, a burst of clients had more descriptors than their budget.
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

    /** A connection that was up at once, accepted or dialed, and never came to be one. */
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

    /** The message runs once no accepted connection is open; for when no more are accepted. */
    public void whenClientsGone(Runnable callback) {
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
