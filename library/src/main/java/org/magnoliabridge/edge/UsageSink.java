package org.magnoliabridge.edge;

import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;

/** Records the usage delivered to a team; must not block. */
@FunctionalInterface
public interface UsageSink {
    /** Records one or more delivered answers. */
    void delivered(Delivery delivery);

    /** The requests and tokens delivered to a team by a service. */
    record Delivery(TeamId team, ServiceId service, long requests, long promptTokens, long completionTokens) {}
}
