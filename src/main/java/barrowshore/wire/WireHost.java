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

/** Hosts many dispatchers on the wire: turns its lines into calls and their actions into lines. Decides nothing. */
public final class WireHost {
    private final Line line;
    private final OutputStream out;
    private final BiConsumer<List<String>, Settings> amend;
    private final StringBuilder reply = new StringBuilder(1 << 14);
    private final Map<Integer, Instance> instances = new HashMap<>();
    private long now;

    /** A host that reads batches from one stream and writes its replies to the other. */
    public WireHost(InputStream in, OutputStream out) {
        this(in, out, (zones, settings) -> {});
    }

    /** The same; each instance's settings pass through the last argument, with the names of the zones. */
    public WireHost(InputStream in, OutputStream out, BiConsumer<List<String>, Settings> amend) {
        this.line = new Line(in);
        this.out = out;
        this.amend = amend;
    }

    private final class Instance implements DispatchApi.Actions {
        final int number;
        final DispatchApi dispatcher;

        Instance(int number, Settings settings) {
            this.number = number;
            this.dispatcher = new Dispatcher(settings, this);
        }

        private StringBuilder action(String word) {
            return reply.append(word).append(' ').append(number);
        }

        @Override
        public void send(String id, String worker, long timeout) {
            action("PLACE")
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
            action("REJECT")
                    .append(' ')
                    .append(id)
                    .append(' ')
                    .append(retryAfter)
                    .append('\n');
        }

        @Override
        public void fail(String id) {
            action("ABORT").append(' ').append(id).append('\n');
        }

        @Override
        public void cancel(String id, int attempt) {
            action("ABANDON").append(' ').append(id).append(' ').append(attempt).append('\n');
        }

        @Override
        public void probe(String worker) {
            action("PROBE").append(' ').append(worker).append('\n');
        }

        @Override
        public void sendToPeers(byte[] message) {
            action("SAY")
                    .append(" -1 ")
                    .append(HexFormat.of().formatHex(message))
                    .append('\n');
        }

        @Override
        public void setTimer(long delay, String token) {
            action("TIMER")
                    .append(' ')
                    .append(Math.max(1, delay))
                    .append(' ')
                    .append(token)
                    .append('\n');
        }

        @Override
        public void watchList() {
            action("WATCH").append(" 1\n");
        }

        @Override
        public void log(String text) {
            action("PRINT").append(' ').append(text.replace('\n', ' ')).append('\n');
        }
    }

    /** Answers batch after batch until the input ends. */
    public void run() throws IOException {
        while (line.advance()) {
            String word = line.text("message");
            if (!word.equals("FRAME")) {
                throw line.wrong("expected FRAME, found " + word);
            }
            now = line.integer("clock");
            batch();
            reply.append("YIELD\n");
            out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
            out.flush();
            reply.setLength(0);
        }
    }

