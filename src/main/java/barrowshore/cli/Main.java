package barrowshore.cli;

import barrowshore.capacity.CapacityRun;
import barrowshore.capacity.FleetSize;
import barrowshore.capacity.SimulationOptions;
import barrowshore.capacity.SizeOption;
import barrowshore.capacity.Sweep;
import barrowshore.config.ConfigException;
import barrowshore.emulate.DeploymentComparison;
import barrowshore.emulate.Scenario;
import barrowshore.emulate.ScenarioRunner;
import barrowshore.files.FileSigner;
import barrowshore.files.ServersFile;
import barrowshore.fleet.Fleet;
import barrowshore.fleet.FleetScenario;
import barrowshore.list.OperatorServerList;
import barrowshore.list.ServerListChangePolicy;
import barrowshore.node.JobScheduler;
import barrowshore.node.Rehearsal;
import barrowshore.operator.ConfigFiles;
import barrowshore.operator.OperatorSettings;
import barrowshore.operator.SchedulerConfig;
import barrowshore.standin.Demo;
import barrowshore.wire.WireException;
import barrowshore.wire.WireHost;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/**
 * The command line. It owns the process's exit code (2 for a wrong command line or configuration, 1 for a later
 * failure) and the error messages on standard error. It must never decide anything about requests, and never write to
 * standard output while {@code drill} runs, whose replies go there.
 */
public final class Main {
    private static final String LOG_FORMAT_PROPERTY = "java.util.logging.SimpleFormatter.format";

    /** A sub-command. */
    interface Command {
        void run() throws Exception;
    }

    /** A sub-command's purpose in one line, for the help texts. */
    @Retention(RetentionPolicy.RUNTIME)
    @interface Description {
        String value();
    }

    /** The command {@code serve}, the scheduler itself. */
    @Description("Runs the scheduler on real sockets until SIGTERM.")
    public static final class ServeCommand implements Command {
        @Option(name = "--config", metaVar = "FILE", usage = "configuration file (default: $GW_CONFIG)")
        Path configFile;

        @Option(
                name = "--operator",
                metaVar = "FILE",
                usage = "operators' settings file (default: none, all of it off)")
        Path operatorFile;

        @Option(name = "--with", metaVar = "PID", usage = "exits at once when that process ends")
        long watchedPid;

        @Override
        public void run() throws Exception {
            if (watchedPid > 0) {
                // A test or tool that started this process may be killed; nothing else would end the process then.
                ProcessHandle.of(watchedPid)
                        .orElseThrow(() -> new ConfigException("--with: no such process: " + watchedPid))
                        .onExit()
                        .thenRun(() -> Runtime.getRuntime().halt(1));
            }
            JobScheduler.serve(configFiles(configFile, operatorFile));
        }
    }

    /** The command {@code rehearse}, which records classes for the JVM's class data archive; see deploy/archive.sh. */
    @Description("Serves one job to itself and exits, so that the JVM can archive the classes that a start loads.")
    public static final class RehearseCommand implements Command {
        @Option(name = "--config", metaVar = "FILE", usage = "configuration file (default: $GW_CONFIG)")
        Path configFile;

        @Override
        public void run() throws Exception {
            Rehearsal.run(configFiles(configFile, null).read());
        }
    }

    /** The command {@code check}, which reads the files as {@code serve} does but starts nothing. */
    @Description("Validates the configuration, the operators' settings, or both, and reports errors.")
    public static final class CheckCommand implements Command {
        @Option(name = "--config", metaVar = "FILE", usage = "configuration file (default: $GW_CONFIG)")
        Path configFile;

        @Option(
                name = "--operator",
                metaVar = "FILE",
                usage = "operators' settings file (default: none, all of it off)")
        Path operatorFile;

