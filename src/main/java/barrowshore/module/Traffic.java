package barrowshore.module;

import barrowshore.module.DispatchApi.JobClass;
import barrowshore.module.DispatchApi.Settings;
import java.util.Arrays;

/** Averages over recent requests, each of a stated weight; it decides nothing. */
final class Traffic {
    private final Settings set;
    /** Work at speed 1 by class. Until jobs are served: the aim, what the site holds for a usual job. */
    double[] classWork;

    private Guess[] guesses = new Guess[0];
    private double guessed;
    /** hinted: most jobs come with a guess at their work that is worth something. */
    boolean hinted;
    /** Work at speed 1, work times slots and its square, worth for each unit of work, aim, 1/(1+stretch). */
    double work, size, square, density, aim, running = 1, arrivals;

    int topPriority;

    Traffic(Settings set) {
        this.set = set;
        classWork = new double[set.classes.length];
        for (int c = 0; c < classWork.length; c++) {
            JobClass type = set.classes[c];
            classWork[c] = Math.max(set.tickMicros, type.targetMicros());
            work += classWork[c] / classWork.length;
            aim += type.targetMicros() * (1 + type.targetStretch()) / classWork.length;
            density += density(c, 1) / classWork.length;
        }
        size = work;
        square = work * work;
    }

    /** Enters a request: its expected work and worth are set, and averaged in. */
    void enter(Job job, double weight) {
        boolean hint = job.hint > 0;
        job.work = hint ? guesses[job.type].work(job.hint) : classWork[job.type];
        job.density = density(job.type, job.slots);
        arrivals++;
        guessed += Math.max(weight, 1 / arrivals) * ((hint && guesses[job.type].good() ? 1 : 0) - guessed);
        hinted = guessed > 0.5;
        double jobSize = job.work * job.slots, stretch = job.jobClass.targetStretch();
        work += weight * (job.work - work);
        size += weight * (jobSize - size);
        square += weight * (jobSize * jobSize - square);
        running += weight * (1 / (1 + stretch) - running);
        aim += weight * (job.jobClass.targetMicros() + stretch * classWork[job.type] - aim);
        density += Math.max(weight, 1 / (5 + arrivals)) * job.slots * (job.density - density);
    }

    /** A job turned out to be so much work at speed 1. */
    void ran(Job job, double weight, double work) {
        classWork[job.type] += weight * (work - classWork[job.type]);
        if (job.hint > 0) {
            guesses[job.type].saw(job.hint, work);
        }
    }

    private double density(int type, double slots) {
        return Math.max(1e-9, set.classes[type].worth()) / slots / (set.worthPerWork ? 1 : classWork[type]);
    }

    /** What a job weighs in a budget: where its work is no more than a guess, no less than E[w^2]/E[w]. */
    double surely(Job job) {
        boolean known = job.hint > 0 && guesses[job.type].proven();
        return Math.max(known ? 0 : chanceSize(), job.work * job.slots);
    }

    /** What a job pays for each unit of work, against the usual job. */
    double value(Job job) {
        return job.density / density;
    }

    /** The size of a job that matters for chance: E[w^2]/E[w]. */
    double chanceSize() {
        return square / size;
    }

    /**
     * The classes have been set. There may be more than before; those that were there keep what was learned. One that is
     * gone is there still, and nothing comes of it.
     */
    void enter(Kind[] kinds) {
        for (JobClass type : set.classes) {
            topPriority = Math.max(topPriority, type.priority());
            kinds[Math.max(0, type.kind())].named |= type.kind() >= 0;
        }
        int known = classWork.length;
        classWork = Arrays.copyOf(classWork, set.classes.length);
        for (int c = known; c < classWork.length; c++) {
            classWork[c] = Math.max(set.tickMicros, set.classes[c].targetMicros());
        }
        guesses = Arrays.copyOf(guesses, set.classes.length);
        Arrays.setAll(guesses, c -> guesses[c] != null ? guesses[c] : new Guess());
    }

    void rescale(double scale) {
        Arrays.setAll(classWork, c -> classWork[c] * scale);
        for (Guess g : guesses) {
            g.rescale(scale);
        }
    }
}
