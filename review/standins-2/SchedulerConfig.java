/** The configuration of a scheduler of a small deployment, with the figures of the brno-objednavky settings. */
final class SchedulerConfig {
    static final String ZONE = "hala-a", MODEL = "plny-vykon", TENANT = "stredni-cechy";
    /** A class that may be repeated, and one that must never run twice. */
    static final String SAFE_CLASS = "menu-cteni", UNSAFE_CLASS = "platba";
    /** How long after it was told a scheduler may still send to a worker that leaves. */
    static final long DRAIN_GRACE_MILLIS = 2000;

    private SchedulerConfig() {}

    /** knownList: the list known from before, or null; a second copy of a request may be sent while the first is out. */
    static String json(String listen, String discovery, String knownList) {
        return json(listen, discovery, knownList, true);
    }

    /** secondCopies: whether a second copy of a request may be sent while the first is out. */
    static String json(String listen, String discovery, String knownList, boolean secondCopies) {
        return "{\"name\":\"n1\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery + "\","
                + (knownList == null ? "" : "\"known\":" + knownList + ",")
                + "\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"settings\":{\"family\":\"jobs\",\"groupSize\":1,\"me\":0,\"tier\":0,\"zone\":0,\"zones\":[\"" + ZONE
                + "\"],\"kinds\":[\"" + MODEL + "\"],\"tick\":5000,\"discovery\":\"automatic\",\"weights\":\"rough\","
                + "\"worthBy\":\"request\",\"overShareWorth\":0.2,"
                + "\"lanes\":["
                + lane(SAFE_CLASS, "idempotent", 120_000, 5_000_000, 2)
                + ","
                + lane(UNSAFE_CLASS, "at_most_once", 400_000, 5_000_000, 8)
                + "],"
                + "\"tenants\":[{\"name\":\"" + TENANT + "\",\"share\":1.0,\"quotaPerS\":1000.0}],"
                + "\"clients\":{\"marksRetry\":true},"
                + "\"domain\":{\"classKind\":[-1,-1],\"classPriority\":[0,0],\"classStretch\":[2.0,2.0],"
                + "\"progress\":2000000,\"tellsStart\":true,\"queueOrder\":\"backfill\"},"
                + "\"telemetry\":{\"how\":\"pull\",\"columns\":[\"inflight\",\"x0\"]},"
                + "\"policyLimits\":{\"cancel\":true,\"dialTimeout\":250000,\"keepalive\":60000000,"
                + "\"maxRetryAfter\":2000000,\"mayTell\":false,\"probing\":true,\"retryAfter\":false,"
                + "\"secondCopies\":" + secondCopies + ",\"sendCap\":5},"
                + "\"charges\":{\"crossZone\":0.1},"
                + "\"rules\":{\"answerSlack\":20000,\"askEvery\":10000000,\"cold\":22000000,\"fall\":2000000,"
                + "\"fallMultiple\":3.0,\"startCapacity\":0.17,\"stopSendingWithin\":"
                + DRAIN_GRACE_MILLIS * 1000 + "}}}";
    }

    private static String lane(String name, String effect, long aimMicros, long deadlineMicros, int worth) {
        return "{\"name\":\"" + name + "\",\"idempotency\":\"" + effect + "\",\"aim\":" + aimMicros
                + ",\"deadline\":" + deadlineMicros + ",\"worth\":" + worth
                + ",\"keyScope\":\"all\",\"repeatWindow\":5000000,\"lateShare\":0.0,\"streaming\":false}";
    }
}
