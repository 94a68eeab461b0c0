package barrowshore.servers;

import barrowshore.list.ServerList;
import barrowshore.list.ServerList.Update;
import barrowshore.list.ServerList.ZoneKindNames;
import barrowshore.net.ConnectionManager;
import barrowshore.net.HttpLink;
import barrowshore.net.JsonObjectBuffer;
import barrowshore.net.Mailbox;
import barrowshore.wire.Json;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Map;
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
 * The service discovery: discovery's list of servers, followed by a watch that is reopened whenever it breaks or falls
 * silent, at an address that may change while it runs. An actor; it owns the watch's connection, its timers and the
 * version of the list last heard. It must never judge a server: what it reads goes on to the module actor whole,
 * in order, and it must never ask one address for what has changed since another's version.
 */
public final class ServiceDiscovery {
    private static final System.Logger LOG = System.getLogger(ServiceDiscovery.class.getName());
    private static final int MAX_OBJECT_BYTES = 1 << 20;
    private static final long MIN_PAUSE_MILLIS = 50;
    /**
     * Shares of the time after which nothing new may go to a server that leaves: what discovery has after a silence counts
     * as told at once, and a call made just before its return is given up, the next made, and its answer taken, within it.
     */
    private static final long MAX_PAUSE_GRACE_DIVISOR = 10, ANSWER_TIMEOUT_GRACE_DIVISOR = 4;
    /** The longest pause where that time is long: what discovery has counts as told 6 s later, whatever the settings say. */
    private static final long MAX_PAUSE_MILLIS = 500;
    /** The same where discovery is up but gives no list, and while we have none either: then no server is at risk. */
    private static final long MAX_BUSY_PAUSE_MILLIS = 1000;
    /**
     * An empty line comes every 2 s; one that is missed is a watch that fell silent. It has to be noticed and opened anew
     * well within the 6 s after which what it missed counts as told.
     */
    private static final long SILENCE_TIMEOUT_MILLIS = 3000;
    /**
     * The agent answers at once, or else discovery is silent just now. Short, since a call made while it was silent may
     * stay unanswered once it is back, and from then on all that it has counts as told.
     */
    private static final long MAX_ANSWER_TIMEOUT_MILLIS = 500, MIN_ANSWER_TIMEOUT_MILLIS = 100;
    /**
     * How often that is doubled, call after call without a word, while there is no list at all: then no server is at risk,
     * and a discovery that is slow to answer everybody must not have each call given up before its answer.
     */
    private static final int MAX_ANSWER_TIMEOUT_DOUBLINGS = 2;
    /** How long the whole list may take from the call to its last byte, as long as more of it keeps coming. */
    private static final long FULL_LIST_TIMEOUT_MILLIS = 3000;
    /** How long a dial may take where the settings let connections take longer: a connect that was lost is made anew. */
    private static final long DIAL_TIMEOUT_MILLIS = 1000;
    /** How long a start waits for discovery before the list known from before will do. */
    private static final long STARTUP_WAIT_MILLIS = 1000;
    /**
     * The same where discovery answers, but with no list. It is up, so what it has may count as told; but it gives its list
     * to nobody, and a scheduler that is never ready serves nobody.
     */
    private static final long BUSY_STARTUP_WAIT_MILLIS = 4000;

    private final ConnectionManager connectionManager;
    private final Scheduler timers;
    private final ZoneKindNames names;
    private final Consumer<Update> listener;
    private final Runnable onNoNewList;
    private final Mailbox mailbox;
    /** Draws each pause: processes restarted together must not ask again in step. */
    private final SplittableRandom jitter = new SplittableRandom();

    private InetSocketAddress address;
    /** Counts the addresses: what belongs to an earlier one is told by it. */
    private int addressGeneration;
    /** Counts the dials: one that was given up may still come up. */
    private int dialCount;
    /** Whether we have a list that this address counts from; until then its versions mean nothing to us. */
    private boolean hasBaseList;

    private long revision;
    /** The list that the process was started with, until a list is heard; null then. What comes first changes it. */
    private Update previousList;
    /** 0: the next call is made at once, since the watch before it had been up for a while. */
    private long pauseMillis = MIN_PAUSE_MILLIS;
    /** Whether a call at the present address is out that has had no word yet. */
    private Watch unansweredWatch;

