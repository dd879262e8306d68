package org.magnoliabridge.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.magnoliabridge.calls.EndpointSource;
import org.magnoliabridge.calls.Failure;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ids.WeightVersion;

/**
 * Decides which request gets a slot on which endpoint, and when.
 *
 * <p>Requests wait here and not at the engines, because engines admit requests as they come and know no priority. A
 * request waits only while no endpoint that it may use has a free slot.
 *
 * <pre>{@code
 * for (AdmissionEffect effect : core.apply(new AdmissionInput.Arrive(1, need), clock.nowMs())) {
 *     ...
 * }
 * }</pre>
 */
public final class AdmissionCore {
    private static final int INITIAL_ENGINE_SLOTS = 8;
    private static final long MIN_RETRY_AFTER_MS = 100;

    private final RoutingSettings settings;
    private final RandomGenerator random;
    private final EndpointTable table = new EndpointTable();
    private final LoadEstimator loads = new LoadEstimator();
    private final TeamRates rates = new TeamRates();
    private final Map<ServiceId, ServiceQueue> queues = new TreeMap<>();
    private final Map<Long, InFlight> inFlight = new HashMap<>();
    private int engineSlots = INITIAL_ENGINE_SLOTS;

    private record InFlight(AdmissionRequest request, Endpoint endpoint) {}

    public AdmissionCore(RoutingSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
    }

    /** Takes an input and returns what to do, in order. */
    public List<AdmissionEffect> apply(AdmissionInput input, long nowMs) {
        List<AdmissionEffect> effects = new ArrayList<>();
        switch (input) {
            case AdmissionInput.Arrive arrive ->
                arrive(new AdmissionRequest(arrive.admissionId(), arrive.need()), nowMs, effects);
            case AdmissionInput.Finished done -> finish(done.admissionId(), done.usedTokens(), nowMs);
            case AdmissionInput.Cancel cancel -> cancel(cancel, nowMs, effects);
            case AdmissionInput.Observed seen -> observe(seen, nowMs, effects);
            case AdmissionInput.Reported report -> loads.report(report.endpoint(), report.report(), nowMs);
            case AdmissionInput.Endpoints news -> announceLeaving(table.apply(news.input(), nowMs), effects);
            case AdmissionInput.Policies policies -> {
                rates.setPolicies(policies.teams(), nowMs);
                engineSlots = policies.engineSlots();
            }
            case AdmissionInput.Shares shares -> rates.setShares(shares.shares(), shares.defaultShare(), nowMs);
            case AdmissionInput.Tick tick -> table.apply(new EndpointInput.Tick(), nowMs);
        }
        expire(nowMs, effects);
        dispatch(nowMs, effects);
        return effects;
    }

    /** Returns the number of waiting requests of each service. */
    public Map<ServiceId, Integer> queued() {
        Map<ServiceId, Integer> sizes = new TreeMap<>();
        queues.forEach((service, queue) -> sizes.put(service, queue.size()));
        return sizes;
    }

    /** Returns the number of requests that hold a slot. */
    public int inFlight() {
        return inFlight.size();
    }

    /** Returns the tokens per second that each team asks for at this node, for pings and {@link DemandShare}. */
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

    /** Returns the endpoints of a service that get new work, for example to poll their load. */
    public List<Endpoint> eligibleEndpoints(ServiceId service) {
        return table.eligibleEndpoints(service);
    }

    /** Returns the newest weights that a routable endpoint of the service has reported. */
    public Optional<WeightVersion> newestVersion(ServiceId service) {
        return table.eligibleEndpoints(service).stream()
                .flatMap(e -> loads.version(e.id()).stream())
                .max(Comparator.naturalOrder());
    }

    private void arrive(AdmissionRequest ticket, long nowMs, List<AdmissionEffect> effects) {
        rates.recordDemand(ticket.team(), ticket.estimatedGeneratedTokens(), nowMs);
        long rateWaitMs = rates.waitMs(ticket.team(), nowMs);
        if (rateWaitMs > 0) {
            effects.add(new AdmissionEffect.Refuse(ticket.id(), new Failure.RateLimited(rateWaitMs)));
            return;
        }
        ServiceQueue queue = queues.computeIfAbsent(ticket.need().service(), s -> new ServiceQueue());
        int weight = rates.weight(ticket.team());
        long waitMs = queue.expectedWaitMs(ticket, weight);
        long lateMs = nowMs + waitMs - ticket.need().deadlineMs();
        if (lateMs > 0 && waitMs > 0) {
            effects.add(refuse(ticket, lateMs));
            return;
        }
        if (queue.size() >= settings.maxQueued()) {
            Optional<AdmissionRequest> pushedOut = queue.evictFor(ticket);
            AdmissionRequest victim = pushedOut.orElse(ticket);
            effects.add(refuse(victim, waitMs));
            if (pushedOut.isEmpty()) {
                return;
            }
            rates.take(victim.team(), -victim.estimatedGeneratedTokens(), nowMs);
        }
        rates.take(ticket.team(), ticket.estimatedGeneratedTokens(), nowMs);
        queue.add(ticket, weight);
    }

