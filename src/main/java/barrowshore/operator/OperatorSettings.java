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
            Map<String, List<List<String>>> preference,
            boolean strict,
            double spill,
            double doubtShare,
            long darkAfter,
            long trialEvery,
            long settle,
            long holdOff,
            long holdMost,
            long flapWindow,
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
            for (Map.Entry<String, List<List<String>>> of : preference.entrySet()) {
                List<String> named = new ArrayList<>(List.of(of.getKey()));
                of.getValue().forEach(named::addAll);
                for (String name : named) {
                    if (!zones.contains(name)) {
                        throw new ConfigException("halls: preference names " + name + ", which is none of the zones "
                                + String.join(", ", zones));
                    }
                }
            }
            List<List<String>> tiers = zone < 0 || zone >= zones.size()
                    ? List.of()
                    : preference.getOrDefault(zones.get(zone), List.of(List.of(zones.get(zone))));
            List<Integer> tier = new ArrayList<>();
            for (String name : zones) {
                int at = 0;
                while (at < tiers.size() && !tiers.get(at).contains(name)) {
                    at++;
                }
                tier.add(at);
            }
            int home = zone < zones.size() ? zone : -1;
            return new HallRules(
                    zones,
                    home,
                    tier,
                    strict,
                    spill,
                    doubtShare,
                    darkAfter,
                    trialEvery,
                    settle,
                    holdOff,
                    holdMost,
                    flapWindow,
                    retryShare,
                    retryBurst);
        }
    }

    /** Reads a file; a {@link ConfigException} names line, column and element. */
    public static OperatorSettings read(Path file) {
        return of(file.toString(), XmlFile.read(file, OperatorSettings.class, "operator.xsd"));
    }

    /** Reads a text as the file of that name. */
    public static OperatorSettings parse(String file, String text) {
        return of(
                file,
                XmlFile.read(file, text.getBytes(StandardCharsets.UTF_8), OperatorSettings.class, "operator.xsd"));
    }

    private static OperatorSettings of(String file, Element root) {
        Element halls = root.firstChildNamed("halls");
        Element servers = root.firstChildNamed("servers");
        return new OperatorSettings(
                halls == null ? null : halls(file, halls),
                servers == null
                        ? null
                        : new ServersFileSettings(
                                Path.of(servers.get("file")),
                                servers.number("most-lost"),
                                "file".equals(servers.get("first")),
                                servers.get("keys") == null ? null : Path.of(servers.get("keys"))));
    }

    private static HallSettings halls(String file, Element e) {
        Map<String, List<List<String>>> preference = new TreeMap<>();
        for (Element p : e.childrenNamed("preference")) {
            List<List<String>> tiers = new ArrayList<>();
            Set<String> seen = new HashSet<>();
            for (Element t : p.childrenNamed("tier")) {
                List<String> tier = new ArrayList<>();
                for (Element h : t.childrenNamed("hall")) {
                    if (!seen.add(h.get("name"))) {
                        throw h.error(file, h.get("name") + " is in two tiers of " + p.get("of"));
                    }
                    tier.add(h.get("name"));
                }
                tiers.add(tier);
            }
            if (preference.put(p.get("of"), tiers) != null) {
                throw p.error(file, p.get("of") + " has two preferences");
            }
        }
        if (e.micros("hold-most") < e.micros("hold-off")) {
            throw e.error(file, "hold-most must not be under hold-off");
        }
        return new HallSettings(
                preference,
                "strict".equals(e.get("tiers")),
                e.number("spill"),
                e.number("doubt-share"),
                e.micros("dark-after"),
                e.micros("trial-every"),
                e.micros("settle"),
                e.micros("hold-off"),
                e.micros("hold-most"),
                e.micros("flap-window"),
                e.number("retry-share"),
                e.number("retry-burst"));
    }

    /** One line for a person. */
    public String summary() {
        return (halls == null
                        ? "halls off"
                        : "halls on, spill " + halls.spill() + ", tiers " + (halls.strict() ? "strict" : "priced")
                                + ", preferences of " + halls.preference().keySet())
                + (servers == null ? "" : "; servers from " + servers.file());
    }
}
