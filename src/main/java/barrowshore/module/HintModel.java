package barrowshore.module;

/**
 * How far clients' work hints for one class can be trusted: a decaying regression of the jobs' actual work on their
 * hints, in logarithms. Hints that correlate with the work are taken as they are, others replaced by the regression's
 * estimate. Owned by {@link TrafficStats}.
 */
final class HintModel {
    /**
     * Half-life of the regression; its prior: this many jobs whose log work equals the log hint, with this variance.
     */
    private static final double HALF_LIFE_JOBS = 100, PRIOR_JOBS = 20, PRIOR_LOG_VARIANCE = 0.1;
    /** Slope from which hints are trusted; few jobs on uneven machines put good hints well below 1. */
    private static final double MIN_TRUSTED_SLOPE = 0.5;
    /** Jobs after which trusted hints count as proven. */
    private static final double MIN_PROVEN_JOBS = 8;

    private double recentJobs,
            meanLogHint,
            meanLogWork,
            hintWorkProductSum = PRIOR_JOBS * PRIOR_LOG_VARIANCE,
            hintSquareSum = PRIOR_JOBS * PRIOR_LOG_VARIANCE;
    /** Sums of actual and fitted work; their ratio corrects the fit, as a mean exceeds the mean of logarithms. */
    private double actualWork = 1, fittedWork = 1;

    /** Regression slope of log work on log hint, from 0 to 1. */
    private double slope() {
        return Math.max(0, Math.min(1, hintWorkProductSum / hintSquareSum));
    }

    /** Whether hints are taken as they are. */
    boolean isTrusted() {
        return slope() >= MIN_TRUSTED_SLOPE;
    }

    /** Whether enough jobs have confirmed it; before, no budget may rely on a hint. */
    boolean isProven() {
        return recentJobs >= MIN_PROVEN_JOBS && isTrusted();
    }

    /** Expected work of a job with this hint. */
    double expectedWork(double hint) {
        return isTrusted() || recentJobs == 0 ? hint : fitWork(hint) * actualWork / fittedWork;
    }

    /** The regression's work for a hint. */
    private double fitWork(double hint) {
        return Math.exp(meanLogWork + slope() * (Math.log(hint) - meanLogHint));
    }

    /** Records the actual work of a job with this hint. */
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

    /** Multiplies all learned work, when the unit of speed changes. */
    void rescaleWork(double scale) {
        meanLogWork += Math.log(scale);
        actualWork *= scale;
        fittedWork *= scale;
    }
}
