package barrowshore.operator;

import barrowshore.config.Config;
import barrowshore.config.ConfigException;
import java.nio.file.Path;

/**
 * The files that a {@link SchedulerConfig} is read from, and the text of the configuration file when it was last read.
 * Used by one thread at a time.
 */
public final class ConfigFiles {
    private final Path configFile;
    private final String opsAddress;
    private final Path operatorFile;
    private String lastConfigText = "";

    /** opsAddress: the ops server's address from the environment; operatorFile: the operators' settings; null: none. */
    public ConfigFiles(Path configFile, String opsAddress, Path operatorFile) {
        this.configFile = configFile;
        this.opsAddress = opsAddress;
        this.operatorFile = operatorFile;
    }

    /** Reads all files; throws a {@link ConfigException} if one of them is invalid. */
    public SchedulerConfig read() {
        lastConfigText = Config.readText(configFile);
        return new SchedulerConfig(
                Config.parse(lastConfigText).withOpsAddress(opsAddress),
                operatorFile == null ? OperatorSettings.NONE : OperatorSettings.read(operatorFile));
    }

    /** Whether the configuration file differs from what was last read; an unreadable file does not count as a change. */
    public boolean isConfigChanged() {
        try {
            return !Config.readText(configFile).equals(lastConfigText);
        } catch (ConfigException e) {
            return false;
        }
    }
}
