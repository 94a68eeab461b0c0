package barrowshore.module;

/**
 * What clients' guesses at the work of a class's jobs have been worth: a fading regression of the work that jobs turned out
 * to be on what was guessed, in logarithms. A guess that bears on the work is taken as it is; one without any bearing
 * gives way to what the class's jobs usually are. It decides nothing.
 */
final class Guess {
    /** Jobs after which what was seen counts half; how many jobs of what spread speak for guesses at first. */
    private static final double MEMORY = 100, PRIOR = 20, SPREAD = 0.1;
    /** The slope from which a guess is taken as it is: few jobs on uneven machines put it well under 1 for good ones. */
    private static final double GOOD = 0.5;
    /** Jobs after which a good guess has proved itself. */
    private static final double PROVEN = 8;

    private double seen, guessed, turnedOut, both = PRIOR * SPREAD, square = PRIOR * SPREAD;
    /** What such jobs really were, against what was made of their guesses: the mean of a spread lies above its middle. */
    private double was = 1, expected = 1;

    /** How much of a guess shows in the work, from 0 to 1. */
    private double slope() {
        return Math.max(0, Math.min(1, both / square));
    }

    /** Whether guesses are taken as they are. */
    boolean good() {
        return slope() >= GOOD;
    }

    /** Whether that has been seen to hold for some jobs: before, a guess must not be leaned on where a rule is at stake. */
    boolean proven() {
        return seen >= PROVEN && good();
    }

    /** The work to expect, where this was guessed. */
    double work(double guess) {
        return good() || seen == 0 ? guess : fit(guess) * was / expected;
    }

    private double fit(double guess) {
        return Math.exp(turnedOut + slope() * (Math.log(guess) - guessed));
    }

    /** A job turned out to be so much work. */
    void saw(double guess, double work) {
        double x = Math.log(guess), y = Math.log(Math.max(1, work)), keep = Math.pow(0.5, 1 / MEMORY);
        if (seen > 0) {
            was = keep * was + work;
            expected = keep * expected + fit(guess);
        }
        seen = keep * seen + 1;
        double dx = x - guessed;
        guessed += dx / seen;
        turnedOut += (y - turnedOut) / seen;
        both = keep * both + dx * (y - turnedOut);
        square = keep * square + dx * (x - guessed);
    }

    /** All work is measured by another scale from now on. */
    void rescale(double scale) {
        turnedOut += Math.log(scale);
        was *= scale;
        expected *= scale;
    }
}