        @Override
        public void run() {
            String environmentConfig = System.getenv("GW_CONFIG");
            if (operatorFile != null
                    && configFile == null
                    && (environmentConfig == null || environmentConfig.isEmpty())) {
                System.out.println(operatorFile + ": "
                        + OperatorSettings.read(operatorFile).summary());
                return;
            }
            SchedulerConfig schedulerConfig =
                    configFiles(configFile, operatorFile).read();
            System.out.println(schedulerConfig.config().summary()
                    + (operatorFile == null
                            ? ""
                            : "\n" + operatorFile + ": "
                                    + schedulerConfig.operatorSettings().summary()));
        }
    }

    /** The command {@code drill}, which hosts dispatch modules for the simulator. */
    @Description("Runs dispatch modules for the simulator, on its protocol over standard input and output.")
    public static final class DrillCommand implements Command {
        @Option(
                name = "--operator",
                metaVar = "FILE",
                usage = "operators' settings file (default: none, all of it off)")
        Path operatorFile;

        @Override
        public void run() throws IOException {
            OperatorSettings operatorSettings =
                    operatorFile == null ? OperatorSettings.NONE : OperatorSettings.read(operatorFile);
            new WireHost(
                            new FileInputStream(FileDescriptor.in),
                            new FileOutputStream(FileDescriptor.out),
                            (zones, settings) -> settings.halls = operatorSettings.hallSettings() == null
                                    ? null
                                    : operatorSettings.hallSettings().rulesFor(zones, settings.zone))
                    .run();
        }
    }

    /** The command {@code fleet}; exit code 1 if an invariant was violated. */
    @Description("Runs real scheduler processes with stand-in workers under load and faults, and checks invariants.")
    public static final class FleetCommand implements Command {
        @Argument(index = 0, required = true, metaVar = "SCENARIO", usage = "the fleet scenario's XML file")
        Path scenarioFile;

        @Option(name = "--folder", metaVar = "DIR", usage = "folder for logs, events and figures (default: a new one)")
        Path folder;

        @Option(
                name = "--deploy",
                metaVar = "FILE",
                usage = "file whose run line has the JVM's options (default: none are set)")
        Path deployFile;

        @Override
        public void run() throws Exception {
            FleetScenario scenario = FleetScenario.read(scenarioFile);
            Path outputFolder = folder != null ? folder : Files.createTempDirectory("fleet");
            System.out.println("logs and figures in " + outputFolder);
            if (!Fleet.run(scenario, outputFolder, deployFile, System.out)
                    .violations()
                    .isEmpty()) {
                throw new CheckFailedException();
            }
        }
    }

    /** The command {@code demo}: a small site on real sockets. */
    @Description("Demo: two halls of stand-in servers, two schedulers and a light load; a hall fails and recovers.")
    public static final class DemoCommand implements Command {
        @Option(name = "--hold", usage = "keeps running afterwards, until it is stopped")
        boolean keepRunning;

        @Override
        public void run() throws Exception {
            Demo.play(System.out, keepRunning);
        }
    }

    /** The command {@code servers}: actions on files with lists of servers. */
    @Description("Works on files with lists of servers: servers check|show|sign FILE, servers diff FILE FILE.")
    public static final class ServersCommand implements Command {
        @Argument(index = 0, required = true, metaVar = "check | show | diff | sign", usage = "the action")
        String action;

        @Argument(index = 1, required = true, metaVar = "FILE", usage = "the list; for diff the current one")
        Path file;

        @Argument(index = 2, metaVar = "FILE", usage = "for diff: the list that is to replace it")
        Path nextFile;

        @Option(
                name = "--most-lost",
                metaVar = "SHARE",
                usage = "for diff: the share of capacity that may be removed at once (default 0.5)")
        double maxLostShare = 0.5;

        @Option(
                name = "--keys",
                metaVar = "DIR",
                usage = "the directory of keys, ID.key each, with which check verifies and sign signs")
        Path keyDirectory;

        @Option(name = "--key", metaVar = "ID", usage = "for sign: a key's id; may be given more than once")
        List<String> keyIds = new ArrayList<>();

