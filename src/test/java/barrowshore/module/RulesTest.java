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

/** The four rules that the dispatcher must never break, each checked by sequences of events. */
class RulesTest {
    @Nested
    class NoRequestIsLost {
        @Test
        void withoutWorkersARequestIsRefusedAtOnce() {
            DispatcherHarness harness =
                    new DispatcherHarness(DispatcherHarness.settings(RepeatSafety.UNSAFE, DedupScope.ALL));
            assertNull(harness.request("r"));
            assertEquals(1, harness.countActions("refuse r"));
        }

        @ParameterizedTest
        @EnumSource(RepeatSafety.class)
        void aTimeOutAtTheDeadlineIsAnsweredOnceInTheSameCall(RepeatSafety safety) {
            DispatcherHarness harness =
                    new DispatcherHarness(DispatcherHarness.settings(safety, DedupScope.ALL)).withWorkers(4);
            harness.request("r");
            harness.advanceTo(harness.now + 2_000_000);
            harness.outcome("r", Status.TIMEOUT);
            assertEquals(1, harness.countActions("refuse r") + harness.countActions("fail r"));
            assertEquals(1, harness.countActions("send r"));
            harness.dispatcher.clientGone(harness.now, "r");
            harness.advanceTo(harness.now + 2_000_000);
            assertEquals(1, harness.countActions("refuse r") + harness.countActions("fail r"));
        }

        @Test
        void aRequestWithoutAttemptsLeftIsRefused() {
            DispatcherHarness harness = new DispatcherHarness(
                            DispatcherHarness.settings(RepeatSafety.UNSAFE, DedupScope.ALL))
                    .withWorkers(10);
            harness.request("r");
            for (int i = 0; i < 4; i++) {
                harness.outcome("r", Status.FULL);
            }
            assertEquals(4, harness.attemptCount("r"));
            assertEquals(1, harness.countActions("refuse r"));
        }

        @Test
        void anEndedRequestGetsNoFurtherAction() {
            DispatcherHarness harness =
                    new DispatcherHarness(DispatcherHarness.settings(RepeatSafety.SAFE, DedupScope.ALL)).withWorkers(4);
            harness.request("gone");
            harness.dispatcher.clientGone(harness.now, "gone");
            harness.outcome("gone", Status.FULL);
            assertEquals(1, harness.countActions("send gone"));
            assertEquals(0, harness.countActions("refuse gone") + harness.countActions("fail gone"));
            harness.request("served");
            harness.outcome("served", Status.OK);
            harness.outcome("served", Status.ERROR);
            assertEquals(1, harness.countActions("send served"));
            assertEquals(0, harness.countActions("refuse served") + harness.countActions("fail served"));
        }

        @Test
        void aDeadlineShorterThanATickIsStillAnswered() {
            DispatcherHarness harness =
                    new DispatcherHarness(DispatcherHarness.settings(RepeatSafety.SAFE, DedupScope.ALL)).withWorkers(2);
            harness.dispatcher.request(harness.now, new Request("r", 0, 0, 1, 0, 0));
            assertEquals(1, harness.countActions("refuse r") + harness.countActions("send r"));
        }
    }

    @Nested
    class NoEffectHappensTwice {
        @ParameterizedTest
        @CsvSource({"ERROR", "RESET", "TIMEOUT", "CANCELLED"})
        void anUnsafeJobThatMayHaveRunFailsAndIsNeverSentAgain(Status status) {
            DispatcherHarness harness = new DispatcherHarness(
                            DispatcherHarness.settings(RepeatSafety.UNSAFE, DedupScope.ALL))
                    .withWorkers(8);
            harness.request("r");
            harness.outcome("r", status);
            assertEquals(1, harness.countActions("send r"));
            assertEquals(1, harness.countActions("fail r"));
            assertEquals(0, harness.countActions("refuse r"));
        }

