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
 * Reads path=value pairs into settings; unknown keys are skipped, absent ones keep their defaults. The simulator sends
 * the pairs as text, a real scheduler finds them nested in its configuration: {@link #toJson} flattens those into the same
 * pairs, so that both readings end in one place.
 */
public final class SettingsReader {
    /** What the protocol pages name, read here or not; numbers as in {@link #unknownServers}. */
    private static final Set<String> NAMED = Set.of(
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

    private SettingsReader(String conf) {
        for (String pair : conf.split(" ")) {
            int eq = pair.indexOf('=');
            if (eq > 0) {
                pairs.put(pair.substring(0, eq), pair.substring(eq + 1));
            } else if (!pair.isEmpty()) {
                throw new IllegalArgumentException("setting without '=': " + pair);
            }
        }
    }

    private SettingsReader(Map<?, ?> nested) {
        flatten("", nested);
    }

    /** A reader of nested settings, as JSON gives them: maps, lists and plain values. */
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

    /** A name as the pairs have it, without spaces and commas; names from elsewhere are compared in this form. */
    public static String normalizeName(Object value) {
        return value == null ? "" : value.toString().replaceAll("[ ,]", "_");
    }

    /** The settings that no page names, in order, numbers in their paths as N: news of a new site, not heeded here. */
    public List<String> unknownKeys() {
        return pairs.keySet().stream()
                .map(key -> key.replaceAll("\\.[0-9]+(?=\\.|$)", ".N"))
                .distinct()
                .filter(key -> !NAMED.contains(key))
                .sorted()
                .toList();
    }

    /** The items of a list of plain values. */
    public List<String> listItems(String key) {
        return List.of(list(key));
    }

    /** The field {@code name} of each item of a list of objects. */
    public List<String> itemNames(String key) {
        List<String> names = new ArrayList<>();
        for (int k = 0; k < (int) number(key + ".count", 0); k++) {
            names.add(pairs.getOrDefault(key + "." + k + ".name", ""));
        }
        return names;
    }

    /** A reader of the simulator's text. */
    static SettingsReader of(String conf) {
        return new SettingsReader(conf);
    }

    static Settings read(long seed, String conf) {
        return of(conf).toSettings(seed);
    }

    /** The module's settings; a value that cannot be read gets an IllegalArgumentException that names it. */
    public Settings toSettings(long seed) {
        Settings s = new Settings();
        s.seed = seed;
        s.dispatchers = (int) number("groupSize", s.dispatchers);
        s.ownIndex = (int) number("me", s.ownIndex);
        s.zone = (int) number("zone", s.zone);
        s.kinds = Math.max(1, list("kinds").length);
        s.tickMicros = (long) number("tick", s.tickMicros);
        s.overQuotaWorth = number("overShareWorth", s.overQuotaWorth);
        s.worthPerWork = "work".equals(pairs.get("worthBy"));
        s.maxAttempts = (int) number("policyLimits.sendCap", s.maxAttempts);
        s.mayHedge = flag("policyLimits.secondCopies", s.mayHedge);
        s.mayCancel = flag("policyLimits.cancel", s.mayCancel);
        s.mayProbe = flag("policyLimits.probing", s.mayProbe);
        s.mayMessagePeers = flag("policyLimits.mayTell", s.mayMessagePeers);
        s.maxRetryAfterMicros = (long) number("policyLimits.maxRetryAfter", s.maxRetryAfterMicros);
        s.ratingsReflectLoad = "live".equals(pairs.get("weights"));
        s.pollsList = "subscribe".equals(pairs.get("discovery"));
        s.listPollMicros = (long) number("rules.askEvery", s.listPollMicros);
        s.notesStart = flag("domain.tellsStart", s.notesStart);
        s.progressMicros = (long) number("domain.progress", s.progressMicros);
        s.connectTimeoutMicros = (long) number("policyLimits.dialTimeout", s.connectTimeoutMicros);
        s.startCapacity = number("rules.startCapacity", s.startCapacity);
        s.warmUpMicros = (long) number("rules.cold", s.warmUpMicros);
        s.overloadMultiple = number("rules.fallMultiple", s.overloadMultiple);
        s.overloadWindowMicros = (long) number("rules.fall", s.overloadWindowMicros);
        s.crossZoneCharge = number("charges.crossZone", s.crossZoneCharge);
        s.reportSource = switch (pairs.getOrDefault("telemetry.how", "silent")) {
            case "piggyback" -> ReportSource.ANSWERS;
            case "pull" -> ReportSource.PROBES;
            default -> ReportSource.NONE;
        };
        s.classes = new JobClass[(int) number("lanes.count", 0)];
        String[] kinds = list("domain.classKind"), stretch = list("domain.classStretch");
        String[] priority = list("domain.classPriority");
        for (int c = 0; c < s.classes.length; c++) {
            String lane = "lanes." + c + ".";
            s.classes[c] = new JobClass(
                    (long) number(lane + "aim", 100_000),
                    item(stretch, c, number(lane + "aimStretch", 0)),
                    (long) number(lane + "deadline", 1_000_000),
                    number(lane + "worth", 1),
                    number(lane + "lateShare", 0),
                    effect(pairs.getOrDefault(lane + "idempotency", "at_most_once")),
                    scope(pairs.getOrDefault(lane + "keyScope", "cell")),
                    (long) number(lane + "repeatWindow", 0),
                    (int) item(kinds, c, -1),
                    (int) item(priority, c, 0));
        }
        s.tenantQuota = new double[(int) number("tenants.count", 0)];
        for (int t = 0; t < s.tenantQuota.length; t++) {
            s.tenantQuota[t] = number("tenants." + t + ".quotaPerS", Double.MAX_VALUE);
        }
        return s;
    }

    private static RepeatSafety effect(String word) {
        return switch (word) {
            case "idempotent" -> RepeatSafety.SAFE;
            case "deduplicated" -> RepeatSafety.KEYED;
            default -> RepeatSafety.UNSAFE; // the strictest, for what is not known
        };
    }

    private static DedupScope scope(String word) {
        return switch (word) {
            case "all" -> DedupScope.ALL;
            case "zone" -> DedupScope.ZONE;
            default -> DedupScope.CELL;
        };
    }

    /** What stands under a key, as text; empty where it is absent. */
    public String text(String key) {
        return pairs.getOrDefault(key, "");
    }

    /** A number, or the other value where the key is absent. */
    public double number(String key, double otherwise) {
        String value = pairs.get(key);
        return value == null || value.isEmpty() || value.equals("-") ? otherwise : parse(key, value);
    }

    private static double parse(String key, String value) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("setting " + key + " is not a number: " + value);
        }
    }

    private boolean flag(String key, boolean otherwise) {
        String value = pairs.get(key);
        return value == null ? otherwise : value.equals("true") || value.equals("1");
    }

    private String[] list(String key) {
        String value = pairs.getOrDefault(key, "");
        return value.isEmpty() || value.equals("-") ? new String[0] : value.split(",");
    }

    private static double item(String[] list, int k, double otherwise) {
        return k < list.length ? parse("list item " + k, list[k]) : otherwise;
    }
}
