package barrowshore.module;

import barrowshore.module.DispatchApi.Settings;
import java.util.Arrays;

/** Token buckets with this dispatcher's equal share of each tenant's quota. Jobs over quota are refused first. */
final class TenantQuotas {
    /** Seconds of unused quota that a tenant may save up. */
    private static final double MAX_SAVED_SECONDS = 1;

    private final Settings settings;
    private double[] tokens = new double[0];
    private long creditedAt;

    TenantQuotas(Settings settings) {
        this.settings = settings;
    }

    /** Follows a change of tenants and quotas; known tenants keep their tokens, new ones start with one. */
    void applyQuotas() {
        int knownTenants = tokens.length;
        tokens = Arrays.copyOf(tokens, settings.tenantQuota.length);
        Arrays.fill(tokens, Math.min(knownTenants, tokens.length), tokens.length, 1);
    }

    void start(long now) {
        creditedAt = now;
    }

    /** Whether a job of the tenant is over its quota; if not, takes a token for it. */
    boolean countsAsOverQuota(long now, int tenant) {
        for (int t = 0; t < tokens.length; t++) {
            double quotaPerSecond = settings.tenantQuota[t] / settings.dispatchers;
            tokens[t] = Math.min(
                    Math.max(2, quotaPerSecond * MAX_SAVED_SECONDS),
                    tokens[t] + quotaPerSecond * (now - creditedAt) / 1e6);
        }
        creditedAt = now;
        if (tenant < 0 || tenant >= tokens.length) {
            return false;
        }
        boolean isOver = tokens[tenant] < 1;
        tokens[tenant] -= isOver ? 0 : 1;
        return isOver;
    }
}