        @Override
        public void run() throws IOException {
            OperatorServerList list = ServersFile.read(file);
            switch (action) {
                case "check" -> {
                    if (keyDirectory != null) {
                        new FileSigner(keyDirectory).verify(file, Files.readAllBytes(file));
                    }
                    System.out.println(file + ": " + list.summary());
                }
                case "sign" -> {
                    if (keyDirectory == null || keyIds.isEmpty()) {
                        throw new ConfigException("servers sign needs --keys DIR and --key ID");
                    }
                    new FileSigner(keyDirectory).sign(file, keyIds);
                }
                case "show" -> ServerListChangePolicy.format(list).forEach(System.out::println);
                case "diff" -> {
                    if (nextFile == null) {
                        throw new ConfigException("servers diff needs two files");
                    }
                    OperatorServerList next = ServersFile.read(nextFile);
                    ServerListChangePolicy.diff(list, next).forEach(System.out::println);
                    ServerListChangePolicy.Decision decision = ServerListChangePolicy.decide(list, next, maxLostShare);
                    System.out.println(decision.outcome().name().toLowerCase(Locale.ROOT)
                            + (decision.reason().isEmpty() ? "" : ": " + decision.reason()));
                }
                default -> throw new ConfigException(
                        "servers: unknown action " + action + "; expected check, show, diff or sign");
            }
        }
    }

    /** The command {@code emulate}: one scenario, or many random deployments. */
    @Description("Simulates a scenario in virtual time: real dispatch modules with models of the servers.")
    public static final class EmulateCommand implements Command {
        @Argument(index = 0, metaVar = "SCENARIO", usage = "the scenario's XML file")
        Path scenarioFile;

        @Option(
                name = "--deployments",
                metaVar = "COUNT",
                forbids = {"--operator", "--json", "--compare", "--seeds"},
                usage = "instead of a scenario: number of deployments drawn by seeds, a day simulated on each; "
                        + "lists where the dispatch module loses, worst first")
        int deploymentCount;

        @Option(
                name = "--rivals",
                depends = "--deployments",
                usage = "also simulates the same days with textbook policies")
        boolean includeRivals;

        @Option(
                name = "--csv",
                metaVar = "FILE",
                depends = "--deployments",
                usage = "writes every deployment's figures as CSV")
        Path csvFile;

        @Option(name = "--seed", metaVar = "N", usage = "the first seed (default 1)")
        long firstSeed = 1;

        @Option(
                name = "--seeds",
                metaVar = "COUNT",
                usage = "number of seeds; prints a table over all of them (default 1)")
        int seedCount = 1;

        @Option(
                name = "--operator",
                metaVar = "FILE",
                usage = "operators' settings file (default: none, all of it off)")
        Path operatorFile;

        @Option(name = "--json", metaVar = "FILE", usage = "writes the reports as JSON")
        Path jsonFile;

        @Option(name = "--compare", usage = "simulates each seed with and without the operators' settings")
        boolean compare;

        @Override
        public void run() throws IOException {
            if (deploymentCount == 0 == (scenarioFile == null)) {
                throw new ConfigException("emulate needs a scenario's file or --deployments COUNT, and not both");
            }
            if (scenarioFile == null) {
                DeploymentComparison.run(System.out, deploymentCount, firstSeed, includeRivals, csvFile);
                return;
            }
            ScenarioRunner.run(
                    System.out,
                    Scenario.read(scenarioFile),
                    operatorFile == null ? OperatorSettings.NONE : OperatorSettings.read(operatorFile),
                    firstSeed,
                    seedCount,
                    compare,
                    jsonFile);
        }
    }

    /** The command {@code capacity}; exit code 1 if a limit was exceeded. */
    @Description("Simulates fleets of real dispatch modules in virtual time; prints control costs by fleet size.")
    public static final class CapacityCommand implements Command {
        private static final FleetSize TARGET = FleetSize.target();
        private static final int DEFAULT_MEASURED_SECONDS = 20, DEFAULT_PLAYS_PER_SIZE = 3;