        @ParameterizedTest
        @CsvSource({"FULL", "CONNECT_FAILED"})
        void anUnsafeJobThatNeverRanIsSentElsewhere(Status status) {
            DispatcherHarness harness = new DispatcherHarness(
                            DispatcherHarness.settings(RepeatSafety.UNSAFE, DedupScope.ALL))
                    .withWorkers(8);
            String first = harness.request("r");
            harness.outcome("r", status);
            assertEquals(2, harness.countActions("send r"));
            assertNotEquals(first, harness.lastWorker("r"));
            harness.outcome("r", Status.ERROR);
            assertEquals(1, harness.countActions("fail r"));
        }

        @ParameterizedTest
        @CsvSource({"ZONE", "CELL"})
        void aKeyedRepeatStaysInItsDedupScope(DedupScope scope) {
            DispatcherHarness harness =
                    new DispatcherHarness(DispatcherHarness.settings(RepeatSafety.KEYED, scope)).withWorkers(8);
            int first = Integer.parseInt(harness.request("r").substring(1));
            harness.outcome("r", Status.ERROR);
            assertEquals(2, harness.attemptCount("r"));
            int second = Integer.parseInt(harness.lastWorker("r").substring(1));
            assertEquals(
                    scope == DedupScope.ZONE ? first % 2 : first / 2,
                    scope == DedupScope.ZONE ? second % 2 : second / 2);
            for (int i = 0; i < 3; i++) {
                harness.outcome("r", Status.ERROR);
            }
            assertEquals(0, harness.countActions("refuse r"), "a scope smaller than ALL rules out a refusal");
            assertEquals(1, harness.countActions("fail r"));
        }

        /** Connecting may take 0.25 s; a repeat that arrives after the window of 0.5 s finds its key forgotten. */
        @ParameterizedTest
        @CsvSource({"500000,1", "300000,1", "200000,2"})
        void aKeyedRepeatThatMayArriveAfterItsWindowIsNotSent(long after, int attempts) {
            DispatcherHarness harness = new DispatcherHarness(
                            DispatcherHarness.settings(RepeatSafety.KEYED, DedupScope.ALL))
                    .withWorkers(8);
            harness.request("r");
            harness.advanceTo(harness.now + after);
            harness.outcome("r", Status.ERROR);
            assertEquals(attempts, harness.attemptCount("r"));
        }

        @Test
        void aSafeJobIsRepeatedOnlyWithinTheRetryBudget() {
            DispatcherHarness harness = new DispatcherHarness(
                            DispatcherHarness.settings(RepeatSafety.SAFE, DedupScope.ALL))
                    .withWorkers(200);
            int repeats = 0;
            for (int i = 0; i < 400; i++) {
                harness.request("r" + i);
                harness.outcome("r" + i, Status.ERROR);
                repeats += harness.attemptCount("r" + i) - 1;
                harness.advanceTo(harness.now + 100_000);
            }
            assertTrue(repeats > 0 && repeats <= 10 + 400 / 10 + 1, "repeats " + repeats);
        }
    }

    @Nested
    class DrainingWorkersGetNoJobs {
        @ParameterizedTest
        @EnumSource(
                value = Health.class,
                names = {"DRAINING", "GONE"})
        void nothingGoesToAWorkerThatDrainsOrIsGone(Health health) {
            DispatcherHarness harness =
                    new DispatcherHarness(DispatcherHarness.settings(RepeatSafety.SAFE, DedupScope.ALL)).withWorkers(3);
            harness.dispatcher.list(
                    harness.now, ListKind.CHANGES, List.of(DispatcherHarness.member("w1", health, 1, 0, 0)));
            for (int i = 0; i < 60; i++) {
                assertNotEquals("w1", harness.request("r" + i));
            }
        }

        @Test
        void absenceFromAWholeListCountsAsGone() {
            DispatcherHarness harness =
                    new DispatcherHarness(DispatcherHarness.settings(RepeatSafety.SAFE, DedupScope.ALL)).withWorkers(3);
            harness.dispatcher.list(
                    harness.now, ListKind.WHOLE, List.of(DispatcherHarness.member("w2", Health.READY, 0, 1, 0)));
            for (int i = 0; i < 4; i++) {
                assertEquals("w2", harness.request("r" + i));
            }
        }

