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
 * Where several sources of servers come together: discovery, and a watched file. An actor; it owns the
 * {@link ServerListMerger}, the watch of the file and the timer of graces. What wins, the book decides; it must never
 * tell the module half of what a source said at once.
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
     * When a server was first named by the file: it counts as started then, unless it is said to be warm. What the
     * first file names was there before us, as far as anybody knows.
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
        this.mailbox = new Mailbox("the list", pool);
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
                        return e; // its names do not fit the configuration
                    }
                });
    }

    /** Discovery has told a list or a change of it. */
    void applyDiscovery(Update update) {
        mailbox.post(() -> notifyListener(merger.apply(clock.micros(), DISCOVERY, update)));
    }

    private void applyFile(String source, Update update, OperatorServerList list) {
        merger.setGrace(source, list.grace());
        notifyListener(merger.apply(clock.micros(), source, update));
    }

    /** The first word replaces what was known from before; then changes do. */
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
