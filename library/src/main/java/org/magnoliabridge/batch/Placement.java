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
 * <p>Load pattern: a step submits several hundred items at once, a few of them many times as long as the rest. Engines
 * run items at nearly the same rate up to their number of slots, but preempt items and requeue them at the front when
 * the texts exceed the memory. An item therefore goes to the engine with the lowest utilization of slots and memory,
 * never beyond its slots, and beyond its memory only if no other engine is left. Engines that load weights or have just
 * refused an item get none.
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

    Placement(SlowEngineDetector detector, EngineBackoff backoff) {
        this.detector = detector;
        this.backoff = backoff;
    }

    /** Sets the time for the following choices. */
    void setTime(long timeMs) {
        nowMs = timeMs;
    }

    void replaceEngines(List<EngineState> current) {
        engines = List.copyOf(current);
    }

    Optional<EngineState> engine(EndpointId id) {
        return engines.stream().filter(e -> e.endpoint().id().equals(id)).findFirst();
    }

    void runStarted(EndpointId engine, long tokens) {
        Load load = loads.computeIfAbsent(engine, id -> new Load());
        load.runs++;
        load.tokens += tokens;
    }

    void runEnded(EndpointId engine, long tokens) {
        Load load = loads.get(engine);
        load.runs--;
        load.tokens -= tokens;
        if (load.runs == 0) {
            loads.remove(engine);
        }
    }

    /** Returns whether any engine of a target has a free slot. */
    boolean hasFreeSlot(BatchTarget target) {
        return engines.stream().anyMatch(e -> serves(e, target) && isAvailable(e));
    }

    /**
     * Returns the engine for an item, or empty if none that may run it has a free slot.
     *
     * @param eligible further condition on the engine
     */
    Optional<EngineState> choose(
            BatchTarget target, BatchHead batch, RunningItem item, Predicate<EngineState> eligible) {
        List<EngineState> free = engines.stream()
                .filter(e -> serves(e, target) && !e.tooOldFor(batch) && isAvailable(e))
                .filter(eligible)
                .toList();
        List<EngineState> preferred = free.stream()
                .filter(e -> !item.avoidedEngines.contains(e.endpoint().id()))
                .toList();
        List<EngineState> pool = preferred.isEmpty() ? free : preferred;
        List<EngineState> fast =
                pool.stream().filter(e -> !detector.isSlow(e.endpoint().id())).toList();
        return (fast.isEmpty() ? pool : fast)
                .stream().min(Comparator.comparingDouble(e -> utilization(e, target, item.item.expectedTotalTokens())));
    }

    private static boolean serves(EngineState engine, BatchTarget target) {
        return engine.endpoint().service().equals(target.service());
    }

    private boolean isAvailable(EngineState engine) {
        EndpointId id = engine.endpoint().id();
        Load load = loads.get(id);
        boolean hasSlot = load == null || load.runs < engine.slots();
        return hasSlot && !engine.loading() && !backoff.isBackingOff(nowMs, id);
    }

    private double utilization(EngineState engine, BatchTarget target, long tokens) {
        Load load = loads.get(engine.endpoint().id());
        double runs = load == null ? 0 : load.runs;
        double held = load == null ? 0 : load.tokens;
        double memory = (held + tokens) / target.cacheTokens();
        double slots = (runs + 1) / engine.slots();
        // Beyond its memory an engine preempts items, which costs more than any utilization of its slots.
        return memory > 1 ? 1 + memory : Math.max(memory, slots);
    }
}