        @Option(
                name = "--workers",
                metaVar = "COUNT",
                handler = SizeOption.class,
                usage = "number of workers (default: the target's 770)")
        double workers = TARGET.workers();

        @Option(
                name = "--schedulers",
                metaVar = "COUNT",
                handler = SizeOption.class,
                usage = "number of schedulers (default: 10)")
        double schedulers = TARGET.schedulers();

        @Option(
                name = "--starts",
                metaVar = "RATE",
                handler = SizeOption.class,
                usage = "task starts per second over all schedulers (default: the target's 260)")
        double startsPerSecond = TARGET.startsPerSecond();

        @Option(
                name = "--tenants",
                metaVar = "COUNT",
                handler = SizeOption.class,
                usage = "number of tenants (default: the target's 43)")
        double tenants = TARGET.tenants();

        @Option(
                name = "--list-changes",
                metaVar = "RATE",
                handler = SizeOption.class,
                usage = "servers replaced per second (default: the target's)")
        double listChangesPerSecond = TARGET.listChangesPerSecond();

        @Option(
                name = "--config-changes",
                metaVar = "RATE",
                handler = SizeOption.class,
                usage = "configuration changes per second (default: the target's)")
        double configChangesPerSecond = TARGET.settingsChangesPerSecond();

        @Option(
                name = "--seconds",
                metaVar = "COUNT",
                handler = SizeOption.class,
                usage = "measured virtual seconds (default 20)")
        double measuredSeconds = DEFAULT_MEASURED_SECONDS;

        @Option(
                name = "--seed",
                metaVar = "N",
                handler = SizeOption.class,
                usage = "seed of all random choices (default 1)")
        double seed = 1;

        @Option(
                name = "--plays",
                metaVar = "COUNT",
                handler = SizeOption.class,
                usage = "simulations of each size, for the spread of the times (default 3)")
        double playsPerSize = DEFAULT_PLAYS_PER_SIZE;

        @Option(
                name = "--loss",
                metaVar = "SHARE",
                handler = SizeOption.class,
                usage = "share of datagrams lost (default 0)")
        double lostShare;

        @Option(
                name = "--doubled",
                metaVar = "SHARE",
                handler = SizeOption.class,
                usage = "share of datagrams delivered twice (default 0)")
        double duplicatedShare;

        @Option(name = "--reports", usage = "workers report their load in their answers")
        boolean workersReportLoad;

        @Option(name = "--no-guesses", usage = "tasks carry no estimate of their work")
        boolean withoutWorkHints;

        @Option(
                name = "--counts",
                usage = "counts only, from one simulation: no times, so the output is the same on every machine")
        boolean countsOnly;

        @Option(name = "--sweep", metaVar = "NAME", usage = "sweeps, separated by commas, or all (default), or none")
        String sweepNames = "all";

        @Option(name = "--csv", metaVar = "FILE", usage = "writes every figure as CSV")
        Path csvFile;

        @Override
        public void run() throws Exception {
            FleetSize size = new FleetSize(
                    SizeOption.toWholeNumber("--workers", workers),
                    SizeOption.toWholeNumber("--schedulers", schedulers),
                    startsPerSecond,
                    SizeOption.toWholeNumber("--tenants", tenants),
                    listChangesPerSecond,
                    configChangesPerSecond);
            SimulationOptions options = new SimulationOptions(
                    SizeOption.toWholeNumber("--seconds", measuredSeconds),
                    SizeOption.toWholeNumber("--seed", seed),
                    SizeOption.toWholeNumber("--plays", playsPerSize),
                    !countsOnly,
                    lostShare,
                    duplicatedShare,
                    workersReportLoad,
                    !withoutWorkHints);
            if (!CapacityRun.run(System.out, size, options, Sweep.parseNames(sweepNames), csvFile)) {
                throw new CheckFailedException();
            }
        }
    }

