package org.magnoliabridge.gateway;

import java.util.Optional;

/** The admission policy of the newest configuration received so far. Thread-safe. */
public final class CurrentPolicy {
    private volatile AdmissionPolicy policy;

    /** Activates a configuration; returns false if one of the same or a newer version is already active. */
    public synchronized boolean accept(GatewayConfig config) {
        if (policy != null && policy.config().version() >= config.version()) {
            return false;
        }
        policy = new AdmissionPolicy(config);
        return true;
    }

    /** Returns the policy, or empty before a configuration is loaded. */
    public Optional<AdmissionPolicy> get() {
        return Optional.ofNullable(policy);
    }

    /** Returns the active limits on callers. */
    public CallerLimits limits() {
        AdmissionPolicy current = policy;
        return current == null ? CallerLimits.DEFAULT : current.config().limits();
    }
}
