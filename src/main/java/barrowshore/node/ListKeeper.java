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
final class ListKeeper {
    private static final String DISCOVERY = "discovery", FILE = "file";

    private final ServerListMerger book = new ServerListMerger();
    private final Clock clock;
    private final Scheduler timers;
    private final Mailbox mailbox;
    private final Consumer<Update> listener;
    private final WatchedFile file;
    /**
     * When a server was first named by the file: it counts as started then, unless it is said to be warm. What the
     * first file names was there before us, as far as anybody knows.
     */
    private final Map<String, Long> firstNamed = new HashMap<>();

    private boolean filled;
    private boolean told;

    ListKeeper(
            OperatorSettings.ServersFileSettings rules,
            ZoneKindNames names,
            Clock clock,
            Executor pool,
            Scheduler timers,
            Consumer<Update> listener) {
        this.clock = clock;
        this.timers = timers;
        this.listener = listener;
        this.mailbox = new Mailbox("the list", pool);
        book.addSource(DISCOVERY, rules.fileOverridesDiscovery() ? 2 : 1, 0);
        book.addSource(FILE, rules.fileOverridesDiscovery() ? 1 : 2, 0);
        this.file = new WatchedFile(
                rules.file(),
                rules.maxLostShare(),
                rules.keyDirectory() == null ? null : new FileSigner(rules.keyDirectory()),
                pool,
                timers,
                next -> {
                    try {
                        long now = filled ? clock.micros() : 0;
                        Update update = next.toUpdate(names, s -> firstNamed.computeIfAbsent(s.uid(), uid -> now));
                        filled = true;
                        firstNamed.keySet().retainAll(next.servers().keySet());
                        mailbox.post(() -> say(FILE, update, next));
                        return null;
                    } catch (RuntimeException e) {
                        return e; // its names do not fit the configuration
                    }
                });
    }

    /** Discovery has told a list or a change of it. */
    void discovered(Update update) {
        mailbox.post(() -> tell(book.apply(clock.micros(), DISCOVERY, update)));
    }

    private void say(String source, Update update, OperatorServerList from) {
        book.setGrace(source, from.grace());
        tell(book.apply(clock.micros(), source, update));
    }

    /** The first word replaces what was known from before; then changes do. */
    private void tell(Update changes) {
        if (!told) {
            told = true;
            listener.accept(book.currentList());
        } else if (!changes.entries().isEmpty()) {
            listener.accept(changes);
        }
        long next = book.nextExpiry();
        if (next != Long.MAX_VALUE) {
            timers.schedule(
                    () -> mailbox.post(() -> tell(book.expireGraces(clock.micros()))),
                    Math.max(1, next - clock.micros()),
                    TimeUnit.MICROSECONDS);
        }
    }

    void stop() {
        file.stop();
    }
}
