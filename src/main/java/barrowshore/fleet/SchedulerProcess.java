package barrowshore.fleet;

import barrowshore.config.ConfigException;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One scheduler of a fleet as a process of its own, with its configuration, its log and its folder. It owns the process
 * from start to end, over restarts under the same name, and ends it by its id. It must never be left behind: the process
 * itself watches whoever started it.
 */
public final class SchedulerProcess {
    /** How long a start may take, on a machine that starts many at once. */
    private static final long READY_TIMEOUT_SECONDS = 90;
    /** The platform ends one that was told to end after the longest deadline and 0.7 s; a slow machine gets more. */
    private static final long EXIT_TIMEOUT_SECONDS = 10;

    final int number;
    final int port;
    private final Path folder;
    private final List<String> command;
    /** Holds the port until the first start: another program on this machine must not get it meanwhile. */
    private final ServerSocket reservedPort;

    private volatile Process process;
    /** How often it has been started: what is noticed late must not be laid to a later life. */
    private volatile int startCount;
    /** Whether the front sends it clients. */
    volatile boolean inService;

    /** command: what runs `serve`, without its arguments. */
    public SchedulerProcess(int number, Path folder, List<String> command) throws IOException {
        this.number = number;
        this.folder = folder;
        this.command = command;
        reservedPort = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        port = reservedPort.getLocalPort();
    }

    /**
     * The production command line's options for the JVM, of the deploy file's `run`, before this program's own jar or
     * classes.
     */
    public static List<String> launchCommand(Path deploy) {
        List<String> arguments =
                new ArrayList<>(List.of(ProcessHandle.current().info().command().orElse("java")));
        if (deploy != null) {
            try {
                Matcher runLine = Pattern.compile("(?m)^run = \"exec java (.*) -jar \\S+ serve\"")
                        .matcher(Files.readString(deploy));
                if (!runLine.find()) {
                    throw new ConfigException(deploy + ": no line run = \"exec java ... -jar ... serve\"");
                }
                arguments.addAll(List.of(runLine.group(1).split("\\s+")));
            } catch (IOException e) {
                throw new ConfigException(
                        deploy + " cannot be read: " + e.getClass().getSimpleName());
            }
        }
        arguments.addAll(List.of(
                "-cp",
                System.getProperty("java.class.path"),
                "barrowshore.cli.Main",
                "serve",
                "--with",
                String.valueOf(ProcessHandle.current().pid())));
        return arguments;
    }

    public int number() {
        return number;
    }

    public InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    public Path logFile() {
        return folder.resolve("n" + number + ".log");
    }

    /** Starts it with this configuration; its log goes on where there is one. */
    public void start(String config) throws IOException {
        Path configFile = configFile(), temporaryFolder = folder.resolve("tmp" + number);
        Files.writeString(configFile, config);
        Files.createDirectories(temporaryFolder);
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile()));
        builder.environment().put("GW_CONFIG", configFile.toString());
        builder.environment().put("GW_NAME", "n" + number);
        builder.environment().put("TMPDIR", temporaryFolder.toString());
        builder.environment().remove("GW_OPS");
        reservedPort.close();
        process = builder.start();
        startCount++;
    }

    private Path configFile() {
        return folder.resolve("n" + number + ".json");
    }

    /** Gives it another configuration while it runs. */
    public void reload(String config) throws IOException, InterruptedException {
        Files.writeString(configFile(), config);
        signal("HUP");
    }

    /** Waits until it says that it is ready; one that does not come up is an error that names its log. */
    public void awaitReady() throws IOException, InterruptedException {
        Process started = process;
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
        // Whoever answers there must be ours: a process that has ended answers nothing.
        while (!answersReady() || !started.isAlive()) {
            if (started.waitFor(20, TimeUnit.MILLISECONDS) || System.nanoTime() > deadlineNanos) {
                throw new ConfigException("scheduler " + number
                        + (started.isAlive()
                                ? " was not ready in " + READY_TIMEOUT_SECONDS + " s"
                                : " ended with exit code " + started.exitValue() + " before it was ready")
                        + "; see " + logFile());
            }
        }
        inService = true;
    }

    private boolean answersReady() throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address(), 1000);
            socket.setSoTimeout(2000);
            socket.getOutputStream()
                    .write("GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1)
                    .startsWith("HTTP/1.1 200");
        } catch (ConnectException e) {
            return false;
        } catch (IOException e) {
            return false; // it is coming up, or going
        }
    }

    int startCount() {
        return startCount;
    }

    public boolean isAlive() {
        return process != null && process.isAlive();
    }

    public long pid() {
        return process.pid();
    }

    public void kill() {
        process.destroyForcibly();
    }

    void terminate() {
        process.destroy();
    }

    /** SIGSTOP or SIGCONT: there is no call for these in the JDK. */
    public void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                .inheritIO()
                .start()
                .waitFor();
    }

    /** Waits for one that was told to end, which still answers what it holds; one that does not go is ended. */
    void awaitExit() throws InterruptedException, IOException {
        if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            stop();
        }
    }

    /** Ends it for good and waits until it is gone; whether it is. */
    public boolean stop() throws InterruptedException, IOException {
        reservedPort.close();
        if (process == null) {
            return true;
        }
        process.destroyForcibly();
        return process.waitFor(20, TimeUnit.SECONDS);
    }

    /** Memory in use, in MiB, and processor seconds used; 0 where the system does not tell. */
    double[] memoryAndCpu() {
        double memoryMib = 0;
        try {
            Matcher peakMemory = Pattern.compile("VmHWM:\\s+(\\d+) kB")
                    .matcher(Files.readString(Path.of("/proc/" + pid() + "/status")));
            memoryMib = peakMemory.find() ? Double.parseDouble(peakMemory.group(1)) / 1024 : 0;
        } catch (IOException e) {
            memoryMib = 0; // it has ended, or this system has no such file
        }
        return new double[] {
            memoryMib,
            process.info().totalCpuDuration().map(d -> d.toMillis() / 1000.0).orElse(0.0)
        };
    }
}
