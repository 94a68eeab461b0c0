package barrowshore.node;

import barrowshore.client.ClientConnections;
import barrowshore.config.Config;
import barrowshore.net.Clock;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * The times of a shutdown, counted from SIGTERM: until when requests must be answered, and when clients are let go. They
 * follow from the deadlines that are configured then. A configuration with shorter ones, which was still being read or comes
 * later, moves them forward; nothing moves them back. Its methods may be called from any thread.
 */
final class ShutdownSequence {
    /** After SIGTERM or a drain order, the last new connections come within this time. */
    static final long SETTLE_MILLIS = 500;
    /** Requests that begin this long or longer after SIGTERM must be answered before the process is killed. */
    private static final long LATE_REQUEST_MILLIS = 600;
    /**
     * The grace after SIGTERM, before the process may be killed, is the longest deadline of a class, at most this, plus
     * {@link #EXTRA_GRACE_MILLIS}.
     */
    private static final long MAX_JOB_GRACE_MILLIS = 3000;

    private static final long EXTRA_GRACE_MILLIS = 700;
    /** Left at the end of the grace to answer the requests that are still open. */
    private static final long FINAL_ANSWER_MILLIS = 150;
    /** Clients that no other scheduler can take stay until this much of the grace is left: enough for a usual job. */
    private static final long USUAL_JOB_MILLIS = 800;

    private final Clock clock;
    private final Scheduler timers;
    private final ClientConnections clients;
    private final ModuleActor module;
    private final Runnable releaseClients;
    private final AtomicBoolean clientsReleased = new AtomicBoolean();
    private final long startMicros;

    /** Begins now; releaseClients lets the clients go and is run once. */
    ShutdownSequence(
            Clock clock, Scheduler timers, ClientConnections clients, ModuleActor module, Runnable releaseClients) {
        this.clock = clock;
        this.timers = timers;
        this.clients = clients;
        this.module = module;
        this.releaseClients = releaseClients;
        this.startMicros = clock.micros();
    }

    /** Answers all requests, and lets clients go, in time for the grace that the configuration's deadlines allow. */
    void limitBy(Config config) {
        long jobMillis = Math.min(MAX_JOB_GRACE_MILLIS, config.longestDeadlineMicros() / 1000);
        long graceMillis = jobMillis + EXTRA_GRACE_MILLIS;
        long lastAnswerMillis = graceMillis - FINAL_ANSWER_MILLIS;
        clients.capDeadlinesForShutdown(
                startMicros + LATE_REQUEST_MILLIS * 1000, startMicros + lastAnswerMillis * 1000);
        timers.schedule(module::giveFinalAnswers, millisUntil(lastAnswerMillis), TimeUnit.MILLISECONDS);
        releaseClientsAt(Math.max(SETTLE_MILLIS, graceMillis - USUAL_JOB_MILLIS));
    }

    /** Lets clients go so long after SIGTERM, unless an earlier time is set. */
    void releaseClientsAt(long millis) {
        timers.schedule(
                () -> {
                    if (!clientsReleased.getAndSet(true)) {
                        releaseClients.run();
                    }
                },
                millisUntil(millis),
                TimeUnit.MILLISECONDS);
    }

    private long millisUntil(long millisAfterStart) {
        return Math.max(0, millisAfterStart - (clock.micros() - startMicros) / 1000);
    }
}
