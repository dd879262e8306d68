package org.magnoliabridge.batch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.magnoliabridge.calls.FaultAttribution;
import org.magnoliabridge.gateway.GatewayRoute;
import org.magnoliabridge.gateway.RouteTable;
import org.magnoliabridge.gateway.ServiceChoice;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.routing.Endpoint;
import org.magnoliabridge.warmup.Sender;
import org.magnoliabridge.warmup.WarmUpPacer;

/**
 * Obtains the scores of complete texts: an item with a {@link ScoreRequest} has a result only with its score.
 *
 * <p>Load pattern: the texts of a step complete in bursts, and the service that scores them has few slots, which it
 * shares with callers' requests that arrive at other nodes. Calls therefore use at most two thirds of the slots of an
 * endpoint and wait here beyond that, so that a caller's request never queues behind a whole burst. The team with the
 * fewest calls in flight comes first, then the text that has waited longest. Items that wait for a score occupy no
 * engine.
 *
 * <p>A call may be repeated, so one without an answer is sent to another endpoint, with twice the time.
 */
final class Scoring {
    /** Time without an answer after which a call is first repeated, in milliseconds. */
    static final long SILENCE_MS = 1_500;

    private static final int MAX_DOUBLINGS = 3;
    private static final long RETRY_MS = 50;
    private static final long MAX_RETRY_MS = 500;
    // A tenth of the interval between checks of the store.
    private static final long WITHHELD_RETRY_MS = 100;

    private final LongSupplier wallClock;
    private final Set<BatchMechanism> mechanisms;
    private final List<BatchEffect> effects;
    private final WarmUpPacer pacer;
    private final EngineBackoff backoff = new EngineBackoff();
    private final Set<Pending> pending = new LinkedHashSet<>();
    private final Map<ScoreCallId, Call> calls = new HashMap<>();
    private final Map<EndpointId, Integer> callsAt = new HashMap<>();
    private final Map<TeamId, Integer> callsOf = new HashMap<>();
    private RouteTable routes = new RouteTable(List.of());
    private List<EngineState> endpoints = List.of();
    private long lastCall;

    /** An item whose text is complete and whose score is not known. */
    private static final class Pending {
        private final RunningBatch batch;
        private final RunningItem item;
        private final ScoreRequest request;
        private final long sinceMs;
        // What the calls of the item show about their endpoints.
        private final FaultAttribution faults = new FaultAttribution();
        private final Set<EndpointId> avoided = new HashSet<>();
        private Optional<ServiceId> service;
        private Optional<ScoreCallId> call = Optional.empty();
        private int failures;
        private int unanswered;
        private long notBeforeMs = Long.MIN_VALUE;

        Pending(RunningBatch batch, RunningItem item, ScoreRequest request, Optional<ServiceId> service, long sinceMs) {
            this.batch = batch;
            this.item = item;
            this.request = request;
            this.service = service;
            this.sinceMs = sinceMs;
        }

        TeamId team() {
            return batch.head().team();
        }

        boolean isObsolete() {
            return item.finished || batch.head().ended();
        }

        boolean isReady(long nowMs) {
            return call.isEmpty() && nowMs >= notBeforeMs && !batch.log().loading();
        }
    }

    private record Call(Pending pending, Endpoint target, long startedMs) {
        EndpointId endpoint() {
            return target.id();
        }
    }

    /** The endpoints of a service that scores texts. */
    private record Service(List<EngineState> endpoints, Set<EndpointId> ids) {
        /** Forgets the endpoints that an entry avoids once it avoids all that there are. */
        void resetAvoided(Pending entry) {
            if (entry.avoided.size() >= ids.size() && entry.avoided.containsAll(ids)) {
                entry.avoided.clear();
            }
        }
    }

    /**
     * Creates an instance without items.
     *
     * @param pacer limits the calls to cold endpoints
     * @param wallClock milliseconds since the epoch
     * @param effects receives the requested effects
     */
    Scoring(WarmUpPacer pacer, LongSupplier wallClock, Set<BatchMechanism> mechanisms, List<BatchEffect> effects) {
        this.pacer = Objects.requireNonNull(pacer);
        this.wallClock = Objects.requireNonNull(wallClock);
        this.mechanisms = mechanisms;
        this.effects = effects;
    }

    /** Replaces the routes of the configuration. */
    void replaceRoutes(RouteTable current) {
        routes = current;
        pending.forEach(p -> p.service = service(p.request));
    }

    /** Replaces the endpoints that calls may be sent to. */
    void replaceEndpoints(List<EngineState> current) {
        endpoints = List.copyOf(current);
    }

