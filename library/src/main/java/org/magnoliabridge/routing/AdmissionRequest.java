package org.magnoliabridge.routing;

import org.magnoliabridge.calls.EndpointSource;
import org.magnoliabridge.ids.TeamId;

/** A request that waits for a slot. */
record AdmissionRequest(long id, EndpointSource.SlotRequest need) {
    TeamId team() {
        return need.team();
    }

    EndpointSource.Priority priority() {
        return need.priority();
    }

    /** Returns the estimated cost, at least 1. */
    int estimatedTokens() {
        return Math.max(1, need.tokens());
    }

    /** Returns the tokens that count against the team's rate. */
    int estimatedGeneratedTokens() {
        return Math.max(0, need.tokens() - need.promptTokens());
    }
}
