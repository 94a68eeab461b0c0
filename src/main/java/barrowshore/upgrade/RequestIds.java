package barrowshore.upgrade;

import barrowshore.upgrade.IdMessage.Kind;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides whether this process may run a request with a given id, so that the processes of one scheduler run no id twice.
 *
 * <p>A process claims each new id at every other process and runs the request once all have granted it. If both claim the
 * same id at once, the predecessor's claim wins. So each process knows every id that another one runs, and goes on without
 * it when it dies. One that doesn't answer for {@value #MAX_UNANSWERED_TICKS} ticks counts as silent: it is told what runs
 * here and not waited for, until it says something again; it has to claim its own ids here before it runs them. So no id
 * runs twice unless both processes are held up for that long at almost the same time.
 *
 * <p>A process of an earlier version doesn't understand claims. As long as it serves beside this one, only requests whose
 * repeats are harmless run here.
 *
 * <p>No I/O, clock or thread; not safe for use by several threads.
 */
public final class RequestIds {
    /** How often {@link #tick} must be called while claims are open. */
    public static final long TICK_MILLIS = 10;

    private static final int MAX_UNANSWERED_TICKS = 25;
    /** After so long without a tick this process was held up itself: what the others have sent may still be unread. */
    private static final long HELD_UP_MICROS = 5 * TICK_MILLIS * 1000;
    /** Covers the longest deadlines while clients send as many jobs as one process carries; some 150 bytes each. */
    private static final int MAX_USED_IDS = 16_384;
    /** What another process tells at the start of an upgrade, and what it runs during that. */
    private static final int MAX_FOREIGN_IDS = 24_576;

    /** What {@link #begin} decides. */
    public enum Admission {
        /** The request may run. */
        ADMITTED,
        /** {@link Actions#admit} or {@link Actions#refuse} follows. */
        WAITING,
        /** The id is in use, or was used by a request that may have run. */
        IN_USE,
        /** Another process may hold the id and can't tell. */
        UNCERTAIN
    }

    /** What follows from the decisions. */
    public interface Actions {
        void send(OtherProcess to, IdMessage message);

        /** A request that waited may run. */
        void admit(String id);

        /** A request that waited may not run: its id is in use. */
        void refuse(String id);
    }

    private enum LinkState {
        /** It has not said yet that it understands claims. */
        UNKNOWN,
        ANSWERING,
        SILENT
    }

    /** The link to another process; a new one for each process, so that it also tells who holds a foreign id. */
    private static final class Link {
        LinkState state = LinkState.UNKNOWN;
        boolean serving;
    }

    /** A request that waits for the grants of other processes. */
    private static final class Claim {
        final Set<OtherProcess> awaited = EnumSet.noneOf(OtherProcess.class);
        int ticks;
    }

    private final Actions actions;
    private final Map<OtherProcess, Link> links = new EnumMap<>(OtherProcess.class);
    private final Set<String> openIds = new HashSet<>();
    /** Ids of recent requests that may have run, oldest first. */
    private final Set<String> usedIds = new LinkedHashSet<>();
    /** Ids that other processes run or have run, oldest first, with the link to their holder. */
    private final Map<String, Link> foreignIds = new LinkedHashMap<>();

    private final Map<String, Claim> claims = new LinkedHashMap<>();
    private long lastTickMicros;

    public RequestIds(Actions actions) {
        this.actions = actions;
    }

    /** A request has come; mayRepeat: running it twice is harmless. Unless refused, {@link #end} follows. */
    public Admission begin(String id, boolean mayRepeat) {
        if (holds(id) || claims.containsKey(id) || foreignIds.containsKey(id)) {
            return Admission.IN_USE;
        }
        if (!mayRepeat && links.values().stream().anyMatch(link -> link.serving && link.state == LinkState.UNKNOWN)) {
            return Admission.UNCERTAIN;
        }
        Claim claim = new Claim();
        links.forEach((other, link) -> {
            boolean isAsked = link.serving && link.state == LinkState.ANSWERING;
            if (isAsked) {
                claim.awaited.add(other);
            }
            actions.send(other, IdMessage.of(isAsked ? Kind.CLAIM : Kind.OPEN, id));
        });
        if (claim.awaited.isEmpty()) {
            openIds.add(id);
            return Admission.ADMITTED;
        }
        claims.put(id, claim);
        return Admission.WAITING;
    }

    private boolean holds(String id) {
        return openIds.contains(id) || usedIds.contains(id);
    }

