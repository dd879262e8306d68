package org.magnoliabridge.batch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ServiceId;

/**
 * Chooses the engine of an item.
 *
 * <p>Load pattern: a step brings some hundred items at once, and engines run what they are given at nearly the same
 * speed up to their number of slots. Items therefore go to the engine with the smallest share of its slots in use, and
 * never beyond the slots, where they would wait behind others that may be longer.
 */
final class Placement {
    private final Map<EndpointId, Integer> inUse = new HashMap<>();
    private List<EngineState> engines = List.of();

    void replaceEngines(List<EngineState> now) {
        engines = List.copyOf(now);
    }

    List<EngineState> engines() {
        return engines;
    }

    void began(EndpointId engine) {
        inUse.merge(engine, 1, Integer::sum);
    }

    void ended(EndpointId engine) {
        inUse.computeIfPresent(engine, (id, n) -> n > 1 ? n - 1 : null);
    }

    /** Returns whether any engine of a service has a free slot. */
    boolean hasRoom(ServiceId service) {
        return engines.stream().anyMatch(e -> e.endpoint().service().equals(service) && isFree(e));
    }

    /** Returns the engine for an item, or empty if none that may run it has a free slot. */
    Optional<EngineState> choose(ServiceId service, BatchHead batch, RunningItem item) {
        List<EngineState> allowed = engines.stream()
                .filter(e -> e.endpoint().service().equals(service) && !e.tooOldFor(batch))
                .toList();
        List<EngineState> others = allowed.stream()
                .filter(e -> !item.avoided.contains(e.endpoint().id()))
                .toList();
        return (others.isEmpty() ? allowed : others)
                .stream().filter(this::isFree).min(Comparator.comparingDouble(this::share));
    }

    private boolean isFree(EngineState engine) {
        return used(engine) < engine.slots();
    }

    private double share(EngineState engine) {
        return (double) used(engine) / engine.slots();
    }

    private int used(EngineState engine) {
        return inUse.getOrDefault(engine.endpoint().id(), 0);
    }
}
