import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** One process of the scheduler, started with the command of the deploy file from the repository's root. */
final class Scheduler {
    private static final Path DEPLOY_FILE = Path.of("deploy/balancer.toml");
    private static final long READY_LIMIT_MILLIS = 30_000;

    final String address;
    private final Path folder;
    private Process process;

    Scheduler(Path folder, String address) {
        this.folder = folder;
        this.address = address;
    }

    static String freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    private static String runCommand() throws IOException {
        for (String line : Files.readAllLines(DEPLOY_FILE)) {
            if (line.startsWith("run = \"")) {
                return line.substring("run = \"".length(), line.lastIndexOf('"'));
            }
        }
        throw new IOException("no run command in " + DEPLOY_FILE);
    }

    Path configFile() {
        return folder.resolve("config.json");
    }

    void writeConfig(String json) throws IOException {
        Files.createDirectories(folder);
        Files.writeString(configFile(), json);
    }

    /** Starts the process with an empty private folder; the environment's further values may be none. */
    void start(Map<String, String> environment) throws IOException {
        Path temporary = Files.createTempDirectory(folder, "tmp");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
        builder.environment().put("GW_CONFIG", configFile().toString());
        builder.environment().put("TMPDIR", temporary.toString());
        builder.environment().putAll(environment);
        File log = folder.resolve("scheduler.log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        process = builder.start();
        Case.endWithTheRun(process);
        Record.line("scheduler process " + process.pid() + " started");
    }

    /** Waits until it is ready for clients; false: not within the pages' 30 s. */
    boolean awaitReady() throws InterruptedException {
        long end = Record.now() + READY_LIMIT_MILLIS;
        while (Record.now() < end) {
            try (Client client = new Client(address)) {
                if (client.get("/-/ready").status() == 200) {
                    Record.line("scheduler is ready");
                    return true;
                }
            }
            Thread.sleep(50);
        }
        return false;
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    /** SIGTERM. */
    void terminate() {
        Record.line("SIGTERM to scheduler process " + process.pid());
        process.destroy();
    }

    /** SIGKILL. */
    void kill() throws InterruptedException {
        Record.line("SIGKILL to scheduler process " + process.pid());
        process.destroyForcibly().waitFor();
    }

    String log() throws IOException {
        return Files.readString(folder.resolve("scheduler.log"), StandardCharsets.UTF_8);
    }
}
