package org.magnoliabridge.orders;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.FencingToken;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.WeightVersion;
import org.magnoliabridge.lease.LeaseView;

/**
 * Rolls out new weights to engines under a lease.
 *
 * <p>Samplers of trainers swap first. Only a part of a service's engines swap at once, see {@link WeightsSettings}. Of
 * several models, each is loaded by a share of the engines, see {@link EngineShares}. Loads stay within the rate of the
 * weight store. A swap succeeds only when the engine reports the version. No intent is recorded: an order names the
 * version to load, and a new lease holder learns the remaining work from the engines' reports.
 *
 * <pre>{@code
 * WeightsCore weights = new WeightsCore(WeightsSettings.forRate(60, 20), clock.nowMs());
 * List<WeightsEffect> effects = weights.on(clock.nowMs(), lease.view(), new WeightsInput.Tick());
 * }</pre>
 */
public final class WeightsCore {
    // A single engine that cannot load a version points to a fault of the engine, not of the version.
    private static final int MIN_EXCLUDED_TO_HALT = 2;
    // Taken for the time of a load until one has ended.
    private static final double FIRST_LOAD_MS = 1_200;
    private static final double LOAD_SMOOTHING_FACTOR = 0.1;

    private final WeightsSettings settings;
    private final LoadRateLimiter rateLimiter;
    private final Map<EngineModel, Swap> swaps =
            new TreeMap<>(Comparator.comparing(EngineModel::engine).thenComparing(EngineModel::model));
    private final Map<ModelId, Target> targets = new HashMap<>();
    private final Map<ModelId, Integer> lags = new HashMap<>();
    private final EngineShares shares = new EngineShares();
    private double loadMs = FIRST_LOAD_MS;
    private final List<WeightsEffect> effects = new ArrayList<>();
    private FencingToken epoch = LeaseView.NOT_HELD.fencing();
    private FencingToken supersededEpoch = LeaseView.NOT_HELD.fencing();
    private long nextOrderNumber = 1;
    // Reports of all engines come together, so only one that ends a swap starts others before the next tick.
    private boolean reportEndedSwap;

    /** An engine and one of the models that it serves. */
    private record EngineModel(EndpointId engine, ModelId model) {}

    public WeightsCore(WeightsSettings settings, long nowMs) {
        this.settings = Objects.requireNonNull(settings);
        this.rateLimiter = new LoadRateLimiter(settings.loadsPerSecond(), settings.burst(), nowMs);
    }

    /** Handles an input under the current lease and returns the resulting effects. */
    public List<WeightsEffect> on(long nowMs, LeaseView lease, WeightsInput input) {
        followLease(lease);
        switch (input) {
            case WeightsInput.Tick tick -> swaps.values().forEach(s -> checkSwapTimeout(nowMs, s));
            case WeightsInput.Engines all -> replaceEngines(all);
            case WeightsInput.Newest newest -> onNewest(nowMs, newest);
            case WeightsInput.Lag lag -> lags.put(lag.model(), lag.versions());
            case WeightsInput.Demand demand -> shares.demand(nowMs, demand.model(), demand.slotMs());
            case WeightsInput.Reported reported -> onReported(nowMs, reported);
            case WeightsInput.Permit permit -> onPermit(nowMs, lease, permit);
            case WeightsInput.Sent sent -> onSent(nowMs, sent);
        }
        boolean frequent = input instanceof WeightsInput.Reported || input instanceof WeightsInput.Demand;
        if (mayAct(nowMs, lease) && (reportEndedSwap || !frequent)) {
            startSwaps(nowMs);
        }
        reportEndedSwap = false;
        List<WeightsEffect> taken = List.copyOf(effects);
        effects.clear();
        return taken;
    }

    private boolean mayAct(long nowMs, LeaseView lease) {
        return lease.maySend(nowMs) && !lease.fencing().equals(supersededEpoch);
    }

    private void followLease(LeaseView lease) {
        if (lease.held() && !lease.fencing().equals(epoch)) {
            epoch = lease.fencing();
            swaps.values().forEach(Swap::reset);
        }
    }

    private void replaceEngines(WeightsInput.Engines all) {
        Set<EngineModel> current = new HashSet<>();
        boolean changed = false;
        for (WeightsInput.Engine engine : all.engines()) {
            EngineModel engineModel = new EngineModel(engine.id(), engine.model());
            current.add(engineModel);
            Swap known = swaps.get(engineModel);
            if (known == null || !known.engine.equals(engine)) {
                swaps.put(engineModel, new Swap(engine));
                changed = true;
            }
        }
        if (swaps.keySet().retainAll(current) || changed) {
            updateShares();
        }
    }

