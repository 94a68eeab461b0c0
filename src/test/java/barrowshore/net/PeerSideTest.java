package barrowshore.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Datagrams as they cross: ours to all, those of peers by number, nobody else's, and none that is too long. */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class PeerSideTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    @Test
    void tellsAllAndHearsOnlyPeers() throws Exception {
        BlockingQueue<String> heard = new LinkedBlockingQueue<>();
        try (DatagramSocket peer = new DatagramSocket(0, LOOPBACK); DatagramSocket stranger = new DatagramSocket(0, LOOPBACK)) {
            InetSocketAddress at = new InetSocketAddress(LOOPBACK, peer.getLocalPort());
            PeerSide side = new PeerSide(new PeerSide.Addresses(new InetSocketAddress(LOOPBACK, 0),
                    List.of(new InetSocketAddress(LOOPBACK, 9), at), at), Runnable::run,
                    (from, message) -> heard.add(from + " " + HexFormat.of().formatHex(message)));
            side.tell(new byte[257]);   // not sent: a longer one is forbidden
            side.tell(new byte[] {1, 2, 3});
            DatagramPacket in = new DatagramPacket(new byte[300], 300);
            peer.receive(in);
            assertThat(HexFormat.of().formatHex(in.getData(), 0, in.getLength())).isEqualTo("010203");
            stranger.send(new DatagramPacket(new byte[] {4}, 1, in.getSocketAddress()));
            peer.send(new DatagramPacket(new byte[257], 257, in.getSocketAddress()));
            peer.send(new DatagramPacket(new byte[] {5, 6}, 2, in.getSocketAddress()));
            assertThat(heard.take()).isEqualTo("1 0506");
            side.stop();
        }
    }
}
