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
 * The network between schedulers: one address for each, by which all others know it, and one for all of them. It owns
 * these sockets and the thread that carries datagrams between them, loses some and cuts parts off from one another. It
 * must never read what they say, nor carry one from an address that is no scheduler's.
 */
public final class PeerNetwork implements AutoCloseable {
    /** The platform's most, and one more to see a longer one. */
    private static final int MOST = 256;

    /** Bytes of the IP and UDP heads of a datagram. */
    public static final int HEADER_BYTES = 28;

    /** What one scheduler has sent, once for all others, and been brought; bytes with heads. */
    public record Traffic(long sent, long sentBytes, long delivered, long deliveredBytes) {}

    private final List<DatagramChannel> doors = new ArrayList<>();
    private final DatagramChannel all;
    private final List<InetSocketAddress> schedulers = new ArrayList<>();
    private final Map<SocketAddress, Integer> bySource = new HashMap<>();
    private final Selector selector;
    private final Thread carrier;
    private final double loss;
    private final SplittableRandom chance;
    /** The schedulers on one side of a cut; replaced as a whole, read by the carrier. */
    private volatile Set<Integer> apart = Set.of();

    private final AtomicLongArray sent, sentBytes, brought, broughtBytes;
    private volatile long carried, lost, tooLong;

    /** So many schedulers, each at a free port of its own that it will listen on. */
    public PeerNetwork(int count, double loss, long seed) throws IOException {
        this.loss = loss;
        this.chance = new SplittableRandom(seed);
        sent = new AtomicLongArray(count);
        sentBytes = new AtomicLongArray(count);
        brought = new AtomicLongArray(count);
        broughtBytes = new AtomicLongArray(count);
        selector = Selector.open();
        all = open(-1);
        List<DatagramChannel> held = new ArrayList<>();
        try {
            for (int k = 0; k < count; k++) {
                doors.add(open(k));
                DatagramChannel port = DatagramChannel.open().bind(loopback());
                held.add(port);
                schedulers.add((InetSocketAddress) port.getLocalAddress());
                bySource.put(port.getLocalAddress(), k);
            }
        } finally {
            for (DatagramChannel port : held) {
                port.close();
            }
        }
        carrier = new Thread(this::carry, "datagrams between schedulers");
        carrier.setDaemon(true);
        carrier.start();
    }

    private static InetSocketAddress loopback() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    private DatagramChannel open(int scheduler) throws IOException {
        DatagramChannel channel = DatagramChannel.open().bind(loopback());
        channel.configureBlocking(false);
        channel.register(selector, SelectionKey.OP_READ, scheduler);
        return channel;
    }

    /** Where a scheduler listens. */
    public InetSocketAddress listenAddress(int scheduler) {
        return schedulers.get(scheduler);
    }

    /** Where the others know a scheduler. */
    public InetSocketAddress publicAddress(int scheduler) throws IOException {
        return (InetSocketAddress) doors.get(scheduler).getLocalAddress();
    }

    /** Where a datagram to all others goes. */
    public InetSocketAddress broadcastAddress() throws IOException {
        return (InetSocketAddress) all.getLocalAddress();
    }

    /** From now on these and the others do not hear one another; empty: all do. */
    void cut(Set<Integer> side) {
        apart = Set.copyOf(side);
    }

    /** What a scheduler has sent and been brought so far. */
    public Traffic traffic(int scheduler) {
        return new Traffic(
                sent.get(scheduler), sentBytes.get(scheduler), brought.get(scheduler), broughtBytes.get(scheduler));
    }

    long carried() {
        return carried;
    }

    long lost() {
        return lost;
    }

    /** Datagrams over the platform's most: there must be none. */
    long tooLong() {
        return tooLong;
    }

    private void carry() {
        ByteBuffer in = ByteBuffer.allocate(MOST + 1);
        while (selector.isOpen()) {
            try {
                selector.select();
                for (SelectionKey key : selector.selectedKeys()) {
                    in.clear();
                    SocketAddress source = ((DatagramChannel) key.channel()).receive(in);
                    Integer from = source == null ? null : bySource.get(source);
                    if (from != null) {
                        in.flip();
                        sent.incrementAndGet(from);
                        sentBytes.addAndGet(from, in.remaining() + HEADER_BYTES);
                        tooLong += in.remaining() > MOST ? 1 : 0;
                        int to = (Integer) key.attachment();
                        for (int k = 0; k < doors.size(); k++) {
                            if (k != from && (to < 0 || to == k)) {
                                deliver(from, k, in.duplicate());
                            }
                        }
                    }
                }
                selector.selectedKeys().clear();
            } catch (ClosedSelectorException e) {
                return;
            } catch (IOException e) {
                lost++; // its receiver is down: as on any network
            }
        }
    }

    private void deliver(int from, int to, ByteBuffer message) throws IOException {
        Set<Integer> side = apart;
        if (!side.isEmpty() && side.contains(from) != side.contains(to) || chance.nextDouble() < loss) {
            lost++;
            return;
        }
        int bytes = message.remaining() + HEADER_BYTES;
        doors.get(from).send(message, schedulers.get(to));
        brought.incrementAndGet(to);
        broughtBytes.addAndGet(to, bytes);
        carried++;
    }

    @Override
    public void close() throws IOException {
        selector.close();
        all.close();
        for (DatagramChannel door : doors) {
            door.close();
        }
    }
}
