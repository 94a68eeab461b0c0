package barrowshore.servers;

import barrowshore.list.ServerList;
import barrowshore.list.ServerList.Names;
import barrowshore.list.ServerList.Update;
import barrowshore.net.Dialer;
import barrowshore.net.HttpLink;
import barrowshore.net.Mailbox;
import barrowshore.net.ObjectBuffer;
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
    /** How long a start waits for discovery before the list known from before will do. */
    private static final long PATIENCE = 1000;

    private final Dialer dialer;
    private final Scheduler timers;
    private final Names names;
    private final Consumer<Update> listener;
    private final Runnable busy, silent;
    private final Mailbox mailbox;
    /** Draws each pause: processes restarted together must not ask again in step. */
    private final SplittableRandom jitter = new SplittableRandom();

    private InetSocketAddress address;
    /** Counts the addresses: what belongs to an earlier one is told by it. */
    private int life;
    /** Whether we have a list that this address counts from; until then its versions mean nothing to us. */
    private boolean whole;

    private long rev;
    /** The list that the process was started with, until a list is heard; null then. What comes first changes it. */
    private Update known;
    /** 0: the next call is made at once, since the watch before it had been up for a while. */
    private long pause = FIRST_PAUSE;
    /** Whether a call at the present address is out that has had no word yet. */
    private Watch unanswered;

    private boolean dialing;
    /** Whether the list known from before has been said to do, so that jobs are sent by it. */
    private boolean knownInUse;
    /** How long a call may go without a word, and the longest that the next one waits after it. */
    private long answer, longestPause;
    /** Whether the last call was answered with no list. */
    private boolean busyNow;
    /** Whether a start has waited long enough for a first list. */
    private boolean waited;
    /** What discovery asked for in a Retry-After, up to the longest pause; 0: nothing. */
    private long wanted;
    /** The watch whose changes count; it may be of the former address until the present one has told its list. */
    private Watch heard;

    /**
     * known: the list as this scheduler had it last. Where it has entries, only what has changed since is asked for: many
     * processes that start at once must not each ask an overbooked discovery for all of it. busy: discovery has answered,
     * but with no list; it is up, so what it has to tell counts as told. silent: discovery has not answered for a while,
     * or has said nothing against the known list: that will do. Called only where no call is out that may yet be answered.
     */
    public ServiceDiscovery(
            InetSocketAddress address,
            Names names,
            Executor pool,
            Dialer dialer,
            Scheduler timers,
            Consumer<Update> listener,
            Runnable busy,
            Runnable silent,
            Update known,
            long grace) {
        this.known = known.entries().isEmpty() ? null : known;
        this.whole = this.known != null;
        this.rev = known.rev();
        this.busy = busy;
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
        longestPause = Math.max(FIRST_PAUSE, grace / 1000 / PAUSES_OF_GRACE);
    }

    /** Settings have changed; grace as at the start. */
    public void settings(long grace) {
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
    }

    /**
     * Guards the rule on what counts as told: a start that is short of processor time once took a list from before for
     * the present one, though the answer lay in its socket.
     */
    private void tellIfSilent() {
        if (waited && unanswered == null && !dialing) {
            waited = false;
            knownInUse = known != null;
            silent.run();
        }
    }

    /**
     * Discovery is elsewhere from now on. The former watch is heard until the new address has told its list, which is
     * another history: it is taken whole, since a version of the one says nothing about the other.
     */
    public void move(InetSocketAddress to) {
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
        boolean started = dialer.dial(address, 0, new Dialer.Opener() {
            @Override
            public Connection apply(EndPoint endPoint) {
                return new Watch(endPoint, of);
            }

            @Override
            public void failed(Throwable cause) {
                mailbox.post(() -> again(of));
            }
        });
        if (!started) {
            again(of);
        }
    }

    private void again(int of) {
        if (of == life) {
            dialing = false;
            // Between one and two pauses: fewer calls than in step, and none at once, where discovery is overbooked.
            // One that has a list and is sending by it can't wait for long: what discovery has is told all the same.
            boolean sending = knownInUse || whole && known == null;
            long longest = busyNow && !sending ? BUSY_PAUSE : longestPause;
            long wait = Math.max(Math.min(wanted, longest), pause + jitter.nextLong(pause + 1));
            pause = Math.max(FIRST_PAUSE, Math.min(longest, pause * 2));
            wanted = 0;
            busyNow = false;
            tellIfSilent();
            if (wait == 0) {
                dial(of);
            } else {
                timers.schedule(() -> mailbox.post(() -> dial(of)), wait, TimeUnit.MILLISECONDS);
            }
        }
    }

    /** The connection of one watch; the first at an address asks for the whole list before it watches. */
    private final class Watch extends HttpLink implements HttpParser.ResponseHandler {
        private final int of;
        private final ObjectBuffer objects = new ObjectBuffer(LONGEST_OBJECT);
        private boolean listing, refused;
        /** Counts the limits set. */
        private int limits;

        Watch(EndPoint endPoint, int of) {
            super(endPoint, ServiceDiscovery.this.mailbox, timers);
            this.of = of;
            parser = new HttpParser((HttpParser.ResponseHandler) this, MAX_HEADER);
        }

        @Override
        protected void begin() {
            if (of != life) {
                shut(); // moved on while it came up
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
            if (!listing) {
                limit(SILENCE);
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
                answered();
            }
        }

        /** What has come by now is still read. */
        @Override
        protected void expired() {
            int before = limits;
            read();
            if (limits == before) {
                shut();
            }
        }

        @Override
        protected void limit(long millis) {
            limits++;
            super.limit(millis);
        }

        private void ask() {
            listing = !whole;
            unanswered = this;
            limit(answer);
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
            busyNow = refused;
            sign();
            if (!refused && !listing) {
                timers.schedule(() -> mailbox.post(this::unchanged), answer, TimeUnit.MILLISECONDS);
            }
            if (refused) {
                LOG.log(
                        Level.WARNING,
                        "discovery answered {0}: asked again; the list known from before is not used",
                        status);
                busy.run();
            }
        }

        @Override
        public void parsedHeader(HttpField field) {
            super.parsedHeader(field);
            if (refused && field.getHeader() == HttpHeader.RETRY_AFTER) {
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
                mailbox.post(this::shut);
            }
            return false;
        }

        @Override
        public boolean content(ByteBuffer bytes) {
            // An object that has begun does not renew the limit: one that never ends is no sign of life.
            if (!objects.isOpen()) {
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
                Update update = ServerList.read((Map<?, ?>) Json.parse(object), names);
                if (!update.unknown().isEmpty()) {
                    LOG.log(
                            Level.WARNING,
                            "servers of an unknown model, left out: {0}",
                            String.join(", ", update.unknown()));
                }
                if (known != null && of == life && !update.all()) {
                    if (update.rev() < rev) {
                        // Another history than the known list's: its changes say nothing.
                        whole = false;
                        known = null;
                        shut();
                        return;
                    }
                    update = known.with(update);
                }
                listener.accept(listing ? new Update(update.rev(), true, update.entries()) : update);
                if (of == life) {
                    known = null;
                    rev = update.rev();
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
                shut();
            }
        }

        private void hear() {
            Watch former = heard;
            heard = this;
            if (former != null && former != this) {
                former.shut();
            }
        }

        @Override
        public boolean messageComplete() {
            if (listing && whole && persistent && of == life) {
                parser.reset();
                ask();
            } else {
                mailbox.post(this::shut);
            }
            return true;
        }

        @Override
        protected void onEnd(Throwable cause) {
            heard = heard == this ? null : heard;
            unanswered = unanswered == this ? null : unanswered;
            again(of);
        }
    }
}