    /** Whether a dial is under way, or the next one waits for the end of a pause. */
    private boolean dialing, pausing;
    /** Whether the process was started with a list known from before. */
    private final boolean startedWithPreviousList;
    /** Whether jobs are sent by a list, of whatever address or known from before. */
    private boolean listInUse;
    /** How many calls on end have been given up without a word. */
    private int unansweredCalls;
    /** How long a call may go without a word, and the longest that the next one waits after it. */
    private long answerTimeoutMillis, maxPauseMillis;
    /** Whether the last call was answered with no list, and whether any was before the first list. */
    private boolean lastCallRefused, everRefused;
    /** Whether a start has waited long enough for a first list, and also for one from a discovery that is busy. */
    private boolean startupWaitOver, busyStartupWaitOver;
    /** What discovery asked for in a Retry-After, up to the longest pause; 0: nothing. */
    private long retryAfterMillis;
    /** The watch whose changes count; it may be of the former address until the present one has told its list. */
    private Watch activeWatch;

    /**
     * known: the list as this scheduler had it last. Where it has entries, only what has changed since is asked for: many
     * processes that start at once must not each ask an overbooked discovery for all of it. silent: discovery has told no
     * list for a while, or has said nothing against the known list: that will do. Called only where no call is out that
     * may yet be answered, and later where discovery answers, but with no list.
     */
    public ServiceDiscovery(
            InetSocketAddress address,
            ZoneKindNames names,
            Executor pool,
            ConnectionManager connectionManager,
            Scheduler timers,
            Consumer<Update> listener,
            Runnable onNoNewList,
            Update previousList,
            long graceMicros) {
        this.startedWithPreviousList = !previousList.entries().isEmpty();
        this.previousList = startedWithPreviousList ? previousList : null;
        this.hasBaseList = this.previousList != null;
        this.revision = previousList.revision();
        this.onNoNewList = onNoNewList;
        this.connectionManager = connectionManager;
        this.timers = timers;
        this.address = address;
        this.names = names;
        this.listener = listener;
        this.mailbox = new Mailbox("the service discovery", pool);
        deriveTimeouts(graceMicros);
    }

    /** How soon, in microseconds, nothing new may go to a server that is told to leave. */
    private void deriveTimeouts(long graceMicros) {
        answerTimeoutMillis = Math.min(
                MAX_ANSWER_TIMEOUT_MILLIS,
                Math.max(MIN_ANSWER_TIMEOUT_MILLIS, graceMicros / 1000 / ANSWER_TIMEOUT_GRACE_DIVISOR));
        maxPauseMillis =
                Math.min(MAX_PAUSE_MILLIS, Math.max(MIN_PAUSE_MILLIS, graceMicros / 1000 / MAX_PAUSE_GRACE_DIVISOR));
    }

    /** Settings have changed; grace as at the start. */
    public void setGrace(long graceMicros) {
        mailbox.post(() -> deriveTimeouts(graceMicros));
    }

