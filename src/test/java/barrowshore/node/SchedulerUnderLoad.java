package barrowshore.node;

import barrowshore.fleet.SchedulerProcess;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * A scheduler in a process of its own, with the JVM options and so the memory limits of the deploy file, before stand-in
 * workers and discovery on loopback sockets.
 */
final class SchedulerUnderLoad {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    static final String CHUNKED_RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    /** What the configuration lets the whole process use. */
    static final int MEMORY_LIMIT_MIB = 192;

    private static final int WORKERS = 9, SLOTS_PER_WORKER = 60;
    private static final int BACKLOG = 512;
    /** Columns of the system's table of connections; a listening socket's queue has connections in place of bytes. */
    private static final int LOCAL_ADDRESS_FIELD = 1, STATE_FIELD = 3, QUEUES_FIELD = 4;

    private static final String LISTENING = "0A";

    private final List<ServerSocket> listeners = new ArrayList<>();
    private final ScheduledExecutorService serviceTimes = Executors.newScheduledThreadPool(4);
    private final SchedulerProcess process;

    /** What a stand-in does with a connection from the scheduler. */
    interface ConnectionTask {
        void run(Socket connection) throws IOException;
    }

    /** The chunks that end the answer to the request with this id. */
    interface Answer {
        String lastChunks(String id);
    }

    /** Starts the process; {@link #start} makes it ready. */
    SchedulerUnderLoad(Path folder) throws IOException {
        process = new SchedulerProcess(0, folder, SchedulerProcess.launchCommand(Path.of("deploy/balancer.toml")));
    }

    /** Starts workers that run this task for each connection, and the scheduler; returns once that is ready. */
    void start(ConnectionTask workerTask) throws IOException, InterruptedException {
        List<String> workers = new ArrayList<>();
        for (int k = 0; k < WORKERS; k++) {
            ServerSocket listener = listen(workerTask);
            workers.add("{\"uid\":\"s-" + k + "\",\"endpoint\":\"127.0.0.1:" + listener.getLocalPort()
                    + "\",\"az\":\"a\",\"model\":\"m\",\"state\":\"Ready\",\"capacity_hint\":" + SLOTS_PER_WORKER
                    + "}");
        }
        String list = "{\"rev\":5,\"all\":true,\"targets\":[" + String.join(",", workers) + "]}";
        ServerSocket discovery = listen(connection -> {
            readHead(connection.getInputStream());
            send(connection, CHUNKED_RESPONSE_HEAD + chunk(list));
            connection.getInputStream().read();
        });
        process.start(Files.readString(Path.of("src/test/resources/exchanges/config.json"))
                .replaceAll("\"ops\":\"[^\"]*\",", "")
                .replace(
                        "\"listen\":\"127.0.0.1:0\"",
                        "\"listen\":\"127.0.0.1:" + process.address().getPort() + "\"")
                .replace("$D", "127.0.0.1:" + discovery.getLocalPort())
                .replace("$S", "127.0.0.1:" + listeners.get(0).getLocalPort()));
        process.awaitReady();
    }

    private ServerSocket listen(ConnectionTask task) throws IOException {
        ServerSocket listener = new ServerSocket(0, BACKLOG, LOOPBACK);
        listeners.add(listener);
        startThread(() -> {
            while (!listener.isClosed()) {
                try {
                    Socket connection = listener.accept();
                    startThread(() -> {
                        try (connection) {
                            task.run(connection);
                        } catch (IOException e) {
                            return; // the scheduler has closed it
                        }
                    });
                } catch (IOException e) {
                    return; // closed: the test is over
                }
            }
        });
        return listener;
    }

    /** Serves the requests on a connection from the scheduler, each after the service time. */
    void serve(Socket connection, long serviceMillis, Answer answer) throws IOException {
        InputStream in = connection.getInputStream();
        for (String head = readHead(in); !head.isEmpty(); head = readHead(in)) {
            if (head.startsWith("GET ")) {
                send(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
                continue;
            }
            in.skipNBytes(Integer.parseInt(header(head, "Content-Length")));
            String id = header(head, "X-Request-ID");
            send(connection, CHUNKED_RESPONSE_HEAD + chunk(line(id, "started", "")));
            serviceTimes.schedule(
                    () -> {
                        send(connection, answer.lastChunks(id));
                        return null;
                    },
                    serviceMillis,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** The chunks of an answer that serves the request with this result. */
    static String done(String id, String result) {
        return chunk(line(id, "done", ",\"result\":\"" + result + "\"") + "\n") + "0\r\n\r\n";
    }

    InetSocketAddress address() {
        return process.address();
    }

    /** Opens a connection as a client. */
    Socket connect() throws IOException {
        return new Socket(LOOPBACK, process.address().getPort());
    }

    boolean isAlive() {
        return process.isAlive();
    }

    String log() throws IOException {
        return Files.readString(process.logFile());
    }

    /** The most memory that the whole process has had resident so far, in MiB. */
    long peakMemoryMib() throws IOException {
        Matcher peak = Pattern.compile("VmHWM:\\s+(\\d+) kB")
                .matcher(Files.readString(Path.of("/proc/" + process.pid() + "/status")));
        if (!peak.find()) {
            throw new IOException("the system tells no peak of the process's memory");
        }
        return Long.parseLong(peak.group(1)) / 1024;
    }

    /** What the system keeps for the scheduler's connections with clients, because that has not read it, in MiB. */
    long unreadMib() throws IOException {
        String localPort = String.format(":%04X", process.address().getPort());
        long bytes = 0;
        for (String line : Files.readAllLines(Path.of("/proc/net/tcp"))) {
            String[] fields = line.strip().split("\\s+");
            if (fields[LOCAL_ADDRESS_FIELD].endsWith(localPort) && !fields[STATE_FIELD].equals(LISTENING)) {
                bytes += Long.parseLong(fields[QUEUES_FIELD].split(":")[1], 16);
            }
        }
        return bytes >> 20;
    }

    /** Ends the process and the stand-ins. */
    void stop() throws IOException, InterruptedException {
        process.stop();
        serviceTimes.shutdownNow();
        for (ServerSocket listener : listeners) {
            listener.close();
        }
    }

    /** A request for a job that may not run twice. */
    static String requestText(String id, int timeoutMillis, String headers, String lengthHeader, String body) {
        return "POST /order HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: order\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: " + timeoutMillis + "\r\n"
                + headers + lengthHeader + "\r\n\r\n" + body;
    }

    /** A line of a worker's answer; fields: further ones, each behind a comma. */
    static String line(String id, String state, String fields) {
        return "{\"id\":\"" + id + "\",\"from\":\"s\",\"state\":\"" + state + "\"" + fields + "}";
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n";
    }

    /** Reads to the end of a message's head; empty if the stream ends before. */
    static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n", Math.max(0, head.length() - 4)) < 0) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        return head.toString();
    }

    static String header(String head, String name) {
        return head.lines()
                .filter(line -> line.startsWith(name + ": "))
                .map(line -> line.substring(name.length() + 2))
                .collect(Collectors.joining());
    }

    static void send(Socket to, String bytes) throws IOException {
        to.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    static Thread startThread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
