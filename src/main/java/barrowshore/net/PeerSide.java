package barrowshore.net;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;

/**
 * The other schedulers' side: datagrams out to all of them and in from each. An actor; it owns the one UDP socket and
 * the thread that waits on it. It must never wait for a peer, never read what a datagram says, and never hand one on
 * whose sender is not in the list of peers.
 */
final class PeerSide {
    private static final System.Logger LOG = System.getLogger(PeerSide.class.getName());
    /** No datagram may be longer. */
    private static final int MOST = 256;

    /** Where we are heard, the peers by their numbers, and the address that reaches them all. */
    record Addresses(InetSocketAddress listen, List<InetSocketAddress> peers, InetSocketAddress all) { }

    private final Addresses addresses;
    private final DatagramChannel channel;
    private final Mailbox mailbox;
    private final BiConsumer<Integer, byte[]> listener;

    PeerSide(Addresses addresses, Executor pool, BiConsumer<Integer, byte[]> listener) throws IOException {
        this.addresses = addresses;
        this.listener = listener;
        this.mailbox = new Mailbox("the peers", pool);
        this.channel = DatagramChannel.open();
        try {
            channel.bind(addresses.listen());
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw new ConfigException("peer_listen: cannot listen on " + addresses.listen() + ": " + e.getMessage());
        }
        Thread receiver = new Thread(this::receive, "peers");
        receiver.setDaemon(true);
        receiver.start();
    }

    /** Tells all peers; what cannot be sent is lost, as it may be on its way. */
    void tell(byte[] message) {
        if (message.length > MOST) {
            LOG.log(Level.ERROR, "a message of {0} bytes to the peers is not sent", message.length);
            return;
        }
        mailbox.post(() -> {
            try {
                channel.send(ByteBuffer.wrap(message), addresses.all());
            } catch (IOException e) {
                LOG.log(Level.DEBUG, "a message to the peers is lost", e);
            }
        });
    }

    private void receive() {
        ByteBuffer in = ByteBuffer.allocate(MOST + 1);
        while (channel.isOpen()) {
            try {
                in.clear();
                int from = addresses.peers().indexOf(channel.receive(in));
                in.flip();
                if (from >= 0 && in.remaining() <= MOST) {
                    byte[] message = new byte[in.remaining()];
                    in.get(message);
                    listener.accept(from, message);
                }
            } catch (ClosedChannelException e) {
                return;
            } catch (IOException e) {
                LOG.log(Level.DEBUG, "a receive failed", e);   // a peer that is down may show here as a refusal
            }
        }
    }

    void stop() throws IOException {
        channel.close();
    }
}
