package barrowshore.module;

import barrowshore.module.DispatchApi.JobClass;
import barrowshore.module.DispatchApi.Settings;
import java.util.Arrays;

/** Running means over one dispatcher's recent requests and runs; owned by {@link Dispatcher}. */
final class TrafficStats {
    private final Settings settings;
    /** Work at speed 1 by class; the class's target until jobs have been served. */
    double[] meanWorkOfClass;

    private HintModel[] hintModels = new HintModel[0];
    private double trustedHintShare;
    /** Whether most jobs come with a work hint that is trusted. */
    boolean mostlyHinted;

    double meanWork, // at speed 1
            meanSlotWork, // work times slots
            meanSquaredSlotWork,
            meanWorthPerWork,
            meanTarget,
            meanInverseStretch = 1, // of 1 / (1 + target stretch)
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

    /** Sets the job's expected work and worth, and adds them to the means. */
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

    /** Records the measured work, at speed 1, of a served job. */
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

    /** Slots times work that a job takes from a budget; without a proven hint at least E[w^2]/E[w]. */
    double budgetSlotWork(Job job) {
        boolean hasProvenHint = job.workHintMicros > 0 && hintModels[job.classIndex].isProven();
        return Math.max(hasProvenHint ? 0 : sizeBiasedSlotWork(), job.expectedWork * job.slots);
    }

    /** The job's worth per unit of work, relative to the mean job's. */
    double relativeWorth(Job job) {
        return job.worthPerWork / meanWorthPerWork;
    }

    /** Mean size of a job weighted by its size, E[w^2]/E[w]: what a random slot is busy with. */
    double sizeBiasedSlotWork() {
        return meanSquaredSlotWork / meanSlotWork;
    }

    /**
     * Follows a change of the configured classes. New ones are added and the others keep what was learned; a removed
     * one keeps its number and gets no jobs.
     */
    void applyClasses(MachineKind[] kinds) {
        highestPriority = 0;
        for (MachineKind kind : kinds) {
            kind.requiredBySomeClass = false;
        }
        for (JobClass jobClass : settings.activeClasses()) {
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

    /** Multiplies all learned work, when the unit of speed changes. */
    void rescaleWork(double scale) {
        Arrays.setAll(meanWorkOfClass, c -> meanWorkOfClass[c] * scale);
        for (HintModel model : hintModels) {
            model.rescaleWork(scale);
        }
    }
}
