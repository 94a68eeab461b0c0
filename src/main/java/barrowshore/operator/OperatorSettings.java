package barrowshore.operator;

import barrowshore.config.ConfigException;
import barrowshore.config.XmlFile;
import barrowshore.config.XmlFile.Element;
import barrowshore.halls.HallRules;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The operators' settings, read from one XML file of their own, completely or not at all. Each subsystem has one
 * element and is off (null) without it. Settings that the platform decides do not belong here.
 */
public record OperatorSettings(HallSettings hallSettings, ServersFileSettings serversFile) {
    /** Hall settings without a servers file. */
    public OperatorSettings(HallSettings halls) {
        this(halls, null);
    }

    /**
     * The element {@code servers}: a file with a list of servers that is watched for changes.
     *
     * @param maxLostShare the share of capacity that a new version may remove without being forced
     * @param fileOverridesDiscovery whether the file's entry is used for servers that discovery names too
     * @param keyDirectory the keys with which the file must be signed; null: no signature is required
     */
    public record ServersFileSettings(
            Path file, double maxLostShare, boolean fileOverridesDiscovery, Path keyDirectory) {}

    /** The settings without a file: everything is off. */
    public static final OperatorSettings NONE = new OperatorSettings(null, null);

    /** The element {@code halls}; {@code tiersByHomeHall} lists the tiers of halls, the preferred first, by home hall. */
    public record HallSettings(
            Map<String, List<List<String>>> tiersByHomeHall,
            boolean strict,
            double spillShare,
            double doubtShare,
            long darkAfterMicros,
            long trialPauseMicros,
            long settleMicros,
            long holdOffMicros,
            long maxHoldOffMicros,
            long flapWindowMicros,
            double retryShare,
            double retryBurst) {
        /** The schema's defaults, as an empty element has them. */
        public static HallSettings defaults() {
            return OperatorSettings.parse("usual", "<operator xmlns=\"urn:barrowshore:operator:1\"><halls/></operator>")
                    .hallSettings();
        }

        /**
         * The rules for a scheduler of that zone (-1: none); each zone is a hall. Halls missing from its preference form
         * one more tier at the end; a preference that names an unknown hall is an error.
         */
        public HallRules rulesFor(List<String> zones, int zone) {
            for (Map.Entry<String, List<List<String>>> preference : tiersByHomeHall.entrySet()) {
                List<String> namedHalls = new ArrayList<>(List.of(preference.getKey()));
                preference.getValue().forEach(namedHalls::addAll);
                for (String name : namedHalls) {
                    if (!zones.contains(name)) {
                        throw new ConfigException("halls: preference names " + name + ", which is none of the zones "
                                + String.join(", ", zones));
                    }
                }
            }
            List<List<String>> tiers = zone < 0 || zone >= zones.size()
                    ? List.of()
                    : tiersByHomeHall.getOrDefault(zones.get(zone), List.of(List.of(zones.get(zone))));
            List<Integer> tiersByHall = new ArrayList<>();
            for (String name : zones) {
                int tierNumber = 0;
                while (tierNumber < tiers.size() && !tiers.get(tierNumber).contains(name)) {
                    tierNumber++;
                }
                tiersByHall.add(tierNumber);
            }
            int home = zone < zones.size() ? zone : -1;
            return new HallRules(
                    zones,
                    home,
                    tiersByHall,
                    strict,
                    spillShare,
                    doubtShare,
                    darkAfterMicros,
                    trialPauseMicros,
                    settleMicros,
                    holdOffMicros,
                    maxHoldOffMicros,
                    flapWindowMicros,
                    retryShare,
                    retryBurst);
        }
    }

    /** Reads the file; a {@link ConfigException} names the line, column and element of an error. */
    public static OperatorSettings read(Path file) {
        return fromXml(file.toString(), XmlFile.read(file, OperatorSettings.class, "operator.xsd"));
    }

    /** Parses the text; {@code file} is the name for error messages. */
    public static OperatorSettings parse(String file, String text) {
        return fromXml(
                file,
                XmlFile.read(file, text.getBytes(StandardCharsets.UTF_8), OperatorSettings.class, "operator.xsd"));
    }

    private static OperatorSettings fromXml(String file, Element root) {
        Element hallsElement = root.firstChildNamed("halls");
        Element serversElement = root.firstChildNamed("servers");
        return new OperatorSettings(
                hallsElement == null ? null : parseHalls(file, hallsElement),
                serversElement == null
                        ? null
                        : new ServersFileSettings(
                                Path.of(serversElement.get("file")),
                                serversElement.number("most-lost"),
                                "file".equals(serversElement.get("first")),
                                serversElement.get("keys") == null ? null : Path.of(serversElement.get("keys"))));
    }

    private static HallSettings parseHalls(String file, Element halls) {
        Map<String, List<List<String>>> tiersByHomeHall = new TreeMap<>();
        for (Element preference : halls.childrenNamed("preference")) {
            List<List<String>> tiers = new ArrayList<>();
            Set<String> hallNames = new HashSet<>();
            for (Element tierElement : preference.childrenNamed("tier")) {
                List<String> tier = new ArrayList<>();
                for (Element hall : tierElement.childrenNamed("hall")) {
                    if (!hallNames.add(hall.get("name"))) {
                        throw hall.error(file, hall.get("name") + " is in two tiers of " + preference.get("of"));
                    }
                    tier.add(hall.get("name"));
                }
                tiers.add(tier);
            }
            if (tiersByHomeHall.put(preference.get("of"), tiers) != null) {
                throw preference.error(file, preference.get("of") + " has two preferences");
            }
        }
        if (halls.micros("hold-most") < halls.micros("hold-off")) {
            throw halls.error(file, "hold-most must not be under hold-off");
        }
        return new HallSettings(
                tiersByHomeHall,
                "strict".equals(halls.get("tiers")),
                halls.number("spill"),
                halls.number("doubt-share"),
                halls.micros("dark-after"),
                halls.micros("trial-every"),
                halls.micros("settle"),
                halls.micros("hold-off"),
                halls.micros("hold-most"),
                halls.micros("flap-window"),
                halls.number("retry-share"),
                halls.number("retry-burst"));
    }

    /** One line for people to read. */
    public String summary() {
        return (hallSettings == null
                        ? "halls off"
                        : "halls on, spill " + hallSettings.spillShare() + ", tiers "
                                + (hallSettings.strict() ? "strict" : "priced") + ", preferences of "
                                + hallSettings.tiersByHomeHall().keySet())
                + (serversFile == null ? "" : "; servers from " + serversFile.file());
    }
}
