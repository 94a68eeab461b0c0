package barrowshore.emulate;

import barrowshore.emulate.Deployment.ClassSpec;
import java.util.List;

/** All clients: they send jobs at a given rate to a random scheduler of their zone, and retry refused or failed ones. */
final class Clients {
    private static final int TENANT_COUNT = 7;
    /** Slots of a job, by the index into its class's slotShares. */
    private static final double[] SLOTS_BY_COLUMN = {1, 2, 4};

    private final Emulation emulation;
    private final VirtualClock clock;
    private final RandomSources random;
    private final Scenario scenario;
    private final Deployment deployment;
    private final List<ClassSpec> classes;
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

    /** Multiplies the arrival rate by a factor for a while. */
    void startBurst(double factor, long duration) {
        burstFactor *= factor;
        clock.runAfter(duration, () -> burstFactor /= factor);
    }

    /** Creates one job and schedules the next arrival, until the scenario ends. */
    void nextArrival() {
        if (clock.now() >= Emulation.START_MICROS + scenario.lengthMicros()) {
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
                clock.now() - Emulation.START_MICROS, job.zone, job.classIndex, job.worth(), job.work * job.slots);
        send(job);
    }

    private void send(ClientJob job) {
        job.tryCount++;
        List<EmulatedScheduler> candidates =
                emulation.schedulers.stream().filter(s -> s.zone == job.zone).toList();
        EmulatedScheduler scheduler = candidates.get(random.other.nextInt(candidates.size()));
        if (!scheduler.isUp()) {
            retry(job, 0); // the front-end load balancer has not noticed the crash yet
            return;
        }
        scheduler.accept(job);
    }

    /** Retries after at least a delay, unless retries are used up or a repeat would not be safe. */
    void retry(ClientJob job, long minDelay) {
        long delay = Math.max(minDelay, random.delayMicros(6, 48));
        if (job.tryCount <= scenario.retries() && job.mayRetry(delay)) {
            clock.runAfter(delay, () -> send(job));
        }
    }
}
