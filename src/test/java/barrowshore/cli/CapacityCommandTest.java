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

/** The command {@code capacity}: exit codes, output and CSV. */
class CapacityCommandTest {
    @TempDir
    Path folder;

    private record Outcome(int exitCode, String out, String err) {}

    private static Outcome run(String... args) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        PrintStream originalOut = System.out;
        PrintStream originalErr = System.err;
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(err, true, StandardCharsets.UTF_8));
        try {
            List<String> commandLine = new ArrayList<>(List.of("capacity"));
            commandLine.addAll(Arrays.asList(args));
            int exitCode = Main.run(commandLine.toArray(String[]::new));
            return new Outcome(exitCode, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(originalOut);
            System.setErr(originalErr);
        }
    }

    /** A fleet small enough to be simulated quickly and to stay within every limit. */
    private static Outcome runSmallFleet(String... extraArgs) throws Exception {
        List<String> args = new ArrayList<>(List.of(
                "--counts --workers 40 --schedulers 1 --starts 1 --tenants 2 --seconds 2 --sweep none".split(" ")));
        args.addAll(Arrays.asList(extraArgs));
        return run(args.toArray(String[]::new));
    }

    @Test
    void exitsWithZeroWithinAllLimits() throws Exception {
        Outcome outcome = runSmallFleet();
        assertThat(outcome.err).isEmpty();
        assertThat(outcome.exitCode).isZero();
        assertThat(outcome.out)
                .contains("40 workers", "bytes in and out", "4096")
                .doesNotContain("PASSED");
    }

    @Test
    void exitsWithOneWhenALimitIsExceeded() throws Exception {
        // One overloaded slot: urgent tasks wait, whatever the scheduler decides.
        Outcome outcome = run(
                "--counts --workers 1 --schedulers 1 --starts 0.1 --tenants 2 --seconds 600 --sweep none".split(" "));
        assertThat(outcome.exitCode).isEqualTo(1);
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
    void rejectsBadArgumentsBeforeSimulating(String badArgument) throws Exception {
        Path csv = folder.resolve("figures.csv");
        List<String> args = new ArrayList<>(List.of("--csv", csv.toString()));
        args.addAll(List.of(badArgument.split(" ")));
        Outcome outcome = runSmallFleet(args.toArray(String[]::new));
        assertThat(outcome.exitCode).isEqualTo(2);
        assertThat(outcome.err.lines()).hasSize(1);
        assertThat(outcome.err).startsWith("barrowshore: ");
        assertThat(outcome.out).isEmpty();
        assertThat(csv).doesNotExist();
    }

    @Test
    void rejectsUnwritableCsvBeforeSimulating() throws Exception {
        Outcome outcome = runSmallFleet(
                "--csv", folder.resolve("none").resolve("figures.csv").toString());
        assertThat(outcome.exitCode).isEqualTo(2);
        assertThat(outcome.err.lines()).hasSize(1);
        assertThat(outcome.out).isEmpty();
    }

    @Test
    void csvHoldsEveryFigureOfEverySizeAndTheFit() throws Exception {
        Path csv = folder.resolve("figures.csv");
        Outcome outcome = runSmallFleet("--sweep", "tenants", "--csv", csv.toString());
        assertThat(outcome.out).contains("sweep over tenants", "slope", "residual");
        List<String> lines = Files.readAllLines(csv);
        int columns = lines.get(0).split(",").length;
        assertThat(lines).allSatisfy(line -> assertThat(line.split(",", -1)).hasSize(columns));
        assertThat(lines).filteredOn(line -> line.startsWith("base,")).isNotEmpty();
        for (String tenants : List.of("11", "43", "86")) {
            assertThat(lines)
                    .anyMatch(line ->
                            line.startsWith("tenants,40,1,1.0," + tenants + ",") && line.contains(",entries-held,"));
        }
        String bytesHeldLine = lines.stream()
                .filter(line -> line.startsWith("tenants,") && line.contains(",bytes-held,"))
                .findFirst()
                .orElseThrow();
        assertThat(Double.parseDouble(bytesHeldLine.split(",", -1)[13])).isPositive();
    }
}
