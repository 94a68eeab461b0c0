package barrowshore.servers;

import static barrowshore.servers.DiscoveryFixture.listJson;
import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.list.ServerList;
import barrowshore.list.ServerList.Update;
import barrowshore.list.ServerListMessage;
import barrowshore.net.ManualTime;
import barrowshore.servers.ScriptedDiscovery.Call;
import java.io.IOException;
import java.util.concurrent.BlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * How long a change known to discovery may go unreported, by simulated time: for each way in which a call fails, is
 * refused, times out or falls silent, in the worst order. {@code docs/design/discovery.md} has the table. The actor runs
 * in the thread that posts to it, so that a step of time has done all its work when it returns.
 */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ServiceDiscoveryTest {
    /** How long a terminating server may still get new jobs. */
    private static final long GRACE_MICROS = 2_000_000;

    private static final long STEP_MILLIS = 10;
    /** Longest wait between calls at that grace period: twice the longest base pause of 200 ms. */
    private static final long MAX_WAIT_MILLIS = 400;

    private static final long ANSWER_TIMEOUT_MILLIS = 500, SILENCE_TIMEOUT_MILLIS = 3000, DIAL_TIMEOUT_MILLIS = 1000;
    private static final long PREDECESSOR_WAIT_MILLIS = 3000;
    private static final Update EMPTY_LIST = DiscoveryFixture.EMPTY_LIST;

    private DiscoveryFixture fixture;
    private ManualTime time;
    private BlockingQueue<Update> updates;
    private ScriptedDiscovery discovery, otherDiscovery;

    @BeforeEach
    void open() throws Exception {
        discovery = new ScriptedDiscovery();
        otherDiscovery = new ScriptedDiscovery();
        fixture = new DiscoveryFixture();
        time = fixture.time;
        updates = fixture.updates;
    }

    @AfterEach
    void close() throws Exception {
        discovery.close();
        otherDiscovery.close();
        fixture.close();
    }

    private void start(Update previousList, long graceMicros) {
        start(previousList, graceMicros, false);
    }

    private void start(Update previousList, long graceMicros, boolean besidePredecessor) {
        fixture.start(discovery.address(), previousList, graceMicros, besidePredecessor);
    }

    private void awaitActor() {
        fixture.awaitActor();
    }

    private boolean startupWaitEnded() {
        return fixture.listAtStartupWaitEnd != null;
    }

    private static Update previousList() {
        return DiscoveryFixture.parse(listJson(5, true, "Ready"));
    }

    private Update awaitUpdate() throws InterruptedException {
        Update update = updates.take();
        awaitActor();
        return update;
    }

    /** Advances time until discovery is called. */
    private Call awaitCall(ScriptedDiscovery from) throws Exception {
        Call call = from.poll();
        while (call == null) {
            time.advance(STEP_MILLIS);
            call = from.poll();
        }
        return call;
    }

    /**
     * Advances time until a request has come, and reads it. On a busy machine the clock, which moves without waiting for the
     * actor, can pass the dial's time limit after the kernel has connected and before the actor has seen it; the actor then
     * closes that connection without a request.
     */
    private Call awaitRequest(ScriptedDiscovery from) throws Exception {
        while (true) {
            Call call = awaitCall(from);
            try {
                call.target();
                return call;
            } catch (IOException e) {
                continue; // closed before its request
            }
        }
    }

    private void awaitEnd(Call call) throws Exception {
        call.awaitEnd();
        awaitActor();
    }

    /** Answers the call, be it for a list or a watch, with the server in state Terminating. */
    private void answerTerminating(Call call, long rev) throws Exception {
        if (call.target().contains("watch")) {
            call.beginWatch();
            call.chunk(listJson(rev, false, "Terminating"));
        } else {
            call.answer(listJson(rev, true, "Terminating"));
        }
        assertThat(awaitUpdate().entries())
                .extracting(ServerList.Entry::state)
                .containsExactly(ServerList.State.TERMINATING);
    }

    /** Starts a scheduler that gets its list from discovery, and returns its watch after only the response head was sent. */
    private Call startAndWatch(long graceMicros) throws Exception {
        start(EMPTY_LIST, graceMicros);
        Call watch = awaitCall(discovery);
        assertThat(watch.target()).isEqualTo("/api/targets");
        watch.answer(listJson(7, true, "Ready"));
        awaitUpdate();
        assertThat(watch.target()).isEqualTo("/api/targets?watch=1&after=7");
        watch.beginWatch();
        return watch;
    }

    /** Sends a watch's empty heartbeat line and waits, without advancing time, until it has been read. */
    private void sendHeartbeat(Call watch) throws Exception {
        long before = time.scheduled();
        watch.chunk("\n");
        while (time.scheduled() == before) {
            Thread.onSpinWait();
        }
        awaitActor();
    }

    private void assertReportedWithin(long millis, long sinceMillis) {
        assertThat(time.millis() - sinceMillis).as("milliseconds unreported").isLessThanOrEqualTo(millis + STEP_MILLIS);
    }

    /** Refuses calls until the pauses have grown to the longest; returns the next call. */
    private Call refuseUntilLongestPause(ScriptedDiscovery from) throws Exception {
        Call call = awaitCall(from);
        for (int k = 0; k < 8; k++) {
            call.target();
            call.refuse("3600");
            awaitEnd(call);
            call = awaitCall(from);
        }
        return call;
    }

    @Test
    void refusedDialIsRetried() throws Exception {
        discovery.refuse();
        start(previousList(), GRACE_MICROS);
        time.advance(4000);
        long before = time.scheduled();
        while (time.scheduled() == before) {
            time.advance(STEP_MILLIS); // until a dial has just been refused
        }
        discovery.listenAgain();
        long since = time.millis();
        answerTerminating(awaitCall(discovery), 8);
        assertReportedWithin(MAX_WAIT_MILLIS, since);
    }

    @Test
    void dialThatNeverConnectsIsAbandoned() throws Exception {
        discovery.fillQueue();
        start(previousList(), GRACE_MICROS);
        discovery.emptyQueue(); // the earlier dial is lost and never connects
        long since = time.millis();
        Call call = awaitCall(discovery);
        answerTerminating(call, 8);
        assertReportedWithin(DIAL_TIMEOUT_MILLIS + MAX_WAIT_MILLIS, since);
    }

    @Test
    void abandonedDialThatConnectsLateIsClosed() throws Exception {
        discovery.fillQueue();
        start(previousList(), GRACE_MICROS);
        time.advance(DIAL_TIMEOUT_MILLIS);
        discovery.emptyQueue();
        Call late = discovery.poll();
        while (late == null) {
            late = discovery.poll(); // the kernel retries in real time
        }
        awaitEnd(late);
        Call call = awaitCall(discovery);
        answerTerminating(call, 8);
        time.advance(MAX_WAIT_MILLIS);
        assertThat(discovery.poll()).as("a second call").isNull();
    }

    @Test
    void longRetryAfterIsIgnoredWhileJobsAreSent() throws Exception {
        Call watch = startAndWatch(GRACE_MICROS);
        watch.reset();
        Call call = refuseUntilLongestPause(discovery);
        call.target();
        call.refuse("3600");
        awaitEnd(call);
        long since = time.millis();
        answerTerminating(awaitCall(discovery), 8);
        assertReportedWithin(MAX_WAIT_MILLIS, since);
    }

    @Test
    void longRetryAfterIsIgnoredAfterAddressChangeWhileFormerListIsInUse() throws Exception {
        startAndWatch(GRACE_MICROS);
        fixture.client.setAddress(otherDiscovery.address());
        Call call = refuseUntilLongestPause(otherDiscovery);
        call.target();
        call.refuse("3600");
        awaitEnd(call);
        long since = time.millis();
        answerTerminating(awaitCall(otherDiscovery), 3);
        assertReportedWithin(MAX_WAIT_MILLIS, since);
    }

    @Test
    void longRetryAfterIsIgnoredWhilePreviousListIsInUse() throws Exception {
        start(previousList(), GRACE_MICROS);
        Call call = awaitCall(discovery); // left unanswered until the previous list is in use
        while (!startupWaitEnded()) {
            time.advance(STEP_MILLIS);
            Call next = discovery.poll();
            call = next == null ? call : next;
        }
        call = refuseUntilLongestPause(discovery);
        call.target();
        call.refuse("3600");
        awaitEnd(call);
        long since = time.millis();
        answerTerminating(awaitCall(discovery), 8);
        assertReportedWithin(MAX_WAIT_MILLIS, since);
    }

    /** Pauses are long while no list is in use, and must get short as soon as the previous list is used. */
    @Test
    void previousListIsUsedDespiteRefusalsAndCorrectedSoon() throws Exception {
        start(previousList(), GRACE_MICROS);
        Call call = awaitCall(discovery);
        call.target();
        time.advance(ANSWER_TIMEOUT_MILLIS - STEP_MILLIS);
        while (!startupWaitEnded()) {
            call.refuse("3600");
            awaitEnd(call);
            call = null;
            while (call == null && !startupWaitEnded()) {
                time.advance(STEP_MILLIS);
                call = discovery.poll();
            }
            if (call != null) {
                call.target();
            }
        }
        long since = time.millis();
        if (call == null) {
            call = awaitCall(discovery);
            call.target();
        }
        assertReportedWithin(MAX_WAIT_MILLIS, since);
        call.refuse("3600");
        awaitEnd(call);
        since = time.millis();
        answerTerminating(awaitCall(discovery), 8);
        assertReportedWithin(MAX_WAIT_MILLIS, since);
        time.advance(1000); // past the end of the original pause
        assertThat(discovery.poll()).as("a second call").isNull();
    }

    @Test
    void unansweredCallIsAbandoned() throws Exception {
        start(previousList(), GRACE_MICROS);
        Call call = awaitCall(discovery);
        for (int k = 0; k < 8; k++) {
            call.target();
            call = awaitCall(discovery);
        }
        call.target(); // sent just before discovery is back, and never answered
        long since = time.millis();
        answerTerminating(awaitCall(discovery), 8);
        assertReportedWithin(ANSWER_TIMEOUT_MILLIS + MAX_WAIT_MILLIS, since);
    }

    @Test
    void longGraceDoesNotLengthenPauses() throws Exception {
        Call watch = startAndWatch(60_000_000);
        watch.reset();
        Call call = refuseUntilLongestPause(discovery);
        call.target();
        call.refuse("3600");
        awaitEnd(call);
        long since = time.millis();
        answerTerminating(awaitCall(discovery), 8);
        assertReportedWithin(1000, since);
    }

    @Test
    void watchSilentAfterItsHeadIsReopened() throws Exception {
        startAndWatch(GRACE_MICROS);
        long since = time.millis();
        answerTerminating(awaitCall(discovery), 8);
        assertReportedWithin(SILENCE_TIMEOUT_MILLIS + MAX_WAIT_MILLIS, since);
    }

    @Test
    void watchThatFallsSilentLaterIsReopened() throws Exception {
        Call watch = startAndWatch(GRACE_MICROS);
        for (int k = 0; k < 5; k++) {
            time.advance(2000);
            sendHeartbeat(watch);
        }
        long since = time.millis();
        answerTerminating(awaitCall(discovery), 8);
        assertReportedWithin(SILENCE_TIMEOUT_MILLIS + MAX_WAIT_MILLIS, since);
    }

    @Test
    void watchSilentAfterFullListIsReopenedEvenIfNextCallIsUnanswered() throws Exception {
        Call watch = startAndWatch(GRACE_MICROS);
        watch.chunk(listJson(8, true, "Ready"));
        awaitUpdate();
        long since = time.millis();
        assertThat(awaitCall(discovery).target()).isEqualTo("/api/targets?watch=1&after=8");
        answerTerminating(awaitCall(discovery), 9);
        assertReportedWithin(SILENCE_TIMEOUT_MILLIS + MAX_WAIT_MILLIS + ANSWER_TIMEOUT_MILLIS + MAX_WAIT_MILLIS, since);
    }

    @Test
    void watchWithUnendingObjectIsReopened() throws Exception {
        Call watch = startAndWatch(GRACE_MICROS);
        long since = time.millis();
        watch.chunk("{\"rev\":8,\"all\":true,");
        Call next = discovery.poll();
        for (int k = 0; next == null && time.millis() - since < 2 * SILENCE_TIMEOUT_MILLIS; k++) {
            if (k % 50 == 0) {
                watch.chunk("\n  ");
            }
            time.advance(STEP_MILLIS);
            next = discovery.poll();
        }
        assertThat(next).as("a new call").isNotNull();
        answerTerminating(next, 8);
        assertReportedWithin(SILENCE_TIMEOUT_MILLIS + MAX_WAIT_MILLIS, since);
    }

    @Test
    void previousListIsNotUsedWhileListArrivesInPieces() throws Exception {
        start(previousList(), GRACE_MICROS);
        Call watch = awaitCall(discovery);
        watch.target();
        long before = time.scheduled();
        String list = listJson(8, true, "Terminating");
        watch.beginWatch();
        watch.chunk(list.substring(0, list.length() / 2));
        while (time.scheduled() < before + 3) {
            Thread.onSpinWait(); // until head and chunk are read: a time limit for each and the check for an
            // unchanged list
        }
        awaitActor();
        time.advance(SILENCE_TIMEOUT_MILLIS - STEP_MILLIS);
        assertThat(startupWaitEnded()).isFalse();
        watch.chunk(list.substring(list.length() / 2));
        assertThat(awaitUpdate().entries())
                .extracting(ServerList.Entry::state)
                .containsExactly(ServerList.State.TERMINATING);
    }

    @Test
    void previousListIsUsedWhenWatchReportsNoChange() throws Exception {
        start(previousList(), GRACE_MICROS);
        Call watch = awaitCall(discovery);
        watch.target();
        long before = time.scheduled();
        watch.beginWatch();
        while (time.scheduled() < before + 2) {
            Thread.onSpinWait(); // until the head is read: its time limit and the check for an unchanged list
        }
        awaitActor();
        time.advance(1000);
        assertThat(startupWaitEnded()).isTrue();
    }

    @Test
    void resetWatchIsReopened() throws Exception {
        Call watch = startAndWatch(GRACE_MICROS);
        sendHeartbeat(watch);
        long before = time.scheduled();
        watch.reset();
        long since = time.millis();
        while (time.scheduled() == before) {
            Thread.onSpinWait(); // until the reset has been noticed
        }
        awaitActor();
        answerTerminating(awaitCall(discovery), 8);
        assertReportedWithin(0, since);
    }

    @Test
    void fullListInPiecesIsReadToItsEnd() throws Exception {
        start(previousList(), GRACE_MICROS);
        fixture.client.setAddress(otherDiscovery.address());
        Call call = awaitCall(otherDiscovery);
        assertThat(call.target()).isEqualTo("/api/targets");
        String list = listJson(3, true, "Terminating").replace(",", ",\n  ");
        int pieces = 6, length = list.length() / pieces;
        call.send("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n");
        for (int k = 0; k < pieces; k++) {
            long before = time.scheduled();
            call.send(list.substring(k * length, k == pieces - 1 ? list.length() : (k + 1) * length));
            while (time.scheduled() == before && updates.isEmpty()) {
                Thread.onSpinWait(); // until the piece has been read
            }
            awaitActor();
            if (k < pieces - 1) {
                time.advance(ANSWER_TIMEOUT_MILLIS - STEP_MILLIS);
            }
        }
        assertThat(awaitUpdate().entries())
                .extracting(ServerList.Entry::state)
                .containsExactly(ServerList.State.TERMINATING);
        assertThat(otherDiscovery.poll()).as("a second call").isNull();
    }

    @Test
    void unendingFullListIsRequestedAgain() throws Exception {
        Call watch = startAndWatch(GRACE_MICROS);
        fixture.client.setAddress(otherDiscovery.address());
        Call call = awaitCall(otherDiscovery);
        call.target();
        call.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        long since = time.millis();
        Call next = otherDiscovery.poll();
        for (int k = 0; next == null && time.millis() - since < 2 * SILENCE_TIMEOUT_MILLIS; k++) {
            if (k % 20 == 0) {
                long before = time.scheduled();
                call.chunk(k == 0 ? "{\n" : "  \n");
                while (time.scheduled() == before) {
                    Thread.onSpinWait(); // until the piece has been read
                }
                awaitActor();
                sendHeartbeat(watch); // the former address reports no change
            }
            time.advance(STEP_MILLIS);
            next = otherDiscovery.poll();
        }
        assertThat(next).as("a new call").isNotNull();
        answerTerminating(next, 3);
        assertReportedWithin(SILENCE_TIMEOUT_MILLIS + MAX_WAIT_MILLIS, since);
    }

    @Test
    void addressChangeDuringPendingDialTakesEffectAtOnce() throws Exception {
        discovery.fillQueue();
        start(previousList(), GRACE_MICROS);
        fixture.client.setAddress(otherDiscovery.address());
        long since = time.millis();
        Call call = otherDiscovery.poll();
        assertThat(call).isNotNull();
        assertThat(call.target()).isEqualTo("/api/targets");
        call.answer(listJson(3, true, "Terminating"));
        awaitUpdate();
        assertReportedWithin(0, since);
        assertThat(call.target()).isEqualTo("/api/targets?watch=1&after=3");
        call.beginWatch();
        time.advance(DIAL_TIMEOUT_MILLIS); // the dial to the former address is abandoned
        assertThat(otherDiscovery.poll()).as("a second call").isNull();
    }

    @Test
    void addressChangeDuringPauseTakesEffectAtOnce() throws Exception {
        start(previousList(), GRACE_MICROS);
        Call call = refuseUntilLongestPause(discovery);
        call.target();
        call.refuse("3600");
        awaitEnd(call);
        fixture.client.setAddress(otherDiscovery.address());
        long since = time.millis();
        Call moved = awaitCall(otherDiscovery);
        answerTerminating(moved, 3);
        assertReportedWithin(0, since);
    }

    @Test
    void answerFromFormerAddressDoesNotDelayNextCall() throws Exception {
        start(EMPTY_LIST, GRACE_MICROS);
        Call former = awaitCall(discovery);
        former.target();
        fixture.client.setAddress(otherDiscovery.address());
        Call call = awaitCall(otherDiscovery);
        call.target(); // never answered
        former.refuse("3600");
        awaitEnd(former);
        long since = time.millis();
        answerTerminating(awaitCall(otherDiscovery), 3);
        assertReportedWithin(ANSWER_TIMEOUT_MILLIS + MAX_WAIT_MILLIS, since);
    }

    @Test
    void answerTimeoutGrowsUntilSlowFirstListArrives() throws Exception {
        start(EMPTY_LIST, GRACE_MICROS);
        long answerDelayMillis = 1500;
        boolean listReceived = false;
        for (int k = 0; k < 5 && !listReceived; k++) {
            Call call = awaitRequest(discovery);
            for (long left = answerDelayMillis; left > 0; left -= STEP_MILLIS) {
                time.advance(STEP_MILLIS);
            }
            try {
                call.answer(listJson(3, true, "Ready"));
                listReceived = call.target().contains("watch");
            } catch (IOException e) {
                listReceived = false; // abandoned before its answer
            }
        }
        assertThat(listReceived).as("the slow list was received").isTrue();
    }

    /** Advances time until the list known by then is used; at the latest a dial that is under way then has to end. */
    private void awaitStartupWaitEnd() {
        while (!startupWaitEnded()) {
            time.advance(STEP_MILLIS);
            awaitActor();
        }
    }

    private ServerListMessage predecessorList() {
        Update update = DiscoveryFixture.parse(listJson(8, true, "Terminating"));
        return new ServerListMessage(discovery.address(), 8, update);
    }

    /** Guards against a new version that serves by its configured list although the older process has a later one. */
    @Test
    void listOfThePredecessorIsAwaitedAndUsed() throws Exception {
        start(previousList(), GRACE_MICROS, true);
        time.advance(PREDECESSOR_WAIT_MILLIS - STEP_MILLIS);
        assertThat(startupWaitEnded()).isFalse();
        fixture.client.receiveFromOtherProcess(predecessorList(), true);
        awaitStartupWaitEnd();
        assertThat(fixture.listAtStartupWaitEnd).isEqualTo(predecessorList().update());
    }

    @Test
    void listOfThePredecessorEndsTheWaitForADiscoveryThatRefuses() throws Exception {
        start(previousList(), GRACE_MICROS, true);
        fixture.client.receiveFromOtherProcess(predecessorList(), true);
        Call call = awaitCall(discovery);
        while (!startupWaitEnded()) {
            call.target();
            call.refuse("3600");
            awaitEnd(call);
            call = startupWaitEnded() ? call : awaitCall(discovery);
        }
        assertReportedWithin(1000 + 2 * 1000, 0); // the startup wait, and the longest pause
        assertThat(fixture.listAtStartupWaitEnd).isEqualTo(predecessorList().update());
    }

    @Test
    void predecessorThatTellsNoListIsNotAwaitedForLong() throws Exception {
        discovery.refuse();
        start(previousList(), GRACE_MICROS, true);
        time.advance(PREDECESSOR_WAIT_MILLIS - STEP_MILLIS);
        assertThat(startupWaitEnded()).isFalse();
        awaitStartupWaitEnd();
        assertReportedWithin(PREDECESSOR_WAIT_MILLIS + DIAL_TIMEOUT_MILLIS, 0);
        assertThat(fixture.listAtStartupWaitEnd).isEqualTo(previousList());
    }

    @Test
    void listOfThePredecessorIsUsedHoweverLateItComes() throws Exception {
        discovery.refuse();
        start(EMPTY_LIST, GRACE_MICROS, true);
        awaitStartupWaitEnd();
        fixture.client.receiveFromOtherProcess(predecessorList(), true);
        assertThat(awaitUpdate()).isEqualTo(predecessorList().update());
    }

    @Test
    void predecessorThatHasEndedIsNotAwaited() throws Exception {
        discovery.refuse();
        start(previousList(), GRACE_MICROS, true);
        fixture.client.predecessorEnded();
        awaitStartupWaitEnd();
        assertReportedWithin(1000 + DIAL_TIMEOUT_MILLIS, 0);
    }

    @Test
    void answerOfDiscoveryIsUsedWithoutAwaitingThePredecessor() throws Exception {
        start(previousList(), GRACE_MICROS, true);
        answerTerminating(awaitCall(discovery), 9);
        assertThat(time.millis()).isLessThan(1000);
    }

    @Test
    void newsOfTheOtherProcessArePassedOnWhileDiscoveryIsSilent() throws Exception {
        startAndWatch(GRACE_MICROS);
        fixture.client.receiveFromOtherProcess(predecessorList(), false);
        assertThat(awaitUpdate()).isEqualTo(predecessorList().update());
        assertThat(awaitCall(discovery).target()).isEqualTo("/api/targets?watch=1&after=8");
    }
}
