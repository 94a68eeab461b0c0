package barrowshore.emulate;

import barrowshore.config.XmlFile;
import barrowshore.config.XmlFile.Element;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * An emulated scenario: zones with their nodes, schedulers and clients, and the events that happen to them. It owns the
 * parsing of scenario files. load: offered work relative to the capacity of all nodes; retries: per job; leavingShare: of
 * requests whose client disconnects early. Times are microseconds from the start.
 */
public record Scenario(
        String name,
        long lengthMicros,
        double load,
        int cores,
        int retries,
        double messageLoss,
        double leavingShare,
        boolean probes,
        List<ZoneSpec> zones,
        List<ScenarioEvent> events) {
    /** A zone; clients: its share of all clients. */
    public record ZoneSpec(String name, int nodes, int schedulers, double clients) {}

    /** Kind of event; named after the XML elements and values, and printed in reports. */
    public enum EventType {
        VANISH,
        CRASH,
        RENEW,
        CUT,
        DRAIN,
        UNLIST,
        HANG,
        SLOW,
        BURST,
        RESTART,
        TROUBLES
    }

    /**
     * An event. spreadMicros: time over which nodes are affected one by one; nodeShare: of the zone's nodes; returnShare: of
     * the affected nodes; factor (for TROUBLES a count) and scheduler are used by some types only.
     */
    public record ScenarioEvent(
            EventType type,
            long startMicros,
            long durationMicros,
            long spreadMicros,
            int zone,
            double nodeShare,
            double returnShare,
            double factor,
            int scheduler) {}

    /** Reads a file; a {@link barrowshore.config.ConfigException} names line, column and element. */
    public static Scenario read(Path file) {
        return of(file.toString(), XmlFile.read(file, Scenario.class, "scenario.xsd"));
    }

    static Scenario parse(String text) {
        return of(
                "scenario",
                XmlFile.read("scenario", text.getBytes(StandardCharsets.UTF_8), Scenario.class, "scenario.xsd"));
    }

    private static Scenario of(String file, Element root) {
        List<ZoneSpec> zones = new ArrayList<>();
        for (Element e : root.childrenNamed("hall")) {
            if (zones.stream().anyMatch(z -> z.name().equals(e.get("name")))) {
                throw e.error(file, e.get("name") + " is defined twice");
            }
            zones.add(new ZoneSpec(
                    e.get("name"), (int) e.number("nodes"), (int) e.number("schedulers"), e.number("clients")));
        }
        if (zones.stream().mapToDouble(ZoneSpec::clients).sum() <= 0) {
            throw root.error(file, "no hall has clients");
        }
        for (ZoneSpec z : zones) {
            if (z.clients() > 0 && z.schedulers() == 0) {
                throw root.error(file, z.name() + " has clients but no scheduler");
            }
        }
        int schedulers = zones.stream().mapToInt(ZoneSpec::schedulers).sum();
        List<ScenarioEvent> events = new ArrayList<>();
        for (Element e : root.children()) {
            if (e.name().equals("hall")) {
                continue;
            }
            int zone = -1;
            if (e.get("hall") != null) {
                zone = zones.stream().map(ZoneSpec::name).toList().indexOf(e.get("hall"));
                if (zone < 0) {
                    throw e.error(file, "there is no hall " + e.get("hall"));
                }
            }
            int scheduler = e.get("scheduler") == null ? -1 : (int) e.number("scheduler");
            if (scheduler >= schedulers) {
                throw e.error(file, "there is no scheduler " + scheduler + "; they are numbered from 0");
            }
            EventType type =
                    switch (e.name()) {
                        case "dark" -> EventType.valueOf(e.get("how").toUpperCase(java.util.Locale.ROOT));
                        default -> EventType.valueOf(e.name().toUpperCase(java.util.Locale.ROOT));
                    };
            events.add(new ScenarioEvent(
                    type,
                    e.micros("at"),
                    e.micros("for"),
                    e.micros("spread"),
                    zone,
                    number(e, "part", 1),
                    number(e, "back", 1),
                    number(e, type == EventType.TROUBLES ? "count" : "factor", 1),
                    scheduler));
        }
        return new Scenario(
                root.get("name"),
                root.micros("length"),
                root.number("load"),
                (int) root.number("cores"),
                (int) root.number("retries"),
                root.number("loss"),
                root.number("leaving"),
                "true".equals(root.get("probes")) || "1".equals(root.get("probes")),
                zones,
                events);
    }

    private static double number(Element e, String attribute, double defaultValue) {
        return e.get(attribute) == null ? defaultValue : e.number(attribute);
    }

    int schedulers() {
        return zones.stream().mapToInt(ZoneSpec::schedulers).sum();
    }

    List<String> zoneNames() {
        return zones.stream().map(ZoneSpec::name).toList();
    }
}
