package barrowshore.capacity.simulated;

import barrowshore.model.WorkerModel;
import barrowshore.standin.StandInConfig;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.eclipse.jetty.util.ajax.JSON;

/** Site at the target size: zones, classes of tasks, tenants and workers, and the configuration of each scheduler. */
final class TargetSite {
    static final List<String> ZONES = List.of("region-1-a", "region-1-b", "region-2-a", "region-2-b");
    /** Classes of tasks; a task of the second class may run at most once. */
    static final List<String> CLASSES = List.of("urgent", "batch");

    static final String MODEL = "usual";
    /** Number of tenants. */
    static final int TENANT_COUNT = 43;

    /** Quota of a tenant as a multiple of an equal share of the load. */
    private static final double QUOTA_MULTIPLE = 3;
    /** Mean length of a task: 3,000 tasks run at 260 starts per second. */
    static final double TASK_SECONDS = 11.5;
    /** Slots of each worker. */
    static final int SLOTS_PER_WORKER = 8;
    /** Time that a client waits for its task. */
    static final int TIMEOUT_MILLIS = 60_000;

    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long URGENT_AIM_MICROS = 1_900_000, BATCH_AIM_MICROS = 10 * MICROS_PER_SECOND;
    /** Interval between progress notes of a running task. */
    static final long PROGRESS_INTERVAL_MICROS = 5 * MICROS_PER_SECOND;

    /** Duration of a worker's slow start, and window of the overload rule for cold workers. */
    private static final long SLOW_START_MICROS = 20 * MICROS_PER_SECOND,
            OVERLOAD_WINDOW_MICROS = 2 * MICROS_PER_SECOND;

    private static final double OVERLOAD_MULTIPLE = 3, START_CAPACITY_SHARE = 0.3, QUEUE_LENGTH = 40;
    /** Socket limit. It covers the idle connections to each worker; 2048 is too low: see docs/measurements/hollow.md. */
    private static final int MAX_SOCKETS = 4096;

    private TargetSite() {}

    static WorkerModel.Spec workerSpec() {
        return new WorkerModel.Spec(SLOTS_PER_WORKER, 1, QUEUE_LENGTH, true, START_CAPACITY_SHARE, SLOW_START_MICROS);
    }

    static WorkerModel.OverloadLimit overloadLimit(double taskSeconds) {
        return new WorkerModel.OverloadLimit(
                OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_MICROS, taskSeconds * MICROS_PER_SECOND);
    }

    static String tenantName(int number) {
        return "team-" + number;
    }

    /** Addresses that one scheduler listens on, and those of service discovery and its peers. */
    record Addresses(
            InetSocketAddress listen,
            InetSocketAddress discovery,
            InetSocketAddress peerListen,
            List<InetSocketAddress> peers,
            InetSocketAddress allPeers) {}

    /**
     * Returns the configuration of one scheduler as JSON.
     *
     * @param restarts earlier starts of this scheduler; each start has its own seed, as in production
     * @param revision changes the tenants' quotas, which a running scheduler applies on reload
     * @param starts task starts per second over all schedulers
     */
    static String configuration(int me, int restarts, int revision, int starts, Addresses addresses) {
        Map<String, Object> root = new LinkedHashMap<>();
        root.put("name", "n" + me);
        root.put("listen", StandInConfig.formatAddress(addresses.listen()));
        root.put("discovery", StandInConfig.formatAddress(addresses.discovery()));
        root.put("seed", Integer.toHexString((restarts + 1) * 0x9e3779b1 + me));
        root.put("limits", Map.of("sockets", MAX_SOCKETS));
        root.put("peer_listen", StandInConfig.formatAddress(addresses.peerListen()));
        root.put(
                "peers",
                addresses.peers().stream().map(StandInConfig::formatAddress).toArray());
        root.put("peers_all", StandInConfig.formatAddress(addresses.allPeers()));
        root.put("settings", settings(me, addresses.peers().size(), revision, starts));
        return new JSON().toJSON(root);
    }

    private static Map<String, Object> settings(int me, int schedulers, int revision, int starts) {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("groupSize", schedulers);
        settings.put("me", me);
        settings.put("zone", me % ZONES.size());
        settings.put("zones", ZONES.toArray());
        settings.put("kinds", new Object[] {MODEL});
        settings.put("tick", 5_000);
        settings.put("lanes", new Object[] {
            jobClass(CLASSES.get(0), URGENT_AIM_MICROS, 10, "idempotent"),
            jobClass(CLASSES.get(1), BATCH_AIM_MICROS, 2, "at_most_once")
        });
        settings.put("tenants", tenants(revision, starts));
        settings.put(
                "policyLimits",
                Map.of(
                        "sendCap",
                        5,
                        "secondCopies",
                        true,
                        "cancel",
                        true,
                        "probing",
                        true,
                        "mayTell",
                        true,
                        "dialTimeout",
                        250_000,
                        "keepalive",
                        60 * MICROS_PER_SECOND,
                        "maxRetryAfter",
                        2 * MICROS_PER_SECOND));
        settings.put(
                "domain",
                Map.of("tellsStart", true, "progress", PROGRESS_INTERVAL_MICROS, "classStretch", new Object[] {2, 2}));
        settings.put("telemetry", Map.of("how", "pull", "columns", new Object[] {"inflight", "x0"}));
        settings.put("charges", Map.of("crossZone", 0.1));
        settings.put(
                "rules",
                Map.of(
                        "cold", SLOW_START_MICROS,
                        "fall", OVERLOAD_WINDOW_MICROS,
                        "fallMultiple", OVERLOAD_MULTIPLE,
                        "startCapacity", START_CAPACITY_SHARE,
                        "askEvery", 10 * MICROS_PER_SECOND));
        return settings;
    }

    private static Map<String, Object> jobClass(String name, long aim, double worth, String idempotency) {
        return Map.of(
                "name", name,
                "aim", aim,
                "deadline", TIMEOUT_MILLIS * 1000L,
                "worth", worth,
                "idempotency", idempotency);
    }

    private static Object[] tenants(int revision, int starts) {
        double quota = Math.max(1, QUOTA_MULTIPLE * starts / TENANT_COUNT) + revision;
        List<Object> tenants = new ArrayList<>();
        for (int t = 0; t < TENANT_COUNT; t++) {
            tenants.add(Map.of("name", tenantName(t), "share", 1.0 / TENANT_COUNT, "quotaPerS", quota));
        }
        return tenants.toArray();
    }
}
