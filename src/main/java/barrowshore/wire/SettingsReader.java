package barrowshore.wire;

import barrowshore.module.DispatchApi.DedupScope;
import barrowshore.module.DispatchApi.JobClass;
import barrowshore.module.DispatchApi.RepeatSafety;
import barrowshore.module.DispatchApi.ReportSource;
import barrowshore.module.DispatchApi.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Reads path=value pairs into settings; unknown keys are ignored, absent ones keep their defaults. The simulator sends the
 * pairs as text; a scheduler's configuration has them nested, and they are flattened into the same pairs here, so that both
 * are read by the same code.
 */
public final class SettingsReader {
    /** The keys that the protocol documents, read here or not, with N for list indexes ({@link #unknownKeys}). */
    private static final Set<String> KNOWN_KEYS = Set.of(
            "groupSize",
            "me",
            "zone",
            "zones",
            "kinds",
            "tick",
            "tier",
            "family",
            "stages",
            "discovery",
            "weights",
            "worthBy",
            "overShareWorth",
            "lanes.count",
            "lanes.N.name",
            "lanes.N.aim",
            "lanes.N.aimStretch",
            "lanes.N.deadline",
            "lanes.N.worth",
            "lanes.N.lateShare",
            "lanes.N.idempotency",
            "lanes.N.keyScope",
            "lanes.N.repeatWindow",
            "lanes.N.streaming",
            "tenants",
            "tenants.count",
            "tenants.N.name",
            "tenants.N.share",
            "tenants.N.quotaPerS",
            "clients.marksRetry",
            "domain.classKind",
            "domain.classStretch",
            "domain.classPriority",
            "domain.memoryUnit",
            "domain.notes",
            "domain.progress",
            "domain.queueOrder",
            "domain.reportX0",
            "domain.reportX1",
            "domain.tellsStart",
            "goal.whole",
            "goal.worstClass",
            "goal.worstTenant",
            "goal.worstWindow",
            "policyLimits.cancel",
            "policyLimits.keepalive",
            "policyLimits.dialTimeout",
            "policyLimits.cpuUsPerRequest",
            "policyLimits.cpuUsPerS",
            "policyLimits.sendCap",
            "policyLimits.openCap",
            "policyLimits.maxRetryAfter",
            "policyLimits.mayTell",
            "policyLimits.probing",
            "policyLimits.retryAfter",
            "policyLimits.secondCopies",
            "policyLimits.multiplex",
            "charges.connection",
            "charges.crossZone",
            "charges.discovery",
            "charges.fleet",
            "charges.handshake",
            "charges.lateFail",
            "charges.moves",
            "charges.origin",
            "charges.peer",
            "charges.probe",
            "charges.waste",
            "telemetry.columns",
            "telemetry.how",
            "rules.answerSlack",
            "rules.askEvery",
            "rules.startCapacity",
            "rules.cold",
            "rules.stopSendingWithin",
            "rules.fallMultiple",
            "rules.fall");

    private final Map<String, String> pairs = new HashMap<>();

    private SettingsReader(String pairsText) {
        for (String pair : pairsText.split(" ")) {
            int equalsSign = pair.indexOf('=');
            if (equalsSign > 0) {
                pairs.put(pair.substring(0, equalsSign), pair.substring(equalsSign + 1));
            } else if (!pair.isEmpty()) {
                throw new IllegalArgumentException("setting without '=': " + pair);
            }
        }
    }

    private SettingsReader(Map<?, ?> nested) {
        flatten("", nested);
    }

    /** A reader of nested settings as parsed from JSON: maps, lists and plain values. */
    public static SettingsReader of(Map<?, ?> nested) {
        return new SettingsReader(nested);
    }

    private void flatten(String path, Map<?, ?> nested) {
        nested.forEach((key, value) -> flatten(path + key, value));
    }

    private void flatten(String path, Object value) {
        if (value instanceof Map<?, ?> map) {
            flatten(path + ".", map);
        } else if (value instanceof List<?> list && list.stream().anyMatch(Map.class::isInstance)) {
            pairs.put(path + ".count", String.valueOf(list.size()));
            for (int k = 0; k < list.size(); k++) {
                flatten(path + "." + k, list.get(k));
            }
        } else if (value instanceof List<?> list) {
            pairs.put(path, list.stream().map(SettingsReader::normalizeName).collect(Collectors.joining(",")));
        } else {
            pairs.put(path, normalizeName(value));
        }
    }

    /** Replaces spaces and commas, the separators, by "_"; names from elsewhere are compared in this form. */
    public static String normalizeName(Object value) {
        return value == null ? "" : value.toString().replaceAll("[ ,]", "_");
    }

    /** The keys that the protocol does not document, sorted, with N for list indexes; they are ignored. */
    public List<String> unknownKeys() {
        return pairs.keySet().stream()
                .map(key -> key.replaceAll("\\.[0-9]+(?=\\.|$)", ".N"))
                .distinct()
                .filter(key -> !KNOWN_KEYS.contains(key))
                .sorted()
                .toList();
    }

    /** The items of a list of plain values. */
    public List<String> itemsOf(String key) {
        return List.of(splitList(key));
    }

    /** The field {@code name} of each item of a list of objects. */
    public List<String> itemNames(String key) {
        List<String> names = new ArrayList<>();
        for (int k = 0; k < (int) number(key + ".count", 0); k++) {
            names.add(pairs.getOrDefault(key + "." + k + ".name", ""));
        }
        return names;
    }

    /** A reader of the simulator's form: key=value pairs separated by spaces. */
    static SettingsReader of(String pairsText) {
        return new SettingsReader(pairsText);
    }

