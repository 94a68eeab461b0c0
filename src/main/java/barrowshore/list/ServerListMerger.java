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
        long grace;
        long rev;
        long heardAt;
        Map<String, Entry> entries = new LinkedHashMap<>();
        final Map<String, Long> givenUp = new HashMap<>();
        final Map<String, Entry> last = new HashMap<>();

        Source(int rank, long grace) {
            this.rank = rank;
            this.grace = grace;
        }
    }

    /** What is known of a source: its rank, version, number of servers, and when it was heard last, microseconds. */
    public record SourceStatus(String source, int rank, long rev, int servers, long heardAt) {}

    private final Map<String, Source> sources = new LinkedHashMap<>();
    private Map<String, Entry> told = new LinkedHashMap<>();
    private long rev;

    /**
     * Makes a source known. rank: the lower, the more its word counts; grace: how long what it gives up drains before it
     * is gone, microseconds.
     */
    public void addSource(String name, int rank, long grace) {
        if (sources.putIfAbsent(name, new Source(rank, grace)) != null) {
            throw new IllegalArgumentException("source " + name + " is there already");
        }
    }

    /** From now on what a source gives up drains for so long. */
    public void setGrace(String name, long grace) {
        known(name).grace = grace;
    }

    /** A source has said this: all of its list, or what changed in it. Returns what changes for the module. */
    public Update apply(long now, String name, Update update) {
        Source s = known(name);
        s.rev = update.revision();
        s.heardAt = now;
        Map<String, Entry> next = update.full() ? new LinkedHashMap<>() : new LinkedHashMap<>(s.entries);
        for (Entry e : update.entries()) {
            if (e.state() == State.GONE) {
                next.remove(e.uid());
                s.givenUp.remove(e.uid()); // its own word: gone at once, not after a grace
                s.last.remove(e.uid());
                s.entries.remove(e.uid());
            } else {
                next.put(e.uid(), e);
                s.givenUp.remove(e.uid()); // it is back within its grace
            }
        }
        for (Entry e : s.entries.values()) {
            if (!next.containsKey(e.uid())) {
                s.givenUp.putIfAbsent(e.uid(), now + s.grace);
                s.last.put(e.uid(), e);
            }
        }
        s.entries = next;
        return changes(now);
    }

    /** A source is no more: all that it named drains for its grace. */
    public Update withdraw(long now, String name) {
        Source s = known(name);
        return apply(now, name, new Update(s.rev, true, List.of()));
    }

    private Source known(String name) {
        Source s = sources.get(name);
        if (s == null) {
            throw new IllegalArgumentException("source " + name + " is not known");
        }
        return s;
    }

    /** What has changed since because time has passed: graces that are over. */
    public Update expireGraces(long now) {
        return changes(now);
    }

    /** When {@link #expireGraces} will have something to say; Long.MAX_VALUE: not before a source says something. */
    public long nextExpiry() {
        return sources.values().stream()
                .flatMap(s -> s.givenUp.values().stream())
                .mapToLong(t -> t)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /** The list as it was told last, whole. */
    public Update currentList() {
        return new Update(rev, true, List.copyOf(told.values()));
    }

    /** How the sources stand. */
    public List<SourceStatus> standings() {
        List<SourceStatus> all = new ArrayList<>();
        sources.forEach((name, s) -> all.add(new SourceStatus(name, s.rank, s.rev, s.entries.size(), s.heardAt)));
        return all;
    }

    private Update changes(long now) {
        Map<String, Entry> next = merged(now);
        Update diff = diff(++rev, told, next);
        told = next;
        return diff;
    }

    private Map<String, Entry> merged(long now) {
        Map<String, Entry> best = new LinkedHashMap<>();
        Map<String, Integer> ranks = new HashMap<>();
        Set<String> drains = new LinkedHashSet<>();
        for (Source s : sources.values()) {
            s.givenUp.entrySet().removeIf(e -> e.getValue() <= now && s.last.remove(e.getKey()) != null);
            for (Entry e : s.entries.values()) {
                if (s.rank < ranks.getOrDefault(e.uid(), Integer.MAX_VALUE)) {
                    ranks.put(e.uid(), s.rank);
                    best.put(e.uid(), e);
                }
                if (e.state() == State.TERMINATING) {
                    drains.add(e.uid());
                }
            }
        }
        // What nobody names any more, but somebody did just now.
        for (Source s : sources.values()) {
            for (String uid : s.givenUp.keySet()) {
                if (!ranks.containsKey(uid)) {
                    best.putIfAbsent(uid, s.last.get(uid));
                    drains.add(uid);
                }
            }
        }
        drains.forEach(uid -> best.computeIfPresent(uid, (u, e) -> draining(e)));
        return best;
    }

    private static Entry draining(Entry e) {
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
    static Update diff(long rev, Map<String, Entry> from, Map<String, Entry> to) {
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
        return new Update(rev, false, changed);
    }
}
