package barrowshore.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks a scheduler's control cost at sizes up to the target, in counts that are the same on every machine: entries
 * visited, datagrams, bytes and entries held. Updates that process only changes stay within the bounds; updates that
 * iterate over the whole server list exceed them.
 */
class CapacityCountsTest {
    private static final List<Integer> WORKERS = List.of(96, 385, 770);
    private static final List<Integer> SCHEDULERS = List.of(5, 10, 20);
    private static final FleetSize TARGET = FleetSize.target();
    private static final int SECONDS = 3;
    private static final long SEED = 1;
    /** One task per 100 s: nearly always none is running. */
    private static final double IDLE_STARTS_PER_SECOND = 0.01;

    /** Entries that a refresh may visit without any change: sums by kind and zone, and entries that are due. */
    private static final double VISITS_OF_IDLE_REFRESH = 8;
    /** Entries that a refresh may visit per start or end of a task in the fleet since the previous refresh. */
    private static final double VISITS_PER_CHANGE = 4;
    /** Entries that a datagram may visit in addition to one per payload byte. */
    private static final double VISITS_OF_EMPTY_DATAGRAM = 4;
    /** Datagrams that a scheduler may send a second: changes are batched, whatever the load. */
    private static final double DATAGRAMS_PER_SECOND = 10;
    /** Entries held for a worker, for a task of any scheduler, for one of its own, and for a scheduler or tenant. */
    private static final double HELD_PER_WORKER = 6, HELD_PER_TASK = 1, HELD_PER_OWN_TASK = 4, HELD_PER_MEMBER = 32;
    /** Maximum ratio of the cost with 770 workers to that with 96. */
    private static final double GROWTH_OF_COST = 2;

    private static final Map<FleetSize, FleetCost> RESULTS = new ConcurrentHashMap<>();

    static Stream<Arguments> sizes() {
        return WORKERS.stream().flatMap(w -> SCHEDULERS.stream().map(s -> Arguments.of(w, s)));
    }

    /** Simulates each size once for all tests. */
    private static FleetCost simulate(FleetSize size) {
        return RESULTS.computeIfAbsent(
                size, s -> new FleetSimulation(s, SimulationOptions.countsOnly(SECONDS, SEED)).run());
    }

    private static FleetCost busy(int workers, int schedulers) {
        return simulate(TARGET.withWorkers(workers).withSchedulers(schedulers));
    }

    private static FleetCost idle(int workers, int schedulers) {
        return simulate(TARGET.withWorkers(workers)
                .withSchedulers(schedulers)
                .withStartsPerSecond(IDLE_STARTS_PER_SECOND)
                .withListChangesPerSecond(0)
                .withSettingsChangesPerSecond(0));
    }

    @ParameterizedTest(name = "{0} workers, {1} schedulers")
    @MethodSource("sizes")
    void refreshOfAnIdleFleetVisitsFewEntries(int workers, int schedulers) {
        assertThat(idle(workers, schedulers).get(Metric.REFRESHES)).isPositive();
        assertThat(idle(workers, schedulers).get(Metric.REFRESH_VISITS)).isLessThanOrEqualTo(VISITS_OF_IDLE_REFRESH);
    }

    @ParameterizedTest(name = "{0} workers, {1} schedulers")
    @MethodSource("sizes")
    void refreshVisitsAreBoundedByChangesNotByTheListsLength(int workers, int schedulers) {
        FleetCost cost = busy(workers, schedulers);
        double changes = 2 * TARGET.startsPerSecond() / cost.get(Metric.REFRESHES);
        assertThat(cost.get(Metric.REFRESH_VISITS))
                .isPositive()
                .isLessThanOrEqualTo(VISITS_OF_IDLE_REFRESH + VISITS_PER_CHANGE * changes);
    }

    @ParameterizedTest(name = "{0} workers, {1} schedulers")
    @MethodSource("sizes")
    void datagramVisitsAreBoundedByItsPayload(int workers, int schedulers) {
        FleetCost cost = busy(workers, schedulers);
        double payload = cost.get(Metric.BYTES_IN) / cost.get(Metric.DATAGRAMS_IN) - DatagramCount.HEADER_BYTES;
        assertThat(cost.get(Metric.DATAGRAM_VISITS)).isLessThanOrEqualTo(VISITS_OF_EMPTY_DATAGRAM + payload);
    }

    @ParameterizedTest(name = "{0} workers, {1} schedulers")
    @MethodSource("sizes")
    void pickVisitsAtMostAsManyEntriesAsWorkers(int workers, int schedulers) {
        assertThat(busy(workers, schedulers).get(Metric.PICK_VISITS))
                .isPositive()
                .isLessThanOrEqualTo(workers);
    }

    @ParameterizedTest(name = "{0} workers, {1} schedulers")
    @MethodSource("sizes")
    void changesAreBatchedIntoFewDatagrams(int workers, int schedulers) {
        assertThat(busy(workers, schedulers).get(Metric.DATAGRAMS_OUT))
                .isPositive()
                .isLessThanOrEqualTo(DATAGRAMS_PER_SECOND);
    }

    @ParameterizedTest(name = "{0} workers, {1} schedulers")
    @MethodSource("sizes")
    void controlBytesAreWithinTheLimitForAnyNumberOfSchedulers(int workers, int schedulers) {
        assertThat(busy(workers, schedulers).get(Metric.CONTROL_BYTES))
                .isPositive()
                .isLessThan(CapacityTarget.TARGET.controlBytesPerSecond());
    }

    @ParameterizedTest(name = "{0} workers, {1} schedulers")
    @MethodSource("sizes")
    void entriesHeldGrowWithWorkersAndTasksAndNotWithTheirProductWithSchedulers(int workers, int schedulers) {
        double tasks = TARGET.runningTasks();
        double most = HELD_PER_WORKER * workers
                + HELD_PER_TASK * tasks
                + HELD_PER_OWN_TASK * tasks / schedulers
                + HELD_PER_MEMBER * (schedulers + TARGET.tenants());
        assertThat(busy(workers, schedulers).get(Metric.ENTRIES_HELD))
                .isPositive()
                .isLessThanOrEqualTo(most);
    }

    @Test
    void theTargetCostsAtMostTwiceWhatNinetySixWorkersCost() {
        for (int schedulers : SCHEDULERS) {
            FleetCost small = busy(WORKERS.get(0), schedulers);
            FleetCost large = busy(TARGET.workers(), schedulers);
            for (Metric metric : List.of(Metric.UPKEEP_VISITS, Metric.CONTROL_BYTES, Metric.DATAGRAMS_IN)) {
                assertThat(large.get(metric))
                        .as(metric.label + ", " + schedulers + " schedulers")
                        .isLessThanOrEqualTo(GROWTH_OF_COST * small.get(metric));
            }
        }
    }
}
