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
    private static final int LONGEST_OBJECT = 1 << 20;
    private static final long FIRST_PAUSE = 50;
    /**
     * Shares of the time after which nothing new may go to a server that leaves: what discovery has after a silence counts
     * as told at once, and a call made just before its return is given up, the next made, and its answer taken, within it.
     */
    private static final long PAUSES_OF_GRACE = 10, ANSWERS_OF_GRACE = 4;
    /** The longest pause where that time is long: what discovery has counts as told 6 s later, whatever the settings say. */
    private static final long LONGEST_PAUSE = 500;
    /** The same where discovery is up but gives no list, and while we have none either: then no server is at risk. */
    private static final long BUSY_PAUSE = 1000;
    /**
     * An empty line comes every 2 s; one that is missed is a watch that fell silent. It has to be noticed and opened anew
     * well within the 6 s after which what it missed counts as told.
     */
    private static final long SILENCE = 3000;
    /**
     * The agent answers at once, or else discovery is silent just now. Short, since a call made while it was silent may
     * stay unanswered once it is back, and from then on all that it has counts as told.
     */
    private static final long LONGEST_ANSWER = 500, SHORTEST_ANSWER = 100;
    /**
     * How often that is doubled, call after call without a word, while there is no list at all: then no server is at risk,
     * and a discovery that is slow to answer everybody must not have each call given up before its answer.
     */
    private static final int MOST_DOUBLINGS = 2;
    /** How long the whole list may take from the call to its last byte, as long as more of it keeps coming. */
    private static final long LONGEST_LIST = 3000;
    /** How long a dial may take where the settings let connections take longer: a connect that was lost is made anew. */
    private static final long LONGEST_DIAL = 1000;
    /** How long a start waits for discovery before the list known from before will do. */
    private static final long PATIENCE = 1000;
    /**
     * The same where discovery answers, but with no list. It is up, so what it has may count as told; but it gives its list
     * to nobody, and a scheduler that is never ready serves nobody.
     */
    private static final long BUSY_PATIENCE = 4000;

    private final ConnectionManager dialer;
    private final Scheduler timers;
    private final ZoneKindNames names;
    private final Consumer<Update> listener;
    private final Runnable silent;
    private final Mailbox mailbox;
    /** Draws each pause: processes restarted together must not ask again in step. */
    private final SplittableRandom jitter = new SplittableRandom();

    private InetSocketAddress address;
    /** Counts the addresses: what belongs to an earlier one is told by it. */
    private int life;
    /** Counts the dials: one that was given up may still come up. */
    private int dials;
    /** Whether we have a list that this address counts from; until then its versions mean nothing to us. */
    private boolean whole;

    private long rev;
    /** The list that the process was started with, until a list is heard; null then. What comes first changes it. */
    private Update known;
    /** 0: the next call is made at once, since the watch before it had been up for a while. */
    private long pause = FIRST_PAUSE;
    /** Whether a call at the present address is out that has had no word yet. */
    private Watch unanswered;

    /** Whether a dial is under way, or the next one waits for the end of a pause. */
    private boolean dialing, pausing;
    /** Whether the process was started with a list known from before. */
    private final boolean startedWithList;
    /** Whether jobs are sent by a list, of whatever address or known from before. */
    private boolean sending;
    /** How many calls on end have been given up without a word. */
    private int unheardCalls;
    /** How long a call may go without a word, and the longest that the next one waits after it. */
    private long answer, longestPause;
    /** Whether the last call was answered with no list, and whether any was before the first list. */
    private boolean busyNow, busyAtStart;
    /** Whether a start has waited long enough for a first list, and also for one from a discovery that is busy. */
    private boolean waited, waitedForBusy;
    /** What discovery asked for in a Retry-After, up to the longest pause; 0: nothing. */
    private long wanted;
    /** The watch whose changes count; it may be of the former address until the present one has told its list. */
    private Watch heard;

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
            ConnectionManager dialer,
            Scheduler timers,
            Consumer<Update> listener,
            Runnable silent,
            Update known,
            long grace) {
        this.startedWithList = !known.entries().isEmpty();
        this.known = startedWithList ? known : null;
        this.whole = this.known != null;
        this.rev = known.revision();
        this.silent = silent;
        this.dialer = dialer;
        this.timers = timers;
        this.address = address;
        this.names = names;
        this.listener = listener;
        this.mailbox = new Mailbox("the service discovery", pool);
        keepWithin(grace);
    }

    /** How soon, in microseconds, nothing new may go to a server that is told to leave. */
    private void keepWithin(long grace) {
        answer = Math.min(LONGEST_ANSWER, Math.max(SHORTEST_ANSWER, grace / 1000 / ANSWERS_OF_GRACE));
        longestPause = Math.min(LONGEST_PAUSE, Math.max(FIRST_PAUSE, grace / 1000 / PAUSES_OF_GRACE));
    }

    /** Settings have changed; grace as at the start. */
    public void setGrace(long grace) {
        mailbox.post(() -> keepWithin(grace));
    }

    public void open() {
        mailbox.post(() -> dial(life));
        timers.schedule(
                () -> mailbox.post(() -> {
                    waited = true;
                    if (unanswered != null) {
                        unanswered.readUp();
                    }
                    tellIfSilent();
                }),
                PATIENCE,
                TimeUnit.MILLISECONDS);
        timers.schedule(
                () -> mailbox.post(() -> {
                    waitedForBusy = true;
                    boolean before = sending;
                    tellIfSilent();
                    if (pausing && sending && !before) {
                        dial(life); // the pause was that of a scheduler that sends nothing
                    }
                }),
                BUSY_PATIENCE,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Guards the rule on what counts as told: a start that is short of processor time once took a list from before for
     * the present one, though the answer lay in its socket.
     */
    private void tellIfSilent() {
        if (waited && unanswered == null && !dialing && (!busyAtStart || waitedForBusy)) {
            waited = false;
            sending |= startedWithList;
            silent.run();
        }
    }

    /**
     * Discovery is elsewhere from now on. The former watch is heard until the new address has told its list, which is
     * another history: it is taken whole, since a version of the one says nothing about the other.
     */
    public void setAddress(InetSocketAddress to) {
        mailbox.post(() -> {
            if (!to.equals(address)) {
                address = to;
                life++;
                unanswered = null;
                whole = false;
                known = null;
                pause = 0;
                dial(life);
            }
        });
    }

    private void dial(int of) {
        if (of != life) {
            return;
        }
        dialing = true;
        pausing = false;
        int number = ++dials;
        timers.schedule(() -> mailbox.post(() -> dialFailed(number)), LONGEST_DIAL, TimeUnit.MILLISECONDS);
        boolean started = dialer.dial(address, 0, new ConnectionManager.DialHandler() {
            @Override
            public Connection apply(EndPoint endPoint) {
                return new Watch(endPoint, of, number);
            }

            @Override
            public void onDialFailed(Throwable cause) {
                mailbox.post(() -> dialFailed(number));
            }
        });
        if (!started) {
            dialFailed(number);
        }
    }

    /** A dial has failed or was given up; not so one that has come up, or was given up before. */
    private void dialFailed(int number) {
        if (dialing && number == dials) {
            again(life);
        }
    }

    /** How long the next call may go without a word. */
    private long answerLimit() {
        boolean listless = !sending && known == null;
        return listless ? answer << Math.min(unheardCalls, MOST_DOUBLINGS) : answer;
    }

    private void again(int of) {
        if (of == life) {
            dialing = false;
            tellIfSilent();
            // Between one and two pauses: fewer calls than in step, and none at once, where discovery is overbooked.
            // One that has a list and is sending by it can't wait for long: what discovery has is told all the same.
            long longest = busyNow && !sending ? BUSY_PAUSE : longestPause;
            pause = Math.min(pause, longest);
            long wait = Math.max(Math.min(wanted, longest), pause + jitter.nextLong(pause + 1));
            pause = Math.max(FIRST_PAUSE, Math.min(longest, pause * 2));
            wanted = 0;
            busyNow = false;
            if (wait == 0) {
                dial(of);
            } else {
                pausing = true;
                int number = dials;
                timers.schedule(
                        () -> mailbox.post(() -> {
                            if (number == dials) {
                                dial(of);
                            }
                        }),
                        wait,
                        TimeUnit.MILLISECONDS);
            }
        }
    }

    /** The connection of one watch; the first at an address asks for the whole list before it watches. */
    private final class Watch extends HttpLink implements HttpParser.ResponseHandler {
        private final int of, number;
        private final JsonObjectBuffer objects = new JsonObjectBuffer(LONGEST_OBJECT);
        private boolean listing, refused, abandoned;
        /** Counts the calls on this connection. */
        private int asked;
        /** Counts the limits set. */
        private int limits;

        Watch(EndPoint endPoint, int of, int number) {
            super(endPoint, ServiceDiscovery.this.mailbox, timers);
            this.of = of;
            this.number = number;
            parser = new HttpParser((HttpParser.ResponseHandler) this, MAX_HEADER);
        }

        @Override
        protected void onConnected() {
            if (of != life || !dialing || number != dials) {
                abandoned = true;
                closeNow(); // moved on, or given up, while it came up
                return;
            }
            dialing = false;
            ask();
            read();
        }

        /** What has come may only not have been read yet. */
        private void readUp() {
            read();
        }

        /** There is a sign of life from discovery. */
        private void sign() {
            setTimeLimit(listing ? answer : SILENCE);
        }

        /** A list that keeps coming, but never ends. */
        private void endListing(int number) {
            if (listing && number == asked) {
                read();
                if (listing && number == asked) {
                    closeNow();
                }
            }
        }

        /** Nothing more will answer this call, or it has been answered. */
        private void answered() {
            if (unanswered == this) {
                unanswered = null;
                tellIfSilent();
            }
        }

        /** The watch is up and tells no change: what is known from before stands. Not for an answer that is only unread. */
        private void unchanged() {
            if (unanswered == this) {
                read();
                if (!objects.isOpen()) {
                    answered();
                }
            }
        }

        /** What has come by now is still read. */
        @Override
        protected void onTimeLimit() {
            int before = limits;
            read();
            if (limits == before) {
                if (unanswered == this) {
                    unheardCalls++;
                }
                closeNow();
            }
        }

        @Override
        protected void setTimeLimit(long millis) {
            limits++;
            super.setTimeLimit(millis);
        }

        private void ask() {
            listing = !whole;
            unanswered = this;
            setTimeLimit(answerLimit());
            int number = ++asked;
            if (listing) {
                timers.schedule(() -> mailbox.post(() -> endListing(number)), LONGEST_LIST, TimeUnit.MILLISECONDS);
            }
            HttpFields.Mutable fields =
                    HttpFields.build().add(HttpHeader.HOST, address.getHostString() + ":" + address.getPort());
            String target = listing ? "/api/targets" : "/api/targets?watch=1&after=" + rev;
            write(
                    new MetaData.Request("GET", HttpURI.from(target), HttpVersion.HTTP_1_1, fields, 0),
                    new byte[0],
                    () -> {});
        }

        @Override
        public void startResponse(HttpVersion version, int status, String reason) {
            persistent = version == HttpVersion.HTTP_1_1;
            refused = status != 200;
            sign();
            if (of != life) {
                return; // what a former address has to say of itself means nothing at this one
            }
            unheardCalls = 0;
            busyNow = refused;
            if (!refused && !listing) {
                timers.schedule(() -> mailbox.post(this::unchanged), answer, TimeUnit.MILLISECONDS);
            }
            if (refused) {
                busyAtStart = true;
                LOG.log(
                        Level.WARNING,
                        "discovery answered {0}: asked again; a start does not use the list known from before yet",
                        status);
            }
        }

        @Override
        public void parsedHeader(HttpField field) {
            super.parsedHeader(field);
            if (refused && of == life && field.getHeader() == HttpHeader.RETRY_AFTER) {
                try {
                    wanted = Math.min(
                            BUSY_PAUSE,
                            Math.max(0, Long.parseLong(field.getValue().trim()) * 1000));
                } catch (NumberFormatException e) {
                    wanted = 0; // a date, or nothing that can be read: the back-off decides
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
            if (listing || !objects.isOpen()) {
                sign();
            }
            if (heard == this) {
                pause = 0; // it has lived on: one that ends right after each first list is not opened at once
            }
            try {
                objects.add(bytes, this::take);
                if (!objects.isOpen()) {
                    answered();
                }
            } catch (IllegalArgumentException e) {
                startOver(e);
            }
            return false;
        }

        private void take(String object) {
            if (isClosed() || of != life && this != heard) {
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
                if (known != null && of == life && !update.full()) {
                    if (update.revision() < rev) {
                        // Another history than the known list's: its changes say nothing.
                        whole = false;
                        known = null;
                        closeNow();
                        return;
                    }
                    update = known.apply(update);
                }
                listener.accept(listing ? new Update(update.revision(), true, update.entries()) : update);
                sending = true;
                if (of == life) {
                    known = null;
                    rev = update.revision();
                    whole = true;
                    pause = Math.min(pause, FIRST_PAUSE);
                    hear();
                }
            } catch (IllegalArgumentException | ClassCastException e) {
                startOver(e);
            }
        }

        /** What cannot be read is a gap: the watch starts over from the version before it. */
        private void startOver(RuntimeException cause) {
            if (!isClosed()) {
                LOG.log(Level.WARNING, "discovery sent what is no list: {0}", cause.getMessage());
                closeNow();
            }
        }

        private void hear() {
            Watch former = heard;
            heard = this;
            if (former != null && former != this) {
                former.closeNow();
            }
        }

        @Override
        public boolean messageComplete() {
            if (listing && whole && persistent && of == life) {
                parser.reset();
                ask();
            } else {
                mailbox.post(this::closeNow);
            }
            return true;
        }

        @Override
        protected void onEnd(Throwable cause) {
            heard = heard == this ? null : heard;
            unanswered = unanswered == this ? null : unanswered;
            if (!abandoned) {
                again(of);
            }
        }
    }
}
