package barrowshore.halls;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.DoubleSupplier;

/**
 * The state machine of one hall, moved by evidence weighed by capacity. It owns the hall's places and its state, and
 * must never move on the trouble of one or two servers of a hall that has more, on a planned drain, or on what peers say
 * alone where there is evidence of our own.
 */
final class Hall {
    /** Why a hall is dark. */
    enum DarkReason {
        NONE,
        LOST,
        CUT_OFF,
        UNLISTED,
        PLANNED,
        TOLD
    }

    /** A sign counts as of now for so long; so does what only says that something happened. */
    private static final long SIGN_VALID_MICROS = 3_000_000;
    /** At this share lost a doubt is settled at once, and below this one it is over. */
    private static final double IMMEDIATE_DARK_LOST_SHARE = 0.9;

    private static final double DOUBT_END_LOST_SHARE = 0.4;
    /** Servers in trouble that never move a larger hall. */
    private static final int MAX_IGNORED_LOST_SERVERS = 2;
    /** Words against a lone server, or a pair, until they are believed: there is nothing to weigh them against. */
    private static final int SMALL_HALL_FAULTS_PER_SERVER = 2;
    /** Share of the listed capacity that must have served for a hall to be back. */
    private static final double RECOVERED_WEIGHT_SHARE = 0.8;
    /** A first job that is out for longer does not keep others from being tried. */
    private static final long FIRST_JOB_TIMEOUT_MICROS = 2_000_000;
    /** Most doublings of the pause between trials. */
    private static final int MAX_TRIAL_PAUSE_DOUBLINGS = 3;
    /** Servers of a doubted or dark hall probed at once. */
    private static final int MAX_PROBES_PER_UPDATE = 3;
    /** No server is probed again within this. */
    private static final long MIN_PROBE_INTERVAL_MICROS = 400_000;

    /** What the peers that know something say: how many hold it for lost, had a sign just now, and that it serves. */
    record PeerOpinions(int informedPeers, int peersHoldingItDark, int peersWithSign, int peersServedThere) {}

    HallRules rules;
    private final DoubleSupplier random;
    final int number;
    final List<HallServer> servers = new ArrayList<>();
    HallState state = HallState.SERVING;
    DarkReason darkReason = DarkReason.NONE;
    long stateSince;
    private long darkSince;
    private long recoveredAt = Long.MIN_VALUE / 2;
    private long nextTrialAt;
    private int trialsSinceDark;
    private int flapCount;
    private long heldUntil;
    private boolean everListed;
    /** As of the last turn: listed servers, their weight and slots, those lost, and the weight known to be alive. */
    private int listedCount;

    private int lostCount;
    private int faultCount;
    private int drainingCount;
    private boolean hasNonResetFault;
    private double listedWeight;
    private double slotsNotLost;
    private double lostWeight;
    private double aliveWeight;
    private double provenWeight;
    private double provenSlots;
    private double provenLostWeight;
    private int provenCount;
    private int firstJobsOut;
    private long lastSignAt;
    private long lossBeganAt = Long.MIN_VALUE / 2;
    /** The server that a dark hall's one trial is out at, and since when. */
    private HallServer trialServer;

    private long trialSentAt;

    Hall(int number, HallRules rules, DoubleSupplier random) {
        this.number = number;
        this.rules = rules;
        this.random = random;
    }

    /** Slots of the servers that are listed and not taken for lost; while it returns, of those that have served. */
    double usableSlots() {
        return state == HallState.RETURNING
                ? provenSlots
                : state == HallState.DARK || state == HallState.HELD ? 0 : slotsNotLost;
    }

    long lastSignAt() {
        return lastSignAt;
    }

    /** Since when the first of what is lost has been; long ago if nothing is. */
    long lossBeganAt() {
        return state == HallState.DARK ? darkSince : lossBeganAt;
    }