    /** A request is over, or its client has gone before it was admitted. */
    public void end(String id, boolean mayHaveRun) {
        claims.remove(id);
        openIds.remove(id);
        if (mayHaveRun) {
            usedIds.add(id);
            if (usedIds.size() > MAX_USED_IDS) {
                usedIds.remove(usedIds.iterator().next());
            }
        }
    }

    /** Another process is there; serving: it serves clients already. It is told all ids that are held here. */
    public void connected(OtherProcess other, boolean serving) {
        closed(other);
        Link link = new Link();
        link.serving = serving;
        links.put(other, link);
        for (Set<String> ids : List.of(openIds, claims.keySet(), usedIds, foreignIds.keySet())) {
            ids.forEach(id -> actions.send(other, IdMessage.of(Kind.OPEN, id)));
        }
        actions.send(other, IdMessage.of(Kind.IDS, ""));
    }

    /** Another process serves clients from now on. */
    public void serving(OtherProcess other) {
        Link link = links.get(other);
        if (link != null) {
            link.serving = true;
        }
    }

    /** The link to another process has closed. The ids that it ran stay in use. */
    public void closed(OtherProcess other) {
        links.remove(other);
        stopWaitingFor(other);
    }

    public void received(OtherProcess from, IdMessage message) {
        Link link = links.get(from);
        if (link == null) {
            return;
        }
        if (link.state == LinkState.SILENT || message.kind() == Kind.IDS) {
            link.state = LinkState.ANSWERING;
        }
        String id = message.id();
        switch (message.kind()) {
            case CLAIM -> answerClaim(from, link, id);
            case GRANTED -> stopWaiting(id, from);
            case TAKEN -> refuseClaim(id);
            case OPEN -> {
                refuseClaim(id);
                rememberForeign(id, link);
            }
            default -> {} // IDS: the state is all
        }
    }

    private void answerClaim(OtherProcess from, Link link, String id) {
        boolean heldByThird = foreignIds.containsKey(id) && foreignIds.get(id) != link;
        boolean ownClaimWins = claims.containsKey(id) && from == OtherProcess.SUCCESSOR;
        if (holds(id) || heldByThird || ownClaimWins) {
            actions.send(from, IdMessage.of(Kind.TAKEN, id));
            return;
        }
        refuseClaim(id);
        rememberForeign(id, link);
        for (OtherProcess third : links.keySet()) {
            if (third != from) {
                actions.send(third, IdMessage.of(Kind.OPEN, id));
            }
        }
        actions.send(from, IdMessage.of(Kind.GRANTED, id));
    }

    private void refuseClaim(String id) {
        if (claims.remove(id) != null) {
            actions.refuse(id);
        }
    }

    private void rememberForeign(String id, Link holder) {
        foreignIds.put(id, holder);
        if (foreignIds.size() > MAX_FOREIGN_IDS) {
            foreignIds.remove(foreignIds.keySet().iterator().next());
        }
    }

    /** Counts the time that claims wait; returns whether ticks are still needed. */
    public boolean tick(long nowMicros) {
        boolean heldUp = nowMicros - lastTickMicros > HELD_UP_MICROS;
        lastTickMicros = nowMicros;
        for (Map.Entry<String, Claim> entry : List.copyOf(claims.entrySet())) {
            Claim claim = entry.getValue();
            claim.ticks = heldUp ? 0 : claim.ticks + 1;
            if (claim.ticks >= MAX_UNANSWERED_TICKS) {
                for (OtherProcess other : List.copyOf(claim.awaited)) {
                    links.get(other).state = LinkState.SILENT;
                    stopWaiting(entry.getKey(), other);
                }
            }
        }
        return !claims.isEmpty();
    }

    private void stopWaitingFor(OtherProcess other) {
        List.copyOf(claims.keySet()).forEach(id -> stopWaiting(id, other));
    }

    private void stopWaiting(String id, OtherProcess other) {
        Claim claim = claims.get(id);
        if (claim == null || !claim.awaited.remove(other) || !claim.awaited.isEmpty()) {
            return;
        }
        claims.remove(id);
        openIds.add(id);
        for (Map.Entry<OtherProcess, Link> link : links.entrySet()) {
            if (link.getValue().state != LinkState.ANSWERING) {
                // It may have died or been held up with the claim unanswered; it must know that the request runs here.
                actions.send(link.getKey(), IdMessage.of(Kind.OPEN, id));
            }
        }
        actions.admit(id);
    }
}
