package barrowshore.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import barrowshore.list.ServerList;
import barrowshore.module.DispatchApi.RepeatSafety;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Parsing of the configuration; an error is named on one line. */
class ConfigTest {
    private static String validConfig() throws IOException {
        return Files.readString(Path.of("src/test/resources/exchanges/config.json"))
                .replace("$S", "127.0.0.1:7")
                .replace("$D", "127.0.0.1:9");
    }

    @Test
    void readsNestedSettingsAndTheKnownList() throws IOException {
        Config config = Config.parse(validConfig());
        assertThat(config.settings().seed).isEqualTo(0x8c1f30d27a5be964L);
        assertThat(config.classes()).containsExactly("menu", "order");
        assertThat(config.settings().classes[0].safety()).isEqualTo(RepeatSafety.SAFE);
        assertThat(config.settings().classes[1].safety()).isEqualTo(RepeatSafety.UNSAFE);
        assertThat(config.settings().connectTimeoutMicros).isEqualTo(250_000);
        assertThat(config.keepAliveMicros()).isEqualTo(60_000_000);
        assertThat(config.knownServers().revision()).isEqualTo(5);
        assertThat(config.knownServers().entries()).singleElement().satisfies(e -> {
            assertThat(e.uid()).isEqualTo("s-1");
            assertThat(e.state()).isEqualTo(ServerList.State.READY);
        });
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            "seed":"8c1f30d27a5be964" | "seed":"xyz"        | seed is not a hexadecimal number: xyz
            "listen":"127.0.0.1:0"    | "listen":"here"     | listen is not address:port: here
            "discovery":"127.0.0.1:9" | "discover":1        | discovery is missing or not a text
            "sockets":1024            | "sockets":"many"    | limits.sockets must be a number of at least 128
            "settings":               | "settinks":         | settings is missing or not an object
            "aim":120000              | "aim":"soon"        | settings: setting lanes.0.aim is not a number: soon
            "tick":5000               | "tick":0            | settings: tick must be positive
            {"name":"menu",           | {                   | settings: lanes.0.name is missing
            "targets":                | "target":           | known: targets is missing or not a list
            "name":"n0"               | "name":"n0","peer_listen":"127.0.0.1:1" | peers is missing or not a list
            "name":"n0"               | "name":"n0","peer_listen":"127.0.0.1:1","peers":["a"] | peers is not address:port: a
            "name":"n0"               | oops                | configuration is not JSON
            """)
    void errorsNameTheFieldAndValue(String part, String replacement, String message) throws IOException {
        String bad = validConfig().replace(part, replacement);
        assertThatThrownBy(() -> Config.parse(bad))
                .isInstanceOf(ConfigException.class)
                .hasMessageStartingWith(message)
                .message()
                .doesNotContain("\n");
    }

    @Test
    void listsFieldsThatNeedARestart() throws IOException {
        Config other = Config.parse(validConfig()
                .replace("127.0.0.1:9", "127.0.0.1:10")
                .replace("8c1f", "9c1f")
                .replace("\"rev\":5", "\"rev\":6")
                .replace("\"sockets\":1024", "\"sockets\":512"));
        assertThat(other.discovery().getPort()).isEqualTo(10);
        assertThat(Config.parse(validConfig()).fieldsNeedingRestart(other)).containsExactly("limits");
    }

    @Test
    void theArchiveScriptsConfigurationIsValid() throws IOException {
        String script = Files.readString(Path.of("deploy/archive.sh"));
        Config config = Config.parse(script.substring(script.indexOf("\n{") + 1, script.indexOf("\nJSON")));
        assertThat(config.knownServers().entries()).hasSize(1);
        assertThat(config.peers().broadcast().getPort()).isEqualTo(9);
    }
}
