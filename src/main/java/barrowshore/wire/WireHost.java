package barrowshore.wire;

import barrowshore.module.DispatchApi;
import barrowshore.module.DispatchApi.Health;
import barrowshore.module.DispatchApi.ListKind;
import barrowshore.module.DispatchApi.Load;
import barrowshore.module.DispatchApi.Member;
import barrowshore.module.DispatchApi.Note;
import barrowshore.module.DispatchApi.Request;
import barrowshore.module.DispatchApi.Settings;
import barrowshore.module.DispatchApi.Status;
import barrowshore.module.Dispatcher;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Runs dispatchers for the simulator: turns the lines of its protocol into calls on them, and their actions into reply
 * lines. An error in a dispatcher becomes an EXCEPTION line; a malformed line ends the run with a {@link WireException}.
 */
public final class WireHost {
    private final LineReader line;
    private final OutputStream out;
    private final BiConsumer<List<String>, Settings> adjustSettings;
    private final StringBuilder reply = new StringBuilder(1 << 14);
    private final Map<Integer, Instance> instances = new HashMap<>();
    private long nowMicros;

    /** A host that reads batches from one stream and writes its replies to the other. */
    public WireHost(InputStream in, OutputStream out) {
        this(in, out, (zones, settings) -> {});
    }

    /** The same; adjustSettings may change the settings of each new instance, given the names of the zones. */
    public WireHost(InputStream in, OutputStream out, BiConsumer<List<String>, Settings> adjustSettings) {
        this.line = new LineReader(in);
        this.out = out;
        this.adjustSettings = adjustSettings;
    }

    private final class Instance implements DispatchApi.Actions {
        final int number;
        final DispatchApi dispatcher;

        Instance(int number, Settings settings) {
            this.number = number;
            this.dispatcher = new Dispatcher(settings, this);
        }

        private StringBuilder appendAction(String verb) {
            return reply.append(verb).append(' ').append(number);
        }

        @Override
        public void send(String id, String worker, long timeout) {
            appendAction("PLACE")
                    .append(' ')
                    .append(id)
                    .append(' ')
                    .append(worker)
                    .append(' ')
                    .append(timeout)
                    .append('\n');
        }

        @Override
        public void refuse(String id, long retryAfter) {
            appendAction("REJECT")
                    .append(' ')
                    .append(id)
                    .append(' ')
                    .append(retryAfter)
                    .append('\n');
        }

        @Override
        public void fail(String id) {
            appendAction("ABORT").append(' ').append(id).append('\n');
        }

        @Override
        public void cancel(String id, int attempt) {
            appendAction("ABANDON")
                    .append(' ')
                    .append(id)
                    .append(' ')
                    .append(attempt)
                    .append('\n');
        }

        @Override
        public void probe(String worker) {
            appendAction("PROBE").append(' ').append(worker).append('\n');
        }

        @Override
        public void sendToPeers(byte[] message) {
            appendAction("SAY")
                    .append(" -1 ")
                    .append(HexFormat.of().formatHex(message))
                    .append('\n');
        }

        @Override
        public void setTimer(long delay, String token) {
            appendAction("TIMER")
                    .append(' ')
                    .append(Math.max(1, delay))
                    .append(' ')
                    .append(token)
                    .append('\n');
        }

        @Override
        public void watchList() {
            appendAction("WATCH").append(" 1\n");
        }

        @Override
        public void log(String text) {
            appendAction("PRINT").append(' ').append(text.replace('\n', ' ')).append('\n');
        }
    }

    /** Processes batches until the input ends, and writes a reply for each. */
    public void run() throws IOException {
        while (line.advance()) {
            String verb = line.readText("message");
            if (!verb.equals("FRAME")) {
                throw line.error("expected FRAME, found " + verb);
            }
            nowMicros = line.readInteger("clock");
            processBatch();
            reply.append("YIELD\n");
            out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
            out.flush();
            reply.setLength(0);
        }
    }

    private void processBatch() throws IOException {
        while (true) {
            requireLine("OVER_TO_YOU");
            String verb = line.readText("message");
            if (verb.equals("OVER_TO_YOU")) {
                return;
            }
            int number = (int) line.readInteger("i");
            try {
                handleMessage(verb, number);
            } catch (WireException e) {
                throw e;
            } catch (RuntimeException e) {
                reply.append("EXCEPTION ")
                        .append(number)
                        .append(' ')
                        .append(String.valueOf(e).replace('\n', ' '))
                        .append(e.getStackTrace().length > 0 ? " at " + e.getStackTrace()[0] : "")
                        .append('\n');
            }
        }
    }

    private void requireLine(String expected) throws IOException {
        if (!line.advance()) {
            throw line.error("the input ends where " + expected + " or an entry was due");
        }
    }

