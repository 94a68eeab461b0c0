package barrowshore.module;

/** One dispatcher's seeded random generator (xorshift64*). */
final class Rng {
    private long state;

    Rng(long seed) {
        state = seed * 0x9E3779B97F4A7C15L ^ 0xD1B54A32D192ED03L;
        if (state == 0) {
            state = 1;
        }
        next();
    }

    /** Uniform in [0, 1). */
    double next() {
        state ^= state >>> 12;
        state ^= state << 25;
        state ^= state >>> 27;
        return ((state * 0x2545F4914F6CDD1DL) >>> 11) * 0x1.0p-53;
    }
}
