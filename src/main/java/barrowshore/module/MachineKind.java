package barrowshore.module;

/** Running means over the workers of one kind of machine; owned by {@link Dispatcher}. */
final class MachineKind {
    double speed = 1, meanWork, meanRunTime, jobCount, slots, meanWorth = 1;
    boolean requiredBySomeClass;

    MachineKind(double initialWork) {
        meanWork = initialWork;
        meanRunTime = initialWork;
    }

    /** Adds a job's work at speed 1 and its running time to the means. */
    void recordRun(double weight, double work, double runTime) {
        jobCount++;
        this.meanWork += weight * (work - this.meanWork);
        this.meanRunTime += weight * (runTime - this.meanRunTime);
        speed = this.meanWork / this.meanRunTime;
    }

    void rescaleWork(double scale) {
        speed *= scale;
        meanWork *= scale;
    }
}
