package barrowshore.halls;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * One scheduler's policy on halls: which halls a request may go to and at what price, how much work spills into foreign
 * halls, and which requests may be retried when a whole hall fails. Owns the halls' failure detectors, this scheduler's
 * spill shares and its peers' last reports. Time and randomness are passed in. It never chooses a server, and never lets
 * spilled work exceed this scheduler's share of a hall.
 */
public final class Halls implements HallPolicy {
    /** How long a peer's report counts; also, repeated silence within it is one fault. */
    private static final long REPORT_VALID_MICROS = 1_500_000;
    /** A sign of life that a peer had no longer ago than this shows that peers are served in the hall. */
    private static final long PEER_SIGN_VALID_MICROS = 1_000_000;
    /** A sign of life longer ago than this is reported as none. */
    private static final long MAX_REPORTED_SIGN_AGE_MICROS = 60_000_000;
    /** How long computed spill limits are reused; {@link SpillShare#PROMISE_BINDING_MICROS} allows for it. */
    private static final long LIMIT_CACHE_MICROS = 100_000;
    /** Updates come about every 100 ms; after a gap this long the process was paused, and ignores evidence as long. */
    private static final long OWN_PAUSE_MICROS = 500_000;
    /** Share of the spill limit that requests of worth 0 may fill; the rest is reserved for higher worth. */
    private static final double ZERO_WORTH_LIMIT_SHARE = 0.7;
    /** An expected wait above this share of the target time shows that the home hall is crowded. */
    private static final double CROWDED_WAIT_SHARE = 0.5;
    /** A refused request of at least this worth shows crowding; those of lower worth are often refused anyway. */
    private static final double CROWDED_REFUSED_WORTH = 0.5;
    /** Applied to the share of spill that the home hall accepts, at each update while it is crowded. */
    private static final double ACCEPTED_SHARE_DECREASE_FACTOR = 0.95;

    /** Added to that share at each update while it is not crowded. */
    private static final double ACCEPTED_SHARE_INCREASE = 0.03;
    /** Share of retryBurst that a request of worth 0 must leave to retries of higher worth. */
    private static final double RESERVED_RETRY_BURST_SHARE = 0.6;

    /** Another scheduler's last report; the arrays are by hall. */
    private static final class Peer {
        int incarnation = -1;
        int lastSequenceNumber;
        int homeHall = -2;
        long lastHeardAt = Long.MIN_VALUE / 2;
        final HallState[] states;
        final long[] lastSignAt;
        final double[] acceptedShares;

        Peer(int hallCount) {
            states = new HallState[hallCount];
            lastSignAt = new long[hallCount];
            acceptedShares = new double[hallCount];
            Arrays.fill(acceptedShares, 1);
            Arrays.fill(lastSignAt, Long.MIN_VALUE / 2);
        }
    }

    private HallRules rules;
    private final int ownIndex;
    private final int incarnation;
    private final Hall[] halls;
    private final SpillShare[] spillShares;
    private final Peer[] peers;
    private final Map<String, HallServer> serversById = new HashMap<>();
    private final List<String> serversToProbe = new ArrayList<>();
    /** The result of the last {@link #priceHalls}, and the request that it was called for. */
    private final double[] prices;

    private double requestSlots;
    private boolean requestRepeatable;
    private long requestAt;
    private double retryTokens;
    private double ownAcceptedShare = 1;
    private boolean homeCrowded;
    /** Panic mode: no hall is in use, so the evidence against halls is overridden. */
    private boolean panic;

    private long lastUpdateAt;
    private long ignoreEvidenceUntil;
    /** Cached by hall for {@link #LIMIT_CACHE_MICROS}: the spill limit, the tier, and the multiple of the crossing price. */
    private final double[] spillLimits;

    private final int[] tiersByHall;
    private final double[] crossingsByHall;
    private long limitsCachedAt = Long.MIN_VALUE / 2;
    private int lastSequenceNumber;
    private int nextHallToReport;

