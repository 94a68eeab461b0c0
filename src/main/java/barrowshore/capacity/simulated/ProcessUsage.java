package barrowshore.capacity.simulated;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** What a process has used, as the system tells it: processor time since its start, memory now and at most, open files. */
record ProcessUsage(long nanos, double residentMib, double mostResidentMib, int files) {
    private static final double KIB_PER_MIB = 1024;
    private static final long NANOS_PER_TICK = 1_000_000_000L / 100;
    /** Where the ticks in user and system mode stand after the command's name. */
    private static final int USER = 11, SYSTEM = 12;

    /** Of a process that runs; zeros where the system does not tell. */
    static ProcessUsage of(long pid) {
        Path folder = Path.of("/proc/" + pid);
        try (Stream<Path> files = Files.list(folder.resolve("fd"))) {
            return parse(Files.readString(folder.resolve("stat")), Files.readString(folder.resolve("status")), (int)
                    files.count());
        } catch (IOException e) {
            return new ProcessUsage(0, 0, 0, 0);
        }
    }

    static ProcessUsage parse(String stat, String status, int files) {
        // The name stands in brackets and may hold anything, brackets too.
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long ticks = Long.parseLong(fields[USER]) + Long.parseLong(fields[SYSTEM]);
        return new ProcessUsage(ticks * NANOS_PER_TICK, mib(status, "VmRSS"), mib(status, "VmHWM"), files);
    }

    private static double mib(String status, String field) {
        Matcher found = Pattern.compile(field + ":\\s+(\\d+) kB").matcher(status);
        return found.find() ? Long.parseLong(found.group(1)) / KIB_PER_MIB : 0;
    }
}
