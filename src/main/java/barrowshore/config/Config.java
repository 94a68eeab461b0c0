package barrowshore.config;

import barrowshore.DispatchApi.Settings;
import barrowshore.list.ServerList;
import barrowshore.wire.Json;
import barrowshore.wire.SettingsReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

/**
 * What a scheduler is told at its start and again on SIGHUP. It owns the reading of the configuration file and of nothing
 * else: each field is checked here, once, and a wrong one gets a {@link ConfigException} that names it. It must never
 * guess a value that is required, and never open a socket.
 */
public record Config(String name, InetSocketAddress listen, InetSocketAddress discovery, InetSocketAddress ops, int sockets, Settings settings,
                     long keepAlive, List<String> classes, List<String> tenants, ServerList.Names names,
                     ServerList.Update known, Peering peers, Map<String, Object> fixed) {
    /** Where we are heard, the peers by their numbers, ours, and the address that reaches them all and us. */
    public record Peering(InetSocketAddress listen, List<InetSocketAddress> peers, int me, InetSocketAddress all) { }

    /** The fields that a running scheduler takes over, and those that matter only to a fresh one. */
    private static final Set<String> LIVE = Set.of("discovery", "known", "seed");

    /**
     * Reads the file. The operators' address may also stand in the environment, and that counts: it is this process's
     * own, while the file may be another process's too.
     */
    public static Config read(Path file, String ops) {
        return read(file).withOps(ops);
    }

    private Config withOps(String text) {
        return text == null || text.isEmpty() ? this : new Config(name, listen, discovery, address(text, "GW_OPS"), sockets,
                settings, keepAlive, classes, tenants, names, known, peers, fixed);
    }

    static Config read(Path file) {
        String text;
        try {
            text = Files.readString(file, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new ConfigException("configuration " + file + " cannot be read: " + e.getClass().getSimpleName());
        }
        return parse(text);
    }

    public static Config parse(String text) {
        Map<?, ?> root;
        try {
            root = map(Json.parse(text), "configuration");
        } catch (IllegalArgumentException e) {
            throw new ConfigException("configuration is " + e.getMessage());
        }
        Map<?, ?> nested = map(root.get("settings"), "settings");
        SettingsReader reader = SettingsReader.of(nested);
        ServerList.Names names = new ServerList.Names(reader.items("zones"), reader.items("kinds"));
        Settings settings;
        long keepAlive;
        long seed = seed(text(root, "seed"));
        try {
            settings = reader.settings(seed);
            settings.validate();
            keepAlive = (long) reader.number("policyLimits.keepalive", 60e6);
        } catch (IllegalArgumentException e) {
            throw new ConfigException("settings: " + e.getMessage());
        }
        int sockets = 1024;
        if (root.get("limits") instanceof Map<?, ?> limits && limits.get("sockets") != null) {
            if (!(limits.get("sockets") instanceof Number n) || n.intValue() < 128) {
                throw new ConfigException("limits.sockets must be a number of at least 128");
            }
            sockets = n.intValue();
        }
        ServerList.Update known = new ServerList.Update(0, true, List.of());
        if (root.get("known") != null) {
            try {
                known = ServerList.read(map(root.get("known"), "known"), names);
            } catch (IllegalArgumentException e) {
                throw new ConfigException("known: " + e.getMessage());
            }
        }
        for (String list : List.of("lanes", "tenants")) {
            if (reader.names(list).contains("")) {
                throw new ConfigException("settings: " + list + "." + reader.names(list).indexOf("") + ".name is missing");
            }
        }
        Map<String, Object> fixed = new HashMap<>();
        root.forEach((field, value) -> fixed.put(String.valueOf(field), value));
        fixed.keySet().removeAll(LIVE);
        return new Config(text(root, "name"), address(text(root, "listen"), "listen"),
                address(text(root, "discovery"), "discovery"),
                root.get("ops") == null ? null : address(text(root, "ops"), "ops"), sockets, settings, keepAlive, reader.names("lanes"),
                reader.names("tenants"), names, known, peers(root, settings.me), fixed);
    }

    /** The fields that differ from another configuration's and are taken over only at a start. */
    public List<String> differing(Config other) {
        Set<String> all = new TreeSet<>(fixed.keySet());
        all.addAll(other.fixed.keySet());
        all.removeIf(field -> Objects.equals(fixed.get(field), other.fixed.get(field)));
        return List.copyOf(all);
    }

    /** One line for a person. */
    public String summary() {
        return name + ": listen " + listen + ", discovery " + discovery + ", " + classes.size() + " classes, "
                + tenants.size() + " tenants, " + known.entries().size() + " known real servers";
    }

    /** Null where schedulers cannot reach one another. */
    private static Peering peers(Map<?, ?> root, int me) {
        if (root.get("peer_listen") == null) {
            return null;
        }
        if (!(root.get("peers") instanceof List<?> list)) {
            throw new ConfigException("peers is missing or not a list");
        }
        List<InetSocketAddress> peers = list.stream().map(peer -> address(String.valueOf(peer), "peers")).toList();
        return new Peering(address(text(root, "peer_listen"), "peer_listen"), peers, me,
                address(text(root, "peers_all"), "peers_all"));
    }

    private static InetSocketAddress address(String text, String field) {
        try {
            return Json.address(text, field);
        } catch (IllegalArgumentException e) {
            throw new ConfigException(e.getMessage());
        }
    }

    private static long seed(String hex) {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new ConfigException("seed is not a hexadecimal number: " + hex);
        }
    }

    private static String text(Map<?, ?> map, String field) {
        if (map.get(field) instanceof String s && !s.isEmpty()) {
            return s;
        }
        throw new ConfigException(field + " is missing or not a text");
    }

    private static Map<?, ?> map(Object value, String field) {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new ConfigException(field + " is missing or not an object");
    }
}
