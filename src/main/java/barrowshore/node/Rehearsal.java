package barrowshore.node;

import barrowshore.config.Config;
import barrowshore.module.Dispatcher;
import barrowshore.net.Clock;
import barrowshore.operator.SchedulerConfig;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;

/** A short run of a whole scheduler, by which the archive of classes is made that saves time at a start. */
public final class Rehearsal {
    private Rehearsal() {}

    /** Starts a scheduler, sends it a job of the first class and the operators' calls over sockets, and stops it. */
    public static void run(SchedulerConfig schedulerConfig) throws Exception {
        Config config = schedulerConfig.config();
        Scheduler timers = new ScheduledExecutorScheduler("timers", true, 1);
        timers.start();
        HangUpSignal.handle(() -> {});
        JobScheduler scheduler = new JobScheduler(
                schedulerConfig, Clock.system(), timers, null, actions -> new Dispatcher(config.settings(), actions));
        try (Socket client =
                new Socket(config.listen().getAddress(), scheduler.address().getPort())) {
            String name = config.classes().get(0);
            client.getOutputStream()
                    .write(("POST /" + name + " HTTP/1.1\r\nHost: x\r\nX-Request-ID: 1\r\n"
                                    + "X-Priority-Class: " + name + "\r\nX-Timeout-Ms: 400\r\nContent-Length: 1\r\n"
                                    + "Connection: close\r\n\r\nx")
                            .getBytes(StandardCharsets.ISO_8859_1));
            client.getInputStream().readAllBytes();
            for (String call : config.ops() == null
                    ? new String[0]
                    : new String[] {"POST /v1/scheduler/drain", "POST /v1/scheduler/activate", "GET /v1/metrics"}) {
                try (Socket operator = new Socket(
                        config.ops().getAddress(), scheduler.opsAddress().getPort())) {
                    operator.getOutputStream()
                            .write((call + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                    operator.getInputStream().readAllBytes();
                }
            }
        } finally {
            scheduler.stop();
        }
    }
}
