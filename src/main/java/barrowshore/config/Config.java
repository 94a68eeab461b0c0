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
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * The configuration of a scheduler, read at its start and again on SIGHUP. Each field of the file is checked here, once; an
 * invalid one gets a {@link ConfigException} that names it. Required values have no defaults, and no socket is opened here.
 */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress ops,
        int maxDescriptors,
        Settings settings,
        long keepAliveMicros,
        long grace,
        List<String> classes,
        List<String> tenants,
        ServerList.ZoneKindNames names,
        ServerList.Update knownServers,
        PeerConfig peers,
        Set<String> acceptedClasses,
        Map<String, Object> startupOnly,
        Map<?, ?> raw) {
    /* keepAlive: microseconds after which servers close idle connections; grace: microseconds after which a leaving server
     * may get nothing new; acceptedClasses: the classes of the current file; startupOnly: the fields that need a restart,
     * with their values; raw: the parsed file. */

    /** The address this scheduler receives on, its peers by number, its own number, and the broadcast address. */
    public record PeerConfig(
            InetSocketAddress listen, List<InetSocketAddress> peers, int ownNumber, InetSocketAddress broadcast) {}

    /**
     * The top-level fields whose changes need no restart: a reload applies them (settings: but for those below), or they
     * matter only to a new process (known, seed).
     */
    private static final Set<String> RELOADABLE_FIELDS = Set.of("discovery", "known", "seed", "settings");
    /** The settings that a reload cannot change: other state is numbered or built by them. */
    private static final List<String> STARTUP_ONLY_SETTINGS =
            List.of("groupSize", "me", "zone", "zones", "kinds", "tick", "tier");
    /** Limit on the different class names over the reloads of one process: a class keeps its number after its removal. */
    private static final int MAX_CLASS_NAMES = 1000;

    /**
     * A copy with the operators' address from the environment variable GW_OPS, which is this process's own, whereas several
     * processes may share the file. Null or empty: the file's address stays.
     */
    public Config withOpsAddress(String text) {
        return text == null || text.isEmpty()
                ? this
                : new Config(
                        name,
                        listen,
                        discovery,
                        parseAddress(text, "GW_OPS"),
                        maxDescriptors,
                        settings,
                        keepAliveMicros,
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

    /** Reads the text of a configuration file. */
    public static String readText(Path file) {
        try {
            String text = Files.readString(file, StandardCharsets.UTF_8);
            // Reads until two readings agree: a file that is being replaced may be half old and half new.
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
     * This configuration merged into the running one: classes keep their numbers, and startup-only settings stay. A
     * {@link ConfigException} says why it cannot replace the running one.
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
            if (settings.classes[k].kind() >= running.settings.machineKinds) {
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
            throw new ConfigException(
                    "settings: lanes have had more than " + MAX_CLASS_NAMES + " names since the start");
        }
        Settings merged = new Settings();
        merged.copyReloadableFrom(running.settings);
        merged.copyIdentityFrom(running.settings);
        merged.copyReloadableFrom(settings);
        merged.halls = settings.halls;
        merged.classes = jobClasses.toArray(JobClass[]::new);
        merged.retiredClasses = IntStream.range(0, classNames.size())
                .filter(number -> !classes.contains(classNames.get(number)))
                .boxed()
                .collect(Collectors.toUnmodifiableSet());
        return new Config(
                running.name,
                running.listen,
                discovery,
                running.ops,
                running.maxDescriptors,
                merged,
                keepAliveMicros,
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

    /** How often a file that keeps changing is read again. */
    private static final int MAX_REREADS = 5;

    /** Parses a configuration; a {@link ConfigException} names the field that is invalid. */
    public static Config parse(String text) {
        Map<?, ?> root;
        try {
            root = requireObject(Json.parse(text), "configuration");
        } catch (IllegalArgumentException e) {
            throw new ConfigException("configuration is " + e.getMessage());
        }
        Map<?, ?> nestedSettings = requireObject(root.get("settings"), "settings");
        SettingsReader reader = SettingsReader.of(nestedSettings);
        ServerList.ZoneKindNames names = new ServerList.ZoneKindNames(reader.itemsOf("zones"), reader.itemsOf("kinds"));
        Settings settings;
        long keepAlive;
        long grace;
        long seed = parseSeed(requireText(root, "seed"));
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
        Map<String, Object> startupOnly = new HashMap<>();
        root.forEach((field, value) -> startupOnly.put(String.valueOf(field), value));
        startupOnly.keySet().removeAll(RELOADABLE_FIELDS);
        STARTUP_ONLY_SETTINGS.forEach(key -> startupOnly.put("settings." + key, reader.text(key)));
        return new Config(
                requireText(root, "name"),
                parseAddress(requireText(root, "listen"), "listen"),
                parseAddress(requireText(root, "discovery"), "discovery"),
                root.get("ops") == null ? null : parseAddress(requireText(root, "ops"), "ops"),
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
                startupOnly,
                root);
    }

    /** The longest deadline of a class that may get jobs, in microseconds. */
    public long longestDeadlineMicros() {
        return settings.activeClasses().stream()
                .mapToLong(JobClass::deadlineMicros)
                .max()
                .orElse(0);
    }

    /** The fields that differ from another configuration's and take effect only after a restart. */
    public List<String> fieldsNeedingRestart(Config other) {
        Set<String> fields = new TreeSet<>(startupOnly.keySet());
        fields.addAll(other.startupOnly.keySet());
        fields.removeIf(field -> Objects.equals(startupOnly.get(field), other.startupOnly.get(field)));
        return List.copyOf(fields);
    }

    /** The keys of the settings that this program does not know and ignores. */
    public List<String> unknownSettings() {
        return SettingsReader.of(requireObject(raw.get("settings"), "settings")).unknownKeys();
    }

    /** One line for the log. */
    public String summary() {
        return name + ": listen " + listen + ", discovery " + discovery + ", " + classes.size() + " classes, "
                + tenants.size() + " tenants, " + knownServers.entries().size() + " known servers";
    }

    private static void requireAtLeastOne(SettingsReader reader, String key, String fieldPath, double defaultValue) {
        if (!(reader.number(key, defaultValue) >= 1)) {
            throw new IllegalArgumentException(
                    fieldPath + (fieldPath.equals(key) ? " must be over 0" : " names no class"));
        }
    }

    /** Null where schedulers do not exchange messages. */
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
                parseAddress(requireText(root, "peer_listen"), "peer_listen"),
                peers,
                ownNumber,
                parseAddress(requireText(root, "peers_all"), "peers_all"));
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

    private static String requireText(Map<?, ?> map, String field) {
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
