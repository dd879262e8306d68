package org.magnoliabridge.batch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.magnoliabridge.ids.EndpointId;

/**
 * Chooses the engine of an item.
 *
 * <p>Load pattern: a step brings some hundred items at once, of which a few are many times as long as the rest. Engines
 * run what they are given at nearly the same pace up to their number of slots, but put items back to the start of their
 * queue when the texts outgrow the memory. Items therefore go to the engine with the smallest share of its slots and
 * memory in use, never beyond the slots, and beyond the memory only if no other engine is left. Engines that load
 * weights or have just refused an item get none.
 */
final class Placement {
    private final Map<EndpointId, Load> loads = new HashMap<>();
    private final SlowEngineDetector detector;
    private final EngineBackoff backoff;
    private long nowMs;
    private List<EngineState> engines = List.of();

    private static final class Load {
        int runs;
        long tokens;
    }

    Placement(SlowEngineDetector pace, EngineBackoff pauses) {
        this.detector = pace;
        this.backoff = pauses;
    }

    /** Sets the time of the choices that follow. */
    void setTime(long now) {
        nowMs = now;
    }

    void replaceEngines(List<EngineState> now) {
        engines = List.copyOf(now);
    }

    Optional<EngineState> engine(EndpointId id) {
        return engines.stream().filter(e -> e.endpoint().id().equals(id)).findFirst();
    }

    void runStarted(EndpointId engine, long tokens) {
        Load use = loads.computeIfAbsent(engine, id -> new Load());
        use.runs++;
        use.tokens += tokens;
    }

    void runEnded(EndpointId engine, long tokens) {
        Load use = loads.get(engine);
        use.runs--;
        use.tokens -= tokens;
        if (use.runs == 0) {
            loads.remove(engine);
        }
    }

    /** Returns whether any engine of a target has a free slot. */
    boolean hasFreeSlot(BatchTarget target) {
        return engines.stream().anyMatch(e -> serves(e, target) && isFree(e));
    }

    /**
     * Returns the engine for an item, or empty if none that may run it has a free slot.
     *
     * @param wanted the engines to choose from, if not all that may run it
     */
    Optional<EngineState> choose(BatchTarget target, BatchHead batch, RunningItem item, Predicate<EngineState> wanted) {
        List<EngineState> free = engines.stream()
                .filter(e -> serves(e, target) && !e.tooOldFor(batch) && isFree(e))
                .filter(wanted)
                .toList();
        List<EngineState> others = free.stream()
                .filter(e -> !item.avoidedEngines.contains(e.endpoint().id()))
                .toList();
        List<EngineState> pool = others.isEmpty() ? free : others;
        List<EngineState> fast =
                pool.stream().filter(e -> !detector.isSlow(e.endpoint().id())).toList();
        return (fast.isEmpty() ? pool : fast)
                .stream().min(Comparator.comparingDouble(e -> utilization(e, target, item.item.expectedTotalTokens())));
    }

    private static boolean serves(EngineState engine, BatchTarget target) {
        return engine.endpoint().service().equals(target.service());
    }

    private boolean isFree(EngineState engine) {
        EndpointId id = engine.endpoint().id();
        Load use = loads.get(id);
        boolean hasSlot = use == null || use.runs < engine.slots();
        return hasSlot && !engine.loading() && !backoff.isBackingOff(nowMs, id);
    }

    private double utilization(EngineState engine, BatchTarget target, long tokens) {
        Load use = loads.get(engine.endpoint().id());
        double runs = use == null ? 0 : use.runs;
        double held = use == null ? 0 : use.tokens;
        double memory = (held + tokens) / target.cacheTokens();
        double slots = (runs + 1) / engine.slots();
        // Above its memory an engine puts items back, which costs more than any share of its slots.
        return memory > 1 ? 1 + memory : Math.max(memory, slots);
    }
}
