package barrowshore.capacity;

import barrowshore.config.ConfigException;

/**
 * How a fleet is played, whatever its size.
 *
 * @param seconds virtual seconds that are measured, after the warm-up
 * @param seed of all chance in a play; the same seed gives the same counts
 * @param plays how often each size is played, for the spread of the times
 * @param timed whether processor time and memory are measured; counts alone are the same on every machine
 * @param loss the share of datagrams that is lost
 * @param doubled the share of datagrams that comes twice
 * @param reports whether workers report their load in answers
 * @param guesses whether tasks come with a guess at their work; without, a fleet takes longer than the warm-up to settle,
 *     since the first tasks that end are short and their workers look fast
 */
public record SimulationOptions(
        int seconds,
        long seed,
        int plays,
        boolean timed,
        double loss,
        double doubled,
        boolean reports,
        boolean guesses) {
    private static final int MAX_SECONDS = 3_600, MAX_RUNS = 100;

    /** Counts alone, once, without a fault between the schedulers. */
    public static SimulationOptions countsOnly(int seconds, long seed) {
        return new SimulationOptions(seconds, seed, 1, false, 0, 0, false, true);
    }

    /** Counts are the same in each play, so that one is enough for them. */
    int playsOfASize() {
        return timed ? plays : 1;
    }

    /** Throws a {@link ConfigException} that names the first option that cannot be played. */
    public void validate() {
        require("--seconds", seconds, MAX_SECONDS);
        require("--plays", plays, MAX_RUNS);
        requireShare("--loss", loss);
        requireShare("--doubled", doubled);
    }

    private static void require(String option, int value, int max) {
        if (value < 1 || value > max) {
            throw new ConfigException(option + " must be from 1 to " + max + ", not " + value);
        }
    }

    private static void requireShare(String option, double value) {
        if (!(value >= 0 && value < 1)) {
            throw new ConfigException(option + " must be a share from 0 to under 1, not " + value);
        }
    }
}