    /** Capacity that speaks for itself: no more than what is listed. */
    private void countServers(long now) {
        listedCount = 0;
        lostCount = 0;
        faultCount = 0;
        drainingCount = 0;
        provenCount = 0;
        firstJobsOut = 0;
        listedWeight = 0;
        slotsNotLost = 0;
        lostWeight = 0;
        aliveWeight = 0;
        provenWeight = 0;
        provenSlots = 0;
        provenLostWeight = 0;
        hasNonResetFault = false;
        lastSignAt = Long.MIN_VALUE / 2;
        lossBeganAt = Long.MAX_VALUE;
        for (HallServer server : servers) {
            lastSignAt = Math.max(lastSignAt, server.lastSignAt);
            drainingCount += server.listed && server.draining ? 1 : 0;
            if (!server.isActive()) {
                continue;
            }
            if (server.isLost() && server.onlyResets && now - server.lastFaultAt > SIGN_VALID_MICROS) {
                server.lostSince = 0; // a reset told of a moment, and that has passed
            }
            listedCount++;
            listedWeight += server.weight;
            if (server.isLost()) {
                lossBeganAt = Math.min(lossBeganAt, server.lostSince);
                lostCount++;
                faultCount += server.faultCount;
                hasNonResetFault |= !server.onlyResets;
                lostWeight += server.weight;
            } else {
                slotsNotLost += server.slots;
                aliveWeight += now - server.lastSignAt <= SIGN_VALID_MICROS ? server.weight : 0;
            }
            if (server.proven) {
                provenCount++;
                provenWeight += server.weight;
                provenLostWeight += server.isLost() ? server.weight : 0;
                provenSlots += server.isLost() ? 0 : Math.min(server.slots, server.allowedSlots);
            } else {
                firstJobsOut += server.firstJobOut && now - server.firstJobSentAt < FIRST_JOB_TIMEOUT_MICROS ? 1 : 0;
            }
        }
        lossBeganAt = lostCount == 0 ? Long.MIN_VALUE / 2 : lossBeganAt;
        everListed |= listedCount > 0;
    }

    /** The lost part of what is known of its capacity. */
    private double lostShare() {
        return lostWeight <= 0 ? 0 : lostWeight / (lostWeight + aliveWeight);
    }

    /** Whether enough servers are in trouble to say anything of the hall. */
    private boolean hasEnoughEvidence() {
        return lostCount > MAX_IGNORED_LOST_SERVERS
                || lostCount == listedCount
                        && listedCount > 0
                        && (faultCount >= SMALL_HALL_FAULTS_PER_SERVER * listedCount
                                || lostCount > 1 && hasNonResetFault);
    }

    /** Moves the state; returns a line for the log if it has changed, else null. */
    String updateState(long now, PeerOpinions peers) {
        countServers(now);
        if (!everListed) {
            return null;
        }
        return switch (state) {
            case SERVING -> updateServing(now, peers);
            case DOUBTED -> updateDoubted(now, peers);
            case DARK -> updateDark(now, peers);
            case HELD -> updateHeld(now);
            case RETURNING -> updateReturning(now, peers);
        };
    }

    private String updateServing(long now, PeerOpinions peers) {
        if (listedCount == 0) {
            return goDark(now, wasDrained() ? DarkReason.PLANNED : DarkReason.UNLISTED);
        }
        if (now - stateSince > rules.flapWindowMicros()) {
            flapCount = 0;
        }
        boolean toldDark = peers.peersHoldingItDark() > 0
                && 2 * peers.peersHoldingItDark() >= peers.informedPeers()
                && peers.peersWithSign() == 0;
        if (hasEnoughEvidence() && lostShare() >= rules.doubtShare()
                || toldDark && lostCount > 0 && lostShare() >= 0.5) {
            return changeState(now, HallState.DOUBTED);
        }
        // Nothing of our own speaks for it: a fresh scheduler believes the others.
        return toldDark && now - lastSignAt > SIGN_VALID_MICROS ? goDark(now, DarkReason.TOLD) : null;
    }

    /** Whether what it had drains, or drained before it went. */
    private boolean wasDrained() {
        for (HallServer server : servers) {
            if (server.draining) {
                return true;
            }
        }
        return false;
    }

    private String updateDoubted(long now, PeerOpinions peers) {
        if (listedCount == 0) {
            return goDark(now, wasDrained() ? DarkReason.PLANNED : DarkReason.UNLISTED);
        }
        double share = lostShare();
        if (lostCount == 0 || share < DOUBT_END_LOST_SHARE) {
            return changeState(now, HallState.SERVING);
        }
        boolean certain = hasEnoughEvidence() && hasNonResetFault && share >= IMMEDIATE_DARK_LOST_SHARE;
        boolean lastedLong =
                hasNonResetFault && now - stateSince >= rules.darkAfterMicros() && share >= rules.doubtShare();
        return certain || lastedLong
                ? goDark(now, peers.peersWithSign() > 0 ? DarkReason.CUT_OFF : DarkReason.LOST)
                : null;
    }

