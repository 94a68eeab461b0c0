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
 * A stand-in for service discovery on a loopback socket, written from the protocol's specification: it serves the
 * complete list and streams changes to watches. An actor; it owns the list and the connections to it.
 */
public final class StandInDiscovery {
    private static final long HEARTBEAT_MILLIS = 2000;
    /** Content of a full TCP segment; its headers (IP 20, TCP 20, time stamp option 12); CR LF. */
    private static final int SEGMENT_CONTENT_BYTES = 1448, SEGMENT_HEADER_BYTES = 52, LINE_END_BYTES = 2;

    /** Totals since the start over all connections: requests received, and bytes both ways, with TCP/IP headers. */
    public record Traffic(long calls, long bytes) {}

    private final Mailbox mailbox;
    private final Scheduler timers;
    private final StandInListener listener;
    private final int port;
    private final Map<String, Map<String, Object>> entriesByUid = new LinkedHashMap<>();
    private final Set<DiscoveryLink> watchLinks = new HashSet<>();
    private long revision;
    private boolean stopped, silent;
    private final AtomicLong requestCount = new AtomicLong(), byteCount = new AtomicLong();

    /** Starts on a free port with an empty list. */
    public StandInDiscovery(StandInListener listener, ExecutorService pool, Scheduler timers) throws IOException {
        this.timers = timers;
        mailbox = new Mailbox("stand-in discovery", pool);
        this.listener = listener;
        port = listener.open(0, DiscoveryLink::new);
        scheduleHeartbeat();
    }

    private void scheduleHeartbeat() {
        timers.schedule(
                () -> mailbox.post(() -> {
                    if (!stopped) {
                        if (!silent) {
                            watchLinks.forEach(watch -> watch.writeLine(""));
                        }
                        scheduleHeartbeat();
                    }
                }),
                HEARTBEAT_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    public InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** Adds, changes or (Gone) removes a worker. state: Ready, Terminating or Gone; bootMillis: Unix time, 0: long ago. */
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
                entriesByUid.remove(uid);
            } else {
                entriesByUid.put(uid, entry);
            }
            revision++;
            if (!silent) {
                String line = formatList(false, new Object[] {entry});
                watchLinks.forEach(watch -> watch.writeLine(line));
            }
        });
    }

    /** Traffic so far, as on a network where no write shares a segment with another and each segment is acknowledged. */
    public Traffic traffic() {
        return new Traffic(requestCount.get(), byteCount.get());
    }

    private void countBytes(int contentBytes) {
        int segments = (contentBytes + SEGMENT_CONTENT_BYTES - 1) / SEGMENT_CONTENT_BYTES;
        byteCount.addAndGet(contentBytes + 2L * SEGMENT_HEADER_BYTES * segments);
    }

    /** While silent, nothing is answered or sent; afterwards, every watch gets the complete list. */
    public void setSilent(boolean enabled) {
        mailbox.post(() -> {
            silent = enabled;
            if (!enabled) {
                watchLinks.forEach(watch ->
                        watch.writeLine(formatList(true, entriesByUid.values().toArray())));
            }
        });
    }

    private String formatList(boolean complete, Object[] entries) {
        Map<String, Object> root = new LinkedHashMap<>();
        root.put("rev", revision);
        root.put("all", complete);
        root.put("targets", entries);
        return new JSON().toJSON(root);
    }

    /** Closes the port and all watches for good. */
    public void stop() {
        mailbox.post(() -> {
            stopped = true;
            Set.copyOf(watchLinks).forEach(DiscoveryLink::closeNow);
        });
        listener.close(port);
    }

    private final class DiscoveryLink extends StandInLink {
        DiscoveryLink(EndPoint endPoint) {
            super(endPoint, StandInDiscovery.this.mailbox, timers);
        }

        @Override
        void onWrite(int writtenBytes) {
            countBytes(writtenBytes);
        }

        @Override
        void handleRequest(String method, String target, Map<String, String> headers, String body) {
            requestCount.incrementAndGet();
            int headBytes = (method + " " + target + " HTTP/1.1").length() + 2 * LINE_END_BYTES;
            for (Map.Entry<String, String> header : headers.entrySet()) {
                headBytes += (header.getKey() + ": " + header.getValue()).length() + LINE_END_BYTES;
            }
            countBytes(headBytes + body.length());
            if (silent) {
                return; // simulates an unresponsive discovery: the connection stays open
            }
            if (!target.startsWith("/api/targets")) {
                answer(404, "", "");
            } else if (!target.contains("watch=1")) {
                answer(200, "", formatList(true, entriesByUid.values().toArray()));
            } else {
                startStream();
                watchLinks.add(this);
                if (!target.endsWith("after=" + revision)) {
                    // No history of changes is kept, so the complete list is sent.
                    writeLine(formatList(true, entriesByUid.values().toArray()));
                }
            }
        }

        @Override
        protected void onClosed(Throwable cause) {
            watchLinks.remove(this);
        }
    }
}
