package barrowshore.servers;

import barrowshore.list.KnownServerList;
import barrowshore.list.ServerList;
import barrowshore.list.ServerList.Update;
import barrowshore.list.ServerList.ZoneKindNames;
import barrowshore.list.ServerListMessage;
import barrowshore.net.ConnectionManager;
import barrowshore.net.HttpLink;
import barrowshore.net.JsonObjectBuffer;
import barrowshore.net.Mailbox;
import barrowshore.wire.Json;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * The actor that follows the server list of service discovery: it reads the full list, then watches for changes. It
 * owns the watch's connection, its timers and the {@link KnownServerList}, and reopens a watch that breaks or falls silent.
 * Every update goes to the listener in order; what another process of this scheduler tells goes there too. The address may
 * change at run time; a revision is never used at another address than the one that sent it.
 */
public final class ServiceDiscovery {
    private static final System.Logger LOG = System.getLogger(ServiceDiscovery.class.getName());
    private static final int MAX_OBJECT_BYTES = 1 << 20;
    /** Longest pause while discovery refuses calls and no list is in use: then no job can go to a wrong server. */
    private static final long MAX_BUSY_PAUSE_MILLIS = 1000;
    /**
     * A watch gets an empty line every 2 s as a heartbeat; without one it has failed silently. It must be reopened well
     * within the 6 s after which the scheduler is deemed informed of any change it missed.
     */
    private static final long SILENCE_TIMEOUT_MILLIS = 3000;
    /** From the call to the last byte of a full list, after which the call is overdue even if more of it keeps arriving. */
    private static final long FULL_LIST_TIMEOUT_MILLIS = 3000;
    /** A call is given up this long after it became overdue: some 6 s after it was made, when its answer comes too late. */
    private static final long KEPT_CALL_MILLIS = 5500;
    /** The oldest open call is kept so much longer, so that a discovery that is slower than that is heard at all. */
    private static final long OLDEST_CALL_MILLIS = 60_000;
    /** Full lists that are read at the same time where they come slowly. */
    private static final int MAX_LIST_READERS = 2;
    /** Caps the configured connect timeout, so that a dial whose packets were lost is soon repeated. */
    private static final long DIAL_TIMEOUT_MILLIS = 1000;
    /** Receives what becomes known; called in this actor's mailbox. */
    @FunctionalInterface
    public interface Listener {
        /** A full list or changes, in order; the first one is a full list. */
        void updated(Update update);

        /**
         * The startup wait is over without an update: the list known by then, perhaps an empty one, is to be used. Not
         * called while a call may still be answered, and later if discovery refuses calls.
         */
        default void startupWaitEnded(Update knownList) {}

        /** Discovery has told something that another process of this scheduler has to know too. */
        default void toldByDiscovery(ServerListMessage message) {}
    }

    private final ConnectionManager connectionManager;
    private final Scheduler timers;
    private final ZoneKindNames names;
    private final Listener listener;
    private final Mailbox mailbox;
    /** Randomizes pauses, so that schedulers restarted together don't call in step. */
    private final SplittableRandom jitter = new SplittableRandom();

    private InetSocketAddress address;
    /** Incremented with each address change; identifies what belongs to an earlier address. */
    private int addressGeneration;
    /** Number of the latest dial; identifies an abandoned one that connects late. */
    private int dialCount;

    private final KnownServerList knownList;
    /** Base of the next pause; 0 after a watch that had been up for a while: then the next call is made at once. */
    private long pauseMillis = DiscoveryTimeouts.MIN_PAUSE;
    /** Connections to the present address whose list is not whole, or whose watch has sent no line yet; oldest first. */
    private final List<Watch> openCalls = new ArrayList<>();
    /** The connection whose end, or whose overdue call, makes the next call due; null once that is due. */
    private Watch currentWatch;
    /** The watch that the startup wait goes on for, as its call may be answered soon; or null. */
    private Watch unansweredWatch;

