package barrowshore.peer;

import barrowshore.config.Config;
import barrowshore.config.ConfigException;
import barrowshore.net.Clock;
import barrowshore.net.Mailbox;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The other schedulers' side: datagrams out to all of them and in from each. An actor; it owns the one UDP socket and
 * the thread that waits on it. It must never wait for a peer, never read what the module's datagrams say, and never hand
 * one on whose sender is not in the list of peers. One datagram is its own: a single byte says that its sender is ending,
 * so that the others, told to end soon after, know that there is nobody yet for their clients to go to.
 */
public final class PeerMessenger {
    private static final System.Logger LOG = System.getLogger("barrowshore.peer.PeerSide");
    private static final byte[] ENDING_DATAGRAM = {0};
    /** Milliseconds in which a peer is heard of for sure; after which one that was ending is back. */
    private static final long PEER_ALIVE_MILLIS = 2_000;

    private static final long ENDING_VALID_MILLIS = 8_000;
    /** Times that our end is told, since datagrams are lost. */
    private static final int ENDING_REPEATS = 3;
    /** No datagram may be longer. */
    private static final int MAX_DATAGRAM_BYTES = 256;

    private final Config.PeerConfig addresses;
    private final DatagramChannel channel;
    private final Mailbox mailbox;
    private final BiConsumer<Integer, byte[]> listener;
    private final Clock clock;
    /** When each peer was heard last, and when it said that it is ending. */
    private final Map<Integer, Long> heardAtMicros = new HashMap<>();

    private final Map<Integer, Long> endingAtMicros = new HashMap<>();

    /** What we tell nobody, because another process speaks for us: one not yet in service, or one that has been followed. */
    private boolean quiet;

    /** Hears and speaks at the address; shared: another process of ours may be there too. */
    public PeerMessenger(
            Config.PeerConfig addresses,
            boolean sharedAddress,
            Executor pool,
            Clock clock,
            BiConsumer<Integer, byte[]> listener)
            throws IOException {
        this.addresses = addresses;
        this.clock = clock;
        this.listener = listener;
        this.mailbox = new Mailbox("the peers", pool);
        this.channel = DatagramChannel.open();
        try {
            if (sharedAddress) {
                channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            }
            channel.bind(addresses.listen());
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw new ConfigException("peer_listen: cannot listen on " + addresses.listen() + ": " + e.getMessage());
        }
        Thread receiver = new Thread(this::receiveLoop, "peers");
        receiver.setDaemon(true);
        receiver.start();
    }

    /** Tells all peers; what cannot be sent is lost, as it may be on its way. */
    public void broadcast(byte[] message) {
        if (message.length > MAX_DATAGRAM_BYTES) {
            LOG.log(Level.ERROR, "a message of {0} bytes to the peers is not sent", message.length);
            return;
        }
        mailbox.post(() -> {
            if (quiet) {
                return;
            }
            try {
                channel.send(ByteBuffer.wrap(message), addresses.broadcast());
            } catch (IOException e) {
                LOG.log(Level.DEBUG, "a message to the peers is lost", e);
            }
        });
    }

    /** Whether another process speaks for us: two at once would take back one another's figures. */
    public void setQuiet(boolean enabled) {
        mailbox.post(() -> quiet = enabled);
    }

    /** Tells the others that we are ending, and the asker whether one of them can take our clients. */
    public void announceEnd(Consumer<Boolean> othersServe) {
        for (int k = 0; k < ENDING_REPEATS; k++) {
            broadcast(ENDING_DATAGRAM);
        }
        mailbox.post(() -> {
            long now = clock.micros();
            othersServe.accept(heardAtMicros.entrySet().stream()
                    .anyMatch(peer -> peer.getKey() != addresses.ownNumber()
                            && now - peer.getValue() <= PEER_ALIVE_MILLIS * 1000
                            && now - endingAtMicros.getOrDefault(peer.getKey(), Long.MIN_VALUE / 2)
                                    > ENDING_VALID_MILLIS * 1000));
        });
    }

    private void handleDatagram(int peer, byte[] message) {
        heardAtMicros.put(peer, clock.micros());
        if (message.length == ENDING_DATAGRAM.length) {
            endingAtMicros.put(peer, clock.micros());
        } else {
            listener.accept(peer, message);
        }
    }

    private void receiveLoop() {
        ByteBuffer in = ByteBuffer.allocate(MAX_DATAGRAM_BYTES + 1);
        while (channel.isOpen()) {
            try {
                in.clear();
                int peer = addresses.peers().indexOf(channel.receive(in));
                in.flip();
                if (peer >= 0 && in.remaining() <= MAX_DATAGRAM_BYTES) {
                    byte[] message = new byte[in.remaining()];
                    in.get(message);
                    mailbox.post(() -> handleDatagram(peer, message));
                }
            } catch (ClosedChannelException e) {
                return;
            } catch (IOException e) {
                LOG.log(Level.DEBUG, "a receive failed", e); // a peer that is down may show here as a refusal
            }
        }
    }

    /** Another process of ours hears them from now on, and speaks for us. */
    public void stopReceiving() {
        setQuiet(true);
        mailbox.post(() -> {
            try {
                channel.close();
            } catch (IOException e) {
                LOG.log(Level.DEBUG, "a close failed", e);
            }
        });
    }

    public void stop() throws IOException {
        channel.close();
    }
}
