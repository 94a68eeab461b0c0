package barrowshore.module;

/** The averages kept of one kind of machine; it decides nothing. named: some class runs only there. */
final class Kind {
    double speed = 1, work, took, jobs, slots, worth = 1;
    boolean named;

    Kind(double meanWork) {
        work = meanWork;
        took = meanWork;
    }

    /** Averages in a job's work at speed 1 and how long it ran. */
    void ran(double weight, double work, double ran) {
        jobs++;
        this.work += weight * (work - this.work);
        this.took += weight * (ran - this.took);
        speed = this.work / this.took;
    }

    void rescale(double scale) {
        speed *= scale;
        work *= scale;
    }
}
