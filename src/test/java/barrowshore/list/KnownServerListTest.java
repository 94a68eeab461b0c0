package barrowshore.list;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.list.ServerList.Entry;
import barrowshore.list.ServerList.State;
import barrowshore.list.ServerList.Update;
import barrowshore.list.ServerList.ZoneKindNames;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against a list that is replaced by an older one, whoever of discovery and two processes tells it first. */
class KnownServerListTest {
    private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 8500);
    private static final InetSocketAddress OTHER_ADDRESS = new InetSocketAddress("127.0.0.1", 8600);
    private static final long NO_REVISION = Long.MIN_VALUE;

    private final KnownServerList list = new KnownServerList(ADDRESS, full(43, ready("a"), ready("b")));

    private static Entry entry(String uid, State state) {
        return new Entry(uid, "127.0.0.1:1", new InetSocketAddress("127.0.0.1", 1), 0, 0, 0, state, 1.5, 7_000);
    }

    private static Entry ready(String uid) {
        return entry(uid, State.READY);
    }

    private static Entry leaving(String uid) {
        return entry(uid, State.TERMINATING);
    }

    private static Update full(long revision, Entry... entries) {
        return new Update(revision, true, List.of(entries));
    }

    private static Update changes(long revision, Entry... entries) {
        return new Update(revision, false, List.of(entries));
    }

    private static ServerListMessage told(InetSocketAddress source, long baseRevision, Update update) {
        return new ServerListMessage(source, baseRevision, update);
    }

    @Test
    void laterListOfTheOtherProcessIsUsed() {
        assertThat(list.applyFromOtherProcess(told(ADDRESS, 44, full(44, leaving("a"), ready("b")))))
                .isTrue();
        assertThat(list.whole().entries()).containsExactly(leaving("a"), ready("b"));
        assertThat(list.baseRevision()).isEqualTo(Optional.of(44L));
    }

    @Test
    void earlierOrEqualListOfTheOtherProcessIsNotUsed() {
        assertThat(list.applyFromOtherProcess(told(ADDRESS, 43, full(43, ready("c")))))
                .isFalse();
        assertThat(list.applyFromOtherProcess(told(ADDRESS, 42, full(42, ready("c")))))
                .isFalse();
        assertThat(list.whole().entries()).containsExactly(ready("a"), ready("b"));
    }

    @Test
    void emptyListOfTheOtherProcessIsNotUsed() {
        assertThat(list.applyFromOtherProcess(told(ADDRESS, 50, full(50)))).isFalse();
    }

    @Test
    void changesOfTheOtherProcessApplyOnlyWhereNothingIsMissingBefore() {
        assertThat(list.applyFromOtherProcess(told(ADDRESS, 44, changes(45, leaving("a")))))
                .isFalse();
        assertThat(list.applyFromOtherProcess(told(ADDRESS, 43, changes(45, leaving("a")))))
                .isTrue();
        assertThat(list.whole().entries()).containsExactly(leaving("a"), ready("b"));
    }

    /** The changes that discovery answers to an earlier call must not undo later ones that the other process has told. */
    @Test
    void answerToAnEarlierCallIsNoNews() {
        list.applyFromOtherProcess(told(ADDRESS, 45, full(45, leaving("a"), ready("b"))));
        assertThat(list.applyFromDiscovery(ADDRESS, changes(44, ready("a")), 43))
                .isFalse();
        assertThat(list.applyFromDiscovery(ADDRESS, changes(45, leaving("a")), 44))
                .isFalse();
        assertThat(list.takeUntold().orElseThrow().entries()).containsExactly(leaving("a"), ready("b"));
        assertThat(list.applyFromDiscovery(ADDRESS, changes(46, leaving("b")), 45))
                .isTrue();
        assertThat(list.whole().entries()).containsExactly(leaving("a"), leaving("b"));
    }

    @Test
    void wholeListOfAnotherHistoryIsTaken() {
        list.applyFromOtherProcess(told(ADDRESS, 45, full(45, leaving("a"))));
        assertThat(list.applyFromDiscovery(ADDRESS, full(3, ready("a")), 45)).isTrue();
        assertThat(list.whole()).isEqualTo(full(3, ready("a")));
        assertThat(list.baseRevision()).isEqualTo(Optional.of(3L));
    }

    @Test
    void changesOfAnotherHistoryDoNotApplyToAnUnconfirmedList() {
        assertThat(list.isInvalidatedBy(changes(3, ready("a")), 43)).isTrue();
        list.applyFromDiscovery(ADDRESS, changes(44, ready("a")), 43);
        assertThat(list.isInvalidatedBy(changes(3, ready("a")), 44)).isFalse();
    }

    /** Another process with another discovery serves by its list, which goes before that of the configuration. */
    @Test
    void listFromAnotherAddressReplacesTheConfiguredOneAlone() {
        assertThat(list.applyFromOtherProcess(told(OTHER_ADDRESS, 2, full(2, leaving("a")))))
                .isTrue();
        assertThat(list.baseRevision()).isEmpty();
        list.applyFromDiscovery(ADDRESS, full(44, ready("a")), NO_REVISION);
        assertThat(list.applyFromOtherProcess(told(OTHER_ADDRESS, 3, full(3, leaving("a")))))
                .isFalse();
        assertThat(list.whole().entries()).containsExactly(ready("a"));
    }

    @Test
    void newAddressNeedsItsWholeListUnlessTheOtherProcessHasIt() {
        list.setAddress(OTHER_ADDRESS);
        assertThat(list.baseRevision()).isEmpty();
        assertThat(list.applyFromOtherProcess(told(OTHER_ADDRESS, 2, changes(3, leaving("a")))))
                .isFalse();
        assertThat(list.applyFromOtherProcess(told(OTHER_ADDRESS, 3, full(3, leaving("a")))))
                .isTrue();
        assertThat(list.baseRevision()).isEqualTo(Optional.of(3L));
    }

    @Test
    void listWithLeftOutServersIsUsedButReadWhole() {
        Update partial = new Update(44, true, List.of(leaving("a")), List.of("b"));
        assertThat(list.applyFromOtherProcess(told(ADDRESS, 44, partial))).isTrue();
        assertThat(list.baseRevision()).isEmpty();
        assertThat(list.applyFromDiscovery(ADDRESS, full(43, ready("a"), ready("b")), NO_REVISION))
                .isFalse();
        assertThat(list.applyFromDiscovery(ADDRESS, full(44, leaving("a"), ready("b")), NO_REVISION))
                .isTrue();
        assertThat(list.baseRevision()).isEqualTo(Optional.of(44L));
    }

    @Test
    void wholeListIsPassedOnFirst() {
        list.applyFromDiscovery(ADDRESS, changes(44, leaving("a")), 43);
        assertThat(list.takeNews(changes(44, leaving("a")))).isEqualTo(full(44, leaving("a"), ready("b")));
        assertThat(list.takeNews(changes(45, leaving("b")))).isEqualTo(changes(45, leaving("b")));
        assertThat(list.takeUntold()).isEmpty();
    }

    @Test
    void messageIsReadAsItWasWritten() {
        ZoneKindNames names = new ZoneKindNames(List.of("z"), List.of("m"));
        Update update = new Update(44, false, List.of(leaving("a \"quoted\""), entry("b", State.GONE)), List.of("c"));
        ServerListMessage message = told(ADDRESS, 43, update);
        assertThat(ServerListMessage.parse(message.toJson(names), names)).isEqualTo(message);
        assertThat(message.toJson(names)).doesNotContain("\n");
    }

    /** Two processes that each learn any part of one history from discovery in any order never go back, and agree. */
    @Test
    void processesThatTellEachOtherAgreeOnTheLatest() {
        for (int seed = 0; seed < 500; seed++) {
            playHistory(new Random(seed));
        }
    }

    private static void playHistory(Random random) {
        List<Update> history = new ArrayList<>(List.of(full(1, ready("s0"), ready("s1"), ready("s2"))));
        List<Map<String, State>> states = new ArrayList<>(List.of(statesOf(history.get(0))));
        for (int revision = 2; revision <= 12; revision++) {
            Entry changed = entry("s" + random.nextInt(4), State.values()[random.nextInt(3)]);
            history.add(changes(revision, changed));
            Map<String, State> next = new HashMap<>(states.get(states.size() - 1));
            next.put(changed.uid(), changed.state());
            next.values().removeIf(state -> state == State.GONE);
            states.add(next);
        }
        KnownServerList[] processes = {
            new KnownServerList(ADDRESS, history.get(0)), new KnownServerList(ADDRESS, history.get(0))
        };
        int[] watched = {1, 1};
        while (watched[0] < history.size() || watched[1] < history.size()) {
            int teller = random.nextInt(2);
            if (watched[teller] < history.size()) {
                Update update = history.get(watched[teller]);
                long before = processes[teller].whole().revision();
                if (processes[teller].applyFromDiscovery(ADDRESS, update, watched[teller])) {
                    processes[1 - teller].applyFromOtherProcess(told(ADDRESS, watched[teller], update));
                }
                watched[teller]++;
                assertThat(processes[teller].whole().revision()).isGreaterThanOrEqualTo(before);
            }
            for (KnownServerList process : processes) {
                assertThat(statesOf(process.whole()))
                        .isEqualTo(states.get((int) process.whole().revision() - 1));
            }
        }
        assertThat(processes[0].whole().revision()).isEqualTo(history.size());
        assertThat(processes[1].whole().revision()).isEqualTo(history.size());
    }

    private static Map<String, State> statesOf(Update whole) {
        Map<String, State> states = new HashMap<>();
        whole.entries().forEach(entry -> states.put(entry.uid(), entry.state()));
        return states;
    }
}
