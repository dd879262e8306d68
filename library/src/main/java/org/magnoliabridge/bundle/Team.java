package org.magnoliabridge.bundle;

import java.util.List;
import java.util.Objects;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;

/**
 * A team and what it may use.
 *
 * @param weight its share among competing teams, relative to the other weights
 * @param tokensPerSecond limit of generated tokens per second over all nodes
 * @param services the services it may call
 */
public record Team(TeamId id, int weight, long tokensPerSecond, List<ServiceId> services) {
    public Team {
        Objects.requireNonNull(id);
        services = List.copyOf(services);
    }
}
