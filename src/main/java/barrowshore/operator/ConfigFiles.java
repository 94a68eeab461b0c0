package barrowshore.operator;

import barrowshore.config.Config;
import barrowshore.config.ConfigException;
import java.nio.file.Path;

/**
 * The files that a {@link SchedulerConfig} is read from, and what the configuration said when it was read last. It owns
 * nothing else, and is used by one thread at a time.
 */
public final class ConfigFiles {
    private final Path config;
    private final String ops;
    private final Path operator;
    private String last = "";

    /** ops: the operators' address in the environment; operator: the operators' settings; null: none. */
    public ConfigFiles(Path config, String ops, Path operator) {
        this.config = config;
        this.ops = ops;
        this.operator = operator;
    }

    /** Reads all of it; a {@link ConfigException} tells what is wrong. */
    public SchedulerConfig read() {
        last = Config.readText(config);
        return new SchedulerConfig(
                Config.parse(last).withOpsAddress(ops),
                operator == null ? OperatorSettings.NONE : OperatorSettings.read(operator));
    }

    /** Whether the configuration is another one by now; one that cannot be read is none. */
    public boolean isConfigChanged() {
        try {
            return !Config.readText(config).equals(last);
        } catch (ConfigException e) {
            return false;
        }
    }
}