    private String updateDark(long now, PeerOpinions peers) {
        if (listedCount == 0) {
            return null;
        }
        if (darkReason == DarkReason.PLANNED || darkReason == DarkReason.UNLISTED) {
            boolean anyRestarted = false;
            for (HallServer server : servers) {
                anyRestarted |= server.isActive()
                        && (server.startedAt > darkSince || server.lastSignAt < darkSince - SIGN_VALID_MICROS);
            }
            // What was only not listed, and kept answering, never was away.
            return !anyRestarted && lostCount == 0 ? changeState(now, HallState.SERVING) : startReturn(now);
        }
        if (darkReason == DarkReason.LOST && peers.peersWithSign() > 0) {
            darkReason = DarkReason.CUT_OFF; // known only now: their word takes its time
            return String.format(
                    Locale.ROOT, "hall %s is only cut off from here: others are served there", rules.nameOf(number));
        }
        // What was only told is over when nobody says so any more.
        return lastSignAt > darkSince || darkReason == DarkReason.TOLD && peers.peersHoldingItDark() == 0
                ? startReturn(now)
                : null;
    }

    private String updateHeld(long now) {
        if (now >= heldUntil) {
            nextTrialAt = now;
            darkSince = now;
            return changeState(now, HallState.DARK);
        }
        return null;
    }

    private String updateReturning(long now, PeerOpinions peers) {
        if (listedCount == 0) {
            return goDark(now, wasDrained() ? DarkReason.PLANNED : DarkReason.UNLISTED);
        }
        boolean lostAgain = provenCount > 0
                && (provenLostWeight >= provenWeight
                        || provenLostWeight >= rules.doubtShare() * provenWeight
                                && lostCount > MAX_IGNORED_LOST_SERVERS
                                && provenLostWeight > provenWeight / 2);
        if (lostAgain) {
            return goDark(now, peers.peersWithSign() > 0 ? DarkReason.CUT_OFF : DarkReason.LOST);
        }
        if (provenCount == 0
                && now - stateSince > rules.settleMicros()
                && hasEnoughEvidence()
                && lostShare() >= rules.doubtShare()) {
            return goDark(now, DarkReason.LOST); // the sign that brought it back was the last one
        }
        boolean peersServed = peers.peersServedThere() > 0
                && peers.peersHoldingItDark() == 0
                && lostCount == 0; // we have no work there, others have
        boolean enoughProven =
                provenCount > 0 && provenWeight - provenLostWeight >= RECOVERED_WEIGHT_SHARE * listedWeight;
        if (now - stateSince >= rules.settleMicros() && (enoughProven || peersServed && provenCount == 0)) {
            recoveredAt = darkReason == DarkReason.LOST ? now : recoveredAt;
            darkReason = DarkReason.NONE;
            return changeState(now, HallState.SERVING);
        }
        return null;
    }

    private String goDark(long now, DarkReason reason) {
        boolean notAFailure =
                reason == DarkReason.PLANNED || reason == DarkReason.UNLISTED || reason == DarkReason.CUT_OFF;
        boolean flapped = !notAFailure
                && (state == HallState.RETURNING && provenCount > 0 || now - recoveredAt <= rules.flapWindowMicros());
        darkReason = reason;
        darkSince = now;
        trialServer = null;
        trialsSinceDark = 0;
        nextTrialAt = now + trialPauseMicros();
        if (flapped) {
            long holdOffMicros = Math.min(rules.maxHoldOffMicros(), rules.holdOffMicros() << Math.min(flapCount++, 16));
            heldUntil = now + (long) (holdOffMicros * (0.75 + random.getAsDouble() / 2));
            return changeState(now, HallState.HELD);
        }
        return changeState(now, HallState.DARK);
    }

    private String startReturn(long now) {
        for (HallServer server : servers) {
            server.restartProof(now, now + (long) (random.getAsDouble() * rules.trialPauseMicros()));
            if (!isFailureSuspected()) {
                server.allowedSlots =
                        Math.max(1, server.slots / 2); // it was well all the time; still it is not hit by all at once
            }
        }
        return changeState(now, HallState.RETURNING);
    }

    private long trialPauseMicros() {
        return (long) ((rules.trialPauseMicros() << Math.min(trialsSinceDark, MAX_TRIAL_PAUSE_DOUBLINGS))
                * (0.75 + random.getAsDouble() / 2));
    }