    public void open() {
        mailbox.post(() -> dial(addressGeneration));
        timers.schedule(
                () -> mailbox.post(() -> {
                    startupWaitOver = true;
                    if (unansweredWatch != null) {
                        unansweredWatch.readAvailable();
                    }
                    reportNoNewListIfDue();
                }),
                STARTUP_WAIT_MILLIS,
                TimeUnit.MILLISECONDS);
        timers.schedule(
                () -> mailbox.post(() -> {
                    busyStartupWaitOver = true;
                    boolean wasInUse = listInUse;
                    reportNoNewListIfDue();
                    if (pausing && listInUse && !wasInUse) {
                        dial(addressGeneration); // the pause was that of a scheduler that sends nothing
                    }
                }),
                BUSY_STARTUP_WAIT_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Guards the rule on what counts as told: a start that is short of processor time once took a list from before for
     * the present one, though the answer lay in its socket.
     */
    private void reportNoNewListIfDue() {
        if (startupWaitOver && unansweredWatch == null && !dialing && (!everRefused || busyStartupWaitOver)) {
            startupWaitOver = false;
            listInUse |= startedWithPreviousList;
            onNoNewList.run();
        }
    }

    /**
     * Discovery is elsewhere from now on. The former watch is heard until the new address has told its list, which is
     * another history: it is taken whole, since a version of the one says nothing about the other.
     */
    public void setAddress(InetSocketAddress newAddress) {
        mailbox.post(() -> {
            if (!newAddress.equals(address)) {
                address = newAddress;
                addressGeneration++;
                unansweredWatch = null;
                hasBaseList = false;
                previousList = null;
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

    /** A dial has failed or was given up; not so one that has come up, or was given up before. */
    private void handleDialFailure(int dialNumber) {
        if (dialing && dialNumber == dialCount) {
            scheduleNextDial(addressGeneration);
        }
    }

    /** How long the next call may go without a word. */
    private long nextAnswerTimeoutMillis() {
        boolean hasNoList = !listInUse && previousList == null;
        return hasNoList
                ? answerTimeoutMillis << Math.min(unansweredCalls, MAX_ANSWER_TIMEOUT_DOUBLINGS)
                : answerTimeoutMillis;
    }

    private void scheduleNextDial(int generation) {
        if (generation == addressGeneration) {
            dialing = false;
            reportNoNewListIfDue();
            // Between one and two pauses: fewer calls than in step, and none at once, where discovery is overbooked.
            // One that has a list and is sending by it can't wait for long: what discovery has is told all the same.
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

    /** The connection of one watch; the first at an address asks for the whole list before it watches. */
    private final class Watch extends HttpLink implements HttpParser.ResponseHandler {
        private final int generation, dialNumber;
        private final JsonObjectBuffer objectBuffer = new JsonObjectBuffer(MAX_OBJECT_BYTES);
        private boolean readingFullList, refused, abandoned;
        /** Counts the calls on this connection. */
        private int callCount;
        /** Counts the limits set. */
        private int timeLimitCount;

        Watch(EndPoint endPoint, int generation, int dialNumber) {
            super(endPoint, ServiceDiscovery.this.mailbox, timers);
            this.generation = generation;
            this.dialNumber = dialNumber;
            parser = new HttpParser((HttpParser.ResponseHandler) this, MAX_HEADER);
        }

        @Override
        protected void onConnected() {
            if (generation != addressGeneration || !dialing || dialNumber != dialCount) {
                abandoned = true;
                closeNow(); // moved on, or given up, while it came up
                return;
            }
            dialing = false;
            sendCall();
            read();
        }

        /** What has come may only not have been read yet. */
        private void readAvailable() {
            read();
        }

        /** There is a sign of life from discovery. */
        private void renewTimeLimit() {
            setTimeLimit(readingFullList ? answerTimeoutMillis : SILENCE_TIMEOUT_MILLIS);
        }

        /** A list that keeps coming, but never ends. */
        private void abortFullList(int callNumber) {
            if (readingFullList && callNumber == callCount) {
                read();
                if (readingFullList && callNumber == callCount) {
                    closeNow();
                }
            }
        }

        /** Nothing more will answer this call, or it has been answered. */
        private void markAnswered() {
            if (unansweredWatch == this) {
                unansweredWatch = null;
                reportNoNewListIfDue();
            }
        }

        /** The watch is up and tells no change: what is known from before stands. Not for an answer that is only unread. */
        private void markAnsweredIfUnchanged() {
            if (unansweredWatch == this) {
                read();
                if (!objectBuffer.isOpen()) {
                    markAnswered();
                }
            }
        }

        /** What has come by now is still read. */
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
            readingFullList = !hasBaseList;
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
            String target = readingFullList ? "/api/targets" : "/api/targets?watch=1&after=" + revision;
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
                return; // what a former address has to say of itself means nothing at this one
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
                    retryAfterMillis = 0; // a date, or nothing that can be read: the back-off decides
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
            // An object that has begun does not renew the limit: one that never ends is no sign of life.
            // Of a whole list each piece renews it, up to a limit of its own: it may come in as many as it likes.
            if (readingFullList || !objectBuffer.isOpen()) {
                renewTimeLimit();
            }
            if (activeWatch == this) {
                pauseMillis = 0; // it has lived on: one that ends right after each first list is not opened at once
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
                if (previousList != null && generation == addressGeneration && !update.full()) {
                    if (update.revision() < revision) {
                        // Another history than the known list's: its changes say nothing.
                        hasBaseList = false;
                        previousList = null;
                        closeNow();
                        return;
                    }
                    update = previousList.apply(update);
                }
                listener.accept(readingFullList ? new Update(update.revision(), true, update.entries()) : update);
                listInUse = true;
                if (generation == addressGeneration) {
                    previousList = null;
                    revision = update.revision();
                    hasBaseList = true;
                    pauseMillis = Math.min(pauseMillis, MIN_PAUSE_MILLIS);
                    makeActive();
                }
            } catch (IllegalArgumentException | ClassCastException e) {
                closeOnInvalidList(e);
            }
        }

        /** What cannot be read is a gap: the watch starts over from the version before it. */
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
            if (readingFullList && hasBaseList && persistent && generation == addressGeneration) {
                parser.reset();
                sendCall();
            } else {
                mailbox.post(this::closeNow);
            }
            return true;
        }

        @Override
        protected void onEnd(Throwable cause) {
            activeWatch = activeWatch == this ? null : activeWatch;
            unansweredWatch = unansweredWatch == this ? null : unansweredWatch;
            if (!abandoned) {
                scheduleNextDial(generation);
            }
        }
    }
}
