package org.magnoliabridge.orders;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ModelId;

/**
 * Chooses which engines of a service load the new versions of each model.
 *
 * <p>Load pattern: several trainers share the engines, and each of them publishes a version every few seconds. Every
 * engine holds all models, but a load occupies it for about a second, and few engines may load at once. If each engine
 * loaded the versions of all models, most engines would be too old for most models, and items would wait for weights
 * while engines are idle. A model is therefore loaded by as many engines as the loads allow, in proportion to the work
 * that waits for it, and every engine loads at least one model.
 */
final class EngineShares {
    // Part of the possible loads that is planned; the others are for engines that restart and for orders that fail.
    private static final double PLANNED_LOADS = 0.75;
    // A share changes with the demand only by more than this part of it, because a new member has to load first.
    private static final double MIN_CHANGE = 0.2;
    // The demand of a step is high at its start and 0 at its end, so it is averaged over several steps.
    private static final double DEMAND_TIME_CONSTANT_MS = 10_000;
    private static final double SMOOTHING_FACTOR = 0.3;
    // Part of the engines that the models share equally, so that a small trainer does not wait for a large one.
    private static final double EQUAL_PART = 0.5;

    private final Map<ModelId, Share> shares = new TreeMap<>(Comparator.comparing(ModelId::value));

    /** What is known of a model, and the engines that load it. */
    private static final class Share {
        Set<EndpointId> members = new TreeSet<>();
        int size;
        double demandMs;
        long demandAtMs;
        double periodMs;
        long publishedAtMs;
    }

    /**
     * The limits on the loads of a service.
     *
     * @param concurrentLoads how many engines may load at once
     * @param loadMs how long a load takes, in milliseconds
     */
    record Capacity(int concurrentLoads, double loadMs) {}

    /** Records the slot time that the open items of a model still need, in milliseconds. */
    void demand(long nowMs, ModelId model, double slotMs) {
        Share share = share(model);
        double weight = 1 - Math.exp(-(nowMs - share.demandAtMs) / DEMAND_TIME_CONSTANT_MS);
        share.demandMs += weight * (slotMs - share.demandMs);
        share.demandAtMs = nowMs;
    }

    /** Records that a number of versions of a model were published since the last time. */
    void published(long nowMs, ModelId model, long versions) {
        Share share = share(model);
        if (share.publishedAtMs > 0 && versions > 0) {
            double sample = (nowMs - share.publishedAtMs) / (double) versions;
            share.periodMs =
                    share.periodMs == 0 ? sample : share.periodMs + SMOOTHING_FACTOR * (sample - share.periodMs);
        }
        share.publishedAtMs = nowMs;
    }

    /**
     * Updates the members of all shares of one service.
     *
     * @param engines the engines of the service that hold each model
     * @param lags how many versions an engine may be behind, by model
     */
    void update(Map<ModelId, Set<EndpointId>> engines, Map<ModelId, Integer> lags, Capacity capacity) {
        Set<EndpointId> all = new TreeSet<>();
        engines.values().forEach(all::addAll);
        double totalDemand =
                engines.keySet().stream().mapToDouble(m -> share(m).demandMs).sum();
        for (Map.Entry<ModelId, Set<EndpointId>> entry : engines.entrySet()) {
            Share share = share(entry.getKey());
            double equalPart = 1.0 / engines.size();
            double part = totalDemand > 0
                    ? EQUAL_PART * equalPart + (1 - EQUAL_PART) * share.demandMs / totalDemand
                    : equalPart;
            int size = size(share, part, all.size(), lags.getOrDefault(entry.getKey(), 0), capacity);
            if (share.size == 0 || Math.abs(size - share.size) > Math.max(1, MIN_CHANGE * share.size)) {
                share.size = size;
            }
        }
        engines.forEach((model, holders) -> share(model).members.retainAll(holders));
        Map<EndpointId, Integer> load = new HashMap<>();
        engines.keySet().forEach(m -> share(m).members.forEach(e -> load.merge(e, 1, Integer::sum)));
        engines.forEach((model, holders) -> resize(model, share(model), holders, load));
        cover(engines, all, load);
    }

    /** Returns whether an engine loads the new versions of a model. */
    boolean isMember(EndpointId engine, ModelId model) {
        return share(model).members.contains(engine);
    }

    /** Returns the engines that load the new versions of a model. */
    Set<EndpointId> members(ModelId model) {
        return share(model).members;
    }

    /** Returns the average slot time that waits for a model, in milliseconds. */
    double demandMs(ModelId model) {
        return share(model).demandMs;
    }

    // At least the model's part of the engines, so that all engines have work; more if the loads allow it.
    private static int size(Share share, double part, int engines, int lag, Capacity capacity) {
        int fair = (int) Math.ceil(part * engines);
        double loadsPerMs = PLANNED_LOADS * capacity.concurrentLoads() / capacity.loadMs();
        int affordable = (int) (part * loadsPerMs * (lag + 1) * share.periodMs);
        return Math.clamp(Math.max(fair, affordable), 1, Math.max(1, engines));
    }

    private static void resize(ModelId model, Share share, Set<EndpointId> holders, Map<EndpointId, Integer> load) {
        Comparator<EndpointId> leastLoaded = Comparator.comparingInt((EndpointId e) -> load.getOrDefault(e, 0))
                .thenComparingInt(e -> spread(model, e))
                .thenComparing(Comparator.naturalOrder());
        while (share.members.size() > share.size) {
            EndpointId most = share.members.stream().max(leastLoaded).orElseThrow();
            share.members.remove(most);
            load.merge(most, -1, Integer::sum);
        }
        int missing = Math.min(share.size, holders.size()) - share.members.size();
        List<EndpointId> added = holders.stream()
                .filter(e -> !share.members.contains(e))
                .sorted(leastLoaded)
                .limit(missing)
                .toList();
        added.forEach(e -> {
            share.members.add(e);
            load.merge(e, 1, Integer::sum);
        });
    }

    // An engine without a model would idle, for example after a member has been replaced.
    private void cover(
            Map<ModelId, Set<EndpointId>> engines, Collection<EndpointId> all, Map<EndpointId, Integer> load) {
        Set<EndpointId> idle = new HashSet<>(all);
        idle.removeIf(e -> load.getOrDefault(e, 0) > 0);
        for (EndpointId engine : new TreeSet<>(idle)) {
            engines.entrySet().stream()
                    .filter(e -> e.getValue().contains(engine))
                    .map(Map.Entry::getKey)
                    .max(Comparator.comparingDouble(
                            m -> share(m).demandMs / (1 + share(m).members.size())))
                    .ifPresent(model -> share(model).members.add(engine));
        }
    }

    // Orders engines differently for each model, so that models do not compete for the same ones.
    private static int spread(ModelId model, EndpointId engine) {
        return (model.value() + '/' + engine.value()).hashCode();
    }

    private Share share(ModelId model) {
        return shares.computeIfAbsent(model, m -> new Share());
    }
}
