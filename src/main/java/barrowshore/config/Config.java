package barrowshore.config;

import barrowshore.list.ServerList;
import barrowshore.module.DispatchApi.JobClass;
import barrowshore.module.DispatchApi.Settings;
import barrowshore.wire.Json;
import barrowshore.wire.SettingsReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
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
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress ops,
        int sockets,
        Settings settings,
        long keepAlive,
        long grace,
        List<String> classes,
        List<String> tenants,
        ServerList.ZoneKindNames names,
        ServerList.Update knownServers,
        PeerConfig peers,
        Set<String> acceptedClasses,
        Map<String, Object> startupOnly,
        Map<?, ?> raw) {
    /* grace: microseconds after which nothing new may go to a server that leaves. */

    /** Where we are heard, the peers by their numbers, ours, and the address that reaches them all and us. */
    public record PeerConfig(
            InetSocketAddress listen, List<InetSocketAddress> peers, int ownNumber, InetSocketAddress broadcast) {}

    /** The fields that a running scheduler takes over, and those that matter only to a fresh one. */
    private static final Set<String> RELOADABLE_FIELDS = Set.of("discovery", "known", "seed", "settings");
    /** The settings that it does not take over: what the rest is numbered and built by. */
    private static final List<String> STARTUP_ONLY_SETTINGS = List.of(
            "groupSize",
            "me",
            "zone",
            "zones",
            "kinds",
            "tick",
            "tier",
            "policyLimits.dialTimeout",
            "policyLimits.keepalive");
    /** Names of classes that one life of a process knows at most. */
    private static final int MAX_CLASS_NAMES = 1000;

    /**
     * The same, but for the operators' address that stands in the environment: it is this process's own, while the file may
     * be another one's too. Null or empty: there is none.
     */
    public Config withOpsAddress(String text) {
        return text == null || text.isEmpty()
                ? this
                : new Config(
                        name,
                        listen,
                        discovery,
                        parseAddress(text, "GW_OPS"),
                        sockets,
                        settings,
                        keepAlive,
                        grace,
                        classes,
                        tenants,
                        names,
                        knownServers,
                        peers,
                        acceptedClasses,
                        startupOnly,
                        raw);
    }

    /** The text of a configuration's file. */
    public static String readText(Path file) {
        try {
            String text = Files.readString(file, StandardCharsets.UTF_8);
            // It may be in the middle of being replaced: half of each is neither.
            for (int k = 0; k < MAX_REREADS; k++) {
                String again = Files.readString(file, StandardCharsets.UTF_8);
                if (again.equals(text)) {
                    break;
                }
                text = again;
            }
            return text;
        } catch (IOException e) {
            throw new ConfigException(
                    "configuration " + file + " cannot be read: " + e.getClass().getSimpleName());
        }
    }

    /**
     * This one, read later, for a process that goes by the former: classes keep their numbers, and what is built on at a
     * start stays. A {@link ConfigException} tells why it cannot take the former's place.
     */
    public Config asReloadOf(Config running) {
        Map<Object, Object> requiredKeys = new HashMap<>(running.raw);
        requiredKeys.remove("known");
        String mismatch = StructureCheck.firstMismatch("", requiredKeys, raw);
        if (mismatch != null) {
            throw new ConfigException(mismatch);
        }
        List<String> classNames = new ArrayList<>(running.classes);
        List<JobClass> jobClasses = new ArrayList<>(List.of(running.settings.classes));
        for (int k = 0; k < classes.size(); k++) {
            int number = classNames.indexOf(classes.get(k));
            if (settings.classes[k].kind() >= running.settings.kinds) {
                throw new ConfigException("settings: domain.classKind." + k + " is no kind of machine since the start");
            }
            if (number >= 0) {
                jobClasses.set(number, settings.classes[k]);
            } else {
                classNames.add(classes.get(k));
                jobClasses.add(settings.classes[k]);
            }
        }
        if (classNames.size() > MAX_CLASS_NAMES) {
            throw new ConfigException("settings: lanes have had more than " + MAX_CLASS_NAMES + " names since the start");
        }
        Settings merged = new Settings();
        merged.copyReloadableFrom(running.settings);
        merged.copyIdentityFrom(running.settings);
        merged.copyReloadableFrom(settings);
        merged.halls = settings.halls;
        merged.classes = jobClasses.toArray(JobClass[]::new);
        return new Config(
                running.name,
                running.listen,
                discovery,
                running.ops,
                running.sockets,
                merged,
                running.keepAlive,
                grace,
                List.copyOf(classNames),
                tenants,
                running.names,
                knownServers,
                running.peers,
                Set.copyOf(classes),
                running.startupOnly,
                raw);
    }

    /** How often a file is read again that changes meanwhile. */
    private static final int MAX_REREADS = 5;

    public static Config parse(String text) {
        Map<?, ?> root;
        try {
            root = requireObject(Json.parse(text), "configuration");
        } catch (IllegalArgumentException e) {
            throw new ConfigException("configuration is " + e.getMessage());
        }
        Map<?, ?> nestedSettings = requireObject(root.get("settings"), "settings");
        SettingsReader reader = SettingsReader.of(nestedSettings);
        ServerList.ZoneKindNames names =
                new ServerList.ZoneKindNames(reader.listItems("zones"), reader.listItems("kinds"));
        Settings settings;
        long keepAlive;
        long grace;
        long seed = parseSeed(readText(root, "seed"));
        try {
            requireAtLeastOne(reader, "lanes.count", "lanes", 0);
            for (int k = 0; k < reader.itemNames("lanes").size(); k++) {
                requireAtLeastOne(reader, "lanes." + k + ".deadline", "lanes." + k + ".deadline", 1);
            }
            requireAtLeastOne(reader, "policyLimits.sendCap", "policyLimits.sendCap", 1);
            settings = reader.toSettings(seed);
            settings.validate();
            keepAlive = (long) reader.number("policyLimits.keepalive", 60e6);
            grace = (long) reader.number("rules.stopSendingWithin", 1e6);
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
                known = ServerList.parse(requireObject(root.get("known"), "known"), names);
            } catch (IllegalArgumentException e) {
                throw new ConfigException("known: " + e.getMessage());
            }
        }
        for (String listName : List.of("lanes", "tenants")) {
            List<String> itemNames = reader.itemNames(listName);
            for (int k = 0; k < itemNames.size(); k++) {
                if (itemNames.get(k).isEmpty() || itemNames.indexOf(itemNames.get(k)) < k) {
                    throw new ConfigException("settings: " + listName + "." + k + ".name is "
                            + (itemNames.get(k).isEmpty() ? "missing" : "there twice: " + itemNames.get(k)));
                }
            }
        }
        Map<String, Object> fixed = new HashMap<>();
        root.forEach((field, value) -> fixed.put(String.valueOf(field), value));
        fixed.keySet().removeAll(RELOADABLE_FIELDS);
        STARTUP_ONLY_SETTINGS.forEach(key -> fixed.put("settings." + key, reader.text(key)));
        return new Config(
                readText(root, "name"),
                parseAddress(readText(root, "listen"), "listen"),
                parseAddress(readText(root, "discovery"), "discovery"),
                root.get("ops") == null ? null : parseAddress(readText(root, "ops"), "ops"),
                sockets,
                settings,
                keepAlive,
                grace,
                reader.itemNames("lanes"),
                reader.itemNames("tenants"),
                names,
                known,
                parsePeers(root, settings.ownIndex),
                Set.copyOf(reader.itemNames("lanes")),
                fixed,
                root);
    }

    /** The fields that differ from another configuration's and are taken over only at a start. */
    public List<String> fieldsNeedingRestart(Config other) {
        Set<String> fields = new TreeSet<>(startupOnly.keySet());
        fields.addAll(other.startupOnly.keySet());
        fields.removeIf(field -> Objects.equals(startupOnly.get(field), other.startupOnly.get(field)));
        return List.copyOf(fields);
    }

    /** The settings that this program has not heard of, and so does not heed. */
    public List<String> unknownSettings() {
        return SettingsReader.of(requireObject(raw.get("settings"), "settings")).unknownKeys();
    }

    /** One line for a person. */
    public String summary() {
        return name + ": listen " + listen + ", discovery " + discovery + ", " + classes.size() + " classes, "
                + tenants.size() + " tenants, " + knownServers.entries().size() + " known servers";
    }

    private static void requireAtLeastOne(SettingsReader reader, String key, String fieldPath, double defaultValue) {
        if (!(reader.number(key, defaultValue) >= 1)) {
            throw new IllegalArgumentException(fieldPath + (fieldPath.equals(key) ? " must be over 0" : " names no class"));
        }
    }

    /** Null where schedulers cannot reach one another. */
    private static PeerConfig parsePeers(Map<?, ?> root, int ownNumber) {
        if (root.get("peer_listen") == null) {
            return null;
        }
        if (!(root.get("peers") instanceof List<?> list)) {
            throw new ConfigException("peers is missing or not a list");
        }
        List<InetSocketAddress> peers = list.stream()
                .map(peer -> parseAddress(String.valueOf(peer), "peers"))
                .toList();
        return new PeerConfig(
                parseAddress(readText(root, "peer_listen"), "peer_listen"),
                peers,
                ownNumber,
                parseAddress(readText(root, "peers_all"), "peers_all"));
    }

    private static InetSocketAddress parseAddress(String text, String field) {
        try {
            return Json.parseAddress(text, field);
        } catch (IllegalArgumentException e) {
            throw new ConfigException(e.getMessage());
        }
    }

    private static long parseSeed(String hex) {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new ConfigException("seed is not a hexadecimal number: " + hex);
        }
    }

    private static String readText(Map<?, ?> map, String field) {
        if (map.get(field) instanceof String s && !s.isEmpty()) {
            return s;
        }
        throw new ConfigException(field + " is missing or not a text");
    }

    private static Map<?, ?> requireObject(Object value, String field) {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new ConfigException(field + " is missing or not an object");
    }
}
