package org.magnoliabridge.gateway;

import java.util.Objects;
import java.util.Optional;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.warmup.WarmUpLimits;

/**
 * A service that requests are forwarded to.
 *
 * @param healthPath path of the health check of its endpoints
 * @param maxConnections maximum number of connections that one endpoint accepts from all callers together
 * @param engine capacity of its engines; empty unless it is a model service
 * @param warmUp what its endpoints tolerate after their start; empty if they need no time to warm up
 * @param scaling limits on the number of endpoints to order; empty if endpoints cannot be ordered
 */
public record GatewayService(
        ServiceId id,
        String healthPath,
        int maxConnections,
        Optional<EngineLimits> engine,
        Optional<WarmUpLimits> warmUp,
        Optional<ScalingLimits> scaling) {
    public GatewayService {
        Objects.requireNonNull(id);
        Objects.requireNonNull(healthPath);
        Objects.requireNonNull(engine);
        Objects.requireNonNull(warmUp);
        Objects.requireNonNull(scaling);
    }
}
