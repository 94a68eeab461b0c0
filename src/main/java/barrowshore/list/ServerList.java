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
 * What a list of servers is, whoever tells it, and how discovery's JSON is read as one. It owns these forms alone:
 * pure, without a connection, a clock or an opinion on what a list says. It must never drop what it cannot read without
 * saying so.
 */
public final class ServerList {
    private ServerList() {}

    /** What a list says of a server. */
    public enum State {
        READY,
        TERMINATING,
        GONE
    }

    /** One entry of the list; bootMicros in Unix time, 0: long ago; zone -1: not known; address null: not told. */
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
        /** The entry as the decision module takes it. */
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
     * A version of the list: all of it, or what changed; unknown: the servers left out, of no known model. One that
     * leaves is never left out: whatever else is said of it, nothing new may go there.
     */
    public record Update(long revision, boolean full, List<Entry> entries, List<String> unknownServers) {
        /** A list from which nothing was left out. */
        public Update(long revision, boolean full, List<Entry> entries) {
            this(revision, full, entries, List.of());
        }

        /** The whole list that changes make of this whole one. */
        public Update apply(Update changes) {
            Map<String, Entry> next = new LinkedHashMap<>();
            entries.forEach(e -> next.put(e.uid(), e));
            changes.entries().forEach(e -> next.put(e.uid(), e));
            changes.unknownServers().forEach(next::remove);
            next.values().removeIf(e -> e.state() == State.GONE);
            return new Update(changes.revision(), true, List.copyOf(next.values()), changes.unknownServers());
        }
    }

    /** The settings' names for zones and kinds, by position. */
    public record ZoneKindNames(List<String> zones, List<String> kinds) {}

    /** Reads a list in discovery's form; an IllegalArgumentException names what is wrong. */
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
                unknown.add(uid); // guards the module against a kind that its settings do not name
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
                        default -> State.TERMINATING; // the careful reading of a word not known
                    },
                    numberOr(fields.get("capacity_hint"), 1),
                    (long) numberOr(fields.get("boot_ms"), 0) * 1000));
        }
        return new Update((long) numberOr(json.get("rev"), 0), Boolean.TRUE.equals(json.get("all")), entries, unknown);
    }

    private static double numberOr(Object value, double defaultValue) {
        return value instanceof Number n ? n.doubleValue() : defaultValue;
    }
}
