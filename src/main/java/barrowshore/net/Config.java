package barrowshore.net;

import barrowshore.DispatchApi.Settings;
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
import org.eclipse.jetty.util.ajax.JSON;

/**
 * What a scheduler is told at its start and again on SIGHUP. It owns the reading of the configuration file and of nothing else: each field
 * is checked here, once, and a wrong one gets a {@link ConfigException} that names it. It must never guess a value that
 * is required, and never open a socket.
 */
public record Config(String name, InetSocketAddress listen, InetSocketAddress discovery, int sockets, Settings settings,
                     long keepAlive, List<String> classes, List<String> tenants, ServiceEntry.Names names,
                     ServiceEntry.Update known, PeerSide.Addresses peers, Map<String, Object> fixed) {
    /** The fields that a running scheduler takes over, and those that matter only to a fresh one. */
    private static final Set<String> LIVE = Set.of("discovery", "known", "seed");

    public static Config read(Path file) {
        String text;
        try {
            text = Files.readString(file, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new ConfigException("configuration " + file + " cannot be read: " + e.getClass().getSimpleName());
        }
        return parse(text);
    }

    static Config parse(String text) {
        Map<?, ?> root;
        try {
            root = map(json(text), "configuration");
        } catch (IllegalArgumentException e) {
            throw new ConfigException("configuration is " + e.getMessage());
        }
        Map<?, ?> nested = map(root.get("settings"), "settings");
        SettingsReader reader = SettingsReader.of(nested);
        ServiceEntry.Names names = new ServiceEntry.Names(reader.items("zones"), reader.items("kinds"));
        Settings settings;
        long keepAlive;
        try {
            settings = reader.settings(seed(text(root, "seed")));
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
        ServiceEntry.Update known = new ServiceEntry.Update(0, true, List.of());
        if (root.get("known") != null) {
            try {
                known = ServiceEntry.update(map(root.get("known"), "known"), names);
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
                address(text(root, "discovery"), "discovery"), sockets, settings, keepAlive, reader.names("lanes"),
                reader.names("tenants"), names, known, peers(root, settings.me), fixed);
    }

    /** The fields that differ from another configuration's and are taken over only at a start. */
    List<String> differing(Config other) {
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

    /** Parses JSON with lists as {@link List}; an IllegalArgumentException tells that it is none. */
    static Object json(String text) {
        JSON json = new JSON();
        json.setArrayConverter(list -> list);
        try {
            return json.fromJSON(text);
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("not JSON: " + String.valueOf(e.getMessage()).replace('\n', ' '), e);
        }
    }

    static InetSocketAddress address(String text, String field) {
        int colon = text.lastIndexOf(':');
        try {
            return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (RuntimeException e) {
            throw new ConfigException(field + " is not address:port: " + text);
        }
    }

    /** Null where schedulers cannot reach one another. */
    private static PeerSide.Addresses peers(Map<?, ?> root, int me) {
        if (root.get("peer_listen") == null) {
            return null;
        }
        if (!(root.get("peers") instanceof List<?> list)) {
            throw new ConfigException("peers is missing or not a list");
        }
        List<InetSocketAddress> peers = list.stream().map(peer -> address(String.valueOf(peer), "peers")).toList();
        return new PeerSide.Addresses(address(text(root, "peer_listen"), "peer_listen"), peers, me,
                address(text(root, "peers_all"), "peers_all"));
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
