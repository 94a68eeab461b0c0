package barrowshore.standin;

import barrowshore.model.Timeline;
import barrowshore.model.WorkerModel;
import barrowshore.module.DispatchApi.Load;
import barrowshore.net.Clock;
import barrowshore.net.Mailbox;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A stand-in for one worker: a {@link WorkerModel} behind the platform's protocol on a loopback socket, written from the
 * protocol's specification. An actor; it owns its port, its connections, the model and the {@link Counters}. It must
 * listen on loopback only.
 */
public final class StandInWorker {
    /** Work, at speed 1, of a job whose request does not state it. */
    private static final long DEFAULT_JOB_WORK_MICROS = 100_000;
    /** Delay before a restart tries again to listen on its port, which stays taken for a while after a crash. */
    private static final long REOPEN_RETRY_MILLIS = 20;

    /** Counts since the start; lateJobs: jobs that came after the time set by {@link #countJobsAsLateAfter}. */
    public record Counters(
            Map<String, Integer> startsByJobId,
            long served,
            double coldBudgetUsed,
            boolean failedFromOverload,
            int connections,
            int lateJobs) {}

    private final String uid;
    private final StandInListener listener;
    private final Scheduler timers;
    private final Mailbox mailbox;
    private final Clock clock = Clock.system();
    private final WorkerModel model;
    private final Set<WorkerLink> links = new HashSet<>();
    private final Map<String, Integer> startsByJobId = new HashMap<>();
    private final int port;
    private long lateAfterMicros = Long.MAX_VALUE;
    private int lateJobs;

    /** Starts a warm worker on a free port. */
    public StandInWorker(
            String uid,
            WorkerModel.Spec spec,
            WorkerModel.OverloadLimit overloadLimit,
            long progressIntervalMicros,
            StandInListener listener,
            ExecutorService pool,
            Scheduler timers)
            throws IOException {
        this.uid = uid;
        this.listener = listener;
        this.timers = timers;
        this.mailbox = new Mailbox("stand-in " + uid, pool);
        this.model = new WorkerModel(
                new Timeline() {
                    @Override
                    public long now() {
                        return clock.micros();
                    }

                    @Override
                    public void runAt(long time, Runnable run) {
                        timers.schedule(() -> mailbox.post(run), Math.max(1, time - now()), TimeUnit.MICROSECONDS);
                    }
                },
                spec,
                overloadLimit,
                progressIntervalMicros);
        port = listener.open(0, WorkerLink::new);
    }

    public String uid() {
        return uid;
    }

    public InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** Simulates the death of its process: connections are closed and new ones refused once the future is complete. */
    public CompletableFuture<Void> crash() {
        return runOnMailbox(() -> {
            model.crash();
            closeAllSockets();
        });
    }

    /** Restarts it, cold, unless it failed from overload; the future holds the present Unix time in milliseconds. */
    public CompletableFuture<Long> restart() {
        CompletableFuture<Long> started = new CompletableFuture<>();
        mailbox.post(() -> listenAndRestart(started));
        return started;
    }

