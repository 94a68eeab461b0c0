package barrowshore.operator;

import barrowshore.config.Config;
import barrowshore.halls.HallRules;

/** All that a scheduler is told: by the platform, and by its operators. It is read whole or not at all. */
public record SchedulerConfig(Config config, OperatorSettings operatorSettings) {
    /** Puts the two together; a {@link barrowshore.config.ConfigException} tells where they do not fit. */
    public SchedulerConfig {
        config.settings().halls = hallRules(config, operatorSettings);
    }

    /** What the operators rule on halls, for this scheduler; null: nothing. */
    public HallRules hallRules() {
        return config.settings().halls;
    }

    private static HallRules hallRules(Config config, OperatorSettings operatorSettings) {
        return operatorSettings.halls() == null
                ? null
                : operatorSettings.halls().rulesFor(config.names().zones(), config.settings().zone);
    }
}
