package barrowshore.list;

import barrowshore.list.ServerList.Entry;
import barrowshore.list.ServerList.State;
import barrowshore.list.ServerList.Update;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Merges the server lists of several sources into the one list the module works with. Owns each source's last list and the
 * merged list published last, and returns only changes. Does no I/O; the caller passes the time in microseconds. A source's
 * update is always applied as a whole, and a server that its source dropped is kept no longer than that source's grace.
 *
 * <p>Rules: a server's entry comes from the source with the lowest rank that lists it. If any source says that a server is
 * terminating, it drains whatever the ranks, since a server wrongly left idle does less harm than one wrongly given work. A
 * server that no source lists any more drains for its source's grace and is then gone. The list of a source that falls
 * silent stays valid without limit; a withdrawn source drops all its servers.
 */
public final class ServerListMerger {
    /** One source: its last list, and the servers it has dropped that still drain, with the end of their grace. */
    private static final class Source {
        final int rank;
        long graceMicros;
        long revision;
        long lastUpdateMicros;
        Map<String, Entry> entries = new LinkedHashMap<>();
        final Map<String, Long> drainEndMicrosByUid = new HashMap<>();
        final Map<String, Entry> droppedEntriesByUid = new HashMap<>();

        Source(int rank, long graceMicros) {
            this.rank = rank;
            this.graceMicros = graceMicros;
        }
    }

    /** A source's rank, list revision, number of servers, and time of its last update in microseconds. */
    public record SourceStatus(String source, int rank, long revision, int servers, long lastUpdateMicros) {}

    private final Map<String, Source> sources = new LinkedHashMap<>();
    private Map<String, Entry> publishedEntries = new LinkedHashMap<>();
    private long revision;

    /**
     * Registers a source.
     *
     * @param rank the source with the lowest rank takes precedence
     * @param graceMicros how long a server that this source drops drains before it is gone
     */
    public void addSource(String name, int rank, long graceMicros) {
        if (sources.putIfAbsent(name, new Source(rank, graceMicros)) != null) {
            throw new IllegalArgumentException("source " + name + " is already registered");
        }
    }

    /** Sets the grace, in microseconds, for servers that a source drops from now on. */
    public void setGrace(String name, long graceMicros) {
        requireSource(name).graceMicros = graceMicros;
    }

    /** Applies a source's full list or changes, and returns what changes in the merged list. */
    public Update apply(long now, String name, Update update) {
        Source source = requireSource(name);
        source.revision = update.revision();
        source.lastUpdateMicros = now;
        Map<String, Entry> next = update.full() ? new LinkedHashMap<>() : new LinkedHashMap<>(source.entries);
        for (Entry e : update.entries()) {
            if (e.state() == State.GONE) {
                next.remove(e.uid());
                source.drainEndMicrosByUid.remove(e.uid()); // reported gone by the source itself: no grace
                source.droppedEntriesByUid.remove(e.uid());
                source.entries.remove(e.uid());
            } else {
                next.put(e.uid(), e);
                source.drainEndMicrosByUid.remove(e.uid()); // listed again within its grace
            }
        }
        for (Entry e : source.entries.values()) {
            if (!next.containsKey(e.uid())) {
                source.drainEndMicrosByUid.putIfAbsent(e.uid(), now + source.graceMicros);
                source.droppedEntriesByUid.put(e.uid(), e);
            }
        }
        source.entries = next;
        return publishChanges(now);
    }

    /** Drops all servers of a source; those that no other source lists drain for its grace. */
    public Update withdraw(long now, String name) {
        Source source = requireSource(name);
        return apply(now, name, new Update(source.revision, true, List.of()));
    }

    private Source requireSource(String name) {
        Source source = sources.get(name);
        if (source == null) {
            throw new IllegalArgumentException("source " + name + " is not registered");
        }
        return source;
    }

    /** Removes servers whose grace is over, and returns what changes in the merged list. */
    public Update expireGraces(long now) {
        return publishChanges(now);
    }

    /** When the next grace ends and {@link #expireGraces} has work to do; Long.MAX_VALUE if none is running. */
    public long nextExpiry() {
        return sources.values().stream()
                .flatMap(s -> s.drainEndMicrosByUid.values().stream())
                .mapToLong(t -> t)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /** The merged list published last, in full. */
    public Update currentList() {
        return new Update(revision, true, List.copyOf(publishedEntries.values()));
    }

    /** The status of each source. */
    public List<SourceStatus> sourceStatuses() {
        List<SourceStatus> all = new ArrayList<>();
        sources.forEach(
                (name, s) -> all.add(new SourceStatus(name, s.rank, s.revision, s.entries.size(), s.lastUpdateMicros)));
        return all;
    }

    private Update publishChanges(long now) {
        Map<String, Entry> next = mergeSources(now);
        Update diff = diff(++revision, publishedEntries, next);
        publishedEntries = next;
        return diff;
    }

    private Map<String, Entry> mergeSources(long now) {
        Map<String, Entry> bestEntries = new LinkedHashMap<>();
        Map<String, Integer> bestRanks = new HashMap<>();
        Set<String> drainingUids = new LinkedHashSet<>();
        for (Source source : sources.values()) {
            source.drainEndMicrosByUid
                    .entrySet()
                    .removeIf(e -> e.getValue() <= now && source.droppedEntriesByUid.remove(e.getKey()) != null);
            for (Entry e : source.entries.values()) {
                if (source.rank < bestRanks.getOrDefault(e.uid(), Integer.MAX_VALUE)) {
                    bestRanks.put(e.uid(), source.rank);
                    bestEntries.put(e.uid(), e);
                }
                if (e.state() == State.TERMINATING) {
                    drainingUids.add(e.uid());
                }
            }
        }
        // Servers that no source lists any more and whose grace is still running.
        for (Source source : sources.values()) {
            for (String uid : source.drainEndMicrosByUid.keySet()) {
                if (!bestRanks.containsKey(uid)) {
                    bestEntries.putIfAbsent(uid, source.droppedEntriesByUid.get(uid));
                    drainingUids.add(uid);
                }
            }
        }
        drainingUids.forEach(uid -> bestEntries.computeIfPresent(uid, (u, e) -> asDraining(e)));
        return bestEntries;
    }

    private static Entry asDraining(Entry e) {
        return new Entry(
                e.uid(),
                e.endpoint(),
                e.address(),
                e.zone(),
                e.kind(),
                e.cell(),
                State.TERMINATING,
                e.capacityHint(),
                e.bootMicros());
    }

    /** The changes that, applied to the first list, give the second. */
    static Update diff(long revision, Map<String, Entry> from, Map<String, Entry> to) {
        List<Entry> changed = new ArrayList<>();
        for (Entry e : to.values()) {
            if (!Objects.equals(from.get(e.uid()), e)) {
                changed.add(e);
            }
        }
        for (Entry e : from.values()) {
            if (!to.containsKey(e.uid())) {
                changed.add(new Entry(
                        e.uid(),
                        e.endpoint(),
                        e.address(),
                        e.zone(),
                        e.kind(),
                        e.cell(),
                        State.GONE,
                        e.capacityHint(),
                        e.bootMicros()));
            }
        }
        return new Update(revision, false, changed);
    }
}
