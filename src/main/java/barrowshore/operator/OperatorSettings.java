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
 * The operators' own settings, read from one XML file beside what the platform tells. It owns the reading of that file,
 * whole or not at all; each subsystem has one element in it, and what has none is off. It must never hold what the
 * platform decides.
 */
public record OperatorSettings(HallSettings halls, ServersFileSettings servers) {
    /** The settings of halls alone. */
    public OperatorSettings(HallSettings halls) {
        this(halls, null);
    }

    /**
     * The element {@code servers}: a watched list of servers. mostLost: the share of capacity that a new version may
     * take away unforced; filesFirst: whether the file wins where discovery names a server too; keys:
     * the directory of the keys that it must be signed by, null: none.
     */
    public record ServersFileSettings(
            Path file, double maxLostShare, boolean fileOverridesDiscovery, Path keyDirectory) {}

    /** What holds where there is no file. */
    public static final OperatorSettings NONE = new OperatorSettings(null, null);

    /**
     * The element {@code halls}; times in microseconds. preference: for the scheduler's own hall, the tiers of halls, the
     * first choice first.
     */
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
        /** What an empty element says. */
        public static HallSettings defaults() {
            return OperatorSettings.parse("usual", "<operator xmlns=\"urn:barrowshore:operator:1\"><halls/></operator>")
                    .halls();
        }

        /**
         * The rules for a scheduler of that zone (-1: none), among halls of these names. A hall that its preference leaves
         * out is of one tier more; a preference for a hall that there is not is an error.
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

    /** Reads a file; a {@link ConfigException} names line, column and element. */
    public static OperatorSettings read(Path file) {
        return fromXml(file.toString(), XmlFile.read(file, OperatorSettings.class, "operator.xsd"));
    }

    /** Reads a text as the file of that name. */
    public static OperatorSettings parse(String file, String text) {
        return fromXml(
                file,
                XmlFile.read(file, text.getBytes(StandardCharsets.UTF_8), OperatorSettings.class, "operator.xsd"));
    }

    private static OperatorSettings fromXml(String file, Element root) {
        Element hallsElement = root.firstChildNamed("halls");
        Element serversElement = root.firstChildNamed("servers");
        return new OperatorSettings(
                hallsElement == null ? null : halls(file, hallsElement),
                serversElement == null
                        ? null
                        : new ServersFileSettings(
                                Path.of(serversElement.get("file")),
                                serversElement.number("most-lost"),
                                "file".equals(serversElement.get("first")),
                                serversElement.get("keys") == null ? null : Path.of(serversElement.get("keys"))));
    }

    private static HallSettings halls(String file, Element halls) {
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

    /** One line for a person. */
    public String summary() {
        return (halls == null
                        ? "halls off"
                        : "halls on, spill " + halls.spillShare() + ", tiers " + (halls.strict() ? "strict" : "priced")
                                + ", preferences of " + halls.tiersByHomeHall().keySet())
                + (servers == null ? "" : "; servers from " + servers.file());
    }
}
