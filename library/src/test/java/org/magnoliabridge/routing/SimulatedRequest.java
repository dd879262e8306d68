package org.magnoliabridge.routing;

import java.util.Optional;
import java.util.Set;
import org.magnoliabridge.calls.EndpointSource.Priority;
import org.magnoliabridge.calls.EndpointSource.SlotRequest;
import org.magnoliabridge.ids.TeamId;

/** A request on virtual time, with its progress. */
final class SimulatedRequest {
    static final int PROMPT_TOKENS = 600;
    static final int PREFIX_TOKENS = 480;
    static final int MAX_TOKENS = 160;

    final long id;
    final int team;
    final Priority priority;
    final String prefix;
    final int generated;
    final long arrivedMs;
    final long deadlineMs;
    double prefillLeft;
    int decoded;
    long firstTokenMs = -1;

    SimulatedRequest(
            long id, int team, Priority priority, String prefix, int generated, long arrivedMs, long deadlineMs) {
        this.id = id;
        this.team = team;
        this.priority = priority;
        this.prefix = prefix;
        this.generated = generated;
        this.arrivedMs = arrivedMs;
        this.deadlineMs = deadlineMs;
    }

    boolean isComplete() {
        return decoded >= generated;
    }

    SlotRequest slotRequest() {
        return new SlotRequest(
                RoutingFixture.SERVICE,
                new TeamId("team" + team),
                priority,
                PROMPT_TOKENS + MAX_TOKENS,
                PROMPT_TOKENS,
                prefix,
                deadlineMs,
                Optional.empty(),
                Set.of());
    }
}
