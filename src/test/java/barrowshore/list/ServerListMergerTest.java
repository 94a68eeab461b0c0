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

/** The one list worked out from several sources. */
class ServerListMergerTest {
    private static final long S = 1_000_000;

    private static Entry entry(String uid, State state, double weight) {
        return new Entry(uid, "127.0.0.1:1", null, 0, 0, 0, state, weight, 0);
    }

    private static Entry ready(String uid, double weight) {
        return entry(uid, State.READY, weight);
    }

    private static Update all(long rev, Entry... entries) {
        return new Update(rev, true, List.of(entries));
    }

    private static Map<String, Entry> byUid(Update whole) {
        Map<String, Entry> all = new LinkedHashMap<>();
        whole.entries().forEach(e -> all.put(e.uid(), e));
        return all;
    }

    /** What one who is told only changes makes of them. */
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

    private static ServerListMerger book() {
        ServerListMerger book = new ServerListMerger();
        book.addSource("discovery", 1, 0);
        book.addSource("file", 2, 10 * S);
        return book;
    }

    @Example
    void theBetterRankWinsAndADrainWinsOverRank() {
        ServerListMerger book = book();
        book.apply(0, "file", all(1, ready("a", 7), entry("b", State.TERMINATING, 1)));
        book.apply(0, "discovery", all(1, ready("a", 3), ready("b", 4)));
        assertThat(byUid(book.currentList()).get("a").capacityHint()).isEqualTo(3);
        assertThat(byUid(book.currentList()).get("b").state()).isEqualTo(State.TERMINATING);
        assertThat(byUid(book.currentList()).get("b").capacityHint()).isEqualTo(4);
    }

    @Example
    void whatAFileDropsDrainsForItsGraceAndMayComeBack() {
        ServerListMerger book = book();
        book.apply(0, "file", all(1, ready("a", 1), ready("b", 1)));
        Update dropped = book.apply(S, "file", all(2, ready("a", 1)));
        assertThat(dropped.entries()).singleElement().satisfies(e -> {
            assertThat(e.uid()).isEqualTo("b");
            assertThat(e.state()).isEqualTo(State.TERMINATING);
        });
        assertThat(book.nextExpiry()).isEqualTo(11 * S);
        assertThat(book.expireGraces(11 * S - 1).entries()).isEmpty();
        assertThat(book.apply(5 * S, "file", all(3, ready("a", 1), ready("b", 1)))
                        .entries())
                .singleElement()
                .satisfies(e -> assertThat(e.state()).isEqualTo(State.READY));
        assertThat(book.nextExpiry()).isEqualTo(Long.MAX_VALUE);
        book.apply(6 * S, "file", all(4, ready("a", 1)));
        assertThat(book.expireGraces(16 * S).entries()).singleElement().satisfies(e -> assertThat(e.state())
                .isEqualTo(State.GONE));
    }

    @Example
    void goneIsGoneAtOnceWhereTheSourceSaysSo() {
        ServerListMerger book = book();
        book.apply(0, "discovery", all(1, ready("a", 1)));
        Update gone = book.apply(S, "discovery", new Update(2, false, List.of(entry("a", State.GONE, 1))));
        assertThat(gone.entries()).singleElement().satisfies(e -> assertThat(e.state())
                .isEqualTo(State.GONE));
    }

    @Example
    void aSourceThatIsWithdrawnGivesUpWhatOnlyItNamed() {
        ServerListMerger book = book();
        book.apply(0, "file", all(1, ready("a", 1), ready("b", 1)));
        book.apply(0, "discovery", all(1, ready("a", 1)));
        book.withdraw(S, "file");
        assertThat(byUid(book.currentList()).get("a").state()).isEqualTo(State.READY);
        assertThat(byUid(book.currentList()).get("b").state()).isEqualTo(State.TERMINATING);
        book.expireGraces(11 * S);
        assertThat(byUid(book.currentList())).containsOnlyKeys("a");
    }

    /** Changes, one after the other, always add up to the list; and in the end only the last word of each counts. */
    @Property(tries = 200, seed = "20261201")
    void anyHistoryEndsInWhatTheLastWordsAlonePlusTimeGive(@ForAll long seed) {
        Random chance = new Random(seed);
        ServerListMerger book = book();
        Map<String, Entry> told = new LinkedHashMap<>();
        Map<String, Map<String, Entry>> said = new LinkedHashMap<>(Map.of("discovery", Map.of(), "file", Map.of()));
        long now = 0;
        for (int k = 0; k < 60; k++) {
            now += chance.nextInt((int) (3 * S));
            String source = chance.nextBoolean() ? "file" : "discovery";
            Map<String, Entry> next = new LinkedHashMap<>(chance.nextInt(3) == 0 ? Map.of() : said.get(source));
            List<Entry> changed = new ArrayList<>();
            for (int n = chance.nextInt(4); n >= 0; n--) {
                Entry e = entry("s" + chance.nextInt(6), State.values()[chance.nextInt(3)], 1 + chance.nextInt(3));
                changed.removeIf(c -> c.uid().equals(e.uid()));
                changed.add(e);
                if (e.state() == State.GONE) {
                    next.remove(e.uid());
                } else {
                    next.put(e.uid(), e);
                }
            }
            if (chance.nextBoolean()) {
                apply(told, book.apply(now, source, new Update(k, true, List.copyOf(next.values()))));
            } else {
                next = new LinkedHashMap<>(said.get(source));
                for (Entry e : changed) {
                    if (e.state() == State.GONE) {
                        next.remove(e.uid());
                    } else {
                        next.put(e.uid(), e);
                    }
                }
                apply(told, book.apply(now, source, new Update(k, false, changed)));
            }
            said.put(source, next);
            assertThat(told).isEqualTo(byUid(book.currentList()));
        }
        apply(told, book.expireGraces(now + 10 * S));
        ServerListMerger plain = book();
        said.forEach((source, entries) -> plain.apply(0, source, new Update(1, true, List.copyOf(entries.values()))));
        assertThat(told).isEqualTo(byUid(plain.currentList()));
    }
}
