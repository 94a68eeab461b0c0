package barrowshore.module;

/**
 * What clients' guesses at the work of a class's jobs have been worth: a fading regression of the work that jobs turned out
 * to be on what was guessed, in logarithms. A guess that bears on the work is taken as it is; one without any bearing
 * gives way to what the class's jobs usually are. It decides nothing.
 */
final class HintModel {
    /** Jobs after which what was seen counts half; how many jobs of what spread speak for guesses at first. */
    private static final double HALF_LIFE_JOBS = 100, PRIOR_JOBS = 20, PRIOR_LOG_VARIANCE = 0.1;
    /** The slope from which a guess is taken as it is: few jobs on uneven machines put it well under 1 for good ones. */
    private static final double MIN_TRUSTED_SLOPE = 0.5;
    /** Jobs after which a good guess has proved itself. */
    private static final double MIN_PROVEN_JOBS = 8;

    private double recentJobs,
            meanLogHint,
            meanLogWork,
            hintWorkProductSum = PRIOR_JOBS * PRIOR_LOG_VARIANCE,
            hintSquareSum = PRIOR_JOBS * PRIOR_LOG_VARIANCE;
    /** What such jobs really were, against what was made of their guesses: the mean of a spread lies above its middle. */
    private double actualWork = 1, fittedWork = 1;

    /** How much of a guess shows in the work, from 0 to 1. */
    private double slope() {
        return Math.max(0, Math.min(1, hintWorkProductSum / hintSquareSum));
    }

    /** Whether guesses are taken as they are. */
    boolean isTrusted() {
        return slope() >= MIN_TRUSTED_SLOPE;
    }

    /** Whether that has been seen to hold for some jobs: before, a guess must not be leaned on where a rule is at stake. */
    boolean isProven() {
        return recentJobs >= MIN_PROVEN_JOBS && isTrusted();
    }

    /** The work to expect, where this was guessed. */
    double expectedWork(double hint) {
        return isTrusted() || recentJobs == 0 ? hint : fitWork(hint) * actualWork / fittedWork;
    }

    private double fitWork(double hint) {
        return Math.exp(meanLogWork + slope() * (Math.log(hint) - meanLogHint));
    }

    /** A job turned out to be so much work. */
    void recordRun(double hint, double work) {
        double logHint = Math.log(hint),
                logWork = Math.log(Math.max(1, work)),
                keep = Math.pow(0.5, 1 / HALF_LIFE_JOBS);
        if (recentJobs > 0) {
            actualWork = keep * actualWork + work;
            fittedWork = keep * fittedWork + fitWork(hint);
        }
        recentJobs = keep * recentJobs + 1;
        double hintDeviation = logHint - meanLogHint;
        meanLogHint += hintDeviation / recentJobs;
        meanLogWork += (logWork - meanLogWork) / recentJobs;
        hintWorkProductSum = keep * hintWorkProductSum + hintDeviation * (logWork - meanLogWork);
        hintSquareSum = keep * hintSquareSum + hintDeviation * (logHint - meanLogHint);
    }

    /** All work is measured by another scale from now on. */
    void rescaleWork(double scale) {
        meanLogWork += Math.log(scale);
        actualWork *= scale;
        fittedWork *= scale;
    }
}
