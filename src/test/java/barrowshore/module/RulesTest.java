package barrowshore.module;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barrowshore.module.DispatchApi.DedupScope;
import barrowshore.module.DispatchApi.Health;
import barrowshore.module.DispatchApi.JobClass;
import barrowshore.module.DispatchApi.ListKind;
import barrowshore.module.DispatchApi.Member;
import barrowshore.module.DispatchApi.RepeatSafety;
import barrowshore.module.DispatchApi.Request;
import barrowshore.module.DispatchApi.Settings;
import barrowshore.module.DispatchApi.Status;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** The four binding rules, each from its own text, by event sequences without the bench. */
class RulesTest {
    @Nested
    class NoRequestIsLost {
        @Test
        void withoutWorkersItIsRefusedAtOnce() {
            Bench bench = new Bench(Bench.settings(RepeatSafety.UNSAFE, DedupScope.ALL));
            assertNull(bench.request("r"));
            assertEquals(1, bench.count("refuse r"));
        }

        @ParameterizedTest
        @EnumSource(RepeatSafety.class)
        void aTimeOutAtTheDeadlineIsAnsweredOnceInTheSameCall(RepeatSafety effect) {
            Bench bench = new Bench(Bench.settings(effect, DedupScope.ALL)).workers(4);
            bench.request("r");
            bench.until(bench.now + 2_000_000);
            bench.outcome("r", Status.TIMEOUT);
            assertEquals(1, bench.count("refuse r") + bench.count("fail r"));
            assertEquals(1, bench.count("send r"));
            bench.dispatcher.clientGone(bench.now, "r");
            bench.until(bench.now + 2_000_000);
            assertEquals(1, bench.count("refuse r") + bench.count("fail r"));
        }

        @Test
        void allAttemptsUsedEndsInARefusal() {
            Bench bench = new Bench(Bench.settings(RepeatSafety.UNSAFE, DedupScope.ALL)).workers(10);
            bench.request("r");
            for (int i = 0; i < 4; i++) {
                bench.outcome("r", Status.FULL);
            }
            assertEquals(4, bench.attempts("r"));
            assertEquals(1, bench.count("refuse r"));
        }

        @Test
        void nothingFollowsTheEnd() {
            Bench bench = new Bench(Bench.settings(RepeatSafety.SAFE, DedupScope.ALL)).workers(4);
            bench.request("gone");
            bench.dispatcher.clientGone(bench.now, "gone");
            bench.outcome("gone", Status.FULL);
            assertEquals(1, bench.count("send gone"));
            assertEquals(0, bench.count("refuse gone") + bench.count("fail gone"));
            bench.request("served");
            bench.outcome("served", Status.OK);
            bench.outcome("served", Status.ERROR);
            assertEquals(1, bench.count("send served"));
            assertEquals(0, bench.count("refuse served") + bench.count("fail served"));
        }

        @Test
        void aDeadlineShorterThanATickIsStillAnswered() {
            Bench bench = new Bench(Bench.settings(RepeatSafety.SAFE, DedupScope.ALL)).workers(2);
            bench.dispatcher.request(bench.now, new Request("r", 0, 0, 1, 0, 0));
            assertEquals(1, bench.count("refuse r") + bench.count("send r"));
        }
    }

    @Nested
    class NoEffectHappensTwice {
        @ParameterizedTest
        @CsvSource({"ERROR", "RESET", "TIMEOUT", "CANCELLED"})
        void anUnsafeJobThatMayHaveRunFailsAndIsNeverSentAgain(Status status) {
            Bench bench = new Bench(Bench.settings(RepeatSafety.UNSAFE, DedupScope.ALL)).workers(8);
            bench.request("r");
            bench.outcome("r", status);
            assertEquals(1, bench.count("send r"));
            assertEquals(1, bench.count("fail r"));
            assertEquals(0, bench.count("refuse r"));
        }

        @ParameterizedTest
        @CsvSource({"FULL", "CONNECT_FAILED"})
        void anUnsafeJobThatNeverRanIsSentElsewhere(Status status) {
            Bench bench = new Bench(Bench.settings(RepeatSafety.UNSAFE, DedupScope.ALL)).workers(8);
            String first = bench.request("r");
            bench.outcome("r", status);
            assertEquals(2, bench.count("send r"));
            assertNotEquals(first, bench.last("r"));
            bench.outcome("r", Status.ERROR);
            assertEquals(1, bench.count("fail r"));
        }

        @ParameterizedTest
        @CsvSource({"ZONE", "CELL"})
        void aKeyedRepeatStaysInItsGroup(DedupScope scope) {
            Bench bench = new Bench(Bench.settings(RepeatSafety.KEYED, scope)).workers(8);
            int first = Integer.parseInt(bench.request("r").substring(1));
            bench.outcome("r", Status.ERROR);
            assertEquals(2, bench.attempts("r"));
            int second = Integer.parseInt(bench.last("r").substring(1));
            assertEquals(
                    scope == DedupScope.ZONE ? first % 2 : first / 2,
                    scope == DedupScope.ZONE ? second % 2 : second / 2);
            for (int i = 0; i < 3; i++) {
                bench.outcome("r", Status.ERROR);
            }
            assertEquals(0, bench.count("refuse r"), "a group that is not all forbids a refusal");
            assertEquals(1, bench.count("fail r"));
        }

