package barrowshore.capacity;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.NormalizedGaussianSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/** What clients ask for, by chance of its own: whatever the schedulers do, one seed gives the same requests. */
final class Arrivals {
    private static final double MICROS = 1e6;
    /** The spread of a task's work: its standard deviation over its mean. */
    private static final double WORK_SPREAD = 0.5;

    /** The error of the guess at a task's work that comes with it. */
    private static final double GUESS_SPREAD = 0.1;

    /** One request: which scheduler it comes to, for whom, how long it would run, and how long its client thinks. */
    record Arrival(int scheduler, TaskKind kind, int tenant, long work, long guess) {
        Arrival withoutGuess() {
            return new Arrival(scheduler, kind, tenant, work, 0);
        }
    }

    private final FleetSize size;
    private final UniformRandomProvider random;
    private final SharedStateContinuousSampler pause;
    /** A task's work over its class's mean: of one that begins, and of one that is found running, a long one more often. */
    private final SharedStateContinuousSampler beginning;

    private final SharedStateContinuousSampler running;
    private final SharedStateContinuousSampler guess;

    Arrivals(FleetSize size, long seed) {
        this.size = size;
        random = RandomSource.XO_SHI_RO_256_PP.create(seed * 31 + 1);
        pause = ZigguratSampler.Exponential.of(random);
        double variance = Math.log(1 + WORK_SPREAD * WORK_SPREAD);
        NormalizedGaussianSampler normal = ZigguratSampler.NormalizedGaussian.of(random);
        beginning = LogNormalSampler.of(normal, -variance / 2, Math.sqrt(variance));
        guess = LogNormalSampler.of(normal, 0, GUESS_SPREAD);
        running = LogNormalSampler.of(normal, variance / 2, Math.sqrt(variance));
    }

    /** Microseconds until the next request at so many a second. */
    long pause(double perSecond) {
        return (long) Math.max(1, pause.sample() * MICROS / perSecond);
    }

    /** A request that begins. */
    Arrival next() {
        boolean urgent = random.nextDouble() < TaskKind.URGENT.share;
        return arrival(urgent ? TaskKind.URGENT : TaskKind.ORDINARY, beginning.sample());
    }

    /** A request that has run for a while, with what is left of it; the urgent ones are soon over and left out. */
    Arrival underWay() {
        return arrival(TaskKind.ORDINARY, running.sample() * random.nextDouble());
    }

    private Arrival arrival(TaskKind kind, double part) {
        double work = part * kind.work;
        return new Arrival(
                scheduler(), kind, random.nextInt(size.tenants()), (long) work, (long) (work * guess.sample()));
    }

    /** Clients are as many in each zone, and each goes to a scheduler of its own; schedulers stand in zones by turns. */
    private int scheduler() {
        int zones = Math.min(CapacityTarget.TARGET.zones(), size.schedulers());
        int zone = random.nextInt(zones);
        int inZone = (size.schedulers() - zone + zones - 1) / zones;
        return zone + zones * random.nextInt(inZone);
    }
}