    private void updateShares() {
        Map<ServiceId, Map<ModelId, Set<EndpointId>>> services = new HashMap<>();
        swaps.values().stream()
                .filter(s -> !s.excluded)
                .forEach(s -> services.computeIfAbsent(
                                s.engine.service(), id -> new TreeMap<>(Comparator.comparing(ModelId::value)))
                        .computeIfAbsent(s.engine.model(), id -> new HashSet<>())
                        .add(s.engine.id()));
        services.values().forEach(models -> {
            long engines =
                    models.values().stream().flatMap(Set::stream).distinct().count();
            shares.update(models, lags, new EngineShares.Capacity(maxConcurrentSwaps((int) engines), loadMs));
        });
    }

    private void onNewest(long nowMs, WeightsInput.Newest newest) {
        Target target = targets.get(newest.model());
        if (target != null && !newest.version().isAfter(target.version)) {
            return;
        }
        targets.put(newest.model(), new Target(newest.version(), nowMs));
        shares.published(
                nowMs, newest.model(), target == null ? 0 : newest.version().value() - target.version.value());
        for (Swap swap : swaps.values()) {
            if (swap.engine.model().equals(newest.model())) {
                swap.failures = 0;
                reinstate(swap);
            }
        }
        updateShares();
    }

    private void reinstate(Swap swap) {
        if (swap.excluded) {
            swap.excluded = false;
            effects.add(new WeightsEffect.Reinstate(swap.engine.id(), swap.engine.model()));
        }
    }

    private void onReported(long nowMs, WeightsInput.Reported reported) {
        Swap swap = swaps.get(new EngineModel(reported.engine(), reported.model()));
        if (swap == null) {
            return;
        }
        swap.reported = reported.version();
        swap.hasReported = true;
        Target target = targets.get(swap.engine.model());
        // The swap ends with this report even if its version is no longer the newest; a new swap then follows.
        if (swap.isSwapping() && !swap.version.isAfter(reported.version())) {
            if (swap.step == Step.ORDERED) {
                loadMs += LOAD_SMOOTHING_FACTOR * (nowMs - swap.sinceMs - loadMs);
            }
            swap.step = Step.IDLE;
            reportEndedSwap = true;
        }
        if (target != null && !target.version.isAfter(reported.version())) {
            swap.failures = 0;
            reinstate(swap);
            completeIfAllReport(nowMs, swap.engine.model(), target);
        }
    }

    private void completeIfAllReport(long nowMs, ModelId model, Target target) {
        boolean all = swaps.values().stream()
                .filter(s -> s.engine.model().equals(model) && !s.excluded)
                .filter(s -> shares.isMember(s.engine.id(), model))
                .allMatch(s -> s.hasReported && !target.version.isAfter(s.reported));
        if (all && !target.completed) {
            target.completed = true;
            effects.add(new WeightsEffect.Completed(model, target.version, nowMs - target.sinceMs));
        }
    }

    private void startSwaps(long nowMs) {
        Map<ServiceId, Integer> freeSlots = freeSwapSlots();
        if (freeSlots.values().stream().noneMatch(free -> free > 0)) {
            return;
        }
        Map<ModelId, Progress> progress = progress();
        Set<EndpointId> swapping = swappingEngines();
        List<Swap> waiting = new ArrayList<>();
        for (Swap swap : swaps.values()) {
            boolean ready = swap.step == Step.IDLE && !swap.excluded && swap.hasReported && nowMs >= swap.notBeforeMs;
            if (ready && isBehind(swap) && shares.isMember(swap.engine.id(), swap.engine.model())) {
                waiting.add(swap);
            }
        }
        while (!waiting.isEmpty()) {
            Swap swap = waiting.stream().min(order(progress)).orElseThrow();
            waiting.remove(swap);
            ServiceId service = swap.engine.service();
            boolean free = freeSlots.getOrDefault(service, 0) > 0 && !swapping.contains(swap.engine.id());
            if (free && isDue(swap, progress.get(swap.engine.model()))) {
                if (!rateLimiter.tryAcquire(nowMs)) {
                    return;
                }
                freeSlots.merge(service, -1, Integer::sum);
                swapping.add(swap.engine.id());
                progress.get(swap.engine.model()).started();
                startSwap(nowMs, swap);
            }
        }
    }

