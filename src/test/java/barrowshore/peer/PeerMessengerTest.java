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

/** Datagrams as they cross: ours to all, those of peers by number, nobody else's, none too long, and who is ending. */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class PeerMessengerTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    private final AtomicLong time = new AtomicLong();

    private static boolean othersServe(PeerMessenger side) {
        CompletableFuture<Boolean> answer = new CompletableFuture<>();
        side.announceEnd(answer::complete);
        return answer.join();
    }

    @Test
    void tellsAllAndHearsOnlyPeers() throws Exception {
        BlockingQueue<String> heard = new LinkedBlockingQueue<>();
        try (DatagramSocket peer = new DatagramSocket(0, LOOPBACK);
                DatagramSocket stranger = new DatagramSocket(0, LOOPBACK);
                DatagramSocket ours = new DatagramSocket(0, LOOPBACK)) {
            InetSocketAddress at = new InetSocketAddress(LOOPBACK, peer.getLocalPort());
            PeerMessenger side = new PeerMessenger(
                    new Config.PeerConfig(
                            new InetSocketAddress(LOOPBACK, 0),
                            List.of(new InetSocketAddress(LOOPBACK, ours.getLocalPort()), at),
                            0,
                            at),
                    false,
                    Runnable::run,
                    new Clock(0, time::get),
                    (from, message) -> heard.add(from + " " + HexFormat.of().formatHex(message)));
            side.broadcast(new byte[257]); // not sent: a longer one is forbidden
            side.broadcast(new byte[] {1, 2, 3});
            DatagramPacket in = new DatagramPacket(new byte[300], 300);
            peer.receive(in);
            assertThat(HexFormat.of().formatHex(in.getData(), 0, in.getLength()))
                    .isEqualTo("010203");
            stranger.send(new DatagramPacket(new byte[] {4}, 1, in.getSocketAddress()));
            peer.send(new DatagramPacket(new byte[257], 257, in.getSocketAddress()));
            peer.send(new DatagramPacket(new byte[] {5, 6}, 2, in.getSocketAddress()));
            assertThat(heard.take()).isEqualTo("1 0506");
            ours.send(new DatagramPacket(new byte[] {1, 1}, 2, in.getSocketAddress()));
            assertThat(heard.take()).isEqualTo("0 0101");
            time.addAndGet(3_000_000_000L);
            ours.send(new DatagramPacket(new byte[] {1, 1}, 2, in.getSocketAddress()));
            assertThat(heard.take()).isEqualTo("0 0101");
            assertThat(othersServe(side))
                    .as("only our own come back from the address of all")
                    .isFalse();
            peer.receive(in);
            peer.receive(in);
            peer.receive(in);
            peer.send(new DatagramPacket(new byte[] {5, 6}, 2, in.getSocketAddress()));
            assertThat(heard.take()).isEqualTo("1 0506");
            assertThat(othersServe(side)).as("the peer was heard just now").isTrue();
            peer.receive(in);
            assertThat(in.getLength()).as("it is told that we are ending").isEqualTo(1);
            peer.send(new DatagramPacket(new byte[] {0}, 1, in.getSocketAddress()));
            peer.send(new DatagramPacket(new byte[] {7, 8}, 2, in.getSocketAddress()));
            assertThat(heard.take()).isEqualTo("1 0708");
            assertThat(othersServe(side))
                    .as("it is ending, though it still tells")
                    .isFalse();
            time.addAndGet(9_000_000_000L);
            assertThat(othersServe(side)).as("long not heard of").isFalse();
            peer.send(new DatagramPacket(new byte[] {7, 8}, 2, in.getSocketAddress()));
            assertThat(heard.take()).isEqualTo("1 0708");
            assertThat(othersServe(side)).as("it is back").isTrue();
            side.stop();
        }
    }
}
