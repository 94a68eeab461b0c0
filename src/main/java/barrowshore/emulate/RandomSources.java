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
 * The random sources of one run: one each for clients' jobs, for nodes and their faults, and for all else (delays, losses,
 * noise), so that a seed gives the same jobs and faults whatever the modules do. Each draw advances its source: changing
 * the order of calls changes the run.
 */
final class RandomSources {
    /** Clients' jobs and their arrival times. */
    final UniformRandomProvider clients;
    /** Properties of nodes and their faults. */
    final UniformRandomProvider faults;
    /** Everything else: delays, losses, noise, choices of schedulers. */
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
            ClassSpec jobClass = classes.get(c);
            double sigma = Math.sqrt(Math.log(1 + jobClass.workVariation() * jobClass.workVariation()));
            workByClass[c] = LogNormalSampler.of(
                    ZigguratSampler.NormalizedGaussian.of(clients),
                    Math.log(jobClass.meanWork()) - sigma * sigma / 2,
                    sigma);
        }
    }

    /** Time between two arrivals, relative to its mean. */
    double interarrival() {
        return exponential.sample();
    }

    /** Work of a job of that class (an index), in microseconds at speed 1. */
    double work(int jobClass) {
        return workByClass[jobClass].sample();
    }

    /** A standard normal variate. */
    double normal() {
        return normal.sample();
    }

    /** Uniform variate from the source of faults. */
    double faultUniform(double from, double to) {
        return from + (to - from) * faults.nextDouble();
    }

    private double uniform(double from, double to) {
        return from + (to - from) * other.nextDouble();
    }

    /** Uniform delay in microseconds, with the bounds given in milliseconds. */
    long delayMicros(double fromMillis, double toMillis) {
        return (long) (uniform(fromMillis, toMillis) * Emulation.MILLISECOND);
    }

    /** One-way network latency between two zones. */
    long oneWayMicros(int from, int to) {
        long[] range = from == to
                ? deployment.latency().withinZoneMicros()
                : deployment.latency().betweenZonesMicros();
        return (long) (1 + uniform(range[0], range[1]));
    }

    /** Index of a machine kind, drawn by the kinds' shares. */
    int machineKind() {
        double pick = faults.nextDouble();
        int kind = 0;
        while (kind < deployment.machines().size() - 1
                && (pick -= deployment.machines().get(kind).share()) > 0) {
            kind++;
        }
        return kind;
    }

    /** Draws a machine of a kind; usualCores: its cores if the kind does not set them. */
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
