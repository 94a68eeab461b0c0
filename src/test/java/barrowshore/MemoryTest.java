package barrowshore;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.DispatchApi.Effect;
import barrowshore.DispatchApi.Scope;
import barrowshore.DispatchApi.Status;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** What one dispatcher has learned, in the hands of the next. */
class MemoryTest {
    private final Bench first = new Bench(Bench.settings(Effect.UNSAFE, Scope.ALL)).workers(3);

    /** One of three takes ten times as long, and another fails every second job. */
    private List<String> learned() {
        for (int i = 0; i < 60; i++) {
            String id = "r" + i, worker = first.request(id);
            first.now += 100_000;
            if (worker.equals("w1") && i % 2 == 0) {
                first.outcome(id, Status.ERROR);
            } else {
                first.dispatcher.outcome(first.now, id, 0, true, Status.OK, worker.equals("w0") ? 1_000_000 : 100_000, null);
            }
        }
        return first.dispatcher.memory();
    }

    private static long sentTo(Bench bench, String worker) {
        return Stream.iterate(0, i -> i + 1).limit(40).map(i -> {
            String to = bench.request("s" + i);
            bench.outcome("s" + i, Status.OK);
            return to;
        }).filter(worker::equals).count();
    }

    @Test
    void theNextOneIsNotBlind() {
        Bench blind = new Bench(Bench.settings(Effect.UNSAFE, Scope.ALL)).workers(3);
        Bench next = new Bench(Bench.settings(Effect.UNSAFE, Scope.ALL)).workers(3);
        List<String> memory = learned();
        next.now = blind.now = first.now;
        next.dispatcher.recall(next.now, memory);
        assertThat(sentTo(blind, "w0")).isPositive();
        assertThat(sentTo(next, "w0")).isZero();
        assertThat(sentTo(next, "w1")).isLessThan(sentTo(blind, "w1"));
    }

    /** Each line cut at each place, and what is no figure, is passed over or means something that can be; nothing throws. */
    @Test
    void damagedLinesHarmNothing() {
        List<String> damaged = new ArrayList<>(List.of("", "mean", "kind", "kind 7 1 1 1 1 1 1", "worker nobody 1 1 1 1 1 1 1",
                "mean -1 0 0 0 0 0 0 0", "classes NaN", "kind 0 0 1 1 1 1 1", "later 1 2 3"));
        learned().forEach(line -> {
            for (int k = 0; k < line.length(); k++) {
                damaged.add(line.substring(0, k));
            }
        });
        Bench next = new Bench(Bench.settings(Effect.UNSAFE, Scope.ALL)).workers(3);
        next.dispatcher.recall(next.now, damaged);
        assertThat(next.request("r")).isNotNull();
    }
}
