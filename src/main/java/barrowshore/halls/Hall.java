package barrowshore.halls;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.DoubleSupplier;

/**
 * The failure detector of one hall: a state machine driven by evidence about its servers, weighted by capacity. Owned by
 * {@link Halls}. One or two lost servers of a larger hall, a planned drain, or peers' reports that contradict this
 * scheduler's own evidence never change the state.
 */
final class Hall {
    /** Why a hall is dark; the names appear in log lines. */
    enum DarkReason {
        /** The hall is not dark, or has recovered. */
        NONE,
        /** Its servers failed. */
        LOST,
        /** Its servers are unreachable from this scheduler, but peers are served there. */
        CUT_OFF,
        /** The server list no longer names any of its servers. */
        UNLISTED,
        /** Its servers were drained. */
        PLANNED,
        /** Peers report it dark, and this scheduler has no evidence of its own. */
        TOLD
    }

    /** How long a sign of life, or a connection reset, counts as current evidence. */
    private static final long SIGN_VALID_MICROS = 3_000_000;
    /** A doubted hall with at least this lost share goes dark without waiting for darkAfter. */
    private static final double IMMEDIATE_DARK_LOST_SHARE = 0.9;
    /** This lost share is enough for a doubt if peers report the hall dark. */
    private static final double PEER_BACKED_DOUBT_LOST_SHARE = 0.5;
    /** Below this lost share a doubted hall serves again. */
    private static final double DOUBT_END_LOST_SHARE = 0.4;
    /** Up to so many lost servers never change the state of a hall that has more servers. */
    private static final int MAX_IGNORED_LOST_SERVERS = 2;
    /** Faults per server before a fully lost hall of one or two is doubted: it has no other servers to compare with. */
    private static final int SMALL_HALL_FAULTS_PER_SERVER = 2;
    /** Share of the active capacity that must be proven before a returning hall serves. */
    private static final double RECOVERED_WEIGHT_SHARE = 0.8;
    /** A first job that takes longer no longer counts against the number of servers tried at once. */
    private static final long FIRST_JOB_TIMEOUT_MICROS = 2_000_000;

    private static final int MAX_TRIAL_PAUSE_DOUBLINGS = 3;
    /** For a doubted or returning hall; a dark one gets a single probe. */
    private static final int MAX_PROBES_PER_UPDATE = 3;
    /** Between two probes of the same server. */
    private static final long MIN_PROBE_INTERVAL_MICROS = 400_000;

    /**
     * How many peers know something current about the hall, and of these how many report it dark, have had a recent sign
     * of life from it, or have had one and also report it serving.
     */
    record PeerOpinions(int informed, int holdingItDark, int withSign, int servedThere) {}

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
    private boolean everActive;
    /** Totals over the active servers (listed and not draining), as of the last {@link #countServers}. */
    private int activeCount;

    private int lostCount;
    private int faultCount;
    private int drainingCount;
    private boolean hasNonResetFault;
    private double activeWeight;
    private double slotsNotLost;
    private double lostWeight;
    /** Weight of the servers with a current sign of life. */
    private double aliveWeight;

    private double provenWeight;
    private double provenSlots;
    private double provenLostWeight;
    private int provenCount;
    private int firstJobsOut;
    /** The last sign of life of any of its servers, active or not. */
    private long lastSignAt;

    private long lossBeganAt = Long.MIN_VALUE / 2;
    /** The server that holds the one job sent to the dark hall to see whether it serves again; null: none. */
    private HallServer trialServer;

    private long trialSentAt;

    Hall(int number, HallRules rules, DoubleSupplier random) {
        this.number = number;
        this.rules = rules;
        this.random = random;
    }

    /** Slots of active servers that are not lost; while the hall returns, the slots that proven servers may hold. */
    double usableSlots() {
        return state == HallState.RETURNING
                ? provenSlots
                : state == HallState.DARK || state == HallState.HELD ? 0 : slotsNotLost;
    }

    long lastSignAt() {
        return lastSignAt;
    }

