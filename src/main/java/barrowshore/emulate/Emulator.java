package barrowshore.emulate;

import barrowshore.operator.Operator;

/** The way in: one scenario, one seed, one report. The same three arguments always give the same report. */
public final class Emulator {
    private Emulator() { }

    /** Plays a scenario with the operators' settings. */
    public static Report play(Scenario scenario, Operator operator, long seed) {
        return new World(scenario, operator, seed).play();
    }
}
