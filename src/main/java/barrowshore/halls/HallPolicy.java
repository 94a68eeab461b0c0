package barrowshore.halls;

import java.util.List;

/**
 * The interface through which the dispatcher consults the policy on halls: it says which halls a request may go to and at
 * what price, and the dispatcher chooses the server. Owned by one dispatcher, not thread-safe. Times are the caller's, in
 * microseconds, and never decrease; worth is what a request gains for the slots it takes, relative to the usual job, from
 * 0 to 1. {@link #OFF} allows everything and remembers nothing.
 */
public interface HallPolicy {
    /** The price of a hall that a request may not go to. */
    double CLOSED = Double.POSITIVE_INFINITY;

    /** The first byte of datagrams about halls. */
    byte MESSAGE_TYPE = 3;

    /** The policy where no halls are configured. */
    HallPolicy OFF = new HallPolicy() {};

    /** Applies new rules for the same halls; false if the halls or the home differ and a new policy is needed. */
    default boolean changeRules(HallRules rules) {
        return false;
    }

    /** The handle of a server, for the caller to keep; null if no halls are configured. */
    default HallServer serverFor(String serverId) {
        return null;
    }

    /** Takes in what the server list says of a server now; ready: it is listed and takes work. */
    default void updateListing(
            long now, HallServer server, int zone, boolean ready, boolean draining, long startedAt) {}

    /** Takes in the dispatcher's estimate of a listed server; silent: heartbeats that were due did not come. */
    default void updateCapacity(long now, HallServer server, double slots, double speed, boolean silent) {}

    /** Records a sign of life: the server started a job, continued one, or answered. */
    default void recordSignOfLife(long now, HallServer server) {}

    /** Records the end of a probe; answered: the server itself answered, with whatever content. */
    default void recordProbe(long now, HallServer server, boolean answered) {}

    /** Records evidence against a server. */
    default void recordFault(long now, HallServer server, HallServer.Fault fault) {}

    /** Records a job sent; waitShare: its expected wait there, as a share of the usual target time. */
    default void recordSent(long now, HallServer server, double slots, double waitShare) {}

    /** Records the end of a job sent at sentAt; served: with a result. */
    default void recordEnd(long now, HallServer server, long sentAt, double slots, boolean served) {}

    /** Records that this scheduler refused a request of that worth. */
    default void recordRefusal(long now, double worth) {}

    /** The number of the hall of a zone, an index into what {@link #priceHalls} returns. */
    default int hallOfZone(int zone) {
        return 0;
    }

    /**
     * Prices each hall for a request, as a multiple of the price for crossing zones. {@link #CLOSED}: the request may not
     * go there; below 0: the price is {@link #perServerPrice}, and only for servers that {@link #mayUse} allows. The array
     * is reused by the next call. repeatable: the request may safely run twice; tier: the furthest tier to open.
     */
    default double[] priceHalls(long now, double slots, double worth, boolean repeatable, int tier) {
        throw new UnsupportedOperationException("no halls are configured: there are none to price");
    }

    /** The price multiple that a value of {@link #priceHalls} stands for. */
    static double perServerPrice(double price) {
        return price < 0 ? -1 - price : price;
    }

    /** Whether the server's hall lets the request last passed to {@link #priceHalls} go to this server. */
    default boolean mayUse(HallServer server) {
        return true;
    }

    /** How many tiers a pick may have to try one after another. */
    default int tierRounds() {
        return 1;
    }

    /** Whether the server's hall, and the server itself in a doubted hall, is in use; else its capacity does not count. */
    default boolean isHallInUse(HallServer server) {
        return true;
    }

    /** Whether the server's hall is in any state but {@link HallState#SERVING}. */
    default boolean isHallTroubled(HallServer server) {
        return false;
    }

    /** Whether a request that failed on this server may be retried; takes it from the retry budget. */
    default boolean mayRetry(long now, HallServer server, double worth) {
        return true;
    }

    /** Updates the halls' states; returns lines to log. mayProbe: the caller will probe {@link #serversToProbe}. */
    default List<String> updateStates(long now, boolean mayProbe) {
        return List.of();
    }

    /** The servers to probe now, chosen by the last {@link #updateStates}. */
    default List<String> serversToProbe() {
        return List.of();
    }

    /** The datagram to send to all other schedulers now, at most 256 bytes; null: none. */
    default byte[] nextMessage(long now) {
        return null;
    }

    /** Takes in another scheduler's datagram; false if it is not about halls. */
    default boolean receive(long now, int from, byte[] message) {
        return message.length > 0 && message[0] == MESSAGE_TYPE;
    }

    /** Slots that this scheduler's work holds in a foreign hall; 0 for the home hall. */
    default double spilledSlots(int hall) {
        return 0;
    }

    /** The states of the halls, by number. */
    default List<HallState> states() {
        return List.of();
    }
}
