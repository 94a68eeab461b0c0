package barrowshore.module;

/** The averages kept of one kind of machine; it decides nothing. named: some class runs only there. */
final class MachineKind {
    double speed = 1, meanWork, meanRunTime, jobCount, slots, meanWorth = 1;
    boolean requiredBySomeClass;

    MachineKind(double initialWork) {
        meanWork = initialWork;
        meanRunTime = initialWork;
    }

    /** Averages in a job's work at speed 1 and how long it ran. */
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
