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
 * One scheduler of a fleet as a process of its own, with its configuration, log and temporary folder. It owns the process
 * over restarts under the same name, and stops it by its id. The process must not outlive this one: it gets this one's id
 * by --with and watches it.
 */
public final class SchedulerProcess {
    /** Long, as many schedulers start on the machine at once. */
    private static final long READY_TIMEOUT_SECONDS = 90;
    /** Time to exit after SIGTERM: the platform gives the longest deadline and 0.7 s; a slow machine needs more. */
    private static final long EXIT_TIMEOUT_SECONDS = 10;

    final int number;
    final int port;
    private final Path folder;
    private final List<String> command;
    /** Holds the port until the first start, so that no other program on the machine takes it. */
    private final ServerSocket reservedPort;

    private volatile Process process;
    /** How often it has been started: a delayed action on one run of the process must not affect a later run. */
    private volatile int startCount;
    /** Whether the load is sent to it. */
    volatile boolean inService;

    /** command: as {@link #launchCommand} returns it. */
    public SchedulerProcess(int number, Path folder, List<String> command) throws IOException {
        this.number = number;
        this.folder = folder;
        this.command = command;
        reservedPort = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        port = reservedPort.getLocalPort();
    }

    /**
     * Returns the command line of `serve`: this process's java and class path, with the JVM options of the deploy file's
     * `run` line; deploy null: no options.
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

    /** Starts it with this configuration; appends to its log. */
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

    /** Replaces its configuration while it runs. */
    public void reload(String config) throws IOException, InterruptedException {
        Files.writeString(configFile(), config);
        signal("HUP");
    }

    /** Waits until it is ready; throws {@link ConfigException}, naming its log, if it exits before or takes too long. */
    public void awaitReady() throws IOException, InterruptedException {
        Process started = process;
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
        // Another process may answer on that port if ours has ended.
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
            return false; // it is starting or ending
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

    /** Sends a signal such as STOP by the kill command: the JDK has no call for it. */
    public void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                .inheritIO()
                .start()
                .waitFor();
    }

    /** Waits for it to exit after SIGTERM, while it answers the jobs that it holds; kills it after a timeout. */
    void awaitExit() throws InterruptedException, IOException {
        if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            stop();
        }
    }

    /** Kills it and waits until it has exited; false if it has not. */
    public boolean stop() throws InterruptedException, IOException {
        reservedPort.close();
        if (process == null) {
            return true;
        }
        process.destroyForcibly();
        return process.waitFor(20, TimeUnit.SECONDS);
    }

    /** Returns its peak memory in MiB and its processor time in seconds; 0 where the system has no figure. */
    double[] memoryAndCpu() {
        double memoryMib = 0;
        try {
            Matcher peakMemory = Pattern.compile("VmHWM:\\s+(\\d+) kB")
                    .matcher(Files.readString(Path.of("/proc/" + pid() + "/status")));
            memoryMib = peakMemory.find() ? Double.parseDouble(peakMemory.group(1)) / 1024 : 0;
        } catch (IOException e) {
            memoryMib = 0; // it has exited, or this system has no such file
        }
        return new double[] {
            memoryMib,
            process.info().totalCpuDuration().map(d -> d.toMillis() / 1000.0).orElse(0.0)
        };
    }
}
