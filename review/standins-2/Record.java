import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of one run: what was sent, answered and run, one line each, with the milliseconds since the start. */
final class Record {
    private static final long START_NANOS = System.nanoTime();
    private static PrintWriter out;

    private Record() {}

    static synchronized void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    /** Milliseconds since the start of the run. */
    static long now() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    static synchronized void line(String text) {
        if (out != null) {
            out.println(now() + " " + text);
        }
    }
}
