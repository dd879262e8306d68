package org.magnoliabridge.batch;

import java.util.HashMap;
import java.util.Map;
import org.magnoliabridge.ids.EndpointId;

/**
 * Backs off from engines that refuse items.
 *
 * <p>Load pattern: an engine refuses all new requests for about a second, because it loads weights at another node's
 * request, or because its queue is full of other nodes' requests. Several hundred items are waiting; without a backoff,
 * each of them would be refused in turn, as fast as the connections allow.
 */
final class EngineBackoff {
    // Several round trips, and a tenth of the time of a weight load.
    private static final long INITIAL_BACKOFF_MS = 100;
    // A recovered engine gets items again within this time.
    private static final long MAX_BACKOFF_MS = 400;

    private final Map<EndpointId, Backoff> backoffs = new HashMap<>();

    private record Backoff(long lengthMs, long untilMs) {}

    /** Records that an engine refused an item; the backoff doubles with each consecutive refusal. */
    void recordRefusal(long nowMs, EndpointId engine) {
        Backoff previous = backoffs.get(engine);
        // Items that were in flight together are refused together and count as one refusal.
        if (previous == null || nowMs >= previous.untilMs()) {
            long lengthMs = previous == null ? INITIAL_BACKOFF_MS : Math.min(MAX_BACKOFF_MS, 2 * previous.lengthMs());
            backoffs.put(engine, new Backoff(lengthMs, nowMs + lengthMs));
        }
    }

    /** Records that an engine has generated events, which ends its backoff. */
    void recordSuccess(EndpointId engine) {
        backoffs.remove(engine);
    }

    boolean isBackingOff(long nowMs, EndpointId engine) {
        Backoff current = backoffs.get(engine);
        return current != null && nowMs < current.untilMs();
    }
}
