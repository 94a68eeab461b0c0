package barrowshore;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * What a dispatcher has learned, as lines of text for one that takes its place: averages over jobs by class and machine
 * kind, and the evidence on each worker. It decides nothing. A line that cannot be read, or that is about what this
 * dispatcher does not have, is passed over: what was learned is help, never truth.
 */
final class Memory {
    private Memory() { }

    static List<String> write(Traffic mean, Kind[] kinds, Roster roster) {
        List<String> lines = new ArrayList<>();
        lines.add(line("mean", mean.work, mean.size, mean.square, mean.density, mean.aim, mean.running, mean.arrivals,
                mean.hinted ? 1 : 0));
        lines.add(line("classes", mean.classWork));
        for (int k = 0; k < kinds.length; k++) {
            Kind kind = kinds[k];
            lines.add(line("kind " + k, kind.speed, kind.work, kind.took, kind.jobs, kind.slots, kind.worth));
        }
        for (Worker w : roster.ready) {
            lines.add(line("worker " + w.id, w.seen.figures()) + line("", w.downUntil, w.strikes));
        }
        return lines;
    }

    private static String line(String about, double... figures) {
        StringBuilder out = new StringBuilder(about);
        for (double figure : figures) {
            out.append(' ').append(String.format(Locale.ROOT, "%.17g", figure));
        }
        return out.toString();
    }

    static void read(List<String> lines, Traffic mean, Kind[] kinds, Roster roster) {
        for (String line : lines) {
            try {
                String[] words = line.split(" ");
                boolean named = words[0].equals("kind") || words[0].equals("worker");
                double[] f = Arrays.stream(words).skip(named ? 2 : 1).mapToDouble(Memory::figure).toArray();
                if (f.length != switch (words[0]) {
                    case "mean" -> 8;
                    case "kind" -> 6;
                    case "worker" -> 7;
                    default -> f.length;
                }) {
                    continue;
                }
                switch (words[0]) {
                    case "mean" -> mean.recall(f);
                    case "classes" -> mean.recallClasses(f);
                    case "kind" -> kinds[Integer.parseInt(words[1])].recall(f);
                    case "worker" -> {
                        Worker w = roster.worker(words[1]);
                        if (w != null) {
                            w.seen.recall(f);
                            w.downUntil = Math.max(w.downUntil, (long) f[5]);
                            w.strikes = Math.max(w.strikes, (int) f[6]);
                        }
                    }
                    default -> { }
                }
            } catch (RuntimeException e) {
                continue;   // of another version, or damaged
            }
        }
    }

    /** None of them is below 0 or without a bound. */
    private static double figure(String word) {
        double figure = Double.parseDouble(word);
        if (!(figure >= 0 && figure < 1e18)) {
            throw new IllegalArgumentException(word);
        }
        return figure;
    }
}
