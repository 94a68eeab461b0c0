import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A stand-in for discovery's agent: the whole list by GET /api/targets, and a watch with the changes since a version, an
 * empty line every 2 s. Each call can be answered late, or not at all.
 */
final class Discovery {
    private static final long HEARTBEAT_MILLIS = 2000;

    private record Entry(long revision, boolean gone, String json) {}

    private final Listener listener;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long revision = 40;
    /** How late each call is answered. */
    volatile long answerDelayMillis;
    /** Down: calls stay unanswered and open watches silent. */
    private boolean down;

    Discovery() throws IOException {
        listener = new Listener(this::serve);
    }

    String address() {
        return listener.address();
    }

    /** Adds or changes a worker; state: Ready, Terminating or Gone. */
    synchronized void publish(String uid, String endpoint, String zone, String model, String state, long bootMillis) {
        revision++;
        entries.put(
                uid,
                new Entry(
                        revision,
                        state.equals("Gone"),
                        "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + endpoint + "\",\"az\":\"" + zone
                                + "\",\"model\":\"" + model + "\",\"pod_group\":0,\"state\":\"" + state
                                + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMillis + "}"));
        Record.line("discovery has version " + revision + ": " + uid + " " + state);
        notifyAll();
    }

    /** While down it answers nothing and tells nothing. */
    synchronized void setDown(boolean enabled) {
        down = enabled;
        Record.line("discovery is " + (enabled ? "down" : "up"));
        notifyAll();
    }

    /** The whole list in discovery's form. */
    synchronized String wholeList() {
        return list(true, 0);
    }

    private String list(boolean whole, long after) {
        List<String> targets = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.revision() > after && !(whole && entry.gone())) {
                targets.add(entry.json());
            }
        }
        return "{\"rev\":" + revision + ",\"all\":" + whole + ",\"targets\":[" + String.join(",", targets) + "]}";
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        for (HttpMessage call = HttpMessage.read(socket.getInputStream());
                call != null;
                call = HttpMessage.read(socket.getInputStream())) {
            Record.line("discovery is asked " + call.target());
            Thread.sleep(answerDelayMillis);
            awaitUp();
            String target = call.target();
            OutputStream out = socket.getOutputStream();
            if (target.contains("watch=1")) {
                watch(out, Long.parseLong(target.substring(target.indexOf("after=") + "after=".length())));
            } else {
                byte[] body = wholeList().getBytes(StandardCharsets.UTF_8);
                write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n");
                out.write(body);
                Record.line("discovery has answered " + target);
            }
        }
    }

    private synchronized void awaitUp() throws InterruptedException {
        while (down) {
            wait();
        }
    }

    private void watch(OutputStream out, long after) throws IOException, InterruptedException {
        write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        Record.line("discovery has answered a watch after " + after);
        long told = after;
        while (true) {
            String line;
            synchronized (this) {
                if (revision == told || down) {
                    wait(HEARTBEAT_MILLIS);
                }
                if (down) {
                    continue;
                }
                line = (revision == told ? "" : list(false, told)) + "\n";
                told = revision;
            }
            byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
            write(out, Integer.toHexString(bytes.length) + "\r\n" + line + "\r\n");
            if (bytes.length > 1) {
                Record.line("discovery has told version " + told);
            }
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }
}
