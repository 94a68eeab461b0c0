package barrowshore.emulate;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.emulate.Scenario.Happening;
import barrowshore.emulate.Scenario.What;
import barrowshore.emulate.Scenario.ZoneSpec;
import barrowshore.operator.OperatorSettings;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Whole days of random misfortune: whatever happens to zones, nodes and schedulers, the rules hold. */
class EmulatorPropertyTest {
    private static final long S = 1_000_000;
    private static final OperatorSettings ON = OperatorSettings.read(Path.of("deploy/operator.xml"));
    private static final What[] KINDS = {
        What.VANISH,
        What.CRASH,
        What.RENEW,
        What.CUT,
        What.DRAIN,
        What.UNLIST,
        What.HANG,
        What.SLOW,
        What.BURST,
        What.RESTART,
        What.TROUBLES
    };

    private static Scenario day(Random chance, int misfortunes) {
        List<ZoneSpec> zones = new ArrayList<>();
        int schedulers = 0;
        for (String name : List.of("hala-a", "hala-b")) {
            ZoneSpec zone = new ZoneSpec(name, 1 + chance.nextInt(6), 1 + chance.nextInt(2), 0.5);
            zones.add(zone);
            schedulers += zone.schedulers();
        }
        List<Happening> happenings = new ArrayList<>();
        for (int k = 0; k < misfortunes; k++) {
            What what = KINDS[chance.nextInt(KINDS.length)];
            happenings.add(new Happening(
                    what,
                    (1 + chance.nextInt(14)) * S,
                    (1 + chance.nextInt(10)) * S,
                    chance.nextInt(2) * S,
                    chance.nextInt(2),
                    0.25 * (1 + chance.nextInt(4)),
                    0.5 * chance.nextInt(3),
                    what == What.TROUBLES ? 2 : 1.5 + chance.nextInt(5),
                    chance.nextInt(schedulers)));
        }
        return new Scenario(
                "random",
                20 * S,
                0.3 + 0.7 * chance.nextDouble(),
                5,
                chance.nextInt(2),
                chance.nextInt(3) * 0.2,
                chance.nextInt(3) * 0.1,
                chance.nextBoolean(),
                zones,
                happenings);
    }

    /** One final answer for each request inside its time, no unsafe job twice, no cold node pushed over, no late send. */
    @Property(tries = 80, seed = "20261201")
    void theRulesHoldWhateverHappens(@ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int misfortunes) {
        Report r = Emulator.play(day(new Random(seed), misfortunes), ON, seed);
        assertThat(r.twice).as("ran twice").isZero();
        assertThat(r.silent).as("no answer of the module's in time").isZero();
        assertThat(r.answersTwice).as("answered twice").isZero();
        assertThat(r.sentAfterEnd).as("sent after the end").isZero();
        assertThat(r.fallen()).as("pushed over").isZero();
        assertThat(r.coldUse()).as("cold budget").isLessThanOrEqualTo(1);
        assertThat(r.longestMessage).isLessThanOrEqualTo(256);
    }
}
