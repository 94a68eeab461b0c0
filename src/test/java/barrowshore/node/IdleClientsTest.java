package barrowshore.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.condition.EnabledOnOs;
import org.junit.jupiter.api.condition.OS;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against idle clients using up the scheduler's descriptors. They keep filling those of a scheduler in its own
 * process while discovery is down: the limit must hold, and the scheduler must still reach workers and discovery.
 */
@EnabledOnOs(OS.LINUX)
@Timeout(value = 90, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class IdleClientsTest {
    /**
     * The scheduler's limit. The kernel's table of a process's descriptors grows by powers of two and never shrinks, so its
     * size tells whether the process ever had more.
     */
    private static final int MAX_DESCRIPTORS = 256;
    /** Idle clients open at a time: more than twice the limit of descriptors. */
    private static final int MAX_IDLE_CLIENTS = 600;
    /** New idle clients that {@link #awaitMoreIdleClients} waits for. */
    private static final int NEW_IDLE_CLIENTS_PER_WAIT = MAX_IDLE_CLIENTS;

    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final String CHUNKED_RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    @TempDir
    private Path folder;

    private final ServerSocket firstWorker = new ServerSocket(0, 50, LOOPBACK);
    private final ServerSocket secondWorker = new ServerSocket(0, 50, LOOPBACK);
    private final ServerSocket thirdWorker = new ServerSocket(0, 50, LOOPBACK);
    /** Connections from the scheduler to workers that are not handled yet. */
    private final BlockingQueue<Socket> workerConnections = new LinkedBlockingQueue<>();

    private final AtomicInteger idleClientCount = new AtomicInteger();
    private int requestCount;
    private int listenPort;
    private int discoveryPort;
    private Process scheduler;
    private Thread idleClientThread;

    IdleClientsTest() throws IOException {}

    @BeforeEach
    void start() throws Exception {
        for (ServerSocket worker : List.of(firstWorker, secondWorker, thirdWorker)) {
            new Thread(() -> acceptAll(worker), "worker").start();
        }
        listenPort = freePort();
        discoveryPort = freePort();
        writeConfig(discoveryPort);
        scheduler = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx64m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "barrowshore.cli.Main",
                        "serve",
                        "--config",
                        folder.resolve("config.json").toString())
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("scheduler.log").toFile())
                .start();
    }

    @AfterEach
    void stop() throws Exception {
        if (idleClientThread != null) {
            idleClientThread.interrupt();
            idleClientThread.join();
        }
        scheduler.destroyForcibly().waitFor();
        firstWorker.close();
        secondWorker.close();
        thirdWorker.close();
    }

    @Test
    void theLimitHoldsAndDiscoveryAndWorkersAreReached() throws Exception {
        awaitReady();
        assertThat(descriptorTableSize()).as("descriptors before any client").isLessThanOrEqualTo(MAX_DESCRIPTORS);
        try (Socket held = new Socket(LOOPBACK, listenPort)) {
            serveRequest(held, firstWorker);
            idleClientThread = new Thread(this::openIdleClients, "flood");
            idleClientThread.start();
            awaitMoreIdleClients();
            // Discovery is down: a request on a held connection still gets a new connection to the worker.
            serveRequest(held, firstWorker);

            try (ServerSocket discovery = listen(discoveryPort);
                    Socket watch = discovery.accept()) {
                assertThat(readHead(watch.getInputStream())).startsWith("GET /api/targets?watch=1&after=5 ");
                send(watch, CHUNKED_RESPONSE_HEAD);
                awaitMoreIdleClients();
                sendTargets(
                        watch,
                        6,
                        false,
                        targetJson("s-1", firstWorker, "Terminating"),
                        targetJson("s-2", secondWorker, "Ready"));
                serveRequest(held, secondWorker);
                awaitMoreIdleClients();

                // Discovery moves to a new address.
                try (ServerSocket elsewhere = new ServerSocket(0, 50, LOOPBACK)) {
                    writeConfig(elsewhere.getLocalPort());
                    new ProcessBuilder("kill", "-HUP", Long.toString(scheduler.pid()))
                            .start()
                            .waitFor();
                    try (Socket moved = elsewhere.accept()) {
                        assertThat(readHead(moved.getInputStream())).startsWith("GET /api/targets");
                        sendWholeList(moved, targetJson("s-3", thirdWorker, "Ready"));
                        assertThat(watch.getInputStream().read())
                                .as("the watch at the old address ends")
                                .isEqualTo(-1);
                        serveRequest(held, thirdWorker);
                    }
                }
            }
        }
        assertThat(descriptorTableSize()).as("descriptors at any moment").isLessThanOrEqualTo(MAX_DESCRIPTORS);
    }

    private void writeConfig(int discovery) throws IOException {
        String config = Files.readString(Path.of("src/test/resources/exchanges/config.json"))
                .replace("\"ops\":\"127.0.0.1:0\",", "")
                .replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:" + listenPort + "\"")
                .replace("$D", "127.0.0.1:" + discovery)
                .replace("$S", "127.0.0.1:" + firstWorker.getLocalPort())
                // On a busy machine a connect may take long, and a timed-out one would prove nothing here.
                .replace("\"dialTimeout\":250000", "\"dialTimeout\":10000000")
                .replace("\"sockets\":1024", "\"sockets\":" + MAX_DESCRIPTORS);
        Path next = folder.resolve("config.next");
        Files.writeString(next, config);
        Files.move(next, folder.resolve("config.json"), StandardCopyOption.ATOMIC_MOVE);
    }

    private static int freePort() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, LOOPBACK)) {
            return any.getLocalPort();
        }
    }

    private static ServerSocket listen(int port) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(LOOPBACK, port));
        return server;
    }

    /** Size of the kernel's table of the scheduler's descriptors: at most so many were ever open. */
    private int descriptorTableSize() throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(scheduler.pid()), "status")).stream()
                .filter(line -> line.startsWith("FDSize:"))
                .mapToInt(line -> Integer.parseInt(line.substring(7).strip()))
                .findFirst()
                .orElseThrow();
    }

    private void awaitReady() throws IOException {
        for (boolean ready = false; !ready; ) {
            assertThat(scheduler.isAlive()).isTrue();
            try (Socket asker = new Socket(LOOPBACK, listenPort)) {
                send(asker, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
                ready = readHead(asker.getInputStream()).startsWith("HTTP/1.1 200");
            } catch (IOException e) {
                continue; // not up yet
            }
        }
    }

    /** Opens clients that send nothing, send half a request or close their output; above the maximum closes the oldest. */
    private void openIdleClients() {
        Deque<Socket> idle = new ArrayDeque<>();
        while (!Thread.currentThread().isInterrupted()) {
            try {
                Socket client = new Socket(LOOPBACK, listenPort);
                idle.add(client);
                switch (idleClientCount.incrementAndGet() % 3) {
                    case 0 -> send(client, "POST /order HTTP/1.1\r\nHost: app.svc\r\nX-Req");
                    case 1 -> client.shutdownOutput();
                    default -> {}
                }
                if (idle.size() > MAX_IDLE_CLIENTS) {
                    idle.remove().close();
                }
            } catch (IOException e) {
                continue; // the scheduler closed it at once
            }
        }
        idle.forEach(IdleClientsTest::close);
    }

    private static void close(Socket client) {
        try {
            client.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void awaitMoreIdleClients() {
        int enough = idleClientCount.get() + NEW_IDLE_CLIENTS_PER_WAIT;
        while (idleClientCount.get() < enough) {
            Thread.onSpinWait();
        }
    }

    /** Repeats requests until one reaches that worker, since the scheduler may not know the new list yet. */
    private void serveRequest(Socket client, ServerSocket worker) throws Exception {
        for (int port = 0; port != worker.getLocalPort(); ) {
            port = serveRequest(client);
        }
    }

    /** Sends a request that must not run twice, and so gets a new connection; returns its worker's port. */
    private int serveRequest(Socket client) throws Exception {
        String id = "a" + ++requestCount;
        send(
                client,
                "POST /order HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: " + id
                        + "\r\nX-Priority-Class: order\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 60000"
                        + "\r\nContent-Length: 2\r\n\r\nab");
        return answerAsWorker(client, id);
    }

    /** Answers the request as its worker and reads the client's response; returns the worker's port. */
    private int answerAsWorker(Socket client, String id) throws Exception {
        try (Socket worker = nextWorkerConnection(client)) {
            String asked = readHead(worker.getInputStream());
            if (asked.isEmpty()) {
                return answerAsWorker(
                        client, id); // it came up as its worker left the list, so nothing may be sent on it
            }
            assertThat(asked).startsWith("POST /order ").contains("X-Request-ID: " + id);
            send(
                    worker,
                    CHUNKED_RESPONSE_HEAD
                            + chunk("{\"id\":\"" + id + "\",\"from\":\"s\",\"state\":\"done\",\"result\":\"ok\"}"));
            send(worker, "0\r\n\r\n");
            assertThat(readHead(client.getInputStream())).startsWith("HTTP/1.1 200 ");
            assertThat(client.getInputStream().readNBytes(2)).containsExactly('o', 'k');
            return worker.getLocalPort();
        }
    }

    /** Waits for the next connection to a worker; asserts that the client has no answer before it. */
    private Socket nextWorkerConnection(Socket client) throws Exception {
        Socket next = null;
        while (next == null) {
            assertThat(client.getInputStream().available())
                    .as("bytes of an answer that no worker gave")
                    .isZero();
            next = workerConnections.poll(10, TimeUnit.MILLISECONDS);
        }
        return next;
    }

    private void acceptAll(ServerSocket worker) {
        try {
            while (true) {
                workerConnections.add(worker.accept());
            }
        } catch (IOException e) {
            return; // closed: the test is over
        }
    }

    private static String targetJson(String uid, ServerSocket worker, String state) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + worker.getLocalPort()
                + "\",\"az\":\"a\",\"model\":\"m\",\"state\":\"" + state + "\"}";
    }

    private static String targetListJson(int rev, boolean all, String... entries) {
        return "{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":[" + String.join(",", entries) + "]}";
    }

    private static void sendTargets(Socket watch, int rev, boolean all, String... entries) throws IOException {
        send(watch, chunk(targetListJson(rev, all, entries)));
    }

    /** Answers the request for the whole list, and the watch that follows it. */
    private static void sendWholeList(Socket discovery, String... entries) throws IOException {
        String list = targetListJson(3, true, entries);
        send(discovery, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
        assertThat(readHead(discovery.getInputStream())).startsWith("GET /api/targets?watch=1&after=3 ");
        send(discovery, CHUNKED_RESPONSE_HEAD);
    }

    private static String chunk(String line) {
        return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
    }

    private static void send(Socket to, String bytes) throws IOException {
        to.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return head.toString();
            }
            head.append((char) next);
        }
        return head.toString();
    }
}
