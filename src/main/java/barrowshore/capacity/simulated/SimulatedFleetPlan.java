package barrowshore.capacity.simulated;

import barrowshore.config.ConfigException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The size of a hollow fleet: how many workers, schedulers, real ones among these and task starts a second, and for how
 * many seconds it is measured. It owns the check of these figures against sense and against the machine, before anything
 * is started.
 */
public record SimulatedFleetPlan(int workers, int schedulers, int real, int starts, int seconds) {
    /** Twice the target, and what one command may start. */
    private static final int MOST_WORKERS = 1_540, MOST_SCHEDULERS = 40, MOST_REAL = 20, MOST_STARTS = 520;

    private static final int LEAST_SECONDS = 2, MOST_SECONDS = 300;
    /** Memory in MiB: of this process at least, of a real scheduler, of a hollow one with what it knows of the fleet. */
    private static final int MIB_BASE = 400, MIB_REAL = 100, MIB_HOLLOW = 40;
    /** Workers whose sockets and models fit into a MiB. */
    private static final int WORKERS_PER_MIB = 10;
    /** Descriptors: of this process at least, for each scheduler, for each request that is under way at a real one. */
    private static final int FILES_BASE = 500, FILES_EACH = 20, FILES_REQUEST = 2;

    /** What the machine has: memory in MiB in all and free now, and files that a process may open. */
    record Machine(long memory, long available, long files) {
        /** This one; where the system does not tell, there is no bound. */
        static Machine here() {
            return new Machine(
                    figure("/proc/meminfo", "MemTotal:\\s+(\\d+) kB", 1024),
                    figure("/proc/meminfo", "MemAvailable:\\s+(\\d+) kB", 1024),
                    figure("/proc/self/limits", "Max open files\\s+(\\d+)", 1));
        }

        private static long figure(String file, String pattern, long unit) {
            try {
                Matcher found = Pattern.compile(pattern).matcher(Files.readString(Path.of(file)));
                return found.find() ? Long.parseLong(found.group(1)) / unit : Long.MAX_VALUE;
            } catch (IOException e) {
                return Long.MAX_VALUE;
            }
        }
    }

    int hollow() {
        return schedulers - real;
    }

    /** Throws a {@link ConfigException} of one line that names the first figure that cannot be played. */
    void check(Machine machine) {
        within("--workers", workers, 1, MOST_WORKERS);
        within("--schedulers", schedulers, 1, MOST_SCHEDULERS);
        within("--real", real, 0, Math.min(schedulers, MOST_REAL));
        within("--starts", starts, 0, MOST_STARTS);
        within("--seconds", seconds, LEAST_SECONDS, MOST_SECONDS);
        long memory = MIB_BASE + (long) real * MIB_REAL + (long) hollow() * MIB_HOLLOW + workers / WORKERS_PER_MIB;
        enough("MiB of memory", memory, Math.min(machine.memory() / 2, machine.available()));
        double underWay = starts * TargetSite.TASK_SECONDS * real / schedulers;
        long files = FILES_BASE + workers + (long) schedulers * FILES_EACH + (long) Math.ceil(underWay * FILES_REQUEST);
        enough("open files", files, machine.files());
    }

    private static void within(String option, int value, int least, int most) {
        if (value < least || value > most) {
            throw new ConfigException(String.format(
                    Locale.ROOT,
                    "hollow: %s must be from %d to %d, not %d: nothing was started",
                    option,
                    least,
                    most,
                    value));
        }
    }

    private static void enough(String what, long needed, long there) {
        if (needed > there) {
            throw new ConfigException(String.format(
                    Locale.ROOT,
                    "hollow: this size needs %d %s and may take %d: nothing was started",
                    needed,
                    what,
                    there));
        }
    }
}