    /** For scheduler {@code ownIndex} (from 0) of {@code schedulers}; random is uniform in [0, 1). */
    public Halls(HallRules rules, int schedulers, int ownIndex, DoubleSupplier random) {
        this.rules = rules;
        this.ownIndex = ownIndex;
        this.incarnation = (int) (random.getAsDouble() * 0x10000);
        int hallCount = rules.names().size() + 1;
        halls = new Hall[hallCount];
        Arrays.setAll(halls, h -> new Hall(h, rules, random));
        spillShares = new SpillShare[hallCount];
        Arrays.setAll(spillShares, h -> new SpillShare(schedulers, ownIndex));
        peers = new Peer[schedulers];
        Arrays.setAll(peers, p -> new Peer(hallCount));
        prices = new double[hallCount];
        spillLimits = new double[hallCount];
        tiersByHall = new int[hallCount];
        crossingsByHall = new double[hallCount];
        retryTokens = rules.retryBurst();
    }

    @Override
    public boolean changeRules(HallRules changed) {
        if (!changed.names().equals(rules.names()) || changed.home() != rules.home()) {
            return false;
        }
        rules = changed;
        limitsCachedAt = Long.MIN_VALUE / 2;
        for (Hall hall : halls) {
            hall.rules = changed;
        }
        return true;
    }

    // The servers, and the evidence for and against them.

    @Override
    public HallServer serverFor(String serverId) {
        return serversById.computeIfAbsent(serverId, HallServer::new);
    }

    @Override
    public void updateListing(long now, HallServer server, int zone, boolean ready, boolean draining, long startedAt) {
        int hall = rules.hallOfZone(zone);
        if (server.hall != hall) {
            if (server.hall >= 0) {
                halls[server.hall].servers.remove(server);
                spillShares[server.hall].addUsedSlots(now, -server.slotsOut);
            }
            halls[hall].servers.add(server);
            spillShares[hall].addUsedSlots(now, server.slotsOut);
            server.hall = hall;
        }
        if (startedAt != server.startedAt) {
            server.startedAt = startedAt;
            server.lostSince = 0;
            server.faultCount = 0;
            server.restartProof(now, now);
        }
        server.listed = ready || draining;
        server.draining = draining || !ready && server.draining;
    }

    @Override
    public void updateCapacity(long now, HallServer server, double slots, double speed, boolean silent) {
        server.slots = slots;
        server.weight = slots * speed;
        if (silent) {
            recordFault(now, server, HallServer.Fault.SILENT);
        }
    }

    @Override
    public void recordSignOfLife(long now, HallServer server) {
        server.lastSignAt = now;
        server.lostSince = 0;
        server.faultCount = 0;
    }

    @Override
    public void recordFault(long now, HallServer server, HallServer.Fault fault) {
        boolean lasting = fault != HallServer.Fault.RESET;
        if (server.lostSince == 0) {
            server.lostSince = now;
            server.onlyResets = true;
        }
        server.onlyResets &= !lasting;
        // Silence is reported again and again; each failed connection or probe is a fault of its own.
        server.faultCount += fault == HallServer.Fault.SILENT
                        && server.faultCount > 0
                        && now - server.lastFaultAt < REPORT_VALID_MICROS
                ? 0
                : 1;
        server.lastFaultAt = now;
    }

    @Override
    public void recordProbe(long now, HallServer server, boolean answered) {
        if (answered) {
            recordSignOfLife(now, server);
        } else {
            recordFault(now, server, HallServer.Fault.UNREACHABLE);
        }
    }

    @Override
    public void recordSent(long now, HallServer server, double slots, double waitShare) {
        server.slotsOut += slots;
        server.jobsOut++;
        if (server.hall != rules.home()) {
            spillShares[server.hall].addUsedSlots(now, slots);
        }
        halls[server.hall].recordSent(now, server, slots);
        retryTokens = Math.min(rules.retryBurst(), retryTokens + rules.retryShare());
        homeCrowded |= server.hall == rules.home() && waitShare > CROWDED_WAIT_SHARE;
    }

