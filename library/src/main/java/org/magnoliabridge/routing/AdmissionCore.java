package org.magnoliabridge.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.magnoliabridge.calls.EndpointSource;
import org.magnoliabridge.calls.Failure;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ids.WeightVersion;
import org.magnoliabridge.warmup.Sender;
import org.magnoliabridge.warmup.WarmUpPacer;

/**
 * Decides when each request gets a slot, and on which endpoint.
 *
 * <p>Requests are queued here and not at the engines, because engines admit requests in order of arrival and do not
 * support priorities. A request waits only while no endpoint that it may use has a free slot, or while all of them are
 * cold and have had what they tolerate. If all endpoints of its service are in evacuated data centres, it is refused at
 * once: an evacuation lasts longer than a caller waits.
 *
 * <pre>{@code
 * for (AdmissionEffect effect : core.apply(new AdmissionInput.Arrive(1, slotRequest), clock.nowMs())) {
 *     ...
 * }
 * }</pre>
 */
public final class AdmissionCore {
    private static final int INITIAL_ENGINE_SLOTS = 8;
    private static final long MIN_RETRY_AFTER_MS = 100;
    static final long EVACUATED_RETRY_AFTER_MS = 1_000;

    private final RoutingSettings settings;
    private final RandomGenerator random;
    private final WarmUpPacer pacer;
    private final EndpointTable table = new EndpointTable();
    private final LoadEstimator loads = new LoadEstimator();
    private final TeamRates rates = new TeamRates();
    private final Map<ServiceId, ServiceQueue> queues = new TreeMap<>();
    private final Map<Long, InFlight> inFlight = new HashMap<>();
    private int engineSlots = INITIAL_ENGINE_SLOTS;

    private record InFlight(AdmissionRequest request, Endpoint endpoint) {}

    /** Creates a core for services whose endpoints need no time to warm up. */
    public AdmissionCore(RoutingSettings settings, RandomGenerator random) {
        this(settings, random, WarmUpPacer.unlimited());
    }

    /** Creates a core that keeps to the limits of cold endpoints. */
    public AdmissionCore(RoutingSettings settings, RandomGenerator random, WarmUpPacer pacer) {
        this.settings = settings;
        this.random = random;
        this.pacer = pacer;
    }

    /** Applies an input and returns the resulting effects, in the order in which they are to be carried out. */
    public List<AdmissionEffect> apply(AdmissionInput input, long nowMs) {
        List<AdmissionEffect> effects = new ArrayList<>();
        switch (input) {
            case AdmissionInput.Arrive arrive ->
                arrive(new AdmissionRequest(arrive.admissionId(), arrive.request()), nowMs, effects);
            case AdmissionInput.Finished done -> finish(done.admissionId(), done.usedTokens(), nowMs);
            case AdmissionInput.Cancel cancel -> cancel(cancel, nowMs, effects);
            case AdmissionInput.Reported report -> loads.report(report.endpoint(), report.report(), nowMs);
            case AdmissionInput.Endpoints endpoints -> {
                if (endpoints.input() instanceof EndpointInput.Observed observed) {
                    noteReachability(observed.id(), observed.observation(), nowMs);
                }
                announceLeaving(table.apply(endpoints.input(), nowMs), effects);
            }
            case AdmissionInput.Policies policies -> {
                rates.setPolicies(policies.teams(), nowMs);
                engineSlots = policies.engineSlots();
            }
            case AdmissionInput.Shares shares -> rates.setShares(shares.shares(), shares.defaultShare(), nowMs);
            case AdmissionInput.Tick tick -> table.apply(new EndpointInput.Tick(), nowMs);
        }
        expire(nowMs, effects);
        refuseEvacuated(nowMs, effects);
        dispatch(nowMs, effects);
        refuseHopeless(nowMs, effects);
        table.takeChanges().forEach(c -> effects.add(new AdmissionEffect.LogChange(c)));
        return effects;
    }

    /** Returns the number of queued requests of each service. */
    public Map<ServiceId, Integer> queued() {
        Map<ServiceId, Integer> sizes = new TreeMap<>();
        queues.forEach((service, queue) -> sizes.put(service, queue.size()));
        return sizes;
    }

    /** Returns the number of requests that hold a slot. */
    public int inFlight() {
        return inFlight.size();
    }

    /**
     * Returns the tokens per second that each team requests at this node, refused requests included. Members exchange
     * these figures in pings, and {@link DemandShare} derives the shares from them.
     */
    public Map<TeamId, Double> demand(long nowMs) {
        return rates.demand(nowMs);
    }

    /** Returns the number of endpoints in each state. */
    public Map<EndpointState, Integer> endpointCounts() {
        return table.counts();
    }

    /** Returns all known endpoints with their states. */
    public Map<Endpoint, EndpointState> endpoints() {
        return table.all();
    }

    /** Returns the endpoints of a service that may receive new requests. */
    public List<Endpoint> eligibleEndpoints(ServiceId service) {
        return table.eligibleEndpoints(service);
    }