        @Test
        void aFailedListCallKeepsTheListAndAsksAgainWithinTheTimeAllowed() {
            Settings settings = DispatcherHarness.settings(RepeatSafety.SAFE, DedupScope.ALL);
            settings.pollsList = true;
            DispatcherHarness harness = new DispatcherHarness(settings).withWorkers(2);
            assertEquals(1, harness.countActions("watch"));
            for (int failures = 1; failures < 12; failures++) {
                harness.dispatcher.list(harness.now, ListKind.FAILED, List.of());
                harness.advanceTo(harness.now + settings.listPollMicros);
                assertEquals(1 + failures, harness.countActions("watch"));
            }
            assertFalse(harness.request("r") == null);
        }
    }

    @Nested
    class NoColdWorkerIsOverloaded {
        @ParameterizedTest
        @CsvSource({"1,40,100000", "4,40,100000", "40,40,100000", "40,8,100000", "14,5,500000", "14,5,100000"})
        void allDispatchersTogetherStayUnderTheBudgetInEveryWindow(int dispatchers, int slots, long work) {
            List<Long> sent = coldSends(dispatchers, slots, work, 0);
            for (int i = 0, from = 0; i < sent.size(); i++) {
                while (sent.get(from) <= sent.get(i) - 1_000_000) {
                    from++;
                }
                // Three times the worker's guaranteed capacity at that moment.
                double share = 0.1 + 0.9 * (sent.get(i) - WORKER_START_MICROS) / WARM_UP_MICROS;
                double limit = 3 * share * slots * 1e6 / work;
                assertTrue(i - from + 1 <= limit + 1, i - from + 1 + " sent, limit " + limit);
            }
            assertTrue(sent.size() > 10, "a warming worker is used: " + sent.size());
        }

        /** Fourteen dispatchers take turns at a budget of three jobs per window, and use it from the start. */
        @Test
        void aBudgetOfAFewJobsIsUsedFromTheStart() {
            List<Long> sent = coldSends(14, 5, 500_000, 0);
            long early = sent.stream()
                    .filter(at -> at < WORKER_START_MICROS + WARM_UP_MICROS / 4)
                    .count();
            assertTrue(early >= 4, early + " sent in the first quarter of the warm-up");
            assertEquals(sent, coldSends(14, 5, 500_000, 3_000_000), "changed settings give the same turns");
        }

        private static final long WORKER_START_MICROS = 1_000_000_000L, WARM_UP_MICROS = 20_000_000L;

        /** A cold worker with a tenth of forty cores has four whole ones, so a job runs there at full speed. */
        @Test
        void aColdWorkerHasFewerCoresNotSlowerOnes() {
            DispatcherHarness harness =
                    new DispatcherHarness(DispatcherHarness.settings(RepeatSafety.SAFE, DedupScope.ALL));
            harness.dispatcher.list(
                    harness.now, ListKind.INITIAL, List.of(new Member("cold", Health.READY, 40, 0, 0, 0, harness.now)));
            assertEquals("cold", harness.request("r"), String.join("; ", harness.actions));
        }

        /** With less than half a core the job would miss its target; refusing it lets the client retry. */
        @Test
        void aJobThatWouldMissItsTargetAtAColdWorkerIsRefused() {
            DispatcherHarness harness =
                    new DispatcherHarness(DispatcherHarness.settings(RepeatSafety.SAFE, DedupScope.ALL));
            harness.dispatcher.list(
                    harness.now, ListKind.INITIAL, List.of(new Member("cold", Health.READY, 4, 0, 0, 0, harness.now)));
            assertNull(harness.request("r"));
            assertEquals(1, harness.countActions("refuse r"));
            harness.advanceTo(harness.now + WARM_UP_MICROS + 1_000_000);
            assertEquals("cold", harness.request("q"), String.join("; ", harness.actions));
        }

