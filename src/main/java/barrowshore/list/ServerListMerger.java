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
 * The one list that the module is told, worked out from what several sources say. It owns each source's last good list,
 * under its rank and version, and what was told last; it gives out changes alone. Pure: no source is read here, and time
 * is handed in. It must never give out half of what a source said at once, nor keep a server that its source has given
 * up longer than that source's grace.
 *
 * <p>What wins. A server's entry is that of the source of the best (lowest) rank that names it. A drain wins over rank:
 * if any source says that a server drains, it drains, since a server that is wrongly sent nothing harms less than one
 * that is wrongly sent work. What no source names any more drains for its source's grace, then is gone. A source that
 * falls silent keeps what it said, for as long as it takes; one that is withdrawn gives up all that it named.
 */
public final class ServerListMerger {
    /** What one source has said, and until when what it gave up still drains there. */
    private static final class Source {
        final int rank;
        long graceMicros;
        long revision;
        long heardAtMicros;
        Map<String, Entry> entries = new LinkedHashMap<>();
        final Map<String, Long> drainEndMicrosByUid = new HashMap<>();
        final Map<String, Entry> drainingEntriesByUid = new HashMap<>();

        Source(int rank, long graceMicros) {
            this.rank = rank;
            this.graceMicros = graceMicros;
        }
    }

    /** What is known of a source: its rank, version, number of servers, and when it was heard last, microseconds. */
    public record SourceStatus(String source, int rank, long rev, int servers, long heardAt) {}

    private final Map<String, Source> sources = new LinkedHashMap<>();
    private Map<String, Entry> publishedEntries = new LinkedHashMap<>();
    private long revision;

    /**
     * Makes a source known. rank: the lower, the more its word counts; grace: how long what it gives up drains before it
     * is gone, microseconds.
     */
    public void addSource(String name, int rank, long graceMicros) {
        if (sources.putIfAbsent(name, new Source(rank, graceMicros)) != null) {
            throw new IllegalArgumentException("source " + name + " is there already");
        }
    }

    /** From now on what a source gives up drains for so long. */
    public void setGrace(String name, long graceMicros) {
        requireSource(name).graceMicros = graceMicros;
    }

    /** A source has said this: all of its list, or what changed in it. Returns what changes for the module. */
    public Update apply(long now, String name, Update update) {
        Source s = requireSource(name);
        s.revision = update.revision();
        s.heardAtMicros = now;
        Map<String, Entry> next = update.full() ? new LinkedHashMap<>() : new LinkedHashMap<>(s.entries);
        for (Entry e : update.entries()) {
            if (e.state() == State.GONE) {
                next.remove(e.uid());
                s.drainEndMicrosByUid.remove(e.uid()); // its own word: gone at once, not after a grace
                s.drainingEntriesByUid.remove(e.uid());
                s.entries.remove(e.uid());
            } else {
                next.put(e.uid(), e);
                s.drainEndMicrosByUid.remove(e.uid()); // it is back within its grace
            }
        }
        for (Entry e : s.entries.values()) {
            if (!next.containsKey(e.uid())) {
                s.drainEndMicrosByUid.putIfAbsent(e.uid(), now + s.graceMicros);
                s.drainingEntriesByUid.put(e.uid(), e);
            }
        }
        s.entries = next;
        return publishChanges(now);
    }

    /** A source is no more: all that it named drains for its grace. */
    public Update withdraw(long now, String name) {
        Source s = requireSource(name);
        return apply(now, name, new Update(s.revision, true, List.of()));
    }

    private Source requireSource(String name) {
        Source s = sources.get(name);
        if (s == null) {
            throw new IllegalArgumentException("source " + name + " is not known");
        }
        return s;
    }

    /** What has changed since because time has passed: graces that are over. */
    public Update expireGraces(long now) {
        return publishChanges(now);
    }

    /** When {@link #expireGraces} will have something to say; Long.MAX_VALUE: not before a source says something. */
    public long nextExpiry() {
        return sources.values().stream()
                .flatMap(s -> s.drainEndMicrosByUid.values().stream())
                .mapToLong(t -> t)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /** The list as it was told last, whole. */
    public Update currentList() {
        return new Update(revision, true, List.copyOf(publishedEntries.values()));
    }

    /** How the sources stand. */
    public List<SourceStatus> standings() {
        List<SourceStatus> all = new ArrayList<>();
        sources.forEach(
                (name, s) -> all.add(new SourceStatus(name, s.rank, s.revision, s.entries.size(), s.heardAtMicros)));
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
        for (Source s : sources.values()) {
            s.drainEndMicrosByUid
                    .entrySet()
                    .removeIf(e -> e.getValue() <= now && s.drainingEntriesByUid.remove(e.getKey()) != null);
            for (Entry e : s.entries.values()) {
                if (s.rank < bestRanks.getOrDefault(e.uid(), Integer.MAX_VALUE)) {
                    bestRanks.put(e.uid(), s.rank);
                    bestEntries.put(e.uid(), e);
                }
                if (e.state() == State.TERMINATING) {
                    drainingUids.add(e.uid());
                }
            }
        }
        // What nobody names any more, but somebody did just now.
        for (Source s : sources.values()) {
            for (String uid : s.drainEndMicrosByUid.keySet()) {
                if (!bestRanks.containsKey(uid)) {
                    bestEntries.putIfAbsent(uid, s.drainingEntriesByUid.get(uid));
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

    /** What makes the second list of the first; applied to it, it gives the second. */
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
