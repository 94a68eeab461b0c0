package barrowshore.capacity.simulated;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Resource usage of a process: CPU time since its start, current and peak resident memory, and open files. */
record ProcessUsage(long cpuNanos, double residentMib, double peakResidentMib, int openFiles) {
    private static final double KIB_PER_MIB = 1024;
    private static final long NANOS_PER_TICK = 1_000_000_000L / 100;
    /** Fields of /proc/PID/stat, counted from after the command name: clock ticks in user and in system mode. */
    private static final int USER_TICKS_FIELD = 11, SYSTEM_TICKS_FIELD = 12;

    /** Returns the usage of a running process, or zeros if /proc cannot be read. */
    static ProcessUsage of(long pid) {
        Path procDirectory = Path.of("/proc/" + pid);
        try (Stream<Path> files = Files.list(procDirectory.resolve("fd"))) {
            return parse(
                    Files.readString(procDirectory.resolve("stat")),
                    Files.readString(procDirectory.resolve("status")),
                    (int) files.count());
        } catch (IOException e) {
            return new ProcessUsage(0, 0, 0, 0);
        }
    }

    static ProcessUsage parse(String stat, String status, int files) {
        // The command name is in brackets and may itself contain brackets.
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long ticks = Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[SYSTEM_TICKS_FIELD]);
        return new ProcessUsage(ticks * NANOS_PER_TICK, memoryMib(status, "VmRSS"), memoryMib(status, "VmHWM"), files);
    }

    private static double memoryMib(String status, String field) {
        Matcher found = Pattern.compile(field + ":\\s+(\\d+) kB").matcher(status);
        return found.find() ? Long.parseLong(found.group(1)) / KIB_PER_MIB : 0;
    }
}
