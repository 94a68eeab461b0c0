package barrowshore.standin;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Builds the configuration of schedulers that run against stand-ins, in the platform's JSON format. It owns the constants
 * that schedulers and stand-in workers must agree on. Warm-up is short, so that a recovery can be watched.
 */
public final class StandInConfig {
    /** The job classes, as in request paths; jobs of the second one are at-most-once. */
    public static final List<String> CLASSES = List.of("menu-cteni", "objednavka");

    public static final List<String> HALLS = List.of("hala-a", "hala-b");
    /** Time until a worker is warm, and the window over which arrivals at a cold worker are counted. */
    public static final long WARM_UP_MICROS = 6_000_000, OVERLOAD_WINDOW_MICROS = 2_000_000;

    /** The multiple of its present capacity at which a cold worker fails, and the share of capacity right after a start. */
    public static final double OVERLOAD_MULTIPLE = 3, START_CAPACITY = 0.3;
    /** Work of an average job at speed 1. */
    public static final double MEAN_JOB_MICROS = 150_000;

    public static final long PROGRESS_INTERVAL_MICROS = 500_000;

    private StandInConfig() {}

    /** Formats an address as configurations have it: host:port. */
    public static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Returns the configuration of the scheduler with that number; broadcastAddress reaches all of its peers. */
    public static String toJson(
            String name,
            InetSocketAddress listen,
            InetSocketAddress discovery,
            int number,
            int zone,
            InetSocketAddress peerListen,
            List<String> peers,
            InetSocketAddress broadcastAddress) {
        return ("{'name':'" + name + "','listen':'" + formatAddress(listen) + "','discovery':'"
                        + formatAddress(discovery) + "','seed':'"
                        + Integer.toHexString(number + 1) + "','limits':{'sockets':1024},'peer_listen':'"
                        + formatAddress(peerListen)
                        + "','peers':["
                        + peers.stream().map(peer -> "'" + peer + "'").collect(Collectors.joining(","))
                        + "],'peers_all':'" + formatAddress(broadcastAddress)
                        + "','settings':{'groupSize':" + peers.size() + ",'me':" + number + ",'zone':" + zone
                        + ",'zones':['" + String.join("','", HALLS) + "'],'kinds':['usual'],'tick':5000,'lanes':["
                        + "{'name':'menu-cteni','aim':250000,'deadline':3000000,'worth':2.0,'idempotency':'idempotent'},"
                        + "{'name':'objednavka','aim':400000,'deadline':4000000,'worth':10.0,'idempotency':'at_most_once'}],"
                        + "'policyLimits':{'sendCap':5,'secondCopies':true,'cancel':true,'probing':true,'mayTell':true,"
                        + "'dialTimeout':250000,'keepalive':60000000,'maxRetryAfter':2000000},"
                        + "'domain':{'tellsStart':true,'progress':" + PROGRESS_INTERVAL_MICROS
                        + ",'classStretch':[2,2]},"
                        + "'telemetry':{'how':'pull','columns':['inflight','x0']},'charges':{'crossZone':0.1},"
                        + "'rules':{'cold':" + WARM_UP_MICROS + ",'fall':" + OVERLOAD_WINDOW_MICROS + ",'fallMultiple':"
                        + OVERLOAD_MULTIPLE
                        + ",'startCapacity':"
                        + START_CAPACITY + ",'askEvery':10000000}}}")
                .replace('\'', '"');
    }
}