        /**
         * The times at which dispatchers with unlimited demand and slightly different clocks send to one cold worker.
         * With a formerWindow above 0 they start with that overload window and change to the default one.
         */
        private List<Long> coldSends(int dispatchers, int slots, long work, long formerWindow) {
            List<Long> sent = new ArrayList<>();
            for (int d = 0; d < dispatchers; d++) {
                Settings settings = DispatcherHarness.settings(RepeatSafety.SAFE, DedupScope.ALL);
                // The target grows with the work up to the deadline, so that a job on a cold worker is not late.
                settings.classes[0] =
                        new JobClass(work, 19, 2_000_000, 1, 0, RepeatSafety.SAFE, DedupScope.ALL, 500_000, -1, 0);
                settings.dispatchers = dispatchers;
                settings.ownIndex = d;
                settings.seed = 77 + d;
                long window = settings.overloadWindowMicros, clockOffset = d * 7_919 % 40_000;
                settings.overloadWindowMicros = formerWindow > 0 ? formerWindow : window;
                DispatcherHarness harness = new DispatcherHarness(settings);
                settings.overloadWindowMicros = window;
                harness.now += clockOffset;
                harness.dispatcher.changeSettings(harness.now, settings);
                Member fresh = new Member("cold", Health.READY, slots, 0, 0, 0, WORKER_START_MICROS);
                harness.dispatcher.list(harness.now, ListKind.INITIAL, List.of(fresh));
                // Each dispatcher gets a request every 5 ms, served in its usual time.
                for (int i = 0; harness.now < WORKER_START_MICROS + WARM_UP_MICROS; i++) {
                    harness.advanceTo(harness.now + 5_000);
                    if (harness.request("r" + i) != null) {
                        sent.add(harness.now - clockOffset);
                        harness.dispatcher.outcome(harness.now, "r" + i, 0, true, Status.OK, work, null);
                    }
                }
            }
            sent.sort(null);
            return sent;
        }
    }

    @Test
    void unusualButLegalEventOrdersAreTolerated() {
        DispatcherHarness harness =
                new DispatcherHarness(DispatcherHarness.settings(RepeatSafety.SAFE, DedupScope.ALL)).withWorkers(4);
        Member again = DispatcherHarness.member("w0", Health.READY, 0, 0, harness.now);
        harness.dispatcher.list(harness.now, ListKind.CHANGES, List.of(again, again));
        harness.dispatcher.timerFired(harness.now, "unwanted");
        harness.dispatcher.note(harness.now, "unknown", 3, DispatchApi.Note.STARTED, 0);
        harness.dispatcher.outcome(harness.now, "unknown", 0, false, Status.OK, 1, null);
        harness.dispatcher.clientGone(harness.now, "unknown");
        harness.dispatcher.probed(harness.now, "unknown", Status.TIMEOUT, 1, null);
        assertFalse(harness.request("r") == null);
        harness.dispatcher.note(harness.now, "r", 9, DispatchApi.Note.PROGRESS, 0.5);
        harness.dispatcher.list(harness.now, ListKind.WHOLE, List.of());
        harness.outcome("r", Status.ERROR);
        assertEquals(1, harness.countActions("refuse r"));
    }

    @Test
    void identicalEventsGiveIdenticalActionsAloneOrBesideAnotherDispatcher() {
        List<String> alone =
                runEvents(new DispatcherHarness(DispatcherHarness.settings(RepeatSafety.SAFE, DedupScope.ALL)), null);
        Settings other = DispatcherHarness.settings(RepeatSafety.SAFE, DedupScope.ALL);
        other.seed = 5;
        List<String> beside = runEvents(
                new DispatcherHarness(DispatcherHarness.settings(RepeatSafety.SAFE, DedupScope.ALL)),
                new DispatcherHarness(other));
        assertEquals(alone, beside);
    }

    private static List<String> runEvents(DispatcherHarness harness, DispatcherHarness other) {
        harness.withWorkers(12);
        for (int i = 0; i < 300; i++) {
            harness.request("r" + i);
            if (other != null) {
                other.withWorkers(3);
                other.request("r" + i);
            }
            harness.advanceTo(harness.now + 10_000);
            if (i >= 20) {
                harness.dispatcher.outcome(harness.now, "r" + (i - 20), 0, true, Status.OK, 200_000, null);
            }
        }
        return harness.actions;
    }
}