    @Override
    public void recordEnd(long now, HallServer server, long sentAt, double slots, boolean served) {
        server.jobsOut = Math.max(0, server.jobsOut - 1);
        server.slotsOut = server.jobsOut == 0 ? 0 : server.slotsOut - slots;
        if (server.hall != rules.home()) {
            spillShares[server.hall].addUsedSlots(now, -slots);
        }
        if (served) {
            recordSignOfLife(now, server);
        }
        halls[server.hall].recordEnd(now, server, sentAt, slots, served);
    }

    @Override
    public void recordRefusal(long now, double worth) {
        homeCrowded |= worth >= CROWDED_REFUSED_WORTH;
    }

    // Where a request may go.

    @Override
    public double[] priceHalls(long now, double slots, double worth, boolean repeatable, int tier) {
        this.requestAt = now;
        this.requestSlots = slots;
        this.requestRepeatable = repeatable;
        if (now - limitsCachedAt > LIMIT_CACHE_MICROS) {
            refreshLimits(now);
        }
        for (int h = 0; h < halls.length; h++) {
            boolean withinTier = !rules.strict() || tiersByHall[h] <= tier;
            boolean open = withinTier && (h == rules.home() || acceptsSpill(now, h, slots, worth));
            HallState state = halls[h].state;
            // A trial is free: priced by distance it would never be the cheapest, and no scheduler would make it.
            prices[h] = panic
                    ? -1 - crossingsByHall[h]
                    : !open
                            ? CLOSED
                            : state == HallState.SERVING
                                    ? crossingsByHall[h]
                                    : state == HallState.DARK ? -1 : -1 - crossingsByHall[h];
        }
        return prices;
    }

    /** Recomputes the cached limits, tiers and crossings. */
    private void refreshLimits(long now) {
        limitsCachedAt = now;
        for (int h = 0; h < halls.length; h++) {
            spillLimits[h] = spillLimit(now, h);
            tiersByHall[h] = rules.tierOf(h);
            crossingsByHall[h] = Math.max(h == rules.home() ? 0 : 1, tiersByHall[h]);
        }
    }

    @Override
    public int hallOfZone(int zone) {
        return rules.hallOfZone(zone);
    }

    /** Whether the request fits into the spill limit of a foreign hall; the last of it is reserved for high worth. */
    private boolean acceptsSpill(long now, int hall, double slots, double worth) {
        HallState state = halls[hall].state;
        if (state == HallState.DARK) {
            return true; // the hall limits trials itself; the hall's own schedulers need not find out alone
        }
        if (state != HallState.SERVING || rules.spillShare() == 0 || halls[hall].servers.isEmpty()) {
            return false;
        }
        double usedSlots = spillShares[hall].usedSlots() + slots;
        double limit = spillLimits[hall];
        if (usedSlots > limit) {
            spillShares[hall].askForMore(now, usedSlots);
            return false;
        }
        return usedSlots <= limit * (ZERO_WORTH_LIMIT_SHARE + (1 - ZERO_WORTH_LIMIT_SHARE) * Math.min(1, worth))
                || spillShares[hall].usedSlots() == 0;
    }

    /** Slots that this scheduler's spilled work may hold in a foreign hall now. */
    double spillLimit(long now, int hall) {
        int spillingSchedulers = spillingSchedulers(hall);
        double totalSpillSlots = rules.spillShare() * halls[hall].usableSlots() * acceptedShare(now, hall);
        return spillShares[hall].slotLimit(now, totalSpillSlots / spillingSchedulers, spillingSchedulers);
    }

    /** How many schedulers may spill into the hall: all those that are not known to have it as their home. */
    private int spillingSchedulers(int hall) {
        int count = hall == rules.home() ? 0 : 1;
        for (int j = 0; j < peers.length; j++) {
            count += j != ownIndex && peers[j].homeHall != hall ? 1 : 0;
        }
        return Math.max(1, count);
    }

    /** The share of the configured spill that the hall accepts, by the lowest report of its home schedulers. */
    private double acceptedShare(long now, int hall) {
        double lowestShare = 1;
        for (int j = 0; j < peers.length; j++) {
            if (j != ownIndex && peers[j].homeHall == hall && now - peers[j].lastHeardAt <= REPORT_VALID_MICROS) {
                lowestShare = Math.min(lowestShare, peers[j].acceptedShares[hall]);
            }
        }
        return lowestShare;
    }

