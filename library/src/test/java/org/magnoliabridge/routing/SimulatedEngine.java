package org.magnoliabridge.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.magnoliabridge.calls.LoadReport;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.WeightVersion;

/**
 * An engine on virtual time: continuous batching up to a limit, first in first out beyond it, a budget of work per step
 * that prefill and decode share, and a small cache of prompt prefixes.
 */
final class SimulatedEngine {
    static final int STEP_MS = 20;
    static final int BATCH_LIMIT = 16;
    // A running request gets one token a step, which costs one unit; a prompt token costs a quarter of that.
    private static final double STEP_UNITS = 32;
    private static final double PREFILL_UNITS = 0.25;
    private static final int CACHED_PREFIXES = 10;
    private static final int REPORT_LAG_STEPS = 50;

    final EndpointId id;
    private final Deque<SimulatedRequest> waiting = new ArrayDeque<>();
    private final List<SimulatedRequest> running = new ArrayList<>();
    private final Deque<LoadReport> reports = new ArrayDeque<>();
    private final LinkedHashMap<String, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > CACHED_PREFIXES;
        }
    };
    long prefixLookups;
    long prefixHits;

    SimulatedEngine(EndpointId id) {
        this.id = id;
    }

    void accept(SimulatedRequest request) {
        waiting.add(request);
    }

    int load() {
        return running.size() + waiting.size();
    }

    /** Returns the state of one second ago. */
    LoadReport report() {
        return reports.isEmpty() ? new LoadReport(0, 0, new WeightVersion(1), Set.of()) : reports.peekFirst();
    }

    /** Does one step of work; returns the requests that ended, whole or cancelled at their deadline. */
    List<SimulatedRequest> step(long nowMs) {
        List<SimulatedRequest> ended = new ArrayList<>();
        waiting.removeIf(r -> r.deadlineMs <= nowMs && ended.add(r));
        running.removeIf(r -> r.deadlineMs <= nowMs && ended.add(r));
        while (running.size() < BATCH_LIMIT && !waiting.isEmpty()) {
            admit(waiting.poll());
        }
        double units = STEP_UNITS;
        for (SimulatedRequest request : running) {
            if (request.prefillLeft == 0 && units >= 1) {
                units -= 1;
                request.decoded++;
                if (request.firstTokenMs < 0) {
                    request.firstTokenMs = nowMs;
                }
            }
        }
        for (SimulatedRequest request : running) {
            double used = Math.min(request.prefillLeft, units / PREFILL_UNITS);
            request.prefillLeft -= used;
            units -= used * PREFILL_UNITS;
        }
        running.removeIf(r -> r.decoded >= r.generated && ended.add(r));
        reports.addLast(
                new LoadReport(running.size(), waiting.size(), new WeightVersion(1), Set.copyOf(cache.keySet())));
        if (reports.size() > REPORT_LAG_STEPS) {
            reports.removeFirst();
        }
        return ended;
    }

    private void admit(SimulatedRequest request) {
        prefixLookups++;
        boolean hit = cache.put(request.prefix, true) != null;
        prefixHits += hit ? 1 : 0;
        request.prefillLeft = SimulatedRequest.PROMPT_TOKENS - (hit ? SimulatedRequest.PREFIX_TOKENS : 0);
        running.add(request);
    }
}
