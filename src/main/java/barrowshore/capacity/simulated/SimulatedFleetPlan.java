package barrowshore.capacity.simulated;

import barrowshore.config.ConfigException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Size of a simulated fleet and length of its measurement: workers, all schedulers, the real ones among them, task
 * starts per second, and seconds. It checks these against fixed ranges and the machine's limits before anything is
 * started.
 */
public record SimulatedFleetPlan(int workers, int schedulers, int real, int starts, int seconds) {
    /** Upper bounds: twice the target size, and what one command may start. */
    private static final int MAX_WORKERS = 1_540, MAX_SCHEDULERS = 40, MAX_REAL = 20, MAX_STARTS_PER_SECOND = 520;

    private static final int MIN_SECONDS = 2, MAX_SECONDS = 300;
    /** Memory in MiB: minimum for this process, per real scheduler, and per simulated one with its view of the fleet. */
    private static final int BASE_MIB = 400, MIB_PER_REAL_SCHEDULER = 100, MIB_PER_SIMULATED_SCHEDULER = 40;
    /** Workers whose sockets and models fit into one MiB. */
    private static final int WORKERS_PER_MIB = 10;
    /** File descriptors: of this process as a minimum, per scheduler, and per request in flight at a real scheduler. */
    private static final int BASE_FILES = 500, FILES_PER_SCHEDULER = 20, FILES_PER_REQUEST = 2;

    /** Limits of the machine: total and available memory in MiB, and files that a process may open. */
    record MachineLimits(long memoryMib, long availableMib, long maxOpenFiles) {
        /** Reads the limits of this machine; a limit that cannot be read is unbounded. */
        static MachineLimits ofThisMachine() {
            return new MachineLimits(
                    readLimit("/proc/meminfo", "MemTotal:\\s+(\\d+) kB", 1024),
                    readLimit("/proc/meminfo", "MemAvailable:\\s+(\\d+) kB", 1024),
                    readLimit("/proc/self/limits", "Max open files\\s+(\\d+)", 1));
        }

        private static long readLimit(String file, String pattern, long unit) {
            try {
                Matcher found = Pattern.compile(pattern).matcher(Files.readString(Path.of(file)));
                return found.find() ? Long.parseLong(found.group(1)) / unit : Long.MAX_VALUE;
            } catch (IOException e) {
                return Long.MAX_VALUE;
            }
        }
    }

    int simulated() {
        return schedulers - real;
    }

    /** Throws a one-line {@link ConfigException} that names the first option or resource that is out of bounds. */
    void check(MachineLimits machine) {
        checkRange("--workers", workers, 1, MAX_WORKERS);
        checkRange("--schedulers", schedulers, 1, MAX_SCHEDULERS);
        checkRange("--real", real, 0, Math.min(schedulers, MAX_REAL));
        checkRange("--starts", starts, 0, MAX_STARTS_PER_SECOND);
        checkRange("--seconds", seconds, MIN_SECONDS, MAX_SECONDS);
        long memory = BASE_MIB
                + (long) real * MIB_PER_REAL_SCHEDULER
                + (long) simulated() * MIB_PER_SIMULATED_SCHEDULER
                + workers / WORKERS_PER_MIB;
        checkResource("MiB of memory", memory, Math.min(machine.memoryMib() / 2, machine.availableMib()));
        double inFlight = starts * TargetSite.TASK_SECONDS * real / schedulers;
        long files = BASE_FILES
                + workers
                + (long) schedulers * FILES_PER_SCHEDULER
                + (long) Math.ceil(inFlight * FILES_PER_REQUEST);
        checkResource("open files", files, machine.maxOpenFiles());
    }

    private static void checkRange(String option, int value, int min, int max) {
        if (value < min || value > max) {
            throw new ConfigException(String.format(
                    Locale.ROOT,
                    "hollow: %s must be from %d to %d, not %d: nothing was started",
                    option,
                    min,
                    max,
                    value));
        }
    }

    private static void checkResource(String what, long needed, long available) {
        if (needed > available) {
            throw new ConfigException(String.format(
                    Locale.ROOT,
                    "hollow: this size needs %d %s and may take %d: nothing was started",
                    needed,
                    what,
                    available));
        }
    }
}
