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
    enum Why {
        NONE,
        LOST,
        CUT_OFF,
        UNLISTED,
        PLANNED,
        TOLD
    }

    /** A sign counts as of now for so long; so does what only says that something happened. */
    private static final long FRESH = 3_000_000;
    /** At this share lost a doubt is settled at once, and below this one it is over. */
    private static final double SURE = 0.9;

    private static final double OVER = 0.4;
    /** Servers in trouble that never move a larger hall. */
    private static final int FEW = 2;
    /** Words against a lone server, or a pair, until they are believed: there is nothing to weigh them against. */
    private static final int LONE_WORDS = 2;
    /** Share of the listed capacity that must have served for a hall to be back. */
    private static final double BACK = 0.8;
    /** A first job that is out for longer does not keep others from being tried. */
    private static final long STUCK = 2_000_000;
    /** Most doublings of the pause between trials. */
    private static final int MOST_PAUSES = 3;
    /** Servers of a doubted or dark hall probed at once. */
    private static final int PROBES = 3;
    /** No server is probed again within this. */
    private static final long PROBE_PAUSE = 400_000;

    /** What the peers that know something say: how many hold it for lost, had a sign just now, and that it serves. */
    record Hearsay(int heard, int lost, int served, int well) {}

    HallRules rules;
    private final DoubleSupplier random;
    final int number;
    final List<HallServer> places = new ArrayList<>();
    HallState state = HallState.SERVING;
    Why why = Why.NONE;
    long since;
    private long darkAt;
    private long returnedAt = Long.MIN_VALUE / 2;
    private long trialAt;
    private int pauses;
    private int flaps;
    private long heldUntil;
    private boolean seen;
    /** As of the last turn: listed servers, their weight and slots, those lost, and the weight known to be alive. */
    private int listed;

    private int lost;
    private int words;
    private int draining;
    private boolean firm;
    private double weight;
    private double slots;
    private double lostWeight;
    private double aliveWeight;
    private double provedWeight;
    private double provedSlots;
    private double provedLost;
    private int proved;
    private int trying;
    private long signAt;
    private long troubledAt = Long.MIN_VALUE / 2;
    /** The server that a dark hall's one trial is out at, and since when. */
    private HallServer trial;

    private long trialSentAt;

    Hall(int number, HallRules rules, DoubleSupplier random) {
        this.number = number;
        this.rules = rules;
        this.random = random;
    }

    /** Slots of the servers that are listed and not taken for lost; while it returns, of those that have served. */
    double usable() {
        return state == HallState.RETURNING
                ? provedSlots
                : state == HallState.DARK || state == HallState.HELD ? 0 : slots;
    }

    long signAt() {
        return signAt;
    }

    /** Since when the first of what is lost has been; long ago if nothing is. */
    long troubledAt() {
        return state == HallState.DARK ? darkAt : troubledAt;
    }

    /** Capacity that speaks for itself: no more than what is listed. */
    private void count(long now) {
        listed = 0;
        lost = 0;
        words = 0;
        draining = 0;
        proved = 0;
        trying = 0;
        weight = 0;
        slots = 0;
        lostWeight = 0;
        aliveWeight = 0;
        provedWeight = 0;
        provedSlots = 0;
        provedLost = 0;
        firm = false;
        signAt = Long.MIN_VALUE / 2;
        troubledAt = Long.MAX_VALUE;
        for (HallServer p : places) {
            signAt = Math.max(signAt, p.signAt);
            draining += p.listed && p.draining ? 1 : 0;
            if (!p.counts()) {
                continue;
            }
            if (p.lost() && p.soft && now - p.againstAt > FRESH) {
                p.lostAt = 0; // a reset told of a moment, and that has passed
            }
            listed++;
            weight += p.weight;
            if (p.lost()) {
                troubledAt = Math.min(troubledAt, p.lostAt);
                lost++;
                words += p.against;
                firm |= !p.soft;
                lostWeight += p.weight;
            } else {
                slots += p.slots;
                aliveWeight += now - p.signAt <= FRESH ? p.weight : 0;
            }
            if (p.proved) {
                proved++;
                provedWeight += p.weight;
                provedLost += p.lost() ? p.weight : 0;
                provedSlots += p.lost() ? 0 : Math.min(p.slots, p.allow);
            } else {
                trying += p.trying && now - p.triedAt < STUCK ? 1 : 0;
            }
        }
        troubledAt = lost == 0 ? Long.MIN_VALUE / 2 : troubledAt;
        seen |= listed > 0;
    }

    /** The lost part of what is known of its capacity. */
    private double lostShare() {
        return lostWeight <= 0 ? 0 : lostWeight / (lostWeight + aliveWeight);
    }

    /** Whether enough servers are in trouble to say anything of the hall. */
    private boolean enough() {
        return lost > FEW || lost == listed && listed > 0 && (words >= LONE_WORDS * listed || lost > 1 && firm);
    }

    /** Moves the state; returns a line for the log if it has changed, else null. */
    String turn(long now, Hearsay peers) {
        count(now);
        if (!seen) {
            return null;
        }
        return switch (state) {
            case SERVING -> serving(now, peers);
            case DOUBTED -> doubted(now, peers);
            case DARK -> dark(now, peers);
            case HELD -> held(now);
            case RETURNING -> returning(now, peers);
        };
    }

    private String serving(long now, Hearsay peers) {
        if (listed == 0) {
            return goDark(now, drained() ? Why.PLANNED : Why.UNLISTED);
        }
        if (now - since > rules.flapWindowMicros()) {
            flaps = 0;
        }
        boolean told = peers.lost() > 0 && 2 * peers.lost() >= peers.heard() && peers.served() == 0;
        if (enough() && lostShare() >= rules.doubtShare() || told && lost > 0 && lostShare() >= 0.5) {
            return move(now, HallState.DOUBTED);
        }
        // Nothing of our own speaks for it: a fresh scheduler believes the others.
        return told && now - signAt > FRESH ? goDark(now, Why.TOLD) : null;
    }

    /** Whether what it had drains, or drained before it went. */
    private boolean drained() {
        for (HallServer p : places) {
            if (p.draining) {
                return true;
            }
        }
        return false;
    }

    private String doubted(long now, Hearsay peers) {
        if (listed == 0) {
            return goDark(now, drained() ? Why.PLANNED : Why.UNLISTED);
        }
        double share = lostShare();
        if (lost == 0 || share < OVER) {
            return move(now, HallState.SERVING);
        }
        boolean sure = enough() && firm && share >= SURE;
        boolean forLong = firm && now - since >= rules.darkAfterMicros() && share >= rules.doubtShare();
        return sure || forLong ? goDark(now, peers.served() > 0 ? Why.CUT_OFF : Why.LOST) : null;
    }

    private String dark(long now, Hearsay peers) {
        if (listed == 0) {
            return null;
        }
        if (why == Why.PLANNED || why == Why.UNLISTED) {
            boolean fresh = false;
            for (HallServer p : places) {
                fresh |= p.counts() && (p.startedAt > darkAt || p.signAt < darkAt - FRESH);
            }
            // What was only not listed, and kept answering, never was away.
            return !fresh && lost == 0 ? move(now, HallState.SERVING) : comeBack(now);
        }
        if (why == Why.LOST && peers.served() > 0) {
            why = Why.CUT_OFF; // known only now: their word takes its time
            return String.format(
                    Locale.ROOT, "hall %s is only cut off from here: others are served there", rules.name(number));
        }
        // What was only told is over when nobody says so any more.
        return signAt > darkAt || why == Why.TOLD && peers.lost() == 0 ? comeBack(now) : null;
    }

    private String held(long now) {
        if (now >= heldUntil) {
            trialAt = now;
            darkAt = now;
            return move(now, HallState.DARK);
        }
        return null;
    }

    private String returning(long now, Hearsay peers) {
        if (listed == 0) {
            return goDark(now, drained() ? Why.PLANNED : Why.UNLISTED);
        }
        boolean gone = proved > 0
                && (provedLost >= provedWeight
                        || provedLost >= rules.doubtShare() * provedWeight
                                && lost > FEW
                                && provedLost > provedWeight / 2);
        if (gone) {
            return goDark(now, peers.served() > 0 ? Why.CUT_OFF : Why.LOST);
        }
        if (proved == 0 && now - since > rules.settleMicros() && enough() && lostShare() >= rules.doubtShare()) {
            return goDark(now, Why.LOST); // the sign that brought it back was the last one
        }
        boolean seen = peers.well() > 0 && peers.lost() == 0 && lost == 0; // we have no work there, others have
        boolean served = proved > 0 && provedWeight - provedLost >= BACK * weight;
        if (now - since >= rules.settleMicros() && (served || seen && proved == 0)) {
            returnedAt = why == Why.LOST ? now : returnedAt;
            why = Why.NONE;
            return move(now, HallState.SERVING);
        }
        return null;
    }

    private String goDark(long now, Why reason) {
        boolean planned = reason == Why.PLANNED || reason == Why.UNLISTED || reason == Why.CUT_OFF;
        boolean again = !planned
                && (state == HallState.RETURNING && proved > 0 || now - returnedAt <= rules.flapWindowMicros());
        why = reason;
        darkAt = now;
        trial = null;
        pauses = 0;
        trialAt = now + pause();
        if (again) {
            long most = Math.min(rules.maxHoldOffMicros(), rules.holdOffMicros() << Math.min(flaps++, 16));
            heldUntil = now + (long) (most * (0.75 + random.getAsDouble() / 2));
            return move(now, HallState.HELD);
        }
        return move(now, HallState.DARK);
    }

    private String comeBack(long now) {
        for (HallServer p : places) {
            p.unprove(now, now + (long) (random.getAsDouble() * rules.trialPauseMicros()));
            if (!suspect()) {
                p.allow = Math.max(1, p.slots / 2); // it was well all the time; still it is not hit by all at once
            }
        }
        return move(now, HallState.RETURNING);
    }

    private long pause() {
        return (long) ((rules.trialPauseMicros() << Math.min(pauses, MOST_PAUSES)) * (0.75 + random.getAsDouble() / 2));
    }

    private String move(long now, HallState to) {
        HallState from = state;
        state = to;
        since = now;
        return String.format(
                Locale.ROOT,
                "hall %s %s (was %s%s): %d of %d servers lost, share %.2f, flaps %d",
                rules.name(number),
                word(to),
                word(from),
                why == Why.NONE || to == HallState.SERVING ? "" : ", " + word(why),
                lost,
                listed,
                lostShare(),
                flaps);
    }

    private static String word(Enum<?> e) {
        return e.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Whether a job may go to this server now. */
    boolean takes(long now, HallServer p, double size, boolean repeatable) {
        return switch (state) {
            case SERVING -> true;
            case DOUBTED -> !p.lost();
                // One trial at a time; the first ones with what may run twice, if there is such work.
            case DARK -> trial == null && now >= trialAt && (repeatable || pauses > 1);
            case HELD -> false;
            case RETURNING -> p.proved
                    ? p.held + size <= p.allow || p.held == 0 && size <= p.slots
                    : !p.trying
                            && now >= p.nextTry
                            && (trying < Math.max(1, proved) || !suspect())
                            && (repeatable || !p.lost() || now - p.nextTry > 4 * rules.trialPauseMicros());
        };
    }

    /** Whether something broke there: not if it was drained, left out of the list, or cut off from here alone. */
    private boolean suspect() {
        return why == Why.LOST || why == Why.TOLD;
    }

    /** No hall is any good: what is left is one job at a time for each server, wherever one may still be. */
    boolean takesInPanic(HallServer p) {
        return !p.trying;
    }

    void sent(long now, HallServer p, double size) {
        if (state == HallState.DARK) {
            trial = p;
            trialSentAt = now;
            trialAt = now + pause();
            pauses++;
        }
        // What proved itself in an earlier return has nothing to show for it once the hall is dark again.
        if (state != HallState.SERVING && !(p.proved && state == HallState.RETURNING) && !p.trying) {
            p.trying = true;
            p.triedAt = now;
            trying++;
        }
        p.held += size;
    }

    void ended(long now, HallServer p, long sentAt, double size, boolean served) {
        if (p == trial && sentAt >= trialSentAt) {
            trial = null;
        }
        if (sentAt < p.epoch) {
            return; // work of before: it is a sign, but proves nothing of what it can take now
        }
        p.held = Math.max(0, p.held - size);
        trying = Math.max(0, trying - (p.trying ? 1 : 0));
        p.trying = false;
        if (served && state == HallState.RETURNING) {
            p.proved = true;
            p.allow += Math.max(1, p.allow / 2);
        } else if (!served && !p.proved) {
            p.nextTry = now + (long) (rules.trialPauseMicros() * (1 + random.getAsDouble()));
        }
    }

    /** Servers to probe: in a doubt those of which nothing is known lately, in the dark those least lately asked. */
    void probes(long now, List<String> into) {
        if (state == HallState.SERVING || state == HallState.HELD || state == HallState.DARK && now < trialAt) {
            return;
        }
        int left = state == HallState.DARK ? 1 : PROBES;
        while (left-- > 0) {
            HallServer next = null;
            for (HallServer p : places) {
                boolean due = p.counts()
                        && now - p.probedAt > PROBE_PAUSE
                        && (state == HallState.DARK
                                || state == HallState.RETURNING && !p.proved && p.lost()
                                || state == HallState.DOUBTED && !p.lost() && now - p.signAt > FRESH / 2);
                if (due && (next == null || p.probedAt < next.probedAt)) {
                    next = p;
                }
            }
            if (next == null) {
                return;
            }
            next.probedAt = now;
            into.add(next.id);
            if (state == HallState.DARK) {
                trialAt = now + pause();
                pauses++;
            }
        }
    }
}
