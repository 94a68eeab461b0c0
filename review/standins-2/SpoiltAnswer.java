import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;

/**
 * Some answers of workers are spoilt: the line that ends the job has lost its result. No client may be served with what no
 * worker has made.
 */
final class SpoiltAnswer extends Case {
    private static final long JOB_MILLIS = 50, TIMEOUT_MILLIS = 5000, LOAD_MILLIS = 10_000;
    private static final int CLIENTS = 4;
    /** One of so many answers is spoilt. */
    private static final int SPOILT_OF = 10;

    public static void main(String[] arguments) throws Exception {
        play(new SpoiltAnswer(), arguments[0]);
    }

    /** A worker that spoils some of its answers. */
    private final class SpoilingWorker extends Worker {
        SpoilingWorker(String uid) throws IOException {
            super(uid, JOB_MILLIS);
        }

        @Override
        void run(String id, HttpMessage request, Socket socket) throws IOException, InterruptedException {
            if (!trouble || arrivals.size() % SPOILT_OF != 0) {
                super.run(id, request, socket);
                return;
            }
            OutputStream out = socket.getOutputStream();
            write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            writeLine(out, id, "\"state\":\"started\"");
            Thread.sleep(JOB_MILLIS);
            Record.line("worker " + uid + " ran " + id + " and spoils its answer");
            writeLine(out, id, "\"state\":\"done\"");
            write(out, "0\r\n\r\n");
        }
    }

    @Override
    boolean isBroken() throws Exception {
        Discovery discovery = new Discovery();
        for (Worker worker : List.of(new SpoilingWorker("s-1"), new SpoilingWorker("s-2"), new SpoilingWorker("s-3"))) {
            discovery.publish(
                    worker.uid, worker.address(), SchedulerConfig.ZONE, SchedulerConfig.MODEL, "Ready", 0);
        }
        Scheduler scheduler = new Scheduler(folder, Scheduler.freeAddress());
        scheduler.writeConfig(SchedulerConfig.json(scheduler.address, discovery.address(), null));
        scheduler.start();
        if (!scheduler.awaitReady()) {
            throw new IllegalStateException("the scheduler is not ready");
        }
        List<Load.Outcome> outcomes = Load.run(
                scheduler.address,
                CLIENTS,
                SchedulerConfig.UNSAFE_CLASS,
                TIMEOUT_MILLIS,
                Record.now() + LOAD_MILLIS);
        require(Load.served(outcomes) > 0, "no job was served");
        long foreign = outcomes.stream()
                .filter(outcome -> outcome.answer().status() == 200
                        && !outcome.answer().text().startsWith("result of " + outcome.id() + " by "))
                .count();
        Record.line("jobs: " + outcomes.size() + "; served with what no worker has made: " + foreign);
        return foreign > 0;
    }
}