    private boolean dialing, pausing;
    /** Whether jobs are being sent by some list, whoever told it. */
    private boolean listInUse;

    private final StartupWait startupWait = new StartupWait();
    /** Consecutive calls that became overdue without any answer. */
    private int overdueCalls;

    private DiscoveryTimeouts timeouts;
    /** Whether the last call was answered with another status than 200. */
    private boolean lastCallRefused;
    /** From the last Retry-After header, up to {@link #MAX_BUSY_PAUSE_MILLIS}; 0 if there was none. */
    private long retryAfterMillis;
    /** The watch whose changes are applied: after an address change the former one, until the new one has sent a list. */
    private Watch activeWatch;

    /**
     * Creates the actor; {@link #open} starts it.
     *
     * @param configuredList the list known from before. If it has entries, only changes since are requested, so that
     *     many schedulers starting at once don't each ask an overloaded discovery for the full list.
     * @param graceMicros how long a terminating server may still get new jobs
     */
    public ServiceDiscovery(
            InetSocketAddress address,
            ZoneKindNames names,
            Executor pool,
            ConnectionManager connectionManager,
            Scheduler timers,
            Listener listener,
            Update configuredList,
            long graceMicros) {
        this.knownList = new KnownServerList(address, configuredList);
        this.connectionManager = connectionManager;
        this.timers = timers;
        this.address = address;
        this.names = names;
        this.listener = listener;
        this.mailbox = new Mailbox("the service discovery", pool);
        this.timeouts = DiscoveryTimeouts.of(graceMicros);
    }

    /** Takes over a changed grace period. */
    public void setGrace(long graceMicros) {
        mailbox.post(() -> timeouts = DiscoveryTimeouts.of(graceMicros));
    }

    /** Begins to call discovery; besidePredecessor: an older process of this scheduler serves, and may tell its list. */
    public void open(boolean besidePredecessor) {
        mailbox.post(() -> {
            if (besidePredecessor) {
                startupWait.awaitPredecessor();
                schedule(this::stopAwaitingPredecessor, StartupWait.PREDECESSOR_WAIT_MILLIS);
            }
            dial(addressGeneration);
        });
        schedule(this::endAnswerWait, StartupWait.ANSWER_WAIT_MILLIS);
        schedule(this::endRefusedWait, StartupWait.REFUSED_WAIT_MILLIS);
    }

    /** Posts the message to this actor once the time is over. */
    private void schedule(Runnable message, long millis) {
        timers.schedule(() -> mailbox.post(message), millis, TimeUnit.MILLISECONDS);
    }

    private void endAnswerWait() {
        startupWait.answerWaitIsOver();
        if (unansweredWatch != null) {
            unansweredWatch.readAvailable();
        }
        endStartupWaitIfDue();
    }

    private void endRefusedWait() {
        startupWait.refusedWaitIsOver();
        boolean wasInUse = listInUse;
        endStartupWaitIfDue();
        if (pausing && listInUse && !wasInUse) {
            dial(addressGeneration); // a pause set while no list was in use may be too long now
        }
    }

    private void endStartupWaitIfDue() {
        if (startupWait.endIfDue(dialing || unansweredWatch != null)) {
            listInUse |= knownList.hasList();
            listener.startupWaitEnded(knownList.whole());
        }
    }

    private void stopAwaitingPredecessor() {
        startupWait.stopAwaitingPredecessor();
        endStartupWaitIfDue();
    }

    /** The older process of this scheduler has ended. */
    public void predecessorEnded() {
        mailbox.post(this::stopAwaitingPredecessor);
    }

