package org.magnoliabridge.gateway;

import java.util.Optional;

/** The policy in force; an older configuration never replaces a newer one. Thread-safe. */
public final class CurrentPolicy {
    private volatile AdmissionPolicy policy;

    /** Puts a configuration in force; returns false if one of this or a newer version is. */
    public synchronized boolean accept(GatewayConfig config) {
        if (policy != null && policy.config().version() >= config.version()) {
            return false;
        }
        policy = new AdmissionPolicy(config);
        return true;
    }

    /** Returns the policy, or empty while no configuration is known. */
    public Optional<AdmissionPolicy> get() {
        return Optional.ofNullable(policy);
    }

    /** Returns the limits on callers that apply now. */
    public CallerLimits limits() {
        AdmissionPolicy current = policy;
        return current == null ? CallerLimits.DEFAULT : current.config().limits();
    }
}
