package barrowshore.upgrade;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Processes connect over the socket file in order, exchange lines, and survive stale files and unusable paths. */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class UpgradeLinkTest {
    private static final int MORE_LINES_THAN_A_SOCKET_HOLDS = 50_000;

    @TempDir
    private Path directory;

    private final ExecutorService pool = Executors.newFixedThreadPool(2);

    @AfterEach
    void end() {
        pool.shutdownNow();
    }

    /** One process of an upgrade, and the link events it has received. */
    private final class LinkedProcess implements UpgradeLink.Listener {
        final BlockingQueue<String> events = new LinkedBlockingQueue<>();
        final UpgradeLink link = new UpgradeLink(directory.resolve("t"), pool, this);

        LinkedProcess() {
            link.start();
        }

        @Override
        public void lineReceived(boolean fromPredecessor, String line) {
            events.add((fromPredecessor ? "before: " : "after: ") + line);
        }

        @Override
        public void successorConnected() {
            events.add("successor connected");
        }

        @Override
        public void linkClosed(boolean toPredecessor) {
            events.add("closed, to predecessor: " + toPredecessor);
        }
    }

    @Test
    void processesExchangeLinesAndSeeDisconnect() throws Exception {
        LinkedProcess first = new LinkedProcess();
        assertThat(first.link.foundPredecessor()).isFalse();
        LinkedProcess second = new LinkedProcess();
        assertThat(second.link.foundPredecessor()).isTrue();
        assertThat(first.events.take()).isEqualTo("successor connected");
        second.link.send(true, "serving", false);
        assertThat(first.events.take()).isEqualTo("after: serving");
        first.link.send(false, "away", false);
        assertThat(second.events.take()).isEqualTo("before: away");
        first.link.stop();
        assertThat(second.events.take()).isEqualTo("closed, to predecessor: true");
    }

    @Test
    void newSuccessorConnectsAfterTheLastOneDied() throws Exception {
        LinkedProcess first = new LinkedProcess();
        LinkedProcess second = new LinkedProcess();
        assertThat(first.events.take()).isEqualTo("successor connected");
        second.link.stop();
        assertThat(first.events.take()).isEqualTo("closed, to predecessor: false");
        LinkedProcess third = new LinkedProcess();
        assertThat(third.link.foundPredecessor()).isTrue();
        assertThat(first.events.take()).isEqualTo("successor connected");
    }

    @Test
    void processThatDoesNotReadHoldsNobodyUp() throws Exception {
        LinkedProcess first = new LinkedProcess();
        try (SocketChannel hung = SocketChannel.open(UnixDomainSocketAddress.of(directory.resolve("t")))) {
            assertThat(first.events.take()).isEqualTo("successor connected");
            for (int k = 0; k < MORE_LINES_THAN_A_SOCKET_HOLDS; k++) {
                first.link.send(false, "open request-" + k, true);
            }
            new LinkedProcess();
            assertThat(first.events.take()).isEqualTo("successor connected");
            assertThat(hung.isOpen()).isTrue();
        }
    }

    @Test
    void staleSocketFileIsReplaced() throws Exception {
        try (ServerSocketChannel dead = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            dead.bind(UnixDomainSocketAddress.of(directory.resolve("t")));
        }
        assertThat(Files.exists(directory.resolve("t"))).isTrue();
        LinkedProcess first = new LinkedProcess();
        assertThat(first.link.foundPredecessor()).isFalse();
        assertThat(new UpgradeLink(directory.resolve("t"), pool, first).foundPredecessor())
                .isTrue();
    }

    @Test
    void unusablePathDoesNotPreventStart() {
        UpgradeLink link = new UpgradeLink(directory.resolve("none").resolve("x".repeat(200)), pool, null);
        assertThat(link.foundPredecessor()).isFalse();
        link.start();
        link.send(false, "away", false);
        link.stop();
    }
}