    static Settings parseSettings(long seed, String pairsText) {
        return of(pairsText).toSettings(seed);
    }

    /** The dispatcher's settings; an invalid value gets an IllegalArgumentException that names its key. */
    public Settings toSettings(long seed) {
        Settings settings = new Settings();
        settings.seed = seed;
        settings.dispatchers = (int) number("groupSize", settings.dispatchers);
        settings.ownIndex = (int) number("me", settings.ownIndex);
        settings.zone = (int) number("zone", settings.zone);
        settings.machineKinds = Math.max(1, splitList("kinds").length);
        settings.tickMicros = (long) number("tick", settings.tickMicros);
        settings.overQuotaWorthShare = number("overShareWorth", settings.overQuotaWorthShare);
        settings.worthPerWork = "work".equals(pairs.get("worthBy"));
        settings.maxAttempts = (int) number("policyLimits.sendCap", settings.maxAttempts);
        settings.mayHedge = flag("policyLimits.secondCopies", settings.mayHedge);
        settings.mayCancel = flag("policyLimits.cancel", settings.mayCancel);
        settings.mayProbe = flag("policyLimits.probing", settings.mayProbe);
        settings.mayMessagePeers = flag("policyLimits.mayTell", settings.mayMessagePeers);
        settings.maxRetryAfterMicros = (long) number("policyLimits.maxRetryAfter", settings.maxRetryAfterMicros);
        settings.ratingsReflectLoad = "live".equals(pairs.get("weights"));
        settings.pollsList = "subscribe".equals(pairs.get("discovery"));
        settings.listPollMicros = (long) number("rules.askEvery", settings.listPollMicros);
        settings.notesStart = flag("domain.tellsStart", settings.notesStart);
        settings.progressMicros = (long) number("domain.progress", settings.progressMicros);
        settings.connectTimeoutMicros = (long) number("policyLimits.dialTimeout", settings.connectTimeoutMicros);
        settings.startCapacity = number("rules.startCapacity", settings.startCapacity);
        settings.warmUpMicros = (long) number("rules.cold", settings.warmUpMicros);
        settings.overloadMultiple = number("rules.fallMultiple", settings.overloadMultiple);
        settings.overloadWindowMicros = (long) number("rules.fall", settings.overloadWindowMicros);
        settings.crossZoneCharge = number("charges.crossZone", settings.crossZoneCharge);
        settings.reportSource = switch (pairs.getOrDefault("telemetry.how", "silent")) {
            case "piggyback" -> ReportSource.ANSWERS;
            case "pull" -> ReportSource.PROBES;
            default -> ReportSource.NONE;
        };
        settings.classes = new JobClass[(int) number("lanes.count", 0)];
        String[] classKinds = splitList("domain.classKind"), classStretches = splitList("domain.classStretch");
        String[] classPriorities = splitList("domain.classPriority");
        for (int c = 0; c < settings.classes.length; c++) {
            String classPrefix = "lanes." + c + ".";
            settings.classes[c] = new JobClass(
                    (long) number(classPrefix + "aim", 100_000),
                    numberAt(classStretches, c, number(classPrefix + "aimStretch", 0)),
                    (long) number(classPrefix + "deadline", 1_000_000),
                    number(classPrefix + "worth", 1),
                    number(classPrefix + "lateShare", 0),
                    parseRepeatSafety(pairs.getOrDefault(classPrefix + "idempotency", "at_most_once")),
                    parseDedupScope(pairs.getOrDefault(classPrefix + "keyScope", "cell")),
                    (long) number(classPrefix + "repeatWindow", 0),
                    (int) numberAt(classKinds, c, -1),
                    (int) numberAt(classPriorities, c, 0));
        }
        settings.tenantQuota = new double[(int) number("tenants.count", 0)];
        for (int t = 0; t < settings.tenantQuota.length; t++) {
            settings.tenantQuota[t] = number("tenants." + t + ".quotaPerS", Double.MAX_VALUE);
        }
        return settings;
    }

    private static RepeatSafety parseRepeatSafety(String word) {
        return switch (word) {
            case "idempotent" -> RepeatSafety.SAFE;
            case "deduplicated" -> RepeatSafety.KEYED;
            default -> RepeatSafety.UNSAFE; // the strictest, also for unknown words
        };
    }

    private static DedupScope parseDedupScope(String word) {
        return switch (word) {
            case "all" -> DedupScope.ALL;
            case "zone" -> DedupScope.ZONE;
            default -> DedupScope.CELL;
        };
    }

    /** The value of a key as text; empty if it is absent. */
    public String text(String key) {
        return pairs.getOrDefault(key, "");
    }

    /** The value of a key as a number; the default if it is absent, empty or "-". */
    public double number(String key, double defaultValue) {
        String value = pairs.get(key);
        return value == null || value.isEmpty() || value.equals("-") ? defaultValue : parseNumber(key, value);
    }

    private static double parseNumber(String key, String value) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("setting " + key + " is not a number: " + value);
        }
    }

    private boolean flag(String key, boolean defaultValue) {
        String value = pairs.get(key);
        return value == null ? defaultValue : value.equals("true") || value.equals("1");
    }

    private String[] splitList(String key) {
        String value = pairs.getOrDefault(key, "");
        return value.isEmpty() || value.equals("-") ? new String[0] : value.split(",");
    }

    private static double numberAt(String[] list, int index, double defaultValue) {
        return index < list.length ? parseNumber("list item " + index, list[index]) : defaultValue;
    }
}
