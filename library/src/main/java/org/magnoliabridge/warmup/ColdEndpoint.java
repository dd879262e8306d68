package org.magnoliabridge.warmup;

import java.util.Objects;
import org.magnoliabridge.ids.EndpointId;

/**
 * An endpoint that this node has begun to count as cold.
 *
 * @param forMs for how long, in milliseconds
 * @param reason why, for the log
 */
public record ColdEndpoint(EndpointId id, long forMs, String reason) {
    public ColdEndpoint {
        Objects.requireNonNull(id);
        Objects.requireNonNull(reason);
    }
}
