package org.magnoliabridge.batch;

import org.magnoliabridge.calls.EndpointSource.Observation;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.routing.Endpoint;

/** A side effect that {@link BatchCore} requests. */
public sealed interface BatchEffect {
    /** Start a run and report its end with {@link BatchInput.RunEnded}. */
    record StartRun(ItemRun run) implements BatchEffect {}

    /** Close the connection of a run; its end is still reported with {@link BatchInput.RunEnded}. */
    record StopRun(ItemRunId run) implements BatchEffect {}

    /** Start a call for a score and report its end with {@link BatchInput.ScoreEnded}. */
    record StartScoring(ScoreCall call) implements BatchEffect {}

    /** Close the connection of a call for a score; its end is still reported with {@link BatchInput.ScoreEnded}. */
    record StopScoring(ScoreCallId call) implements BatchEffect {}

    /** Send a request to the store and report the reply with {@link BatchInput.StoreReplied} and the same tag. */
    record Store(long tag, StoreRequest request) implements BatchEffect {}

    /** Answer the read that has this ticket. */
    record Answer(long ticket, ReadAnswer answer) implements BatchEffect {}

    /** Report what the end of a run or of a call for a score shows about an endpoint. */
    record Observe(Endpoint endpoint, Observation observation, TeamId team) implements BatchEffect {}

    /** Write an event to the log. */
    record Log(BatchEvent event) implements BatchEffect {}
}
