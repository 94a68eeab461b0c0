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
 * Watches the operators' server list file and applies its changes. An actor; owns the directory's watch with its thread,
 * the polling timer, and the list in use. A content is applied only after two readings that agree, verification, parsing
 * and {@link ServerListChangePolicy}; until then the list in use stays, without a time limit.
 *
 * <p>File events get lost, and a file may be replaced by rename, by a moved symbolic link, or in place, or be restored. So
 * events only bring the next inspection forward, and inspections compare contents, not modification times.
 */
public final class WatchedFile {
    private static final System.Logger LOG = System.getLogger(WatchedFile.class.getName());
    /** The interval of inspections without events. */
    private static final long POLL_MILLIS = 1000;
    /** How long a content must stay the same before it counts as completely written. */
    private static final long SETTLE_MILLIS = 50;
    /** The least time between two applied lists; the latest content wins. */
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
     * Starts watching a file. applyList applies a list, in this actor's mailbox, and returns the error that prevents it, or
     * null. maxLostShare: see {@link ServerListChangePolicy}; signer: verifies the file, null if it is not signed.
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
        this.mailbox = new Mailbox("the server list file " + file, pool);
        this.watchService = startWatch();
        mailbox.post(this::checkFile);
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
            LOG.log(
                    Level.WARNING,
                    "{0}: no file events from its directory, polled every {1} ms instead: {2}",
                    file,
                    POLL_MILLIS,
                    e);
            return null;
        }
    }

    /** Waits for file events, each of which only brings the next inspection forward. */
    private void awaitEvents(WatchService service) {
        try {
            while (true) {
                WatchKey key = service.take();
                key.pollEvents();
                mailbox.post(this::scheduleInspection);
                if (!key.reset()) {
                    return; // the directory was removed; polling continues
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
                        checkFile();
                        schedulePoll();
                    }
                }),
                POLL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Schedules an inspection unless one is due already, so that a burst of events causes one. */
    private void scheduleInspection() {
        if (!inspectionDue && !stopped) {
            inspectionDue = true;
            timers.schedule(
                    () -> mailbox.post(() -> {
                        inspectionDue = false;
                        checkFile();
                    }),
                    SETTLE_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Reads the file; a content that two readings in a row have found is checked. */
    private void checkFile() {
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
            scheduleInspection(); // it may be half written: the next inspection must find it unchanged
        } else if (!Arrays.equals(content, checkedContent)) {
            checkedContent = content;
            checkContent(content);
        }
    }

    /** Verifies, parses and applies a content, or logs why the list in use stays. */
    private void checkContent(byte[] bytes) {
        try {
            if (signer != null) {
                checkedContent = null; // the MAC file may come later: checked again until one is valid
                signer.verify(file, bytes);
                checkedContent = bytes;
            }
            OperatorServerList candidate = ServersFile.parse(file.toString(), bytes);
            ServerListChangePolicy.Decision decision = ServerListChangePolicy.decide(inUse, candidate, maxLostShare);
            switch (decision.outcome()) {
                case TAKEN -> takeOver(candidate);
                case SAME -> inUse = candidate;
                case HELD, REFUSED -> logOnce(
                        Level.WARNING,
                        "revision " + candidate.revision() + " is not applied: " + decision.reason() + inUseText());
                default -> throw new IllegalStateException("no such outcome: " + decision.outcome());
            }
        } catch (ConfigException e) {
            logOnce(Level.WARNING, "not applied: " + e.getMessage() + inUseText());
        }
    }

    private void takeOver(OperatorServerList list) {
        RuntimeException error = applyList.apply(list);
        if (error != null) {
            logOnce(Level.WARNING, "not applied: " + error.getMessage() + inUseText());
            return;
        }
        inUse = list;
        lastMessage = "";
        LOG.log(Level.INFO, "{0}: applied, {1}", file, list.summary());
        paused = true;
        timers.schedule(
                () -> mailbox.post(() -> {
                    paused = false;
                    checkFile();
                }),
                TAKEOVER_PAUSE_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private String inUseText() {
        return inUse == null ? "; no list is in use" : "; revision " + inUse.revision() + " stays in use";
    }

    /** Logs a message unless it repeats the last one: a file that stays invalid is inspected every second. */
    private void logOnce(Level level, String text) {
        if (!text.equals(lastMessage)) {
            lastMessage = text;
            LOG.log(level, "{0}: {1}", file, text);
        }
    }

    /** Passes the list in use (null: none) to a reader, in this actor's mailbox. */
    public void inspect(Consumer<OperatorServerList> reader) {
        mailbox.post(() -> reader.accept(inUse));
    }

    /** Stops watching; a list that was applied stays applied. */
    public void stop() {
        mailbox.post(() -> stopped = true);
        if (watchService != null) {
            try {
                watchService.close();
            } catch (IOException e) {
                LOG.log(Level.DEBUG, "the file watch did not close", e);
            }
        }
    }
}
