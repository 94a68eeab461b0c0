package barrowshore.servers;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a client being served with what no worker said: a line gives a result in one form only. */
class AnswerLineTest {
    private static final String HEAD = "{\"id\":\"a1\",\"from\":\"s-1\",\"state\":\"done\"";

    @ParameterizedTest
    @ValueSource(
            strings = {
                "}",
                ",\"result\":null}",
                ",\"result\":5}",
                ",\"result\":1.5e3}",
                ",\"result\":true}",
                ",\"result\":[\"a\"]}",
                ",\"result\":{\"a\":1}}",
                ",\"result\":undefined}",
                ",\"result\":NaN}",
                ",\"results\":\"a\"}",
                ",\"Result\":\"a\"}",
                ",\"load\":{\"result\":\"a\"}}",
                ",\"result\":\"half a pair: \\ud83d\"}",
                ",\"result\":\"the other half: \\ude00\"}",
                ",\"result\":\"a\",\"result\":\"b\"}",
                ",\"result\":\"a\",\"state\":\"done\"}",
                ",\"result\":\"a\",\"id\":\"a1\"}",
                ",\"result\":\"a\"} x",
                ",\"result\":\"a\"}}",
                ",\"result\":\"a\"}{\"id\":\"a1\"}",
                ",\"result\":\"a\\q\"}",
                ",\"result\":\"a\\u00`@\"}",
                ",\"result\":\"a\\u0\"}",
                ",\"result\":\"a",
                ",\"result\":\"a\"",
                ",\"result\":\"a\\",
                ",\"result\":",
            })
    void doneWithoutOneResultInTextIsRejected(String rest) {
        assertThatThrownBy(() -> AnswerLine.parse(HEAD + rest, "a1")).isInstanceOf(InvalidAnswerException.class);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "null",
                "\"a1\"",
                "[]",
                "{}",
                "{\"state\":\"done\",\"result\":\"a\"}",
                "{\"id\":\"b2\",\"state\":\"done\",\"result\":\"a\"}",
                "{\"id\":[\"a1\"],\"state\":\"done\",\"result\":\"a\"}",
                "{\"answer\":{\"id\":\"a1\",\"state\":\"done\",\"result\":\"a\"}}",
            })
    void lineAboutAnotherRequestIsRejected(String line) {
        assertThatThrownBy(() -> AnswerLine.parse(line, "a1")).isInstanceOf(InvalidAnswerException.class);
    }

    /** A stack overflow is no exception, and would end more than this answer. */
    @ParameterizedTest
    @ValueSource(strings = {"[", "{\"a\":"})
    void deeplyNestedLineIsRejected(String opening) {
        assertThatThrownBy(() -> AnswerLine.parse(opening.repeat(50_000), "a1"))
                .isInstanceOf(InvalidAnswerException.class);
    }

    /** All forms of one text are that text: escapes, indentation, the order of names and names that are not known. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            ignoreLeadingAndTrailingWhitespace = false,
            value = {
                "`{\"id\":\"a1\",\"state\":\"done\",\"result\":\"\"}`|``",
                "`{\"id\":\"a1\",\"state\":\"done\",\"result\":\"null\"}`|`null`",
                "`{\"result\":\"a\\\\u00e9\\\\\\\\u\\\\/\\\\\"\",\"state\":\"done\",\"id\":\"a1\",\"x\":[{}]}`|`aé\\\\u/\"`",
                "` { \"id\" : \"a1\", \"state\" : \"done\",\t\"result\" : \"é\" } \r`|`é`",
                "`{\"id\":\"a1\",\"state\":\"done\",\"result\":\"\\\\ud83d\\\\ude00\"}`|`😀`",
            })
    void resultIsPassedOnAsTheServerMeantIt(String line, String result) {
        String unescaped = line.replace("\\\\", "\\");
        assertThat(new String(AnswerLine.parse(unescaped, "a1").result(), StandardCharsets.UTF_8))
                .isEqualTo(result.replace("\\\\", "\\"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"\"DONE\"", "[\"done\"]", "null", "1", "\"finished\""})
    void otherStatesEndNothing(String state) {
        AnswerLine line = AnswerLine.parse("{\"id\":\"a1\",\"state\":" + state + ",\"result\":\"a\"}", "a1");
        assertThat(line.state()).isEqualTo(AnswerLine.State.UNKNOWN);
        assertThat(line.result()).isNull();
    }
}
