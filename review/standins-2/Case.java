import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;

/**
 * Runs one case: opens its record, gives it a temporary folder, ends all processes at its end, and turns its verdict into
 * the exit code. With TROUBLE=0 in the environment the case leaves its disruption out.
 */
abstract class Case {
    static final int HELD = 0, BROKEN = 1, COULD_NOT_RUN = 2;
    private static final long LIMIT_MILLIS = 115_000;
    private static final List<Process> PROCESSES = new CopyOnWriteArrayList<>();

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder;

    /** Plays the case; true: the rule was broken. An exception: it could not run. */
    abstract boolean isBroken() throws Exception;

    static void endWithTheRun(Process process) {
        PROCESSES.add(process);
    }

    /** recordFolder: where record.txt is written. */
    static void play(Case chosen, String recordFolder) throws IOException {
        Record.open(Path.of(recordFolder, "record.txt"));
        chosen.folder = Files.createTempDirectory("review-2");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> cleanUp(chosen.folder)));
        Listener.start(Case::enforceTimeLimit);
        Record.line("trouble: " + (chosen.trouble ? "on" : "off"));
        int code;
        try {
            code = chosen.isBroken() ? BROKEN : HELD;
        } catch (Exception e) {
            Record.line("could not run: " + e);
            code = COULD_NOT_RUN;
        }
        String verdict = code == BROKEN ? "the rule was broken" : code == HELD ? "the rule held" : "could not run";
        Record.line(verdict);
        System.out.println(verdict);
        System.exit(code);
    }

    private static void enforceTimeLimit() {
        try {
            Thread.sleep(LIMIT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Record.line("could not run: the time is up");
        System.exit(COULD_NOT_RUN);
    }

    private static void cleanUp(Path folder) {
        PROCESSES.forEach(Process::destroyForcibly);
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.err.println("the temporary folder could not be removed: " + e);
        }
    }
}
