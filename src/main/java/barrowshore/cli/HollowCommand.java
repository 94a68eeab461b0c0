package barrowshore.cli;

import barrowshore.capacity.simulated.SimulatedFleetPlan;
import barrowshore.capacity.simulated.SimulatedFleetRun;
import java.nio.file.Path;
import org.kohsuke.args4j.Option;

/** The command {@code hollow}: simulated schedulers and workers at the target size, with real schedulers among them. */
@Main.Description(
        "Measures schedulers at the target size: simulated ones in this process and real ones, with the same workers.")
public final class HollowCommand implements Main.Command {
    @Option(name = "--workers", metaVar = "N", usage = "number of workers (default 770)")
    int workerCount = 770;

    @Option(
            name = "--schedulers",
            metaVar = "N",
            usage = "number of schedulers, simulated and real together (default 10)")
    int schedulerCount = 10;

    @Option(
            name = "--real",
            metaVar = "N",
            usage =
                    "number of real scheduler processes among them (default 5); of two or more, the first has no clients")
    int realSchedulerCount = 5;

    @Option(name = "--starts", metaVar = "N", usage = "task starts per second over all schedulers (default 260)")
    int startsPerSecond = 260;

    @Option(name = "--seconds", metaVar = "N", usage = "measured seconds, once the fleet has settled (default 30)")
    int measuredSeconds = 30;

    @Option(name = "--seed", metaVar = "N", usage = "seed of the load and the replacements (default 1)")
    long seed = 1;

    @Option(name = "--csv", metaVar = "FILE", usage = "writes a line for each scheduler as CSV")
    Path csvFile;

    @Option(
            name = "--deploy",
            metaVar = "FILE",
            usage = "file whose run line has the JVM's options (default: none are set)")
    Path deployFile;

    @Override
    public void run() throws Exception {
        SimulatedFleetRun.run(
                new SimulatedFleetPlan(
                        workerCount, schedulerCount, realSchedulerCount, startsPerSecond, measuredSeconds),
                csvFile,
                deployFile,
                seed,
                System.out);
    }
}
