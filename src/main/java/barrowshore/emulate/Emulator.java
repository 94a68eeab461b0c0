package barrowshore.emulate;

import barrowshore.module.DispatchApi;
import barrowshore.module.DispatchApi.Settings;
import barrowshore.module.Dispatcher;
import barrowshore.module.IndexTableCache;
import barrowshore.operator.OperatorSettings;

/** The way in: one scenario, one seed, one report. The same arguments always give the same report. */
public final class Emulator {
    /** Pure figures, the same for all: worked out once for each thread that plays. */
    private static final ThreadLocal<IndexTableCache> INDEX_TABLES = ThreadLocal.withInitial(IndexTableCache::new);

    private Emulator() {}

    /** Plays a scenario at the first site with the operators' settings. */
    public static Report play(Scenario scenario, OperatorSettings operator, long seed) {
        return new Emulation(scenario, Deployment.HOME, operator, seed, Emulator::productionModule).play();
    }

    /** The module that is in service. */
    static DispatchApi productionModule(Settings settings, DispatchApi.Actions actions, Emulation.TrueState trueState) {
        return new Dispatcher(settings, actions, INDEX_TABLES.get());
    }
}
