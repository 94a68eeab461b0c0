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
 * Sends datagrams to all peers (the other schedulers) and receives theirs. An actor that owns the UDP socket and the thread
 * that reads it. It never waits for a peer, never interprets the module's datagrams, and never passes on one whose sender
 * is not in the list of peers. One datagram is its own: a single byte announces that its sender is shutting down, so that
 * schedulers told to end soon after know that this one cannot take their clients.
 */
public final class PeerMessenger {
    private static final System.Logger LOG = System.getLogger("barrowshore.peer.PeerSide");
    private static final byte[] ENDING_DATAGRAM = {0};
    /** A running peer sends something within this time; after longer silence it counts as down. */
    private static final long PEER_ALIVE_MILLIS = 2_000;

    /** A peer that still sends this long after its last announcement of an end has been restarted. */
    private static final long ENDING_VALID_MILLIS = 8_000;
    /** The announcement is repeated because datagrams may be lost. */
    private static final int ENDING_REPEATS = 3;

    private static final int MAX_DATAGRAM_BYTES = 256;

    private final Config.PeerConfig addresses;
    private final DatagramChannel channel;
    private final Mailbox mailbox;
    private final BiConsumer<Integer, byte[]> listener;
    private final Clock clock;
    /** When each peer's last datagram came, by peer number. */
    private final Map<Integer, Long> lastDatagramMicros = new HashMap<>();

    /** When each peer last announced its end, by peer number. */
    private final Map<Integer, Long> endAnnouncedMicros = new HashMap<>();

    /** Sends nothing while another process of this scheduler does: before this one serves, or once its successor does. */
    private boolean quiet;

    /** Opens the socket; with sharedAddress another process of this scheduler may be bound to the same address. */
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
        this.mailbox = new Mailbox("the peer messenger", pool);
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

    /** Sends a datagram to all peers, without retry: datagrams may be lost on the way in any case. */
    public void broadcast(byte[] message) {
        if (message.length > MAX_DATAGRAM_BYTES) {
            LOG.log(Level.ERROR, "datagram of {0} bytes to the peers dropped: over the size limit", message.length);
            return;
        }
        mailbox.post(() -> {
            if (quiet) {
                return;
            }
            try {
                channel.send(ByteBuffer.wrap(message), addresses.broadcast());
            } catch (IOException e) {
                LOG.log(Level.DEBUG, "datagram to the peers could not be sent; it is dropped", e);
            }
        });
    }

    /** Stops or resumes sending: two processes sending as one scheduler would overwrite each other's reports at peers. */
    public void setMuted(boolean enabled) {
        mailbox.post(() -> quiet = enabled);
    }

    /** Announces the end of this scheduler, and tells the callback whether a peer is running that can take its clients. */
    public void announceEnd(Consumer<Boolean> othersServe) {
        for (int k = 0; k < ENDING_REPEATS; k++) {
            broadcast(ENDING_DATAGRAM);
        }
        mailbox.post(() -> {
            long now = clock.micros();
            othersServe.accept(lastDatagramMicros.entrySet().stream()
                    .anyMatch(peer -> peer.getKey() != addresses.ownNumber()
                            && now - peer.getValue() <= PEER_ALIVE_MILLIS * 1000
                            && now - endAnnouncedMicros.getOrDefault(peer.getKey(), Long.MIN_VALUE / 2)
                                    > ENDING_VALID_MILLIS * 1000));
        });
    }

    private void handleDatagram(int peer, byte[] message) {
        lastDatagramMicros.put(peer, clock.micros());
        if (message.length == ENDING_DATAGRAM.length) {
            endAnnouncedMicros.put(peer, clock.micros());
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
                // A peer that is down may show up here as a refused connection.
                LOG.log(Level.DEBUG, "receiving a datagram from the peers failed; trying again", e);
            }
        }
    }

    /** Stops sending and closes the socket: from now on another process of this scheduler talks to the peers. */
    public void close() {
        setMuted(true);
        mailbox.post(() -> {
            try {
                channel.close();
            } catch (IOException e) {
                LOG.log(Level.DEBUG, "closing the peer socket failed", e);
            }
        });
    }

    public void stop() throws IOException {
        channel.close();
    }
}
