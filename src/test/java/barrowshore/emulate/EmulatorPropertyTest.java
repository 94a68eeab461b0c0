package barrowshore.emulate;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.emulate.Scenario.EventType;
import barrowshore.emulate.Scenario.ScenarioEvent;
import barrowshore.emulate.Scenario.ZoneSpec;
import barrowshore.operator.OperatorSettings;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Emulated runs with random events: whatever happens to zones, nodes and schedulers, no rule is violated. */
class EmulatorPropertyTest {
    private static final long SECOND = 1_000_000;
    private static final OperatorSettings HALLS_ON = OperatorSettings.read(Path.of("deploy/operator.xml"));
    private static final EventType[] EVENT_TYPES = {
        EventType.VANISH,
        EventType.CRASH,
        EventType.RENEW,
        EventType.CUT,
        EventType.DRAIN,
        EventType.UNLIST,
        EventType.HANG,
        EventType.SLOW,
        EventType.BURST,
        EventType.RESTART,
        EventType.TROUBLES
    };

    private static Scenario randomScenario(Random random, int eventCount) {
        List<ZoneSpec> zones = new ArrayList<>();
        int schedulers = 0;
        for (String name : List.of("hala-a", "hala-b")) {
            ZoneSpec zone = new ZoneSpec(name, 1 + random.nextInt(6), 1 + random.nextInt(2), 0.5);
            zones.add(zone);
            schedulers += zone.schedulers();
        }
        List<ScenarioEvent> events = new ArrayList<>();
        for (int k = 0; k < eventCount; k++) {
            EventType type = EVENT_TYPES[random.nextInt(EVENT_TYPES.length)];
            events.add(new ScenarioEvent(
                    type,
                    (1 + random.nextInt(14)) * SECOND,
                    (1 + random.nextInt(10)) * SECOND,
                    random.nextInt(2) * SECOND,
                    random.nextInt(2),
                    0.25 * (1 + random.nextInt(4)),
                    0.5 * random.nextInt(3),
                    type == EventType.TROUBLES ? 2 : 1.5 + random.nextInt(5),
                    random.nextInt(schedulers)));
        }
        return new Scenario(
                "random",
                20 * SECOND,
                0.3 + 0.7 * random.nextDouble(),
                5,
                random.nextInt(2),
                random.nextInt(3) * 0.2,
                random.nextInt(3) * 0.1,
                random.nextBoolean(),
                zones,
                events);
    }

    /**
     * Each request gets one answer in time; no unsafe job runs twice, no cold node is overloaded, nothing is sent
     * after the answer.
     */
    @Property(tries = 80, seed = "20261201")
    void noRuleIsViolatedWhateverHappens(@ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int eventCount) {
        Report report = Emulator.run(randomScenario(new Random(seed), eventCount), HALLS_ON, seed);
        assertThat(report.duplicateRuns).as("ran twice").isZero();
        assertThat(report.missedDeadlines)
                .as("no answer of the module's in time")
                .isZero();
        assertThat(report.duplicateAnswers).as("answered twice").isZero();
        assertThat(report.sendsAfterAnswer).as("sent after the end").isZero();
        assertThat(report.overloadedNodes()).as("pushed over").isZero();
        assertThat(report.coldBudgetUsed()).as("cold budget").isLessThanOrEqualTo(1);
        assertThat(report.longestMessage).isLessThanOrEqualTo(256);
    }
}
