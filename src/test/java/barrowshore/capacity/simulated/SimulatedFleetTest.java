package barrowshore.capacity.simulated;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.fleet.PeerNetwork;
import java.nio.file.Path;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A few hollow schedulers and workers on loopback sockets: who hears of whom, by counts. No time is asserted. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SimulatedFleetTest {
    private static final int SCHEDULERS = 3, WORKERS = 24, STARTS = 150, REPLACED = 2;
    private static final double TASK_SECONDS = 0.2;
    /** Datagrams of one scheduler to another before and after it is replaced. */
    private static final int BEFORE = 60, AFTER = 30;

    @TempDir
    Path folder;

    private static void await(BooleanSupplier holds) {
        while (!holds.getAsBoolean()) {
            LockSupport.parkNanos(1_000_000);
        }
    }

    private static SimulatedScheduler.Count count(SimulatedFleet fleet, int scheduler) {
        return fleet.hollow(scheduler).count();
    }

    private static IntStream others(int scheduler) {
        return IntStream.range(0, SCHEDULERS).filter(k -> k != scheduler);
    }

    private SimulatedFleet started(int starts) throws Exception {
        SimulatedFleetPlan plan = new SimulatedFleetPlan(WORKERS, SCHEDULERS, 0, starts, 2);
        SimulatedFleet fleet = new SimulatedFleet(plan, folder, null, 1, TASK_SECONDS);
        fleet.start();
        fleet.load();
        return fleet;
    }

    @Test
    void eachHearsOfEachAndTasksAreServed() throws Exception {
        try (SimulatedFleet fleet = started(STARTS)) {
            for (int k = 0; k < SCHEDULERS; k++) {
                int me = k;
                assertThat(count(fleet, me).listed()).isEqualTo(WORKERS);
                assertThat(count(fleet, me).wholeLists()).isPositive();
                others(me)
                        .forEach(from -> await(() -> count(fleet, me).entered().get(from) > 0));
                await(() -> count(fleet, me).served() > 0);
                PeerNetwork.Traffic traffic = fleet.sums(me).peers();
                assertThat(traffic.sentBytes()).isGreaterThan(traffic.sent() * PeerNetwork.HEADER_BYTES);
                assertThat(traffic.deliveredBytes()).isGreaterThan(traffic.delivered() * PeerNetwork.HEADER_BYTES);
                assertThat(fleet.sums(me).discovery().calls()).isPositive();
            }
        }
    }

    @Test
    void aReplacedSchedulerIsHeardAgainUnderItsName() throws Exception {
        try (SimulatedFleet fleet = started(STARTS)) {
            others(REPLACED).forEach(k -> await(() -> count(fleet, k).entered().get(REPLACED) > BEFORE));
            fleet.replaceHollow(REPLACED);
            for (int k : others(REPLACED).toArray()) {
                SimulatedScheduler.Count replaced = count(fleet, k);
                long heard = replaced.heard().get(REPLACED);
                long entered = replaced.entered().get(REPLACED);
                await(() -> count(fleet, k).heard().get(REPLACED) > heard + AFTER);
                assertThat(count(fleet, k).entered().get(REPLACED) - entered).isGreaterThan(AFTER / 2);
                await(() -> count(fleet, REPLACED).entered().get(k) > 0);
            }
            assertThat(count(fleet, REPLACED).listed()).isEqualTo(WORKERS);
        }
    }

    @Test
    void changesOfTheListAndOfTheConfigurationArrive() throws Exception {
        try (SimulatedFleet fleet = started(0)) {
            int replaced = 2;
            fleet.replaceWorkers(replaced);
            fleet.reload();
            for (int k = 0; k < SCHEDULERS; k++) {
                int me = k;
                // What changes between the first list and its watch comes whole, what changes later as a change.
                await(() -> count(fleet, me).fresh() == replaced);
                await(() -> count(fleet, me).reloads() == 1);
                assertThat(count(fleet, me).listed()).isEqualTo(WORKERS);
            }
        }
    }
}
