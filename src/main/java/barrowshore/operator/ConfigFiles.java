package barrowshore.operator;

import barrowshore.config.Config;
import barrowshore.config.ConfigException;
import java.nio.file.Path;

/**
 * The files that a {@link SchedulerConfig} is read from, and what the configuration said when it was read last. It owns
 * nothing else, and is used by one thread at a time.
 */
public final class ConfigFiles {
    private final Path configFile;
    private final String opsAddress;
    private final Path operatorFile;
    private String lastConfigText = "";

    /** ops: the operators' address in the environment; operator: the operators' settings; null: none. */
    public ConfigFiles(Path configFile, String opsAddress, Path operatorFile) {
        this.configFile = configFile;
        this.opsAddress = opsAddress;
        this.operatorFile = operatorFile;
    }

    /** Reads all of it; a {@link ConfigException} tells what is wrong. */
    public SchedulerConfig read() {
        lastConfigText = Config.readText(configFile);
        return new SchedulerConfig(
                Config.parse(lastConfigText).withOpsAddress(opsAddress),
                operatorFile == null ? OperatorSettings.NONE : OperatorSettings.read(operatorFile));
    }

    /** Whether the configuration is another one by now; one that cannot be read is none. */
    public boolean isConfigChanged() {
        try {
            return !Config.readText(configFile).equals(lastConfigText);
        } catch (ConfigException e) {
            return false;
        }
    }
}
