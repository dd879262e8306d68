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
final class EnginePauses {
    // Several times a round trip, and a tenth of the time of a load.
    private static final long FIRST_PAUSE_MS = 100;
    // An engine that can work again is found within this time.
    private static final long MAX_PAUSE_MS = 400;

    private final Map<EndpointId, Pause> pauses = new HashMap<>();

    private record Pause(long lengthMs, long untilMs) {}

    /** Takes that an engine refused an item; the pause doubles with each refusal in a row. */
    void refused(long nowMs, EndpointId engine) {
        Pause before = pauses.get(engine);
        // Items that were on their way together are refused together and count once.
        if (before == null || nowMs >= before.untilMs()) {
            long lengthMs = before == null ? FIRST_PAUSE_MS : Math.min(MAX_PAUSE_MS, 2 * before.lengthMs());
            pauses.put(engine, new Pause(lengthMs, nowMs + lengthMs));
        }
    }

    /** Takes that an engine works on an item. */
    void accepted(EndpointId engine) {
        pauses.remove(engine);
    }

    boolean isPaused(long nowMs, EndpointId engine) {
        Pause pause = pauses.get(engine);
        return pause != null && nowMs < pause.untilMs();
    }
}
