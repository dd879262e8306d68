package org.magnoliabridge.routing;

import org.magnoliabridge.calls.EndpointSource;
import org.magnoliabridge.ids.TeamId;

/** A request for a slot, queued or in flight; the id is unique within this node. */
record AdmissionRequest(long id, EndpointSource.SlotRequest slotRequest) {
    TeamId team() {
        return slotRequest.team();
    }

    EndpointSource.Priority priority() {
        return slotRequest.priority();
    }

    /** Returns the estimated cost in tokens, at least 1. */
    int estimatedTokens() {
        return Math.max(1, slotRequest.tokens());
    }

    /** Returns the estimated generated tokens, which count against the team's rate limit. */
    int estimatedGeneratedTokens() {
        return Math.max(0, slotRequest.tokens() - slotRequest.promptTokens());
    }
}
