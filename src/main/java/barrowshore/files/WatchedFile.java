package barrowshore.files;

import barrowshore.config.ConfigException;
import barrowshore.list.OperatorServerList;
import barrowshore.list.ServerListChangePolicy;
import barrowshore.net.Mailbox;
import java.io.IOException;
import java.io.InputStream;
import java.lang.System.Logger.Level;
import java.nio.file.ClosedWatchServiceException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardWatchEventKinds;
import java.nio.file.WatchKey;
import java.nio.file.WatchService;
import java.util.Arrays;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A servers' file that is watched. An actor; it owns the directory's watch, the thread that waits on it, the poll behind
 * it, and the file in use. It must never hand on what has not been read twice alike, checked whole and judged; what is in
 * use stays until something better comes, for as long as it takes.
 *
 * <p>Events get lost, and files are replaced by rename, by a symbolic link that moves, in place, or come back: so events
 * only hasten the next look, and a look compares contents, never times.
 */
public final class WatchedFile {
    private static final System.Logger LOG = System.getLogger(WatchedFile.class.getName());
    /** Milliseconds between looks that no event has asked for. */
    private static final long POLL = 1000;
    /** How long a content must stand before it is taken for whole. */
    private static final long SETTLE = 50;
    /** Files taken over at most so often; the latest wins. */
    private static final long PAUSE = 200;

    private final Path file;
    private final double mostLost;
    private final FileSigner macs;
    private final Function<OperatorServerList, RuntimeException> taker;
    private final Scheduler timers;
    private final Mailbox mailbox;
    private final WatchService watch;
    private byte[] seen;
    private byte[] judged;
    private OperatorServerList inUse;
    private boolean looking;
    private boolean stopped;
    private boolean paused;
    private String said = "";

    /**
     * Watches a file from now on. taker: puts a file to use, in this actor's mailbox, and returns what is wrong with it
     * there, or null. mostLost: see {@link ServerListChangePolicy}; macs: what a file
     * must be signed by, null: nothing.
     */
    public WatchedFile(
            Path file,
            double mostLost,
            FileSigner macs,
            Executor pool,
            Scheduler timers,
            Function<OperatorServerList, RuntimeException> taker) {
        this.file = file.toAbsolutePath();
        this.mostLost = mostLost;
        this.macs = macs;
        this.taker = taker;
        this.timers = timers;
        this.mailbox = new Mailbox("the servers' file " + file, pool);
        this.watch = open();
        mailbox.post(this::inspect);
        poll();
    }

    private WatchService open() {
        try {
            WatchService service = file.getFileSystem().newWatchService();
            file.getParent()
                    .register(
                            service,
                            StandardWatchEventKinds.ENTRY_CREATE,
                            StandardWatchEventKinds.ENTRY_MODIFY,
                            StandardWatchEventKinds.ENTRY_DELETE);
            Thread thread = new Thread(() -> await(service), "watch of " + file.getFileName());
            thread.setDaemon(true);
            thread.start();
            return service;
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.WARNING, "{0}: no events from its directory, looked at every {1} ms: {2}", file, POLL, e);
            return null;
        }
    }

    /** Only says that there is something to look at. */
    private void await(WatchService service) {
        try {
            while (true) {
                WatchKey key = service.take();
                key.pollEvents();
                mailbox.post(this::hasten);
                if (!key.reset()) {
                    return; // the directory is gone; the poll goes on
                }
            }
        } catch (ClosedWatchServiceException e) {
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void poll() {
        timers.schedule(
                () -> mailbox.post(() -> {
                    if (!stopped) {
                        inspect();
                        poll();
                    }
                }),
                POLL,
                TimeUnit.MILLISECONDS);
    }

    /** However many events there are, one look is due at a time. */
    private void hasten() {
        if (!looking && !stopped) {
            looking = true;
            timers.schedule(
                    () -> mailbox.post(() -> {
                        looking = false;
                        inspect();
                    }),
                    SETTLE,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void inspect() {
        if (stopped || paused) {
            return;
        }
        byte[] now;
        try (InputStream in = Files.newInputStream(file)) {
            now = in.readNBytes(ServersFile.MAX_BYTES + 1);
        } catch (IOException e) {
            seen = null;
            say(Level.WARNING, "cannot be read (" + e.getClass().getSimpleName() + ")" + kept());
            return;
        }
        if (!Arrays.equals(now, seen)) {
            seen = now;
            hasten(); // it may be half written: it counts when it has stood
        } else if (!Arrays.equals(now, judged)) {
            judged = now;
            judge(now);
        }
    }

    private void judge(byte[] bytes) {
        try {
            if (macs != null) {
                judged = null; // its MAC may come after it: it is judged again until there is a good one
                macs.verify(file, bytes);
                judged = bytes;
            }
            OperatorServerList next = ServersFile.parse(file.toString(), bytes);
            ServerListChangePolicy.Decision verdict = ServerListChangePolicy.check(inUse, next, mostLost);
            switch (verdict.outcome()) {
                case TAKEN -> take(next);
                case SAME -> inUse = next;
                case HELD, REFUSED -> say(
                        Level.WARNING, "revision " + next.revision() + " is not taken: " + verdict.reason() + kept());
                default -> throw new IllegalStateException("no such outcome: " + verdict.outcome());
            }
        } catch (ConfigException e) {
            say(Level.WARNING, "left unused: " + e.getMessage() + kept());
        }
    }

    private void take(OperatorServerList next) {
        RuntimeException wrong = taker.apply(next);
        if (wrong != null) {
            say(Level.WARNING, "left unused: " + wrong.getMessage() + kept());
            return;
        }
        inUse = next;
        said = "";
        LOG.log(Level.INFO, "{0}: taken, {1}", file, next.summary());
        paused = true;
        timers.schedule(
                () -> mailbox.post(() -> {
                    paused = false;
                    inspect();
                }),
                PAUSE,
                TimeUnit.MILLISECONDS);
    }

    private String kept() {
        return inUse == null ? "; none is in use" : "; revision " + inUse.revision() + " stays in use";
    }

    /** Once for each thing to say: a file that stays broken is not news every second. */
    private void say(Level level, String text) {
        if (!text.equals(said)) {
            said = text;
            LOG.log(level, "{0}: {1}", file, text);
        }
    }

    /** Shows the file in use (null: none) to one who only looks. */
    public void inspect(Consumer<OperatorServerList> looker) {
        mailbox.post(() -> looker.accept(inUse));
    }

    /** Stops watching; what is in use stays with whoever took it. */
    public void stop() {
        mailbox.post(() -> stopped = true);
        if (watch != null) {
            try {
                watch.close();
            } catch (IOException e) {
                LOG.log(Level.DEBUG, "a watch did not close", e);
            }
        }
    }
}
