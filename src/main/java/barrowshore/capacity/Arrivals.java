package barrowshore.capacity;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.NormalizedGaussianSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Generates the clients' requests from its own random source, so that one seed gives the same requests whatever the
 * schedulers do.
 */
final class Arrivals {
    private static final double MICROS_PER_SECOND = 1e6;
    /** Standard deviation of a task's work, over its mean. */
    private static final double WORK_COEFFICIENT_OF_VARIATION = 0.5;

    /** Standard deviation of the logarithm of a work estimate over the actual work. */
    private static final double WORK_ESTIMATE_LOG_SIGMA = 0.1;

    /**
     * One request: the receiving scheduler, the task's kind and tenant, and its work, actual and estimated (0: none), in
     * microseconds.
     */
    record Arrival(int scheduler, TaskKind kind, int tenant, long work, long estimatedWork) {
        Arrival withoutEstimate() {
            return new Arrival(scheduler, kind, tenant, work, 0);
        }
    }

    private final FleetSize size;
    private final UniformRandomProvider random;
    private final SharedStateContinuousSampler exponential;
    /** Total work of a new task, over its class's mean. */
    private final SharedStateContinuousSampler newTaskWork;

    /** Total work of a task found running, over its class's mean; long tasks are found more often than they start. */
    private final SharedStateContinuousSampler runningTaskWork;

    /** Estimated over actual work of a task. */
    private final SharedStateContinuousSampler estimateError;

    Arrivals(FleetSize size, long seed) {
        this.size = size;
        random = RandomSource.XO_SHI_RO_256_PP.create(seed * 31 + 1);
        exponential = ZigguratSampler.Exponential.of(random);
        double variance = Math.log(1 + WORK_COEFFICIENT_OF_VARIATION * WORK_COEFFICIENT_OF_VARIATION);
        NormalizedGaussianSampler normal = ZigguratSampler.NormalizedGaussian.of(random);
        newTaskWork = LogNormalSampler.of(normal, -variance / 2, Math.sqrt(variance));
        estimateError = LogNormalSampler.of(normal, 0, WORK_ESTIMATE_LOG_SIGMA);
        runningTaskWork = LogNormalSampler.of(normal, variance / 2, Math.sqrt(variance));
    }

    /** Returns a random time in microseconds until the next request, at this mean rate. */
    long microsUntilNext(double perSecond) {
        return (long) Math.max(1, exponential.sample() * MICROS_PER_SECOND / perSecond);
    }

    /** Returns a request whose task starts from the beginning. */
    Arrival next() {
        boolean urgent = random.nextDouble() < TaskKind.URGENT.share;
        return arrival(urgent ? TaskKind.URGENT : TaskKind.ORDINARY, newTaskWork.sample());
    }

    /**
     * Returns a request whose task has already run for a while, with its remaining work. Urgent tasks are omitted, as
     * they end soon.
     */
    Arrival nextRunning() {
        return arrival(TaskKind.ORDINARY, runningTaskWork.sample() * random.nextDouble());
    }

    private Arrival arrival(TaskKind kind, double workOverMean) {
        double work = workOverMean * kind.work;
        return new Arrival(
                scheduler(), kind, random.nextInt(size.tenants()), (long) work, (long) (work * estimateError.sample()));
    }

    /**
     * Picks a scheduler: each zone has equally many clients, which use the schedulers of their own zone. Schedulers are
     * assigned to zones round-robin.
     */
    private int scheduler() {
        int zones = Math.min(CapacityTarget.TARGET.zones(), size.schedulers());
        int zone = random.nextInt(zones);
        int inZone = (size.schedulers() - zone + zones - 1) / zones;
        return zone + zones * random.nextInt(inZone);
    }
}
