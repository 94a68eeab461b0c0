package barrowshore.halls;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * The decisions about halls of one scheduler: which halls a request may go to, at whose expense, and what may be tried
 * again when a hall's requests end all at once. It owns the halls' state machines, this scheduler's parts of what foreign
 * halls lend, and what peers have told of both. Pure: time and randomness are handed in. It must never choose a server,
 * and never let work from other halls over its part of a hall.
 */
public final class Halls implements HallPolicy {
    /** A peer's word counts for so long. */
    private static final long REPORT_VALID_MICROS = 1_500_000;
    /** A sign that a peer had this long ago says that the hall serves. */
    private static final long PEER_SIGN_VALID_MICROS = 1_000_000;
    /** For so long requests are weighed by the same parts; the lenders' wait allows for it. */
    private static final long LIMIT_CACHE_MICROS = 100_000;
    /** Turns come every tenth of a second or so; after so long a gap we were not there ourselves. */
    private static final long OWN_PAUSE_MICROS = 500_000;
    /** Share of its part that work of no worth may fill; the rest is kept for what is worth more. */
    private static final double ZERO_WORTH_LIMIT_SHARE = 0.7;
    /** A wait of this share of the wanted time says that our own hall's diners are crowded. */
    private static final double CROWDED_WAIT_SHARE = 0.5;
    /** What is turned down and worth less than this would be so in many an hour; it says nothing. */
    private static final double CROWDED_REFUSED_WORTH = 0.5;
    /** How a crowded hall's welcome falls in a turn, and how it rises again. */
    private static final double ACCEPTED_SHARE_DECREASE_FACTOR = 0.95;

    private static final double ACCEPTED_SHARE_INCREASE = 0.03;
    /** Tries that a request of no worth must leave in the budget for those worth more. */
    private static final double RESERVED_RETRY_BURST_SHARE = 0.6;

    /** What another scheduler told last. */
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
    /** Of the request weighed last: its size, whether it may run twice, the time, and what each hall costs it. */
    private final double[] prices;

    private double requestSlots;
    private boolean requestRepeatable;
    private long requestAt;
    private double retryTokens;
    private double ownAcceptedShare = 1;
    private boolean homeCrowded;
    /** Whether no hall is in use, so that evidence against halls helps nobody. */
    private boolean panic;

    private long lastUpdateAt;
    private long ignoreEvidenceUntil;
    /** Worked out for many requests at once, and when: our parts, the halls' tiers, how many crossings each is away. */
    private final double[] spillLimits;

    private final int[] tiersByHall;
    private final double[] crossingsByHall;
    private long limitsCachedAt = Long.MIN_VALUE / 2;
    private int lastSequenceNumber;
    private int nextHallToReport;

    /** The halls of scheduler number {@code me} of so many; random: uniform in [0, 1). */
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

    // What there is, and what speaks for and against it.

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
        // Silence goes on and on; a dial that fails, or a probe, is a word each time.
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
    public void recordSent(long now, HallServer server, double slots, double wait) {
        server.slotsOut += slots;
        server.jobsOut++;
        if (server.hall != rules.home()) {
            spillShares[server.hall].addUsedSlots(now, slots);
        }
        halls[server.hall].recordSent(now, server, slots);
        retryTokens = Math.min(rules.retryBurst(), retryTokens + rules.retryShare());
        homeCrowded |= server.hall == rules.home() && wait > CROWDED_WAIT_SHARE;
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
            // A trial pays nothing: from far away it would never be the cheapest, and nobody would find out.
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

    /** Works out anew what many requests are weighed by. */
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

    /** Whether the request fits into our part of a foreign hall; the last of it is kept for what is worth most. */
    private boolean acceptsSpill(long now, int hall, double slots, double worth) {
        HallState state = halls[hall].state;
        if (state == HallState.DARK) {
            return true; // a trial, one at a time; whoever serves its diners will not have to find out alone
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

    /** Slots that our work may hold in a foreign hall now. */
    double spillLimit(long now, int hall) {
        int spillers = spillingSchedulers(hall);
        double totalSpillSlots = rules.spillShare() * halls[hall].usableSlots() * acceptedShare(now, hall);
        return spillShares[hall].slotLimit(now, totalSpillSlots / spillers, spillers);
    }

    /** Schedulers that are not known to have this hall for their home: each may send work from outside. */
    private int spillingSchedulers(int hall) {
        int count = hall == rules.home() ? 0 : 1;
        for (int j = 0; j < peers.length; j++) {
            count += j != ownIndex && peers[j].homeHall != hall ? 1 : 0;
        }
        return Math.max(1, count);
    }

    /** How much of what the rules allow its own schedulers say that it can bear. */
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
            return true; // one server's trouble: the module's own budget will do
        }
        double reservedTokens = RESERVED_RETRY_BURST_SHARE * rules.retryBurst() * (1 - Math.min(1, worth));
        if (retryTokens < 1 + reservedTokens && retryTokens < rules.retryBurst()) {
            return false;
        }
        retryTokens--;
        return true;
    }

    // As time goes.

    @Override
    public List<String> updateStates(long now, boolean mayProbe) {
        List<String> logLines = List.of();
        serversToProbe.clear();
        // Guards against our own pauses: after one everything looks silent, and only the next words count.
        boolean paused = now - lastUpdateAt > OWN_PAUSE_MICROS && lastUpdateAt > 0;
        ignoreEvidenceUntil = paused ? now + OWN_PAUSE_MICROS : ignoreEvidenceUntil;
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

    /** Whether our own hall can bear guests, as far as we know; that only we are cut off from it says nothing. */
    private boolean isHomeHallServing() {
        Hall home = rules.home() < 0 ? null : halls[rules.home()];
        return home == null || home.state == HallState.SERVING || home.darkReason == Hall.DarkReason.CUT_OFF;
    }

    private Hall.PeerOpinions peerOpinions(long now, int hall) {
        int informed = 0, holdingItDark = 0, withSign = 0, servedThere = 0;
        for (int j = 0; j < peers.length; j++) {
            Peer peer = peers[j];
            if (j == ownIndex || now - peer.lastHeardAt > REPORT_VALID_MICROS || peer.states[hall] == null) {
                continue;
            }
            boolean dark = peer.states[hall] == HallState.DARK || peer.states[hall] == HallState.HELD;
            // What was before our own trouble with it says nothing of who is cut off.
            boolean sign = now - peer.lastSignAt[hall] <= PEER_SIGN_VALID_MICROS
                    && peer.lastSignAt[hall] > halls[hall].lossBeganAt();
            informed += dark || sign ? 1 : 0; // who had nothing to do there knows nothing
            holdingItDark += dark ? 1 : 0;
            withSign += sign ? 1 : 0;
            servedThere += sign && peer.states[hall] == HallState.SERVING ? 1 : 0;
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
            // Only first-hand: what was merely told must not come back to its teller as a second voice.
            HallState state = halls[h].darkReason == Hall.DarkReason.TOLD ? HallState.SERVING : halls[h].state;
            reports.add(new HallMessageCodec.HallReport(
                    h,
                    state,
                    foreign && share.asksForMore(now),
                    sinceSign > 60_000_000 ? -1 : sinceSign,
                    foreign ? share.nextPromise255ths(now, evenPart, homeServing) : SpillShare.FULL_PART_255THS,
                    foreign ? share.usedSlots() : 0,
                    foreign ? 1 : ownAcceptedShare));
        }
        limitsCachedAt = Long.MIN_VALUE / 2; // what was told binds from here on
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
