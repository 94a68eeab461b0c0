package barrowshore.emulate;

import barrowshore.config.XmlFile;
import barrowshore.config.XmlFile.Element;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * What is emulated: zones with their nodes, schedulers and clients, and what happens to them when. It owns the reading
 * of the scenario's file; times are microseconds from the start.
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
    /** clients: the share of all clients that belong to the zone. */
    public record ZoneSpec(String name, int nodes, int schedulers, double clients) {}

    /** What a thing is that happens. */
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
     * Something that happens. spread: over how long its parts begin and end; part: of the zone's nodes; back: the share
     * of those that ever come back; factor, scheduler and count where they mean something.
     */
    public record ScenarioEvent(
            EventType type,
            long at,
            long duration,
            long spread,
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
                throw e.error(file, e.get("name") + " is there twice");
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

    private static double number(Element e, String attribute, double otherwise) {
        return e.get(attribute) == null ? otherwise : e.number(attribute);
    }

    int schedulers() {
        return zones.stream().mapToInt(ZoneSpec::schedulers).sum();
    }

    List<String> zoneNames() {
        return zones.stream().map(ZoneSpec::name).toList();
    }
}
