package org.magnoliabridge.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.warmup.WarmUpPacer;

/**
 * Tells which queued requests of a service cannot be sent before their deadlines, because all its endpoints are cold.
 *
 * <p>Load pattern: all endpoints of a service have restarted, and callers' requests arrive faster than cold endpoints
 * tolerate. Those that this node's share and the end of the warm-up leave no room for are found at once; the same
 * requests would otherwise wait in vain until their deadlines.
 *
 * <p>To be used for one pass over the queue, because it counts the requests that it keeps.
 */
final class ColdServiceCheck implements Predicate<AdmissionRequest> {
    private final WarmUpPacer pacer;
    private final List<EndpointId> endpoints;
    private final long nowMs;
    private final long warmAtMs;
    private final Map<Long, Long> sendableByDeadline = new HashMap<>();
    private long kept;

    /**
     * Creates a check.
     *
     * @param endpoints the eligible endpoints of the service, all of them cold
     */
    ColdServiceCheck(WarmUpPacer pacer, List<EndpointId> endpoints, long nowMs) {
        this.pacer = pacer;
        this.endpoints = endpoints;
        this.nowMs = nowMs;
        this.warmAtMs = endpoints.stream()
                .mapToLong(e -> pacer.warmAtMs(nowMs, e))
                .min()
                .orElseThrow();
    }

    /** Returns the time until the first endpoint is warm, in milliseconds. */
    long warmInMs() {
        return warmAtMs - nowMs;
    }

    /** Returns whether a request cannot be sent before its deadline. */
    @Override
    public boolean test(AdmissionRequest request) {
        long deadlineMs = request.slotRequest().deadlineMs();
        boolean hopeless =
                deadlineMs < warmAtMs && kept >= sendableByDeadline.computeIfAbsent(deadlineMs, this::sendableUntil);
        kept += hopeless ? 0 : 1;
        return hopeless;
    }

    private long sendableUntil(long deadlineMs) {
        return endpoints.stream()
                .mapToLong(e -> pacer.callerRequestsUntil(nowMs, deadlineMs, e))
                .sum();
    }
}
