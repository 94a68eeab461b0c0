package barrowshore.emulate;

import barrowshore.emulate.Deployment.ClassOf;
import java.util.List;

/** All clients: they come at the day's rate, pick a scheduler of their zone, and try again after a refusal or a failure. */
final class Clients {
    private static final int TENANTS = 7;
    /** The sizes that jobs have, by the columns of a class's shares. */
    private static final double[] SLOTS = {1, 2, 4};

    private final World world;
    private final VirtualClock kernel;
    private final Draws draws;
    private final Scenario scenario;
    private final Deployment deployment;
    private final List<ClassOf> classes;
    /** Arrivals in a microsecond. */
    private final double rate;

    private double burst = 1;

    Clients(World world, double rate) {
        this.world = world;
        this.kernel = world.kernel;
        this.draws = world.draws;
        this.scenario = world.scenario;
        this.deployment = world.deployment;
        this.classes = deployment.classes();
        this.rate = rate;
    }

    /** So many times as many come, for that long. */
    void burst(double factor, long lasts) {
        burst *= factor;
        kernel.runAfter(lasts, () -> burst /= factor);
    }

    /** The arrival that is due, and so on until the day ends. */
    void nextArrival() {
        if (kernel.now() >= World.START + scenario.length()) {
            return;
        }
        arrive();
        kernel.runAfter((long) Math.max(1, draws.interval() / (rate * burst)), this::nextArrival);
    }

    private void arrive() {
        double pick = draws.day.nextDouble();
        int type = 0;
        while (type < classes.size() - 1 && (pick -= classes.get(type).share()) > 0) {
            type++;
        }
        ClassOf k = classes.get(type);
        double chance = draws.day.nextDouble();
        int s = 0;
        while (s < k.slots().length - 1 && (chance -= k.slots()[s]) > 0) {
            s++;
        }
        double all = scenario.zones().stream()
                .mapToDouble(Scenario.ZoneSpec::clients)
                .sum();
        double where = draws.day.nextDouble() * all;
        int zone = 0;
        while (zone < scenario.zones().size() - 1
                && (where -= scenario.zones().get(zone).clients()) > 0) {
            zone++;
        }
        double work = draws.work(type),
                guess =
                        switch (deployment.told().hints()) {
                            case NONE -> 0;
                            case GOOD -> work * Math.exp(0.1 * draws.normal());
                            case MISLEADING -> k.work() * Math.exp(1.5 * draws.normal());
                        };
        ClientJob job = new ClientJob(world, type, zone, SLOTS[s], work, guess, draws.day.nextInt(TENANTS));
        world.report.asked(kernel.now() - World.START, job.zone, job.type, job.worth(), job.work * job.slots);
        attempt(job);
    }

    private void attempt(ClientJob job) {
        job.tries++;
        List<EmulatedScheduler> there =
                world.schedulers.stream().filter(s -> s.zone == job.zone).toList();
        EmulatedScheduler to = there.get(draws.random.nextInt(there.size()));
        if (!to.up()) {
            retry(job, 0); // nobody there: the front has not noticed yet
            return;
        }
        to.open(job);
    }

    /** The client tries again no sooner than that, unless it has tried often enough or may not. */
    void retry(ClientJob job, long after) {
        long wait = Math.max(after, draws.between(6, 48));
        if (job.tries <= scenario.retries() && job.mayTryAgain(wait)) {
            kernel.runAfter(wait, () -> attempt(job));
        }
    }
}