    /** Finishes an item whose text is complete, at once if it needs no score. */
    void textCompleted(long nowMs, RunningBatch batch, RunningItem item) {
        Optional<ScoreRequest> request = item.item.scorer();
        if (request.isEmpty() || !mechanisms.contains(BatchMechanism.AWAIT_SCORE)) {
            batch.finish(nowMs, item, item.transcript.result(item.item.id()));
        } else {
            pending.add(new Pending(batch, item, request.get(), service(request.get()), nowMs));
        }
    }

    /** Drops the items of a batch that this node no longer runs, and stops their calls. */
    void drop(RunningBatch batch) {
        dropIf(p -> p.batch == batch);
    }

    /** Drops all items and stops their calls. */
    void dropAll() {
        dropIf(p -> true);
    }

    /**
     * Stops calls that are no longer needed, and starts those that an endpoint can take. Runs for every input: while no
     * endpoint has room, nothing is put in order.
     */
    void update(long nowMs) {
        if (pending.isEmpty()) {
            return;
        }
        dropIf(Pending::isObsolete);
        Map<ServiceId, Service> services = new HashMap<>();
        Set<ServiceId> full = new HashSet<>();
        List<Pending> ready = ready(nowMs, services, full);
        while (!ready.isEmpty()) {
            Pending next = Collections.min(
                    ready,
                    Comparator.comparingInt((Pending p) -> callsOf.getOrDefault(p.team(), 0))
                            .thenComparingLong(p -> p.sinceMs));
            ready.remove(next);
            ServiceId id = next.service.orElseThrow();
            Service service = services.get(id);
            choose(nowMs, next, service).ifPresent(e -> start(nowMs, next, e));
            if (!hasRoom(nowMs, service)) {
                ready.removeIf(p -> p.service.equals(next.service));
            }
        }
    }

    // Returns the items whose calls may start now, at services with room.
    private List<Pending> ready(long nowMs, Map<ServiceId, Service> services, Set<ServiceId> full) {
        List<Pending> ready = new ArrayList<>();
        for (Pending entry : pending) {
            if (entry.service.isEmpty() || !entry.isReady(nowMs)) {
                continue;
            }
            ServiceId id = entry.service.get();
            Service service = services.get(id);
            if (service == null) {
                service = endpointsOf(id);
                services.put(id, service);
                if (!hasRoom(nowMs, service)) {
                    full.add(id);
                }
            }
            service.resetAvoided(entry);
            if (!full.contains(id)) {
                ready.add(entry);
            }
        }
        return ready;
    }

    private Service endpointsOf(ServiceId id) {
        List<EngineState> serving = endpoints.stream()
                .filter(e -> e.endpoint().service().equals(id))
                .toList();
        return new Service(
                serving, serving.stream().map(e -> e.endpoint().id()).collect(Collectors.toUnmodifiableSet()));
    }

    private boolean hasRoom(long nowMs, Service service) {
        return service.endpoints().stream().anyMatch(e -> isFree(nowMs, e));
    }

    private boolean isFree(long nowMs, EngineState endpoint) {
        return calls(endpoint) < maxCalls(endpoint)
                && !backoff.isBackingOff(nowMs, endpoint.endpoint().id())
                && pacer.maySend(nowMs, Sender.RUNNER, endpoint.endpoint().id());
    }

    /** Handles the end of a call. */
    void ended(long nowMs, BatchInput.ScoreEnded ended) {
        Call call = calls.remove(ended.call());
        if (call == null) {
            return;
        }
        callsAt.computeIfPresent(call.endpoint(), (id, n) -> n == 1 ? null : n - 1);
        callsOf.computeIfPresent(call.pending().team(), (team, n) -> n == 1 ? null : n - 1);
        Pending entry = call.pending();
        entry.call = Optional.empty();
        entry.faults.attemptEnded(
                call.endpoint(),
                ended.outcome().attemptEnd(),
                observation -> effects.add(new BatchEffect.Observe(call.target(), observation, entry.team())));
        log(new BatchEvent.ScoreEnded(
                entry.batch.head().id(),
                entry.item.item.id(),
                call.endpoint(),
                ended.outcome().toString(),
                nowMs - call.startedMs()));
        if (pending.contains(entry) && !entry.isObsolete()) {
            handle(nowMs, entry, call.endpoint(), ended.outcome());
        }
    }