    /** Another process of this scheduler has told its list, or changes of it; fromPredecessor: it is the older one. */
    public void receiveFromOtherProcess(ServerListMessage message, boolean fromPredecessor) {
        mailbox.post(() -> {
            startupWait.noteToldByOtherProcess();
            if (knownList.applyFromOtherProcess(message) && (listInUse || startupWait.hasEnded())) {
                listInUse = true;
                listener.updated(knownList.takeNews(message.update()));
            }
            if (fromPredecessor && message.update().full()) {
                stopAwaitingPredecessor();
            }
        });
    }

    /**
     * Uses a list that an earlier process of this scheduler has saved, as far as it is from the present address and later
     * than the configured one; to be called before {@link #open}.
     */
    public void useSavedList(List<ServerListMessage> savedList) {
        mailbox.post(() -> savedList.stream()
                .filter(message -> message.source().equals(address))
                .forEach(knownList::applyFromOtherProcess));
    }

    /** Passes the list known at present to the consumer, in this actor's mailbox, unless none is known. */
    public void tellWholeList(Consumer<ServerListMessage> consumer) {
        mailbox.post(() -> knownList.wholeMessage().ifPresent(consumer));
    }

    /**
     * Switches to discovery at another address. The former watch stays active until the new address has sent its list,
     * which is read in full, since revisions of different addresses aren't comparable.
     */
    public void setAddress(InetSocketAddress newAddress) {
        mailbox.post(() -> {
            if (!newAddress.equals(address)) {
                address = newAddress;
                addressGeneration++;
                leaveFormerAddress();
                knownList.setAddress(newAddress);
                pauseMillis = 0;
                dial(addressGeneration);
            }
        });
    }

    /** Closes all connections but the one whose changes are applied until the new address has sent its list. */
    private void leaveFormerAddress() {
        if (currentWatch != null && !openCalls.contains(currentWatch)) {
            currentWatch.makeActive();
        }
        currentWatch = null;
        unansweredWatch = null;
        openCalls.remove(activeWatch);
        List.copyOf(openCalls).forEach(Watch::closeNow);
    }

    private void dial(int generation) {
        if (generation != addressGeneration) {
            return;
        }
        dialing = true;
        pausing = false;
        int dialNumber = ++dialCount;
        schedule(() -> handleDialFailure(dialNumber), DIAL_TIMEOUT_MILLIS);
        boolean started = connectionManager.dial(address, 0, new ConnectionManager.DialHandler() {
            @Override
            public Connection apply(EndPoint endPoint) {
                return new Watch(endPoint, generation, dialNumber);
            }

            @Override
            public void onDialFailed(Throwable cause) {
                mailbox.post(() -> handleDialFailure(dialNumber));
            }
        });
        if (!started) {
            if (!openCalls.isEmpty()) {
                openCalls.get(0).closeNow(); // leaves its descriptor to the next call
            }
            handleDialFailure(dialNumber);
        }
    }

    /** Schedules the next dial, unless this one has connected or failed already. */
    private void handleDialFailure(int dialNumber) {
        if (dialing && dialNumber == dialCount) {
            scheduleNextDial(addressGeneration);
        }
    }

    private void scheduleNextDial(int generation) {
        if (generation == addressGeneration) {
            dialing = false;
            endStartupWaitIfDue();
            // Wait between one and two pauses, so that schedulers don't call an overloaded discovery in step. With a
            // list
            // in use the wait stays short even if refused: the scheduler is deemed informed of changes all the same.
            long maxWaitMillis = lastCallRefused && !listInUse ? MAX_BUSY_PAUSE_MILLIS : timeouts.maxPause();
            pauseMillis = Math.min(pauseMillis, maxWaitMillis);
            long waitMillis =
                    Math.max(Math.min(retryAfterMillis, maxWaitMillis), pauseMillis + jitter.nextLong(pauseMillis + 1));
            pauseMillis = Math.max(DiscoveryTimeouts.MIN_PAUSE, Math.min(maxWaitMillis, pauseMillis * 2));
            retryAfterMillis = 0;
            lastCallRefused = false;
            if (waitMillis == 0) {
                dial(generation);
            } else {
                pausing = true;
                int dialNumber = dialCount;
                schedule(
                        () -> {
                            if (dialNumber == dialCount) {
                                dial(generation);
                            }
                        },
                        waitMillis);
            }
        }
    }

