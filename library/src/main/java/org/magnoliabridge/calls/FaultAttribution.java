package org.magnoliabridge.calls;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.magnoliabridge.calls.EndpointSource.Observation;
import org.magnoliabridge.ids.EndpointId;

/**
 * Decides what the attempts of one request show about the endpoints that it was sent to. All calls ask here: plain
 * calls, streams, generations, items of batches and calls for scores.
 *
 * <p>The request may be the cause of a refusal, of an answer that reports a failure or is too large, and of a timeout
 * at its own deadline. These count against the endpoint only if another endpoint answers the same request; a request
 * that fails wherever it is sent shows no fault of the endpoints. An attempt that its caller or this node has ended
 * shows nothing.
 *
 * <p>Load pattern: one team sends many requests that fail at each endpoint, allows too little time for them or leaves
 * before the answer, while other teams use the same endpoints. Not thread-safe.
 */
public final class FaultAttribution {
    private final Map<EndpointId, Consumer<Observation>> suspects = new LinkedHashMap<>();

    /**
     * Records the end of an attempt.
     *
     * @param report receives what is shown about the endpoint of this attempt, now or at the end of a later one
     */
    public void attemptEnded(EndpointId endpoint, AttemptEnd end, Consumer<Observation> report) {
        switch (end) {
            case ANSWERED -> {
                suspects.remove(endpoint);
                suspects.values().forEach(suspect -> suspect.accept(Observation.FAULTY_ANSWER));
                suspects.clear();
                report.accept(Observation.ANSWERED);
            }
            case FAILED -> {
                report.accept(Observation.REPORTED_FAILURE);
                suspects.put(endpoint, report);
            }
            case REFUSED, OVERSIZED, TIMED_OUT -> suspects.put(endpoint, report);
            case LEAVING -> report.accept(Observation.DRAINING);
            case UNREACHABLE -> report.accept(Observation.UNREACHABLE);
            case BROKEN -> report.accept(Observation.FAULTY_ANSWER);
            default -> {
                // STOPPED says nothing about the endpoint.
            }
        }
    }
}
