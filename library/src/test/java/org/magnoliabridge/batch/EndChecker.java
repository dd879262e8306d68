package org.magnoliabridge.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks from outside that no item is sent long after the end of its batch: 3 s after its confirmation, or after 6 s
 * without one. Knows batches by name and times only.
 */
final class EndChecker {
    private static final long CANCEL_MS = 3_000;
    private static final long ACKNOWLEDGE_MS = 6_000;

    private final Map<String, Long> endedMs = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private int sent;

    void endAsked(String batch, long nowMs) {
        endedMs.putIfAbsent(batch, nowMs + ACKNOWLEDGE_MS);
    }

    void endConfirmed(String batch, long nowMs) {
        endedMs.merge(batch, nowMs, Math::min);
    }

    void itemSent(String batch, long nowMs) {
        sent++;
        Long ended = endedMs.get(batch);
        if (ended != null && nowMs > ended + CANCEL_MS) {
            violations.add("an item of " + batch + " was sent " + (nowMs - ended) + " ms after its end");
        }
    }

    int sent() {
        return sent;
    }

    List<String> violations() {
        return violations;
    }
}
