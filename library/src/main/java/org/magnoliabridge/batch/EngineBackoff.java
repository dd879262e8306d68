package org.magnoliabridge.batch;

import java.util.HashMap;
import java.util.Map;
import org.magnoliabridge.ids.EndpointId;

/**
 * Keeps items away from engines that refuse them.
 *
 * <p>Load pattern: an engine refuses all new requests for about a second, while it loads weights that another node has
 * ordered, or while its queue is full of other nodes' requests. Some hundred items wait, so without a pause each of
 * them would be refused there in turn, as fast as the connections allow.
 */
final class EngineBackoff {
    // Several times a round trip, and a tenth of the time of a load.
    private static final long INITIAL_BACKOFF_MS = 100;
    // An engine that can work again is found within this time.
    private static final long MAX_BACKOFF_MS = 400;

    private final Map<EndpointId, Backoff> backoffs = new HashMap<>();

    private record Backoff(long lengthMs, long untilMs) {}

    /** Takes that an engine refused an item; the pause doubles with each refusal in a row. */
    void recordRefusal(long nowMs, EndpointId engine) {
        Backoff before = backoffs.get(engine);
        // Items that were on their way together are refused together and count once.
        if (before == null || nowMs >= before.untilMs()) {
            long lengthMs = before == null ? INITIAL_BACKOFF_MS : Math.min(MAX_BACKOFF_MS, 2 * before.lengthMs());
            backoffs.put(engine, new Backoff(lengthMs, nowMs + lengthMs));
        }
    }

    /** Takes that an engine works on an item. */
    void recordSuccess(EndpointId engine) {
        backoffs.remove(engine);
    }

    boolean isBackingOff(long nowMs, EndpointId engine) {
        Backoff pause = backoffs.get(engine);
        return pause != null && nowMs < pause.untilMs();
    }
}