    @Override
    public boolean mayUse(HallServer server) {
        return panic
                ? halls[server.hall].acceptsJobInPanic(server)
                : halls[server.hall].acceptsJob(requestAt, server, requestSlots, requestRepeatable);
    }

    @Override
    public int tierRounds() {
        return rules.strict() ? rules.tierCount() : 1;
    }

    @Override
    public boolean isHallInUse(HallServer server) {
        HallState state = halls[server.hall].state;
        return state != HallState.DARK && state != HallState.HELD && (state != HallState.DOUBTED || !server.isLost());
    }

    @Override
    public boolean isHallTroubled(HallServer server) {
        return halls[server.hall].state != HallState.SERVING;
    }

    @Override
    public boolean mayRetry(long now, HallServer server, double worth) {
        if (halls[server.hall].state == HallState.SERVING) {
            return true; // at most single servers failed there: the dispatcher's own retry budget applies
        }
        double reservedTokens = RESERVED_RETRY_BURST_SHARE * rules.retryBurst() * (1 - Math.min(1, worth));
        if (retryTokens < 1 + reservedTokens && retryTokens < rules.retryBurst()) {
            return false;
        }
        retryTokens--;
        return true;
    }

    // Periodic updates, and the exchange with peers.

    @Override
    public List<String> updateStates(long now, boolean mayProbe) {
        List<String> logLines = List.of();
        serversToProbe.clear();
        // After a pause of this process all servers look silent: evidence is ignored until new evidence has come in.
        boolean wasPaused = now - lastUpdateAt > OWN_PAUSE_MICROS && lastUpdateAt > 0;
        ignoreEvidenceUntil = wasPaused ? now + OWN_PAUSE_MICROS : ignoreEvidenceUntil;
        lastUpdateAt = now;
        if (now < ignoreEvidenceUntil) {
            return logLines;
        }
        limitsCachedAt = Long.MIN_VALUE / 2;
        for (Hall hall : halls) {
            String line = hall.updateState(now, peerOpinions(now, hall.number));
            if (line != null) {
                logLines = logLines.isEmpty() ? new ArrayList<>() : logLines;
                logLines.add(line);
            }
            if (mayProbe) {
                hall.addServersToProbe(now, serversToProbe);
            }
        }
        panic = true;
        for (Hall hall : halls) {
            panic &= hall.state == HallState.DARK || hall.state == HallState.HELD || hall.servers.isEmpty();
        }
        boolean homeServing = isHomeHallServing();
        ownAcceptedShare = !homeServing
                ? 0
                : homeCrowded
                        ? ownAcceptedShare * ACCEPTED_SHARE_DECREASE_FACTOR
                        : Math.min(1, ownAcceptedShare + ACCEPTED_SHARE_INCREASE);
        homeCrowded = false;
        return logLines;
    }

    /** Whether the home hall serves, so that it can take foreign work; one cut off only from this scheduler does. */
    private boolean isHomeHallServing() {
        Hall homeHall = rules.home() < 0 ? null : halls[rules.home()];
        return homeHall == null
                || homeHall.state == HallState.SERVING
                || homeHall.darkReason == Hall.DarkReason.CUT_OFF;
    }

    /** Summarizes the peers' current reports on the hall. */
    private Hall.PeerOpinions peerOpinions(long now, int hall) {
        int informed = 0, holdingItDark = 0, withSign = 0, servedThere = 0;
        for (int j = 0; j < peers.length; j++) {
            Peer peer = peers[j];
            if (j == ownIndex || now - peer.lastHeardAt > REPORT_VALID_MICROS || peer.states[hall] == null) {
                continue;
            }
            boolean holdsItDark = peer.states[hall] == HallState.DARK || peer.states[hall] == HallState.HELD;
            // Signs of life from before this scheduler's own loss don't show that only this scheduler is cut off.
            boolean hasSign = now - peer.lastSignAt[hall] <= PEER_SIGN_VALID_MICROS
                    && peer.lastSignAt[hall] > halls[hall].lossBeganAt();
            informed += holdsItDark || hasSign ? 1 : 0; // a peer without recent work there knows nothing
            holdingItDark += holdsItDark ? 1 : 0;
            withSign += hasSign ? 1 : 0;
            servedThere += hasSign && peer.states[hall] == HallState.SERVING ? 1 : 0;
        }
        return new Hall.PeerOpinions(informed, holdingItDark, withSign, servedThere);
    }

