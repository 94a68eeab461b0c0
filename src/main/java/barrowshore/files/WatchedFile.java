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
    private static final long POLL_MILLIS = 1000;
    /** How long a content must stand before it is taken for whole. */
    private static final long SETTLE_MILLIS = 50;
    /** Files taken over at most so often; the latest wins. */
    private static final long TAKEOVER_PAUSE_MILLIS = 200;

    private final Path file;
    private final double maxLostShare;
    private final FileSigner signer;
    private final Function<OperatorServerList, RuntimeException> applyList;
    private final Scheduler timers;
    private final Mailbox mailbox;
    private final WatchService watchService;
    private byte[] lastContent;
    private byte[] checkedContent;
    private OperatorServerList inUse;
    private boolean inspectionDue;
    private boolean stopped;
    private boolean paused;
    private String lastMessage = "";

    /**
     * Watches a file from now on. taker: puts a file to use, in this actor's mailbox, and returns what is wrong with it
     * there, or null. mostLost: see {@link ServerListChangePolicy}; macs: what a file
     * must be signed by, null: nothing.
     */
    public WatchedFile(
            Path file,
            double maxLostShare,
            FileSigner signer,
            Executor pool,
            Scheduler timers,
            Function<OperatorServerList, RuntimeException> applyList) {
        this.file = file.toAbsolutePath();
        this.maxLostShare = maxLostShare;
        this.signer = signer;
        this.applyList = applyList;
        this.timers = timers;
        this.mailbox = new Mailbox("the servers' file " + file, pool);
        this.watchService = startWatch();
        mailbox.post(this::inspect);
        schedulePoll();
    }

    private WatchService startWatch() {
        try {
            WatchService service = file.getFileSystem().newWatchService();
            file.getParent()
                    .register(
                            service,
                            StandardWatchEventKinds.ENTRY_CREATE,
                            StandardWatchEventKinds.ENTRY_MODIFY,
                            StandardWatchEventKinds.ENTRY_DELETE);
            Thread thread = new Thread(() -> awaitEvents(service), "watch of " + file.getFileName());
            thread.setDaemon(true);
            thread.start();
            return service;
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.WARNING, "{0}: no events from its directory, looked at every {1} ms: {2}", file, POLL_MILLIS, e);
            return null;
        }
    }

    /** Only says that there is something to look at. */
    private void awaitEvents(WatchService service) {
        try {
            while (true) {
                WatchKey key = service.take();
                key.pollEvents();
                mailbox.post(this::scheduleInspection);
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

    private void schedulePoll() {
        timers.schedule(
                () -> mailbox.post(() -> {
                    if (!stopped) {
                        inspect();
                        schedulePoll();
                    }
                }),
                POLL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** However many events there are, one look is due at a time. */
    private void scheduleInspection() {
        if (!inspectionDue && !stopped) {
            inspectionDue = true;
            timers.schedule(
                    () -> mailbox.post(() -> {
                        inspectionDue = false;
                        inspect();
                    }),
                    SETTLE_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void inspect() {
        if (stopped || paused) {
            return;
        }
        byte[] content;
        try (InputStream in = Files.newInputStream(file)) {
            content = in.readNBytes(ServersFile.MAX_BYTES + 1);
        } catch (IOException e) {
            lastContent = null;
            logOnce(Level.WARNING, "cannot be read (" + e.getClass().getSimpleName() + ")" + inUseText());
            return;
        }
        if (!Arrays.equals(content, lastContent)) {
            lastContent = content;
            scheduleInspection(); // it may be half written: it counts when it has stood
        } else if (!Arrays.equals(content, checkedContent)) {
            checkedContent = content;
            checkContent(content);
        }
    }

    private void checkContent(byte[] bytes) {
        try {
            if (signer != null) {
                checkedContent = null; // its MAC may come after it: it is judged again until there is a good one
                signer.verify(file, bytes);
                checkedContent = bytes;
            }
            OperatorServerList next = ServersFile.parse(file.toString(), bytes);
            ServerListChangePolicy.Decision decision = ServerListChangePolicy.check(inUse, next, maxLostShare);
            switch (decision.outcome()) {
                case TAKEN -> takeOver(next);
                case SAME -> inUse = next;
                case HELD, REFUSED -> logOnce(
                        Level.WARNING, "revision " + next.revision() + " is not taken: " + decision.reason() + inUseText());
                default -> throw new IllegalStateException("no such outcome: " + decision.outcome());
            }
        } catch (ConfigException e) {
            logOnce(Level.WARNING, "left unused: " + e.getMessage() + inUseText());
        }
    }

    private void takeOver(OperatorServerList next) {
        RuntimeException error = applyList.apply(next);
        if (error != null) {
            logOnce(Level.WARNING, "left unused: " + error.getMessage() + inUseText());
            return;
        }
        inUse = next;
        lastMessage = "";
        LOG.log(Level.INFO, "{0}: taken, {1}", file, next.summary());
        paused = true;
        timers.schedule(
                () -> mailbox.post(() -> {
                    paused = false;
                    inspect();
                }),
                TAKEOVER_PAUSE_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private String inUseText() {
        return inUse == null ? "; none is in use" : "; revision " + inUse.revision() + " stays in use";
    }

    /** Once for each thing to say: a file that stays broken is not news every second. */
    private void logOnce(Level level, String text) {
        if (!text.equals(lastMessage)) {
            lastMessage = text;
            LOG.log(level, "{0}: {1}", file, text);
        }
    }

    /** Shows the file in use (null: none) to one who only looks. */
    public void inspect(Consumer<OperatorServerList> reader) {
        mailbox.post(() -> reader.accept(inUse));
    }

    /** Stops watching; what is in use stays with whoever took it. */
    public void stop() {
        mailbox.post(() -> stopped = true);
        if (watchService != null) {
            try {
                watchService.close();
            } catch (IOException e) {
                LOG.log(Level.DEBUG, "a watch did not close", e);
            }
        }
    }
}
