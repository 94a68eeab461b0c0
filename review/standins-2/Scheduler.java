import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ThreadLocalRandom;

/** One process of the scheduler, started with the command of the deploy file from the repository's root. */
final class Scheduler {
    private static final Path DEPLOY_FILE = Path.of("deploy/balancer.toml");
    private static final long READY_LIMIT_MILLIS = 30_000;
    private static final int FIRST_PORT = 20_000, LAST_PORT = 32_000, MAX_PORT_TRIES = 1000;

    final String address;
    private final Path folder;
    private Path temporary;
    private Process process;

    Scheduler(Path folder, String address) {
        this.folder = folder;
        this.address = address;
    }

    /** An address that is free now, outside of the ports that systems hand out, so that nobody gets it by chance. */
    static String freeAddress() throws IOException {
        for (int tries = 0; tries < MAX_PORT_TRIES; tries++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return "127.0.0.1:" + socket.getLocalPort();
            } catch (BindException e) {
                // in use: another one
            }
        }
        throw new IOException("no port is free");
    }

    private static String runCommand() throws IOException {
        for (String line : Files.readAllLines(DEPLOY_FILE)) {
            if (line.startsWith("run = \"")) {
                return line.substring("run = \"".length(), line.lastIndexOf('"'));
            }
        }
        throw new IOException("no run command in " + DEPLOY_FILE);
    }

    private Path configFile() {
        return folder.resolve("config.json");
    }

    void writeConfig(String json) throws IOException {
        Files.createDirectories(folder);
        Files.writeString(configFile(), json);
    }

    /** Starts the process with an empty private folder, and without an address for operators. */
    void start() throws IOException {
        start(null);
    }

    /** Starts the process with an empty private folder; opsAddress: the second address, for operators; null: none. */
    void start(String opsAddress) throws IOException {
        temporary = Files.createTempDirectory(folder, "tmp");
        launch(opsAddress);
    }

    /** Starts a new version beside this process, with a second address of its own and all else the same. */
    Scheduler startNewVersion(String opsAddress) throws IOException {
        Scheduler next = new Scheduler(folder, address);
        next.temporary = temporary;
        next.launch(opsAddress);
        return next;
    }

    private void launch(String opsAddress) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
        builder.environment().put("GW_CONFIG", configFile().toString());
        builder.environment().put("TMPDIR", temporary.toString());
        if (opsAddress != null) {
            builder.environment().put("GW_OPS", opsAddress);
        }
        File log = folder.resolve("scheduler.log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        process = builder.start();
        Case.endWithTheRun(process);
        Record.line("scheduler process " + process.pid() + " started");
    }

    /** Waits until it is ready for clients; false: not within the pages' 30 s, or it has ended. */
    boolean awaitReady() throws InterruptedException {
        return awaitYes(address, "/-/ready");
    }

    /** Waits until the process says yes at its second address; false: not within the pages' 30 s. */
    boolean awaitYes(String opsAddress) throws InterruptedException {
        return awaitYes(opsAddress, "/v1/readyz");
    }

    private boolean awaitYes(String askedAddress, String target) throws InterruptedException {
        long end = Record.now() + READY_LIMIT_MILLIS;
        while (Record.now() < end && process.isAlive()) {
            try (Client client = new Client(askedAddress)) {
                if (client.get(target).status() == 200) {
                    Record.line("scheduler process " + process.pid() + " says yes to " + target);
                    return true;
                }
            }
            Thread.sleep(50);
        }
        return false;
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
}
