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
 * A stand-in for one order node: {@link WorkerModel} behind the platform's protocol, on a loopback socket, written from
 * the protocol's pages. An actor; it owns its listening socket, its connections and the model, and counts what runs
 * twice and what came while it was cold. It must never listen elsewhere than on loopback.
 */
public final class StandInWorker {
    /** Work of a job that says nothing of it, microseconds at speed 1. */
    private static final long USUAL_WORK = 100_000;
    /** Until a port that was just closed is tried again. */
    private static final long AGAIN_MILLIS = 20;

    /** What a node counts; runs: how often each id started; late: jobs that came after {@link #countJobsAsLateAfter}. */
    public record Counters(
            Map<String, Integer> startsByJobId,
            long served,
            double coldBudgetUsed,
            boolean failedFromOverload,
            int connections,
            int lateJobs) {}

    private final String uid;
    private final StandInListener front;
    private final Scheduler timers;
    private final Mailbox mailbox;
    private final Clock clock = Clock.system();
    private final WorkerModel model;
    private final Set<Link> links = new HashSet<>();
    private final Map<String, Integer> runs = new HashMap<>();
    private final int port;
    private long nothingNewAfter = Long.MAX_VALUE;
    private int late;

    /** Starts a node that has been up for long, on a free port. */
    public StandInWorker(
            String uid,
            WorkerModel.Spec spec,
            WorkerModel.OverloadLimit falling,
            long progressEvery,
            StandInListener front,
            ExecutorService pool,
            Scheduler timers)
            throws IOException {
        this.uid = uid;
        this.front = front;
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
                falling,
                progressEvery);
        port = front.open(0, Link::new);
    }

    public String uid() {
        return uid;
    }

    public InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** The process dies: its connections are reset and new ones refused. Done when the future is. */
    public CompletableFuture<Void> crash() {
        return told(() -> {
            model.crash();
            close();
        });
    }

    /** The process starts again, cold; the future holds when, in Unix time in milliseconds. */
    public CompletableFuture<Long> restart() {
        CompletableFuture<Long> started = new CompletableFuture<>();
        mailbox.post(() -> listen(started));
        return started;
    }

    private void listen(CompletableFuture<Long> started) {
        try {
            if (!model.hasFailedFromOverload()) {
                front.open(port, Link::new);
                model.restart();
            }
            started.complete(clock.micros() / 1000);
        } catch (IOException e) {
            timers.schedule(() -> mailbox.post(() -> listen(started)), AGAIN_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** It takes work and answers nothing, or goes on. */
    public CompletableFuture<Void> setHung(boolean on) {
        return told(() -> model.setHung(on));
    }

    /** Everything takes so many times as long. */
    public CompletableFuture<Void> setSlowdown(double factor) {
        return told(() -> model.setSlowdown(factor));
    }

    public CompletableFuture<Void> setDraining(boolean on) {
        return told(() -> model.setDraining(on));
    }

    /** Jobs that come later than so many milliseconds from now are counted: its schedulers should know better by then. */
    public void countJobsAsLateAfter(long millis) {
        mailbox.post(() -> nothingNewAfter = clock.micros() + millis * 1000);
    }

    /** Hands in a job by another way than its socket, as the last byte of a request would. */
    public void offer(WorkerModel.Job job) {
        mailbox.post(() -> model.offer(job));
    }

    /** The load that it would report over its socket; no answer while it hangs or is down. */
    public CompletableFuture<Load> load() {
        CompletableFuture<Load> told = new CompletableFuture<>();
        mailbox.post(() -> {
            if (model.isUp() && !model.isHung()) {
                told.complete(new Load(model.jobCount(), Double.NaN, (int) model.freeSlots()));
            }
        });
        return told;
    }

    /** What it has counted. */
    public CompletableFuture<Counters> counters() {
        CompletableFuture<Counters> count = new CompletableFuture<>();
        mailbox.post(() -> count.complete(new Counters(
                Map.copyOf(runs),
                model.served(),
                model.coldBudgetUsed(),
                model.hasFailedFromOverload(),
                links.size(),
                late)));
        return count;
    }

    private CompletableFuture<Void> told(Runnable message) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        mailbox.post(() -> {
            message.run();
            done.complete(null);
        });
        return done;
    }

    private void close() {
        front.close(port);
        List.copyOf(links).forEach(Link::closeNow);
    }

    /** Stops for good. */
    public void stop() {
        told(this::close).join();
    }

    private final class Link extends StandInLink {
        private Job job;

        Link(EndPoint endPoint) {
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
        void asked(String method, String target, Map<String, String> headers, String body) {
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
            late += clock.micros() > nothingNewAfter ? 1 : 0;
            job = new Job(this, id, number(target, "slots", 1), number(target, "work", USUAL_WORK / 1000.0) * 1000);
            model.offer(job);
        }

        /** A figure in the target's query: what a real node would find in the body. */
        private static double number(String target, String name, double otherwise) {
            int at = target.indexOf(name + "=");
            if (at < 0) {
                return otherwise;
            }
            String rest = target.substring(at + name.length() + 1);
            int end = rest.indexOf('&');
            try {
                return Double.parseDouble(end < 0 ? rest : rest.substring(0, end));
            } catch (NumberFormatException e) {
                return otherwise;
            }
        }

        @Override
        protected void onEnd(Throwable cause) {
            links.remove(this); // what runs for it runs on: nothing is cancelled
        }
    }

    private final class Job implements WorkerModel.Job {
        private final Link link;
        private final String id;
        private final double slots;
        private final double work;
        private boolean streaming;

        Job(Link link, String id, double slots, double work) {
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

        private void say(String state, String rest) {
            if (!streaming) {
                streaming = true;
                link.stream();
            }
            link.line("{\"id\":\"" + id + "\",\"from\":\"" + uid + "\",\"state\":\"" + state + "\"" + rest + "}");
        }

        private void last(String state, String rest) {
            say(state, rest);
            link.endStream();
        }

        @Override
        public void started() {
            runs.merge(id, 1, Integer::sum);
            say("started", "");
        }

        @Override
        public void progress(double share) {
            say("running", ",\"share\":" + Math.round(share * 1000) / 1000.0);
        }

        @Override
        public void done() {
            last("done", ",\"result\":\"" + id + " by " + uid + "\"");
        }

        @Override
        public void failed() {
            last("failed", "");
        }

        @Override
        public void returned() {
            last("returned", "");
        }

        @Override
        public void lost() {
            link.closeNow();
        }
    }
}
