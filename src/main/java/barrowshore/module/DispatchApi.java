package barrowshore.module;

import barrowshore.halls.HallRules;
import barrowshore.halls.HallState;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * The whole interface of the decision module: settings and calls in, actions out.
 *
 * <p>One instance is one dispatcher; it is not thread-safe and shares no state with others. The caller supplies the
 * time, in microseconds that never decrease. Actions are issued during the call that causes them, in order. The same
 * seed and calls give the same actions. An invalid setting or call throws an {@link IllegalArgumentException} that
 * names the field.
 */
public interface DispatchApi {
    /** Whether a job may run again: always, only where its key is deduplicated, or never. */
    enum RepeatSafety {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** For keyed jobs: the workers that deduplicate each other's repeats. */
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

        /** Whether this status proves that the job never ran. */
        public boolean neverRan() {
            return this == FULL || this == CONNECT_FAILED || this == NOT_SENT;
        }
    }

    /** A worker's state in the worker list. */
    enum Health {
        READY,
        DRAINING,
        GONE
    }

    /** What a list event contains: changes, the whole list, the list known before a restart, or a failed call. */
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

    /** What a worker's note on an attempt reports. */
    enum Note {
        STARTED,
        PROGRESS
    }

    /** A class of jobs; kind -1: any. The target time is targetMicros plus targetStretch times the job's work. */
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
            Settings.require(targetMicros >= 0, "class aim (target) must not be negative");
            Settings.require(worth >= 0 && worth < Double.POSITIVE_INFINITY, "class worth must be a number from 0");
            Settings.require(
                    safety != null && scope != null, "class repeat safety and deduplication scope must be set");
        }
    }

    /** The settings of one dispatcher, with their defaults. Times in microseconds. */
    final class Settings {
        public long seed = 1;
        public int dispatchers = 1;
        /** This dispatcher's index among all, from 0. */
        public int ownIndex;

        public int zone;
        /** How many machine kinds there are. */
        public int machineKinds = 1;

        public long tickMicros = 1_000;
        public JobClass[] classes = new JobClass[0];
        /** The numbers of classes that get no more jobs; jobs in flight keep them. */
        public Set<Integer> retiredClasses = Set.of();
        /** Jobs per second that each tenant may send to all dispatchers together; empty: no tenants. */
        public double[] tenantQuota = new double[0];

        public double overQuotaWorthShare = 0.1;
        /** Whether a class's worth is per unit of work rather than per job. */
        public boolean worthPerWork;

        public int maxAttempts = 3;
        public boolean mayHedge;
        public boolean mayCancel;
        public boolean mayProbe;
        /** Whether dispatchers may send messages to each other. */
        public boolean mayMessagePeers;

        public long maxRetryAfterMicros = 1_000_000;
        /** Whether a listed rating is the worker's size divided by 1 + its jobs per core some time ago. */
        public boolean ratingsReflectLoad;
        /** Whether the worker list has to be requested. */
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
        /** Points charged for each attempt that crosses zones. */
        public double crossZoneCharge;
        /** See {@link DispatchApi#setDispatcherShare}. */
        public double dispatcherShare = 1;
        /** The operators' rules on halls, which are the zones; null: only crossZoneCharge tells zones apart. */
        public HallRules halls;

        /** The classes that may get jobs. */
        public List<JobClass> activeClasses() {
            return IntStream.range(0, classes.length)
                    .filter(number -> !retiredClasses.contains(number))
                    .mapToObj(number -> classes[number])
                    .toList();
        }

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
            require(m.machineKind() >= 0 && m.machineKind() < machineKinds, "member kind is not in settings");
        }

        /** An independent copy. */
        Settings copy() {
            Settings copy = new Settings();
            copy.copyIdentityFrom(this);
            copy.copyReloadableFrom(this);
            return copy;
        }

        /**
         * Copies the settings that may change while jobs are in flight: all but those of {@link #copyIdentityFrom}.
         */
        public void copyReloadableFrom(Settings next) {
            classes = next.classes;
            retiredClasses = next.retiredClasses;
            tenantQuota = next.tenantQuota;
            overQuotaWorthShare = next.overQuotaWorthShare;
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
            connectTimeoutMicros = next.connectTimeoutMicros;
            startCapacity = next.startCapacity;
            warmUpMicros = next.warmUpMicros;
            overloadMultiple = next.overloadMultiple;
            overloadWindowMicros = next.overloadWindowMicros;
            crossZoneCharge = next.crossZoneCharge;
        }

        /** Copies the settings that are fixed from the start: the dispatcher's identity and what depends on it. */
        public void copyIdentityFrom(Settings other) {
            seed = other.seed;
            dispatchers = other.dispatchers;
            ownIndex = other.ownIndex;
            zone = other.zone;
            machineKinds = other.machineKinds;
            tickMicros = other.tickMicros;
            halls = other.halls;
        }

        /** Throws an IllegalArgumentException that names the first invalid setting. */
        public void validate() {
            require(classes.length > 0, "classes must name at least one class");
            require(dispatchers >= 1, "dispatchers must be at least 1");
            require(machineKinds >= 1, "kinds must be at least 1");
            for (JobClass c : classes) {
                require(c.kind() < machineKinds, "class kind must be under kinds");
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

    /** One entry of the worker list; startedAt 0: warmed up long ago. */
    record Member(String worker, Health health, double rating, int cell, int machineKind, int zone, long startedAt) {}

    /** A job to answer. workHintMicros: the client's estimate of its work at speed 1; 0: unknown. */
    record Request(String id, int jobClass, int tenant, double slots, double workHintMicros, long timeLeftMicros) {}

    /** A worker's load report; missing figures are NaN. */
    record Load(double inFlight, double queue, double freeSlots) {}

    // Calls by the owner of the dispatcher.

    void start(long now);

    /** The worker list, its changes, or a failed call for it, according to kind. */
    void list(long now, ListKind kind, List<Member> entries);

    /** A client's request; it ends by refuse, fail, an outcome with closed set, or clientGone. */
    void request(long now, Request request);

    /** An attempt has ended; closed: the request has ended too. load may be null. */
    void outcome(long now, String id, int attempt, boolean closed, Status status, long latency, Load load);

    /** A worker's note on a running attempt; share: the part done, from 0 to 1, if it reports progress. */
    void note(long now, String id, int attempt, Note note, double doneShare);

    /** The client no longer waits for the request. */
    void clientGone(long now, String id);

    /** A probe of the worker has ended; load may be null. */
    void probed(long now, String worker, Status status, long latency, Load load);

    /** A message of another dispatcher; messages may be late, repeated, reordered or lost. */
    void peerMessage(long now, int from, byte[] message);

    /** A timer set by {@link Actions#setTimer} is due. */
    void timerFired(long now, String token);

    /** Applies changed rules on halls; null: none. Jobs in flight are left alone. */
    default void changeHallRules(long now, HallRules rules) {}

    /**
     * Applies changed settings, except the dispatcher's identity. Classes keep their indices: new ones may be added,
     * and none removed that jobs in flight belong to; those jobs keep the class that they arrived with.
     */
    default void changeSettings(long now, Settings next) {}

    /** The state of each hall, by number; empty if halls are off. */
    default List<HallState> hallStates() {
        return List.of();
    }

    /** Slots that our jobs hold in this hall, if it is not our own. */
    default double spilledSlots(int hall) {
        return 0;
    }

    /**
     * Sets this process's share, from 0 to 1, of the dispatcher's part of budgets that all dispatchers share, such as
     * cold workers'. It is below 1 while two processes act as one dispatcher.
     */
    default void setDispatcherShare(double share) {}

    /** How many ready workers get no job of any kind now. */
    default int countAvoided(long now) {
        return 0;
    }

    /** The actions that a dispatcher orders; implemented by its owner. */
    interface Actions {
        /** Starts the next attempt of a request; timeout 0: none but the client's deadline. */
        void send(String id, String worker, long timeoutMicros);

        /** Final answer: retrying is harmless, after retryAfter microseconds if above 0. */
        void refuse(String id, long retryAfterMicros);

        /** Final answer: the job may or may not have run. */
        void fail(String id);

        void cancel(String id, int attempt);

        void probe(String worker);

        /** Sends a message of at most 256 bytes to every other dispatcher. */
        void sendToPeers(byte[] message);

        void setTimer(long delayMicros, String token);

        /** Requests the worker list and its changes from now on. */
        void watchList();

        void log(String line);
    }
}
