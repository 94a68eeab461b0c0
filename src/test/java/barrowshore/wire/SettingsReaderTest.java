package barrowshore.wire;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.module.DispatchApi.Settings;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The nested settings of a scheduler's configuration and the simulator's pairs give the same result. */
class SettingsReaderTest {
    @Test
    void nestedAndFlatGiveTheSameSettings() {
        Settings flat = SettingsReader.parseSettings(
                7,
                "groupSize=2 kinds=big_one,small zones=a,b tick=5000 lanes.count=1 "
                        + "lanes.0.name=menu lanes.0.aim=120000 lanes.0.deadline=5000000 lanes.0.worth=2.0 "
                        + "lanes.0.idempotency=idempotent domain.classStretch=1.75 policyLimits.sendCap=5 "
                        + "policyLimits.cancel=true telemetry.how=pull tenants.count=1 tenants.0.quotaPerS=8.0 "
                        + "unheard.of=1");
        SettingsReader reader = SettingsReader.of(Map.of(
                "groupSize",
                2L,
                "kinds",
                List.of("big one", "small"),
                "zones",
                List.of("a", "b"),
                "tick",
                5000L,
                "lanes",
                List.of(Map.of(
                        "name",
                        "menu",
                        "aim",
                        120000L,
                        "deadline",
                        5000000L,
                        "worth",
                        2.0,
                        "idempotency",
                        "idempotent")),
                "domain",
                Map.of("classStretch", List.of(1.75)),
                "policyLimits",
                Map.of("sendCap", 5L, "cancel", true),
                "telemetry",
                Map.of("how", "pull"),
                "tenants",
                List.of(Map.of("name", "acme", "quotaPerS", 8.0)),
                "unheard",
                Map.of("of", 1L)));
        assertThat(reader.toSettings(7)).usingRecursiveComparison().isEqualTo(flat);
        assertThat(reader.itemNames("lanes")).containsExactly("menu");
        assertThat(reader.itemsOf("kinds")).containsExactly("big_one", "small");
        assertThat(Arrays.asList(flat.classes)).hasSize(1);
        assertThat(flat.machineKinds).isEqualTo(2);
    }

    /** Undocumented keys are listed, each once however many classes have it; documented ones are not, even if unused. */
    @Test
    void unknownKeysAreListed() {
        SettingsReader reader = SettingsReader.of(Map.of(
                "groupSize",
                2L,
                "hue",
                "red",
                "lanes",
                List.of(Map.of("name", "menu", "aim", 1L, "tint", 1L), Map.of("name", "order", "tint", 2L)),
                "rules",
                Map.of("fall", 1L, "rise", Map.of("by", 2L))));
        assertThat(reader.unknownKeys()).containsExactly("hue", "lanes.N.tint", "rules.rise.by");
    }
}
