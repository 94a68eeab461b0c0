package barrowshore.capacity.simulated;

import barrowshore.model.WorkerModel;
import barrowshore.standin.StandInConfig;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.eclipse.jetty.util.ajax.JSON;

/**
 * The site at the target size: its zones, classes of tasks, tenants and workers, and the configuration of each scheduler.
 * It owns these figures and the text made of them, and no more.
 */
final class TargetSite {
    static final List<String> ZONES = List.of("region-1-a", "region-1-b", "region-2-a", "region-2-b");
    /** The classes of tasks; the second may not run twice. */
    static final List<String> CLASSES = List.of("urgent", "batch");

    static final String MODEL = "usual";
    /** Tenants, and what each may send, as a multiple of its even part of the load. */
    static final int TENANTS = 43;

    private static final double QUOTA_MULTIPLE = 3;
    /** Mean length of a task: 3,000 run at 260 starts a second. */
    static final double TASK_SECONDS = 11.5;
    /** Slots of a worker. */
    static final int SLOTS = 8;
    /** How long a client waits for its task. */
    static final int TIMEOUT_MILLIS = 60_000;

    private static final long SECOND = 1_000_000;
    private static final long URGENT_AIM = 1_900_000, BATCH_AIM = 10 * SECOND;
    /** Between a running task's notes; until a fresh worker is warm; window of the rule on cold workers. */
    static final long PROGRESS = 5 * SECOND;

    private static final long COLD = 20 * SECOND, FALL = 2 * SECOND;
    private static final double FALL_MULTIPLE = 3, START_CAPACITY = 0.3, QUEUE = 40;
    /** For the idle connections that a scheduler keeps to each worker; 2048 are not: see docs/measurements/hollow.md. */
    private static final int DESCRIPTORS = 4096;

    private TargetSite() {}

    static WorkerModel.Spec worker() {
        return new WorkerModel.Spec(SLOTS, 1, QUEUE, true, START_CAPACITY, COLD);
    }

    static WorkerModel.OverloadLimit falling(double taskSeconds) {
        return new WorkerModel.OverloadLimit(FALL_MULTIPLE, FALL, taskSeconds * SECOND);
    }

    static String tenant(int number) {
        return "team-" + number;
    }

    /** Where one scheduler listens and whom it talks to. */
    record Addresses(
            InetSocketAddress listen,
            InetSocketAddress discovery,
            InetSocketAddress peerListen,
            List<InetSocketAddress> peers,
            InetSocketAddress allPeers) {}

    /**
     * A scheduler's configuration. life: its start, from 0; each has a seed of its own, as on the platform. edition: a
     * later one changes the tenants' quotas, which a running scheduler takes over.
     */
    static String configuration(int me, int life, int edition, int starts, Addresses addresses) {
        Map<String, Object> root = new LinkedHashMap<>();
        root.put("name", "n" + me);
        root.put("listen", StandInConfig.formatAddress(addresses.listen()));
        root.put("discovery", StandInConfig.formatAddress(addresses.discovery()));
        root.put("seed", Integer.toHexString((life + 1) * 0x9e3779b1 + me));
        root.put("limits", Map.of("sockets", DESCRIPTORS));
        root.put("peer_listen", StandInConfig.formatAddress(addresses.peerListen()));
        root.put(
                "peers",
                addresses.peers().stream().map(StandInConfig::formatAddress).toArray());
        root.put("peers_all", StandInConfig.formatAddress(addresses.allPeers()));
        root.put("settings", settings(me, addresses.peers().size(), edition, starts));
        return new JSON().toJSON(root);
    }

    private static Map<String, Object> settings(int me, int schedulers, int edition, int starts) {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("groupSize", schedulers);
        settings.put("me", me);
        settings.put("zone", me % ZONES.size());
        settings.put("zones", ZONES.toArray());
        settings.put("kinds", new Object[] {MODEL});
        settings.put("tick", 5_000);
        settings.put("lanes", new Object[] {
            lane(CLASSES.get(0), URGENT_AIM, 10, "idempotent"), lane(CLASSES.get(1), BATCH_AIM, 2, "at_most_once")
        });
        settings.put("tenants", tenants(edition, starts));
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
                        60 * SECOND,
                        "maxRetryAfter",
                        2 * SECOND));
        settings.put("domain", Map.of("tellsStart", true, "progress", PROGRESS, "classStretch", new Object[] {2, 2}));
        settings.put("telemetry", Map.of("how", "pull", "columns", new Object[] {"inflight", "x0"}));
        settings.put("charges", Map.of("crossZone", 0.1));
        settings.put(
                "rules",
                Map.of(
                        "cold", COLD,
                        "fall", FALL,
                        "fallMultiple", FALL_MULTIPLE,
                        "startCapacity", START_CAPACITY,
                        "askEvery", 10 * SECOND));
        return settings;
    }

    private static Map<String, Object> lane(String name, long aim, double worth, String idempotency) {
        return Map.of(
                "name", name,
                "aim", aim,
                "deadline", TIMEOUT_MILLIS * 1000L,
                "worth", worth,
                "idempotency", idempotency);
    }

    private static Object[] tenants(int edition, int starts) {
        double quota = Math.max(1, QUOTA_MULTIPLE * starts / TENANTS) + edition;
        List<Object> tenants = new ArrayList<>();
        for (int t = 0; t < TENANTS; t++) {
            tenants.add(Map.of("name", tenant(t), "share", 1.0 / TENANTS, "quotaPerS", quota));
        }
        return tenants.toArray();
    }
}
