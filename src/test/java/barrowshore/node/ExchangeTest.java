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
import java.nio.charset.StandardCharsets;
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
 * script of blocks: a line {@code == WHO DOES}, then the bytes, whose lines end in CR LF unless a backslash ends them;
 * {@code @NAME ARGUMENTS} behind it stands for the bytes in {@code messages/NAME}. C1, C2.. are clients, S1, S2.. the
 * connections that the one server accepts, in order, D1, D2.. discovery's, E1, E2.. those of a second discovery, O1,
 * O2.. operators; {@code == figures} reads the door's figures until they hold the lines given. Time stands still but for
 * {@code == time MILLIS} and the steps that move it on until something comes; nothing here waits for a clock.
 */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ExchangeTest {
    private static final Path FILES = Path.of("src/test/resources/exchanges");
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final String LIST = "{\"rev\":7,\"all\":true,\"targets\":[{\"uid\":\"s-1\",\"endpoint\":\"$S\","
            + "\"az\":\"a\",\"model\":\"m\",\"pod_group\":0,\"state\":\"Ready\",\"capacity_hint\":1.0,\"boot_ms\":0}]}";

    static Stream<String> files() throws IOException {
        try (Stream<Path> all = Files.list(FILES)) {
            return all.map(p -> p.getFileName().toString()).filter(n -> n.endsWith(".txt")).sorted().toList().stream();
        }
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("files")
    void plays(String file) throws Exception {
        try (Stage stage = new Stage()) {
            stage.play(Files.readString(FILES.resolve(file)));
        }
    }

    /** Without the handler the signal ends the JVM that runs this. */
    @Test
    void sigHupIsHandled() throws Exception {
        CountDownLatch heard = new CountDownLatch(1);
        JobScheduler.onHangUp(heard::countDown);
        Class<?> signal = Class.forName("sun.misc.Signal");
        signal.getMethod("raise", signal)
                .invoke(null, signal.getConstructor(String.class).newInstance("HUP"));
        heard.await();
    }

    /** The scheduler and its scripted peers. */
    private static final class Stage implements AutoCloseable {
        private final ManualTime time = new ManualTime();
        private final ServerSocket servers = new ServerSocket(0, 50, LOOPBACK);
        private final ServerSocket discovery = new ServerSocket(0, 50, LOOPBACK);
        private final ServerSocket elsewhere = new ServerSocket(0, 50, LOOPBACK);
        private final Map<String, Socket> peers = new HashMap<>();
        private String config = Files.readString(FILES.resolve("config.json"));
        private String module = "real";
        private JobScheduler node;
        /** The process that the node follows, once it does. */
        private JobScheduler former;

        private final Path folder = Files.createTempDirectory("twin");
        private CountDownLatch draining;

        Stage() throws IOException {}

        void play(String script) throws Exception {
            for (String block : script.split("(?m)^== ")) {
                int end = block.indexOf('\n');
                String[] words = block.substring(0, end).strip().split(" ");
                String text = block.substring(end + 1);
                if (words.length > 2 && words[2].startsWith("@")) {
                    text = Files.readString(FILES.resolve("messages").resolve(words[2].substring(1)));
                    for (int k = 3; k < words.length; k++) {
                        text = text.replace("$" + (k - 2), words[k]);
                    }
                }
                if (words[0].startsWith("#")) {
                    continue; // the opening remark
                }
                step(
                        words,
                        named(text.replace("\n", "\r\n")
                                .replace("\\\r\n", "")
                                .replace("\\n", "\n")
                                .replace("$64K", "x".repeat(65536))
                                .replace("$16K", "k".repeat(16384))
                                .replace("$2000LINES", "\n".repeat(2000))),
                        text);
            }
        }

        /** Puts in the addresses of this run. */
        private String named(String text) {
            return text.replace("$S", "127.0.0.1:" + servers.getLocalPort())
                    .replace("$D", "127.0.0.1:" + discovery.getLocalPort())
                    .replace("$E", "127.0.0.1:" + elsewhere.getLocalPort());
        }

        private void step(String[] words, String bytes, String text) throws Exception {
            switch (words[0]) {
                case "config" -> config = config.replace(words[1], words[2]);
                case "reload" -> {
                    config = config.replace(named(words[1]), named(words[2]));
                    String file = config;
                    node.reload(() -> new SchedulerConfig(Config.parse(file), OperatorSettings.NONE));
                }
                case "look-again" -> lookAgain(named(words[1]), named(words[2]));
                case "module" -> module = words[1];
                case "start" -> start();
                case "follow" -> {
                    former = node;
                    config = config.replace(
                            "127.0.0.1:0\",\"discovery",
                            "127.0.0.1:" + node.address().getPort() + "\",\"discovery");
                    start();
                }
                case "followed" -> {
                    while (!former.isFollowed()) {
                        Thread.onSpinWait();
                    }
                }
                case "left-to-the-next" -> {
                    while (former.listens()) {
                        Thread.onSpinWait();
                    }
                }
                case "former-ends" -> {
                    former.stop();
                    former = null;
                }
                case "next-dies" -> {
                    node.stop();
                    node = former;
                    former = null;
                    while (node.isFollowed()) {
                        Thread.onSpinWait();
                    }
                }
                case "ready" -> {
                    start();
                    list("D1", LIST);
                    untilReady(0);
                }
                case "until-ready" -> untilReady(0);
                case "until-ready-in-time" -> untilReady(100);
                case "idle" -> {
                    for (int k = 1; k <= Integer.parseInt(words[1]); k++) {
                        Socket idle = peer("C-idle" + k, false);
                        send(idle, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
                        assertThat(message(idle.getInputStream())).startsWith("HTTP/1.1 200");
                    }
                }
                case "figures" -> untilFigures(text.strip().split("\n"));
                case "term" -> draining = (former == null ? node : former).drain();
                case "gone" -> {
                    while (!draining.await(1, TimeUnit.MILLISECONDS)) {
                        time.advance(100);
                    }
                }
                case "time" -> time.advance(Long.parseLong(words[1]));
                case "no-more" -> {
                    servers.setSoTimeout(1);
                    assertThatThrownBy(servers::accept).isInstanceOf(SocketTimeoutException.class);
                }
                default -> act(words[0], words[1], words.length > 2 ? words[2] : "", bytes, text);
            }
        }

        private void lookAgain(String part, String instead) throws Exception {
            Path file = folder.resolve("config.json");
            Files.writeString(file, config);
            ConfigFiles files = new ConfigFiles(file, null, null);
            files.read();
            node.lookAgain(files); // it is as it was
            config = config.replace(part, instead);
            // Put in its place whole: a look between the truncation and the bytes would find a bad file.
            Path next = folder.resolve("config.next");
            Files.writeString(next, config);
            Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
            node.lookAgain(files);
            node.lookAgain(files);
        }

        private void act(String who, String does, String status, String bytes, String text) throws Exception {
            Socket peer = peer(who, does.equals("reopens"));
            switch (does) {
                case "connects", "reopens" -> {}
                case "ends-in-time", "gets-in-time" -> {
                    // Time moves on until there is something to read, since nothing else shows that a timer is set.
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
                    if (does.equals("ends-in-time")) {
                        assertThat(first).as(who + " ends").isEqualTo(-1);
                    } else {
                        peer.setSoTimeout(0);
                        in.unread(first);
                        assertThat(message(in)).as(who + " gets").isEqualTo(bytes);
                    }
                }
                case "sends" -> send(peer, bytes);
                case "sends-unheard" -> {
                    // A socket that was closed answers the first with a reset, and then the second fails. Another's
                    // call in
                    // between takes the selector through its rounds, in which it closes what was given to it to close.
                    for (int k = 0; k < 2; k++) {
                        try (Socket asker = new Socket(LOOPBACK, node.address().getPort())) {
                            send(asker, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
                            assertThat(message(asker.getInputStream())).startsWith("HTTP/1.1 200");
                        }
                        send(peer, bytes);
                    }
                }
                case "is-rejected" -> {
                    send(peer, bytes);
                    act(who, "ends-in-answer", status, "", "");
                }
                case "chunks" -> {
                    for (String line : text.strip().split("\n")) {
                        send(peer, Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
                    }
                }
                case "lists" -> list(who, text.strip());
                case "ends-in-answer" -> {
                    assertThat(message(peer.getInputStream()))
                            .as(who)
                            .startsWith("HTTP/1.1 " + status + " ")
                            .contains("Connection: close");
                    assertThat(atEnd(peer)).as(who + " ends").isTrue();
                }
                case "gets" -> assertThat(message(peer.getInputStream()))
                        .as(who + " gets")
                        .isEqualTo(bytes);
                case "ends" -> assertThat(atEnd(peer)).as(who + " ends").isTrue();
                case "closes" -> peer.close();
                case "resets" -> {
                    peer.setSoLinger(true, 0);
                    peer.close();
                }
                default -> throw new IllegalArgumentException("no such step: " + does);
            }
        }

        private void start() throws Exception {
            config = named(config);
            Config read = Config.parse(config);
            node = new JobScheduler(
                    new SchedulerConfig(read, OperatorSettings.NONE),
                    new Clock(1_700_000_000_000L, time::nanos),
                    time,
                    folder.resolve("t"),
                    actions -> switch (module) {
                        case "silent" -> faulty(false);
                        case "broken" -> faulty(true);
                        default -> new Dispatcher(read.settings(), actions);
                    });
        }

        /** A module that never orders anything, or throws at each request. */
        private static DispatchApi faulty(boolean throwing) {
            return (DispatchApi) Proxy.newProxyInstance(
                    DispatchApi.class.getClassLoader(), new Class<?>[] {DispatchApi.class}, (proxy, method, args) -> {
                        if (throwing && method.getName().equals("request")) {
                            throw new IllegalStateException("broken on purpose");
                        }
                        return null;
                    });
        }

        private Socket peer(String name, boolean inTime) throws IOException {
            Socket known = peers.get(name);
            if (known == null) {
                known = switch (name.charAt(0)) {
                    case 'O' -> new Socket(LOOPBACK, node.operators().getPort());
                    case 'C' -> new Socket(LOOPBACK, node.address().getPort());
                    case 'S' -> servers.accept();
                    case 'D' -> inTime ? acceptInTime() : discovery.accept();
                    case 'E' -> elsewhere.accept();
                    default -> throw new IllegalArgumentException("no such peer: " + name);
                };
                known.setTcpNoDelay(true);
                peers.put(name, known);
            }
            return known;
        }

        private Socket acceptInTime() throws IOException {
            // Time must not run past the dial's own limit while another thread has yet to dial.
            discovery.setSoTimeout(8);
            while (true) {
                time.advance(10);
                try {
                    return discovery.accept();
                } catch (SocketTimeoutException e) {
                    continue;
                }
            }
        }

        /** Tells the whole list, by itself or as a watch's first line, as it is asked for; or (+) a line of the watch. */
        private void list(String who, String line) throws IOException {
            Socket watch = peer(who, false);
            if (!line.startsWith("+")) {
                String list = named(line), asked = message(watch.getInputStream());
                if (asked.startsWith("GET /api/targets?watch=1&after=5 HTTP/1.1\r\n")) {
                    send(watch, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    list(who, "+" + line);
                    return;
                }
                assertThat(asked).startsWith("GET /api/targets HTTP/1.1\r\n");
                send(watch, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
                assertThat(message(watch.getInputStream())).startsWith("GET /api/targets?watch=1&after=");
                send(watch, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                return;
            }
            String json = named(line.substring(1)) + "\n";
            // In two chunks that end mid-line: boundaries may fall anywhere.
            String one = json.substring(0, json.length() / 2), two = json.substring(json.length() / 2);
            send(
                    watch,
                    Integer.toHexString(one.length()) + "\r\n" + one + "\r\n" + Integer.toHexString(two.length())
                            + "\r\n" + two + "\r\n");
        }

        /** Each time by a new connection: one that is told no while clients are sent away ends with that. */
        private void untilReady(long step) throws IOException {
            String answer = "";
            while (!answer.startsWith("HTTP/1.1 200")) {
                time.advance(step);
                try (Socket asker = new Socket(LOOPBACK, node.address().getPort())) {
                    send(asker, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
                    answer = message(asker.getInputStream());
                }
            }
        }

        /** Published by their owner when it comes to it, so they are read until they are there. */
        private void untilFigures(String[] lines) throws IOException {
            List<String> got = List.of();
            for (int k = 0; k < 20_000 && !got.containsAll(List.of(lines)); k++) {
                try (Socket asker = new Socket(LOOPBACK, node.operators().getPort())) {
                    send(asker, "GET /v1/metrics HTTP/1.1\r\nHost: x\r\n\r\n");
                    got = List.of(message(asker.getInputStream()).split("\r?\n"));
                }
            }
            assertThat(got).contains(lines);
        }

        private static void send(Socket to, String bytes) throws IOException {
            to.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            to.getOutputStream().flush();
        }

        /** One message, framed by its Content-Length; the time to come back at is only seen to be one. */
        private static String message(InputStream in) throws IOException {
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

        private static boolean atEnd(Socket peer) throws IOException {
            try {
                return peer.getInputStream().read() < 0;
            } catch (SocketException e) {
                return true; // a reset ends a connection too
            }
        }

        @Override
        public void close() throws IOException {
            for (Socket peer : peers.values()) {
                peer.close();
            }
            for (JobScheduler each : new JobScheduler[] {node, former}) {
                if (each != null) {
                    each.stop();
                }
            }
            Files.deleteIfExists(folder.resolve("config.json"));
            Files.deleteIfExists(folder.resolve("t"));
            Files.delete(folder);
            servers.close();
            discovery.close();
            elsewhere.close();
        }
    }
}
