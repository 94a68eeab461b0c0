package barrowshore.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import barrowshore.config.Config;
import barrowshore.module.DispatchApi;
import barrowshore.module.Dispatcher;
import barrowshore.net.Clock;
import barrowshore.net.ManualTime;
import barrowshore.operator.ConfigFiles;
import barrowshore.operator.OperatorSettings;
import barrowshore.operator.SchedulerConfig;
import java.io.IOException;
import java.io.InputStream;
import java.io.PushbackInputStream;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryNotEmptyException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Plays recorded byte exchanges against a whole scheduler on loopback sockets. Each file under {@code exchanges} is a
 * script of blocks: a line {@code == PEER ACTION}, then the bytes. Their lines end in CR LF, unless a backslash ends them;
 * {@code @NAME ARGUMENTS} after the action takes the bytes from {@code messages/NAME}. Peers: C1, C2.. clients; S1, S2..
 * the connections that the one server accepts, in order; D1, D2.. those of discovery; E1, E2.. those of a second
 * discovery; O1, O2.. operators. {@code == figures} reads the metrics until they hold the lines given, {@code
 * == former-figures} those of the older process. Time is manual: only
 * {@code == time MILLIS} and the steps that wait "in time" advance it.
 */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ExchangeTest {
    private static final Path SCRIPTS = Path.of("src/test/resources/exchanges");
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final String SERVER_LIST =
            "{\"rev\":7,\"all\":true,\"targets\":[{\"uid\":\"s-1\",\"endpoint\":\"$S\","
                    + "\"az\":\"a\",\"model\":\"m\",\"pod_group\":0,\"state\":\"Ready\","
                    + "\"capacity_hint\":1.0,\"boot_ms\":0}]}";

    static Stream<String> scriptNames() throws IOException {
        try (Stream<Path> all = Files.list(SCRIPTS)) {
            return all.map(p -> p.getFileName().toString()).filter(n -> n.endsWith(".txt")).sorted().toList().stream();
        }
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("scriptNames")
    void schedulerFollowsTheScript(String script) throws Exception {
        try (ScriptPlayer player = new ScriptPlayer()) {
            player.play(Files.readString(SCRIPTS.resolve(script)));
        }
    }

    /** Without the handler the signal would end the test's JVM. */
    @Test
    void sigHupIsHandled() throws Exception {
        CountDownLatch heard = new CountDownLatch(1);
        HangUpSignal.handle(heard::countDown);
        Class<?> signal = Class.forName("sun.misc.Signal");
        signal.getMethod("raise", signal)
                .invoke(null, signal.getConstructor(String.class).newInstance("HUP"));
        heard.await();
    }

    /** Runs a scheduler and its scripted peers. */
    private static final class ScriptPlayer implements AutoCloseable {
        private final ManualTime time = new ManualTime();
        private final ServerSocket workerListener = new ServerSocket(0, 50, LOOPBACK);
        private final ServerSocket discoveryListener = new ServerSocket(0, 50, LOOPBACK);
        private final ServerSocket secondDiscoveryListener = new ServerSocket(0, 50, LOOPBACK);
        private final Map<String, Socket> peers = new HashMap<>();
        private String config = Files.readString(SCRIPTS.resolve("config.json"));
        private String moduleKind = "real";
        private JobScheduler scheduler;
        /** The older process during an upgrade, else null. */
        private JobScheduler predecessor;

        private final Path folder = Files.createTempDirectory("twin");
        private CountDownLatch drained;
        private ServerSocketChannel earlierVersion;

        ScriptPlayer() throws IOException {}

        void play(String script) throws Exception {
            for (String block : script.split("(?m)^== ")) {
                int end = block.indexOf('\n');
                String[] words = block.substring(0, end).strip().split(" ");
                String text = block.substring(end + 1);
                if (words.length > 2 && words[2].startsWith("@")) {
                    text = Files.readString(SCRIPTS.resolve("messages").resolve(words[2].substring(1)));
                    for (int k = 3; k < words.length; k++) {
                        text = text.replace("$" + (k - 2), words[k]);
                    }
                }
                if (words[0].startsWith("#")) {
                    continue; // the comment at the head of the script
                }
                runStep(
                        words,
                        substituteAddresses(text.replace("\n", "\r\n")
                                .replace("\\\r\n", "")
                                .replace("\\n", "\n")
                                .replace("$64K", "x".repeat(65536))
                                .replace("$4M", "x".repeat(4 << 20))
                                .replace("$16K", "k".repeat(16384))
                                .replace("$2000LINES", "\n".repeat(2000))),
                        text);
            }
        }

        /** Replaces the placeholders of addresses by those of this run. */
        private String substituteAddresses(String text) {
            return text.replace("$S", "127.0.0.1:" + workerListener.getLocalPort())
                    .replace("$D", "127.0.0.1:" + discoveryListener.getLocalPort())
                    .replace("$E", "127.0.0.1:" + secondDiscoveryListener.getLocalPort());
        }

        private void runStep(String[] words, String bytes, String text) throws Exception {
            switch (words[0]) {
                case "config" -> config = config.replace(words[1], words[2]);
                case "reload" -> {
                    config = config.replace(substituteAddresses(words[1]), substituteAddresses(words[2]));
                    String file = config;
                    scheduler.reload(() -> new SchedulerConfig(Config.parse(file), OperatorSettings.NONE));
                }
                case "look-again" -> replaceConfigFile(substituteAddresses(words[1]), substituteAddresses(words[2]));
                case "module" -> moduleKind = words[1];
                case "start" -> startScheduler();
                case "follow" -> {
                    predecessor = scheduler;
                    config = config.replace(
                            "127.0.0.1:0\",\"discovery",
                            "127.0.0.1:" + scheduler.address().getPort() + "\",\"discovery");
                    startScheduler();
                }
                case "followed" -> awaitFollower();
                case "followed-in-time" -> awaitFollowerInTime();
                case "left-to-the-next" -> {
                    while (predecessor.isListening()) {
                        Thread.onSpinWait();
                    }
                }
                case "former-ends" -> {
                    predecessor.stop();
                    predecessor = null;
                }
                case "saved" -> awaitSavedList(words[1]);
                case "hangs" -> hangScheduler();
                case "earlier-version-runs" -> startEarlierVersion();
                case "earlier-version-ends" -> endEarlierVersion();
                case "next-dies" -> {
                    scheduler.stop();
                    scheduler = predecessor;
                    predecessor = null;
                    while (scheduler.isSuccessorServing()) {
                        Thread.onSpinWait();
                    }
                }
                case "ready" -> {
                    startScheduler();
                    sendList("D1", SERVER_LIST);
                    awaitReady(0);
                }
                case "until-ready" -> awaitReady(0);
                case "until-ready-in-time" -> awaitReady(100);
                case "idle" -> {
                    for (int number = 1; number <= Integer.parseInt(words[1]); number++) {
                        Socket idle = peer("C-idle" + number, false);
                        send(idle, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
                        assertThat(readMessage(idle.getInputStream())).startsWith("HTTP/1.1 200");
                    }
                }
                case "figures" -> awaitMetrics(scheduler, text.strip().split("\n"));
                case "former-figures" -> awaitMetrics(predecessor, text.strip().split("\n"));
                case "term" -> drained = (predecessor == null ? scheduler : predecessor).drain();
                case "gone" -> {
                    while (!drained.await(1, TimeUnit.MILLISECONDS)) {
                        time.advance(100);
                    }
                }
                case "time" -> time.advance(Long.parseLong(words[1]));
                case "no-more" -> {
                    workerListener.setSoTimeout(1);
                    assertThatThrownBy(workerListener::accept).isInstanceOf(SocketTimeoutException.class);
                }
                default -> actAsPeer(words[0], words[1], words.length > 2 ? words[2] : "", bytes, text);
            }
        }

        private void awaitFollower() {
            while (!predecessor.isSuccessorServing()) {
                Thread.onSpinWait();
            }
        }

        /** Advances time until the successor serves; between the steps the predecessor answers a call. */
        private void awaitFollowerInTime() throws IOException {
            while (!predecessor.isSuccessorServing()) {
                time.advance(10);
                try (Socket asker = new Socket(LOOPBACK, predecessor.address().getPort())) {
                    send(asker, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
                    readMessage(asker.getInputStream());
                }
            }
        }

        /** A process that takes the upgrade link's connection and understands nothing that it is told. */
        private void startEarlierVersion() throws IOException {
            earlierVersion = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
            earlierVersion.bind(UnixDomainSocketAddress.of(folder.resolve("t")));
        }

        /** Waits until the scheduler has saved a list of that revision for the next process. */
        private void awaitSavedList(String revision) throws IOException {
            while (!Files.exists(savedList()) || !Files.readString(savedList()).contains("\"rev\":" + revision + ",")) {
                Thread.onSpinWait();
            }
        }

        private Path savedList() {
            return folder.resolve("t.list");
        }

        /** Of the scheduler only its upgrade link's socket stays, which says nothing more. */
        private void hangScheduler() throws IOException {
            scheduler.stop();
            Files.delete(folder.resolve("t"));
            startEarlierVersion();
        }

        private void endEarlierVersion() throws IOException {
            earlierVersion.close();
            while (scheduler.hasOtherProcess()) {
                Thread.onSpinWait();
            }
        }

        private void replaceConfigFile(String part, String instead) throws Exception {
            Path file = folder.resolve("config.json");
            Files.writeString(file, config);
            ConfigFiles files = new ConfigFiles(file, null, null);
            files.read();
            scheduler.reloadIfChanged(files); // unchanged: must not reload
            config = config.replace(part, instead);
            // Replaced atomically: a read between truncation and write would find an invalid file.
            Path next = folder.resolve("config.next");
            Files.writeString(next, config);
            Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
            scheduler.reloadIfChanged(files);
            scheduler.reloadIfChanged(files);
        }

        private void actAsPeer(String name, String action, String status, String bytes, String text) throws Exception {
            Socket peer = peer(name, action.equals("reopens"));
            switch (action) {
                case "connects", "reopens" -> {}
                case "ends-in-time", "gets-in-time" -> {
                    // Advances time until there is something to read: the test cannot see when the timer is set.
                    PushbackInputStream in = new PushbackInputStream(peer.getInputStream());
                    peer.setSoTimeout(1);
                    int first = -2;
                    while (first == -2) {
                        time.advance(25);
                        try {
                            first = in.read();
                        } catch (SocketTimeoutException e) {
                            continue;
                        }
                    }
                    if (action.equals("ends-in-time")) {
                        assertThat(first).as(name + " ends").isEqualTo(-1);
                    } else {
                        peer.setSoTimeout(0);
                        in.unread(first);
                        assertThat(readMessage(in)).as(name + " gets").isEqualTo(bytes);
                    }
                }
                case "sends" -> send(peer, bytes);
                case "sends-unheard" -> {
                    // A closed socket answers the first send with a reset, so that the second fails. The other client's
                    // call before each makes the selector run, which closes the sockets that are due.
                    for (int k = 0; k < 2; k++) {
                        try (Socket asker =
                                new Socket(LOOPBACK, scheduler.address().getPort())) {
                            send(asker, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
                            assertThat(readMessage(asker.getInputStream())).startsWith("HTTP/1.1 200");
                        }
                        send(peer, bytes);
                    }
                }
                case "is-rejected" -> {
                    send(peer, bytes);
                    actAsPeer(name, "ends-in-answer", status, "", "");
                }
                case "chunks" -> {
                    for (String line : text.strip().split("\n")) {
                        send(peer, Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
                    }
                }
                case "lists" -> sendList(name, text.strip());
                case "ends-in-answer" -> {
                    assertThat(readMessage(peer.getInputStream()))
                            .as(name)
                            .startsWith("HTTP/1.1 " + status + " ")
                            .contains("Connection: close");
                    assertThat(isAtEnd(peer)).as(name + " ends").isTrue();
                }
                case "gets" -> assertThat(readMessage(peer.getInputStream()))
                        .as(name + " gets")
                        .isEqualTo(bytes);
                case "ends" -> assertThat(isAtEnd(peer)).as(name + " ends").isTrue();
                case "closes" -> peer.close();
                case "resets" -> {
                    peer.setSoLinger(true, 0);
                    peer.close();
                }
                default -> throw new IllegalArgumentException("unknown action: " + action);
            }
        }

        private void startScheduler() throws Exception {
            config = substituteAddresses(config);
            Config read = Config.parse(config);
            scheduler = new JobScheduler(
                    new SchedulerConfig(read, OperatorSettings.NONE),
                    new Clock(1_700_000_000_000L, time::nanos),
                    time,
                    folder.resolve("t"),
                    actions -> switch (moduleKind) {
                        case "silent" -> faultyModule(false);
                        case "broken" -> faultyModule(true);
                        default -> new Dispatcher(read.settings(), actions);
                    });
        }

        /** A module that never acts, or throws at each request. */
        private static DispatchApi faultyModule(boolean throwing) {
            return (DispatchApi) Proxy.newProxyInstance(
                    DispatchApi.class.getClassLoader(), new Class<?>[] {DispatchApi.class}, (proxy, method, args) -> {
                        if (throwing && method.getName().equals("request")) {
                            throw new IllegalStateException("broken on purpose");
                        }
                        return null;
                    });
        }

        private Socket peer(String name, boolean advancingTime) throws IOException {
            Socket socket = peers.get(name);
            if (socket == null) {
                socket = switch (name.charAt(0)) {
                    case 'O' -> new Socket(LOOPBACK, scheduler.opsAddress().getPort());
                    case 'C' -> new Socket(LOOPBACK, scheduler.address().getPort());
                    case 'S' -> workerListener.accept();
                    case 'D' -> advancingTime ? acceptDiscoveryAdvancingTime() : discoveryListener.accept();
                    case 'E' -> secondDiscoveryListener.accept();
                    default -> throw new IllegalArgumentException("unknown peer: " + name);
                };
                socket.setTcpNoDelay(true);
                peers.put(name, socket);
            }
            return socket;
        }

        private Socket acceptDiscoveryAdvancingTime() throws IOException {
            // Small steps: time must not pass the connect timeout while another thread has yet to connect.
            discoveryListener.setSoTimeout(8);
            while (true) {
                time.advance(10);
                try {
                    return discoveryListener.accept();
                } catch (SocketTimeoutException e) {
                    continue;
                }
            }
        }

        /** Advances time by a small step, after which a call of discovery may come: it is left unanswered. */
        private void leaveDiscoveryCallUnanswered() throws IOException {
            time.advance(10);
            discoveryListener.setSoTimeout(1);
            try {
                peers.put("unanswered " + peers.size(), discoveryListener.accept());
            } catch (SocketTimeoutException e) {
                return; // none has come
            }
        }

        /**
         * Sends the whole list, as a response or as the first line of a watch, as requested; or, with "+", a watch line. A
         * watch begins with the revision of the configuration, or with the one that the older process has told.
         */
        private void sendList(String name, String line) throws IOException {
            Socket watch = peer(name, false);
            if (!line.startsWith("+")) {
                String list = substituteAddresses(line), asked = readMessage(watch.getInputStream());
                if (asked.startsWith("GET /api/targets?watch=1&after=5 HTTP/1.1\r\n")
                        || predecessor != null && asked.startsWith("GET /api/targets?watch=1&after=7 HTTP/1.1\r\n")) {
                    send(watch, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    sendList(name, "+" + line);
                    return;
                }
                assertThat(asked).startsWith("GET /api/targets HTTP/1.1\r\n");
                send(watch, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
                assertThat(readMessage(watch.getInputStream())).startsWith("GET /api/targets?watch=1&after=");
                send(watch, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                return;
            }
            String json = substituteAddresses(line.substring(1)) + "\n";
            // Two chunks that split the line, since chunk boundaries may fall anywhere.
            String firstPart = json.substring(0, json.length() / 2), secondPart = json.substring(json.length() / 2);
            send(
                    watch,
                    Integer.toHexString(firstPart.length()) + "\r\n" + firstPart + "\r\n"
                            + Integer.toHexString(secondPart.length()) + "\r\n" + secondPart + "\r\n");
        }

        /** Asks over a new connection each time, since a scheduler that sends clients away closes it after the answer. */
        private void awaitReady(long stepMillis) throws IOException {
            String answer = "";
            while (!scheduler.isListening()) {
                if (stepMillis > 0) {
                    leaveDiscoveryCallUnanswered();
                }
                Thread.onSpinWait();
            }
            while (!answer.startsWith("HTTP/1.1 200")) {
                time.advance(stepMillis);
                try (Socket asker = new Socket(LOOPBACK, scheduler.address().getPort())) {
                    send(asker, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
                    answer = readMessage(asker.getInputStream());
                }
            }
        }

        /** Reads the metrics until they hold the lines, since they are published asynchronously. */
        private static void awaitMetrics(JobScheduler from, String[] lines) throws IOException {
            List<String> metrics = List.of();
            for (int tries = 0; tries < 20_000 && !metrics.containsAll(List.of(lines)); tries++) {
                try (Socket asker = new Socket(LOOPBACK, from.opsAddress().getPort())) {
                    send(asker, "GET /v1/metrics HTTP/1.1\r\nHost: x\r\n\r\n");
                    metrics = List.of(readMessage(asker.getInputStream()).split("\r?\n"));
                }
            }
            assertThat(metrics).contains(lines);
        }

        private static void send(Socket to, String bytes) throws IOException {
            to.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            to.getOutputStream().flush();
        }

        /** Reads a message framed by its Content-Length; replaces a valid Retry-After value by "~". */
        private static String readMessage(InputStream in) throws IOException {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int b = in.read();
                if (b < 0) {
                    return head + "(end)";
                }
                head.append((char) b);
            }
            List<String> lines = new ArrayList<>(List.of(head.toString().split("\r\n")));
            int length = lines.stream()
                    .filter(l -> l.startsWith("Content-Length: "))
                    .mapToInt(l -> Integer.parseInt(l.substring(16)))
                    .findFirst()
                    .orElse(0);
            String body = new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
            return head.toString().replaceAll("Retry-After: (0\\.0*[1-9][0-9]*|[1-9][0-9.]*)", "Retry-After: ~") + body;
        }

        private static boolean isAtEnd(Socket peer) throws IOException {
            try {
                return peer.getInputStream().read() < 0;
            } catch (SocketException e) {
                return true; // a reset ends the connection too
            }
        }

        /** A scheduler that was stopped may still be writing its list. */
        private void deleteFolder() throws IOException {
            boolean deleted = false;
            while (!deleted) {
                try (Stream<Path> files = Files.list(folder)) {
                    for (Path file : files.toList()) {
                        Files.deleteIfExists(file);
                    }
                }
                try {
                    Files.delete(folder);
                    deleted = true;
                } catch (DirectoryNotEmptyException e) {
                    deleted = false;
                }
            }
        }

        @Override
        public void close() throws IOException {
            for (Socket peer : peers.values()) {
                peer.close();
            }
            for (JobScheduler each : new JobScheduler[] {scheduler, predecessor}) {
                if (each != null) {
                    each.stop();
                }
            }
            if (earlierVersion != null) {
                earlierVersion.close();
            }
            deleteFolder();
            workerListener.close();
            discoveryListener.close();
            secondDiscoveryListener.close();
        }
    }
}
