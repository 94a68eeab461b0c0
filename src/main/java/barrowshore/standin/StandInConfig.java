package barrowshore.standin;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.Collectors;

/**
 * What a scheduler before stand-ins is told: a configuration in the platform's form. It owns these figures alone. Times are
 * short so that a return can be watched: warm after 6 s.
 */
public final class StandInConfig {
    /** The classes, as their paths name them; the second may not run twice. */
    public static final List<String> CLASSES = List.of("menu-cteni", "objednavka");

    public static final List<String> HALLS = List.of("hala-a", "hala-b");
    /** Microseconds until a node is warm, and the window of the rule on cold ones. */
    public static final long WARM_UP_MICROS = 6_000_000, OVERLOAD_WINDOW_MICROS = 2_000_000;

    public static final double OVERLOAD_MULTIPLE = 3, START_CAPACITY = 0.3;
    /** Work of a usual job, and the time between notes of progress, microseconds. */
    public static final double MEAN_JOB_MICROS = 150_000;

    public static final long PROGRESS_INTERVAL_MICROS = 500_000;

    private StandInConfig() {}

    /** An address as configurations have it. */
    public static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** A configuration: who it is among how many peers, where it listens, and where all that it talks to is. */
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
