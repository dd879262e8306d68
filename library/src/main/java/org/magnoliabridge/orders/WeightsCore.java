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
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.FencingToken;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.WeightVersion;
import org.magnoliabridge.lease.LeaseView;

/**
 * Rolls new weights out to engines under a lease.
 *
 * <p>Samplers of trainers go first; at most a quarter of a service's engines swap at once; loads stay within the weight
 * store's rate. Only the version that an engine reports counts. No intent is recorded: an order is absolute, and a new
 * holder learns from the engines' reports what is left to do.
 *
 * <pre>{@code
 * WeightsCore weights = new WeightsCore(WeightsSettings.forRate(60, 20), clock.nowMs());
 * List<WeightsEffect> effects = weights.on(clock.nowMs(), lease.view(), new WeightsInput.Tick());
 * }</pre>
 */
public final class WeightsCore {
    // One in this many engines of a service may swap at once.
    private static final int SWAPPING_PART = 4;
    // A single engine that cannot load a version is the engine's fault, not the version's.
    private static final int MIN_OUT_TO_HALT = 2;

    private final WeightsSettings settings;
    private final LoadBudget budget;
    private final Map<EndpointId, Swap> swaps = new TreeMap<>();
    private final Map<ServiceId, Target> targets = new HashMap<>();
    private final List<WeightsEffect> effects = new ArrayList<>();
    private FencingToken epoch = LeaseView.NOT_HELD.fencing();
    private FencingToken supersededEpoch = LeaseView.NOT_HELD.fencing();
    private long nextOrder = 1;

    public WeightsCore(WeightsSettings settings, long nowMs) {
        this.settings = Objects.requireNonNull(settings);
        this.budget = new LoadBudget(settings.loadsPerSecond(), settings.burst(), nowMs);
    }

    /** Takes an input under the lease as it is now; returns what to do. */
    public List<WeightsEffect> on(long nowMs, LeaseView lease, WeightsInput input) {
        followLease(lease);
        switch (input) {
            case WeightsInput.Tick tick -> swaps.values().forEach(s -> checkLimit(nowMs, s));
            case WeightsInput.Engines all -> replaceEngines(all);
            case WeightsInput.Newest newest -> onNewest(nowMs, newest);
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
            swaps.values().forEach(Swap::restart);
        }
    }

    private void replaceEngines(WeightsInput.Engines all) {
        Set<EndpointId> named = new HashSet<>();
        for (WeightsInput.Engine engine : all.engines()) {
            named.add(engine.id());
            Swap known = swaps.get(engine.id());
            if (known == null || !known.engine.equals(engine)) {
                swaps.put(engine.id(), new Swap(engine));
            }
        }
        swaps.keySet().retainAll(named);
    }

    private void onNewest(long nowMs, WeightsInput.Newest newest) {
        Target target = targets.get(newest.service());
        if (target != null && !newest.version().isAfter(target.version)) {
            return;
        }
        targets.put(newest.service(), new Target(newest.version(), nowMs));
        for (Swap swap : swaps.values()) {
            if (swap.engine.service().equals(newest.service())) {
                swap.failures = 0;
                putBack(swap);
            }
        }
    }

    private void putBack(Swap swap) {
        if (swap.out) {
            swap.out = false;
            effects.add(new WeightsEffect.PutBack(swap.engine.id()));
        }
    }

    private void onReported(long nowMs, WeightsInput.Reported reported) {
        Swap swap = swaps.get(reported.engine());
        if (swap == null) {
            return;
        }
        swap.reported = reported.version();
        swap.hasReported = true;
        Target target = targets.get(swap.engine.service());
        // A version that was replaced during the swap ends the swap too; the next one starts from here.
        if (swap.isSwapping() && !swap.version.isAfter(reported.version())) {
            swap.step = Step.IDLE;
        }
        if (target != null && !target.version.isAfter(reported.version())) {
            swap.failures = 0;
            putBack(swap);
            complete(nowMs, swap.engine.service(), target);
        }
    }

    private void complete(long nowMs, ServiceId service, Target target) {
        boolean all = swaps.values().stream()
                .filter(s -> s.engine.service().equals(service) && !s.out)
                .allMatch(s -> s.hasReported && !target.version.isAfter(s.reported));
        if (all && !target.completed) {
            target.completed = true;
            effects.add(new WeightsEffect.Completed(service, target.version, nowMs - target.sinceMs));
        }
    }

    private void startSwaps(long nowMs) {
        List<Swap> waiting = swaps.values().stream()
                .filter(s -> s.step == Step.IDLE && !s.out && s.hasReported && nowMs >= s.notBeforeMs)
                .filter(this::isBehind)
                .sorted(Comparator.comparing((Swap s) -> !s.engine.sampler()).thenComparingInt(s -> s.failures))
                .toList();
        if (waiting.isEmpty()) {
            return;
        }
        Map<ServiceId, Integer> free = freePlaces();
        for (Swap swap : waiting) {
            ServiceId service = swap.engine.service();
            if (free.getOrDefault(service, 0) > 0) {
                if (!budget.take(nowMs)) {
                    return;
                }
                free.merge(service, -1, Integer::sum);
                swap.begin(Step.PERMIT, targets.get(service).version, nowMs);
                effects.add(new WeightsEffect.TakePermit(swap.engine.id(), service, swap.version));
            }
        }
    }

