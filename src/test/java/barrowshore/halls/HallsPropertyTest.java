package barrowshore.halls;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** What must hold of the decisions about halls in any history: random evidence, messages lost, late and out of order. */
class HallsPropertyTest {
    private static final long MS = 1_000, S = 1_000_000;
    private static final List<String> NAMES = List.of("a", "b", "c");

    /** A message on its way. */
    private record Mail(long at, int from, int to, byte[] bytes) {}

    /** Schedulers of all halls and servers of three, played by one source of chance. */
    private static final class World {
        final Random chance;
        final List<Halls> schedulers = new ArrayList<>();
        final List<Integer> homes = new ArrayList<>();
        final List<List<HallServer>> places = new ArrayList<>();
        final List<List<long[]>> out = new ArrayList<>();
        final Deque<Mail> mail = new ArrayDeque<>();
        final int servers;
        long now = 1000 * S;

        World(long seed, int count, int servers, double spill) {
            chance = new Random(seed);
            this.servers = servers;
            for (int s = 0; s < count; s++) {
                int home = s % NAMES.size();
                HallRules usual = HallRules.defaults(NAMES, home);
                HallRules rules = new HallRules(
                        NAMES,
                        home,
                        usual.tiersByHall(),
                        false,
                        spill,
                        0.6,
                        S,
                        S / 2,
                        3 * S,
                        5 * S,
                        20 * S,
                        30 * S,
                        0.1,
                        10);
                Halls halls = new Halls(rules, count, s, chance::nextDouble);
                List<HallServer> mine = new ArrayList<>();
                for (int h = 0; h < NAMES.size(); h++) {
                    for (int k = 0; k < servers; k++) {
                        HallServer p = halls.serverFor("s" + h + "-" + k);
                        halls.updateListing(now, p, h, true, false, 0);
                        halls.updateCapacity(now, p, 5, 1, false);
                        halls.recordSignOfLife(now, p);
                        mine.add(p);
                    }
                }
                schedulers.add(halls);
                homes.add(home);
                places.add(mine);
                out.add(new ArrayList<>());
            }
        }

        /** Whether a scheduler may send a job there now. */
        boolean takes(int s, HallServer p) {
            double price = schedulers.get(s).priceHalls(now, 1, 1, true, 0)[p.hall];
            return price >= 0 ? price != HallPolicy.CLOSED : schedulers.get(s).mayUse(p);
        }

        /** One step of time: mail, evidence by who is well, turns, jobs. */
        void step(boolean[] well, double lossy) {
            now += 80 * MS;
            for (Mail m : List.copyOf(mail)) {
                if (m.at <= now) {
                    mail.remove(m);
                    schedulers.get(m.to).receive(now, m.from, m.bytes);
                }
            }
            for (int s = 0; s < schedulers.size(); s++) {
                Halls halls = schedulers.get(s);
                for (int k = 0; k < places.get(s).size(); k++) {
                    if (chance.nextDouble() < 0.3) {
                        if (well[k / servers]) {
                            halls.recordSignOfLife(now, places.get(s).get(k));
                        } else {
                            halls.recordFault(now, places.get(s).get(k), HallServer.Fault.UNREACHABLE);
                        }
                    }
                }
                halls.updateStates(now, true);
                for (String id : halls.serversToProbe()) {
                    HallServer p = halls.serverFor(id);
                    halls.recordProbe(now, p, well[p.hall]);
                }
                if (schedulers.size() > 1 && chance.nextInt(6) == 0) {
                    byte[] bytes = halls.nextMessage(now);
                    assertThat(bytes.length).isLessThanOrEqualTo(256);
                    for (int to = 0; to < schedulers.size(); to++) {
                        if (to != s && chance.nextDouble() >= lossy) {
                            mail.add(new Mail(
                                    now + chance.nextInt((int) (SpillShare.HOLD - SpillShare.VALID - 200 * MS)),
                                    s,
                                    to,
                                    bytes));
                        }
                    }
                }
            }
        }
    }

