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
 * <p>Samplers of trainers swap first. At most a quarter of a service's engines swap at once, except that
 * {@link WeightsSettings#minConcurrentSwaps()} are allowed in small services. Loads stay within the rate of the weight
 * store. A swap succeeds only when the engine reports the version. No intent is recorded: an order names the version to
 * load, and a new lease holder learns the remaining work from the engines' reports.
 *
 * <pre>{@code
 * WeightsCore weights = new WeightsCore(WeightsSettings.forRate(60, 20), clock.nowMs());
 * List<WeightsEffect> effects = weights.on(clock.nowMs(), lease.view(), new WeightsInput.Tick());
 * }</pre>
 */
public final class WeightsCore {
    // At most one in this many engines of a service may swap at once.
    private static final int CONCURRENT_SWAP_DIVISOR = 4;
    // A single engine that cannot load a version points to a fault of the engine, not of the version.
    private static final int MIN_EXCLUDED_TO_HALT = 2;

    private final WeightsSettings settings;
    private final LoadRateLimiter rateLimiter;
    private final Map<EngineModel, Swap> swaps =
            new TreeMap<>(Comparator.comparing(EngineModel::engine).thenComparing(EngineModel::model));
    private final Map<ModelId, Target> targets = new HashMap<>();
    private final Map<ModelId, Integer> lags = new HashMap<>();
    private final List<WeightsEffect> effects = new ArrayList<>();
    private FencingToken epoch = LeaseView.NOT_HELD.fencing();
    private FencingToken supersededEpoch = LeaseView.NOT_HELD.fencing();
    private long nextOrderNumber = 1;

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
            case WeightsInput.Reported reported -> onReported(nowMs, reported);
            case WeightsInput.Permit permit -> onPermit(nowMs, lease, permit);
            case WeightsInput.Sent sent -> onSent(nowMs, sent);
        }
        if (mayAct(nowMs, lease)) {
            startSwaps(nowMs);
        }
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
        for (WeightsInput.Engine engine : all.engines()) {
            EngineModel engineModel = new EngineModel(engine.id(), engine.model());
            current.add(engineModel);
            Swap known = swaps.get(engineModel);
            if (known == null || !known.engine.equals(engine)) {
                swaps.put(engineModel, new Swap(engine));
            }
        }
        swaps.keySet().retainAll(current);
    }

    private void onNewest(long nowMs, WeightsInput.Newest newest) {
        Target target = targets.get(newest.model());
        if (target != null && !newest.version().isAfter(target.version)) {
            return;
        }
        targets.put(newest.model(), new Target(newest.version(), nowMs));
        for (Swap swap : swaps.values()) {
            if (swap.engine.model().equals(newest.model())) {
                swap.failures = 0;
                reinstate(swap);
            }
        }
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
            swap.step = Step.IDLE;
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
                .allMatch(s -> s.hasReported && !target.version.isAfter(s.reported));
        if (all && !target.completed) {
            target.completed = true;
            effects.add(new WeightsEffect.Completed(model, target.version, nowMs - target.sinceMs));
        }
    }

    private void startSwaps(long nowMs) {
        List<Swap> waiting = swaps.values().stream()
                .filter(s -> s.step == Step.IDLE && !s.excluded && s.hasReported && nowMs >= s.notBeforeMs)
                .filter(this::isBehind)
                .sorted(Comparator.comparing((Swap s) -> !s.engine.sampler())
                        .thenComparing(s -> s.reported)
                        .thenComparingInt(s -> s.failures))
                .toList();
        if (waiting.isEmpty()) {
            return;
        }
        Map<ServiceId, Integer> freeSlots = freeSwapSlots();
        Set<EndpointId> swapping = new HashSet<>(swappingEngines());
        for (Swap swap : waiting) {
            ServiceId service = swap.engine.service();
            if (freeSlots.getOrDefault(service, 0) > 0 && !swapping.contains(swap.engine.id()) && isDue(swap)) {
                if (!rateLimiter.tryAcquire(nowMs)) {
                    return;
                }
                freeSlots.merge(service, -1, Integer::sum);
                swapping.add(swap.engine.id());
                startSwap(nowMs, swap);
            }
        }
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
    private boolean isDue(Swap swap) {
        ModelId model = swap.engine.model();
        int lag = lags.getOrDefault(model, 0);
        Target target = targets.get(model);
        if (target.version.value() - swap.reported.value() > lag) {
            return true;
        }
        long all = 0;
        long upToDate = 0;
        for (Swap other : swaps.values()) {
            if (other.engine.model().equals(model) && !other.excluded) {
                all++;
                boolean loadsTarget = other.isSwapping() && other.version.equals(target.version);
                upToDate += loadsTarget || !target.version.isAfter(other.reported) ? 1 : 0;
            }
        }
        return upToDate * (lag + 1) < all;
    }

    private Set<EndpointId> swappingEngines() {
        return swaps.values().stream()
                .filter(Swap::isSwapping)
                .map(s -> s.engine.id())
                .collect(Collectors.toSet());
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
        return Math.max(1, Math.max(minSwaps, engines / CONCURRENT_SWAP_DIVISOR));
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