        /** A connection may take 0.25 s to come up: what comes after 0.5 s finds the key forgotten. */
        @ParameterizedTest
        @CsvSource({"500000,1", "300000,1", "200000,2"})
        void aKeyedRepeatThatMayComeOutsideItsWindowIsNotSent(long after, int attempts) {
            Bench bench = new Bench(Bench.settings(RepeatSafety.KEYED, DedupScope.ALL)).workers(8);
            bench.request("r");
            bench.until(bench.now + after);
            bench.outcome("r", Status.ERROR);
            assertEquals(attempts, bench.attempts("r"));
        }

        @Test
        void aSafeJobIsRepeatedOnlyWithinTheRetryBudget() {
            Bench bench = new Bench(Bench.settings(RepeatSafety.SAFE, DedupScope.ALL)).workers(200);
            int repeats = 0;
            for (int i = 0; i < 400; i++) {
                bench.request("r" + i);
                bench.outcome("r" + i, Status.ERROR);
                repeats += bench.attempts("r" + i) - 1;
                bench.until(bench.now + 100_000);
            }
            assertTrue(repeats > 0 && repeats <= 10 + 400 / 10 + 1, "repeats " + repeats);
        }
    }

    @Nested
    class DrainsAreKept {
        @ParameterizedTest
        @EnumSource(
                value = Health.class,
                names = {"DRAINING", "GONE"})
        void nothingGoesToAWorkerThatDrainsOrIsGone(Health health) {
            Bench bench = new Bench(Bench.settings(RepeatSafety.SAFE, DedupScope.ALL)).workers(3);
            bench.dispatcher.list(bench.now, ListKind.CHANGES, List.of(Bench.member("w1", health, 1, 0, 0)));
            for (int i = 0; i < 60; i++) {
                assertNotEquals("w1", bench.request("r" + i));
            }
        }

        @Test
        void absenceFromAWholeListCountsAsGone() {
            Bench bench = new Bench(Bench.settings(RepeatSafety.SAFE, DedupScope.ALL)).workers(3);
            bench.dispatcher.list(bench.now, ListKind.WHOLE, List.of(Bench.member("w2", Health.READY, 0, 1, 0)));
            for (int i = 0; i < 4; i++) {
                assertEquals("w2", bench.request("r" + i));
            }
        }

        @Test
        void aFailedListCallKeepsTheListAndAsksAgainWithinTheTimeAllowed() {
            Settings set = Bench.settings(RepeatSafety.SAFE, DedupScope.ALL);
            set.pollsList = true;
            Bench bench = new Bench(set).workers(2);
            assertEquals(1, bench.count("watch"));
            for (int failures = 1; failures < 12; failures++) {
                bench.dispatcher.list(bench.now, ListKind.FAILED, List.of());
                bench.until(bench.now + set.listPollMicros);
                assertEquals(1 + failures, bench.count("watch"));
            }
            assertFalse(bench.request("r") == null);
        }
    }

    @Nested
    class NoColdWorkerIsPushedOver {
        @ParameterizedTest
        @CsvSource({"1,40,100000", "4,40,100000", "40,40,100000", "40,8,100000", "14,5,500000", "14,5,100000"})
        void allDispatchersTogetherStayUnderTheBudgetInEveryWindow(int dispatchers, int slots, long work) {
            List<Long> sent = coldSends(dispatchers, slots, work, 0);
            for (int i = 0, from = 0; i < sent.size(); i++) {
                while (sent.get(from) <= sent.get(i) - 1_000_000) {
                    from++;
                }
                // What it can do at that moment, as the rule has it.
                double share = 0.1 + 0.9 * (sent.get(i) - START) / COLD;
                double limit = 3 * share * slots * 1e6 / work;
                assertTrue(i - from + 1 <= limit + 1, i - from + 1 + " sent, limit " + limit);
            }
            assertTrue(sent.size() > 10, "a warming worker is used: " + sent.size());
        }

        /** Fourteen dispatchers, a budget of three jobs a window: taking turns, it is still used from the start. */
        @Test
        void aBudgetOfAFewJobsIsUsedFromTheStart() {
            List<Long> sent = coldSends(14, 5, 500_000, 0);
            long early = sent.stream().filter(at -> at < START + COLD / 4).count();
            assertTrue(early >= 4, early + " sent in the first quarter of the warm-up");
            assertEquals(sent, coldSends(14, 5, 500_000, 3_000_000), "settings taken over later give the same turns");
        }

        private static final long START = 1_000_000_000L, COLD = 20_000_000L;

