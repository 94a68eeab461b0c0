package barrowshore.fleet;

import barrowshore.config.ConfigException;
import barrowshore.config.XmlFile;
import barrowshore.config.XmlFile.Element;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * The scenario of a {@link Fleet} run: its size, its load, and faults at set times. It owns the parsing of the file. Times
 * count from the start of the load.
 */
public record FleetScenario(
        String name,
        int schedulers,
        int workers,
        double jobsPerSecond,
        long lengthMicros,
        long seed,
        double datagramLoss,
        List<Fault> faults) {
    /** The kinds of faults, as XML elements name them: first those of schedulers, from CRASH on those of workers. */
    public enum FaultKind {
        KILL,
        TERM,
        START,
        PAUSE,
        PARTITION,
        SILENCE,
        CRASH,
        HANG,
        SLOW,
        DRAIN
    }

    /**
     * One fault. durationMicros 0: no end; target: number of the scheduler or worker, -1 for PARTITION; factor: slowdown
     * of SLOW; isolatedSchedulers: one side of PARTITION.
     */
    public record Fault(
            FaultKind kind,
            long atMicros,
            long durationMicros,
            int target,
            double factor,
            List<Integer> isolatedSchedulers) {
        boolean targetsWorker() {
            return kind.ordinal() >= FaultKind.CRASH.ordinal();
        }
    }

    /** Reads a file; a {@link ConfigException} names line, column and element of the first error. */
    public static FleetScenario read(Path file) {
        return fromXml(file.toString(), XmlFile.read(file, FleetScenario.class, "fleet.xsd"));
    }

    static FleetScenario parse(String text) {
        return fromXml(
                "fleet",
                XmlFile.read("fleet", text.getBytes(StandardCharsets.UTF_8), FleetScenario.class, "fleet.xsd"));
    }

    private static FleetScenario fromXml(String file, Element root) {
        int schedulers = (int) root.number("schedulers"), workers = (int) root.number("workers");
        long lengthMicros = root.micros("length");
        List<Fault> faults = new ArrayList<>();
        for (Element element : root.children()) {
            FaultKind kind = FaultKind.valueOf(element.name().toUpperCase(Locale.ROOT));
            boolean targetsWorker = element.get("worker") != null;
            int target =
                    kind == FaultKind.PARTITION ? -1 : (int) element.number(targetsWorker ? "worker" : "scheduler");
            if (target >= (targetsWorker ? workers : schedulers)) {
                throw element.error(
                        file,
                        "there is no " + (targetsWorker ? "worker " : "scheduler ") + target
                                + "; they are numbered from 0");
            }
            if (element.micros("at") + element.micros("for") > lengthMicros) {
                throw element.error(file, "the fault ends after the load does (at + for > length)");
            }
            List<Integer> isolatedSchedulers = new ArrayList<>();
            for (String number :
                    kind == FaultKind.PARTITION ? element.get("schedulers").split("\\s+") : new String[0]) {
                if (Integer.parseInt(number) >= schedulers) {
                    throw element.error(file, "there is no scheduler " + number + "; they are numbered from 0");
                }
                if (isolatedSchedulers.contains(Integer.parseInt(number))) {
                    throw element.error(file, "scheduler " + number + " is listed twice");
                }
                isolatedSchedulers.add(Integer.parseInt(number));
            }
            faults.add(new Fault(
                    kind,
                    element.micros("at"),
                    element.micros("for"),
                    target,
                    element.get("factor") == null ? 1 : element.number("factor"),
                    isolatedSchedulers));
            checkOrder(file, element, faults, schedulers);
        }
        faults.sort(Comparator.comparingLong(Fault::atMicros));
        return new FleetScenario(
                root.get("name"),
                schedulers,
                workers,
                root.number("rate"),
                lengthMicros,
                (long) root.number("seed"),
                root.number("loss"),
                List.copyOf(faults));
    }

    /** Rejects kill, term and pause of a scheduler that is down, start of one that is up, and a fleet all down. */
    private static void checkOrder(String file, Element element, List<Fault> faults, int schedulers) {
        List<Fault> sorted = new ArrayList<>(faults);
        sorted.sort(Comparator.comparingLong(Fault::atMicros));
        Map<Integer, Boolean> upByScheduler = new TreeMap<>();
        for (Fault fault : sorted) {
            if (fault.targetsWorker() || fault.kind() == FaultKind.PARTITION || fault.kind() == FaultKind.SILENCE) {
                continue;
            }
            boolean wasUp = upByScheduler.getOrDefault(fault.target(), true);
            if (wasUp == (fault.kind() == FaultKind.START)) {
                throw element.error(
                        file, "scheduler " + fault.target() + " is " + (wasUp ? "up" : "down") + " at that time");
            }
            upByScheduler.put(fault.target(), fault.kind() == FaultKind.START || fault.kind() == FaultKind.PAUSE);
        }
        if (upByScheduler.values().stream().filter(isUp -> !isUp).count() >= schedulers) {
            throw element.error(file, "no scheduler is left to serve");
        }
    }
}
