package barrowshore.standin;

import barrowshore.net.Mailbox;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.ajax.JSON;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A stand-in for discovery on a loopback socket, written from the protocol's pages: the whole list, and watches that
 * tell changes. An actor; it owns the list and the watches' connections.
 */
public final class StandInDiscovery {
    private static final long EMPTY_LINE_MILLIS = 2000;
    /** Bytes of a TCP segment's content, of its heads (IP 20, TCP 20, its time stamps 12), and a line's end. */
    private static final int SEGMENT = 1448, HEADS = 52, LINE_END = 2;

    /** What its connections have carried since the start: calls that came, and bytes both ways, with TCP's heads. */
    public record Traffic(long calls, long bytes) {}

    private final Mailbox mailbox;
    private final Scheduler timers;
    private final StandInListener front;
    private final int port;
    private final Map<String, Map<String, Object>> targets = new LinkedHashMap<>();
    private final Set<Link> watches = new HashSet<>();
    private long rev;
    private boolean stopped, silent;
    private final AtomicLong calls = new AtomicLong(), bytes = new AtomicLong();

    /** Starts with an empty list, on a free port. */
    public StandInDiscovery(StandInListener front, ExecutorService pool, Scheduler timers) throws IOException {
        this.timers = timers;
        mailbox = new Mailbox("stand-in discovery", pool);
        this.front = front;
        port = front.open(0, Link::new);
        beat();
    }

    private void beat() {
        timers.schedule(
                () -> mailbox.post(() -> {
                    if (!stopped) {
                        if (!silent) {
                            watches.forEach(w -> w.line(""));
                        }
                        beat();
                    }
                }),
                EMPTY_LINE_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    public InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** Tells of a node; state: Ready, Terminating or Gone. bootMillis 0: long ago. */
    public void publish(
            String uid,
            InetSocketAddress endpoint,
            String hall,
            String model,
            double capacity,
            String state,
            long bootMillis) {
        mailbox.post(() -> {
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("uid", uid);
            entry.put("endpoint", endpoint.getAddress().getHostAddress() + ":" + endpoint.getPort());
            entry.put("az", hall);
            entry.put("model", model);
            entry.put("pod_group", 0);
            entry.put("state", state);
            entry.put("capacity_hint", capacity);
            entry.put("boot_ms", bootMillis);
            if (state.equals("Gone")) {
                targets.remove(uid);
            } else {
                targets.put(uid, entry);
            }
            rev++;
            if (!silent) {
                String line = list(false, new Object[] {entry});
                watches.forEach(w -> w.line(line));
            }
        });
    }

    /** What has been carried so far, as it would be on a network: each write in segments of its own, one answered by one. */
    public Traffic traffic() {
        return new Traffic(calls.get(), bytes.get());
    }

    private void carried(int content) {
        int segments = (content + SEGMENT - 1) / SEGMENT;
        bytes.addAndGet(content + 2L * HEADS * segments);
    }

    /** It answers nothing and tells nothing, or tells all of its list to whoever watches. */
    public void setSilent(boolean on) {
        mailbox.post(() -> {
            silent = on;
            if (!on) {
                watches.forEach(w -> w.line(list(true, targets.values().toArray())));
            }
        });
    }

    private String list(boolean all, Object[] entries) {
        Map<String, Object> root = new LinkedHashMap<>();
        root.put("rev", rev);
        root.put("all", all);
        root.put("targets", entries);
        return new JSON().toJSON(root);
    }

    /** Stops for good. */
    public void stop() {
        mailbox.post(() -> {
            stopped = true;
            Set.copyOf(watches).forEach(Link::closeNow);
        });
        front.close(port);
    }

    private final class Link extends StandInLink {
        Link(EndPoint endPoint) {
            super(endPoint, StandInDiscovery.this.mailbox, timers);
        }

        @Override
        void sent(int content) {
            carried(content);
        }

        @Override
        void asked(String method, String target, Map<String, String> headers, String body) {
            calls.incrementAndGet();
            int head = (method + " " + target + " HTTP/1.1").length() + 2 * LINE_END;
            for (Map.Entry<String, String> header : headers.entrySet()) {
                head += (header.getKey() + ": " + header.getValue()).length() + LINE_END;
            }
            carried(head + body.length());
            if (silent) {
                return; // it is down: nothing is said, and the connection stays
            }
            if (!target.startsWith("/api/targets")) {
                answer(404, "", "");
            } else if (!target.contains("watch=1")) {
                answer(200, "", list(true, targets.values().toArray()));
            } else {
                stream();
                watches.add(this);
                if (!target.endsWith("after=" + rev)) {
                    line(list(true, targets.values().toArray())); // what changed since is not kept: all of it
                }
            }
        }

        @Override
        protected void onEnd(Throwable cause) {
            watches.remove(this);
        }
    }
}
