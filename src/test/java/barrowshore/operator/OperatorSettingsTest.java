package barrowshore.operator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import barrowshore.config.ConfigException;
import barrowshore.halls.HallRules;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Parsing of the operators' file, and that error messages name line, column and element. */
class OperatorSettingsTest {
    private static final List<String> ZONES = List.of("hala-a", "hala-b");

    private static String exampleFile() throws IOException {
        return Files.readString(Path.of("deploy/operator.xml"));
    }

    @Test
    void exampleFileMatchesTheDefaults() throws IOException {
        HallRules rules =
                OperatorSettings.parse("f", exampleFile()).hallSettings().rulesFor(ZONES, 1);
        assertThat(rules)
                .isEqualTo(HallRules.defaults(ZONES, 1))
                .isEqualTo(OperatorSettings.HallSettings.defaults().rulesFor(ZONES, 1));
    }

    @Test
    void missingElementsAreOff() {
        assertThat(OperatorSettings.parse("f", "<operator xmlns=\"urn:barrowshore:operator:1\"/>"))
                .isEqualTo(OperatorSettings.NONE);
    }

    @Test
    void hallsMissingFromAPreferenceFormTheLastTier() throws IOException {
        String threeHalls = exampleFile()
                .replace(
                        "<tier><hall name=\"hala-b\"/></tier>\n    </preference>\n    <preference",
                        "<tier><hall name=\"hala-c\"/></tier>\n    </preference>\n    <preference");
        HallRules rules = OperatorSettings.parse("f", threeHalls)
                .hallSettings()
                .rulesFor(List.of("hala-a", "hala-b", "hala-c"), 0);
        assertThat(rules.tiersByHall()).containsExactly(0, 2, 1);
        assertThatThrownBy(() ->
                        OperatorSettings.parse("f", threeHalls).hallSettings().rulesFor(ZONES, 0))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining("hala-c");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            spill="1"             | spill="1.5"                    | line 4, column 37: halls: Value '1.5'
            tiers="priced"        | tears="priced"                 | line 4, column 35: halls: Attribute 'tears'
            tiers="priced"        | dark-after="soon"              | line 4, column 38: halls: Value 'soon'
            <tier>                | <teir>                         | line 6, column 13: teir: Invalid content
            name="hala-b"         | name="hala-a"                  | line 7, column 34: hall: hala-a is in two tiers of hala-a
            of="hala-b"           | of="hala-a"                    | line 9, column 29: preference: hala-a has two preferences
            tiers="priced"        | hold-off="5min" hold-most="1s" | line 4, column 51: halls: hold-most must not be under hold-off
            </halls>              | </walls>                       | line 13
            <?xml version="1.0"   | <!DOCTYPE operator [<!ENTITY a "b">]><?xml version="1.0" | line 1
            """)
    void reportsLineColumnAndElementOfAnError(String original, String replacement, String message) throws IOException {
        String bad = exampleFile()
                .replaceFirst(
                        java.util.regex.Pattern.quote(original), java.util.regex.Matcher.quoteReplacement(replacement));
        assertThat(bad).isNotEqualTo(exampleFile());
        assertThatThrownBy(() -> OperatorSettings.parse("f", bad))
                .isInstanceOf(ConfigException.class)
                .hasMessageStartingWith("f: " + message)
                .message()
                .doesNotContain("\n");
    }

    @Test
    void rejectsEntitiesAndOversizedFiles(@TempDir Path dir) throws IOException {
        Path secret = Files.writeString(dir.resolve("secret"), "hala-z");
        String externalEntity = "<!DOCTYPE operator [<!ENTITY x SYSTEM \"" + secret.toUri() + "\">]>\n"
                + exampleFile().replaceFirst("<\\?xml[^>]*>", "").replace("of=\"hala-b\"", "of=\"&x;\"");
        assertThatThrownBy(() -> OperatorSettings.parse("f", externalEntity))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining("DOCTYPE");
        Path huge = Files.writeString(
                dir.resolve("huge"), exampleFile().replace("</operator>", " ".repeat(1 << 20) + "</operator>"));
        assertThatThrownBy(() -> OperatorSettings.read(huge)).hasMessageContaining("is over 1048576 bytes");
        assertThatThrownBy(() -> OperatorSettings.read(dir.resolve("none"))).hasMessageContaining("cannot be read");
    }
}
