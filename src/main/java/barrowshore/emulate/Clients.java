package barrowshore.emulate;

import barrowshore.emulate.Deployment.ClassSpec;
import java.util.List;

/** All clients: they come at the day's rate, pick a scheduler of their zone, and try again after a refusal or a failure. */
final class Clients {
    private static final int TENANT_COUNT = 7;
    /** The sizes that jobs have, by the columns of a class's shares. */
    private static final double[] SLOTS_BY_COLUMN = {1, 2, 4};

    private final Emulation emulation;
    private final VirtualClock clock;
    private final RandomSources random;
    private final Scenario scenario;
    private final Deployment deployment;
    private final List<ClassSpec> classes;
    /** Arrivals in a microsecond. */
    private final double arrivalsPerMicro;

    private double burstFactor = 1;

    Clients(Emulation emulation, double arrivalsPerMicro) {
        this.emulation = emulation;
        this.clock = emulation.clock;
        this.random = emulation.random;
        this.scenario = emulation.scenario;
        this.deployment = emulation.deployment;
        this.classes = deployment.classes();
        this.arrivalsPerMicro = arrivalsPerMicro;
    }

    /** So many times as many come, for that long. */
    void startBurst(double factor, long duration) {
        burstFactor *= factor;
        clock.runAfter(duration, () -> burstFactor /= factor);
    }

    /** The arrival that is due, and so on until the day ends. */
    void nextArrival() {
        if (clock.now() >= Emulation.START + scenario.lengthMicros()) {
            return;
        }
        createJob();
        clock.runAfter((long) Math.max(1, random.interarrival() / (arrivalsPerMicro * burstFactor)), this::nextArrival);
    }

    private void createJob() {
        double classPick = random.clients.nextDouble();
        int classIndex = 0;
        while (classIndex < classes.size() - 1
                && (classPick -= classes.get(classIndex).share()) > 0) {
            classIndex++;
        }
        ClassSpec jobClass = classes.get(classIndex);
        double sizePick = random.clients.nextDouble();
        int column = 0;
        while (column < jobClass.slotShares().length - 1 && (sizePick -= jobClass.slotShares()[column]) > 0) {
            column++;
        }
        double totalShare = scenario.zones().stream()
                .mapToDouble(Scenario.ZoneSpec::clients)
                .sum();
        double zonePick = random.clients.nextDouble() * totalShare;
        int zone = 0;
        while (zone < scenario.zones().size() - 1
                && (zonePick -= scenario.zones().get(zone).clients()) > 0) {
            zone++;
        }
        double work = random.work(classIndex),
                workHint =
                        switch (deployment.visibility().hints()) {
                            case NONE -> 0;
                            case GOOD -> work * Math.exp(0.1 * random.normal());
                            case MISLEADING -> jobClass.meanWork() * Math.exp(1.5 * random.normal());
                        };
        ClientJob job = new ClientJob(
                emulation,
                classIndex,
                zone,
                SLOTS_BY_COLUMN[column],
                work,
                workHint,
                random.clients.nextInt(TENANT_COUNT));
        emulation.report.recordOffered(
                clock.now() - Emulation.START, job.zone, job.classIndex, job.worth(), job.work * job.slots);
        send(job);
    }

    private void send(ClientJob job) {
        job.tryCount++;
        List<EmulatedScheduler> candidates =
                emulation.schedulers.stream().filter(s -> s.zone == job.zone).toList();
        EmulatedScheduler scheduler = candidates.get(random.other.nextInt(candidates.size()));
        if (!scheduler.isUp()) {
            retry(job, 0); // nobody there: the front has not noticed yet
            return;
        }
        scheduler.accept(job);
    }

    /** The client tries again no sooner than that, unless it has tried often enough or may not. */
    void retry(ClientJob job, long minDelay) {
        long delay = Math.max(minDelay, random.delayMicros(6, 48));
        if (job.tryCount <= scenario.retries() && job.mayRetry(delay)) {
            clock.runAfter(delay, () -> send(job));
        }
    }
}
