package barrowshore.operator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import barrowshore.config.ConfigException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Detection of a changed configuration file. */
class ConfigFilesTest {
    @TempDir
    private Path folder;

    @Test
    void reportsAChangeOnlyForDifferentReadableTextUntilItIsRead() throws IOException {
        Path file = folder.resolve("config.json");
        String text = Files.readString(Path.of("src/test/resources/exchanges/config.json"))
                .replaceAll("\\$[DS]", "127.0.0.1:9");
        Files.writeString(file, text);
        ConfigFiles files = new ConfigFiles(file, "127.0.0.1:77", null);
        assertThat(files.read().config().ops().getPort()).isEqualTo(77);
        assertThat(files.isConfigChanged()).isFalse();
        Files.writeString(file, text);
        assertThat(files.isConfigChanged()).isFalse();
        Files.delete(file);
        assertThat(files.isConfigChanged()).isFalse();
        Files.writeString(file, "half");
        assertThat(files.isConfigChanged()).isTrue();
        assertThatThrownBy(files::read).isInstanceOf(ConfigException.class);
        assertThat(files.isConfigChanged()).isFalse();
    }
}