    private String changeState(long now, HallState to) {
        HallState from = state;
        state = to;
        stateSince = now;
        return String.format(
                Locale.ROOT,
                "hall %s %s (was %s%s): %d of %d servers lost, share %.2f, flaps %d",
                rules.nameOf(number),
                logName(to),
                logName(from),
                darkReason == DarkReason.NONE || to == HallState.SERVING ? "" : ", " + logName(darkReason),
                lostCount,
                listedCount,
                lostShare(),
                flapCount);
    }

    private static String logName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Whether a job may go to this server now. */
    boolean acceptsJob(long now, HallServer server, double jobSlots, boolean repeatable) {
        return switch (state) {
            case SERVING -> true;
            case DOUBTED -> !server.isLost();
                // One trial at a time; the first ones with what may run twice, if there is such work.
            case DARK -> trialServer == null && now >= nextTrialAt && (repeatable || trialsSinceDark > 1);
            case HELD -> false;
            case RETURNING -> server.proven
                    ? server.heldSlots + jobSlots <= server.allowedSlots
                            || server.heldSlots == 0 && jobSlots <= server.slots
                    : !server.firstJobOut
                            && now >= server.nextFirstJobAt
                            && (firstJobsOut < Math.max(1, provenCount) || !isFailureSuspected())
                            && (repeatable
                                    || !server.isLost()
                                    || now - server.nextFirstJobAt > 4 * rules.trialPauseMicros());
        };
    }

    /** Whether something broke there: not if it was drained, left out of the list, or cut off from here alone. */
    private boolean isFailureSuspected() {
        return darkReason == DarkReason.LOST || darkReason == DarkReason.TOLD;
    }

    /** No hall is any good: what is left is one job at a time for each server, wherever one may still be. */
    boolean acceptsJobInPanic(HallServer server) {
        return !server.firstJobOut;
    }

    void recordSent(long now, HallServer server, double jobSlots) {
        if (state == HallState.DARK) {
            trialServer = server;
            trialSentAt = now;
            nextTrialAt = now + trialPauseMicros();
            trialsSinceDark++;
        }
        // What proved itself in an earlier return has nothing to show for it once the hall is dark again.
        if (state != HallState.SERVING && !(server.proven && state == HallState.RETURNING) && !server.firstJobOut) {
            server.firstJobOut = true;
            server.firstJobSentAt = now;
            firstJobsOut++;
        }
        server.heldSlots += jobSlots;
    }

    void recordEnd(long now, HallServer server, long sentAt, double jobSlots, boolean served) {
        if (server == trialServer && sentAt >= trialSentAt) {
            trialServer = null;
        }
        if (sentAt < server.provingSince) {
            return; // work of before: it is a sign, but proves nothing of what it can take now
        }
        server.heldSlots = Math.max(0, server.heldSlots - jobSlots);
        firstJobsOut = Math.max(0, firstJobsOut - (server.firstJobOut ? 1 : 0));
        server.firstJobOut = false;
        if (served && state == HallState.RETURNING) {
            server.proven = true;
            server.allowedSlots += Math.max(1, server.allowedSlots / 2);
        } else if (!served && !server.proven) {
            server.nextFirstJobAt = now + (long) (rules.trialPauseMicros() * (1 + random.getAsDouble()));
        }
    }

    /** Servers to probe: in a doubt those of which nothing is known lately, in the dark those least lately asked. */
    void addServersToProbe(long now, List<String> serversToProbe) {
        if (state == HallState.SERVING || state == HallState.HELD || state == HallState.DARK && now < nextTrialAt) {
            return;
        }
        int probesLeft = state == HallState.DARK ? 1 : MAX_PROBES_PER_UPDATE;
        while (probesLeft-- > 0) {
            HallServer next = null;
            for (HallServer server : servers) {
                boolean due = server.isActive()
                        && now - server.lastProbeAt > MIN_PROBE_INTERVAL_MICROS
                        && (state == HallState.DARK
                                || state == HallState.RETURNING && !server.proven && server.isLost()
                                || state == HallState.DOUBTED
                                        && !server.isLost()
                                        && now - server.lastSignAt > SIGN_VALID_MICROS / 2);
                if (due && (next == null || server.lastProbeAt < next.lastProbeAt)) {
                    next = server;
                }
            }
            if (next == null) {
                return;
            }
            next.lastProbeAt = now;
            serversToProbe.add(next.id);
            if (state == HallState.DARK) {
                nextTrialAt = now + trialPauseMicros();
                trialsSinceDark++;
            }
        }
    }
}
