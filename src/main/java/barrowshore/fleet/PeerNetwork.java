package barrowshore.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * A simulated network between schedulers: a public address for each, and a broadcast address. It owns these sockets and
 * the thread that forwards datagrams, with loss and partitions. It must not read contents, and forwards only what comes
 * from a scheduler's address.
 */
public final class PeerNetwork implements AutoCloseable {
    /** The platform's limit. */
    private static final int MAX_DATAGRAM_BYTES = 256;

    /** IP and UDP headers of a datagram. */
    public static final int HEADER_BYTES = 28;

    /** Datagrams of one scheduler; a broadcast counts as one sent. Bytes include headers. */
    public record Traffic(long sent, long sentBytes, long delivered, long deliveredBytes) {}

    private final List<DatagramChannel> publicChannels = new ArrayList<>();
    private final DatagramChannel broadcastChannel;
    private final List<InetSocketAddress> listenAddresses = new ArrayList<>();
    private final Map<SocketAddress, Integer> schedulerBySource = new HashMap<>();
    private final Selector selector;
    private final Thread forwarder;
    private final double loss;
    private final SplittableRandom random;
    /** The schedulers on one side of a partition; empty: no partition. Never modified, only replaced. */
    private volatile Set<Integer> partitionSide = Set.of();

    private final AtomicLongArray sent, sentBytes, delivered, deliveredBytes;
    private volatile long forwardedCount, lostCount, oversizedCount;

    /** Picks a free port for each scheduler to listen on, and starts forwarding. loss: share of datagrams lost. */
    public PeerNetwork(int count, double loss, long seed) throws IOException {
        this.loss = loss;
        this.random = new SplittableRandom(seed);
        sent = new AtomicLongArray(count);
        sentBytes = new AtomicLongArray(count);
        delivered = new AtomicLongArray(count);
        deliveredBytes = new AtomicLongArray(count);
        selector = Selector.open();
        broadcastChannel = openChannel(-1);
        List<DatagramChannel> portHolders = new ArrayList<>();
        try {
            for (int scheduler = 0; scheduler < count; scheduler++) {
                publicChannels.add(openChannel(scheduler));
                DatagramChannel portHolder = DatagramChannel.open().bind(freeLoopbackAddress());
                portHolders.add(portHolder);
                listenAddresses.add((InetSocketAddress) portHolder.getLocalAddress());
                schedulerBySource.put(portHolder.getLocalAddress(), scheduler);
            }
        } finally {
            for (DatagramChannel portHolder : portHolders) {
                portHolder.close();
            }
        }
        forwarder = new Thread(this::forwardUntilClosed, "datagrams between schedulers");
        forwarder.setDaemon(true);
        forwarder.start();
    }

    private static InetSocketAddress freeLoopbackAddress() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    private DatagramChannel openChannel(int scheduler) throws IOException {
        DatagramChannel channel = DatagramChannel.open().bind(freeLoopbackAddress());
        channel.configureBlocking(false);
        channel.register(selector, SelectionKey.OP_READ, scheduler);
        return channel;
    }

    /** Returns the address that a scheduler must listen on. */
    public InetSocketAddress listenAddress(int scheduler) {
        return listenAddresses.get(scheduler);
    }

    /** Returns the address at which the others reach a scheduler. */
    public InetSocketAddress publicAddress(int scheduler) throws IOException {
        return (InetSocketAddress) publicChannels.get(scheduler).getLocalAddress();
    }

    /** Returns the address that reaches all other schedulers. */
    public InetSocketAddress broadcastAddress() throws IOException {
        return (InetSocketAddress) broadcastChannel.getLocalAddress();
    }

    /** Drops datagrams between these schedulers and the others; empty: ends the partition. */
    void setPartition(Set<Integer> side) {
        partitionSide = Set.copyOf(side);
    }

    public Traffic traffic(int scheduler) {
        return new Traffic(
                sent.get(scheduler), sentBytes.get(scheduler), delivered.get(scheduler), deliveredBytes.get(scheduler));
    }

    long forwardedCount() {
        return forwardedCount;
    }

    long lostCount() {
        return lostCount;
    }

    /** Returns how many datagrams exceeded the platform's limit; there must be none. */
    long oversizedCount() {
        return oversizedCount;
    }

    private void forwardUntilClosed() {
        ByteBuffer buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES + 1); // one more byte shows a longer one
        while (selector.isOpen()) {
            try {
                selector.select();
                for (SelectionKey key : selector.selectedKeys()) {
                    buffer.clear();
                    SocketAddress source = ((DatagramChannel) key.channel()).receive(buffer);
                    Integer sender = source == null ? null : schedulerBySource.get(source);
                    if (sender != null) {
                        buffer.flip();
                        sent.incrementAndGet(sender);
                        sentBytes.addAndGet(sender, buffer.remaining() + HEADER_BYTES);
                        oversizedCount += buffer.remaining() > MAX_DATAGRAM_BYTES ? 1 : 0;
                        int receiver = (Integer) key.attachment();
                        for (int scheduler = 0; scheduler < publicChannels.size(); scheduler++) {
                            if (scheduler != sender && (receiver < 0 || receiver == scheduler)) {
                                deliver(sender, scheduler, buffer.duplicate());
                            }
                        }
                    }
                }
                selector.selectedKeys().clear();
            } catch (ClosedSelectorException e) {
                return;
            } catch (IOException e) {
                lostCount++; // its receiver is down: the datagram is lost, as on a real network
            }
        }
    }

    private void deliver(int sender, int receiver, ByteBuffer datagram) throws IOException {
        Set<Integer> side = partitionSide;
        if (!side.isEmpty() && side.contains(sender) != side.contains(receiver) || random.nextDouble() < loss) {
            lostCount++;
            return;
        }
        int bytes = datagram.remaining() + HEADER_BYTES;
        publicChannels.get(sender).send(datagram, listenAddresses.get(receiver));
        delivered.incrementAndGet(receiver);
        deliveredBytes.addAndGet(receiver, bytes);
        forwardedCount++;
    }

    @Override
    public void close() throws IOException {
        selector.close();
        broadcastChannel.close();
        for (DatagramChannel channel : publicChannels) {
            channel.close();
        }
    }
}
