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

/** Reloads: which changes a running configuration accepts, and how it refuses an invalid file. */
class ConfigReloadTest {
    private String text;
    private Config running;

    @BeforeEach
    void read() throws IOException {
        text = Files.readString(Path.of("src/test/resources/exchanges/config.json"))
                .replaceAll("\\$[DS]", "127.0.0.1:9");
        running = Config.parse(text);
    }

    private Config reload(String part, String replacement) {
        assertThat(text).contains(part);
        return Config.parse(text.replace(part, replacement)).asReloadOf(running);
    }

    @Test
    void classesKeepTheirNumbersOverReloads() {
        Config withoutMenu = reload("\"menu\"", "\"supper\"");
        assertThat(withoutMenu.classes()).containsExactly("menu", "order", "supper");
        assertThat(withoutMenu.acceptedClasses()).containsExactlyInAnyOrder("order", "supper");
        assertThat(withoutMenu.settings().classes[0]).isEqualTo(running.settings().classes[0]);
        Config withMenuAgain =
                Config.parse(text.replace("at_most_once", "idempotent")).asReloadOf(withoutMenu);
        assertThat(withMenuAgain.classes()).containsExactly("menu", "order", "supper");
        assertThat(withMenuAgain.acceptedClasses()).containsExactlyInAnyOrder("menu", "order");
        assertThat(withMenuAgain.settings().classes[1].safety()).isEqualTo(RepeatSafety.SAFE);
    }

    @Test
    void startupOnlySettingsStayAndAreNamed() {
        Config next = reload("\"groupSize\":1", "\"groupSize\":7");
        assertThat(next.settings().dispatchers).isEqualTo(1);
        assertThat(running.fieldsNeedingRestart(Config.parse(text.replace("\"groupSize\":1", "\"groupSize\":7"))))
                .containsExactly("settings.groupSize");
        assertThat(running.fieldsNeedingRestart(Config.parse(text.replace("\"sendCap\":5", "\"sendCap\":2"))))
                .isEmpty();
    }

    @Test
    void timesOfConnectionsToServersAreTakenOver() {
        assertThat(reload("\"keepalive\":60000000", "\"keepalive\":1000000").keepAliveMicros())
                .isEqualTo(1_000_000);
        assertThat(reload("\"dialTimeout\":250000", "\"dialTimeout\":90000").settings().connectTimeoutMicros)
                .isEqualTo(90_000);
    }

    @Test
    void vanishedClassGetsNoJobsAndItsDeadlineNoLongerCounts() {
        Config shorter = reload("\"deadline\":5000000,\"worth\":2.0", "\"deadline\":1200000,\"worth\":2.0");
        assertThat(shorter.longestDeadlineMicros()).isEqualTo(5_000_000);
        Config withoutOrder = Config.parse(text.replaceFirst("(?s),\\s*\\{\"name\":\"order\".*?}", "")
                        .replace("\"deadline\":5000000", "\"deadline\":1200000"))
                .asReloadOf(running);
        assertThat(withoutOrder.classes()).containsExactly("menu", "order");
        assertThat(withoutOrder.settings().retiredClasses).containsExactly(1);
        assertThat(withoutOrder.longestDeadlineMicros()).isEqualTo(1_200_000);
        assertThat(Config.parse(text).asReloadOf(withoutOrder).settings().retiredClasses)
                .isEmpty();
    }

    @Test
    void aFileCutOffAtAnyByteIsRefused() {
        String whole = text.strip();
        for (int k = 0; k < whole.length(); k++) {
            String cut = whole.substring(0, k);
            assertThatThrownBy(() -> Config.parse(cut).asReloadOf(running))
                    .as(cut)
                    .isInstanceOf(ConfigException.class);
        }
    }

    @Test
    void aFileLackingAnyKeyIsRefusedAndTheKeyIsNamed() {
        List<String> keys = new ArrayList<>();
        Object whole = Json.parse(text);
        refuseWithoutEachKey(whole, whole, "", keys);
        assertThat(keys)
                .hasSizeGreaterThan(50)
                .contains(
                        "settings.lanes.1.deadline",
                        "settings.policyLimits.sendCap",
                        "seed",
                        "settings.tenants.0.quotaPerS");
    }

    /** Removes each key in turn, checks that the remaining file is refused with the key's name, and restores the key. */
    private void refuseWithoutEachKey(Object whole, Object part, String path, List<String> keys) {
        if (part instanceof List<?> list) {
            for (int k = 0; k < list.size(); k++) {
                refuseWithoutEachKey(whole, list.get(k), path + "." + k, keys);
            }
        } else if (part instanceof Map<?, ?> map) {
            for (Map.Entry<?, ?> entry : List.copyOf(map.entrySet())) {
                @SuppressWarnings("unchecked")
                Map<Object, Object> mutableMap = (Map<Object, Object>) map;
                String keyPath = path.isEmpty() ? "" + entry.getKey() : path + "." + entry.getKey();
                mutableMap.remove(entry.getKey());
                String remaining = new JSON().toJSON(whole);
                if (keyPath.equals("known")) {
                    Config.parse(remaining).asReloadOf(running); // used only at a start, so a reload may lack it
                } else if (!keyPath.startsWith("known") && !keyPath.startsWith("nobody-knows.this.")) {
                    keys.add(keyPath);
                    String last = String.valueOf(entry.getKey());
                    assertThatThrownBy(() -> Config.parse(remaining).asReloadOf(running), keyPath)
                            .isInstanceOf(ConfigException.class)
                            .hasMessageContaining(last);
                }
                mutableMap.put(entry.getKey(), entry.getValue());
                refuseWithoutEachKey(whole, entry.getValue(), keyPath, keys);
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
    void invalidValuesAreRefusedByName(String part, String replacement, String namedField) {
        assertThatThrownBy(() -> reload(part, replacement))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining(namedField);
    }

    @Test
    void hugeNumbersAreAccepted() {
        assertThat(reload("\"deadline\":5000000", "\"deadline\":1e300")
                        .settings()
                        .classes[0]
                        .deadlineMicros())
                .isPositive();
        assertThat(reload("\"sendCap\":5", "\"sendCap\":1e300").settings().maxAttempts)
                .isPositive();
    }

    @Test
    void theOpsAddressOfTheEnvironmentOverrides() {
        assertThat(running.withOpsAddress("127.0.0.1:77").ops().getPort()).isEqualTo(77);
        assertThat(running.withOpsAddress(null).ops().getPort()).isZero();
        assertThatThrownBy(() -> running.withOpsAddress("77"))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining("GW_OPS");
    }
}
