package barrowshore.halls;

import java.util.List;

/**
 * The operators' settings on halls, for one scheduler. Shares are from 0 to 1. Halls are numbered like the configured
 * zones; servers of unknown zone form one more hall, numbered {@code names.size()}, in the last tier.
 *
 * @param names the halls' names, by number
 * @param home the hall of this scheduler's clients; -1: none, so that every hall is foreign
 * @param tiersByHall each hall's rank in this scheduler's preference, 0 first
 * @param strict whether a further tier gets only what no nearer one accepts; else it is used at a price
 * @param spillShare the share of a hall's usable slots that work from all other halls together may hold
 * @param doubtShare the lost share of a hall's known capacity at which the hall is doubted
 * @param darkAfterMicros how long a doubted hall keeps this lost share before it is dark
 * @param trialPauseMicros the first pause between trials of a dark hall; it doubles up to eight times this
 * @param settleMicros how long a hall has to be returning before it is serving
 * @param holdOffMicros how long a hall that flapped is held off; doubles with each further flap
 * @param maxHoldOffMicros the longest hold-off
 * @param flapWindowMicros a hall that goes dark this soon after its return has flapped
 * @param retryShare retries of requests that a troubled hall failed, as a share of all requests sent
 * @param retryBurst how many such retries may be made at once, however few requests were sent
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
    /** Checks the values; an IllegalArgumentException names the operator's setting and its range. */
    public HallRules {
        names = List.copyOf(names);
        tiersByHall = List.copyOf(tiersByHall);
        require(!names.isEmpty(), "halls: names must not be empty");
        require(tiersByHall.size() == names.size(), "halls: the number of tiers must equal the number of names");
        require(home >= -1 && home < names.size(), "halls: home must be the index of a hall, or -1");
        require(tiersByHall.stream().allMatch(t -> t >= 0), "halls: a tier must not be negative");
        require(spillShare >= 0 && spillShare <= 1, "halls: spill must be in [0, 1]");
        require(doubtShare > 0.5 && doubtShare <= 1, "halls: doubt-share must be in (0.5, 1]");
        require(
                darkAfterMicros > 0
                        && trialPauseMicros > 0
                        && settleMicros > 0
                        && holdOffMicros > 0
                        && flapWindowMicros > 0,
                "halls: dark-after, trial-every, settle, hold-off and flap-window must be positive");
        require(maxHoldOffMicros >= holdOffMicros, "halls: hold-most must not be under hold-off");
        require(retryShare >= 0 && retryShare <= 1, "halls: retry-share must be in [0, 1]");
        require(retryBurst >= 1, "halls: retry-burst must be at least 1");
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }

    /** The default settings: the home hall in the first tier, all others in the second. */
    public static HallRules defaults(List<String> names, int home) {
        return new HallRules(
                names,
                home,
                java.util.stream.IntStream.range(0, names.size())
                        .mapToObj(h -> h == home ? 0 : 1)
                        .toList(),
                false, // strict
                1, // spillShare
                0.6, // doubtShare
                1_000_000, // darkAfterMicros
                500_000, // trialPauseMicros
                3_000_000, // settleMicros
                5_000_000, // holdOffMicros
                60_000_000, // maxHoldOffMicros
                60_000_000, // flapWindowMicros
                0.1, // retryShare
                10); // retryBurst
    }

    /** The hall of a zone; for an unknown zone the hall numbered {@code names.size()}. */
    int hallOfZone(int zone) {
        return zone < 0 || zone >= names.size() ? names.size() : zone;
    }

    int tierOf(int hall) {
        return hall < tiersByHall.size() ? tiersByHall.get(hall) : tierCount() - 1;
    }

    int tierCount() {
        return 1 + tiersByHall.stream().mapToInt(t -> t).max().orElse(0);
    }

    String nameOf(int hall) {
        return hall < names.size() ? names.get(hall) : "(no hall)";
    }
}
