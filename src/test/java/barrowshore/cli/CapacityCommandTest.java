package barrowshore.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The command {@code capacity}: exit codes, what it prints, and its CSV. */
class CapacityCommandTest {
    @TempDir
    Path folder;

    private record Outcome(int code, String out, String err) {}

    private static Outcome run(String... args) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        PrintStream usualOut = System.out;
        PrintStream usualErr = System.err;
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(err, true, StandardCharsets.UTF_8));
        try {
            List<String> words = new ArrayList<>(List.of("capacity"));
            words.addAll(Arrays.asList(args));
            int code = Main.run(words.toArray(String[]::new));
            return new Outcome(code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(usualOut);
            System.setErr(usualErr);
        }
    }

    /** A fleet that plays in no time and is within every limit. */
    private static Outcome small(String... more) throws Exception {
        List<String> words = new ArrayList<>(List.of(
                "--counts --workers 40 --schedulers 1 --starts 1 --tenants 2 --seconds 2 --sweep none".split(" ")));
        words.addAll(Arrays.asList(more));
        return run(words.toArray(String[]::new));
    }

    @Test
    void withinTheLimitsTheExitCodeIsZero() throws Exception {
        Outcome outcome = small();
        assertThat(outcome.err).isEmpty();
        assertThat(outcome.code).isZero();
        assertThat(outcome.out)
                .contains("40 workers", "bytes in and out", "4096")
                .doesNotContain("PASSED");
    }

    @Test
    void aLimitThatIsPassedGivesExitCodeOne() throws Exception {
        // One slot has more to do than it can: what is urgent waits for its turn, whatever a scheduler decides.
        Outcome outcome = run(
                "--counts --workers 1 --schedulers 1 --starts 0.1 --tenants 2 --seconds 600 --sweep none".split(" "));
        assertThat(outcome.code).isEqualTo(1);
        assertThat(outcome.out).containsPattern("urgent tasks: start.* 1.900  PASSED");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "--workers 0",
                "--workers -5",
                "--workers many",
                "--workers 1.5",
                "--workers 99999999999999999999",
                "--workers 100000 --schedulers 1000",
                "--schedulers 0",
                "--starts -260",
                "--starts NaN",
                "--tenants 0",
                "--seconds 0",
                "--seconds 3601",
                "--plays 0",
                "--loss 1",
                "--doubled -1",
                "--sweep nothing",
                "--config-changes -1",
                "--list-changes Infinity"
            })
    void badInputGivesOneLineAndExitCodeTwoAndPlaysNothing(String bad) throws Exception {
        Path csv = folder.resolve("figures.csv");
        List<String> words = new ArrayList<>(List.of("--csv", csv.toString()));
        words.addAll(List.of(bad.split(" ")));
        Outcome outcome = small(words.toArray(String[]::new));
        assertThat(outcome.code).isEqualTo(2);
        assertThat(outcome.err.lines()).hasSize(1);
        assertThat(outcome.err).startsWith("barrowshore: ");
        assertThat(outcome.out).isEmpty();
        assertThat(csv).doesNotExist();
    }

    @Test
    void aFileThatCannotBeWrittenIsFoundBeforeAnythingIsPlayed() throws Exception {
        Outcome outcome =
                small("--csv", folder.resolve("none").resolve("figures.csv").toString());
        assertThat(outcome.code).isEqualTo(2);
        assertThat(outcome.err.lines()).hasSize(1);
        assertThat(outcome.out).isEmpty();
    }

    @Test
    void theCsvHasEveryFigureOfEverySizeAndTheFit() throws Exception {
        Path csv = folder.resolve("figures.csv");
        Outcome outcome = small("--sweep", "tenants", "--csv", csv.toString());
        assertThat(outcome.out).contains("sweep over tenants", "slope", "residual");
        List<String> lines = Files.readAllLines(csv);
        int columns = lines.get(0).split(",").length;
        assertThat(lines).allSatisfy(line -> assertThat(line.split(",", -1)).hasSize(columns));
        assertThat(lines).filteredOn(line -> line.startsWith("base,")).isNotEmpty();
        for (String size : List.of("11", "43", "86")) {
            assertThat(lines)
                    .anyMatch(line ->
                            line.startsWith("tenants,40,1,1.0," + size + ",") && line.contains(",entries-held,"));
        }
        String held = lines.stream()
                .filter(line -> line.startsWith("tenants,") && line.contains(",bytes-held,"))
                .findFirst()
                .orElseThrow();
        assertThat(Double.parseDouble(held.split(",", -1)[13])).isPositive();
    }
}
