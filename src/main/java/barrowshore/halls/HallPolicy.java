package barrowshore.halls;

import java.util.List;

/**
 * The narrow way by which the decision module consults the decisions about halls. The module goes on choosing the real
 * server; the gate says which halls a request may go to and at whose expense. Not thread-safe; time is what the caller
 * says, microseconds that never decrease. {@link #OFF} lets everything through and remembers nothing.
 */
public interface HallPolicy {
    /** The price of a hall that is closed to a request. */
    double CLOSED = Double.POSITIVE_INFINITY;

    /** The first byte of datagrams that are the halls' own. */
    byte MESSAGE_TYPE = 3;

    /** The gate of a scheduler whose operators have said nothing of halls. */
    HallPolicy OFF = new HallPolicy() {};

    /** Goes on under other rules for the same halls; false: it cannot, and has to be made anew. */
    default boolean changeRules(HallRules rules) {
        return false;
    }

    /** The handle of a server, kept by the caller; null: there are no halls. */
    default HallServer serverFor(String serverId) {
        return null;
    }

    /** What the list says of a server now. slots and speed: what it can do, by the caller's own measure. */
    default void updateListing(
            long now, HallServer server, int zone, boolean ready, boolean draining, long startedAt) {}

    /** What the module believes of a listed server, renewed now and then; silent: signs that were due did not come. */
    default void updateCapacity(long now, HallServer server, double slots, double speed, boolean silent) {}

    /** A server has given a sign: it started a job, went on with one, or answered. */
    default void recordSignOfLife(long now, HallServer server) {}

    /** A probe of a server has ended; answered: by itself, whatever it said. */
    default void recordProbe(long now, HallServer server, boolean answered) {}

    /** Something speaks against a server. */
    default void recordFault(long now, HallServer server, HallServer.Fault fault) {}

    /** A job was sent. wait: how long it is expected to wait there, as a share of the usual wanted time. */
    default void recordSent(long now, HallServer server, double slots, double wait) {}

    /** A job that was sent at that time has ended; served: with a result. */
    default void recordEnd(long now, HallServer server, long sentAt, double slots, boolean served) {}

    /** A request of our own was turned down; worth: as in {@link #priceHalls}. */
    default void recordRefusal(long now, double worth) {}

    /** The number of the hall of a zone, an index into what {@link #priceHalls} returns. */
    default int hallOfZone(int zone) {
        return 0;
    }

    /**
     * Weighs a request before a pick. Returns for each hall how many times the price of crossing a request pays there;
     * {@link #CLOSED}: not at all; below 0: as many times as {@link #perServerPrice} says, at servers that
     * {@link #mayUse} takes. The array is the gate's own, and holds until the next call. worth: for the room it takes,
     * against the usual job, 0 to 1; repeatable: it may run twice; tier: the furthest tier to look at.
     */
    default double[] priceHalls(long now, double slots, double worth, boolean repeatable, int tier) {
        throw new UnsupportedOperationException("without halls there is nothing to weigh");
    }

    /** The price of a hall whose servers have to be asked for one by one. */
    static double perServerPrice(double price) {
        return price < 0 ? -1 - price : price;
    }

    /** Whether the request weighed last may go to this server, as far as its hall is concerned. */
    default boolean mayUse(HallServer server) {
        return true;
    }

    /** How many rounds of tiers a pick may need. */
    default int tierRounds() {
        return 1;
    }

    /** Whether the server's hall is in use; else its capacity counts for nothing. */
    default boolean isHallInUse(HallServer server) {
        return true;
    }

    /** Whether the server's hall is anything but serving. */
    default boolean isHallTroubled(HallServer server) {
        return false;
    }

    /** Whether a request that this server gave back, or lost, may be tried again. worth: as in {@link #priceHalls}. */
    default boolean mayRetry(long now, HallServer server, double worth) {
        return true;
    }

    /**
     * Moves the halls' states by the evidence; returns what there is to log. mayProbe: {@link #serversToProbe} will be
     * sent.
     */
    default List<String> updateStates(long now, boolean mayProbe) {
        return List.of();
    }

    /** The servers to probe now, chosen by the last turn. */
    default List<String> serversToProbe() {
        return List.of();
    }

    /** What to tell the other schedulers now, at most 256 bytes; null: nothing. */
    default byte[] nextMessage(long now) {
        return null;
    }

    /** Takes in what another scheduler has told; false: it is not about halls. */
    default boolean receive(long now, int from, byte[] message) {
        return message.length > 0 && message[0] == MESSAGE_TYPE;
    }

    /** Slots that our work holds in a hall other than our own. */
    default double spilledSlots(int hall) {
        return 0;
    }

    /** The states of the halls, by number. */
    default List<HallState> states() {
        return List.of();
    }
}
