package barrowshore.emulate;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import barrowshore.config.ConfigException;
import barrowshore.operator.OperatorSettings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.eclipse.jetty.util.ajax.JSON;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Emulated runs of all scenarios: rules hold, equal seeds give equal runs, and halls are handled as specified. */
class EmulatorTest {
    private static final Path SCENARIOS = Path.of("scenarios");
    private static final OperatorSettings HALLS_ON = OperatorSettings.read(Path.of("deploy/operator.xml"));

    static Stream<String> scenarios() throws IOException {
        try (Stream<Path> all = Files.list(SCENARIOS)) {
            return all
                    .map(p -> p.getFileName().toString())
                    .filter(n -> n.endsWith(".xml") && !n.matches("hall-large.xml|fleet-even-(60|200).xml"))
                    .sorted()
                    .toList()
                    .stream();
        }
    }

    private static List<Report> run(String file, OperatorSettings operator, int seeds) {
        Scenario scenario = Scenario.read(SCENARIOS.resolve(file));
        return LongStream.rangeClosed(1, seeds)
                .parallel()
                .mapToObj(s -> Emulator.run(scenario, operator, s))
                .toList();
    }

    @ParameterizedTest
    @MethodSource("scenarios")
    void noRuleIsViolatedWithHallsOnOrOff(String file) {
        for (OperatorSettings operator : List.of(HALLS_ON, OperatorSettings.NONE)) {
            assertThat(run(file, operator, 2)).allSatisfy(r -> {
                assertThat(r.violationCount()).as(r.table()).isZero();
                assertThat(r.coldBudgetUsed()).isLessThan(1);
                assertThat(r.longestMessage).isLessThanOrEqualTo(256);
                assertThat(r.servedWorthShare()).isGreaterThan(0.5);
            });
        }
    }

    @Test
    void sameSeedGivesSameRun() {
        for (String file : List.of("hall-flap.xml", "hall-fresh.xml")) {
            String once = new JSON().toJSON(run(file, HALLS_ON, 1).get(0).json());
            assertThat(new JSON().toJSON(run(file, HALLS_ON, 1).get(0).json())).isEqualTo(once);
        }
    }

    /** Fourteen schedulers share nodes that restart cold: the nodes are used, and the cold budget is never exceeded. */
    @Test
    void coldNodesAreSharedByAFleetWithoutOverload() {
        for (Report r : run("fleet-cold.xml", OperatorSettings.NONE, 4)) {
            assertThat(r.overloadedNodes()).as(r.table()).isZero();
            assertThat(r.coldBudgetUsed()).as(r.table()).isBetween(0.1, 1.0);
        }
    }

    @Test
    void aDarkHallGetsAlmostNoJobsAndReturns() {
        for (Report r : run("hall-dark.xml", HALLS_ON, 4)) {
            assertThat(r.darkSendShare()).as(r.table()).isLessThan(0.03);
            assertThat(r.hallStateChangeLines())
                    .anyMatch(l -> l.contains("hala-a dark"))
                    .anyMatch(l -> l.contains("hala-a returning"))
                    .anyMatch(l -> l.contains("hala-a serving"))
                    .noneMatch(l -> l.contains("hala-b"));
        }
    }

    @Test
    void faultsOfSingleNodesChangeNoHallState() {
        assertThat(run("single-nodes.xml", HALLS_ON, 20))
                .allSatisfy(
                        r -> assertThat(r.hallStateChangeCount()).as(r.table()).isZero());
    }

    @Test
    void aPlannedDrainIsNotTakenForAnOutage() {
        assertThat(run("hall-planned.xml", HALLS_ON, 4)).allSatisfy(r -> assertThat(r.hallStateChangeLines())
                .noneMatch(l -> l.contains("doubted") || l.contains("held")));
    }

    @Test
    void spillIntoTheRemainingHallIsBounded() {
        List<Report> on = run("hall-burst.xml", HALLS_ON, 8), off = run("hall-burst.xml", OperatorSettings.NONE, 8);
        // The limit is a share of the existing slots; high load must not make the estimate of slots larger.
        assertThat(on)
                .allSatisfy(r -> assertThat(r.maxSpillShare(1)).as(r.table()).isLessThanOrEqualTo(1));
        assertThat(on.stream().mapToDouble(r -> r.servedShare(1)).sum())
                .isGreaterThan(off.stream().mapToDouble(r -> r.servedShare(1)).sum());
        assertThat(on.stream().mapToDouble(Report::servedWorthShare).sum())
                .isGreaterThan(
                        off.stream().mapToDouble(Report::servedWorthShare).sum());
    }

    @ParameterizedTest
    @ValueSource(strings = {"hall=\"hala-c\"|there is no hall hala-c", "part=\"2\"|'2'", "at=\"soon\"|soon"})
    void anInvalidScenarioIsReportedWithItsLine(String change) {
        String[] changeAndMessage = change.split("\\|");
        String text = "<scenario xmlns=\"urn:barrowshore:scenario:1\" name=\"x\" length=\"10s\">\n"
                + "<hall name=\"hala-a\" nodes=\"2\" schedulers=\"1\" clients=\"1\"/>\n<dark "
                + (changeAndMessage[0].startsWith("at") ? "" : "at=\"1s\" ") + "for=\"1s\" "
                + (changeAndMessage[0].startsWith("hall") ? "" : "hall=\"hala-a\" ") + changeAndMessage[0]
                + "/>\n</scenario>";
        assertThatThrownBy(() -> Scenario.parse(text))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining("line 3")
                .hasMessageContaining("dark")
                .hasMessageContaining(changeAndMessage[1]);
    }
}
