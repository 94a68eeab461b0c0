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
    private static final long HEARD = 1_500_000;
    /** A sign that a peer had this long ago says that the hall serves. */
    private static final long SERVED = 1_000_000;
    /** For so long requests are weighed by the same parts; the lenders' wait allows for it. */
    private static final long STALE = 100_000;
    /** Turns come every tenth of a second or so; after so long a gap we were not there ourselves. */
    private static final long PAUSE = 500_000;
    /** Share of its part that work of no worth may fill; the rest is kept for what is worth more. */
    private static final double LEAST = 0.7;
    /** A wait of this share of the wanted time says that our own hall's diners are crowded. */
    private static final double CROWDED = 0.5;
    /** What is turned down and worth less than this would be so in many an hour; it says nothing. */
    private static final double MISSED = 0.5;
    /** How a crowded hall's welcome falls in a turn, and how it rises again. */
    private static final double LESS = 0.95;

    private static final double MORE = 0.03;
    /** Tries that a request of no worth must leave in the budget for those worth more. */
    private static final double KEPT = 0.6;

    /** What another scheduler told last. */
    private static final class Peer {
        int life = -1;
        int number;
        int home = -2;
        long heardAt = Long.MIN_VALUE / 2;
        final HallState[] states;
        final long[] signAt;
        final double[] welcome;

        Peer(int halls) {
            states = new HallState[halls];
            signAt = new long[halls];
            welcome = new double[halls];
            Arrays.fill(welcome, 1);
            Arrays.fill(signAt, Long.MIN_VALUE / 2);
        }
    }

    private HallRules rules;
    private final int me;
    private final int life;
    private final Hall[] halls;
    private final SpillShare[] shares;
    private final Peer[] peers;
    private final Map<String, HallServer> places = new HashMap<>();
    private final List<String> probes = new ArrayList<>();
    /** Of the request weighed last: its size, whether it may run twice, the time, and what each hall costs it. */
    private final double[] prices;

    private double size;
    private boolean repeatable;
    private long now;
    private double tries;
    private double welcome = 1;
    private boolean crowded;
    /** Whether no hall is in use, so that evidence against halls helps nobody. */
    private boolean panic;

    private long turnedAt;
    private long pausedUntil;
    /** Worked out for many requests at once, and when: our parts, the halls' tiers, how many crossings each is away. */
    private final double[] parts;

    private final int[] tiers;
    private final double[] away;
    private long partsAt = Long.MIN_VALUE / 2;
    private int number;
    private int tellFrom;

    /** The halls of scheduler number {@code me} of so many; random: uniform in [0, 1). */
    public Halls(HallRules rules, int schedulers, int me, DoubleSupplier random) {
        this.rules = rules;
        this.me = me;
        this.life = (int) (random.getAsDouble() * 0x10000);
        int count = rules.names().size() + 1;
        halls = new Hall[count];
        Arrays.setAll(halls, h -> new Hall(h, rules, random));
        shares = new SpillShare[count];
        Arrays.setAll(shares, h -> new SpillShare(schedulers, me));
        peers = new Peer[schedulers];
        Arrays.setAll(peers, p -> new Peer(count));
        prices = new double[count];
        parts = new double[count];
        tiers = new int[count];
        away = new double[count];
        tries = rules.retryBurst();
    }

    @Override
    public boolean changeRules(HallRules changed) {
        if (!changed.names().equals(rules.names()) || changed.home() != rules.home()) {
            return false;
        }
        rules = changed;
        partsAt = Long.MIN_VALUE / 2;
        for (Hall hall : halls) {
            hall.rules = changed;
        }
        return true;
    }

    // What there is, and what speaks for and against it.

    @Override
    public HallServer serverFor(String server) {
        return places.computeIfAbsent(server, HallServer::new);
    }

    @Override
    public void updateListing(long now, HallServer p, int zone, boolean ready, boolean draining, long startedAt) {
        int hall = rules.hall(zone);
        if (p.hall != hall) {
            if (p.hall >= 0) {
                halls[p.hall].places.remove(p);
                shares[p.hall].use(now, -p.out);
            }
            halls[hall].places.add(p);
            shares[hall].use(now, p.out);
            p.hall = hall;
        }
        if (startedAt != p.startedAt) {
            p.startedAt = startedAt;
            p.lostAt = 0;
            p.against = 0;
            p.unprove(now, now);
        }
        p.listed = ready || draining;
        p.draining = draining || !ready && p.draining;
    }

    @Override
    public void updateCapacity(long now, HallServer p, double slots, double speed, boolean silent) {
        p.slots = slots;
        p.weight = slots * speed;
        if (silent) {
            recordFault(now, p, HallServer.Fault.SILENT);
        }
    }

    @Override
    public void recordSignOfLife(long now, HallServer p) {
        p.signAt = now;
        p.lostAt = 0;
        p.against = 0;
    }

    @Override
    public void recordFault(long now, HallServer p, HallServer.Fault what) {
        boolean firm = what != HallServer.Fault.RESET;
        if (p.lostAt == 0) {
            p.lostAt = now;
            p.soft = true;
        }
        p.soft &= !firm;
        // Silence goes on and on; a dial that fails, or a probe, is a word each time.
        p.against += what == HallServer.Fault.SILENT && p.against > 0 && now - p.againstAt < HEARD ? 0 : 1;
        p.againstAt = now;
    }

    @Override
    public void recordProbe(long now, HallServer p, boolean answered) {
        if (answered) {
            recordSignOfLife(now, p);
        } else {
            recordFault(now, p, HallServer.Fault.UNREACHABLE);
        }
    }

    @Override
    public void recordSent(long now, HallServer p, double slots, double wait) {
        p.out += slots;
        p.jobsOut++;
        if (p.hall != rules.home()) {
            shares[p.hall].use(now, slots);
        }
        halls[p.hall].sent(now, p, slots);
        tries = Math.min(rules.retryBurst(), tries + rules.retryShare());
        crowded |= p.hall == rules.home() && wait > CROWDED;
    }

    @Override
    public void recordEnd(long now, HallServer p, long sentAt, double slots, boolean served) {
        p.jobsOut = Math.max(0, p.jobsOut - 1);
        p.out = p.jobsOut == 0 ? 0 : p.out - slots;
        if (p.hall != rules.home()) {
            shares[p.hall].use(now, -slots);
        }
        if (served) {
            recordSignOfLife(now, p);
        }
        halls[p.hall].ended(now, p, sentAt, slots, served);
    }

    @Override
    public void recordRefusal(long now, double worth) {
        crowded |= worth >= MISSED;
    }

    // Where a request may go.

    @Override
    public double[] priceHalls(long now, double slots, double worth, boolean repeatable, int tier) {
        this.now = now;
        this.size = slots;
        this.repeatable = repeatable;
        if (now - partsAt > STALE) {
            renew(now);
        }
        for (int h = 0; h < halls.length; h++) {
            boolean near = !rules.strict() || tiers[h] <= tier;
            boolean open = near && (h == rules.home() || welcomed(now, h, slots, worth));
            HallState state = halls[h].state;
            // A trial pays nothing: from far away it would never be the cheapest, and nobody would find out.
            prices[h] = panic
                    ? -1 - away[h]
                    : !open
                            ? CLOSED
                            : state == HallState.SERVING ? away[h] : state == HallState.DARK ? -1 : -1 - away[h];
        }
        return prices;
    }

    /** Works out anew what many requests are weighed by. */
    private void renew(long now) {
        partsAt = now;
        for (int h = 0; h < halls.length; h++) {
            parts[h] = part(now, h);
            tiers[h] = rules.tierOf(h);
            away[h] = Math.max(h == rules.home() ? 0 : 1, tiers[h]);
        }
    }

    @Override
    public int hallOfZone(int zone) {
        return rules.hall(zone);
    }

    /** Whether the request fits into our part of a foreign hall; the last of it is kept for what is worth most. */
    private boolean welcomed(long now, int h, double slots, double worth) {
        HallState state = halls[h].state;
        if (state == HallState.DARK) {
            return true; // a trial, one at a time; whoever serves its diners will not have to find out alone
        }
        if (state != HallState.SERVING || rules.spillShare() == 0 || halls[h].places.isEmpty()) {
            return false;
        }
        double used = shares[h].used() + slots;
        double part = parts[h];
        if (used > part) {
            shares[h].ask(now, used);
            return false;
        }
        return used <= part * (LEAST + (1 - LEAST) * Math.min(1, worth)) || shares[h].used() == 0;
    }

    /** Slots that our work may hold in a foreign hall now. */
    double part(long now, int h) {
        int sharers = sharers(h);
        double whole = rules.spillShare() * halls[h].usable() * welcome(now, h);
        return shares[h].bound(now, whole / sharers, sharers);
    }

    /** Schedulers that are not known to have this hall for their home: each may send work from outside. */
    private int sharers(int h) {
        int sharers = h == rules.home() ? 0 : 1;
        for (int j = 0; j < peers.length; j++) {
            sharers += j != me && peers[j].home != h ? 1 : 0;
        }
        return Math.max(1, sharers);
    }

    /** How much of what the rules allow its own schedulers say that it can bear. */
    private double welcome(long now, int h) {
        double least = 1;
        for (int j = 0; j < peers.length; j++) {
            if (j != me && peers[j].home == h && now - peers[j].heardAt <= HEARD) {
                least = Math.min(least, peers[j].welcome[h]);
            }
        }
        return least;
    }

    @Override
    public boolean mayUse(HallServer p) {
        return panic ? halls[p.hall].takesInPanic(p) : halls[p.hall].takes(now, p, size, repeatable);
    }

    @Override
    public int tierRounds() {
        return rules.strict() ? rules.tiers() : 1;
    }

    @Override
    public boolean isHallInUse(HallServer p) {
        HallState state = halls[p.hall].state;
        return state != HallState.DARK && state != HallState.HELD && (state != HallState.DOUBTED || !p.lost());
    }

    @Override
    public boolean isHallTroubled(HallServer p) {
        return halls[p.hall].state != HallState.SERVING;
    }

    @Override
    public boolean mayRetry(long now, HallServer p, double worth) {
        if (halls[p.hall].state == HallState.SERVING) {
            return true; // one server's trouble: the module's own budget will do
        }
        double kept = KEPT * rules.retryBurst() * (1 - Math.min(1, worth));
        if (tries < 1 + kept && tries < rules.retryBurst()) {
            return false;
        }
        tries--;
        return true;
    }

    // As time goes.

    @Override
    public List<String> updateStates(long now, boolean mayProbe) {
        List<String> news = List.of();
        probes.clear();
        // Guards against our own pauses: after one everything looks silent, and only the next words count.
        boolean paused = now - turnedAt > PAUSE && turnedAt > 0;
        pausedUntil = paused ? now + PAUSE : pausedUntil;
        turnedAt = now;
        if (now < pausedUntil) {
            return news;
        }
        partsAt = Long.MIN_VALUE / 2;
        for (Hall hall : halls) {
            String line = hall.turn(now, hearsay(now, hall.number));
            if (line != null) {
                news = news.isEmpty() ? new ArrayList<>() : news;
                news.add(line);
            }
            if (mayProbe) {
                hall.probes(now, probes);
            }
        }
        panic = true;
        for (Hall hall : halls) {
            panic &= hall.state == HallState.DARK || hall.state == HallState.HELD || hall.places.isEmpty();
        }
        boolean well = well();
        welcome = !well ? 0 : crowded ? welcome * LESS : Math.min(1, welcome + MORE);
        crowded = false;
        return news;
    }

    /** Whether our own hall can bear guests, as far as we know; that only we are cut off from it says nothing. */
    private boolean well() {
        Hall home = rules.home() < 0 ? null : halls[rules.home()];
        return home == null || home.state == HallState.SERVING || home.why == Hall.Why.CUT_OFF;
    }

    private Hall.Hearsay hearsay(long now, int h) {
        int heard = 0, lost = 0, served = 0, well = 0;
        for (int j = 0; j < peers.length; j++) {
            Peer p = peers[j];
            if (j == me || now - p.heardAt > HEARD || p.states[h] == null) {
                continue;
            }
            boolean dark = p.states[h] == HallState.DARK || p.states[h] == HallState.HELD;
            // What was before our own trouble with it says nothing of who is cut off.
            boolean sign = now - p.signAt[h] <= SERVED && p.signAt[h] > halls[h].troubledAt();
            heard += dark || sign ? 1 : 0; // who had nothing to do there knows nothing
            lost += dark ? 1 : 0;
            served += sign ? 1 : 0;
            well += sign && p.states[h] == HallState.SERVING ? 1 : 0;
        }
        return new Hall.Hearsay(heard, lost, served, well);
    }

    @Override
    public List<String> serversToProbe() {
        return probes;
    }

    @Override
    public byte[] nextMessage(long now) {
        if (peers.length < 2) {
            return null;
        }
        boolean well = rules.home() < 0 || halls[rules.home()].state == HallState.SERVING;
        List<HallTalk.Told> told = new ArrayList<>();
        for (int k = 0; k < Math.min(halls.length, HallTalk.MOST); k++) {
            int h = (tellFrom + k) % halls.length;
            SpillShare share = shares[h];
            boolean foreign = h != rules.home();
            double even = rules.spillShare() * halls[h].usable() / sharers(h);
            long sign = now - halls[h].signAt();
            // Only first-hand: what was merely told must not come back to its teller as a second voice.
            HallState state = halls[h].why == Hall.Why.TOLD ? HallState.SERVING : halls[h].state;
            told.add(new HallTalk.Told(
                    h,
                    state,
                    foreign && share.asks(now),
                    sign > 60_000_000 ? -1 : sign,
                    foreign ? share.tell(now, even, well) : SpillShare.WHOLE,
                    foreign ? share.used() : 0,
                    foreign ? 1 : welcome));
        }
        partsAt = Long.MIN_VALUE / 2; // what was told binds from here on
        tellFrom = (tellFrom + HallTalk.MOST) % Math.max(1, halls.length);
        if (halls.length <= HallTalk.MOST) {
            tellFrom = 0;
        }
        return HallTalk.write(new HallTalk.Message(life, ++number & 0xffff, rules.home(), told));
    }

    @Override
    public boolean receive(long now, int from, byte[] bytes) {
        if (bytes.length == 0 || bytes[0] != MESSAGE_TYPE) {
            return false;
        }
        HallTalk.Message m = HallTalk.read(bytes, halls.length);
        if (m == null || from < 0 || from >= peers.length || from == me) {
            return true;
        }
        Peer p = peers[from];
        if (p.life == m.life() && (short) (m.number() - p.number) <= 0) {
            return true;
        }
        if (p.life != m.life()) {
            Arrays.fill(p.states, null);
            Arrays.fill(p.signAt, Long.MIN_VALUE / 2);
        }
        p.life = m.life();
        p.number = m.number();
        p.home = m.home();
        p.heardAt = now;
        for (HallTalk.Told t : m.halls()) {
            p.states[t.hall()] = t.state();
            p.signAt[t.hall()] = t.sign() < 0 ? Long.MIN_VALUE / 2 : now - t.sign();
            p.welcome[t.hall()] = t.welcome();
            shares[t.hall()].heard(now, from, t.promise(), t.used(), t.asks());
        }
        return true;
    }

    @Override
    public List<HallState> states() {
        return Arrays.stream(halls, 0, rules.names().size()).map(h -> h.state).toList();
    }

    @Override
    public double spilledSlots(int hall) {
        return hall == rules.home() ? 0 : shares[hall].used();
    }
}