    /** The command {@code version}. */
    @Description("Prints the version.")
    public static final class VersionCommand implements Command {
        @Override
        public void run() {
            String version = Main.class.getPackage().getImplementationVersion();
            System.out.println("barrowshore " + (version == null ? "(not packaged)" : version));
        }
    }

    @Argument(
            index = 0,
            required = true,
            metaVar = "COMMAND",
            usage = "the command to run",
            handler = SubCommandHandler.class)
    @SubCommands({
        @SubCommand(name = "serve", impl = ServeCommand.class),
        @SubCommand(name = "check", impl = CheckCommand.class),
        @SubCommand(name = "drill", impl = DrillCommand.class),
        @SubCommand(name = "servers", impl = ServersCommand.class),
        @SubCommand(name = "demo", impl = DemoCommand.class),
        @SubCommand(name = "fleet", impl = FleetCommand.class),
        @SubCommand(name = "emulate", impl = EmulateCommand.class),
        @SubCommand(name = "capacity", impl = CapacityCommand.class),
        @SubCommand(name = "hollow", impl = HollowCommand.class),
        @SubCommand(name = "rehearse", impl = RehearseCommand.class),
        @SubCommand(name = "version", impl = VersionCommand.class)
    })
    Command command;

    private static ConfigFiles configFiles(Path configFile, Path operatorFile) {
        String path = configFile != null ? configFile.toString() : System.getenv("GW_CONFIG");
        if (path == null || path.isEmpty()) {
            throw new ConfigException("no configuration: GW_CONFIG is not set and --config is not given");
        }
        return new ConfigFiles(Path.of(path), System.getenv("GW_OPS"), operatorFile);
    }

    public static void main(String[] args) throws Exception {
        // One line per message, for quick reading during an incident; the JDK's default format takes two.
        if (System.getProperty(LOG_FORMAT_PROPERTY) == null) {
            System.setProperty(LOG_FORMAT_PROPERTY, "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n");
        }
        System.exit(run(args));
    }

    /** Prints the purpose and options of the command that {@code args} begins with, or the list of all commands. */
    private static int printHelp(List<String> args) throws ReflectiveOperationException {
        SubCommand[] subCommands = Main.class
                .getDeclaredField("command")
                .getAnnotation(SubCommands.class)
                .value();
        for (SubCommand subCommand : subCommands) {
            if (!args.isEmpty() && subCommand.name().equals(args.get(0))) {
                System.out.println("usage: barrowshore " + subCommand.name() + " [options]\n"
                        + subCommand.impl().getAnnotation(Description.class).value());
                new CmdLineParser(subCommand.impl().getDeclaredConstructor().newInstance()).printUsage(System.out);
                return 0;
            }
        }
        if (!args.isEmpty() && !args.get(0).startsWith("-")) {
            System.err.println(
                    "barrowshore: unknown command " + args.get(0) + "; barrowshore --help lists the commands");
            return 2;
        }
        System.out.println("usage: barrowshore COMMAND [options]; barrowshore COMMAND --help shows its options");
        for (SubCommand subCommand : subCommands) {
            System.out.printf(
                    "  %-10s %s%n",
                    subCommand.name(),
                    subCommand.impl().getAnnotation(Description.class).value());
        }
        return 0;
    }

    private static int reportMissingCommand() {
        System.err.println("barrowshore: no command is given; barrowshore --help lists the commands");
        return 2;
    }

    static int run(String... args) throws Exception {
        if (args.length == 0 || Arrays.asList(args).contains("--help") || args[0].equals("help")) {
            List<String> helpArgs = Arrays.asList(args);
            return args.length == 0
                    ? reportMissingCommand()
                    : printHelp(helpArgs.get(0).equals("help") ? helpArgs.subList(1, helpArgs.size()) : helpArgs);
        }
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
        } catch (CheckFailedException e) {
            return 1;
        }
    }

    /** The command ran and printed its findings, and a check failed: the exit code is 1. */
    private static final class CheckFailedException extends Exception {
        private static final long serialVersionUID = 1;
    }
}
