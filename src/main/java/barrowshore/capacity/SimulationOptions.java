package barrowshore.capacity;

import barrowshore.config.ConfigException;

/**
 * The options of a simulation that do not depend on the fleet's size.
 *
 * @param seconds virtual seconds that are measured, after the warm-up
 * @param seed seed of all random sources; the same seed gives the same counts
 * @param plays timed runs of each size, for the median and range of the times
 * @param timed whether processor time and heap are measured; counts alone are the same on every machine
 * @param loss share of datagrams that are lost
 * @param doubled share of datagrams that are delivered twice
 * @param reports whether workers report their load in answers
 * @param guesses whether requests have an estimate of their work; without it the fleet takes longer than the warm-up to
 *     settle, since the first tasks to end are short and make their workers look fast
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

    /** Returns the options of one run that measures counts only and loses and duplicates no datagram. */
    public static SimulationOptions countsOnly(int seconds, long seed) {
        return new SimulationOptions(seconds, seed, 1, false, 0, 0, false, true);
    }

    /** Returns the runs of each size: one where only counts are measured, as they are the same in each run. */
    int runsPerSize() {
        return timed ? plays : 1;
    }

    /** Throws a {@link ConfigException} that names the first option out of range. */
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