    /**
     * Makes the connection the current one, and abandons a dial or a pause that is under way. Calls without the head of an
     * answer are closed; those with one may still be the first to bring a list or a line.
     */
    private void adopt(Watch answered) {
        overdueCalls = 0;
        currentWatch = answered;
        dialing = false;
        pausing = false;
        dialCount++;
        for (Watch call : List.copyOf(openCalls)) {
            if (!call.answered) {
                call.closeNow();
            }
        }
    }

    /** The connection has brought a whole list or a watch's first line: no other one is needed. */
    private void confirm(Watch confirmed) {
        if (openCalls.remove(confirmed)) {
            confirmed.overdue = false;
            adopt(confirmed);
            List.copyOf(openCalls).forEach(Watch::closeNow);
        }
    }

    private boolean isEnoughListsRead() {
        long listReaders = openCalls.stream()
                .filter(call -> call.answered && call.readingFullList)
                .count();
        return listReaders >= MAX_LIST_READERS;
    }

    /** A connection that watches for changes; without a base list it first requests the full list. */
    private final class Watch extends HttpLink implements HttpParser.ResponseHandler {
        private final int generation, dialNumber;
        private final JsonObjectBuffer objectBuffer = new JsonObjectBuffer(MAX_OBJECT_BYTES);
        private boolean readingFullList, refused;
        /** Whether the head of an answer with a list has come to the last call. */
        private boolean answered;
        /** Whether the last call is overdue, and whether it is kept for as long as the oldest one may be. */
        private boolean overdue, keptAsOldest;

        private int callCount;
        private int timeLimitCount;
        /** Where this connection leads. */
        private final InetSocketAddress source = address;
        /** The last revision that came here, or that the call has named; {@link Long#MIN_VALUE}: none. */
        private long lastRevision = Long.MIN_VALUE;

        Watch(EndPoint endPoint, int generation, int dialNumber) {
            super(endPoint, ServiceDiscovery.this.mailbox, timers);
            this.generation = generation;
            this.dialNumber = dialNumber;
            parser = withoutFieldCache(new HttpParser((HttpParser.ResponseHandler) this, MAX_HEADER_BYTES));
        }

        @Override
        protected void onConnected() {
            if (generation != addressGeneration || !dialing || dialNumber != dialCount) {
                closeNow(); // the address changed or the dial was abandoned in the meantime
                return;
            }
            dialing = false;
            sendCall();
            read();
        }

        /** Reads what has arrived but not been processed yet. */
        private void readAvailable() {
            read();
        }

        /** Restarts the time limit after a sign of life from discovery; an overdue call has a limit of its own. */
        private void renewTimeLimit() {
            if (!overdue) {
                setTimeLimit(readingFullList ? timeouts.answerTimeout() : SILENCE_TIMEOUT_MILLIS);
            }
        }

        /** A full list keeps arriving but hasn't ended in time. */
        private void checkFullList(int callNumber) {
            if (isReadingCall(callNumber)) {
                read();
                if (isReadingCall(callNumber)) {
                    becomeOverdue();
                }
            }
        }

        private boolean isReadingCall(int callNumber) {
            return readingFullList && !overdue && !isClosed() && callNumber == callCount;
        }

        /** Makes the next call due, and keeps this connection open, since its answer may still come. */
        private void becomeOverdue() {
            overdue = true;
            unansweredWatch = unansweredWatch == this ? null : unansweredWatch;
            boolean kept = answered || timeouts.keepsCallAfter(overdueCalls);
            overdueCalls += answered ? 0 : 1;
            if (!kept) {
                closeNow();
                return;
            }
            if (answered && readingFullList && isEnoughListsRead()) {
                setTimeLimit(FULL_LIST_TIMEOUT_MILLIS); // and only then the next call
            } else {
                setTimeLimit(KEPT_CALL_MILLIS);
                makeNextCallDue();
            }
        }

