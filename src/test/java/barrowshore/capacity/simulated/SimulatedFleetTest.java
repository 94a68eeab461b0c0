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

/**
 * Runs a few simulated schedulers and workers on loopback sockets and checks their counters: peer datagrams, lists,
 * reloads and served tasks. No timing is asserted.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SimulatedFleetTest {
    private static final int SCHEDULERS = 3, WORKERS = 24, STARTS = 150, REPLACED = 2;
    private static final double TASK_SECONDS = 0.2;
    /** Datagrams from one scheduler to another, before and after the sender is replaced. */
    private static final int DATAGRAMS_BEFORE_REPLACEMENT = 60, DATAGRAMS_AFTER_REPLACEMENT = 30;

    @TempDir
    Path folder;

    private static void await(BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            LockSupport.parkNanos(1_000_000);
        }
    }

    private static SimulatedScheduler.Counters counters(SimulatedFleet fleet, int scheduler) {
        return fleet.simulated(scheduler).counters();
    }

    private static IntStream others(int scheduler) {
        return IntStream.range(0, SCHEDULERS).filter(k -> k != scheduler);
    }

    private SimulatedFleet started(int starts) throws Exception {
        SimulatedFleetPlan plan = new SimulatedFleetPlan(WORKERS, SCHEDULERS, 0, starts, 2);
        SimulatedFleet fleet = new SimulatedFleet(plan, folder, null, 1, TASK_SECONDS);
        fleet.start();
        fleet.startLoad();
        return fleet;
    }

    @Test
    void schedulersReceivePeerDatagramsAndServeTasks() throws Exception {
        try (SimulatedFleet fleet = started(STARTS)) {
            for (int k = 0; k < SCHEDULERS; k++) {
                int me = k;
                assertThat(counters(fleet, me).listed()).isEqualTo(WORKERS);
                assertThat(counters(fleet, me).fullLists()).isPositive();
                others(me)
                        .forEach(from -> await(
                                () -> counters(fleet, me).datagramsAccepted().get(from) > 0));
                await(() -> counters(fleet, me).served() > 0);
                PeerNetwork.Traffic traffic = fleet.totals(me).peers();
                assertThat(traffic.sentBytes()).isGreaterThan(traffic.sent() * PeerNetwork.HEADER_BYTES);
                assertThat(traffic.deliveredBytes()).isGreaterThan(traffic.delivered() * PeerNetwork.HEADER_BYTES);
                assertThat(fleet.totals(me).discovery().calls()).isPositive();
            }
        }
    }

    @Test
    void peersAcceptDatagramsOfReplacedScheduler() throws Exception {
        try (SimulatedFleet fleet = started(STARTS)) {
            others(REPLACED)
                    .forEach(k -> await(
                            () -> counters(fleet, k).datagramsAccepted().get(REPLACED) > DATAGRAMS_BEFORE_REPLACEMENT));
            fleet.replaceSimulated(REPLACED);
            for (int k : others(REPLACED).toArray()) {
                SimulatedScheduler.Counters replaced = counters(fleet, k);
                long heard = replaced.datagramsReceived().get(REPLACED);
                long entered = replaced.datagramsAccepted().get(REPLACED);
                await(() -> counters(fleet, k).datagramsReceived().get(REPLACED) > heard + DATAGRAMS_AFTER_REPLACEMENT);
                assertThat(counters(fleet, k).datagramsAccepted().get(REPLACED) - entered)
                        .isGreaterThan(DATAGRAMS_AFTER_REPLACEMENT / 2);
                await(() -> counters(fleet, REPLACED).datagramsAccepted().get(k) > 0);
            }
            assertThat(counters(fleet, REPLACED).listed()).isEqualTo(WORKERS);
        }
    }

    @Test
    void schedulersReceiveListAndConfigurationChanges() throws Exception {
        try (SimulatedFleet fleet = started(0)) {
            int replaced = 2;
            fleet.replaceWorkers(replaced);
            fleet.reload();
            for (int k = 0; k < SCHEDULERS; k++) {
                int me = k;
                // A change before the watch is open arrives in a full list, a later one in an incremental list.
                await(() -> counters(fleet, me).restarted() == replaced);
                await(() -> counters(fleet, me).reloads() == 1);
                assertThat(counters(fleet, me).listed()).isEqualTo(WORKERS);
            }
        }
    }
}
