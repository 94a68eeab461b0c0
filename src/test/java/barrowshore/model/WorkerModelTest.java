package barrowshore.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;

/** {@link WorkerModel} against times computed by hand. */
class WorkerModelTest {
    private static final long MILLISECOND = 1_000, SECOND = 1_000_000;

    private static final class ManualTimeline implements Timeline {
        private record Event(long at, long order, Runnable run) {}

        private final PriorityQueue<Event> events =
                new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
        private long now = 100 * SECOND;
        private long order;

        @Override
        public long now() {
            return now;
        }

        @Override
        public void runAt(long time, Runnable run) {
            events.add(new Event(time, order++, run));
        }

        void advance(long duration) {
            long until = now + duration;
            while (!events.isEmpty() && events.peek().at <= until) {
                Event event = events.poll();
                now = Math.max(now, event.at);
                event.run.run();
            }
            now = until;
        }
    }

    private final ManualTimeline timeline = new ManualTimeline();
    private final List<String> callbacks = new ArrayList<>();

    private WorkerModel node(int cores, double speed, double queue, boolean backfill) {
        return new WorkerModel(
                timeline,
                new WorkerModel.Spec(cores, speed, queue, backfill, 0.2, 20 * SECOND),
                new WorkerModel.OverloadLimit(3, 2 * SECOND, 500 * MILLISECOND),
                2 * SECOND);
    }

    private WorkerModel.Job job(String name, double slots, long work) {
        return new WorkerModel.Job() {
            @Override
            public double slots() {
                return slots;
            }

            @Override
            public double work() {
                return work;
            }

            private void logCallback(String callback) {
                callbacks.add(name + " " + callback + " " + (timeline.now() - 100 * SECOND) / MILLISECOND);
            }

            @Override
            public void started() {
                logCallback("started");
            }

            @Override
            public void progress(double share) {
                logCallback("at " + Math.round(share * 100) + "%");
            }

            @Override
            public void done() {
                logCallback("done");
            }

            @Override
            public void failed() {
                logCallback("failed");
            }

            @Override
            public void returned() {
                logCallback("returned");
            }

            @Override
            public void lost() {
                logCallback("lost");
            }
        };
    }

    @Test
    void runsJobsInOrderOrWithBackfill() {
        WorkerModel fifo = node(2, 0.5, 10, false);
        fifo.offer(job("a", 1, 100 * MILLISECOND));
        fifo.offer(job("b", 2, 100 * MILLISECOND));
        fifo.offer(job("c", 1, 100 * MILLISECOND));
        timeline.advance(SECOND);
        assertThat(callbacks)
                .containsExactly(
                        "a started 0", "a done 200", "b started 200", "b done 400", "c started 400", "c done 600");
        callbacks.clear();
        WorkerModel backfill = node(2, 1, 10, true);
        backfill.offer(job("a", 1, 100 * MILLISECOND));
        backfill.offer(job("b", 2, 100 * MILLISECOND));
        backfill.offer(job("c", 1, 100 * MILLISECOND));
        assertThat(callbacks).containsExactly("a started 1000", "c started 1000");
    }

    @Test
    void reportsProgressAndSlowsDown() {
        WorkerModel node = node(1, 1, 10, false);
        node.offer(job("a", 1, 4 * SECOND));
        timeline.advance(SECOND);
        node.setSlowdown(3);
        timeline.advance(20 * SECOND);
        assertThat(callbacks)
                .containsExactly(
                        "a started 0",
                        "a at 33% 2000",
                        "a at 50% 4000",
                        "a at 67% 6000",
                        "a at 83% 8000",
                        "a done 10000");
    }

    @Test
    void aHungNodeAcceptsJobsAndAnswersLater() {
        WorkerModel node = node(1, 1, 10, false);
        node.offer(job("a", 1, SECOND));
        timeline.advance(500 * MILLISECOND);
        node.setHung(true);
        node.offer(job("b", 1, SECOND));
        timeline.advance(10 * SECOND);
        assertThat(callbacks).containsExactly("a started 0");
        node.setHung(false);
        timeline.advance(5 * SECOND);
        assertThat(callbacks).containsExactly("a started 0", "a done 11000", "b started 11000", "b done 12000");
    }

    @Test
    void returnsJobsWhenTheQueueIsFullOrWhileDraining() {
        WorkerModel node = node(1, 1, 2, false);
        for (String name : List.of("a", "b", "c", "d")) {
            node.offer(job(name, 1, SECOND));
        }
        assertThat(callbacks).containsExactly("a started 0", "d returned 0");
        node.setDraining(true);
        node.offer(job("e", 1, SECOND));
        timeline.advance(5 * SECOND);
        assertThat(callbacks.subList(2, callbacks.size()))
                .containsExactly("b returned 0", "c returned 0", "e returned 0", "a done 1000");
    }

    @Test
    void warmsUpLinearly() {
        WorkerModel node = node(1, 1, 10, false);
        node.crash();
        node.restart();
        node.offer(job("a", 1, SECOND));
        timeline.advance(30 * SECOND);
        // 0.2 t + 0.8 t^2 / 40 s = 1 s of work: t = 3.66 s
        assertThat(callbacks).containsExactly("a started 0", "a at 48% 2000", "a done 3660");
        node.offer(job("b", 1, SECOND));
        timeline.advance(SECOND);
        assertThat(callbacks).last().isEqualTo("b done 31000");
    }

    /**
     * 0.2 of ten cores are two: a single job has one to itself; eight jobs share 2.2 and more (0.275 t + 0.025 t^2 =
     * 0.5 s).
     */
    @Test
    void aColdNodeHasFewerCoresNotSlowerOnes() {
        WorkerModel node = node(10, 1, 100, false);
        node.crash();
        node.restart();
        node.offer(job("alone", 1, 500 * MILLISECOND));
        timeline.advance(500 * MILLISECOND);
        assertThat(callbacks).last().isEqualTo("alone done 500");
        for (int k = 0; k < 8; k++) {
            node.offer(job("j" + k, 1, 500 * MILLISECOND));
        }
        timeline.advance(2 * SECOND);
        assertThat(callbacks).filteredOn(c -> c.endsWith("done 2088")).hasSize(8);
    }

    @Test
    void failsWhenOverloadedWhileCold() {
        WorkerModel node = node(4, 1, 100, false);
        node.crash();
        node.restart();
        // 3 times 0.2 of 4 cores for 2 s is 9.6 mean jobs of 0.5 s; with the allowance 3 sqrt(9.6) + 3, 21.9 jobs.
        for (int k = 0; k < 21; k++) {
            node.offer(job("j" + k, 1, 500 * MILLISECOND));
        }
        assertThat(node.hasFailedFromOverload()).isFalse();
        assertThat(node.coldBudgetUsed()).isBetween(0.9, 1.0);
        node.offer(job("last", 1, 500 * MILLISECOND));
        assertThat(node.hasFailedFromOverload()).isTrue();
        assertThat(node.isUp()).isFalse();
        node.restart();
        assertThat(node.isUp()).isFalse();
        assertThat(callbacks).filteredOn(c -> c.contains("lost")).hasSize(22);
    }

    @Test
    void aWarmNodeDoesNotFailFromOverload() {
        WorkerModel node = node(4, 1, 1000, false);
        for (int k = 0; k < 100; k++) {
            node.offer(job("j" + k, 1, 500 * MILLISECOND));
        }
        assertThat(node.hasFailedFromOverload()).isFalse();
        assertThat(node.jobCount()).isEqualTo(100);
        assertThat(node.freeSlots()).isZero();
    }
}
