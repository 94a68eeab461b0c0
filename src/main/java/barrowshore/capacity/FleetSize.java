package barrowshore.capacity;

import barrowshore.config.ConfigException;

/** The size of a simulated fleet and its rates of starts and changes. Rates are for the whole fleet. */
public record FleetSize(
        int workers,
        int schedulers,
        double startsPerSecond,
        int tenants,
        double listChangesPerSecond,
        double settingsChangesPerSecond) {
    private static final int MAX_WORKERS = 100_000;
    private static final int MAX_SCHEDULERS = 1_000;
    private static final int MAX_STARTS_PER_SECOND = 100_000;
    private static final int MAX_TENANTS = 100_000;
    private static final int MAX_CHANGES_PER_SECOND = 1_000;

    /** Slots of the fleet per running task on average: about 78 % of the slots are in use. */
    private static final double SLOTS_PER_RUNNING_TASK = 1.28;

    /** Bytes that a scheduler holds for a worker, for one peer's report on a worker, and for an open request. */
    private static final long BYTES_PER_WORKER = 1_000, BYTES_PER_PEER_REPORT = 72, BYTES_PER_TASK = 3_000;

    private static final long BYTES_PER_SCHEDULER = 1 << 20, BYTES_PER_TENANT = 16;
    /** Share of the heap that a run's estimate may fill. */
    private static final double USABLE_HEAP_SHARE = 0.6;

    /** Returns the target's size. */
    public static FleetSize target() {
        CapacityTarget target = CapacityTarget.TARGET;
        return new FleetSize(
                target.workers(),
                target.schedulers(),
                target.startsPerSecond(),
                target.tenants(),
                target.listChangesPerSecond(),
                target.settingsChangesPerSecond());
    }

    /** Returns a copy with another number of workers. */
    public FleetSize withWorkers(int count) {
        return new FleetSize(
                count, schedulers, startsPerSecond, tenants, listChangesPerSecond, settingsChangesPerSecond);
    }

    /** Returns a copy with another number of schedulers. */
    public FleetSize withSchedulers(int count) {
        return new FleetSize(workers, count, startsPerSecond, tenants, listChangesPerSecond, settingsChangesPerSecond);
    }

    /** Returns a copy with another number of task starts a second. */
    public FleetSize withStartsPerSecond(double rate) {
        return new FleetSize(workers, schedulers, rate, tenants, listChangesPerSecond, settingsChangesPerSecond);
    }

    /** Returns a copy with another number of tenants. */
    public FleetSize withTenants(int count) {
        return new FleetSize(
                workers, schedulers, startsPerSecond, count, listChangesPerSecond, settingsChangesPerSecond);
    }

    /** Returns a copy with another number of list events a second. */
    public FleetSize withListChangesPerSecond(double rate) {
        return new FleetSize(workers, schedulers, startsPerSecond, tenants, rate, settingsChangesPerSecond);
    }

    /** Returns a copy with another number of changes of configuration a second. */
    public FleetSize withSettingsChangesPerSecond(double rate) {
        return new FleetSize(workers, schedulers, startsPerSecond, tenants, listChangesPerSecond, rate);
    }

    /** Returns the mean number of running tasks. */
    public double runningTasks() {
        return startsPerSecond * CapacityTarget.TARGET.taskSeconds();
    }

    /** Returns the slots of a worker, chosen so that a fleet of any size is about as full as the target's. */
    public int slotsPerWorker() {
        return Math.max(1, (int) Math.round(runningTasks() * SLOTS_PER_RUNNING_TASK / workers));
    }

    /**
     * Throws a {@link ConfigException} that names the first size out of range, or that says that the fleet does not fit
     * into the heap.
     */
    public void validate(long heapBytes) {
        require("--workers", workers, MAX_WORKERS);
        require("--schedulers", schedulers, MAX_SCHEDULERS);
        require("--starts", startsPerSecond, MAX_STARTS_PER_SECOND);
        require("--tenants", tenants, MAX_TENANTS);
        requireRate("--list-changes", listChangesPerSecond);
        requireRate("--config-changes", settingsChangesPerSecond);
        long needed = estimatedBytes();
        long usable = (long) (heapBytes * USABLE_HEAP_SHARE);
        if (needed > usable) {
            throw new ConfigException("capacity: " + workers + " workers and " + schedulers + " schedulers need about "
                    + (needed >> 20) + " MiB, more than the " + (usable >> 20) + " MiB that this JVM may fill (-Xmx)");
        }
    }

    /** Returns an upper estimate of the bytes that a run of this size holds. */
    long estimatedBytes() {
        long perWorker = BYTES_PER_WORKER + BYTES_PER_PEER_REPORT * schedulers;
        long perScheduler = BYTES_PER_SCHEDULER + perWorker * workers + BYTES_PER_TENANT * tenants;
        return perScheduler * schedulers + BYTES_PER_TASK * (long) runningTasks();
    }

    private static void require(String option, double value, int max) {
        if (!(value > 0 && value <= max)) {
            throw new ConfigException(option + " must be above 0 and at most " + max + ", not " + text(value));
        }
    }

    private static void requireRate(String option, double value) {
        if (!(value >= 0 && value <= MAX_CHANGES_PER_SECOND)) {
            throw new ConfigException(option + " must be from 0 to " + MAX_CHANGES_PER_SECOND + ", not " + text(value));
        }
    }

    private static String text(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15 ? Long.toString((long) value) : "" + value;
    }
}
