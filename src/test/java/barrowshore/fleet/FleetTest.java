package barrowshore.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import barrowshore.config.ConfigException;
import barrowshore.fleet.Invariants.Answer;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Runs real processes under faults: all invariants hold and no process stays behind. Asserts no times. */
@Timeout(value = 180, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class FleetTest {
    @TempDir
    Path folder;

    private static FleetScenario scenario(String attributes, String faults) {
        return FleetScenario.parse(
                "<fleet xmlns=\"urn:barrowshore:fleet:1\" name=\"x\" schedulers=\"5\" workers=\"6\" rate=\"40\""
                        + " length=\"8s\" " + attributes + ">\n" + faults + "\n</fleet>");
    }

    private static List<ProcessHandle> schedulerProcesses() {
        return ProcessHandle.current()
                .descendants()
                .filter(p -> p.info().commandLine().orElse("").contains("serve"))
                .toList();
    }

    @Test
    void fiveProcessesUnderFaultsKeepInvariants() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        Fleet.Outcome outcome = Fleet.run(
                scenario(
                        "loss=\"0.2\"",
                        """
                <kill scheduler="1" at="1s"/><start scheduler="1" at="3s"/>
                <pause scheduler="2" at="2s" for="2s"/>
                <term scheduler="3" at="2500ms"/>
                <partition schedulers="0 4" at="1s" for="3s"/>
                <silence scheduler="4" at="2s" for="3s"/>
                <crash worker="0" at="1s" for="2s"/><hang worker="1" at="2s" for="2s"/>
                <slow worker="2" at="1s" for="4s" factor="5"/><drain worker="3" at="3s"/>"""),
                folder,
                null,
                new PrintStream(out, true));
        assertThat(outcome.violations()).as(out.toString()).isEmpty();
        assertThat(outcome.answers().get("served")).as(out.toString()).isPositive();
        assertThat(schedulerProcesses()).isEmpty();
        assertThat(Files.readString(folder.resolve("events.jsonl")))
                .contains("\"kill\"", "\"ready\"", "\"whole again\"");
        assertThat(Files.readAllLines(folder.resolve("figures.csv"))).hasSize(10);
        try (Stream<Path> logs = Files.list(folder)) {
            assertThat(logs.filter(p -> p.toString().endsWith(".log"))).hasSize(5);
        }
    }

    @Test
    void failedStartIsAnErrorThatNamesItsLog() throws Exception {
        Path deploy = folder.resolve("deploy.toml");
        Files.writeString(deploy, "run = \"exec java -Xmx1k -jar target/x.jar serve\"\n");
        assertThatThrownBy(
                        () -> Fleet.run(scenario("", ""), folder, deploy, new PrintStream(new ByteArrayOutputStream())))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining("before it was ready")
                .hasMessageContaining("n0.log");
        assertThat(schedulerProcesses()).isEmpty();
        Files.writeString(deploy, "run = \"sleep 9\"\n");
        assertThatThrownBy(
                        () -> Fleet.run(scenario("", ""), folder, deploy, new PrintStream(new ByteArrayOutputStream())))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining("no line run");
    }

    @Test
    void startsNothingWhenMemoryIsShort() {
        assertThatThrownBy(() -> Fleet.run(
                        new FleetScenario("huge", 900_000, 1, 1, 1, 1, 0, List.of()),
                        folder,
                        null,
                        new PrintStream(new ByteArrayOutputStream())))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining("nothing was started");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "<kill scheduler='5' at='1s'/>|there is no scheduler 5",
                "<crash worker='6' at='1s' for='1s'/>|there is no worker 6",
                "<kill scheduler='0' at='1s' for='1s'/>|for",
                "<partition schedulers='0 7' at='1s' for='1s'/>|there is no scheduler 7",
                "<partition schedulers='1 1' at='1s' for='1s'/>|is listed twice",
                "<pause scheduler='0' at='7s' for='2s'/>|the fault ends after the load",
                "<kill scheduler='0' at='soon'/>|soon",
                "<start scheduler='0' at='1s'/>|scheduler 0 is up",
                "<kill scheduler='0' at='1s'/><term scheduler='0' at='2s'/>|scheduler 0 is down",
                "<burn worker='1'/>|burn",
                "<slow worker='1' at='1s' for='1s'/>|factor"
            })
    void invalidScenarioErrorNamesTheLine(String faults, String expectedText) {
        assertThatThrownBy(() -> scenario("", faults.replace('\'', '"')))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining("line 2")
                .hasMessageContaining(expectedText);
    }

    @Test
    void scenarioThatStopsEverySchedulerIsRejected() {
        assertThatThrownBy(
                        () -> FleetScenario.parse("<fleet xmlns=\"urn:barrowshore:fleet:1\" name=\"x\" schedulers=\"1\""
                                + " workers=\"1\" rate=\"1\" length=\"8s\"><kill scheduler=\"0\" at=\"1s\"/></fleet>"))
                .hasMessageContaining("no scheduler is left");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "HTTP/1.1 200 OK~Content-Length: 2~~ab|SERVED",
                "HTTP/1.1 200 OK~Content-Length: 3~~ab|NONE",
                "HTTP/1.1 503 -~content-length: 0~~|TURNED_DOWN",
                "HTTP/1.1 429 -~Content-Length: 0~~|TURNED_DOWN",
                "HTTP/1.1 502 -~Content-Length: 0~~|FAILED",
                "HTTP/1.1 200 OK~Content-Len|NONE",
                "''|NONE"
            })
    void answerIsClassifiedByStatusAndCompleteness(String text, Answer answer) {
        assertThat(LoadGenerator.classifyAnswer(text.replace("~", "\r\n"))).isEqualTo(answer);
    }
}
