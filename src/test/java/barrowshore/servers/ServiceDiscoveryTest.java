package barrowshore.servers;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.list.ServerList;
import barrowshore.list.ServerList.Update;
import barrowshore.net.ConnectionManager;
import barrowshore.net.ManualTime;
import barrowshore.servers.ScriptedDiscovery.Call;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.locks.ReentrantLock;
import org.eclipse.jetty.util.component.LifeCycle;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * How long a change may go untold that discovery has and could be asked for, by the test's own clock: on each path by
 * which a call fails, is refused, is given up, or falls silent, in its worst order. {@code docs/design/discovery.md} has
 * the table. The scheduler's messages run in the thread that posts them, so that a step of time has done all of its work
 * when it returns.
 */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ServiceDiscoveryTest {
    /** In which a server that leaves may still be sent to, microseconds. */
    private static final long GRACE = 2_000_000;

    private static final long STEP = 10;
    /** What the pauses come to at that grace: between one and two of them. */
    private static final long PAUSE = 400;

    private static final long ANSWER = 500, SILENCE = 3000, DIAL = 1000;
    private static final Update NO_LIST = new Update(0, true, List.of());
    private static final ServerList.ZoneKindNames NAMES = new ServerList.ZoneKindNames(List.of("a"), List.of("m"));

    private final ManualTime time = new ManualTime();
    private final ExecutorService pool = Executors.newFixedThreadPool(4);
    /** Held while the actor runs, in whichever thread. */
    private final ReentrantLock actor = new ReentrantLock();
    /** Dials may take longer than this class lets them take. */
    private final ConnectionManager dialer = new ConnectionManager(pool, time, 50, 1, 60_000, endPoint -> null);

    private final BlockingQueue<Update> told = new LinkedBlockingQueue<>();
    private ScriptedDiscovery here, elsewhere;
    private ServiceDiscovery client;
    private boolean knownListUsed;

    @BeforeEach
    void open() throws Exception {
        here = new ScriptedDiscovery();
        elsewhere = new ScriptedDiscovery();
        dialer.start();
    }

    @AfterEach
    void close() throws Exception {
        here.close();
        elsewhere.close();
        LifeCycle.stop(dialer);
        pool.shutdownNow();
    }

    private void start(Update known, long grace) {
        client = new ServiceDiscovery(
                here.address(),
                NAMES,
                this::runLocked,
                dialer,
                time,
                told::add,
                () -> knownListUsed = true,
                known,
                grace);
        client.open();
    }

    private void runLocked(Runnable message) {
        actor.lock();
        try {
            message.run();
        } finally {
            actor.unlock();
        }
    }

    /** Waits until the actor has done what it is at in another thread. */
    private void settle() {
        runLocked(() -> {});
    }

    private static String list(long rev, boolean all, String state) {
        return "{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":[{\"uid\":\"s-1\",\"endpoint\":\"127.0.0.1:1\","
                + "\"az\":\"a\",\"model\":\"m\",\"state\":\"" + state + "\"}]}\n";
    }

    private static Update known() {
        return new Update(
                5,
                true,
                ServerList.parse((java.util.Map<?, ?>) barrowshore.wire.Json.parse(list(5, true, "Ready")), NAMES)
                        .entries());
    }

    private Update told() throws InterruptedException {
        Update update = told.take();
        settle();
        return update;
    }

    /** Time moves on until discovery is called. */
    private Call called(ScriptedDiscovery by) throws Exception {
        Call call = by.poll();
        while (call == null) {
            time.advance(STEP);
            call = by.poll();
        }
        return call;
    }

    private void ended(Call call) throws Exception {
        call.awaitEnd();
        settle();
    }

    /** Answers a call, whichever it is, with what tells that the server leaves. */
    private void tellDrain(Call call, long rev) throws Exception {
        if (call.target().contains("watch")) {
            call.beginWatch();
            call.chunk(list(rev, false, "Terminating"));
        } else {
            call.answer(list(rev, true, "Terminating"));
        }
        assertThat(told().entries()).extracting(ServerList.Entry::state).containsExactly(ServerList.State.TERMINATING);
    }

    /** A scheduler that sends jobs by discovery's list, and its watch, of which only the head has come. */
    private Call watching(long grace) throws Exception {
        start(NO_LIST, grace);
        Call watch = called(here);
        assertThat(watch.target()).isEqualTo("/api/targets");
        watch.answer(list(7, true, "Ready"));
        told();
        assertThat(watch.target()).isEqualTo("/api/targets?watch=1&after=7");
        watch.beginWatch();
        return watch;
    }

    /** The line of a watch that tells no change; time stands until it has been read. */
    private void beat(Call watch) throws Exception {
        long before = time.scheduled();
        watch.chunk("\n");
        while (time.scheduled() == before) {
            Thread.onSpinWait();
        }
        settle();
    }

    private void assertToldWithin(long millis, long since) {
        assertThat(time.millis() - since).as("milliseconds untold").isLessThanOrEqualTo(millis + STEP);
    }

    /** Refuses calls until the pauses between them are at their longest. */
    private Call refusedForLong(ScriptedDiscovery by) throws Exception {
        Call call = called(by);
        for (int k = 0; k < 8; k++) {
            call.target();
            call.refuse("3600");
            ended(call);
            call = called(by);
        }
        return call;
    }

    @Test
    void dialsRefusedJustBeforeAreMadeAgain() throws Exception {
        here.refuse();
        start(known(), GRACE);
        time.advance(4000);
        long before = time.scheduled();
        while (time.scheduled() == before) {
            time.advance(STEP); // until one has been refused just now
        }
        here.listenAgain();
        long since = time.millis();
        tellDrain(called(here), 8);
        assertToldWithin(PAUSE, since);
    }

    @Test
    void aDialThatNeverComesUpIsGivenUp() throws Exception {
        here.fillQueue();
        start(known(), GRACE);
        here.emptyQueue(); // what was dialed before is lost: nothing of it comes up
        long since = time.millis();
        Call call = called(here);
        tellDrain(call, 8);
        assertToldWithin(DIAL + PAUSE, since);
    }

    @Test
    void aDialThatComesUpAfterItWasGivenUpIsEnded() throws Exception {
        here.fillQueue();
        start(known(), GRACE);
        time.advance(DIAL);
        here.emptyQueue();
        Call late = here.poll();
        while (late == null) {
            late = here.poll(); // the kernel tries again by its own clock
        }
        ended(late);
        Call call = called(here);
        tellDrain(call, 8);
        time.advance(PAUSE);
        assertThat(here.poll()).as("a second call").isNull();
    }

    @Test
    void aLongRetryAfterIsNotHeededBySchedulersThatSend() throws Exception {
        Call watch = watching(GRACE);
        watch.reset();
        Call call = refusedForLong(here);
        call.target();
        call.refuse("3600");
        ended(call);
        long since = time.millis();
        tellDrain(called(here), 8);
        assertToldWithin(PAUSE, since);
    }

    @Test
    void norAfterAMoveWhileTheFormerListIsInUse() throws Exception {
        watching(GRACE);
        client.setAddress(elsewhere.address());
        Call call = refusedForLong(elsewhere);
        call.target();
        call.refuse("3600");
        ended(call);
        long since = time.millis();
        tellDrain(called(elsewhere), 3);
        assertToldWithin(PAUSE, since);
    }

    @Test
    void norWhileTheListKnownFromBeforeIsInUse() throws Exception {
        start(known(), GRACE);
        Call call = called(here); // left unanswered until that list is in use
        while (!knownListUsed) {
            time.advance(STEP);
            Call next = here.poll();
            call = next == null ? call : next;
        }
        call = refusedForLong(here);
        call.target();
        call.refuse("3600");
        ended(call);
        long since = time.millis();
        tellDrain(called(here), 8);
        assertToldWithin(PAUSE, since);
    }

    /** Calls are rare while nothing is sent, and must not stay so once the list known from before is in use. */
    @Test
    void theListKnownFromBeforeIsInUseBehindRefusalsAndIsPutRightSoon() throws Exception {
        start(known(), GRACE);
        Call call = called(here);
        call.target();
        time.advance(ANSWER - STEP);
        while (!knownListUsed) {
            call.refuse("3600");
            ended(call);
            call = null;
            while (call == null && !knownListUsed) {
                time.advance(STEP);
                call = here.poll();
            }
            if (call != null) {
                call.target();
            }
        }
        long since = time.millis();
        if (call == null) {
            call = called(here);
            call.target();
        }
        assertToldWithin(PAUSE, since);
        call.refuse("3600");
        ended(call);
        since = time.millis();
        tellDrain(called(here), 8);
        assertToldWithin(PAUSE, since);
        time.advance(1000); // past the end of the pause that was cut short
        assertThat(here.poll()).as("a second call").isNull();
    }

    @Test
    void aCallLeftUnansweredIsGivenUp() throws Exception {
        start(known(), GRACE);
        Call call = called(here);
        for (int k = 0; k < 8; k++) {
            call.target();
            call = called(here);
        }
        call.target(); // made just before discovery is back, and never answered
        long since = time.millis();
        tellDrain(called(here), 8);
        assertToldWithin(ANSWER + PAUSE, since);
    }

    @Test
    void aLongGraceDoesNotMakeThePausesLong() throws Exception {
        Call watch = watching(60_000_000);
        watch.reset();
        Call call = refusedForLong(here);
        call.target();
        call.refuse("3600");
        ended(call);
        long since = time.millis();
        tellDrain(called(here), 8);
        assertToldWithin(1000, since);
    }

    @Test
    void aWatchThatIsSilentFromItsHeadOnIsOpenedAnew() throws Exception {
        watching(GRACE);
        long since = time.millis();
        tellDrain(called(here), 8);
        assertToldWithin(SILENCE + PAUSE, since);
    }

    @Test
    void aWatchThatFallsSilentLateIsOpenedAnew() throws Exception {
        Call watch = watching(GRACE);
        for (int k = 0; k < 5; k++) {
            time.advance(2000);
            beat(watch);
        }
        long since = time.millis();
        tellDrain(called(here), 8);
        assertToldWithin(SILENCE + PAUSE, since);
    }

    @Test
    void aWatchThatFallsSilentAfterAWholeListIsOpenedAnewAlsoBehindACallThatGoesUnanswered() throws Exception {
        Call watch = watching(GRACE);
        watch.chunk(list(8, true, "Ready"));
        told();
        long since = time.millis();
        assertThat(called(here).target()).isEqualTo("/api/targets?watch=1&after=8");
        tellDrain(called(here), 9);
        assertToldWithin(SILENCE + PAUSE + ANSWER + PAUSE, since);
    }

    @Test
    void aWatchWhoseObjectNeverEndsIsOpenedAnew() throws Exception {
        Call watch = watching(GRACE);
        long since = time.millis();
        watch.chunk("{\"rev\":8,\"all\":true,");
        Call next = here.poll();
        for (int k = 0; next == null && time.millis() - since < 2 * SILENCE; k++) {
            if (k % 50 == 0) {
                watch.chunk("\n  ");
            }
            time.advance(STEP);
            next = here.poll();
        }
        assertThat(next).as("a new call").isNotNull();
        tellDrain(next, 8);
        assertToldWithin(SILENCE + PAUSE, since);
    }

    @Test
    void theListKnownFromBeforeIsNotUsedWhileAListIsComingInPieces() throws Exception {
        start(known(), GRACE);
        Call watch = called(here);
        watch.target();
        long before = time.scheduled();
        String list = list(8, true, "Terminating");
        watch.beginWatch();
        watch.chunk(list.substring(0, list.length() / 2));
        while (time.scheduled() < before + 3) {
            Thread.onSpinWait(); // until head and piece have been read: a limit for each, and one look at what follows
        }
        settle();
        time.advance(SILENCE - STEP);
        assertThat(knownListUsed).isFalse();
        watch.chunk(list.substring(list.length() / 2));
        assertThat(told().entries()).extracting(ServerList.Entry::state).containsExactly(ServerList.State.TERMINATING);
    }

    @Test
    void theListKnownFromBeforeIsUsedWhereAWatchTellsNoChange() throws Exception {
        start(known(), GRACE);
        Call watch = called(here);
        watch.target();
        long before = time.scheduled();
        watch.beginWatch();
        while (time.scheduled() < before + 2) {
            Thread.onSpinWait(); // until the head has been read: its limit, and one look at what follows
        }
        settle();
        time.advance(1000);
        assertThat(knownListUsed).isTrue();
    }

    @Test
    void aWatchThatIsResetIsOpenedAnew() throws Exception {
        Call watch = watching(GRACE);
        beat(watch);
        long before = time.scheduled();
        watch.reset();
        long since = time.millis();
        while (time.scheduled() == before) {
            Thread.onSpinWait(); // until its end is known
        }
        settle();
        tellDrain(called(here), 8);
        assertToldWithin(0, since);
    }

    @Test
    void aWholeListThatComesInPiecesIsReadToItsEnd() throws Exception {
        start(known(), GRACE);
        client.setAddress(elsewhere.address());
        Call call = called(elsewhere);
        assertThat(call.target()).isEqualTo("/api/targets");
        String list = list(3, true, "Terminating").replace(",", ",\n  ");
        int pieces = 6, length = list.length() / pieces;
        call.send("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n");
        for (int k = 0; k < pieces; k++) {
            long before = time.scheduled();
            call.send(list.substring(k * length, k == pieces - 1 ? list.length() : (k + 1) * length));
            while (time.scheduled() == before && told.isEmpty()) {
                Thread.onSpinWait(); // until the piece has been read
            }
            settle();
            if (k < pieces - 1) {
                time.advance(ANSWER - STEP);
            }
        }
        assertThat(told().entries()).extracting(ServerList.Entry::state).containsExactly(ServerList.State.TERMINATING);
        assertThat(elsewhere.poll()).as("a second call").isNull();
    }

    @Test
    void aWholeListThatNeverEndsIsAskedForAnew() throws Exception {
        Call watch = watching(GRACE);
        client.setAddress(elsewhere.address());
        Call call = called(elsewhere);
        call.target();
        call.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        long since = time.millis();
        Call next = elsewhere.poll();
        for (int k = 0; next == null && time.millis() - since < 2 * SILENCE; k++) {
            if (k % 20 == 0) {
                long before = time.scheduled();
                call.chunk(k == 0 ? "{\n" : "  \n");
                while (time.scheduled() == before) {
                    Thread.onSpinWait(); // until the piece has been read
                }
                settle();
                beat(watch); // the former address has no more to tell
            }
            time.advance(STEP);
            next = elsewhere.poll();
        }
        assertThat(next).as("a new call").isNotNull();
        tellDrain(next, 3);
        assertToldWithin(SILENCE + PAUSE, since);
    }

    @Test
    void aMoveDuringADialThatIsStillOpenIsMadeAtOnce() throws Exception {
        here.fillQueue();
        start(known(), GRACE);
        client.setAddress(elsewhere.address());
        long since = time.millis();
        Call call = elsewhere.poll();
        assertThat(call).isNotNull();
        assertThat(call.target()).isEqualTo("/api/targets");
        call.answer(list(3, true, "Terminating"));
        told();
        assertToldWithin(0, since);
        assertThat(call.target()).isEqualTo("/api/targets?watch=1&after=3");
        call.beginWatch();
        time.advance(DIAL); // when the dial to the former address is given up
        assertThat(elsewhere.poll()).as("a second call").isNull();
    }

    @Test
    void aMoveDuringThePauseAfterAFailedCallIsMadeAtOnce() throws Exception {
        start(known(), GRACE);
        Call call = refusedForLong(here);
        call.target();
        call.refuse("3600");
        ended(call);
        client.setAddress(elsewhere.address());
        long since = time.millis();
        Call moved = called(elsewhere);
        tellDrain(moved, 3);
        assertToldWithin(0, since);
    }

    @Test
    void whatTheFormerAddressAnswersAfterAMoveDoesNotHoldUpTheNextCall() throws Exception {
        start(NO_LIST, GRACE);
        Call former = called(here);
        former.target();
        client.setAddress(elsewhere.address());
        Call call = called(elsewhere);
        call.target(); // never answered
        former.refuse("3600");
        ended(former);
        long since = time.millis();
        tellDrain(called(elsewhere), 3);
        assertToldWithin(ANSWER + PAUSE, since);
    }

    @Test
    void aFirstListThatIsSlowToComeIsWaitedForAtLast() throws Exception {
        start(NO_LIST, GRACE);
        long slow = 1500;
        boolean heard = false;
        for (int k = 0; k < 5 && !heard; k++) {
            Call call = called(here);
            call.target();
            for (long left = slow; left > 0; left -= STEP) {
                time.advance(STEP);
            }
            try {
                call.answer(list(3, true, "Ready"));
                heard = call.target().contains("watch");
            } catch (java.io.IOException e) {
                heard = false; // given up before its answer
            }
        }
        assertThat(heard).as("a list was waited for").isTrue();
    }
}
