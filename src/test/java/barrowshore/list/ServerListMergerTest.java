package barrowshore.list;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.list.ServerList.Entry;
import barrowshore.list.ServerList.State;
import barrowshore.list.ServerList.Update;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Merging the lists of several sources: precedence, drains and graces. */
class ServerListMergerTest {
    private static final long SECOND_MICROS = 1_000_000;

    private static Entry entry(String uid, State state, double weight) {
        return new Entry(uid, "127.0.0.1:1", null, 0, 0, 0, state, weight, 0);
    }

    private static Entry ready(String uid, double weight) {
        return entry(uid, State.READY, weight);
    }

    private static Update fullList(long revision, Entry... entries) {
        return new Update(revision, true, List.of(entries));
    }

    private static Map<String, Entry> byUid(Update list) {
        Map<String, Entry> entries = new LinkedHashMap<>();
        list.entries().forEach(e -> entries.put(e.uid(), e));
        return entries;
    }

    /** Applies changes to a copy of the list, as a receiver that is sent only changes does. */
    private static void apply(Map<String, Entry> list, Update changes) {
        assertThat(changes.full()).isFalse();
        for (Entry e : changes.entries()) {
            if (e.state() == State.GONE) {
                assertThat(list.remove(e.uid())).isNotNull();
            } else {
                list.put(e.uid(), e);
            }
        }
    }

    private static ServerListMerger newMerger() {
        ServerListMerger merger = new ServerListMerger();
        merger.addSource("discovery", 1, 0);
        merger.addSource("file", 2, 10 * SECOND_MICROS);
        return merger;
    }

    @Example
    void lowestRankWinsAndDrainOverridesRank() {
        ServerListMerger merger = newMerger();
        merger.apply(0, "file", fullList(1, ready("a", 7), entry("b", State.TERMINATING, 1)));
        merger.apply(0, "discovery", fullList(1, ready("a", 3), ready("b", 4)));
        assertThat(byUid(merger.currentList()).get("a").capacityHint()).isEqualTo(3);
        assertThat(byUid(merger.currentList()).get("b").state()).isEqualTo(State.TERMINATING);
        assertThat(byUid(merger.currentList()).get("b").capacityHint()).isEqualTo(4);
    }

    @Example
    void droppedServerDrainsForGraceAndMayReturn() {
        ServerListMerger merger = newMerger();
        merger.apply(0, "file", fullList(1, ready("a", 1), ready("b", 1)));
        Update dropped = merger.apply(SECOND_MICROS, "file", fullList(2, ready("a", 1)));
        assertThat(dropped.entries()).singleElement().satisfies(e -> {
            assertThat(e.uid()).isEqualTo("b");
            assertThat(e.state()).isEqualTo(State.TERMINATING);
        });
        assertThat(merger.nextExpiry()).isEqualTo(11 * SECOND_MICROS);
        assertThat(merger.expireGraces(11 * SECOND_MICROS - 1).entries()).isEmpty();
        assertThat(merger.apply(5 * SECOND_MICROS, "file", fullList(3, ready("a", 1), ready("b", 1)))
                        .entries())
                .singleElement()
                .satisfies(e -> assertThat(e.state()).isEqualTo(State.READY));
        assertThat(merger.nextExpiry()).isEqualTo(Long.MAX_VALUE);
        merger.apply(6 * SECOND_MICROS, "file", fullList(4, ready("a", 1)));
        assertThat(merger.expireGraces(16 * SECOND_MICROS).entries())
                .singleElement()
                .satisfies(e -> assertThat(e.state()).isEqualTo(State.GONE));
    }

    @Example
    void serverReportedGoneLeavesWithoutGrace() {
        ServerListMerger merger = newMerger();
        merger.apply(0, "discovery", fullList(1, ready("a", 1)));
        Update gone =
                merger.apply(SECOND_MICROS, "discovery", new Update(2, false, List.of(entry("a", State.GONE, 1))));
        assertThat(gone.entries()).singleElement().satisfies(e -> assertThat(e.state())
                .isEqualTo(State.GONE));
    }

    @Example
    void withdrawnSourceDrainsServersOnlyItListed() {
        ServerListMerger merger = newMerger();
        merger.apply(0, "file", fullList(1, ready("a", 1), ready("b", 1)));
        merger.apply(0, "discovery", fullList(1, ready("a", 1)));
        merger.withdraw(SECOND_MICROS, "file");
        assertThat(byUid(merger.currentList()).get("a").state()).isEqualTo(State.READY);
        assertThat(byUid(merger.currentList()).get("b").state()).isEqualTo(State.TERMINATING);
        merger.expireGraces(11 * SECOND_MICROS);
        assertThat(byUid(merger.currentList())).containsOnlyKeys("a");
    }

    /** Applied in order, the changes always give the current list; in the end it depends only on each source's last list. */
    @Property(tries = 200, seed = "20261201")
    void appliedChangesMatchTheMergeOfFinalLists(@ForAll long seed) {
        Random random = new Random(seed);
        ServerListMerger merger = newMerger();
        Map<String, Entry> received = new LinkedHashMap<>();
        Map<String, Map<String, Entry>> latestBySource =
                new LinkedHashMap<>(Map.of("discovery", Map.of(), "file", Map.of()));
        long now = 0;
        for (int k = 0; k < 60; k++) {
            now += random.nextInt((int) (3 * SECOND_MICROS));
            String source = random.nextBoolean() ? "file" : "discovery";
            Map<String, Entry> next =
                    new LinkedHashMap<>(random.nextInt(3) == 0 ? Map.of() : latestBySource.get(source));
            List<Entry> changed = new ArrayList<>();
            for (int n = random.nextInt(4); n >= 0; n--) {
                Entry e = entry("s" + random.nextInt(6), State.values()[random.nextInt(3)], 1 + random.nextInt(3));
                changed.removeIf(c -> c.uid().equals(e.uid()));
                changed.add(e);
                if (e.state() == State.GONE) {
                    next.remove(e.uid());
                } else {
                    next.put(e.uid(), e);
                }
            }
            if (random.nextBoolean()) {
                apply(received, merger.apply(now, source, new Update(k, true, List.copyOf(next.values()))));
            } else {
                next = new LinkedHashMap<>(latestBySource.get(source));
                for (Entry e : changed) {
                    if (e.state() == State.GONE) {
                        next.remove(e.uid());
                    } else {
                        next.put(e.uid(), e);
                    }
                }
                apply(received, merger.apply(now, source, new Update(k, false, changed)));
            }
            latestBySource.put(source, next);
            assertThat(received).isEqualTo(byUid(merger.currentList()));
        }
        apply(received, merger.expireGraces(now + 10 * SECOND_MICROS));
        ServerListMerger freshMerger = newMerger();
        latestBySource.forEach(
                (source, entries) -> freshMerger.apply(0, source, new Update(1, true, List.copyOf(entries.values()))));
        assertThat(received).isEqualTo(byUid(freshMerger.currentList()));
    }
}