    // Engines that are too old for work come first, then the model with the most work for each engine that it can use.
    private Comparator<Swap> order(Map<ModelId, Progress> progress) {
        return Comparator.comparing((Swap s) -> !s.engine.sampler())
                .thenComparing(s -> !isTooOld(s))
                .thenComparingDouble(
                        s -> -(1 + shares.demandMs(s.engine.model())) / (1 + progress.get(s.engine.model()).usable))
                .thenComparing(s -> s.reported)
                .thenComparingInt(s -> s.failures);
    }

    /** How far the engines of a model are with its newest version; those that are loading it count as up to date. */
    private static final class Progress {
        int members;
        int upToDate;
        // Engines whose weights are new enough for work.
        int usable;

        void started() {
            upToDate++;
            usable++;
        }
    }

    private Map<ModelId, Progress> progress() {
        Map<ModelId, Progress> all = new HashMap<>();
        for (Swap swap : swaps.values()) {
            ModelId model = swap.engine.model();
            Target target = targets.get(model);
            if (target == null || swap.excluded) {
                continue;
            }
            Progress progress = all.computeIfAbsent(model, m -> new Progress());
            boolean loadsTarget = swap.isSwapping() && swap.version.equals(target.version);
            progress.usable += loadsTarget || !isTooOld(swap) ? 1 : 0;
            if (shares.isMember(swap.engine.id(), model)) {
                progress.members++;
                progress.upToDate += loadsTarget || !target.version.isAfter(swap.reported) ? 1 : 0;
            }
        }
        return all;
    }

    private boolean isTooOld(Swap swap) {
        ModelId model = swap.engine.model();
        return targets.get(model).version.value() - swap.reported.value() > lags.getOrDefault(model, 0);
    }

    private void startSwap(long nowMs, Swap swap) {
        WeightVersion version = targets.get(swap.engine.model()).version;
        if (settings.permits()) {
            swap.begin(Step.PERMIT, version, nowMs);
            effects.add(new WeightsEffect.RequestPermit(
                    swap.engine.id(), swap.engine.service(), swap.engine.model(), version));
        } else {
            swap.version = version;
            orderLoad(nowMs, swap);
        }
    }

    private boolean isBehind(Swap swap) {
        Target target = targets.get(swap.engine.model());
        return target != null && !target.halted && target.version.isAfter(swap.reported);
    }

    // If work may run on weights up to n versions old, an engine need not load every version. One in n + 1 engines
    // loads each version while the others serve, so that no work waits for a load.
    private boolean isDue(Swap swap, Progress progress) {
        int lag = lags.getOrDefault(swap.engine.model(), 0);
        return isTooOld(swap) || (long) progress.upToDate * (lag + 1) < progress.members;
    }

    private Set<EndpointId> swappingEngines() {
        return swaps.values().stream()
                .filter(Swap::isSwapping)
                .map(s -> s.engine.id())
                .collect(Collectors.toCollection(HashSet::new));
    }

    private Map<ServiceId, Integer> freeSwapSlots() {
        Map<ServiceId, Set<EndpointId>> total = new HashMap<>();
        Map<ServiceId, Set<EndpointId>> swapping = new HashMap<>();
        for (Swap swap : swaps.values()) {
            ServiceId service = swap.engine.service();
            total.computeIfAbsent(service, s -> new HashSet<>()).add(swap.engine.id());
            Set<EndpointId> busy = swapping.computeIfAbsent(service, s -> new HashSet<>());
            if (swap.isSwapping()) {
                busy.add(swap.engine.id());
            }
        }
        Map<ServiceId, Integer> freeSlots = new HashMap<>();
        total.forEach((service, engines) -> freeSlots.put(
                service,
                maxConcurrentSwaps(engines.size()) - swapping.get(service).size()));
        return freeSlots;
    }

    /** Returns how many of the given number of engines may swap at once. */
    private int maxConcurrentSwaps(int engines) {
        int minSwaps = Math.min(settings.minConcurrentSwaps(), engines / 2);
        return Math.max(1, Math.max(minSwaps, engines / settings.concurrentSwapDivisor()));
    }