    /** Returns the teams whose requests should not go to an endpoint while another one can serve them. */
    public Set<TeamId> takenOutFor(EndpointId endpoint) {
        return table.takenOutFor(endpoint);
    }

    /** Returns the newest weight version that an eligible endpoint of the service has reported. */
    public Optional<WeightVersion> newestVersion(ServiceId service) {
        return table.eligibleEndpoints(service).stream()
                .flatMap(e -> loads.version(e.id()).stream())
                .max(Comparator.naturalOrder());
    }

    private void arrive(AdmissionRequest request, long nowMs, List<AdmissionEffect> effects) {
        rates.recordDemand(request.team(), request.estimatedGeneratedTokens(), nowMs);
        long rateLimitWaitMs = rates.waitMs(request.team(), nowMs);
        if (rateLimitWaitMs > 0) {
            effects.add(new AdmissionEffect.Refuse(request.id(), new Failure.RateLimited(rateLimitWaitMs)));
            return;
        }
        ServiceQueue queue = queues.computeIfAbsent(request.slotRequest().service(), s -> new ServiceQueue());
        int weight = rates.weight(request.team());
        long waitMs = queue.expectedWaitMs(request, weight);
        long expectedLatenessMs = nowMs + waitMs - request.slotRequest().deadlineMs();
        if (expectedLatenessMs > 0 && waitMs > 0) {
            effects.add(refuse(request, expectedLatenessMs));
            return;
        }
        if (queue.size() >= settings.maxQueued()) {
            Optional<AdmissionRequest> evicted = queue.evictFor(request);
            AdmissionRequest refused = evicted.orElse(request);
            effects.add(refuse(refused, waitMs));
            if (evicted.isEmpty()) {
                return;
            }
            rates.take(refused.team(), -refused.estimatedGeneratedTokens(), nowMs);
        }
        rates.take(request.team(), request.estimatedGeneratedTokens(), nowMs);
        queue.add(request, weight);
    }

    private void finish(long id, int usedTokens, long nowMs) {
        InFlight done = inFlight.remove(id);
        if (done == null) {
            return;
        }
        AdmissionRequest request = done.request();
        loads.end(done.endpoint().id(), request.estimatedTokens(), usedTokens);
        queues.get(request.slotRequest().service()).finished(request, usedTokens, nowMs);
        int generated = Math.max(0, usedTokens - request.slotRequest().promptTokens());
        rates.take(request.team(), generated - request.estimatedGeneratedTokens(), nowMs);
    }

    private void cancel(AdmissionInput.Cancel cancel, long nowMs, List<AdmissionEffect> effects) {
        InFlight running = inFlight.get(cancel.admissionId());
        if (running != null) {
            finish(cancel.admissionId(), running.request().estimatedTokens(), nowMs);
            return;
        }
        remove(r -> r.id() == cancel.admissionId(), nowMs)
                .forEach(r -> effects.add(new AdmissionEffect.Refuse(r.id(), cancel.failure())));
    }

    private void noteReachability(EndpointId endpoint, EndpointSource.Observation observation, long nowMs) {
        switch (observation) {
            case UNREACHABLE -> pacer.unreachable(nowMs, endpoint);
            case ANSWERED, REPORTED_FAILURE -> pacer.answered(nowMs, endpoint);
            default -> {
                // Does not tell whether the endpoint was restarted.
            }
        }
    }

    private static void announceLeaving(List<Endpoint> leaving, List<AdmissionEffect> effects) {
        leaving.forEach(e -> effects.add(new AdmissionEffect.AnnounceLeaving(e)));
    }

    private void expire(long nowMs, List<AdmissionEffect> effects) {
        remove(r -> r.slotRequest().deadlineMs() <= nowMs, nowMs)
                .forEach(r -> effects.add(new AdmissionEffect.Refuse(r.id(), new Failure.DeadlineExceeded())));
    }

    private void refuseEvacuated(long nowMs, List<AdmissionEffect> effects) {
        queues.forEach((service, queue) -> {
            if (queue.size() > 0 && table.isEvacuated(service)) {
                remove(r -> r.slotRequest().service().equals(service), nowMs)
                        .forEach(r -> effects.add(refuse(r, EVACUATED_RETRY_AFTER_MS)));
            }
        });
    }

    private List<AdmissionRequest> remove(Predicate<AdmissionRequest> predicate, long nowMs) {
        List<AdmissionRequest> removed = new ArrayList<>();
        queues.values().forEach(q -> removed.addAll(q.removeIf(predicate)));
        removed.forEach(r -> rates.take(r.team(), -r.estimatedGeneratedTokens(), nowMs));
        return removed;
    }

    private void dispatch(long nowMs, List<AdmissionEffect> effects) {
        queues.forEach((service, queue) -> {
            if (queue.size() > 0) {
                dispatch(service, queue, nowMs, effects);
            }
        });
    }