    /** The parts of all schedulers in one hall, added up, stay within what the rules allow. */
    @Property(tries = 60, seed = "20261201")
    void allPartsTogetherStayWithinTheSpillLimit(@ForAll long seed, @ForAll @IntRange(min = 2, max = 9) int count) {
        World w = new World(seed, count, 4, 0.6);
        boolean[] well = {true, true, true};
        for (int k = 0; k < 400; k++) {
            if (w.chance.nextInt(60) == 0) {
                well[w.chance.nextInt(3)] ^= true;
            }
            w.step(well, 0.3);
            for (int s = 0; s < count; s++) {
                // Some need much, some little: that is what makes them lend and borrow.
                Halls halls = w.schedulers.get(s);
                int h = (w.homes.get(s) + 1 + w.chance.nextInt(2)) % 3;
                HallServer p = w.places.get(s).get(h * 4 + w.chance.nextInt(4));
                if (s % 2 == 0 && w.takes(s, p)) {
                    halls.recordSent(w.now, p, 1, 0);
                    w.out.get(s).add(new long[] {w.places.get(s).indexOf(p), w.now});
                }
                if (!w.out.get(s).isEmpty() && w.chance.nextInt(3) == 0) {
                    long[] first = w.out.get(s).remove(0);
                    halls.recordEnd(w.now, w.places.get(s).get((int) first[0]), first[1], 1, true);
                }
            }
            for (int h = 0; h < 3; h++) {
                double parts = 0;
                for (int s = 0; s < count; s++) {
                    parts += w.homes.get(s) == h ? 0 : w.schedulers.get(s).part(w.now, h);
                }
                assertThat(parts).as("hall %s at %s", h, w.now).isLessThanOrEqualTo(0.6 * 20 + 1e-6);
            }
        }
    }

    /** Lenders and borrowers of one hall, with needs that come and go: the sum holds, and loans do happen. */
    @Property(tries = 100, seed = "20261201")
    void loansNeverLetTheSumExceedTheWhole(@ForAll long seed, @ForAll @IntRange(min = 2, max = 6) int count) {
        Random chance = new Random(seed);
        SpillShare[] shares = new SpillShare[count];
        java.util.Arrays.setAll(shares, s -> new SpillShare(count, s));
        double whole = 12, even = whole / count, borrowed = 0;
        List<Runnable> late = new ArrayList<>();
        List<Long> when = new ArrayList<>();
        boolean[] busy = new boolean[count];
        for (long now = 1000 * S; now < 1040 * S; now += 20 * MS) {
            for (int k = late.size() - 1; k >= 0; k--) {
                if (when.get(k) <= now) {
                    when.remove(k);
                    late.remove(k).run();
                }
            }
            double sum = 0;
            for (int s = 0; s < count; s++) {
                SpillShare share = shares[s];
                busy[s] ^= chance.nextInt(150) == 0;
                double bound = share.bound(now, even, count);
                if (s == 0 || busy[s]) {
                    if (share.used() + 1 <= bound) {
                        share.use(now, 1);
                    } else {
                        share.ask(now, share.used() + 1);
                    }
                } else if (share.used() > 0 && chance.nextInt(5) == 0) {
                    share.use(now, -1);
                }
                if (chance.nextInt(20) == 0) {
                    int promise = share.tell(now, even, chance.nextInt(10) > 0), from = s;
                    double used = share.used();
                    boolean asks = share.asks(now);
                    for (int to = 0; to < count; to++) {
                        long at = now + chance.nextInt((int) (850 * MS));
                        SpillShare other = shares[to];
                        if (to != s && chance.nextDouble() < 0.7) {
                            when.add(at);
                            late.add(() -> other.heard(at + 20 * MS, from, promise, used, asks));
                        }
                    }
                }
                double after = share.bound(now, even, count);
                sum += after;
                borrowed = Math.max(borrowed, after - even);
            }
            assertThat(sum).as("at %s", now).isLessThanOrEqualTo(whole + 1e-9);
        }
        assertThat(borrowed).isGreaterThan(0);
    }

