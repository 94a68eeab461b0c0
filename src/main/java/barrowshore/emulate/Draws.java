package barrowshore.emulate;

import barrowshore.emulate.Deployment.ClassOf;
import barrowshore.model.WorkerModel;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The random sources of one run: what clients ask for on the day, what befalls machines, and all the rest (delays, losses,
 * noise), each from its own source, so that the same seed gives the same day and the same faults whatever modules do.
 * Each draw advances its source: the order of calls is part of a run.
 */
final class Draws {
    /** What clients ask for, and when. */
    final UniformRandomProvider day;
    /** What machines are, and what befalls them. */
    final UniformRandomProvider fate;
    /** Everything else. */
    final UniformRandomProvider random;

    private final Deployment deployment;
    private final SharedStateContinuousSampler exponential;
    private final SharedStateContinuousSampler normal;
    private final SharedStateContinuousSampler[] works;

    Draws(Deployment deployment, long seed) {
        this.deployment = deployment;
        random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        day = RandomSource.XO_SHI_RO_256_PP.create(seed * 31 + 1);
        fate = RandomSource.XO_SHI_RO_256_PP.create(seed * 31 + 2);
        exponential = ZigguratSampler.Exponential.of(day);
        normal = ZigguratSampler.NormalizedGaussian.of(random);
        List<ClassOf> classes = deployment.classes();
        works = new SharedStateContinuousSampler[classes.size()];
        for (int c = 0; c < works.length; c++) {
            ClassOf k = classes.get(c);
            double sigma = Math.sqrt(Math.log(1 + k.spread() * k.spread()));
            works[c] = LogNormalSampler.of(
                    ZigguratSampler.NormalizedGaussian.of(day), Math.log(k.work()) - sigma * sigma / 2, sigma);
        }
    }

    /** Time between two arrivals, against the mean. */
    double interval() {
        return exponential.sample();
    }

    /** The work of a job of that class, in microseconds at speed 1. */
    double work(int jobClass) {
        return works[jobClass].sample();
    }

    /** A standard normal variate. */
    double normal() {
        return normal.sample();
    }

    /** Uniform between the two, from what befalls machines. */
    double fated(double from, double to) {
        return from + (to - from) * fate.nextDouble();
    }

    private double uniform(double from, double to) {
        return from + (to - from) * random.nextDouble();
    }

    /** A time in microseconds, uniform between two in milliseconds. */
    long between(double fromMillis, double toMillis) {
        return (long) (uniform(fromMillis, toMillis) * World.MS);
    }

    /** One way between two zones, in microseconds. */
    long way(int from, int to) {
        long[] range = from == to ? deployment.net().same() : deployment.net().cross();
        return (long) (1 + uniform(range[0], range[1]));
    }

    /** The index of a kind of machine, by the kinds' shares. */
    int kind() {
        double pick = fate.nextDouble();
        int kind = 0;
        while (kind < deployment.machines().size() - 1
                && (pick -= deployment.machines().get(kind).share()) > 0) {
            kind++;
        }
        return kind;
    }

    /** A machine of a kind; cores: where the kind does not say how many it has. */
    WorkerModel.Spec spec(Deployment.Machine m, int usualCores) {
        int cores = m.cores() == 0 ? usualCores : m.cores();
        double least = deployment.rules().startCapacity();
        return new WorkerModel.Spec(
                cores,
                fated(m.speedFrom(), m.speedTo()),
                cores * fated(m.queueFrom(), m.queueTo()),
                fate.nextBoolean(),
                fated(least, least * 2),
                (long) (deployment.rules().cold() * fated(0.5, 1)));
    }
}
