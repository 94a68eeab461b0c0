package barrowshore.module;

import barrowshore.halls.HallRules;
import barrowshore.halls.HallState;
import java.util.List;

/**
 * The whole interface of the decision module: settings and calls in, actions out.
 *
 * <p>Contract. One instance is one dispatcher; it is not thread-safe and shares nothing with others. Time is what the
 * caller says: microseconds, never decreasing over calls. Actions are carried out at the time of the call that caused
 * them, in order. The same seed and the same calls give the same actions. A wrong setting or call gets an
 * {@link IllegalArgumentException} that names the field.
 */
public interface DispatchApi {
    /** What a repeat of a job of a class may do. */
    enum RepeatSafety {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** For keyed jobs: the workers that drop each other's repeats. */
    enum DedupScope {
        ALL,
        ZONE,
        CELL
    }

    /** How an attempt ended. */
    enum Status {
        OK,
        ERROR,
        FULL,
        TIMEOUT,
        CONNECT_FAILED,
        RESET,
        CANCELLED,
        NOT_SENT;

        /** Whether this end proves that the job never ran. */
        public boolean neverRan() {
            return this == FULL || this == CONNECT_FAILED || this == NOT_SENT;
        }
    }

    /** What the worker list says of a worker. */
    enum Health {
        READY,
        DRAINING,
        GONE
    }

    /** What a list event holds: changes, the whole list, the last list held before a start, or a failed call. */
    enum ListKind {
        CHANGES,
        WHOLE,
        INITIAL,
        FAILED
    }

    /** Where load reports come from. */
    enum ReportSource {
        NONE,
        ANSWERS,
        PROBES
    }

    /** What a note on an attempt tells. */
    enum Note {
        STARTED,
        PROGRESS
    }

    /** A class of jobs. Times in microseconds; kind -1: any; aim grows by stretch times the job's own work. */
    record JobClass(
            long targetMicros,
            double targetStretch,
            long deadlineMicros,
            double worth,
            double lateWorthShare,
            RepeatSafety safety,
            DedupScope scope,
            long repeatWindowMicros,
            int kind,
            int priority) {
        public JobClass {
            Settings.require(deadlineMicros > 0, "class deadline must be positive");
            Settings.require(targetMicros >= 0, "class aim must not be negative");
            Settings.require(worth >= 0 && worth < Double.POSITIVE_INFINITY, "class worth must be a number from 0");
            Settings.require(safety != null && scope != null, "class effect and scope must be set");
        }
    }

    /** The settings of one dispatcher, with the defaults for what the site leaves out. Times in microseconds. */
    final class Settings {
        public long seed = 1;
        public int dispatchers = 1;
        /** This dispatcher's number among them, from 0. */
        public int ownIndex;

        public int zone;
        /** How many machine kinds there are. */
        public int kinds = 1;

        public long tickMicros = 1_000;
        public JobClass[] classes = new JobClass[0];
        /** Jobs a second that each tenant may send over all dispatchers; empty: no tenants. */
        public double[] tenantQuota = new double[0];

        public double overQuotaWorth = 0.1;
        /** Whether a job is worth its class's worth for each unit of work rather than as a whole. */
        public boolean worthPerWork;

        public int maxAttempts = 3;
        public boolean mayHedge;
        public boolean mayCancel;
        public boolean mayProbe;
        /** Whether dispatchers may send one another short messages. */
        public boolean mayMessagePeers;

        public long maxRetryAfterMicros = 1_000_000;
        /** Whether a listed rating is a size divided by 1 + jobs held for each core, some time ago. */
        public boolean ratingsReflectLoad;
        /** Whether the list comes only when asked for. */
        public boolean pollsList;

        public long listPollMicros = 10_000_000;
        public ReportSource reportSource = ReportSource.NONE;
        public boolean notesStart;
        public long progressMicros;
        public long connectTimeoutMicros = 250_000;
        public double startCapacity = 0.1;
        public long warmUpMicros = 20_000_000;
        public double overloadMultiple = 3;
        public long overloadWindowMicros = 1_000_000;
        /** Points of the result for each attempt that crosses zones. */
        public double crossZoneCharge;
        /** The part of what is due to one dispatcher that this one may use. */
        public double dispatcherShare = 1;
        /** The operators' rules on halls, which are the zones; null: halls are not told apart but by that charge. */
        public HallRules halls;

        static void require(boolean holds, String message) {
            if (!holds) {
                throw new IllegalArgumentException(message);
            }
        }

        void check(Request r) {
            require(r.jobClass() >= 0 && r.jobClass() < classes.length, "request jobClass is not in settings");
            require(r.slots() > 0, "request slots must be positive");
        }

        void check(Member m) {
            require(m.kind() >= 0 && m.kind() < kinds, "member kind is not in settings");
        }

        /** The same, apart from these. */
        Settings copy() {
            Settings copy = new Settings();
            copy.copyIdentityFrom(this);
            copy.copyReloadableFrom(this);
            return copy;
        }

