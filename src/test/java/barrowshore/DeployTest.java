package barrowshore;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The deploy file's node entry must list the source folder of every package that the scheduler uses. */
class DeployTest {
    private static final Path SOURCES = Path.of("src/main/java");
    private static final Pattern PACKAGE = Pattern.compile("\\bbarrowshore\\.([a-z]+)\\.[A-Z]");

    @Test
    void nodeListsEveryPackageThatServeRuns() throws IOException {
        String deploy = Files.readString(Path.of("deploy/balancer.toml"));
        Matcher nodeEntry = Pattern.compile("node = \\[(.*)]").matcher(deploy);
        assertThat(nodeEntry.find()).isTrue();
        List<String> listedFolders = Stream.of(nodeEntry.group(1).split(","))
                .map(n -> n.trim().replace("\"", ""))
                .toList();
        assertThat(listedFolders).allMatch(folder -> Files.isDirectory(Path.of(folder)));
        assertThat(listedFolders)
                .containsAll(reachablePackages("node").stream()
                        .map(p -> SOURCES.resolve("barrowshore").resolve(p).toString())
                        .toList());
    }

    /** The packages that a package refers to, directly or through others, found by class names in the sources. */
    private static Set<String> reachablePackages(String from) throws IOException {
        Set<String> reachable = new TreeSet<>(Set.of(from));
        Queue<String> pending = new ArrayDeque<>(reachable);
        while (!pending.isEmpty()) {
            try (Stream<Path> files = Files.list(SOURCES.resolve("barrowshore").resolve(pending.remove()))) {
                for (Path file :
                        files.filter(f -> f.toString().endsWith(".java")).toList()) {
                    Matcher reference = PACKAGE.matcher(Files.readString(file));
                    while (reference.find()) {
                        if (reachable.add(reference.group(1))) {
                            pending.add(reference.group(1));
                        }
                    }
                }
            }
        }
        return reachable;
    }
}
