package barrowshore.operator;

import barrowshore.config.Config;
import barrowshore.halls.HallRules;

/** All that a scheduler is told: by the platform, and by its operators. It is read whole or not at all. */
public record Setup(Config config, Operator operator) {
    /** Puts the two together; a {@link barrowshore.config.ConfigException} tells where they do not fit. */
    public Setup {
        config.settings().halls = rules(config, operator);
    }

    /** What the operators rule on halls, for this scheduler; null: nothing. */
    public HallRules rules() {
        return config.settings().halls;
    }

    private static HallRules rules(Config config, Operator operator) {
        return operator.halls() == null
                ? null
                : operator.halls().rules(config.names().zones(), config.settings().zone);
    }
}
