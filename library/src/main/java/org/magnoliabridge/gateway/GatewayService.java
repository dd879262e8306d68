package org.magnoliabridge.gateway;

import java.util.Objects;
import java.util.Optional;
import org.magnoliabridge.ids.ServiceId;

/**
 * A service that requests are forwarded to.
 *
 * @param healthPath path of the status page of its endpoints
 * @param maxConnections connections that one endpoint accepts from all callers together
 * @param engine what its engines hold, for a model service
 * @param scaling limits of orders, if endpoints can be ordered
 */
public record GatewayService(
        ServiceId id,
        String healthPath,
        int maxConnections,
        Optional<EngineLimits> engine,
        Optional<ScalingLimits> scaling) {
    public GatewayService {
        Objects.requireNonNull(id);
        Objects.requireNonNull(healthPath);
        Objects.requireNonNull(engine);
        Objects.requireNonNull(scaling);
    }
}