    @Override
    public List<String> serversToProbe() {
        return serversToProbe;
    }

    @Override
    public byte[] nextMessage(long now) {
        if (peers.length < 2) {
            return null;
        }
        boolean homeServing = rules.home() < 0 || halls[rules.home()].state == HallState.SERVING;
        List<HallMessageCodec.HallReport> reports = new ArrayList<>();
        for (int k = 0; k < Math.min(halls.length, HallMessageCodec.MAX_HALLS_PER_MESSAGE); k++) {
            int h = (nextHallToReport + k) % halls.length;
            SpillShare share = spillShares[h];
            boolean foreign = h != rules.home();
            double evenPart = rules.spillShare() * halls[h].usableSlots() / spillingSchedulers(h);
            long sinceSign = now - halls[h].lastSignAt();
            // First-hand evidence only: a peer's own report must not come back to it as a second opinion.
            HallState state = halls[h].darkReason == Hall.DarkReason.TOLD ? HallState.SERVING : halls[h].state;
            reports.add(new HallMessageCodec.HallReport(
                    h,
                    state,
                    foreign && share.asksForMore(now),
                    sinceSign > MAX_REPORTED_SIGN_AGE_MICROS ? -1 : sinceSign,
                    foreign ? share.nextPromise255ths(now, evenPart, homeServing) : SpillShare.FULL_PART_255THS,
                    foreign ? share.usedSlots() : 0,
                    foreign ? 1 : ownAcceptedShare));
        }
        limitsCachedAt = Long.MIN_VALUE / 2; // the promises just made bind at once
        nextHallToReport = (nextHallToReport + HallMessageCodec.MAX_HALLS_PER_MESSAGE) % Math.max(1, halls.length);
        if (halls.length <= HallMessageCodec.MAX_HALLS_PER_MESSAGE) {
            nextHallToReport = 0;
        }
        return HallMessageCodec.encode(
                new HallMessageCodec.Message(incarnation, ++lastSequenceNumber & 0xffff, rules.home(), reports));
    }

    @Override
    public boolean receive(long now, int from, byte[] bytes) {
        if (bytes.length == 0 || bytes[0] != MESSAGE_TYPE) {
            return false;
        }
        HallMessageCodec.Message message = HallMessageCodec.decode(bytes, halls.length);
        if (message == null || from < 0 || from >= peers.length || from == ownIndex) {
            return true;
        }
        Peer peer = peers[from];
        if (peer.incarnation == message.incarnation()
                && (short) (message.sequenceNumber() - peer.lastSequenceNumber) <= 0) {
            return true;
        }
        if (peer.incarnation != message.incarnation()) {
            Arrays.fill(peer.states, null);
            Arrays.fill(peer.lastSignAt, Long.MIN_VALUE / 2);
        }
        peer.incarnation = message.incarnation();
        peer.lastSequenceNumber = message.sequenceNumber();
        peer.homeHall = message.homeHall();
        peer.lastHeardAt = now;
        for (HallMessageCodec.HallReport report : message.halls()) {
            peer.states[report.hall()] = report.state();
            peer.lastSignAt[report.hall()] =
                    report.sinceSignMicros() < 0 ? Long.MIN_VALUE / 2 : now - report.sinceSignMicros();
            peer.acceptedShares[report.hall()] = report.acceptedShare();
            spillShares[report.hall()].recordPeerReport(
                    now, from, report.promise255ths(), report.usedSlots(), report.asksForMore());
        }
        return true;
    }

    @Override
    public List<HallState> states() {
        return Arrays.stream(halls, 0, rules.names().size()).map(h -> h.state).toList();
    }

    @Override
    public double spilledSlots(int hall) {
        return hall == rules.home() ? 0 : spillShares[hall].usedSlots();
    }
}
