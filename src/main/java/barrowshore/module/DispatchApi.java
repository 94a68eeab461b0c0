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
            long aim,
            double stretch,
            long deadline,
            double worth,
            double lateShare,
            RepeatSafety effect,
            DedupScope scope,
            long repeatWindow,
            int kind,
            int priority) {
        public JobClass {
            Settings.require(deadline > 0, "class deadline must be positive");
            Settings.require(aim >= 0, "class aim must not be negative");
            Settings.require(worth >= 0 && worth < Double.POSITIVE_INFINITY, "class worth must be a number from 0");
            Settings.require(effect != null && scope != null, "class effect and scope must be set");
        }
    }

    /** The settings of one dispatcher, with the defaults for what the site leaves out. Times in microseconds. */
    final class Settings {
        public long seed = 1;
        public int dispatchers = 1;
        /** This dispatcher's number among them, from 0. */
        public int me;

        public int zone;
        /** How many machine kinds there are. */
        public int kinds = 1;

        public long tick = 1_000;
        public JobClass[] classes = new JobClass[0];
        /** Jobs a second that each tenant may send over all dispatchers; empty: no tenants. */
        public double[] tenantQuota = new double[0];

        public double overShareWorth = 0.1;
        /** Whether a job is worth its class's worth for each unit of work rather than as a whole. */
        public boolean worthByWork;

        public int maxAttempts = 3;
        public boolean secondCopies;
        public boolean mayCancel;
        public boolean mayProbe;
        /** Whether dispatchers may send one another short messages. */
        public boolean mayTell;

        public long maxRetryAfter = 1_000_000;
        /** Whether a listed rating is a size divided by 1 + jobs held for each core, some time ago. */
        public boolean liveRatings;
        /** Whether the list comes only when asked for. */
        public boolean askForList;

        public long askEvery = 10_000_000;
        public ReportSource reports = ReportSource.NONE;
        public boolean tellsStart;
        public long progressEvery;
        public long connectTimeout = 250_000;
        public double startCapacity = 0.1;
        public long cold = 20_000_000;
        public double fallMultiple = 3;
        public long fall = 1_000_000;
        /** Points of the result for each attempt that crosses zones. */
        public double crossZoneCharge;
        /** The part of what is due to one dispatcher that this one may use. */
        public double share = 1;
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
            copy.stand(this);
            copy.take(this);
            return copy;
        }

        /** Takes over another's settings, but for what {@link #stand} does: it may change while jobs are under way. */
        public void take(Settings next) {
            classes = next.classes;
            tenantQuota = next.tenantQuota;
            overShareWorth = next.overShareWorth;
            worthByWork = next.worthByWork;
            maxAttempts = next.maxAttempts;
            secondCopies = next.secondCopies;
            mayCancel = next.mayCancel;
            mayProbe = next.mayProbe;
            mayTell = next.mayTell;
            maxRetryAfter = next.maxRetryAfter;
            liveRatings = next.liveRatings;
            askForList = next.askForList;
            askEvery = next.askEvery;
            reports = next.reports;
            tellsStart = next.tellsStart;
            progressEvery = next.progressEvery;
            startCapacity = next.startCapacity;
            cold = next.cold;
            fallMultiple = next.fallMultiple;
            fall = next.fall;
            crossZoneCharge = next.crossZoneCharge;
        }

        /** Takes over who it is among whom, and what is built on that: once, at a start. */
        public void stand(Settings other) {
            seed = other.seed;
            dispatchers = other.dispatchers;
            me = other.me;
            zone = other.zone;
            kinds = other.kinds;
            tick = other.tick;
            connectTimeout = other.connectTimeout;
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
            require(tick > 0, "tick must be positive");
            require(maxAttempts >= 1, "maxAttempts must be at least 1");
            require(startCapacity > 0 && startCapacity <= 1, "startCapacity must be in (0, 1]");
            require(cold > 0, "cold must be positive");
            require(fall > 0, "fall must be positive");
            require(fallMultiple > 0, "fallMultiple must be positive");
            require(askEvery > 0, "askEvery must be positive");
        }
    }

    /** One entry of the worker list; startedAt 0: long ago. */
    record Member(String worker, Health health, double rating, int cell, int kind, int zone, long startedAt) {}

    /** A job to answer. hint: its expected work in microseconds at speed 1, 0 if unknown; left: time to answer. */
    record Request(String id, int jobClass, int tenant, double slots, double hint, long left) {}

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
    void peer(long now, int from, byte[] message);

    void timer(long now, String token);

    /** The operators' rules on halls have changed; null: there are none any more. What is out runs on. */
    default void rules(long now, HallRules rules) {}

    /**
     * Other settings from now on; who it is among whom stays. Classes keep their numbers: there may be more of them, and
     * none is left out that jobs under way have; those keep the class that they came with.
     */
    default void settings(long now, Settings next) {}

    /** Where each hall stands, by number; empty where halls are off. */
    default List<HallState> halls() {
        return List.of();
    }

    /** Slots that our jobs hold in a hall other than our own. */
    default double spilled(int hall) {
        return 0;
    }

    /**
     * Two processes may act as one dispatcher for a while: the part of what is due to it that this one may use, where
     * all dispatchers together are bound, as with cold workers.
     */
    default void share(double part) {}

    /** How many ready workers it sends nothing to just now, whatever the job. */
    default int avoided(long now) {
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
        void tell(byte[] message);

        void timer(long delay, String token);

        /** Asks for the list's changes from now on. */
        void watch();

        void log(String line);
    }
}