    /** Since when the hall is dark, or its first lost server is lost; the distant past if none is. */
    long lossBeganAt() {
        return state == HallState.DARK ? darkSince : lossBeganAt;
    }

    /** Recomputes the totals over the active servers. */
    private void countServers(long now) {
        activeCount = 0;
        lostCount = 0;
        faultCount = 0;
        drainingCount = 0;
        provenCount = 0;
        firstJobsOut = 0;
        activeWeight = 0;
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
                server.lostSince = 0; // a reset is evidence of a moment only
            }
            activeCount++;
            activeWeight += server.weight;
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
        everActive |= activeCount > 0;
    }

    /** The lost share of the capacity whose condition is known; servers without current evidence are left out. */
    private double lostShare() {
        return lostWeight <= 0 ? 0 : lostWeight / (lostWeight + aliveWeight);
    }

    /** Whether enough servers are lost to judge the whole hall. */
    private boolean hasEnoughEvidence() {
        return lostCount > MAX_IGNORED_LOST_SERVERS
                || lostCount == activeCount
                        && activeCount > 0
                        && (faultCount >= SMALL_HALL_FAULTS_PER_SERVER * activeCount
                                || lostCount > 1 && hasNonResetFault);
    }

    /** Changes the state where the evidence asks for it; returns the line to log, or null. */
    String updateState(long now, PeerOpinions peers) {
        countServers(now);
        if (!everActive) {
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
        if (activeCount == 0) {
            return goDark(now, wasDrained() ? DarkReason.PLANNED : DarkReason.UNLISTED);
        }
        if (now - stateSince > rules.flapWindowMicros()) {
            flapCount = 0;
        }
        boolean toldDark =
                peers.holdingItDark() > 0 && 2 * peers.holdingItDark() >= peers.informed() && peers.withSign() == 0;
        if (hasEnoughEvidence() && lostShare() >= rules.doubtShare()
                || toldDark && lostCount > 0 && lostShare() >= PEER_BACKED_DOUBT_LOST_SHARE) {
            return changeState(now, HallState.DOUBTED);
        }
        // A scheduler that has just started has no evidence of its own and relies on its peers.
        return toldDark && now - lastSignAt > SIGN_VALID_MICROS ? goDark(now, DarkReason.TOLD) : null;
    }

    /** Whether any of its servers is draining, or was when it left the list. */
    private boolean wasDrained() {
        for (HallServer server : servers) {
            if (server.draining) {
                return true;
            }
        }
        return false;
    }

    private String updateDoubted(long now, PeerOpinions peers) {
        if (activeCount == 0) {
            return goDark(now, wasDrained() ? DarkReason.PLANNED : DarkReason.UNLISTED);
        }
        double share = lostShare();
        if (lostCount == 0 || share < DOUBT_END_LOST_SHARE) {
            return changeState(now, HallState.SERVING);
        }
        boolean certain = hasEnoughEvidence() && hasNonResetFault && share >= IMMEDIATE_DARK_LOST_SHARE;
        boolean lastedLong =
                hasNonResetFault && now - stateSince >= rules.darkAfterMicros() && share >= rules.doubtShare();
        return certain || lastedLong ? goDark(now, peers.withSign() > 0 ? DarkReason.CUT_OFF : DarkReason.LOST) : null;
    }

    private String updateDark(long now, PeerOpinions peers) {
        if (activeCount == 0) {
            return null;
        }
        if (darkReason == DarkReason.PLANNED || darkReason == DarkReason.UNLISTED) {
            boolean anyRestartedOrSilent = false;
            for (HallServer server : servers) {
                anyRestartedOrSilent |= server.isActive()
                        && (server.startedAt > darkSince || server.lastSignAt < darkSince - SIGN_VALID_MICROS);
            }
            // Servers that were only missing from the list and kept answering need no proof.
            return !anyRestartedOrSilent && lostCount == 0 ? changeState(now, HallState.SERVING) : startReturn(now);
        }
        if (darkReason == DarkReason.LOST && peers.withSign() > 0) {
            darkReason = DarkReason.CUT_OFF; // peers' reports arrive after the hall went dark
            return String.format(
                    Locale.ROOT,
                    "hall %s is unreachable from this scheduler only: peers are served there, reason changed to cut off",
                    rules.nameOf(number));
        }
        // A hall that is dark only by peers' reports returns when no peer reports it any more.
        return lastSignAt > darkSince || darkReason == DarkReason.TOLD && peers.holdingItDark() == 0
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
        if (activeCount == 0) {
            return goDark(now, wasDrained() ? DarkReason.PLANNED : DarkReason.UNLISTED);
        }
        boolean lostAgain = provenCount > 0
                && (provenLostWeight >= provenWeight
                        || provenLostWeight >= rules.doubtShare() * provenWeight
                                && lostCount > MAX_IGNORED_LOST_SERVERS
                                && provenLostWeight > provenWeight / 2);
        if (lostAgain) {
            return goDark(now, peers.withSign() > 0 ? DarkReason.CUT_OFF : DarkReason.LOST);
        }
        if (provenCount == 0
                && now - stateSince > rules.settleMicros()
                && hasEnoughEvidence()
                && lostShare() >= rules.doubtShare()) {
            return goDark(now, DarkReason.LOST); // no sign of life since the one that started the return
        }
        boolean peersServed = peers.servedThere() > 0
                && peers.holdingItDark() == 0
                && lostCount == 0; // without own work there, peers' evidence is enough
        boolean enoughProven =
                provenCount > 0 && provenWeight - provenLostWeight >= RECOVERED_WEIGHT_SHARE * activeWeight;
        if (now - stateSince >= rules.settleMicros() && (enoughProven || peersServed && provenCount == 0)) {
            recoveredAt = darkReason == DarkReason.LOST ? now : recoveredAt;
            darkReason = DarkReason.NONE;
            return changeState(now, HallState.SERVING);
        }
        return null;
    }

    /** Makes the hall dark, or held off if it failed again soon after its return. */
    private String goDark(long now, DarkReason reason) {
        boolean nothingFailed =
                reason == DarkReason.PLANNED || reason == DarkReason.UNLISTED || reason == DarkReason.CUT_OFF;
        boolean flapped = !nothingFailed
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

    /** Starts the return: each server has to prove itself, at a random time so that not all are tried at once. */
    private String startReturn(long now) {
        for (HallServer server : servers) {
            server.restartProof(now, now + (long) (random.getAsDouble() * rules.trialPauseMicros()));
            if (!isFailureSuspected()) {
                // Probably healthy all along, but all schedulers come back at the same time.
                server.allowedSlots = Math.max(1, server.slots / 2);
            }
        }
        return changeState(now, HallState.RETURNING);
    }

    /** The pause before the next trial, which doubles with each trial, with 25 % jitter either way. */
    private long trialPauseMicros() {
        return (long) ((rules.trialPauseMicros() << Math.min(trialsSinceDark, MAX_TRIAL_PAUSE_DOUBLINGS))
                * (0.75 + random.getAsDouble() / 2));
    }

    /** Sets the state and returns the line to log. */
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
                activeCount,
                lostShare(),
                flapCount);
    }

    private static String logName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Whether a job of so many slots may go to this server now. */
    boolean acceptsJob(long now, HallServer server, double jobSlots, boolean repeatable) {
        return switch (state) {
            case SERVING -> true;
            case DOUBTED -> !server.isLost();
                // One trial at a time. The first two, probes included, are left to repeatable jobs.
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

    /** Whether servers may have failed: not if they were drained, unlisted, or cut off only from this scheduler. */
    private boolean isFailureSuspected() {
        return darkReason == DarkReason.LOST || darkReason == DarkReason.TOLD;
    }

    /** Whether the server may get a job while no hall is in use: one at a time each, to find any that still works. */
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
        // Proof from an earlier return does not count once the hall is dark again.
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
            return; // sent before the return: a sign of life, but no proof of what the server can take now
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

    /**
     * Adds the servers to probe, least recently probed first: of a doubted hall those without a recent sign of life, of a
     * returning one those lost and unproven, of a dark one any.
     */
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
