package barrowshore.node;

import barrowshore.files.FileSigner;
import barrowshore.files.WatchedFile;
import barrowshore.list.OperatorServerList;
import barrowshore.list.ServerList.Update;
import barrowshore.list.ServerList.ZoneKindNames;
import barrowshore.list.ServerListMerger;
import barrowshore.net.Clock;
import barrowshore.net.Mailbox;
import barrowshore.operator.OperatorSettings;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * The actor that merges the server lists of service discovery and of a watched file. It owns the
 * {@link ServerListMerger}, which decides which source wins, the file's watch and the timer of the sources' grace
 * periods. It passes on an update of a source as a whole, never in parts.
 */
final class ServerListActor {
    private static final String DISCOVERY = "discovery", FILE = "file";

    private final ServerListMerger merger = new ServerListMerger();
    private final Clock clock;
    private final Scheduler timers;
    private final Mailbox mailbox;
    private final Consumer<Update> listener;
    private final WatchedFile watchedFile;
    /**
     * When the file first listed each server, by uid. It counts as the server's start time unless the file marks the server
     * as warm. Servers in the first file read get 0, since they were probably running before this process.
     */
    private final Map<String, Long> firstListedMicros = new HashMap<>();

    private boolean fileRead;
    private boolean listSent;

    ServerListActor(
            OperatorSettings.ServersFileSettings settings,
            ZoneKindNames names,
            Clock clock,
            Executor pool,
            Scheduler timers,
            Consumer<Update> listener) {
        this.clock = clock;
        this.timers = timers;
        this.listener = listener;
        this.mailbox = new Mailbox("the server list", pool);
        merger.addSource(DISCOVERY, settings.fileOverridesDiscovery() ? 2 : 1, 0);
        merger.addSource(FILE, settings.fileOverridesDiscovery() ? 1 : 2, 0);
        this.watchedFile = new WatchedFile(
                settings.file(),
                settings.maxLostShare(),
                settings.keyDirectory() == null ? null : new FileSigner(settings.keyDirectory()),
                pool,
                timers,
                list -> {
                    try {
                        long now = fileRead ? clock.micros() : 0;
                        Update update = list.toUpdate(
                                names, server -> firstListedMicros.computeIfAbsent(server.uid(), uid -> now));
                        fileRead = true;
                        firstListedMicros.keySet().retainAll(list.servers().keySet());
                        mailbox.post(() -> applyFile(FILE, update, list));
                        return null;
                    } catch (RuntimeException e) {
                        return e; // the file names zones or models that the configuration lacks
                    }
                });
    }

    /** Applies a full list or a change from service discovery. */
    void applyDiscovery(Update update) {
        mailbox.post(() -> notifyListener(merger.apply(clock.micros(), DISCOVERY, update)));
    }

    private void applyFile(String source, Update update, OperatorServerList list) {
        merger.setGrace(source, list.grace());
        notifyListener(merger.apply(clock.micros(), source, update));
    }

    /** Passes on the whole merged list the first time, which replaces the known servers, and changes after that. */
    private void notifyListener(Update changes) {
        if (!listSent) {
            listSent = true;
            listener.accept(merger.currentList());
        } else if (!changes.entries().isEmpty()) {
            listener.accept(changes);
        }
        long nextExpiry = merger.nextExpiry();
        if (nextExpiry != Long.MAX_VALUE) {
            timers.schedule(
                    () -> mailbox.post(() -> notifyListener(merger.expireGraces(clock.micros()))),
                    Math.max(1, nextExpiry - clock.micros()),
                    TimeUnit.MICROSECONDS);
        }
    }

    void stop() {
        watchedFile.stop();
    }
}
