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
    private static final long MIN_PAUSE_MILLIS = 50;
    /**
     * Fractions of the grace period, which is how long a terminating server may still get new jobs. Once discovery is back
     * after an outage, the scheduler is deemed informed of all that it knows. So within the grace period a call made just
     * before its return must time out, and the next be made and answered.
     */
    private static final long MAX_PAUSE_GRACE_DIVISOR = 10, ANSWER_TIMEOUT_GRACE_DIVISOR = 4;
    /** Upper bound however long the grace period: the scheduler is deemed informed 6 s after discovery has a change. */
    private static final long MAX_PAUSE_MILLIS = 500;
    /** Longest pause while discovery refuses calls and no list is in use: then no job can go to a wrong server. */
    private static final long MAX_BUSY_PAUSE_MILLIS = 1000;
    /**
     * A watch gets an empty line every 2 s as a heartbeat; without one it has failed silently. It must be reopened well
     * within the 6 s after which the scheduler is deemed informed of any change it missed.
     */
    private static final long SILENCE_TIMEOUT_MILLIS = 3000;
    /**
     * Bounds on the wait for an answer. The discovery agent answers at once or is unavailable. The wait is short because a
     * call made during an outage may stay unanswered after it, when the scheduler is already deemed informed.
     */
    private static final long MAX_ANSWER_TIMEOUT_MILLIS = 500, MIN_ANSWER_TIMEOUT_MILLIS = 100;
    /**
     * How often the answer timeout may double after unanswered calls while there is no list at all. Then no job can go to a
     * wrong server, and a slow discovery must not have every call abandoned just before its answer.
     */
    private static final int MAX_ANSWER_TIMEOUT_DOUBLINGS = 2;
    /** From the call to the last byte of a full list, even if more of it keeps arriving. */
    private static final long FULL_LIST_TIMEOUT_MILLIS = 3000;
    /** Caps the configured connect timeout, so that a dial whose packets were lost is soon repeated. */
    private static final long DIAL_TIMEOUT_MILLIS = 1000;
    /** How long a starting scheduler waits for discovery before it falls back to the list from its previous run. */
    private static final long STARTUP_WAIT_MILLIS = 1000;
    /**
     * The same while discovery answers without a list. It is up, so the scheduler may be deemed informed of what it knows;
     * but it gives the list to nobody, and a scheduler that never gets ready serves nobody.
     */
    private static final long BUSY_STARTUP_WAIT_MILLIS = 4000;
    /**
     * How long a process that starts beside an older one of the same scheduler waits for the list of that one. It must serve
     * within 6 s, its JVM's start included, also where the older one hangs or is of a version that tells no list.
     */
    private static final long PREDECESSOR_WAIT_MILLIS = 3000;

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
    private long pauseMillis = MIN_PAUSE_MILLIS;
    /** The watch whose call to the present address is still unanswered, or null. */
    private Watch unansweredWatch;

    private boolean dialing, pausing;
    /** Whether jobs are being sent by some list, whoever told it. */
    private boolean listInUse;
    /** Whether an older process of this scheduler may still tell its list. */
    private boolean awaitingPredecessor;
    /** Whether another process of this scheduler has told its list. */
    private boolean toldByOtherProcess;
    /** Consecutive calls that timed out without any answer. */
    private int unansweredCalls;

    private long answerTimeoutMillis, maxPauseMillis;
    /** Whether the last call, or any so far, was answered with another status than 200. */
    private boolean lastCallRefused, everRefused;
    /** Whether the startup waits are over; the first is cleared again once the listener has been told. */
    private boolean startupWaitOver, busyStartupWaitOver;
    /** Whether {@link Listener#startupWaitEnded} has been called. */
    private boolean startupWaitEnded;
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
        deriveTimeouts(graceMicros);
    }

    private void deriveTimeouts(long graceMicros) {
        answerTimeoutMillis = Math.min(
                MAX_ANSWER_TIMEOUT_MILLIS,
                Math.max(MIN_ANSWER_TIMEOUT_MILLIS, graceMicros / 1000 / ANSWER_TIMEOUT_GRACE_DIVISOR));
        maxPauseMillis =
                Math.min(MAX_PAUSE_MILLIS, Math.max(MIN_PAUSE_MILLIS, graceMicros / 1000 / MAX_PAUSE_GRACE_DIVISOR));
    }

    /** Takes over a changed grace period. */
    public void setGrace(long graceMicros) {
        mailbox.post(() -> deriveTimeouts(graceMicros));
    }

    /** Begins to call discovery; besidePredecessor: an older process of this scheduler serves, and may tell its list. */
    public void open(boolean besidePredecessor) {
        mailbox.post(() -> {
            awaitingPredecessor = besidePredecessor;
            dial(addressGeneration);
        });
        if (besidePredecessor) {
            timers.schedule(
                    () -> mailbox.post(this::stopAwaitingPredecessor), PREDECESSOR_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        }
        timers.schedule(
                () -> mailbox.post(() -> {
                    startupWaitOver = true;
                    if (unansweredWatch != null) {
                        unansweredWatch.readAvailable();
                    }
                    endStartupWaitIfDue();
                }),
                STARTUP_WAIT_MILLIS,
                TimeUnit.MILLISECONDS);
        timers.schedule(
                () -> mailbox.post(() -> {
                    busyStartupWaitOver = true;
                    boolean wasInUse = listInUse;
                    endStartupWaitIfDue();
                    if (pausing && listInUse && !wasInUse) {
                        dial(addressGeneration); // a pause set while no list was in use may be too long now
                    }
                }),
                BUSY_STARTUP_WAIT_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Ends the startup wait, but not while a call is unanswered: a starting process short of processor time could
     * otherwise fall back to an outdated list although the answer is already in its socket buffer. Nor while an older
     * process may still tell its list, which may be a later one than that of the configuration.
     */
    private void endStartupWaitIfDue() {
        boolean busyWaitOver = !everRefused || busyStartupWaitOver || toldByOtherProcess;
        if (startupWaitOver && unansweredWatch == null && !dialing && busyWaitOver && !awaitingPredecessor) {
            startupWaitOver = false;
            startupWaitEnded = true;
            listInUse |= knownList.hasList();
            listener.startupWaitEnded(knownList.whole());
        }
    }

    /** The older process has told its list, has ended, or has not told it in time. */
    private void stopAwaitingPredecessor() {
        awaitingPredecessor = false;
        endStartupWaitIfDue();
    }

    /** The older process of this scheduler has ended. */
    public void predecessorEnded() {
        mailbox.post(this::stopAwaitingPredecessor);
    }

    /** Another process of this scheduler has told its list, or changes of it; fromPredecessor: it is the older one. */
    public void receiveFromOtherProcess(ServerListMessage message, boolean fromPredecessor) {
        mailbox.post(() -> {
            toldByOtherProcess = true;
            if (knownList.applyFromOtherProcess(message) && (listInUse || startupWaitEnded)) {
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
                unansweredWatch = null;
                knownList.setAddress(newAddress);
                pauseMillis = 0;
                dial(addressGeneration);
            }
        });
    }

    private void dial(int generation) {
        if (generation != addressGeneration) {
            return;
        }
        dialing = true;
        pausing = false;
        int dialNumber = ++dialCount;
        timers.schedule(
                () -> mailbox.post(() -> handleDialFailure(dialNumber)), DIAL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
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
            handleDialFailure(dialNumber);
        }
    }

    /** Schedules the next dial, unless this one has connected or failed already. */
    private void handleDialFailure(int dialNumber) {
        if (dialing && dialNumber == dialCount) {
            scheduleNextDial(addressGeneration);
        }
    }

    private long nextAnswerTimeoutMillis() {
        boolean hasNoList = !listInUse && !knownList.hasList();
        return hasNoList
                ? answerTimeoutMillis << Math.min(unansweredCalls, MAX_ANSWER_TIMEOUT_DOUBLINGS)
                : answerTimeoutMillis;
    }

    private void scheduleNextDial(int generation) {
        if (generation == addressGeneration) {
            dialing = false;
            endStartupWaitIfDue();
            // Wait between one and two pauses, so that schedulers don't call an overloaded discovery in step. With a
            // list
            // in use the wait stays short even if refused: the scheduler is deemed informed of changes all the same.
            long maxWaitMillis = lastCallRefused && !listInUse ? MAX_BUSY_PAUSE_MILLIS : maxPauseMillis;
            pauseMillis = Math.min(pauseMillis, maxWaitMillis);
            long waitMillis =
                    Math.max(Math.min(retryAfterMillis, maxWaitMillis), pauseMillis + jitter.nextLong(pauseMillis + 1));
            pauseMillis = Math.max(MIN_PAUSE_MILLIS, Math.min(maxWaitMillis, pauseMillis * 2));
            retryAfterMillis = 0;
            lastCallRefused = false;
            if (waitMillis == 0) {
                dial(generation);
            } else {
                pausing = true;
                int dialNumber = dialCount;
                timers.schedule(
                        () -> mailbox.post(() -> {
                            if (dialNumber == dialCount) {
                                dial(generation);
                            }
                        }),
                        waitMillis,
                        TimeUnit.MILLISECONDS);
            }
        }
    }

    /** A connection that watches for changes; without a base list it first requests the full list. */
    private final class Watch extends HttpLink implements HttpParser.ResponseHandler {
        private final int generation, dialNumber;
        private final JsonObjectBuffer objectBuffer = new JsonObjectBuffer(MAX_OBJECT_BYTES);
        private boolean readingFullList, refused, abandoned;
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
                abandoned = true;
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

        /** Restarts the time limit after a sign of life from discovery. */
        private void renewTimeLimit() {
            setTimeLimit(readingFullList ? answerTimeoutMillis : SILENCE_TIMEOUT_MILLIS);
        }

        /** Closes the connection if its full list keeps arriving but hasn't ended in time. */
        private void abortFullList(int callNumber) {
            if (readingFullList && callNumber == callCount) {
                read();
                if (readingFullList && callNumber == callCount) {
                    closeNow();
                }
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

        /** Closes the connection unless reading what has arrived so far sets a new limit. */
        @Override
        protected void onTimeLimit() {
            int countBefore = timeLimitCount;
            read();
            if (timeLimitCount == countBefore) {
                if (unansweredWatch == this) {
                    unansweredCalls++;
                }
                closeNow();
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
            unansweredWatch = this;
            setTimeLimit(nextAnswerTimeoutMillis());
            int callNumber = ++callCount;
            if (readingFullList) {
                timers.schedule(
                        () -> mailbox.post(() -> abortFullList(callNumber)),
                        FULL_LIST_TIMEOUT_MILLIS,
                        TimeUnit.MILLISECONDS);
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
            renewTimeLimit();
            if (generation != addressGeneration) {
                return; // the status of a former address says nothing about this one
            }
            unansweredCalls = 0;
            lastCallRefused = refused;
            if (!refused && !readingFullList) {
                timers.schedule(
                        () -> mailbox.post(this::markAnsweredIfUnchanged), answerTimeoutMillis, TimeUnit.MILLISECONDS);
            }
            if (refused) {
                everRefused = true;
                LOG.log(
                        Level.WARNING,
                        "discovery answered {0}: asked again; a start does not use the list known from before yet",
                        status);
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
            if (isClosed() || generation != addressGeneration && this != activeWatch) {
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
                pauseMillis = Math.min(pauseMillis, MIN_PAUSE_MILLIS);
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
            if (!abandoned) {
                scheduleNextDial(generation);
            }
        }
    }
}