        private void makeNextCallDue() {
            if (currentWatch == this) {
                currentWatch = null;
                scheduleNextDial(generation);
            }
        }

        /** Gives an overdue call up, unless all others that are open were made later. */
        private void giveUp() {
            if (openCalls.get(0) == this && !keptAsOldest) {
                keptAsOldest = true;
                setTimeLimit(OLDEST_CALL_MILLIS);
                makeNextCallDue();
            } else {
                closeNow();
            }
        }

        /** The call has been answered, or needs no further answer. */
        private void markAnswered() {
            if (unansweredWatch == this) {
                unansweredWatch = null;
                endStartupWaitIfDue();
            }
        }

        /** An open watch that sends no change confirms the known list, unless a change has arrived but is still unread. */
        private void markAnsweredIfUnchanged() {
            if (unansweredWatch == this) {
                read();
                if (!objectBuffer.isOpen()) {
                    markAnswered();
                }
            }
        }

        /** Ends what the limit is for, unless reading what has arrived so far sets a new one. */
        @Override
        protected void onTimeLimit() {
            int countBefore = timeLimitCount;
            read();
            if (timeLimitCount != countBefore) {
                return;
            }
            if (!openCalls.contains(this)) {
                closeNow(); // a watch that has fallen silent, or one of a former address
            } else if (overdue) {
                giveUp();
            } else {
                becomeOverdue();
            }
        }

        @Override
        protected void setTimeLimit(long millis) {
            timeLimitCount++;
            super.setTimeLimit(millis);
        }

        private void sendCall() {
            Optional<Long> baseRevision = knownList.baseRevision();
            readingFullList = baseRevision.isEmpty();
            lastRevision = baseRevision.orElse(Long.MIN_VALUE);
            answered = false;
            overdue = false;
            keptAsOldest = false;
            unansweredWatch = this;
            currentWatch = this;
            openCalls.add(this);
            setTimeLimit(timeouts.answerTimeout(overdueCalls, listInUse || knownList.hasList()));
            int callNumber = ++callCount;
            if (readingFullList) {
                schedule(() -> checkFullList(callNumber), FULL_LIST_TIMEOUT_MILLIS);
            }
            HttpFields.Mutable fields =
                    HttpFields.build().add(HttpHeader.HOST, address.getHostString() + ":" + address.getPort());
            String target = readingFullList ? "/api/targets" : "/api/targets?watch=1&after=" + lastRevision;
            write(
                    new MetaData.Request("GET", HttpURI.from(target), HttpVersion.HTTP_1_1, fields, 0),
                    new byte[0],
                    () -> {});
        }

        @Override
        public void startResponse(HttpVersion version, int status, String reason) {
            persistent = version == HttpVersion.HTTP_1_1;
            refused = status != 200;
            if (generation != addressGeneration) {
                overdue = false;
                renewTimeLimit();
                return; // the status of a former address says nothing about this one
            }
            lastCallRefused = refused;
            if (refused) {
                overdueCalls = 0;
                startupWait.noteRefused();
                LOG.log(
                        Level.WARNING,
                        "discovery answered {0}: asked again; a start does not use the list known from before yet",
                        status);
            } else {
                beginAnswer();
            }
            renewTimeLimit();
        }

        private void beginAnswer() {
            answered = true;
            overdue = false;
            unansweredWatch = this;
            adopt(this);
            if (!readingFullList) {
                schedule(this::markAnsweredIfUnchanged, timeouts.answerTimeout());
            }
        }

