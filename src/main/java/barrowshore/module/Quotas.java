package barrowshore.module;

import barrowshore.module.DispatchApi.Settings;
import java.util.Arrays;

/** This dispatcher's even part of each tenant's quota, as token buckets. Traffic over it yields first. */
final class Quotas {
    /** Seconds of its quota that a tenant may save up. */
    private static final double SAVED = 1;

    private final Settings set;
    private double[] tokens = new double[0];
    private long creditAt;

    Quotas(Settings set) {
        this.set = set;
    }

    /** Tenants and quotas have been set; who was there keeps what it has saved, who is new starts with one job. */
    void enter() {
        int known = tokens.length;
        tokens = Arrays.copyOf(tokens, set.tenantQuota.length);
        Arrays.fill(tokens, Math.min(known, tokens.length), tokens.length, 1);
    }

    void start(long now) {
        creditAt = now;
    }

    /** Whether a job of the tenant is over its quota; if not it is counted. */
    boolean over(long now, int tenant) {
        for (int t = 0; t < tokens.length; t++) {
            double quota = set.tenantQuota[t] / set.dispatchers;
            tokens[t] = Math.min(Math.max(2, quota * SAVED), tokens[t] + quota * (now - creditAt) / 1e6);
        }
        creditAt = now;
        if (tenant < 0 || tenant >= tokens.length) {
            return false;
        }
        boolean over = tokens[tenant] < 1;
        tokens[tenant] -= over ? 0 : 1;
        return over;
    }
}
