package barrowshore.peer;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.config.Config;
import barrowshore.net.Clock;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Broadcasts reach all peers. Received datagrams are passed on by peer number, unless from strangers or too long. A peer
 * that is silent or has announced its end does not count as serving.
 */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class PeerMessengerTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    private final AtomicLong timeNanos = new AtomicLong();

    private static boolean othersServe(PeerMessenger messenger) {
        CompletableFuture<Boolean> answer = new CompletableFuture<>();
        messenger.announceEnd(answer::complete);
        return answer.join();
    }

    @Test
    void broadcastsToAllAndReceivesOnlyFromPeers() throws Exception {
        BlockingQueue<String> received = new LinkedBlockingQueue<>();
        try (DatagramSocket peer = new DatagramSocket(0, LOOPBACK);
                DatagramSocket stranger = new DatagramSocket(0, LOOPBACK);
                DatagramSocket ownSocket = new DatagramSocket(0, LOOPBACK)) {
            InetSocketAddress peerAddress = new InetSocketAddress(LOOPBACK, peer.getLocalPort());
            PeerMessenger messenger = new PeerMessenger(
                    new Config.PeerConfig(
                            new InetSocketAddress(LOOPBACK, 0),
                            List.of(new InetSocketAddress(LOOPBACK, ownSocket.getLocalPort()), peerAddress),
                            0,
                            peerAddress),
                    false,
                    Runnable::run,
                    new Clock(0, timeNanos::get),
                    (from, message) -> received.add(from + " " + HexFormat.of().formatHex(message)));
            messenger.broadcast(new byte[257]); // over the size limit: must not be sent
            messenger.broadcast(new byte[] {1, 2, 3});
            DatagramPacket packet = new DatagramPacket(new byte[300], 300);
            peer.receive(packet);
            assertThat(HexFormat.of().formatHex(packet.getData(), 0, packet.getLength()))
                    .isEqualTo("010203");
            stranger.send(new DatagramPacket(new byte[] {4}, 1, packet.getSocketAddress()));
            peer.send(new DatagramPacket(new byte[257], 257, packet.getSocketAddress()));
            peer.send(new DatagramPacket(new byte[] {5, 6}, 2, packet.getSocketAddress()));
            assertThat(received.take()).isEqualTo("1 0506");
            ownSocket.send(new DatagramPacket(new byte[] {1, 1}, 2, packet.getSocketAddress()));
            assertThat(received.take()).isEqualTo("0 0101");
            timeNanos.addAndGet(3_000_000_000L);
            ownSocket.send(new DatagramPacket(new byte[] {1, 1}, 2, packet.getSocketAddress()));
            assertThat(received.take()).isEqualTo("0 0101");
            assertThat(othersServe(messenger))
                    .as("the only datagrams received were its own, back from the broadcast address")
                    .isFalse();
            peer.receive(packet);
            peer.receive(packet);
            peer.receive(packet);
            peer.send(new DatagramPacket(new byte[] {5, 6}, 2, packet.getSocketAddress()));
            assertThat(received.take()).isEqualTo("1 0506");
            assertThat(othersServe(messenger))
                    .as("the peer has just sent a datagram")
                    .isTrue();
            peer.receive(packet);
            assertThat(packet.getLength())
                    .as("the peer gets the one-byte announcement of the end")
                    .isEqualTo(1);
            peer.send(new DatagramPacket(new byte[] {0}, 1, packet.getSocketAddress()));
            peer.send(new DatagramPacket(new byte[] {7, 8}, 2, packet.getSocketAddress()));
            assertThat(received.take()).isEqualTo("1 0708");
            assertThat(othersServe(messenger))
                    .as("the peer is ending, though it still sends")
                    .isFalse();
            timeNanos.addAndGet(9_000_000_000L);
            assertThat(othersServe(messenger))
                    .as("the peer has been silent for long")
                    .isFalse();
            peer.send(new DatagramPacket(new byte[] {7, 8}, 2, packet.getSocketAddress()));
            assertThat(received.take()).isEqualTo("1 0708");
            assertThat(othersServe(messenger)).as("the peer was restarted").isTrue();
            messenger.stop();
        }
    }
}
