package barrowshore.emulate;

import barrowshore.emulate.Deployment.ClassSpec;
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
final class RandomSources {
    /** What clients ask for, and when. */
    final UniformRandomProvider clients;
    /** What machines are, and what befalls them. */
    final UniformRandomProvider faults;
    /** Everything else. */
    final UniformRandomProvider other;

    private final Deployment deployment;
    private final SharedStateContinuousSampler exponential;
    private final SharedStateContinuousSampler normal;
    private final SharedStateContinuousSampler[] workByClass;

    RandomSources(Deployment deployment, long seed) {
        this.deployment = deployment;
        other = RandomSource.XO_SHI_RO_256_PP.create(seed);
        clients = RandomSource.XO_SHI_RO_256_PP.create(seed * 31 + 1);
        faults = RandomSource.XO_SHI_RO_256_PP.create(seed * 31 + 2);
        exponential = ZigguratSampler.Exponential.of(clients);
        normal = ZigguratSampler.NormalizedGaussian.of(other);
        List<ClassSpec> classes = deployment.classes();
        workByClass = new SharedStateContinuousSampler[classes.size()];
        for (int c = 0; c < workByClass.length; c++) {
            ClassSpec k = classes.get(c);
            double sigma = Math.sqrt(Math.log(1 + k.workVariation() * k.workVariation()));
            workByClass[c] = LogNormalSampler.of(
                    ZigguratSampler.NormalizedGaussian.of(clients), Math.log(k.meanWork()) - sigma * sigma / 2, sigma);
        }
    }

    /** Time between two arrivals, against the mean. */
    double interarrival() {
        return exponential.sample();
    }

    /** The work of a job of that class, in microseconds at speed 1. */
    double work(int jobClass) {
        return workByClass[jobClass].sample();
    }

    /** A standard normal variate. */
    double normal() {
        return normal.sample();
    }

    /** Uniform between the two, from what befalls machines. */
    double faultUniform(double from, double to) {
        return from + (to - from) * faults.nextDouble();
    }

    private double uniform(double from, double to) {
        return from + (to - from) * other.nextDouble();
    }

    /** A time in microseconds, uniform between two in milliseconds. */
    long delayMicros(double fromMillis, double toMillis) {
        return (long) (uniform(fromMillis, toMillis) * Emulation.MILLISECOND);
    }

    /** One way between two zones, in microseconds. */
    long oneWayMicros(int from, int to) {
        long[] range = from == to
                ? deployment.latency().withinZoneMicros()
                : deployment.latency().betweenZonesMicros();
        return (long) (1 + uniform(range[0], range[1]));
    }

    /** The index of a kind of machine, by the kinds' shares. */
    int machineKind() {
        double pick = faults.nextDouble();
        int kind = 0;
        while (kind < deployment.machines().size() - 1
                && (pick -= deployment.machines().get(kind).share()) > 0) {
            kind++;
        }
        return kind;
    }

    /** A machine of a kind; cores: where the kind does not say how many it has. */
    WorkerModel.Spec machineSpec(Deployment.MachineKind kind, int usualCores) {
        int cores = kind.cores() == 0 ? usualCores : kind.cores();
        double minStartCapacity = deployment.coldStart().startCapacity();
        return new WorkerModel.Spec(
                cores,
                faultUniform(kind.speedFrom(), kind.speedTo()),
                cores * faultUniform(kind.queuePerCoreFrom(), kind.queuePerCoreTo()),
                faults.nextBoolean(),
                faultUniform(minStartCapacity, minStartCapacity * 2),
                (long) (deployment.coldStart().warmUpMicros() * faultUniform(0.5, 1)));
    }
}