        /** A tenth of forty cores is four whole ones: a job runs there as it would anywhere. */
        @Test
        void aColdWorkerHasFewerCoresAndNotSlowerOnes() {
            Bench bench = new Bench(Bench.settings(RepeatSafety.SAFE, DedupScope.ALL));
            bench.dispatcher.list(
                    bench.now, ListKind.INITIAL, List.of(new Member("cold", Health.READY, 40, 0, 0, 0, bench.now)));
            assertEquals("cold", bench.request("r"), String.join("; ", bench.actions));
        }

        /** With less than half a core a job would miss its aim: it is turned down, to be tried again, not sent late. */
        @Test
        void aJobThatWouldMissItsAimAtAColdWorkerIsTurnedDown() {
            Bench bench = new Bench(Bench.settings(RepeatSafety.SAFE, DedupScope.ALL));
            bench.dispatcher.list(
                    bench.now, ListKind.INITIAL, List.of(new Member("cold", Health.READY, 4, 0, 0, 0, bench.now)));
            assertNull(bench.request("r"));
            assertEquals(1, bench.count("refuse r"));
            bench.until(bench.now + COLD + 1_000_000);
            assertEquals("cold", bench.request("q"), String.join("; ", bench.actions));
        }

        /**
         * When each of so many dispatchers, with demand without end and clocks somewhat apart, sent to one worker that
         * starts cold. With a former window they are told of the rule's after their start.
         */
        private List<Long> coldSends(int dispatchers, int slots, long work, long formerWindow) {
            List<Long> sent = new ArrayList<>();
            for (int d = 0; d < dispatchers; d++) {
                Settings set = Bench.settings(RepeatSafety.SAFE, DedupScope.ALL);
                // An aim that grows with the work as far as the deadline: cold, a job is slow but not late.
                set.classes[0] =
                        new JobClass(work, 19, 2_000_000, 1, 0, RepeatSafety.SAFE, DedupScope.ALL, 500_000, -1, 0);
                set.dispatchers = dispatchers;
                set.ownIndex = d;
                set.seed = 77 + d;
                long fall = set.overloadWindowMicros, ahead = d * 7_919 % 40_000;
                set.overloadWindowMicros = formerWindow > 0 ? formerWindow : fall;
                Bench bench = new Bench(set);
                set.overloadWindowMicros = fall;
                bench.now += ahead;
                bench.dispatcher.changeSettings(bench.now, set);
                Member fresh = new Member("cold", Health.READY, slots, 0, 0, 0, START);
                bench.dispatcher.list(bench.now, ListKind.INITIAL, List.of(fresh));
                // A request every 5 ms at each dispatcher, served in the usual time.
                for (int i = 0; bench.now < START + COLD; i++) {
                    bench.until(bench.now + 5_000);
                    if (bench.request("r" + i) != null) {
                        sent.add(bench.now - ahead);
                        bench.dispatcher.outcome(bench.now, "r" + i, 0, true, Status.OK, work, null);
                    }
                }
            }
            sent.sort(null);
            return sent;
        }
    }

    @Test
    void oddButLegalOrdersAreTolerated() {
        Bench bench = new Bench(Bench.settings(RepeatSafety.SAFE, DedupScope.ALL)).workers(4);
        Member again = Bench.member("w0", Health.READY, 0, 0, bench.now);
        bench.dispatcher.list(bench.now, ListKind.CHANGES, List.of(again, again));
        bench.dispatcher.timerFired(bench.now, "unwanted");
        bench.dispatcher.note(bench.now, "unknown", 3, DispatchApi.Note.STARTED, 0);
        bench.dispatcher.outcome(bench.now, "unknown", 0, false, Status.OK, 1, null);
        bench.dispatcher.clientGone(bench.now, "unknown");
        bench.dispatcher.probed(bench.now, "unknown", Status.TIMEOUT, 1, null);
        assertFalse(bench.request("r") == null);
        bench.dispatcher.note(bench.now, "r", 9, DispatchApi.Note.PROGRESS, 0.5);
        bench.dispatcher.list(bench.now, ListKind.WHOLE, List.of());
        bench.outcome("r", Status.ERROR);
        assertEquals(1, bench.count("refuse r"));
    }

    @Test
    void identicalEventsGiveIdenticalActionsAloneOrBesideOthers() {
        List<String> alone = day(new Bench(Bench.settings(RepeatSafety.SAFE, DedupScope.ALL)), null);
        Settings other = Bench.settings(RepeatSafety.SAFE, DedupScope.ALL);
        other.seed = 5;
        List<String> beside = day(new Bench(Bench.settings(RepeatSafety.SAFE, DedupScope.ALL)), new Bench(other));
        assertEquals(alone, beside);
    }

    private static List<String> day(Bench bench, Bench other) {
        bench.workers(12);
        for (int i = 0; i < 300; i++) {
            bench.request("r" + i);
            if (other != null) {
                other.workers(3);
                other.request("r" + i);
            }
            bench.until(bench.now + 10_000);
            if (i >= 20) {
                bench.dispatcher.outcome(bench.now, "r" + (i - 20), 0, true, Status.OK, 200_000, null);
            }
        }
        return bench.actions;
    }
}
