package barrowshore.operator;

import barrowshore.config.Config;
import barrowshore.halls.HallRules;

/** A scheduler's configuration from the platform, together with its operators' settings. */
public record SchedulerConfig(Config config, OperatorSettings operatorSettings) {
    /** Adds the hall rules to the settings; throws a {@link barrowshore.config.ConfigException} if the two conflict. */
    public SchedulerConfig {
        config.settings().halls = hallRules(config, operatorSettings);
    }

    /** The operators' hall rules for this scheduler; null if halls are off. */
    public HallRules hallRules() {
        return config.settings().halls;
    }

    private static HallRules hallRules(Config config, OperatorSettings operatorSettings) {
        return operatorSettings.hallSettings() == null
                ? null
                : operatorSettings.hallSettings().rulesFor(config.names().zones(), config.settings().zone);
    }
}
