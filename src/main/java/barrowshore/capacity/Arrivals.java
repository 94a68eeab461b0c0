package barrowshore.capacity;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.NormalizedGaussianSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/** What clients ask for, from a source of chance of its own: whatever the schedulers do, one seed gives the same requests. */
final class Arrivals {
    private static final double MICROS = 1e6;
    /** The spread of a task's work: its standard deviation over its mean. */
    private static final double WORK_SPREAD = 0.5;

    /** One request: which scheduler it comes to, for whom, and how long it would run. */
    record Arrival(int scheduler, TaskKind kind, int tenant, long work) {}

    private final FleetSize size;
    private final UniformRandomProvider random;
    private final SharedStateContinuousSampler pause;
    private final SharedStateContinuousSampler work;
    private final SharedStateContinuousSampler workOfRunning;

    Arrivals(FleetSize size, long seed) {
        this.size = size;
        random = RandomSource.XO_SHI_RO_256_PP.create(seed * 31 + 1);
        pause = ZigguratSampler.Exponential.of(random);
        double variance = Math.log(1 + WORK_SPREAD * WORK_SPREAD);
        double deviation = Math.sqrt(variance);
        double median = Math.log(CapacityTarget.TARGET.taskSeconds() * MICROS) - variance / 2;
        NormalizedGaussianSampler normal = ZigguratSampler.NormalizedGaussian.of(random);
        work = LogNormalSampler.of(normal, median, deviation);
        // A task that is found running is a long one more often than not.
        workOfRunning = LogNormalSampler.of(normal, median + variance, deviation);
    }

    /** Microseconds until the next request at so many a second. */
    long pause(double perSecond) {
        return (long) Math.max(1, pause.sample() * MICROS / perSecond);
    }

    /** A request that begins. */
    Arrival next() {
        return arrival(work.sample());
    }

    /** A request that has run for a while, with what is left of it. */
    Arrival underWay() {
        return arrival(workOfRunning.sample() * random.nextDouble());
    }

    private Arrival arrival(double micros) {
        int scheduler = random.nextInt(size.schedulers());
        TaskKind kind = random.nextDouble() < TaskKind.URGENT.share ? TaskKind.URGENT : TaskKind.ORDINARY;
        return new Arrival(scheduler, kind, random.nextInt(size.tenants()), (long) micros);
    }
}