    private void dispatch(ServiceId service, ServiceQueue queue, long nowMs, List<AdmissionEffect> effects) {
        List<Endpoint> endpoints = table.eligibleEndpoints(service);
        boolean placed = true;
        while (placed && queue.size() > 0 && endpoints.stream().anyMatch(e -> isFree(e, nowMs))) {
            Optional<AdmissionRequest> next =
                    queue.poll(r -> allowed(r, endpoints).stream().anyMatch(e -> isFree(e, nowMs)));
            next.ifPresent(r -> place(r, endpoints, nowMs, effects));
            placed = next.isPresent();
        }
    }

    private void place(AdmissionRequest request, List<Endpoint> endpoints, long nowMs, List<AdmissionEffect> effects) {
        EndpointSource.SlotRequest slotRequest = request.slotRequest();
        List<Endpoint> allowed = allowed(request, endpoints);
        Map<EndpointId, Double> estimates =
                loads.estimates(allowed.stream().map(Endpoint::id).toList(), nowMs);
        boolean warmIsFree = allowed.stream().anyMatch(e -> isFree(e, nowMs) && !pacer.isCold(nowMs, e.id()));
        List<EngineChoice.Candidate> candidates = allowed.stream()
                .map(e -> new EngineChoice.Candidate(
                        e,
                        estimates.get(e.id()),
                        isFree(e, nowMs) && !(warmIsFree && pacer.isCold(nowMs, e.id())),
                        loads.reportsPrefix(e.id(), slotRequest.prefixHash()),
                        slotRequest.preferredVersion().isPresent()
                                && slotRequest.preferredVersion().equals(loads.version(e.id()))))
                .toList();
        EngineChoice.Request choiceRequest =
                new EngineChoice.Request(settings.dataCentre(), slotRequest.prefixHash(), slotRequest.promptTokens());
        Endpoint chosen = EngineChoice.choose(candidates, choiceRequest, random).orElseThrow();
        loads.begin(chosen.id(), request.estimatedTokens());
        pacer.sent(nowMs, Sender.CALLERS, chosen.id());
        inFlight.put(request.id(), new InFlight(request, chosen));
        effects.add(new AdmissionEffect.Dispatch(request.id(), chosen));
    }

    private boolean isFree(Endpoint endpoint, long nowMs) {
        return loads.requests(endpoint.id()) < table.slots(endpoint.id(), engineSlots)
                && pacer.maySend(nowMs, Sender.CALLERS, endpoint.id());
    }

    // While all endpoints of a service are cold, a request that this node cannot send in time is refused at once, so
    // that its caller can try another node or wait.
    private void refuseHopeless(long nowMs, List<AdmissionEffect> effects) {
        if (!pacer.isLimited()) {
            return;
        }
        queues.forEach((service, queue) -> {
            List<EndpointId> endpoints = queue.size() == 0
                    ? List.of()
                    : table.eligibleEndpoints(service).stream()
                            .map(Endpoint::id)
                            .toList();
            if (!endpoints.isEmpty() && endpoints.stream().allMatch(e -> pacer.isCold(nowMs, e))) {
                ColdServiceCheck check = new ColdServiceCheck(pacer, endpoints, nowMs);
                for (AdmissionRequest refused : queue.removeIf(check)) {
                    rates.take(refused.team(), -refused.estimatedGeneratedTokens(), nowMs);
                    effects.add(refuse(refused, check.warmInMs()));
                }
            }
        });
    }

    // An endpoint on which this request has just failed, or that is taken out for its team, is used only if no other
    // endpoint is available.
    private List<Endpoint> allowed(AdmissionRequest request, List<Endpoint> endpoints) {
        List<Endpoint> withRequiredWeights =
                endpoints.stream().filter(e -> hasRequiredWeights(request, e)).toList();
        List<Endpoint> notExcluded = preferred(
                withRequiredWeights, e -> !request.slotRequest().excluded().contains(e.id()));
        return preferred(notExcluded, e -> !table.isTakenOutFor(e.id(), request.team()));
    }

    private static List<Endpoint> preferred(List<Endpoint> endpoints, Predicate<Endpoint> preference) {
        List<Endpoint> preferred = endpoints.stream().filter(preference).toList();
        return preferred.isEmpty() ? endpoints : preferred;
    }

    // An endpoint that has not reported its weights yet is allowed: the weight versions in its answer decide.
    private boolean hasRequiredWeights(AdmissionRequest request, Endpoint endpoint) {
        return request.slotRequest()
                .minVersion()
                .flatMap(minVersion -> loads.version(endpoint.id()).map(v -> !minVersion.isAfter(v)))
                .orElse(true);
    }

    private static AdmissionEffect refuse(AdmissionRequest request, long retryAfterMs) {
        return new AdmissionEffect.Refuse(
                request.id(), new Failure.Overloaded(Math.max(MIN_RETRY_AFTER_MS, retryAfterMs)));
    }
}