    private void finish(long id, int usedTokens, long nowMs) {
        InFlight done = inFlight.remove(id);
        if (done == null) {
            return;
        }
        AdmissionRequest ticket = done.request();
        loads.end(done.endpoint().id(), ticket.estimatedTokens(), usedTokens);
        queues.get(ticket.need().service()).finished(ticket, usedTokens, nowMs);
        int generated = Math.max(0, usedTokens - ticket.need().promptTokens());
        rates.take(ticket.team(), generated - ticket.estimatedGeneratedTokens(), nowMs);
    }

    private void cancel(AdmissionInput.Cancel cancel, long nowMs, List<AdmissionEffect> effects) {
        InFlight running = inFlight.get(cancel.admissionId());
        if (running != null) {
            finish(cancel.admissionId(), running.request().estimatedTokens(), nowMs);
            return;
        }
        remove(t -> t.id() == cancel.admissionId(), nowMs)
                .forEach(t -> effects.add(new AdmissionEffect.Refuse(t.id(), cancel.failure())));
    }

    private void observe(AdmissionInput.Observed seen, long nowMs, List<AdmissionEffect> effects) {
        InFlight call = inFlight.get(seen.admissionId());
        if (call != null) {
            Endpoint endpoint = call.endpoint();
            EndpointInput input = new EndpointInput.Observed(endpoint.id(), endpoint.address(), seen.observation());
            announceLeaving(table.apply(input, nowMs), effects);
        }
    }

    private static void announceLeaving(List<Endpoint> leaving, List<AdmissionEffect> effects) {
        leaving.forEach(e -> effects.add(new AdmissionEffect.AnnounceLeaving(e)));
    }

    private void expire(long nowMs, List<AdmissionEffect> effects) {
        remove(t -> t.need().deadlineMs() <= nowMs, nowMs)
                .forEach(t -> effects.add(new AdmissionEffect.Refuse(t.id(), new Failure.DeadlineExceeded())));
    }

    private List<AdmissionRequest> remove(Predicate<AdmissionRequest> predicate, long nowMs) {
        List<AdmissionRequest> gone = new ArrayList<>();
        queues.values().forEach(q -> gone.addAll(q.removeIf(predicate)));
        gone.forEach(t -> rates.take(t.team(), -t.estimatedGeneratedTokens(), nowMs));
        return gone;
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
        while (placed && queue.size() > 0 && endpoints.stream().anyMatch(this::isFree)) {
            Optional<AdmissionRequest> next =
                    queue.poll(t -> allowed(t, endpoints).stream().anyMatch(this::isFree));
            next.ifPresent(t -> place(t, endpoints, nowMs, effects));
            placed = next.isPresent();
        }
    }

    private void place(AdmissionRequest ticket, List<Endpoint> endpoints, long nowMs, List<AdmissionEffect> effects) {
        EndpointSource.SlotRequest need = ticket.need();
        List<Endpoint> allowed = allowed(ticket, endpoints);
        Map<EndpointId, Double> estimates =
                loads.estimates(allowed.stream().map(Endpoint::id).toList(), nowMs);
        List<EngineChoice.Candidate> candidates = allowed.stream()
                .map(e -> new EngineChoice.Candidate(
                        e,
                        estimates.get(e.id()),
                        isFree(e),
                        loads.reportsPrefix(e.id(), need.prefixHash()),
                        need.preferredVersion().isPresent()
                                && need.preferredVersion().equals(loads.version(e.id()))))
                .toList();
        EngineChoice.Request request =
                new EngineChoice.Request(settings.dataCentre(), need.prefixHash(), need.promptTokens());
        Endpoint chosen = EngineChoice.choose(candidates, request, random).orElseThrow();
        loads.begin(chosen.id(), ticket.estimatedTokens());
        inFlight.put(ticket.id(), new InFlight(ticket, chosen));
        effects.add(new AdmissionEffect.Dispatch(ticket.id(), chosen));
    }

    private boolean isFree(Endpoint endpoint) {
        return loads.requests(endpoint.id()) < table.slots(endpoint.id(), engineSlots);
    }

    // An endpoint that has just failed the request is used again only if there is no other one.
    private List<Endpoint> allowed(AdmissionRequest ticket, List<Endpoint> endpoints) {
        List<Endpoint> fresh =
                endpoints.stream().filter(e -> hasRequiredWeights(ticket, e)).toList();
        List<Endpoint> others = fresh.stream()
                .filter(e -> !ticket.need().excluded().contains(e.id()))
                .toList();
        return others.isEmpty() ? fresh : others;
    }

    // Weights that were not reported yet may be new enough; the answer's own stamps decide.
    private boolean hasRequiredWeights(AdmissionRequest ticket, Endpoint endpoint) {
        return ticket.need()
                .minVersion()
                .flatMap(oldest -> loads.version(endpoint.id()).map(v -> !oldest.isAfter(v)))
                .orElse(true);
    }

    private static AdmissionEffect refuse(AdmissionRequest ticket, long retryAfterMs) {
        return new AdmissionEffect.Refuse(
                ticket.id(), new Failure.Overloaded(Math.max(MIN_RETRY_AFTER_MS, retryAfterMs)));
    }
}