    private void onPermit(long nowMs, LeaseView lease, WeightsInput.Permit permit) {
        Swap swap = swaps.get(new EngineModel(permit.engine(), permit.model()));
        if (swap == null || swap.step != Step.PERMIT || !swap.version.equals(permit.version())) {
            return;
        }
        switch (permit.outcome()) {
            case GRANTED -> {
                if (mayAct(nowMs, lease)) {
                    orderLoad(nowMs, swap);
                } else {
                    swap.step = Step.IDLE;
                }
            }
            case RATE_LIMITED -> {
                rateLimiter.blockUntil(nowMs + permit.retryAfterMs());
                swap.step = Step.IDLE;
            }
            // A failure of the weight store is not the engine's fault, so it does not count towards its exclusion.
            case FAILED -> {
                swap.step = Step.IDLE;
                swap.notBeforeMs = nowMs + settings.retryMs();
            }
            default -> throw new IllegalStateException("unexpected permit outcome: " + permit.outcome());
        }
    }

    private void orderLoad(long nowMs, Swap swap) {
        swap.begin(Step.ORDERED, swap.version, nowMs);
        swap.orderId = epoch + "-w" + nextOrderNumber++;
        effects.add(new WeightsEffect.Load(swap.orderId, swap.engine.id(), swap.engine.model(), epoch, swap.version));
    }

    private void onSent(long nowMs, WeightsInput.Sent sent) {
        Swap swap = swaps.get(new EngineModel(sent.engine(), sent.model()));
        if (swap == null || swap.step != Step.ORDERED || !swap.orderId.equals(sent.orderId())) {
            return;
        }
        switch (sent.outcome()) {
            case ACCEPTED, UNKNOWN -> {} // the report of the engine decides
            case NOT_SENT, REFUSED -> onFailedSwap(nowMs, swap);
            case STALE_FENCING -> {
                supersededEpoch = epoch;
                swap.step = Step.IDLE;
            }
            default -> throw new IllegalStateException("unexpected order outcome: " + sent.outcome());
        }
    }

    private void checkSwapTimeout(long nowMs, Swap swap) {
        if (!swap.isSwapping() || nowMs - swap.sinceMs < settings.swapTimeoutMs()) {
            return;
        }
        if (swap.step == Step.ORDERED) {
            onFailedSwap(nowMs, swap);
        } else {
            swap.step = Step.IDLE;
        }
    }

    private void onFailedSwap(long nowMs, Swap swap) {
        swap.step = Step.IDLE;
        swap.notBeforeMs = nowMs + settings.retryMs();
        swap.failures++;
        Target target = targets.get(swap.engine.model());
        if (swap.failures <= settings.retries() || target.halted) {
            return;
        }
        swap.excluded = true;
        effects.add(new WeightsEffect.Exclude(swap.engine.id(), swap.engine.model(), target.version));
        haltIfTooManyExcluded(swap.engine.model(), target);
        completeIfAllReport(nowMs, swap.engine.model(), target);
    }

    // If as many engines fail to load a version as may swap at once, and at least two, the version is taken to be
    // faulty: the other engines keep serving the old one, and the excluded engines are reinstated.
    private void haltIfTooManyExcluded(ModelId model, Target target) {
        List<Swap> engines = swaps.values().stream()
                .filter(s -> s.engine.model().equals(model))
                .toList();
        long excluded = engines.stream().filter(s -> s.excluded).count();
        if (excluded >= Math.max(MIN_EXCLUDED_TO_HALT, maxConcurrentSwaps(engines.size()))) {
            target.halted = true;
            effects.add(new WeightsEffect.Halted(model, target.version));
            engines.forEach(this::reinstate);
        }
    }

    private enum Step {
        IDLE,
        PERMIT,
        ORDERED
    }

    private static final class Target {
        final WeightVersion version;
        final long sinceMs;
        boolean completed;
        boolean halted;

        Target(WeightVersion version, long sinceMs) {
            this.version = version;
            this.sinceMs = sinceMs;
        }
    }

    private static final class Swap {
        final WeightsInput.Engine engine;
        boolean hasReported;
        WeightVersion reported = new WeightVersion(0);
        Step step = Step.IDLE;
        WeightVersion version = new WeightVersion(0);
        String orderId = "";
        long sinceMs;
        long notBeforeMs = Long.MIN_VALUE;
        int failures;
        boolean excluded;

        Swap(WeightsInput.Engine engine) {
            this.engine = engine;
        }

        boolean isSwapping() {
            return step != Step.IDLE;
        }

        void begin(Step next, WeightVersion target, long nowMs) {
            step = next;
            version = target;
            sinceMs = nowMs;
        }

        void reset() {
            step = Step.IDLE;
        }
    }
}
