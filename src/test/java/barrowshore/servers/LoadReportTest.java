package barrowshore.servers;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.DispatchApi.Load;
import barrowshore.wire.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What of a real server's load report is taken: figures that a machine can have, and nothing else. */
class LoadReportTest {
    private static Load read(String text) {
        return RealServer.load(Json.orNull(text));
    }

    @Test
    void eachFigureStandsForItself() {
        assertThat(read("{\"x0\":3.5,\"util\":0.4,\"x1\":2,\"unheard\":[1]}")).isEqualTo(new Load(Double.NaN, Double.NaN, 3.5));
        assertThat(read("{\"inflight\":7,\"queue\":0}")).isEqualTo(new Load(7, 0, Double.NaN));
    }

    @ParameterizedTest
    @ValueSource(strings = {"-1", "-0.5", "1e18", "1e999", "\"4\"", "null", "true", "[4]", "{}", "NaN"})
    void aFigureThatNoMachineCanHaveIsNone(String value) {
        assertThat(read("{\"inflight\":" + value + ",\"x0\":2}")).isEqualTo(new Load(Double.NaN, Double.NaN, 2));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{", "{\"inflight\":7", "[]", "7", "{}", "inflight=7"})
    void whatIsNoReportIsNone(String text) {
        assertThat(read(text)).isNull();
    }
}