    private void handle(long nowMs, Pending entry, EndpointId endpoint, ScoreOutcome outcome) {
        switch (outcome) {
            case ScoreOutcome.Scored scored -> {
                backoff.recordSuccess(endpoint);
                ItemResult result = entry.item.transcript.result(entry.item.item.id());
                entry.batch.finish(nowMs, entry.item, result.withScore(scored.score()));
                pending.remove(entry);
            }
            case ScoreOutcome.Failed failed -> {
                entry.failures++;
                retryLater(nowMs, entry, endpoint);
                if (entry.failures >= maxAttempts(entry)) {
                    giveUp(nowMs, entry);
                }
            }
            case ScoreOutcome.Refused refused -> {
                backoff.recordRefusal(nowMs, endpoint);
                retryLater(nowMs, entry, endpoint);
            }
            case ScoreOutcome.Unreachable unreachable -> retryLater(nowMs, entry, endpoint);
            case ScoreOutcome.Broken broken -> {
                entry.unanswered++;
                retryLater(nowMs, entry, endpoint);
            }
            case ScoreOutcome.Withheld withheld -> entry.notBeforeMs = nowMs + WITHHELD_RETRY_MS;
            case ScoreOutcome.Stopped stopped -> entry.notBeforeMs = nowMs + RETRY_MS;
        }
    }

    private void giveUp(long nowMs, Pending entry) {
        entry.batch.giveUp(nowMs, entry.item, "all attempts to score its text failed", effects);
        pending.remove(entry);
    }

    private static void retryLater(long nowMs, Pending entry, EndpointId endpoint) {
        entry.avoided.add(endpoint);
        entry.notBeforeMs = nowMs + Math.min(MAX_RETRY_MS, RETRY_MS * entry.avoided.size());
    }

    // Both the batch's route and the route of the call state a number of attempts; an item is not given up before
    // either.
    private int maxAttempts(Pending entry) {
        int ofBatch = entry.batch.head().maxAttempts();
        return route(entry.request).map(r -> Math.max(r.maxAttempts(), ofBatch)).orElse(ofBatch);
    }

    private Optional<GatewayRoute> route(ScoreRequest request) {
        return routes.find(request.host(), request.rawPath());
    }

    private Optional<ServiceId> service(ScoreRequest request) {
        return route(request)
                .map(r -> ServiceChoice.choose(r.services(), request.id().value()));
    }

    private Optional<EngineState> choose(long nowMs, Pending entry, Service service) {
        List<EngineState> free = EngineState.forTeam(service.endpoints(), entry.team()).stream()
                .filter(e -> !entry.avoided.contains(e.endpoint().id()))
                .filter(e -> isFree(nowMs, e))
                .toList();
        List<EngineState> warm = free.stream()
                .filter(e -> !pacer.isCold(nowMs, e.endpoint().id()))
                .toList();
        return leastUsed(warm.isEmpty() ? free : warm);
    }

    // Starts at another endpoint each time, so that endpoints in equal use take turns.
    private Optional<EngineState> leastUsed(List<EngineState> free) {
        Optional<EngineState> best = Optional.empty();
        for (int i = 0; i < free.size(); i++) {
            EngineState candidate = free.get((int) ((lastCall + i) % free.size()));
            if (best.isEmpty() || utilization(candidate) < utilization(best.get())) {
                best = Optional.of(candidate);
            }
        }
        return best;
    }

    private double utilization(EngineState endpoint) {
        return (double) calls(endpoint) / maxCalls(endpoint);
    }

    private int calls(EngineState endpoint) {
        return callsAt.getOrDefault(endpoint.endpoint().id(), 0);
    }

    private static int maxCalls(EngineState endpoint) {
        return Math.max(1, endpoint.slots() * 2 / 3);
    }

    private void start(long nowMs, Pending entry, EngineState endpoint) {
        BatchHead head = entry.batch.head();
        ScoreCallId id = new ScoreCallId(++lastCall);
        EndpointId endpointId = endpoint.endpoint().id();
        long limitMs = Math.max(1, head.giveUpAtMs() - wallClock.getAsLong());
        long silenceMs = Math.min(limitMs, SILENCE_MS << Math.min(MAX_DOUBLINGS, entry.unanswered));
        entry.call = Optional.of(id);
        calls.put(id, new Call(entry, endpoint.endpoint(), nowMs));
        callsAt.merge(endpointId, 1, Integer::sum);
        pacer.sent(nowMs, Sender.RUNNER, endpointId);
        callsOf.merge(head.team(), 1, Integer::sum);
        effects.add(new BatchEffect.StartScoring(
                new ScoreCall(id, head, entry.item.item.id(), entry.request, endpoint.endpoint(), silenceMs, limitMs)));
        log(new BatchEvent.ScoreRequested(
                head.id(), entry.item.item.id(), entry.request.id(), endpointId, nowMs - entry.sinceMs));
    }

    private void dropIf(Predicate<Pending> predicate) {
        pending.removeIf(p -> {
            boolean drop = predicate.test(p);
            if (drop) {
                p.call.ifPresent(c -> effects.add(new BatchEffect.StopScoring(c)));
            }
            return drop;
        });
    }

    private void log(BatchEvent event) {
        effects.add(new BatchEffect.Log(event));
    }
}
