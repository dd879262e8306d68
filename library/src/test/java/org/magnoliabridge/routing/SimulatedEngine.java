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
 * An engine on virtual time: continuous batching up to a limit, a first-in-first-out queue beyond it, a budget of units
 * per step that prefill and decoding share, and a small cache of prompt prefixes.
 */
final class SimulatedEngine {
    static final int STEP_MS = 20;
    static final int BATCH_LIMIT = 16;
    // Each running request decodes one token per step at a cost of one unit; a prompt token costs a quarter of a unit.
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

    /** Returns the load report of one second ago. */
    LoadReport report() {
        return reports.isEmpty() ? new LoadReport(0, 0, new WeightVersion(1), Set.of()) : reports.peekFirst();
    }

    /** Simulates one step; returns the requests that ended, either completed or cancelled at their deadline. */
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
        boolean cached = cache.put(request.prefix, true) != null;
        prefixHits += cached ? 1 : 0;
        request.prefillLeft = SimulatedRequest.PROMPT_TOKENS - (cached ? SimulatedRequest.PREFIX_TOKENS : 0);
        running.add(request);
    }
}
