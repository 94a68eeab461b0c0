package barrowshore.list;

import barrowshore.list.ServerList.Entry;
import barrowshore.list.ServerList.State;
import barrowshore.list.ServerList.Update;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Service discovery's list as this process knows it, whoever told it: its configuration, discovery itself, or another
 * process of this scheduler. Decides what of an update is news, so that no list is ever replaced by an older one.
 *
 * <p>Revisions are comparable only if they come from the same address of discovery. No I/O and no clock; not safe for use by
 * several threads.
 */
public final class KnownServerList {
    private static final long NO_REVISION = Long.MIN_VALUE;

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    /** Servers that discovery lists and that were left out since their model is unknown. */
    private final Set<String> unknownServers = new LinkedHashSet<>();

    /** Where discovery is asked. */
    private InetSocketAddress address;
    /** The address that {@link #revision} and the entries come from. */
    private InetSocketAddress source;

    private long revision;
    /** Whether discovery, at its present address, can be asked for the changes since the revision. */
    private boolean revisionUsable;
    /** Whether any list is known; it may be one without servers. */
    private boolean hasList;
    /** Whether the list is still that of the configuration, which may be old. */
    private boolean configured = true;
    /** Whether discovery has told anything yet. */
    private boolean confirmed;
    /** The revision last told by another process; {@link #NO_REVISION}: none, or the revisions have started anew since. */
    private long otherRevision = NO_REVISION;
    /** Whether {@link #takeNews} has passed on the whole list. */
    private boolean passedOn;

    /** Starts with the list of the configuration, which may be empty; it is taken to come from the given address. */
    public KnownServerList(InetSocketAddress address, Update configuredList) {
        this.address = address;
        this.source = address;
        replaceBy(configuredList);
        this.hasList = !entries.isEmpty();
        this.revisionUsable = hasList;
    }

    /** Whether any list is known: an empty one of the configuration is none. */
    public boolean hasList() {
        return hasList;
    }

    /** The revision since which discovery can be asked for changes; empty if only the whole list will do. */
    public Optional<Long> baseRevision() {
        return revisionUsable ? Optional.of(revision) : Optional.empty();
    }

    /** Whether the known list comes from that address of discovery. */
    public boolean isFrom(InetSocketAddress from) {
        return from.equals(source);
    }

    /** The whole list as far as it is known. */
    public Update whole() {
        return new Update(revision, true, List.copyOf(entries.values()), List.copyOf(unknownServers));
    }

    /** The whole list, to be told to another process; empty if there is none. */
    public Optional<ServerListMessage> wholeMessage() {
        return hasList ? Optional.of(new ServerListMessage(source, revision, whole())) : Optional.empty();
    }

    /** Discovery is asked at another address from now on; the known list stays in use until that one has told its own. */
    public void setAddress(InetSocketAddress newAddress) {
        address = newAddress;
        requireWholeList();
    }

    /** The revision can't be used any more: the whole list has to be read. */
    public void requireWholeList() {
        revisionUsable = false;
        otherRevision = NO_REVISION;
    }

    /**
     * Whether changes don't apply to a list that discovery has not told itself, as it counts its revisions anew.
     *
     * @param sinceRevision the last one on the connection that tells them
     */
    public boolean isInvalidatedBy(Update update, long sinceRevision) {
        return !confirmed && !update.full() && update.revision() < sinceRevision;
    }

    /**
     * Applies what discovery has told; false: another process had told all of it before.
     *
     * @param from the address that told it
     * @param sinceRevision the last revision on the connection that told it, or {@link Long#MIN_VALUE}
     */
    public boolean applyFromDiscovery(InetSocketAddress from, Update update, long sinceRevision) {
        configured = false;
        confirmed = true;
        boolean isSameHistory = from.equals(source) && update.revision() >= sinceRevision;
        boolean isToldBefore = revisionUsable ? update.revision() <= otherRevision : update.revision() < otherRevision;
        if (isSameHistory && isToldBefore) {
            return false;
        }
        source = from;
        revisionUsable = from.equals(address);
        otherRevision = NO_REVISION;
        apply(update);
        return true;
    }

    /** Applies what another process of this scheduler has told; false: it was no news. */
    public boolean applyFromOtherProcess(ServerListMessage message) {
        if (!isNews(message)) {
            return false;
        }
        configured = false;
        source = message.source();
        // Without the entries that the other process left out the whole list is needed: their models may be known here.
        revisionUsable =
                source.equals(address) && message.update().unknownServers().isEmpty();
        apply(message.update());
        otherRevision = revision;
        return true;
    }

    private boolean isNews(ServerListMessage message) {
        Update update = message.update();
        if (!message.source().equals(source)) {
            return update.full()
                    && !update.entries().isEmpty()
                    && (configured || message.source().equals(address));
        }
        if (!update.full()) {
            return hasList && message.baseRevision() <= revision && revision < update.revision();
        }
        return !update.entries().isEmpty() && (!hasList || revision < update.revision());
    }

    private void apply(Update update) {
        hasList = true;
        if (update.full()) {
            replaceBy(update);
            return;
        }
        for (Entry entry : update.entries()) {
            unknownServers.remove(entry.uid());
            if (entry.state() == State.GONE) {
                entries.remove(entry.uid());
            } else {
                entries.put(entry.uid(), entry);
            }
        }
        for (String uid : update.unknownServers()) {
            entries.remove(uid);
            unknownServers.add(uid);
        }
        revision = update.revision();
    }

    private void replaceBy(Update whole) {
        entries.clear();
        unknownServers.clear();
        for (Entry entry : whole.entries()) {
            entries.put(entry.uid(), entry);
        }
        unknownServers.addAll(whole.unknownServers());
        revision = whole.revision();
    }

    /** What to pass on once an update has been applied: that, but the whole list the first time. */
    public Update takeNews(Update applied) {
        Update news = passedOn ? applied : whole();
        passedOn = true;
        return news;
    }

    /** What is still to be passed on after an update that brought nothing new: the whole list, or nothing. */
    public Optional<Update> takeUntold() {
        return passedOn ? Optional.empty() : Optional.of(takeNews(null));
    }
}
