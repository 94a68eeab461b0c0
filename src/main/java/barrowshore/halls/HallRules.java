package barrowshore.halls;

import java.util.List;

/**
 * The operators' rules on halls, for one scheduler. Times in microseconds, shares from 0 to 1. Halls are numbered as the
 * settings' zones are; servers of no known zone belong to one more hall, numbered {@code names.size()}, of the last tier.
 *
 * @param names the halls' names, by number
 * @param home the hall that this scheduler's clients belong to; -1: none, so that every hall is foreign
 * @param tiersByHall for each hall how far it is down this scheduler's preference: 0 is the first choice
 * @param strict whether a further tier is used only for what no nearer one takes; else it is used at a price
 * @param spillShare the share of a hall's usable slots that work from other halls may hold, all schedulers together
 * @param doubtShare the share of what is known of a hall's capacity that must be lost for the hall to be doubted
 * @param darkAfterMicros how long a doubt may last before the hall is taken for dark
 * @param trialPauseMicros the first pause between two trials of a dark hall; it doubles up to eight times this
 * @param settleMicros how long a hall has to serve again before it counts as serving
 * @param holdOffMicros how long a hall that went dark again is held off; doubles with each time more
 * @param maxHoldOffMicros the longest such time
 * @param flapWindowMicros how long after its return a hall that goes dark has flapped
 * @param retryShare what may be tried again of what a troubled hall gave back, against all requests sent
 * @param retryBurst requests that may be tried again at once, however few have been sent
 */
public record HallRules(
        List<String> names,
        int home,
        List<Integer> tiersByHall,
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
    /** Checks what cannot work; an IllegalArgumentException names it. */
    public HallRules {
        names = List.copyOf(names);
        tiersByHall = List.copyOf(tiersByHall);
        require(!names.isEmpty(), "halls: no hall is named");
        require(tiersByHall.size() == names.size(), "halls: each hall needs its tier");
        require(home >= -1 && home < names.size(), "halls: home is no hall");
        require(tiersByHall.stream().allMatch(t -> t >= 0), "halls: a tier must not be negative");
        require(spillShare >= 0 && spillShare <= 1, "halls: spill must be in [0, 1]");
        require(doubtShare > 0.5 && doubtShare <= 1, "halls: doubtShare must be in (0.5, 1]");
        require(
                darkAfterMicros > 0
                        && trialPauseMicros > 0
                        && settleMicros > 0
                        && holdOffMicros > 0
                        && flapWindowMicros > 0,
                "halls: times must be positive");
        require(maxHoldOffMicros >= holdOffMicros, "halls: holdMost must not be under holdOff");
        require(retryShare >= 0 && retryShare <= 1, "halls: retryShare must be in [0, 1]");
        require(retryBurst >= 1, "halls: retryBurst must be at least 1");
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }

    /** The usual rules: the home hall first, all others second. */
    public static HallRules defaults(List<String> names, int home) {
        return new HallRules(
                names,
                home,
                java.util.stream.IntStream.range(0, names.size())
                        .mapToObj(h -> h == home ? 0 : 1)
                        .toList(),
                false,
                1,
                0.6,
                1_000_000,
                500_000,
                3_000_000,
                5_000_000,
                60_000_000,
                60_000_000,
                0.1,
                10);
    }

    /** The number of the hall of a zone; what has no known zone is in the one after the last. */
    int hallOfZone(int zone) {
        return zone < 0 || zone >= names.size() ? names.size() : zone;
    }

    int tierOf(int hall) {
        return hall < tiersByHall.size() ? tiersByHall.get(hall) : tierCount() - 1;
    }

    /** How many tiers there are. */
    int tierCount() {
        return 1 + tiersByHall.stream().mapToInt(t -> t).max().orElse(0);
    }

    String nameOf(int hall) {
        return hall < names.size() ? names.get(hall) : "(no hall)";
    }
}
