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
 * A fleet of real processes and what befalls it: how many schedulers and workers, how many jobs a second for how long, and
 * the faults at set times. It owns the reading of the file; times are microseconds from the start of the load.
 */
public record FleetScenario(
        String name,
        int schedulers,
        int workers,
        double rate,
        long length,
        long seed,
        double loss,
        List<Fault> faults) {
    /** What happens. Schedulers are numbered from 0, and so are workers. */
    public enum What {
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

    /** one: the scheduler or worker; lasts 0: for good; others: the schedulers on the other side of a partition. */
    public record Fault(What what, long at, long lasts, int one, double factor, List<Integer> others) {
        boolean ofWorker() {
            return what.ordinal() >= What.CRASH.ordinal();
        }
    }

    /** Reads a file; a {@link ConfigException} names line, column and element. */
    public static FleetScenario read(Path file) {
        return of(file.toString(), XmlFile.read(file, FleetScenario.class, "fleet.xsd"));
    }

    static FleetScenario parse(String text) {
        return of(
                "fleet",
                XmlFile.read("fleet", text.getBytes(StandardCharsets.UTF_8), FleetScenario.class, "fleet.xsd"));
    }

    private static FleetScenario of(String file, Element root) {
        int schedulers = (int) root.number("schedulers"), workers = (int) root.number("workers");
        long length = root.micros("length");
        List<Fault> faults = new ArrayList<>();
        for (Element e : root.children()) {
            What what = What.valueOf(e.name().toUpperCase(Locale.ROOT));
            boolean worker = e.get("worker") != null;
            int one = what == What.PARTITION ? -1 : (int) e.number(worker ? "worker" : "scheduler");
            if (one >= (worker ? workers : schedulers)) {
                throw e.error(
                        file,
                        "there is no " + (worker ? "worker " : "scheduler ") + one + "; they are numbered from 0");
            }
            if (e.micros("at") + e.micros("for") > length) {
                throw e.error(file, "it is not over before the load is");
            }
            List<Integer> others = new ArrayList<>();
            for (String word : what == What.PARTITION ? e.get("schedulers").split("\\s+") : new String[0]) {
                if (Integer.parseInt(word) >= schedulers) {
                    throw e.error(file, "there is no scheduler " + word + "; they are numbered from 0");
                }
                if (others.contains(Integer.parseInt(word))) {
                    throw e.error(file, "scheduler " + word + " is there twice");
                }
                others.add(Integer.parseInt(word));
            }
            faults.add(new Fault(
                    what,
                    e.micros("at"),
                    e.micros("for"),
                    one,
                    e.get("factor") == null ? 1 : e.number("factor"),
                    others));
            inOrder(file, e, faults, schedulers);
        }
        faults.sort(Comparator.comparingLong(Fault::at));
        return new FleetScenario(
                root.get("name"),
                schedulers,
                workers,
                root.number("rate"),
                length,
                (long) root.number("seed"),
                root.number("loss"),
                List.copyOf(faults));
    }

    /** What is down cannot be killed, ended or paused, and what is up cannot be started. */
    private static void inOrder(String file, Element at, List<Fault> faults, int schedulers) {
        List<Fault> sorted = new ArrayList<>(faults);
        sorted.sort(Comparator.comparingLong(Fault::at));
        Map<Integer, Boolean> up = new TreeMap<>();
        for (Fault f : sorted) {
            if (f.ofWorker() || f.what() == What.PARTITION || f.what() == What.SILENCE) {
                continue;
            }
            boolean was = up.getOrDefault(f.one(), true);
            if (was == (f.what() == What.START)) {
                throw at.error(file, "scheduler " + f.one() + " is " + (was ? "up" : "down") + " by then");
            }
            up.put(f.one(), f.what() == What.START || f.what() == What.PAUSE);
        }
        if (up.values().stream().filter(u -> !u).count() >= schedulers) {
            throw at.error(file, "nobody is left to serve");
        }
    }
}
