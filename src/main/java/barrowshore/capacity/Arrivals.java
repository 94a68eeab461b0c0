package barrowshore.capacity;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.NormalizedGaussianSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/** What clients ask for, by chance of its own: whatever the schedulers do, one seed gives the same requests. */
final class Arrivals {
    private static final double MICROS_PER_SECOND = 1e6;
    /** The spread of a task's work: its standard deviation over its mean. */
    private static final double WORK_COEFFICIENT_OF_VARIATION = 0.5;

    /** The error of the guess at a task's work that comes with it. */
    private static final double WORK_ESTIMATE_LOG_SIGMA = 0.1;

    /** One request: which scheduler it comes to, for whom, how long it would run, and how long its client thinks. */
    record Arrival(int scheduler, TaskKind kind, int tenant, long work, long estimatedWork) {
        Arrival withoutEstimate() {
            return new Arrival(scheduler, kind, tenant, work, 0);
        }
    }

    private final FleetSize size;
    private final UniformRandomProvider random;
    private final SharedStateContinuousSampler exponential;
    /** A task's work over its class's mean: of one that begins, and of one that is found running, a long one more often. */
    private final SharedStateContinuousSampler newTaskWork;

    private final SharedStateContinuousSampler runningTaskWork;
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

    /** Microseconds until the next request at so many a second. */
    long microsUntilNext(double perSecond) {
        return (long) Math.max(1, exponential.sample() * MICROS_PER_SECOND / perSecond);
    }

    /** A request that begins. */
    Arrival next() {
        boolean urgent = random.nextDouble() < TaskKind.URGENT.share;
        return arrival(urgent ? TaskKind.URGENT : TaskKind.ORDINARY, newTaskWork.sample());
    }

    /** A request that has run for a while, with what is left of it; the urgent ones are soon over and left out. */
    Arrival nextRunning() {
        return arrival(TaskKind.ORDINARY, runningTaskWork.sample() * random.nextDouble());
    }

    private Arrival arrival(TaskKind kind, double workOverMean) {
        double work = workOverMean * kind.work;
        return new Arrival(
                scheduler(), kind, random.nextInt(size.tenants()), (long) work, (long) (work * estimateError.sample()));
    }

    /** Clients are as many in each zone, and each goes to a scheduler of its own; schedulers stand in zones by turns. */
    private int scheduler() {
        int zones = Math.min(CapacityTarget.TARGET.zones(), size.schedulers());
        int zone = random.nextInt(zones);
        int inZone = (size.schedulers() - zone + zones - 1) / zones;
        return zone + zones * random.nextInt(inZone);
    }
}
