package org.magnoliabridge.edge;

import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;

/** Counts what was delivered to a team; must not block. */
@FunctionalInterface
public interface UsageSink {
    /** Counts one or more delivered answers. */
    void delivered(Delivery delivery);

    /** What was delivered. */
    record Delivery(TeamId team, ServiceId service, long requests, long promptTokens, long completionTokens) {}
}
