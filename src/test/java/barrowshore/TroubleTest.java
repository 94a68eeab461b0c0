package barrowshore;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.DispatchApi.Effect;
import barrowshore.DispatchApi.Scope;
import barrowshore.DispatchApi.Status;
import org.junit.jupiter.api.Test;

/** Workers in trouble: what counts against them, and what does not. */
class TroubleTest {
    private static Bench bench(int workers) {
        return new Bench(Bench.settings(Effect.SAFE, Scope.ALL)).workers(workers);
    }

    @Test
    void aConnectionThatBreaksDoesNotSetItsWorkerAside() {
        Bench bench = bench(1);
        bench.request("r");
        bench.outcome("r", Status.RESET);
        assertThat(bench.request("s")).isEqualTo("w0");
    }

    @Test
    void oneThatDoesNotComeUpDoes() {
        Bench bench = bench(1);
        bench.request("r");
        bench.outcome("r", Status.CONNECT_FAILED);
        assertThat(bench.request("s")).isNull();
    }
}