    private boolean isBehind(Swap swap) {
        Target target = targets.get(swap.engine.service());
        return target != null && !target.halted && target.version.isAfter(swap.reported);
    }

    private Map<ServiceId, Integer> freePlaces() {
        Map<ServiceId, Integer> total = new HashMap<>();
        Map<ServiceId, Integer> swapping = new HashMap<>();
        for (Swap swap : swaps.values()) {
            total.merge(swap.engine.service(), 1, Integer::sum);
            swapping.merge(swap.engine.service(), swap.isSwapping() ? 1 : 0, Integer::sum);
        }
        Map<ServiceId, Integer> free = new HashMap<>();
        total.forEach((service, count) -> free.put(service, atOnce(count) - swapping.get(service)));
        return free;
    }

    /** Returns how many of a service's engines may swap at once; one if it has fewer than four. */
    static int atOnce(int engines) {
        return Math.max(1, engines / SWAPPING_PART);
    }

    private void onPermit(long nowMs, LeaseView lease, WeightsInput.Permit permit) {
        Swap swap = swaps.get(permit.engine());
        if (swap == null || swap.step != Step.PERMIT || !swap.version.equals(permit.version())) {
            return;
        }
        switch (permit.outcome()) {
            case GRANTED -> load(nowMs, lease, swap);
            case RATE_LIMITED -> {
                budget.closeUntil(nowMs + permit.retryAfterMs());
                swap.step = Step.IDLE;
            }
            // The weight store's failure is not the engine's, so it does not count towards taking the engine out.
            case FAILED -> {
                swap.step = Step.IDLE;
                swap.notBeforeMs = nowMs + settings.retryMs();
            }
            default -> throw new IllegalStateException("unknown outcome: " + permit.outcome());
        }
    }

    private void load(long nowMs, LeaseView lease, Swap swap) {
        if (!mayAct(nowMs, lease)) {
            swap.step = Step.IDLE;
            return;
        }
        swap.begin(Step.ORDERED, swap.version, nowMs);
        swap.orderId = epoch + "-w" + nextOrder++;
        effects.add(new WeightsEffect.Load(
                swap.orderId, swap.engine.id(), lease.fencing(), swap.version, lease.sendUntilMs()));
    }

    private void onSent(long nowMs, WeightsInput.Sent sent) {
        Swap swap = swaps.get(sent.engine());
        if (swap == null || swap.step != Step.ORDERED || !swap.orderId.equals(sent.orderId())) {
            return;
        }
        switch (sent.outcome()) {
            case ACCEPTED, UNKNOWN -> {} // the engine's own report decides
            case NOT_SENT, REFUSED -> fail(nowMs, swap);
            case STALE_FENCING -> {
                supersededEpoch = epoch;
                swap.step = Step.IDLE;
            }
            default -> throw new IllegalStateException("unknown outcome: " + sent.outcome());
        }
    }

    private void checkLimit(long nowMs, Swap swap) {
        if (!swap.isSwapping() || nowMs - swap.sinceMs < settings.swapLimitMs()) {
            return;
        }
        if (swap.step == Step.ORDERED) {
            fail(nowMs, swap);
        } else {
            swap.step = Step.IDLE;
        }
    }

    private void fail(long nowMs, Swap swap) {
        swap.step = Step.IDLE;
        swap.notBeforeMs = nowMs + settings.retryMs();
        swap.failures++;
        Target target = targets.get(swap.engine.service());
        if (swap.failures <= settings.retries() || target.halted) {
            return;
        }
        swap.out = true;
        effects.add(new WeightsEffect.TakeOut(swap.engine.id(), target.version));
        haltIfTooManyOut(swap.engine.service(), target);
        complete(nowMs, swap.engine.service(), target);
    }

    // If a quarter of the engines cannot load a version, the version is at fault: the rest keeps serving the old one,
    // and the engines that were taken out for it come back.
    private void haltIfTooManyOut(ServiceId service, Target target) {
        List<Swap> engines = swaps.values().stream()
                .filter(s -> s.engine.service().equals(service))
                .toList();
        long out = engines.stream().filter(s -> s.out).count();
        if (out >= Math.max(MIN_OUT_TO_HALT, atOnce(engines.size()))) {
            target.halted = true;
            effects.add(new WeightsEffect.Halted(service, target.version));
            engines.forEach(this::putBack);
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
        boolean out;

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

        void restart() {
            step = Step.IDLE;
        }
    }
}
