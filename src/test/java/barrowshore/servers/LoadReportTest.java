package barrowshore.servers;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.module.DispatchApi.Load;
import barrowshore.wire.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Parsing of a server's load report: only plausible values are accepted. */
class LoadReportTest {
    @ParameterizedTest
    @ValueSource(strings = {"-0.5", "1e18", "1e999", "\"4\"", "null", "true", "[4]", "{}", "NaN"})
    void impossibleValueIsIgnored(String value) {
        assertThat(LoadReport.parse(Json.parseOrNull("{\"inflight\":" + value + ",\"util\":1,\"x0\":2.5}")))
                .isEqualTo(new Load(Double.NaN, Double.NaN, 2.5));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{", "{\"inflight\":7", "[]", "7", "{}", "inflight=7"})
    void invalidReportYieldsNull(String text) {
        assertThat(LoadReport.parse(Json.parseOrNull(text))).isNull();
    }

    /** A stack overflow is no exception, and would end more than the report. */
    @Test
    void deeplyNestedReportYieldsNull() {
        assertThat(LoadReport.parse(Json.parseOrNull("{\"a\":".repeat(50_000)))).isNull();
    }
}