        /**
         * Takes over another's settings, but for what {@link #copyIdentityFrom} does: it may change while jobs are under
         * way.
         */
        public void copyReloadableFrom(Settings next) {
            classes = next.classes;
            tenantQuota = next.tenantQuota;
            overQuotaWorth = next.overQuotaWorth;
            worthPerWork = next.worthPerWork;
            maxAttempts = next.maxAttempts;
            mayHedge = next.mayHedge;
            mayCancel = next.mayCancel;
            mayProbe = next.mayProbe;
            mayMessagePeers = next.mayMessagePeers;
            maxRetryAfterMicros = next.maxRetryAfterMicros;
            ratingsReflectLoad = next.ratingsReflectLoad;
            pollsList = next.pollsList;
            listPollMicros = next.listPollMicros;
            reportSource = next.reportSource;
            notesStart = next.notesStart;
            progressMicros = next.progressMicros;
            startCapacity = next.startCapacity;
            warmUpMicros = next.warmUpMicros;
            overloadMultiple = next.overloadMultiple;
            overloadWindowMicros = next.overloadWindowMicros;
            crossZoneCharge = next.crossZoneCharge;
        }

        /** Takes over who it is among whom, and what is built on that: once, at a start. */
        public void copyIdentityFrom(Settings other) {
            seed = other.seed;
            dispatchers = other.dispatchers;
            ownIndex = other.ownIndex;
            zone = other.zone;
            kinds = other.kinds;
            tickMicros = other.tickMicros;
            connectTimeoutMicros = other.connectTimeoutMicros;
            halls = other.halls;
        }

        /** Throws an IllegalArgumentException that names the first setting that cannot work. */
        public void validate() {
            require(classes.length > 0, "classes must name at least one class");
            require(dispatchers >= 1, "dispatchers must be at least 1");
            require(kinds >= 1, "kinds must be at least 1");
            for (JobClass c : classes) {
                require(c.kind() < kinds, "class kind must be under kinds");
            }
            require(tickMicros > 0, "tick must be positive");
            require(maxAttempts >= 1, "maxAttempts must be at least 1");
            require(startCapacity > 0 && startCapacity <= 1, "startCapacity must be in (0, 1]");
            require(warmUpMicros > 0, "cold must be positive");
            require(overloadWindowMicros > 0, "fall must be positive");
            require(overloadMultiple > 0, "fallMultiple must be positive");
            require(listPollMicros > 0, "askEvery must be positive");
        }
    }

    /** One entry of the worker list; startedAt 0: long ago. */
    record Member(String worker, Health health, double rating, int cell, int kind, int zone, long startedAt) {}

    /** A job to answer. hint: its expected work in microseconds at speed 1, 0 if unknown; left: time to answer. */
    record Request(String id, int jobClass, int tenant, double slots, double workHintMicros, long timeLeftMicros) {}

    /** A worker's load report; what it does not tell is NaN. */
    record Load(double inFlight, double queue, double freeSlots) {}

    // Calls in.

    void start(long now);

    void list(long now, ListKind kind, List<Member> entries);

    void request(long now, Request request);

    /** The end of an attempt; closed: the request has ended with it or before it. load may be null. */
    void outcome(long now, String id, int attempt, boolean closed, Status status, long latency, Load load);

    void note(long now, String id, int attempt, Note note, double share);

    void clientGone(long now, String id);

    void probed(long now, String worker, Status status, long latency, Load load);

    /** Another dispatcher has told us something; it may come late, twice, out of order or not at all. */
    void peerMessage(long now, int from, byte[] message);

    void timerFired(long now, String token);

    /** The operators' rules on halls have changed; null: there are none any more. What is out runs on. */
    default void changeHallRules(long now, HallRules rules) {}

    /**
     * Other settings from now on; who it is among whom stays. Classes keep their numbers: there may be more of them, and
     * none is left out that jobs under way have; those keep the class that they came with.
     */
    default void changeSettings(long now, Settings next) {}

    /** Where each hall stands, by number; empty where halls are off. */
    default List<HallState> hallStates() {
        return List.of();
    }

    /** Slots that our jobs hold in a hall other than our own. */
    default double spilledSlots(int hall) {
        return 0;
    }

    /**
     * Two processes may act as one dispatcher for a while: the part of what is due to it that this one may use, where
     * all dispatchers together are bound, as with cold workers.
     */
    default void setDispatcherShare(double part) {}

    /** How many ready workers it sends nothing to just now, whatever the job. */
    default int countAvoided(long now) {
        return 0;
    }

    /** Actions out. */
    interface Actions {
        /** Starts the next attempt of a request; timeout 0: until the client gives up. */
        void send(String id, String worker, long timeout);

        /** Final answer: harmless to try again, after a while if retryAfter is above 0. */
        void refuse(String id, long retryAfter);

        /** Final answer: no promise. */
        void fail(String id);

        void cancel(String id, int attempt);

        void probe(String worker);

        /** Tells every other dispatcher; at most 256 bytes. */
        void sendToPeers(byte[] message);

        void setTimer(long delay, String token);

        /** Asks for the list's changes from now on. */
        void watchList();

        void log(String line);
    }
}
