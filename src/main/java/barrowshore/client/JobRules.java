package barrowshore.client;

import barrowshore.config.Config;
import barrowshore.module.DispatchApi;
import java.util.List;
import java.util.Set;

/** The part of the configuration that requests are checked against; classes and tenants by number. */
record JobRules(List<String> classes, Set<String> accepted, List<String> tenants, DispatchApi.JobClass[] types) {
    static JobRules of(Config config) {
        return new JobRules(config.classes(), config.acceptedClasses(), config.tenants(), config.settings().classes);
    }
}
