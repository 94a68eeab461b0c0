package barrowshore.emulate;

import barrowshore.module.DispatchApi;
import barrowshore.module.DispatchApi.Settings;
import barrowshore.module.Dispatcher;
import barrowshore.module.IndexTableCache;
import barrowshore.operator.OperatorSettings;

/** Entry point: runs one scenario with one seed. The same arguments always give the same report. */
public final class Emulator {
    /** Pure results that all runs share: computed once per thread. */
    private static final ThreadLocal<IndexTableCache> INDEX_TABLES = ThreadLocal.withInitial(IndexTableCache::new);

    private Emulator() {}

    /** Runs a scenario on the first site's deployment with the operators' settings. */
    public static Report run(Scenario scenario, OperatorSettings operator, long seed) {
        return new Emulation(scenario, Deployment.FIRST_SITE, operator, seed, Emulator::productionModule).run();
    }

    /** Creates the production module. */
    static DispatchApi productionModule(Settings settings, DispatchApi.Actions actions, Emulation.TrueState trueState) {
        return new Dispatcher(settings, actions, INDEX_TABLES.get());
    }
}
