package barrowshore.cli;

import barrowshore.config.Config;
import barrowshore.config.ConfigException;
import barrowshore.node.Node;
import barrowshore.wire.WireException;
import barrowshore.wire.WireHost;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/**
 * The command line. It owns the process's exit code and what a person reads on standard error when a command cannot
 * start: 2 for a wrong command line or configuration, 1 for a failure later on. It must never decide anything about
 * flows, and never write to standard output while {@code drill} runs, whose replies go there.
 */
public final class Main {
    private static final String LOG_FORMAT = "java.util.logging.SimpleFormatter.format";

    /** A sub-command. */
    interface Command {
        void run() throws Exception;
    }

    /** Serves flows on real sockets. */
    public static final class Serve implements Command {
        @Option(name = "--config", metaVar = "FILE", usage = "configuration (default: $GW_CONFIG)")
        Path config;

        @Override
        public void run() throws Exception {
            Node.serve(() -> read(config));
        }
    }

    /** Serves a job to itself and ends, so that the JVM can archive what a start loads; see deploy/archive.sh. */
    public static final class Rehearse implements Command {
        @Option(name = "--config", metaVar = "FILE", usage = "configuration (default: $GW_CONFIG)")
        Path config;

        @Override
        public void run() throws Exception {
            Node.rehearse(read(config));
        }
    }

    /** Reads the configuration and says what is wrong with it. */
    public static final class Check implements Command {
        @Option(name = "--config", metaVar = "FILE", usage = "configuration (default: $GW_CONFIG)")
        Path config;

        @Override
        public void run() {
            System.out.println(read(config).summary());
        }
    }

    /** Hosts decision modules on the simulator's wire. */
    public static final class Drill implements Command {
        @Override
        public void run() throws IOException {
            new WireHost(new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out)).run();
        }
    }

    /** Prints the version. */
    public static final class Version implements Command {
        @Override
        public void run() {
            String version = Main.class.getPackage().getImplementationVersion();
            System.out.println("barrowshore " + (version == null ? "(not packaged)" : version));
        }
    }

    @Argument(index = 0, required = true, metaVar = "serve | check | drill | rehearse | version",
            usage = "what to do", handler = SubCommandHandler.class)
    @SubCommands({
        @SubCommand(name = "serve", impl = Serve.class), @SubCommand(name = "check", impl = Check.class),
        @SubCommand(name = "drill", impl = Drill.class),
        @SubCommand(name = "rehearse", impl = Rehearse.class), @SubCommand(name = "version", impl = Version.class)})
    Command command;

    private static Config read(Path file) {
        String path = file != null ? file.toString() : System.getenv("GW_CONFIG");
        if (path == null || path.isEmpty()) {
            throw new ConfigException("GW_CONFIG is not set and no --config is given");
        }
        return Config.read(Path.of(path));
    }

    public static void main(String[] args) throws Exception {
        // One line a message: what is read beside a pager must not need two.
        if (System.getProperty(LOG_FORMAT) == null) {
            System.setProperty(LOG_FORMAT, "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n");
        }
        System.exit(run(args));
    }

    static int run(String... args) throws Exception {
        Main main = new Main();
        CmdLineParser parser = new CmdLineParser(main);
        try {
            parser.parseArgument(args);
            main.command.run();
            return 0;
        } catch (CmdLineException e) {
            System.err.println("barrowshore: " + e.getMessage());
            parser.printUsage(System.err);
            return 2;
        } catch (ConfigException e) {
            System.err.println("barrowshore: " + e.getMessage());
            return 2;
        } catch (WireException e) {
            System.err.println("barrowshore: " + e.getMessage());
            return 1;
        }
    }
}
