package barrowshore.upgrade;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.list.KnownServerList;
import barrowshore.list.ServerList.Entry;
import barrowshore.list.ServerList.State;
import barrowshore.list.ServerList.Update;
import barrowshore.list.ServerList.ZoneKindNames;
import barrowshore.list.ServerListMessage;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a new process that cannot learn the list of one that hangs or has died, or reads half a line of it. */
class SavedServerListTest {
    private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 8500);
    private static final ZoneKindNames NAMES = new ZoneKindNames(List.of("z"), List.of("m"));
    private static final int CHANGES_FAR_LONGER_THAN_THE_LIST = 5_000;

    @TempDir
    private Path directory;

    private Path file;
    private Process process;

    @BeforeEach
    void open() {
        file = directory.resolve("list");
        process = new Process();
    }

    /** A process that follows discovery and saves what it is told; its actor runs in the thread of the test. */
    private final class Process {
        final KnownServerList known = new KnownServerList(ADDRESS, new Update(0, true, List.of()));
        final SavedServerList saved = new SavedServerList(
                file, NAMES, Runnable::run, consumer -> known.wholeMessage().ifPresent(consumer));

        void receive(Update update) {
            long baseRevision = known.whole().revision();
            known.applyFromDiscovery(ADDRESS, update, baseRevision);
            saved.update(new ServerListMessage(ADDRESS, baseRevision, update));
        }
    }

    private static Entry entry(int number, State state) {
        String endpoint = "127.0.0.1:" + (number + 1);
        return new Entry("s-" + number, endpoint, new InetSocketAddress("127.0.0.1", number + 1), 0, 0, 0, state, 1, 0);
    }

    private static Update whole(long revision, int servers) {
        return new Update(
                revision,
                true,
                IntStream.range(0, servers).mapToObj(k -> entry(k, State.READY)).toList());
    }

    private static Update change(long revision, int server, State state) {
        return new Update(revision, false, List.of(entry(server, state)));
    }

    /** What a process with an older list of its configuration knows after it has read the file. */
    private Update readByNextProcess() {
        KnownServerList next = new KnownServerList(ADDRESS, whole(1, 1));
        new Process().saved.read().forEach(next::applyFromOtherProcess);
        return next.whole();
    }

    @Test
    void nextProcessReadsWhatThisOneWasTold() {
        process.receive(whole(7, 3));
        process.receive(change(8, 1, State.TERMINATING));
        process.receive(change(9, 2, State.GONE));
        assertThat(readByNextProcess().entries()).containsExactly(entry(0, State.READY), entry(1, State.TERMINATING));
        assertThat(readByNextProcess().revision()).isEqualTo(9);
    }

    @Test
    void nothingSavedIsNoList() {
        assertThat(process.saved.read()).isEmpty();
        assertThat(readByNextProcess()).isEqualTo(whole(1, 1));
    }

    @Test
    void lineThatWasNotWrittenToItsEndIsLeftOut() throws IOException {
        process.receive(whole(7, 2));
        process.receive(change(8, 1, State.TERMINATING));
        Files.writeString(file, "{\"discovery\":\"127.0.0.1:8500\",\"after\":8,\"re", StandardOpenOption.APPEND);
        assertThat(readByNextProcess().revision()).isEqualTo(8);
    }

    @Test
    void fileStaysShortHoweverManyChangesCome() throws IOException {
        process.receive(whole(7, 20));
        for (int k = 0; k < CHANGES_FAR_LONGER_THAN_THE_LIST; k++) {
            process.receive(change(8 + k, k % 20, k % 40 < 20 ? State.TERMINATING : State.READY));
        }
        assertThat(Files.size(file)).isLessThan(100_000);
        assertThat(readByNextProcess()).isEqualTo(process.known.whole());
    }

    @Test
    void newProcessReplacesTheFileAndTheOldOneTakesItBack() {
        process.receive(whole(7, 2));
        Process next = new Process();
        next.receive(whole(8, 2));
        process.receive(change(9, 0, State.TERMINATING));
        assertThat(readByNextProcess().revision()).isEqualTo(8);
        process.saved.rewrite(); // as the next one has died
        assertThat(readByNextProcess().revision()).isEqualTo(9);
        process.receive(change(10, 1, State.TERMINATING));
        assertThat(readByNextProcess().revision()).isEqualTo(10);
    }

    @Test
    void unusableFolderKeepsNobodyFromServing() throws IOException {
        file = directory.resolve("none").resolve("list");
        process = new Process();
        process.receive(whole(7, 2));
        process.receive(change(8, 0, State.TERMINATING));
        assertThat(process.saved.read()).isEmpty();
    }

    @Test
    void noOtherFileIsLeft() throws IOException {
        process.receive(whole(7, 2));
        try (Stream<Path> files = Files.list(directory)) {
            assertThat(files).containsExactly(file);
        }
    }
}
