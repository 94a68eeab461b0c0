package barrowshore.module;

import barrowshore.module.DispatchApi.JobClass;
import barrowshore.module.DispatchApi.Settings;
import java.util.Arrays;

/** Averages over recent requests, each of a stated weight; it decides nothing. */
final class TrafficStats {
    private final Settings settings;
    /** Work at speed 1 by class. Until jobs are served: the aim, what the site holds for a usual job. */
    double[] meanWorkOfClass;

    private HintModel[] hintModels = new HintModel[0];
    private double trustedHintShare;
    /** hinted: most jobs come with a guess at their work that is worth something. */
    boolean mostlyHinted;
    /** Work at speed 1, work times slots and its square, worth for each unit of work, aim, 1/(1+stretch). */
    double meanWork,
            meanSlotWork,
            meanSquaredSlotWork,
            meanWorthPerWork,
            meanTarget,
            meanInverseStretch = 1,
            requestCount;

    int highestPriority;

    TrafficStats(Settings settings) {
        this.settings = settings;
        meanWorkOfClass = new double[settings.classes.length];
        for (int c = 0; c < meanWorkOfClass.length; c++) {
            JobClass jobClass = settings.classes[c];
            meanWorkOfClass[c] = Math.max(settings.tickMicros, jobClass.targetMicros());
            meanWork += meanWorkOfClass[c] / meanWorkOfClass.length;
            meanTarget += jobClass.targetMicros() * (1 + jobClass.targetStretch()) / meanWorkOfClass.length;
            meanWorthPerWork += worthPerWork(c, 1) / meanWorkOfClass.length;
        }
        meanSlotWork = meanWork;
        meanSquaredSlotWork = meanWork * meanWork;
    }

    /** Enters a request: its expected work and worth are set, and averaged in. */
    void recordRequest(Job job, double weight) {
        boolean hasHint = job.workHintMicros > 0;
        job.expectedWork =
                hasHint ? hintModels[job.classIndex].expectedWork(job.workHintMicros) : meanWorkOfClass[job.classIndex];
        job.worthPerWork = worthPerWork(job.classIndex, job.slots);
        requestCount++;
        trustedHintShare += Math.max(weight, 1 / requestCount)
                * ((hasHint && hintModels[job.classIndex].isTrusted() ? 1 : 0) - trustedHintShare);
        mostlyHinted = trustedHintShare > 0.5;
        double slotWork = job.expectedWork * job.slots, stretch = job.jobClass.targetStretch();
        meanWork += weight * (job.expectedWork - meanWork);
        meanSlotWork += weight * (slotWork - meanSlotWork);
        meanSquaredSlotWork += weight * (slotWork * slotWork - meanSquaredSlotWork);
        meanInverseStretch += weight * (1 / (1 + stretch) - meanInverseStretch);
        meanTarget += weight * (job.jobClass.targetMicros() + stretch * meanWorkOfClass[job.classIndex] - meanTarget);
        meanWorthPerWork +=
                Math.max(weight, 1 / (5 + requestCount)) * job.slots * (job.worthPerWork - meanWorthPerWork);
    }

    /** A job turned out to be so much work at speed 1. */
    void recordRun(Job job, double weight, double work) {
        meanWorkOfClass[job.classIndex] += weight * (work - meanWorkOfClass[job.classIndex]);
        if (job.workHintMicros > 0) {
            hintModels[job.classIndex].recordRun(job.workHintMicros, work);
        }
    }

    private double worthPerWork(int classIndex, double slots) {
        return Math.max(1e-9, settings.classes[classIndex].worth())
                / slots
                / (settings.worthPerWork ? 1 : meanWorkOfClass[classIndex]);
    }

    /** What a job weighs in a budget: where its work is no more than a guess, no less than E[w^2]/E[w]. */
    double budgetSlotWork(Job job) {
        boolean hasProvenHint = job.workHintMicros > 0 && hintModels[job.classIndex].isProven();
        return Math.max(hasProvenHint ? 0 : sizeBiasedSlotWork(), job.expectedWork * job.slots);
    }

    /** What a job pays for each unit of work, against the usual job. */
    double relativeWorth(Job job) {
        return job.worthPerWork / meanWorthPerWork;
    }

    /** The size of a job that matters for chance: E[w^2]/E[w]. */
    double sizeBiasedSlotWork() {
        return meanSquaredSlotWork / meanSlotWork;
    }

    /**
     * The classes have been set. There may be more than before; those that were there keep what was learned. One that is
     * gone is there still, and nothing comes of it.
     */
    void applyClasses(MachineKind[] kinds) {
        for (JobClass jobClass : settings.classes) {
            highestPriority = Math.max(highestPriority, jobClass.priority());
            kinds[Math.max(0, jobClass.kind())].requiredBySomeClass |= jobClass.kind() >= 0;
        }
        int knownClasses = meanWorkOfClass.length;
        meanWorkOfClass = Arrays.copyOf(meanWorkOfClass, settings.classes.length);
        for (int c = knownClasses; c < meanWorkOfClass.length; c++) {
            meanWorkOfClass[c] = Math.max(settings.tickMicros, settings.classes[c].targetMicros());
        }
        hintModels = Arrays.copyOf(hintModels, settings.classes.length);
        Arrays.setAll(hintModels, c -> hintModels[c] != null ? hintModels[c] : new HintModel());
    }

    void rescaleWork(double scale) {
        Arrays.setAll(meanWorkOfClass, c -> meanWorkOfClass[c] * scale);
        for (HintModel model : hintModels) {
            model.rescaleWork(scale);
        }
    }
}
