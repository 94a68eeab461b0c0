package barrowshore.capacity;

/**
 * The size that the system has to support in about two years, and what a scheduler may spend on control at that size.
 * All limits are defined here; code that checks a measurement takes them from {@link #TARGET}.
 */
public record CapacityTarget(
        int workers,
        int schedulers,
        int machinesForSchedulers,
        int jobsPerDay,
        double startsPerSecond,
        int runningTasks,
        int largestGang,
        int tenants,
        double urgentStartSeconds,
        int regions,
        int zones,
        int settingsChangesPerDay,
        double settingsInForceSeconds,
        double controlCorePercent,
        long controlMemoryBytes,
        double controlBytesPerSecond,
        int machineFailuresPerDay,
        int machineReplacementsPerDay) {
    private static final int WORKERS = 770;
    /**
     * Not stated in the target: two schedulers on each machine reserved for schedulers, until the capacity page derives
     * another number.
     */
    private static final int SCHEDULERS = 10;

    private static final int MACHINES_FOR_SCHEDULERS = 5;
    private static final int JOBS_PER_DAY = 8_600;
    private static final double STARTS_PER_SECOND = 260;
    private static final int RUNNING_TASKS = 3_000;
    private static final int LARGEST_GANG = 64;
    private static final int TENANTS = 43;
    private static final double URGENT_START_SECONDS = 1.9;
    private static final int REGIONS = 2;
    private static final int ZONES = 4;
    private static final int SETTINGS_CHANGES_PER_DAY = 390;
    private static final double SETTINGS_IN_FORCE_SECONDS = 6;
    private static final double CONTROL_CORE_PERCENT = 3.8;
    private static final long CONTROL_MEMORY_BYTES = 256L << 20;
    private static final double CONTROL_BYTES_PER_SECOND = 4_096;
    private static final int MACHINE_FAILURES_PER_DAY = 15;
    private static final int MACHINE_REPLACEMENTS_PER_DAY = 160;

    private static final double SECONDS_PER_DAY = 86_400;

    /** The target as the operators stated it. */
    public static final CapacityTarget TARGET = new CapacityTarget(
            WORKERS,
            SCHEDULERS,
            MACHINES_FOR_SCHEDULERS,
            JOBS_PER_DAY,
            STARTS_PER_SECOND,
            RUNNING_TASKS,
            LARGEST_GANG,
            TENANTS,
            URGENT_START_SECONDS,
            REGIONS,
            ZONES,
            SETTINGS_CHANGES_PER_DAY,
            SETTINGS_IN_FORCE_SECONDS,
            CONTROL_CORE_PERCENT,
            CONTROL_MEMORY_BYTES,
            CONTROL_BYTES_PER_SECOND,
            MACHINE_FAILURES_PER_DAY,
            MACHINE_REPLACEMENTS_PER_DAY);

    /** Returns the mean run time of a task, from the running tasks and the start rate (Little's law). */
    public double taskSeconds() {
        return runningTasks / startsPerSecond;
    }

    /**
     * Returns the changes of the server list a second: each failure and each replacement removes a machine and adds
     * one.
     */
    public double listChangesPerSecond() {
        return 2 * (machineFailuresPerDay + machineReplacementsPerDay) / SECONDS_PER_DAY;
    }

    /** Returns the configuration changes a second. */
    public double settingsChangesPerSecond() {
        return settingsChangesPerDay / SECONDS_PER_DAY;
    }
}
