package org.magnoliabridge.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.magnoliabridge.calls.LoadReport;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.TeamId;

/** A node on virtual time: the admission core, or a simple policy to compare it with. */
interface SimulatedNode {
    void arrive(SimulatedRequest request, long nowMs);

    void finished(SimulatedRequest request, long nowMs);

    void report(SimulatedEngine engine, long nowMs);

    void tick(long nowMs);

    /** The compared policies for queueing and for choosing an engine. */
    enum Policy {
        /** The admission core with its own engine choice. */
        CORE("fair queue, own choice"),
        /** A first-in-first-out queue with the engine choice of the admission core. */
        FIFO_CHOICE("FIFO queue, own choice"),
        /** A first-in-first-out queue with a random engine that has a free slot. */
        FIFO_RANDOM("FIFO queue, random"),
        /** A first-in-first-out queue with the next engine in turn that has a free slot. */
        FIFO_ROUND_ROBIN("FIFO queue, round robin"),
        /** No queue in the node: requests go to a random engine at once and queue there. */
        DIRECT_RANDOM("no queue, random");

        final String label;

        Policy(String label) {
            this.label = label;
        }
    }

    /** Uses the admission core. */
    final class Core implements SimulatedNode {
        private final AdmissionCore core;
        private final Map<EndpointId, SimulatedEngine> engines;
        private final Map<Long, SimulatedRequest> waiting = new HashMap<>();

        Core(List<SimulatedEngine> all, int slots, int teams, Random random) {
            core = new AdmissionCore(new RoutingSettings(RoutingFixture.OWN, 2_000), random);
            engines = byId(all);
            Map<TeamId, TeamPolicy> policies = new HashMap<>();
            for (int i = 0; i < teams; i++) {
                policies.put(new TeamId("team" + i), new TeamPolicy(1, 1e9));
            }
            apply(new AdmissionInput.Policies(policies, slots), 0);
            List<EndpointInput.ListedEndpoint> listed = new ArrayList<>();
            for (SimulatedEngine engine : all) {
                Endpoint endpoint = RoutingFixture.endpoint(engine.id.value(), 1 + listed.size());
                listed.add(new EndpointInput.ListedEndpoint(endpoint, false));
            }
            apply(new AdmissionInput.Endpoints(new EndpointInput.Listed(listed)), 0);
        }

        @Override
        public void arrive(SimulatedRequest request, long nowMs) {
            waiting.put(request.id, request);
            apply(new AdmissionInput.Arrive(request.id, request.slotRequest()), nowMs);
        }

        @Override
        public void finished(SimulatedRequest request, long nowMs) {
            apply(new AdmissionInput.Finished(request.id, SimulatedRequest.PROMPT_TOKENS + request.decoded), nowMs);
        }

        @Override
        public void report(SimulatedEngine engine, long nowMs) {
            apply(new AdmissionInput.Reported(engine.id, engine.report()), nowMs);
        }

        @Override
        public void tick(long nowMs) {
            apply(new AdmissionInput.Tick(), nowMs);
        }

        private void apply(AdmissionInput input, long nowMs) {
            for (AdmissionEffect effect : core.apply(input, nowMs)) {
                switch (effect) {
                    case AdmissionEffect.Dispatch d ->
                        engines.get(d.endpoint().id()).accept(waiting.remove(d.admissionId()));
                    case AdmissionEffect.Refuse r -> waiting.remove(r.admissionId());
                    case AdmissionEffect.AnnounceLeaving s ->
                        throw new IllegalStateException("no endpoint leaves in this simulation");
                    case AdmissionEffect.LogChange log ->
                        throw new IllegalStateException("no endpoint changes in this simulation");
                }
            }
        }
    }

    /** Uses a single queue in order of arrival, without priorities or fairness among teams. */
    final class Baseline implements SimulatedNode {
        private final Policy policy;
        private final List<SimulatedEngine> engines;
        private final int slots;
        private final Random random;
        private final LoadEstimator loads = new LoadEstimator();
        private final Deque<SimulatedRequest> queue = new ArrayDeque<>();
        private final Map<Long, EndpointId> sent = new HashMap<>();
        private int nextInTurn;

        Baseline(Policy policy, List<SimulatedEngine> engines, int slots, Random random) {
            this.policy = policy;
            this.engines = engines;
            this.slots = slots;
            this.random = random;
        }

        @Override
        public void arrive(SimulatedRequest request, long nowMs) {
            if (queue.size() < 2_000) {
                queue.add(request);
            }
            dispatch(nowMs);
        }

        @Override
        public void finished(SimulatedRequest request, long nowMs) {
            int estimate = SimulatedRequest.PROMPT_TOKENS + SimulatedRequest.MAX_TOKENS;
            loads.end(sent.remove(request.id), estimate, SimulatedRequest.PROMPT_TOKENS + request.decoded);
            dispatch(nowMs);
        }

        @Override
        public void report(SimulatedEngine engine, long nowMs) {
            LoadReport report = engine.report();
            loads.report(engine.id, report, nowMs);
        }

        @Override
        public void tick(long nowMs) {
            queue.removeIf(r -> r.deadlineMs <= nowMs);
            dispatch(nowMs);
        }

        private void dispatch(long nowMs) {
            List<SimulatedEngine> free = free();
            while (!queue.isEmpty() && !free.isEmpty()) {
                SimulatedRequest request = queue.poll();
                SimulatedEngine engine = choose(request, free, nowMs);
                loads.begin(engine.id, SimulatedRequest.PROMPT_TOKENS + SimulatedRequest.MAX_TOKENS);
                sent.put(request.id, engine.id);
                engine.accept(request);
                free = free();
            }
        }

        private List<SimulatedEngine> free() {
            return policy == Policy.DIRECT_RANDOM
                    ? engines
                    : engines.stream().filter(e -> loads.requests(e.id) < slots).toList();
        }

        private SimulatedEngine choose(SimulatedRequest request, List<SimulatedEngine> free, long nowMs) {
            return switch (policy) {
                case FIFO_ROUND_ROBIN -> {
                    SimulatedEngine next = engines.get(nextInTurn++ % engines.size());
                    while (!free.contains(next)) {
                        next = engines.get(nextInTurn++ % engines.size());
                    }
                    yield next;
                }
                case FIFO_CHOICE -> chooseLikeCore(request, free, nowMs);
                default -> free.get(random.nextInt(free.size()));
            };
        }

        private SimulatedEngine chooseLikeCore(SimulatedRequest request, List<SimulatedEngine> free, long nowMs) {
            Map<EndpointId, Double> estimates =
                    loads.estimates(engines.stream().map(e -> e.id).toList(), nowMs);
            List<EngineChoice.Candidate> candidates = new ArrayList<>();
            for (SimulatedEngine engine : engines) {
                candidates.add(new EngineChoice.Candidate(
                        RoutingFixture.endpoint(engine.id.value(), 1 + candidates.size()),
                        estimates.get(engine.id),
                        free.contains(engine),
                        loads.reportsPrefix(engine.id, request.prefix),
                        false));
            }
            EngineChoice.Request choiceRequest =
                    new EngineChoice.Request(RoutingFixture.OWN, request.prefix, SimulatedRequest.PROMPT_TOKENS);
            Endpoint chosen =
                    EngineChoice.choose(candidates, choiceRequest, random).orElseThrow();
            return byId(engines).get(chosen.id());
        }
    }

    private static Map<EndpointId, SimulatedEngine> byId(List<SimulatedEngine> engines) {
        Map<EndpointId, SimulatedEngine> byId = new HashMap<>();
        engines.forEach(e -> byId.put(e.id, e));
        return byId;
    }
}