    /** However a hall flapped before: once it is well for good, each scheduler uses it again. */
    @Property(tries = 60, seed = "20261201")
    void aHallThatServesIsNotLeftOutForGood(@ForAll long seed, @ForAll @IntRange(min = 1, max = 5) int servers) {
        World w = new World(seed, 3, servers, 0.6);
        boolean[] well = {true, true, true};
        for (int k = 0; k < 500; k++) {
            if (w.chance.nextInt(25) == 0) {
                well[w.chance.nextInt(3)] ^= true;
            }
            w.step(well, 0.2);
        }
        java.util.Arrays.fill(well, true);
        for (int k = 0; k < 1200; k++) {
            w.step(well, 0.2);
            for (int s = 0; s < 3; s++) {
                Halls halls = w.schedulers.get(s);
                int home = w.homes.get(s);
                for (int n = 0; n < servers; n++) {
                    HallServer p = w.places.get(s).get(home * servers + n);
                    if (w.takes(s, p)) {
                        halls.recordSent(w.now, p, 1, 0);
                        halls.recordEnd(w.now, p, w.now, 1, true);
                    }
                }
            }
        }
        for (int s = 0; s < 3; s++) {
            assertThat(w.schedulers.get(s).states().get(w.homes.get(s))).isEqualTo(HallState.SERVING);
        }
    }

    /** While a hall returns, an unproved server never holds more than one job of a scheduler. */
    @Property(tries = 60, seed = "20261201")
    void anUnprovedServerHoldsOneJob(@ForAll long seed) {
        World w = new World(seed, 1, 6, 0.6);
        boolean[] well = {false, true, true};
        for (int k = 0; k < 60; k++) {
            w.step(well, 0);
        }
        well[0] = true;
        Halls halls = w.schedulers.get(0);
        int[] first = new int[18];
        boolean[] proved = new boolean[18];
        for (int k = 0; k < 200; k++) {
            w.step(well, 0);
            if (halls.states().get(0) != HallState.RETURNING) {
                continue;
            }
            int trying = 0, done = 0;
            for (int n = 0; n < 6; n++) {
                HallServer p = w.places.get(0).get(n);
                if (w.takes(0, p)) {
                    halls.recordSent(w.now, p, 1, 0);
                    first[n] += proved[n] ? 0 : 1;
                }
                trying += !proved[n] && first[n] > 0 ? 1 : 0;
                done += proved[n] ? 1 : 0;
            }
            assertThat(java.util.Arrays.stream(first).max().orElse(0)).isLessThanOrEqualTo(1);
            assertThat(trying).isLessThanOrEqualTo(Math.max(1, done));
            for (int n = 0; n < 6; n++) {
                if (first[n] == 1 && !proved[n] && w.chance.nextInt(4) == 0) {
                    halls.recordEnd(w.now, w.places.get(0).get(n), w.now, 1, true);
                    proved[n] = true;
                }
            }
        }
    }

    /** Any bytes: never an exception, never taken for something else. */
    @Property(tries = 500, seed = "20261201")
    void anyBytesAreRead(@ForAll byte[] bytes) {
        Halls halls = new Halls(HallRules.defaults(NAMES, 0), 3, 0, new Random(1)::nextDouble);
        assertThat(halls.receive(S, 1, bytes)).isEqualTo(bytes.length > 0 && bytes[0] == HallPolicy.MESSAGE_TYPE);
        if (bytes.length > 0) {
            bytes[0] = HallPolicy.MESSAGE_TYPE;
            assertThat(halls.receive(S, 2, bytes)).isTrue();
        }
    }
}