    private void batch() throws IOException {
        while (true) {
            need("OVER_TO_YOU");
            String word = line.text("message");
            if (word.equals("OVER_TO_YOU")) {
                return;
            }
            int number = (int) line.integer("i");
            try {
                event(word, number);
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

    private void need(String what) throws IOException {
        if (!line.advance()) {
            throw line.wrong("the input ends where " + what + " or an entry was due");
        }
    }

    private void event(String word, int number) throws IOException {
        if (word.equals("ATTACH")) {
            long seed = line.integer("prng");
            String conf = line.rest();
            SettingsReader reader = SettingsReader.of(conf);
            Settings settings = reader.toSettings(seed);
            amend.accept(reader.listItems("zones"), settings);
            Instance instance = new Instance(number, settings);
            instances.put(number, instance);
            instance.dispatcher.start(now);
            return;
        }
        Instance instance = instances.get(number);
        if (instance == null) {
            throw line.wrong(word + " for instance " + number + ", which was not attached");
        }
        DispatchApi to = instance.dispatcher;
        switch (word) {
            case "CALL" -> {
                String id = line.text("txn");
                double slots = line.decimal("width");
                line.skip("resource");
                line.skip("stateBits");
                line.skip("memNeeded");
                int tenant = (int) line.integer("customer"), type = (int) line.integer("category");
                double hint = line.decimal("workHint");
                to.request(now, new Request(id, type, tenant, slots > 0 ? slots : 1, hint, line.integer("ttl")));
            }
            case "VERDICT" -> {
                String id = line.text("txn");
                int attempt = (int) line.integer("try");
                line.skip("detail");
                boolean closed = line.integer("closed") == 1;
                Status status = status(line.text("code"));
                long latency = line.integer("lag");
                line.skip("executor");
                to.outcome(now, id, attempt, closed, status, latency, load());
            }
            case "HEARTBEAT" -> {
                String id = line.text("txn");
                int attempt = (int) line.integer("try");
                line.skip("executor");
                Note note = line.integer("sort") == 1 ? Note.STARTED : Note.PROGRESS;
                to.note(now, id, attempt, note, line.decimal("amount"));
            }
            case "ELAPSED" -> to.timerFired(now, line.text("handle"));
            case "MEMBERS" -> members(to);
            case "HANGUP" -> to.clientGone(now, line.text("txn"));
            case "PONG" -> {
                long latency = line.integer("lag");
                Status status = status(line.text("code"));
                String worker = line.text("executor");
                to.probed(now, worker, status, latency, load());
            }
            case "STOP" -> instances.remove(number);
            case "PEER_DATA" -> {
                int from = (int) line.integer("originPeer");
                to.peerMessage(now, from, blob(line.text("blob")));
            }
            case "ACCEPTED" -> {}
            default -> throw line.wrong("unknown message " + word);
        }
    }

    private byte[] blob(String hex) {
        try {
            return hex.equals("-") ? new byte[0] : HexFormat.of().parseHex(hex);
        } catch (IllegalArgumentException e) {
            throw line.wrong("the bytes are not hex: " + hex);
        }
    }

    private void members(DispatchApi to) throws IOException {
        String how = line.text("how");
        ListKind kind =
                switch (how) {
                    case "D" -> ListKind.CHANGES;
                    case "F" -> ListKind.WHOLE;
                    case "C" -> ListKind.INITIAL;
                    case "X" -> ListKind.FAILED;
                    default -> throw line.wrong("unknown list kind " + how);
                };
        line.skip("seqNo");
        int count = (int) line.integer("membersList");
        List<Member> entries = new ArrayList<>();
        for (int k = 0; k < count; k++) {
            need("M");
            String mark = line.text("entry");
            if (!mark.equals("M")) {
                throw line.wrong("expected M, found " + mark);
            }
            String word = line.text("health");
            Health health =
                    switch (word) {
                        case "healthy" -> Health.READY;
                        case "cordoned" -> Health.DRAINING;
                        case "deregistered" -> Health.GONE;
                        default -> throw line.wrong("unknown health " + word);
                    };
            double rating = line.decimal("rating");
            int cell = (int) line.integer("unitGroup"), type = (int) line.integer("type");
            int zone = (int) line.integer("campus");
            String worker = line.text("executor");
            entries.add(new Member(worker, health, rating, cell, type, zone, line.integer("born")));
        }
        to.list(now, kind, entries);
    }

    private Status status(String code) {
        return switch (code) {
            case "Ok" -> Status.OK;
            case "Failed" -> Status.ERROR;
            case "QueueFull" -> Status.FULL;
            case "TimedOut" -> Status.TIMEOUT;
            case "ConnectError" -> Status.CONNECT_FAILED;
            case "ResetByPeer" -> Status.RESET;
            case "Canceled" -> Status.CANCELLED;
            case "Ignored" -> Status.NOT_SENT;
            default -> throw line.wrong("unknown outcome " + code);
        };
    }

    private Load load() {
        String report = line.text("report");
        if (report.equals("-")) {
            return null;
        }
        double inFlight = Double.NaN, queue = Double.NaN, free = Double.NaN;
        int from = 0;
        while (from < report.length()) {
            int stop = report.indexOf(',', from), colon = report.indexOf(':', from);
            stop = stop < 0 ? report.length() : stop;
            if (colon < 0 || colon >= stop) {
                throw line.wrong("the load report has no value: " + report);
            }
            double value;
            try {
                value = Double.parseDouble(report.substring(colon + 1, stop));
            } catch (NumberFormatException e) {
                throw line.wrong("the load report is not a number: " + report);
            }
            String name = report.substring(from, colon);
            switch (name) {
                case "inflight" -> inFlight = value;
                case "queue" -> queue = value;
                case "x0" -> free = value;
                default -> {}
            }
            from = stop + 1;
        }
        return new Load(inFlight, queue, free);
    }
}
