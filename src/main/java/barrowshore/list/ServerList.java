package barrowshore.list;

import barrowshore.module.DispatchApi.Health;
import barrowshore.module.DispatchApi.Member;
import barrowshore.wire.Json;
import barrowshore.wire.SettingsReader;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The server list as the scheduler uses it, whatever its source, and the parser of service discovery's JSON. Holds no state
 * and does no I/O. Nothing unreadable is dropped silently: it is an error or is listed in the update.
 */
public final class ServerList {
    private ServerList() {}

    /** A server's state according to a list. */
    public enum State {
        READY,
        TERMINATING,
        GONE
    }

    /**
     * One entry of the list. zone and kind: positions in {@link ZoneKindNames}, zone -1 if unknown; address: null if not
     * given; bootMicros: Unix time, 0 for long ago.
     */
    public record Entry(
            String uid,
            String endpoint,
            InetSocketAddress address,
            int zone,
            int kind,
            int cell,
            State state,
            double capacityHint,
            long bootMicros) {
        /** Converts the entry for the decision module. */
        public Member toMember() {
            Health health =
                    switch (state) {
                        case READY -> Health.READY;
                        case TERMINATING -> Health.DRAINING;
                        case GONE -> Health.GONE;
                    };
            return new Member(uid, health, capacityHint, cell, kind, zone, bootMicros);
        }
    }

    /**
     * A version of the list: all of it (full) or only changes. unknownServers: uids left out because their model is not in
     * the settings. Servers that are terminating or gone are never left out, since they must get no new jobs.
     */
    public record Update(long revision, boolean full, List<Entry> entries, List<String> unknownServers) {
        /** A list from which nothing was left out. */
        public Update(long revision, boolean full, List<Entry> entries) {
            this(revision, full, entries, List.of());
        }

        /** The same, marked as full. */
        public Update asFull() {
            return new Update(revision, true, entries, unknownServers);
        }
    }

    /** The names of the zones and of the kinds (server models) in the settings, by position. */
    public record ZoneKindNames(List<String> zones, List<String> kinds) {}

    /**
     * Reads a list in service discovery's JSON.
     *
     * @throws IllegalArgumentException naming the part that is wrong
     */
    public static Update parse(Map<?, ?> json, ZoneKindNames names) {
        if (!(json.get("targets") instanceof List<?> targets)) {
            throw new IllegalArgumentException("targets is missing or not a list");
        }
        List<Entry> entries = new ArrayList<>();
        List<String> unknown = new ArrayList<>();
        for (Object target : targets) {
            if (!(target instanceof Map<?, ?> fields)
                    || !(fields.get("uid") instanceof String uid)
                    || !(fields.get("state") instanceof String state)) {
                throw new IllegalArgumentException("a target lacks its uid or state");
            }
            String endpoint = fields.get("endpoint") instanceof String s ? s : "";
            int kind = names.kinds().indexOf(SettingsReader.normalizeName(fields.get("model")));
            if (kind < 0 && !names.kinds().isEmpty() && state.equals("Ready")) {
                unknown.add(uid); // the module must not get a kind that its settings do not have
                continue;
            }
            entries.add(new Entry(
                    uid,
                    endpoint,
                    endpoint.isEmpty() ? null : Json.parseAddress(endpoint, "endpoint"),
                    names.zones().indexOf(SettingsReader.normalizeName(fields.get("az"))),
                    Math.max(0, kind),
                    (int) numberOr(fields.get("pod_group"), 0),
                    switch (state) {
                        case "Ready" -> State.READY;
                        case "Gone" -> State.GONE;
                        default -> State.TERMINATING; // unknown states: the safe choice is no new jobs
                    },
                    numberOr(fields.get("capacity_hint"), 1),
                    (long) numberOr(fields.get("boot_ms"), 0) * 1000));
        }
        return new Update((long) numberOr(json.get("rev"), 0), Boolean.TRUE.equals(json.get("all")), entries, unknown);
    }

    /** The update in service discovery's JSON, with the servers that were left out as ones of no model. */
    static Map<String, Object> toJsonFields(Update update, ZoneKindNames names) {
        List<Map<String, Object>> targets = new ArrayList<>();
        update.entries().forEach(entry -> targets.add(toJsonFields(entry, names)));
        update.unknownServers().forEach(uid -> targets.add(Map.of("uid", uid, "state", "Ready")));
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("rev", update.revision());
        fields.put("all", update.full());
        fields.put("targets", targets);
        return fields;
    }

    private static Map<String, Object> toJsonFields(Entry entry, ZoneKindNames names) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("uid", entry.uid());
        fields.put("endpoint", entry.endpoint());
        fields.put("az", nameAt(names.zones(), entry.zone()));
        fields.put("model", nameAt(names.kinds(), entry.kind()));
        fields.put("pod_group", entry.cell());
        fields.put(
                "state",
                switch (entry.state()) {
                    case READY -> "Ready";
                    case TERMINATING -> "Terminating";
                    case GONE -> "Gone";
                });
        fields.put("capacity_hint", entry.capacityHint());
        fields.put("boot_ms", entry.bootMicros() / 1000);
        return fields;
    }

    private static String nameAt(List<String> names, int position) {
        return position >= 0 && position < names.size() ? names.get(position) : "";
    }

    private static double numberOr(Object value, double defaultValue) {
        return value instanceof Number n ? n.doubleValue() : defaultValue;
    }
}
