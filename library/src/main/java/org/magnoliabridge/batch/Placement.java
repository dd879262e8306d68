package org.magnoliabridge.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.warmup.Sender;
import org.magnoliabridge.warmup.WarmUpPacer;

/**
 * Chooses the engine of an item.
 *
 * <p>Load pattern: a step submits several hundred items at once, a few of them many times as long as the rest. Engines
 * run items at nearly the same rate up to their number of slots, but preempt items and requeue them at the front when
 * the texts exceed the memory. An item therefore goes to the engine with the lowest utilization of slots and memory,
 * never beyond its slots, and beyond its memory only if no other engine is left. Engines that load the weights of the
 * item's model, or have just refused an item, get none.
 *
 * <p>Load pattern: engines restart one after the other while items wait. A cold engine gets items at the rate that it
 * tolerates, and only while no warm engine has a free slot.
 */
final class Placement {
    private final Map<EndpointId, Load> loads = new HashMap<>();
    private final SlowEngineDetector detector;
    private final EngineBackoff backoff;
    private final WarmUpPacer pacer;
    private final Map<EndpointId, EngineState> loading = new HashMap<>();
    private long nowMs;
    private List<EngineState> engines = List.of();
    private boolean anyTakenOut;

    private static final class Load {
        int runs;
        long tokens;
    }

    Placement(SlowEngineDetector detector, EngineBackoff backoff, WarmUpPacer pacer) {
        this.detector = detector;
        this.backoff = backoff;
        this.pacer = pacer;
    }

    /** Sets the time for the following choices. */
    void setTime(long timeMs) {
        nowMs = timeMs;
    }

    void replaceEngines(List<EngineState> current) {
        engines = List.copyOf(current);
        anyTakenOut = engines.stream().anyMatch(e -> !e.takenOutFor().isEmpty());
        loading.clear();
        for (EngineState engine : engines) {
            if (!engine.loading().isEmpty()) {
                loading.put(engine.endpoint().id(), engine);
            }
        }
    }

    /** Returns whether an engine is loading weights of a batch's model. */
    boolean isLoading(EndpointId engine, BatchHead batch) {
        EngineState state = loading.get(engine);
        return state != null && state.isLoadingFor(batch);
    }

    void runStarted(EndpointId engine, long tokens) {
        Load load = loads.computeIfAbsent(engine, id -> new Load());
        load.runs++;
        load.tokens += tokens;
        pacer.sent(nowMs, Sender.RUNNER, engine);
    }

    void runEnded(EndpointId engine, long tokens) {
        Load load = loads.get(engine);
        load.runs--;
        load.tokens -= tokens;
        if (load.runs == 0) {
            loads.remove(engine);
        }
    }

    /** Returns the engines with a free slot that may run the items of a batch. */
    List<EngineState> candidates(BatchTarget target, BatchHead batch) {
        List<EngineState> candidates = new ArrayList<>();
        for (EngineState engine : engines) {
            if (isAvailable(engine) && mayRun(engine, target, batch)) {
                candidates.add(engine);
            }
        }
        if (hasOtherEngine(target, batch)) {
            candidates.removeIf(e -> e.takenOutFor().contains(batch.team()));
        }
        return candidates;
    }

    // Whether some engine is taken out for the batch's team and another one is not, be it free or not.
    private boolean hasOtherEngine(BatchTarget target, BatchHead batch) {
        return anyTakenOut
                && engines.stream().anyMatch(e -> !e.takenOutFor().contains(batch.team()) && mayRun(e, target, batch));
    }

    private static boolean mayRun(EngineState engine, BatchTarget target, BatchHead batch) {
        return serves(engine, target) && !engine.isLoadingFor(batch) && !engine.tooOldFor(batch);
    }

    /** Returns whether any engine may run the items of a batch, now or once it has a free slot. */
    boolean hasEngine(BatchTarget target, BatchHead batch) {
        return engines.stream().anyMatch(e -> serves(e, target) && !e.tooOldFor(batch));
    }

    /** Returns which of several candidates gets an item; there must be at least one. */
    EngineState choose(BatchTarget target, RunningItem item, List<EngineState> candidates) {
        List<EngineState> preferred = preferred(
                candidates, e -> !item.avoidedEngines.contains(e.endpoint().id()));
        List<EngineState> fast =
                preferred(preferred, e -> !detector.isSlow(e.endpoint().id()));
        List<EngineState> warm =
                preferred(fast, e -> !pacer.isCold(nowMs, e.endpoint().id()));
        EngineState best = warm.getFirst();
        double lowest = Double.MAX_VALUE;
        for (EngineState engine : warm) {
            double utilization = utilization(engine, target, item.item.expectedTotalTokens());
            if (utilization < lowest) {
                lowest = utilization;
                best = engine;
            }
        }
        return best;
    }

    private static List<EngineState> preferred(List<EngineState> engines, Predicate<EngineState> preference) {
        List<EngineState> preferred = new ArrayList<>();
        for (EngineState engine : engines) {
            if (preference.test(engine)) {
                preferred.add(engine);
            }
        }
        return preferred.isEmpty() ? engines : preferred;
    }

    private static boolean serves(EngineState engine, BatchTarget target) {
        return engine.endpoint().service().equals(target.service());
    }

    /** Returns whether an engine has a free slot and is not left alone after a refusal. */
    boolean isAvailable(EngineState engine) {
        EndpointId id = engine.endpoint().id();
        Load load = loads.get(id);
        boolean hasSlot = load == null || load.runs < engine.slots();
        return hasSlot && !backoff.isBackingOff(nowMs, id) && pacer.maySend(nowMs, Sender.RUNNER, id);
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