    private void handleMessage(String verb, int number) throws IOException {
        if (verb.equals("ATTACH")) {
            long seed = line.readInteger("prng");
            String settingsText = line.readRest();
            SettingsReader reader = SettingsReader.of(settingsText);
            Settings settings = reader.toSettings(seed);
            adjustSettings.accept(reader.itemsOf("zones"), settings);
            Instance instance = new Instance(number, settings);
            instances.put(number, instance);
            instance.dispatcher.start(nowMicros);
            return;
        }
        Instance instance = instances.get(number);
        if (instance == null) {
            throw line.error(verb + " for instance " + number + ", which was not attached");
        }
        DispatchApi dispatcher = instance.dispatcher;
        switch (verb) {
            case "CALL" -> {
                String id = line.readText("txn");
                double slots = line.readDecimal("width");
                line.skipField("resource");
                line.skipField("stateBits");
                line.skipField("memNeeded");
                int tenant = (int) line.readInteger("customer"), jobClass = (int) line.readInteger("category");
                double workHint = line.readDecimal("workHint");
                dispatcher.request(
                        nowMicros,
                        new Request(id, jobClass, tenant, slots > 0 ? slots : 1, workHint, line.readInteger("ttl")));
            }
            case "VERDICT" -> {
                String id = line.readText("txn");
                int attempt = (int) line.readInteger("try");
                line.skipField("detail");
                boolean closed = line.readInteger("closed") == 1;
                Status status = parseStatus(line.readText("code"));
                long latency = line.readInteger("lag");
                line.skipField("executor");
                dispatcher.outcome(nowMicros, id, attempt, closed, status, latency, readLoad());
            }
            case "HEARTBEAT" -> {
                String id = line.readText("txn");
                int attempt = (int) line.readInteger("try");
                line.skipField("executor");
                Note note = line.readInteger("sort") == 1 ? Note.STARTED : Note.PROGRESS;
                dispatcher.note(nowMicros, id, attempt, note, line.readDecimal("amount"));
            }
            case "ELAPSED" -> dispatcher.timerFired(nowMicros, line.readText("handle"));
            case "MEMBERS" -> readServerList(dispatcher);
            case "HANGUP" -> dispatcher.clientGone(nowMicros, line.readText("txn"));
            case "PONG" -> {
                long latency = line.readInteger("lag");
                Status status = parseStatus(line.readText("code"));
                String worker = line.readText("executor");
                dispatcher.probed(nowMicros, worker, status, latency, readLoad());
            }
            case "STOP" -> instances.remove(number);
            case "PEER_DATA" -> {
                int senderNumber = (int) line.readInteger("originPeer");
                dispatcher.peerMessage(nowMicros, senderNumber, parseHex(line.readText("blob")));
            }
            case "ACCEPTED" -> {}
            default -> throw line.error("unknown message " + verb);
        }
    }

    private byte[] parseHex(String hex) {
        try {
            return hex.equals("-") ? new byte[0] : HexFormat.of().parseHex(hex);
        } catch (IllegalArgumentException e) {
            throw line.error("the bytes are not hex: " + hex);
        }
    }

    private void readServerList(DispatchApi dispatcher) throws IOException {
        String kindCode = line.readText("how");
        ListKind kind =
                switch (kindCode) {
                    case "D" -> ListKind.CHANGES;
                    case "F" -> ListKind.WHOLE;
                    case "C" -> ListKind.INITIAL;
                    case "X" -> ListKind.FAILED;
                    default -> throw line.error("unknown list kind " + kindCode);
                };
        line.skipField("seqNo");
        int count = (int) line.readInteger("membersList");
        List<Member> entries = new ArrayList<>();
        for (int entryIndex = 0; entryIndex < count; entryIndex++) {
            requireLine("M");
            String verb = line.readText("entry");
            if (!verb.equals("M")) {
                throw line.error("expected M, found " + verb);
            }
            String healthName = line.readText("health");
            Health health =
                    switch (healthName) {
                        case "healthy" -> Health.READY;
                        case "cordoned" -> Health.DRAINING;
                        case "deregistered" -> Health.GONE;
                        default -> throw line.error("unknown health " + healthName);
                    };
            double rating = line.readDecimal("rating");
            int cell = (int) line.readInteger("unitGroup"), serverKind = (int) line.readInteger("type");
            int zone = (int) line.readInteger("campus");
            String worker = line.readText("executor");
            entries.add(new Member(worker, health, rating, cell, serverKind, zone, line.readInteger("born")));
        }
        dispatcher.list(nowMicros, kind, entries);
    }

    private Status parseStatus(String code) {
        return switch (code) {
            case "Ok" -> Status.OK;
            case "Failed" -> Status.ERROR;
            case "QueueFull" -> Status.FULL;
            case "TimedOut" -> Status.TIMEOUT;
            case "ConnectError" -> Status.CONNECT_FAILED;
            case "ResetByPeer" -> Status.RESET;
            case "Canceled" -> Status.CANCELLED;
            case "Ignored" -> Status.NOT_SENT;
            default -> throw line.error("unknown outcome " + code);
        };
    }

    private Load readLoad() {
        String report = line.readText("report");
        if (report.equals("-")) {
            return null;
        }
        double inFlight = Double.NaN, queue = Double.NaN, freeSlots = Double.NaN;
        int itemStart = 0;
        while (itemStart < report.length()) {
            int itemEnd = report.indexOf(',', itemStart), colon = report.indexOf(':', itemStart);
            itemEnd = itemEnd < 0 ? report.length() : itemEnd;
            if (colon < 0 || colon >= itemEnd) {
                throw line.error("the load report has no value: " + report);
            }
            double value;
            try {
                value = Double.parseDouble(report.substring(colon + 1, itemEnd));
            } catch (NumberFormatException e) {
                throw line.error("the load report is not a number: " + report);
            }
            String name = report.substring(itemStart, colon);
            switch (name) {
                case "inflight" -> inFlight = value;
                case "queue" -> queue = value;
                case "x0" -> freeSlots = value;
                default -> {}
            }
            itemStart = itemEnd + 1;
        }
        return new Load(inFlight, queue, freeSlots);
    }
}
