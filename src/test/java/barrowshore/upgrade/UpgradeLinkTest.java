package barrowshore.upgrade;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
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

@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class UpgradeLinkTest {
    @TempDir
    private Path folder;

    private final ExecutorService pool = Executors.newFixedThreadPool(2);

    @AfterEach
    void end() {
        pool.shutdownNow();
    }

    /** A process and what it has heard. */
    private final class Process implements UpgradeLink.Listener {
        final BlockingQueue<String> heard = new LinkedBlockingQueue<>();
        final UpgradeLink twin = new UpgradeLink(folder.resolve("t"), pool, this);

        Process() {
            twin.start();
        }

        @Override
        public void lineReceived(boolean before, String line) {
            heard.add((before ? "before: " : "after: ") + line);
        }

        @Override
        public void successorConnected() {
            heard.add("joined");
        }

        @Override
        public void linkClosed(boolean before) {
            heard.add("left " + before);
        }
    }

    @Test
    void twoProcessesTellEachOtherAndHearOfAnEnd() throws Exception {
        Process first = new Process();
        assertThat(first.twin.foundPredecessor()).isFalse();
        Process second = new Process();
        assertThat(second.twin.foundPredecessor()).isTrue();
        assertThat(first.heard.take()).isEqualTo("joined");
        second.twin.send(true, "serving");
        assertThat(first.heard.take()).isEqualTo("after: serving");
        first.twin.send(false, "away");
        assertThat(second.heard.take()).isEqualTo("before: away");
        first.twin.stop();
        assertThat(second.heard.take()).isEqualTo("left true");
    }

    @Test
    void afterTheNextOneDiedTheOneAfterItIsFoundAgain() throws Exception {
        Process first = new Process();
        Process second = new Process();
        assertThat(first.heard.take()).isEqualTo("joined");
        second.twin.stop();
        assertThat(first.heard.take()).isEqualTo("left false");
        Process third = new Process();
        assertThat(third.twin.foundPredecessor()).isTrue();
        assertThat(first.heard.take()).isEqualTo("joined");
    }

    @Test
    void whatADeadProcessLeftIsReplaced() throws Exception {
        try (ServerSocketChannel dead = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            dead.bind(UnixDomainSocketAddress.of(folder.resolve("t")));
        }
        assertThat(Files.exists(folder.resolve("t"))).isTrue();
        Process first = new Process();
        assertThat(first.twin.foundPredecessor()).isFalse();
        assertThat(new UpgradeLink(folder.resolve("t"), pool, first).foundPredecessor())
                .isTrue();
    }

    @Test
    void aFolderThatCannotBeUsedKeepsNobodyFromStarting() {
        UpgradeLink twin = new UpgradeLink(folder.resolve("none").resolve("x".repeat(200)), pool, null);
        assertThat(twin.foundPredecessor()).isFalse();
        twin.start();
        twin.send(false, "away");
        twin.stop();
    }
}
