package barrowshore.list;

import barrowshore.list.OperatorServerList.Server;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Decides whether a new servers file may replace the one in use: a file that removes too much capacity is held until a later
 * revision has {@code force}. Also formats lists and their differences. Has no state and changes nothing.
 */
public final class ServerListChangePolicy {
    /** The outcome for a file and its reason. */
    public record Decision(Outcome outcome, String reason) {}

    /** Accepted; equal to the file in use; held until a later revision confirms it; refused. */
    public enum Outcome {
        TAKEN,
        SAME,
        HELD,
        REFUSED
    }

    private ServerListChangePolicy() {}

    /** Compares a file with the one in use (null: none). maxLostShare: the share of capacity it may remove at once. */
    public static Decision decide(OperatorServerList inUse, OperatorServerList next, double maxLostShare) {
        if (inUse == null) {
            return next.servers().isEmpty() && !next.force()
                    ? new Decision(Outcome.HELD, "it names no server; force=\"true\" in a later revision confirms it")
                    : new Decision(Outcome.TAKEN, "the first one");
        }
        if (next.revision() < inUse.revision()) {
            return new Decision(
                    Outcome.REFUSED,
                    "its revision " + next.revision() + " is before " + inUse.revision() + ", which is in use");
        }
        if (next.hasSameServers(inUse)) {
            return new Decision(Outcome.SAME, "it names the same servers");
        }
        if (next.revision() == inUse.revision()) {
            return new Decision(
                    Outcome.REFUSED,
                    "it differs from revision " + inUse.revision() + ", which is in use, but has the same number");
        }
        if (next.force()) {
            return new Decision(Outcome.TAKEN, "forced");
        }
        Map<String, Double> oldCapacityByHall = capacityByHall(inUse.servers().values()),
                newCapacityByHall = capacityByHall(next.servers().values());
        double oldCapacity =
                oldCapacityByHall.values().stream().mapToDouble(w -> w).sum();
        double lostCapacity = 0;
        for (Server s : inUse.servers().values()) {
            Server nextServer = next.servers().get(s.uid());
            lostCapacity += Math.max(0, usableCapacity(s) - (nextServer == null ? 0 : usableCapacity(nextServer)));
        }
        if (newCapacityByHall.isEmpty()) {
            return new Decision(
                    Outcome.HELD, "it leaves no server in use; force=\"true\" in a later revision confirms it");
        }
        for (String hall : oldCapacityByHall.keySet()) {
            if (!newCapacityByHall.containsKey(hall)) {
                return new Decision(
                        Outcome.HELD,
                        "it leaves hall " + hall + " empty; force=\"true\" in a later revision confirms it");
            }
        }
        if (oldCapacity > 0 && lostCapacity / oldCapacity > maxLostShare) {
            return new Decision(
                    Outcome.HELD,
                    String.format(
                            Locale.ROOT,
                            "it takes %.0f%% of the capacity away, over %.0f%%;"
                                    + " force=\"true\" in a later revision confirms it",
                            100 * lostCapacity / oldCapacity,
                            100 * maxLostShare));
        }
        return new Decision(Outcome.TAKEN, "");
    }

    private static double usableCapacity(Server s) {
        return s.draining() ? 0 : s.weight();
    }

    private static Map<String, Double> capacityByHall(Collection<Server> servers) {
        Map<String, Double> byHall = new HashMap<>();
        for (Server s : servers) {
            if (usableCapacity(s) > 0) {
                byHall.merge(s.hall(), usableCapacity(s), Double::sum);
            }
        }
        return byHall;
    }

    /** The differences between two files: one line for each server added (+), changed (~) or removed (-). */
    public static List<String> diff(OperatorServerList from, OperatorServerList to) {
        List<String> lines = new ArrayList<>();
        for (Server s : to.servers().values()) {
            Server old = from.servers().get(s.uid());
            if (old == null) {
                lines.add("+ " + s.uid() + " " + describe(s));
            } else if (!old.equalsIgnoringLine(s)) {
                lines.add("~ " + s.uid() + " " + describe(old) + " -> " + describe(s));
            }
        }
        for (Server s : from.servers().values()) {
            if (!to.servers().containsKey(s.uid())) {
                lines.add("- " + s.uid() + " " + describe(s));
            }
        }
        return lines;
    }

    /** The list as text, one line for each server. */
    public static List<String> format(OperatorServerList file) {
        return file.servers().values().stream()
                .map(s -> s.uid() + " " + describe(s))
                .toList();
    }

    private static String describe(Server s) {
        return s.endpoint().getAddress().getHostAddress() + ":" + s.endpoint().getPort() + " " + s.hall() + " "
                + s.model() + " weight " + s.weight() + (s.draining() ? " drain" : "") + (s.warm() ? " warm" : "");
    }
}