    private void listenAndRestart(CompletableFuture<Long> started) {
        try {
            if (!model.hasFailedFromOverload()) {
                listener.open(port, WorkerLink::new);
                model.restart();
            }
            started.complete(clock.micros() / 1000);
        } catch (IOException e) {
            timers.schedule(
                    () -> mailbox.post(() -> listenAndRestart(started)), REOPEN_RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** While hung, it accepts jobs and answers nothing. */
    public CompletableFuture<Void> setHung(boolean hung) {
        return runOnMailbox(() -> model.setHung(hung));
    }

    /** Makes all work take so many times as long. */
    public CompletableFuture<Void> setSlowdown(double factor) {
        return runOnMailbox(() -> model.setSlowdown(factor));
    }

    public CompletableFuture<Void> setDraining(boolean draining) {
        return runOnMailbox(() -> model.setDraining(draining));
    }

    /** Counts jobs that arrive more than millis from now as late: schedulers must know of the drain by then. */
    public void countJobsAsLateAfter(long millis) {
        mailbox.post(() -> lateAfterMicros = clock.micros() + millis * 1000);
    }

    /** Submits a job without a connection, as if its request had just been read completely. */
    public void offer(WorkerModel.Job job) {
        mailbox.post(() -> model.offer(job));
    }

    /** Returns the load that it would report over its socket; the future never completes if it is hung or down. */
    public CompletableFuture<Load> load() {
        CompletableFuture<Load> load = new CompletableFuture<>();
        mailbox.post(() -> {
            if (model.isUp() && !model.isHung()) {
                load.complete(new Load(model.jobCount(), Double.NaN, (int) model.freeSlots()));
            }
        });
        return load;
    }

    public CompletableFuture<Counters> counters() {
        CompletableFuture<Counters> counters = new CompletableFuture<>();
        mailbox.post(() -> counters.complete(new Counters(
                Map.copyOf(startsByJobId),
                model.served(),
                model.coldBudgetUsed(),
                model.hasFailedFromOverload(),
                links.size(),
                lateJobs)));
        return counters;
    }

    private CompletableFuture<Void> runOnMailbox(Runnable task) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        mailbox.post(() -> {
            task.run();
            done.complete(null);
        });
        return done;
    }

    private void closeAllSockets() {
        listener.close(port);
        List.copyOf(links).forEach(WorkerLink::closeNow);
    }

    /** Closes its port and connections for good. */
    public void stop() {
        runOnMailbox(this::closeAllSockets).join();
    }

    private final class WorkerLink extends StandInLink {
        private StandInJob job;

        WorkerLink(EndPoint endPoint) {
            super(endPoint, StandInWorker.this.mailbox, timers);
        }

        @Override
        protected void onConnected() {
            if (!model.isUp()) {
                closeNow();
                return;
            }
            links.add(this);
            read();
        }

        @Override
        void handleRequest(String method, String target, Map<String, String> headers, String body) {
            if (target.equals("/-/load") || target.equals("/-/healthy")) {
                if (!model.isHung()) {
                    answer(200, "", "{\"inflight\":" + model.jobCount() + ",\"x0\":" + (int) model.freeSlots() + "}");
                }
                return;
            }
            String id = headers.get("x-request-id");
            if (id == null) {
                answer(404, "", "");
                return;
            }
            lateJobs += clock.micros() > lateAfterMicros ? 1 : 0;
            job = new StandInJob(
                    this,
                    id,
                    queryNumber(target, "slots", 1),
                    queryNumber(target, "work", DEFAULT_JOB_WORK_MICROS / 1000.0) * 1000);
            model.offer(job);
        }

        /** Reads a number from the target's query; a real worker finds it in the body. */
        private static double queryNumber(String target, String name, double defaultValue) {
            int start = target.indexOf(name + "=");
            if (start < 0) {
                return defaultValue;
            }
            String valueOnwards = target.substring(start + name.length() + 1);
            int end = valueOnwards.indexOf('&');
            try {
                return Double.parseDouble(end < 0 ? valueOnwards : valueOnwards.substring(0, end));
            } catch (NumberFormatException e) {
                return defaultValue;
            }
        }

        @Override
        protected void onClosed(Throwable cause) {
            links.remove(this); // its job goes on: workers never cancel
        }
    }

    private final class StandInJob implements WorkerModel.Job {
        private final WorkerLink link;
        private final String id;
        private final double slots;
        private final double work;
        private boolean streamStarted;

        StandInJob(WorkerLink link, String id, double slots, double work) {
            this.link = link;
            this.id = id;
            this.slots = slots;
            this.work = work;
        }

        @Override
        public double slots() {
            return slots;
        }

        @Override
        public double work() {
            return work;
        }

        private void writeNote(String state, String extraFields) {
            if (!streamStarted) {
                streamStarted = true;
                link.startStream();
            }
            link.writeLine(
                    "{\"id\":\"" + id + "\",\"from\":\"" + uid + "\",\"state\":\"" + state + "\"" + extraFields + "}");
        }

        private void writeLastNote(String state, String extraFields) {
            writeNote(state, extraFields);
            link.endStream();
        }

        @Override
        public void started() {
            startsByJobId.merge(id, 1, Integer::sum);
            writeNote("started", "");
        }

        @Override
        public void progress(double share) {
            writeNote("running", ",\"share\":" + Math.round(share * 1000) / 1000.0);
        }

        @Override
        public void done() {
            writeLastNote("done", ",\"result\":\"" + id + " by " + uid + "\"");
        }

        @Override
        public void failed() {
            writeLastNote("failed", "");
        }

        @Override
        public void returned() {
            writeLastNote("returned", "");
        }

        @Override
        public void lost() {
            link.closeNow();
        }
    }
}
