import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Runs one case: opens its record, ends all processes at its end, and turns its verdict into
 * the exit code. With TROUBLE=0 in the environment the case leaves its disruption out.
 */
abstract class Case {
    /** Exit codes that no failure of the JVM has; play-2.sh makes 1, 0 and 2 of them. */
    private static final int BROKEN = 10, HELD = 11, COULD_NOT_RUN = 2;
    private static final long LIMIT_MILLIS = 110_000;
    private static final List<Process> PROCESSES = new CopyOnWriteArrayList<>();

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder;

    /** Plays the case; true: the rule was broken. An exception: it could not run. */
    abstract boolean isBroken() throws Exception;

    /** Notes a process that has to be ended with the run, here and in a file for play-2.sh. */
    static void endWithTheRun(Process process) throws IOException {
        PROCESSES.add(process);
        Path pids = Path.of(System.getProperty("java.io.tmpdir"), "pids");
        Files.writeString(pids, process.pid() + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }

    /** A case in which this does not hold has shown nothing. */
    static void require(boolean holds, String message) {
        if (!holds) {
            throw new IllegalStateException(message);
        }
    }

    /** recordFolder: where record.txt is written. */
    static void play(Case chosen, String recordFolder) {
        int code = COULD_NOT_RUN;
        try {
            Record.open(Path.of(recordFolder, "record.txt"));
            chosen.folder = Path.of(System.getProperty("java.io.tmpdir"));
            Listener.start(Case::enforceTimeLimit);
            Record.line("trouble: " + (chosen.trouble ? "on" : "off"));
            code = chosen.isBroken() ? BROKEN : HELD;
        } catch (Exception | Error e) {
            Record.line("could not run: " + e);
        }
        endProcesses();
        String verdict = code == BROKEN ? "the rule was broken" : code == HELD ? "the rule held" : "could not run";
        Record.line(verdict);
        System.out.println(verdict);
        Runtime.getRuntime().halt(code);
    }

    private static void enforceTimeLimit() {
        try {
            Thread.sleep(LIMIT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Record.line("could not run: the time is up");
        endProcesses();
        Runtime.getRuntime().halt(COULD_NOT_RUN);
    }

    private static void endProcesses() {
        for (Process process : PROCESSES) {
            process.destroyForcibly();
        }
        try {
            for (Process process : PROCESSES) {
                process.waitFor(1, TimeUnit.SECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