        @Override
        public void parsedHeader(HttpField field) {
            super.parsedHeader(field);
            if (refused && generation == addressGeneration && field.getHeader() == HttpHeader.RETRY_AFTER) {
                try {
                    retryAfterMillis = Math.min(
                            MAX_BUSY_PAUSE_MILLIS,
                            Math.max(0, Long.parseLong(field.getValue().trim()) * 1000));
                } catch (NumberFormatException e) {
                    retryAfterMillis = 0; // a date or invalid: the back-off decides
                }
            }
        }

        @Override
        public boolean headerComplete() {
            if (refused) {
                mailbox.post(this::closeNow);
            }
            return false;
        }

        @Override
        public boolean content(ByteBuffer bytes) {
            if (!readingFullList && generation == addressGeneration) {
                confirm(this);
            }
            // In a watch, parts of an unfinished object don't renew the limit: the object might never end.
            // In a full list every part does; the list as a whole has its own limit.
            if (readingFullList || !objectBuffer.isOpen()) {
                renewTimeLimit();
            }
            if (activeWatch == this) {
                pauseMillis = 0; // only after the first list, lest a watch that ends right there reopen in a loop
            }
            try {
                objectBuffer.add(bytes, this::handleObject);
                if (!objectBuffer.isOpen()) {
                    markAnswered();
                }
            } catch (IllegalArgumentException e) {
                closeOnInvalidList(e);
            }
            return false;
        }

        private void handleObject(String object) {
            boolean isFormer = generation != addressGeneration;
            if (isClosed() || isFormer && (this != activeWatch || !knownList.isFrom(source))) {
                return;
            }
            try {
                Update update = ServerList.parse((Map<?, ?>) Json.parse(object), names);
                if (!update.unknownServers().isEmpty()) {
                    LOG.log(
                            Level.WARNING,
                            "servers of an unknown model, left out: {0}",
                            String.join(", ", update.unknownServers()));
                }
                apply(readingFullList ? update.asFull() : update);
            } catch (IllegalArgumentException | ClassCastException e) {
                closeOnInvalidList(e);
            }
        }

        private void apply(Update update) {
            boolean isCurrent = generation == addressGeneration;
            if (isCurrent && knownList.isInvalidatedBy(update, lastRevision)) {
                knownList.requireWholeList();
                closeNow();
                return;
            }
            long baseRevision = update.full() ? update.revision() : lastRevision;
            ServerListMessage message = new ServerListMessage(source, baseRevision, update);
            if (knownList.applyFromDiscovery(source, update, lastRevision)) {
                listener.updated(knownList.takeNews(update));
                listener.toldByDiscovery(message);
            } else {
                knownList.takeUntold().ifPresent(listener::updated);
            }
            lastRevision = update.revision();
            listInUse = true;
            if (isCurrent) {
                pauseMillis = Math.min(pauseMillis, DiscoveryTimeouts.MIN_PAUSE);
                makeActive();
            }
        }

        /** Closes the connection; the next watch starts from the last valid revision, so that nothing is skipped. */
        private void closeOnInvalidList(RuntimeException cause) {
            if (!isClosed()) {
                LOG.log(Level.WARNING, "discovery sent what is no list: {0}", cause.getMessage());
                closeNow();
            }
        }

        private void makeActive() {
            Watch previous = activeWatch;
            activeWatch = this;
            if (previous != null && previous != this) {
                previous.closeNow();
            }
        }

        @Override
        public boolean messageComplete() {
            if (readingFullList
                    && knownList.baseRevision().isPresent()
                    && persistent
                    && generation == addressGeneration) {
                parser.reset();
                confirm(this);
                sendCall();
            } else {
                mailbox.post(this::closeNow);
            }
            return true;
        }

        @Override
        protected void onClosed(Throwable cause) {
            activeWatch = activeWatch == this ? null : activeWatch;
            unansweredWatch = unansweredWatch == this ? null : unansweredWatch;
            openCalls.remove(this);
            makeNextCallDue();
        }
    }
}
