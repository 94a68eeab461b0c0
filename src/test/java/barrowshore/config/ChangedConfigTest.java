package barrowshore.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import barrowshore.module.DispatchApi.RepeatSafety;
import barrowshore.wire.Json;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.eclipse.jetty.util.ajax.JSON;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A configuration that is to take another's place. */
class ChangedConfigTest {
    private String text;
    private Config now;

    @BeforeEach
    void read() throws IOException {
        text = Files.readString(Path.of("src/test/resources/exchanges/config.json"))
                .replaceAll("\\$[DS]", "127.0.0.1:9");
        now = Config.parse(text);
    }

    private Config next(String what, String with) {
        assertThat(text).contains(what);
        return Config.parse(text.replace(what, with)).asReloadOf(now);
    }

    @Test
    void classesKeepTheirNumbersForLife() {
        Config without = next("\"menu\"", "\"supper\"");
        assertThat(without.classes()).containsExactly("menu", "order", "supper");
        assertThat(without.acceptedClasses()).containsExactlyInAnyOrder("order", "supper");
        assertThat(without.settings().classes[0]).isEqualTo(now.settings().classes[0]);
        Config again = Config.parse(text.replace("at_most_once", "idempotent")).asReloadOf(without);
        assertThat(again.classes()).containsExactly("menu", "order", "supper");
        assertThat(again.acceptedClasses()).containsExactlyInAnyOrder("menu", "order");
        assertThat(again.settings().classes[1].safety()).isEqualTo(RepeatSafety.SAFE);
    }

    @Test
    void whatTheRestIsBuiltOnStaysAndIsNamed() {
        Config next = next("\"groupSize\":1", "\"groupSize\":7");
        assertThat(next.settings().dispatchers).isEqualTo(1);
        assertThat(now.fieldsNeedingRestart(Config.parse(text.replace("\"groupSize\":1", "\"groupSize\":7"))))
                .containsExactly("settings.groupSize");
        assertThat(now.fieldsNeedingRestart(Config.parse(text.replace("\"sendCap\":5", "\"sendCap\":2"))))
                .isEmpty();
    }

    @Test
    void aFileCutOffAtAnyByteIsTurnedDown() {
        String whole = text.strip();
        for (int k = 0; k < whole.length(); k++) {
            String cut = whole.substring(0, k);
            assertThatThrownBy(() -> Config.parse(cut).asReloadOf(now)).as(cut).isInstanceOf(ConfigException.class);
        }
    }

    @Test
    void aFileShortOfAnyKeyIsTurnedDownAndTheKeyIsNamed() {
        List<String> keys = new ArrayList<>();
        Object whole = Json.parse(text);
        withoutEach(whole, whole, "", keys);
        assertThat(keys)
                .hasSizeGreaterThan(50)
                .contains(
                        "settings.lanes.1.deadline",
                        "settings.policyLimits.sendCap",
                        "seed",
                        "settings.tenants.0.quotaPerS");
    }

    /** Takes each key out of the whole in turn, reads what is left, and puts it back. */
    private void withoutEach(Object whole, Object part, String path, List<String> keys) {
        if (part instanceof List<?> list) {
            for (int k = 0; k < list.size(); k++) {
                withoutEach(whole, list.get(k), path + "." + k, keys);
            }
        } else if (part instanceof Map<?, ?> map) {
            for (Map.Entry<?, ?> each : List.copyOf(map.entrySet())) {
                @SuppressWarnings("unchecked")
                Map<Object, Object> open = (Map<Object, Object>) map;
                String at = path.isEmpty() ? "" + each.getKey() : path + "." + each.getKey();
                open.remove(each.getKey());
                String left = new JSON().toJSON(whole);
                if (at.equals("known")) {
                    Config.parse(left).asReloadOf(now); // only a start needs it
                } else if (!at.startsWith("known") && !at.startsWith("nobody-knows.this.")) {
                    keys.add(at);
                    String last = String.valueOf(each.getKey());
                    assertThatThrownBy(() -> Config.parse(left).asReloadOf(now), at)
                            .isInstanceOf(ConfigException.class)
                            .hasMessageContaining(last);
                }
                open.put(each.getKey(), each.getValue());
                withoutEach(whole, each.getValue(), at, keys);
            }
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"deadline\":5000000|\"deadline\":0|lanes.0.deadline",
                "\"deadline\":5000000|\"deadline\":-1|deadline",
                "\"deadline\":5000000|\"deadline\":0.4|deadline",
                "\"deadline\":5000000|\"deadline\":NaN|deadline",
                "\"deadline\":5000000|\"deadline\":null|deadline",
                "\"deadline\":5000000|\"deadline\":\"5000000\"|deadline",
                "\"deadline\":5000000|\"deadline\":[]|deadline",
                "\"sendCap\":5|\"sendCap\":0|policyLimits.sendCap",
                "\"sendCap\":5|\"sendCap\":-3|policyLimits.sendCap",
                "\"sendCap\":5|\"sendCap\":true|sendCap",
                "\"worth\":2.0|\"worth\":-1|worth",
                "\"worth\":2.0|\"worth\":1e999|worth",
                "\"name\":\"menu\"|\"name\":\"order\"|order",
                "\"name\":\"menu\"|\"name\":\"\"|name",
                "\"targets\":[{|\"targets\":[7,{|known",
                "\"settings\":{|\"settings\":7,\"other\":{|settings"
            })
    void whatCannotBeIsTurnedDownByName(String what, String with, String named) {
        assertThatThrownBy(() -> next(what, with))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining(named);
    }

    @Test
    void theLargestNumbersAreNumbers() {
        assertThat(next("\"deadline\":5000000", "\"deadline\":1e300")
                        .settings()
                        .classes[0]
                        .deadlineMicros())
                .isPositive();
        assertThat(next("\"sendCap\":5", "\"sendCap\":1e300").settings().maxAttempts)
                .isPositive();
    }

    @Test
    void theAddressOfTheEnvironmentCounts() {
        assertThat(now.withOpsAddress("127.0.0.1:77").ops().getPort()).isEqualTo(77);
        assertThat(now.withOpsAddress(null).ops().getPort()).isZero();
        assertThatThrownBy(() -> now.withOpsAddress("77"))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining("GW_OPS");
    }
}
