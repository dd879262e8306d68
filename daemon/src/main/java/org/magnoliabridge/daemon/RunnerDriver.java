package org.magnoliabridge.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.magnoliabridge.calls.CallException;
import org.magnoliabridge.calls.Cancellation;
import org.magnoliabridge.calls.EndpointSource;
import org.magnoliabridge.calls.Generation;
import org.magnoliabridge.calls.GenerationCaller;
import org.magnoliabridge.calls.GenerationRequest;
import org.magnoliabridge.core.ControlLoop;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.external.ScoringService;
import org.magnoliabridge.external.StoreRequest.Priority;
import org.magnoliabridge.external.StoreRunner;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ProcessName;
import org.magnoliabridge.ids.WeightVersion;
import org.magnoliabridge.rollout.MalformedStepException;
import org.magnoliabridge.rollout.RunnerCore;
import org.magnoliabridge.rollout.RunnerEffect;
import org.magnoliabridge.rollout.RunnerInput;
import org.magnoliabridge.rollout.StepRef;
import org.magnoliabridge.rollout.WeightRange;
import org.magnoliabridge.telemetry.LogFields;
import org.magnoliabridge.wire.Frame;
import org.magnoliabridge.wire.FrameType;

/** Runs training steps: the runner core on the control thread, generation and scoring on virtual threads. */
final class RunnerDriver {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    // Upper bound only: the core has a shorter limit and cancels a generation that exceeds it.
    private static final long GENERATION_TIMEOUT_MS = 600_000;
    // One runner avoids duplicate work; a lost nudge is sent again with the trainer's next poll.
    private static final int RUNNERS = 1;

    private final NodeId self;
    private final RunnerCore core;
    private final GenerationCaller generations;
    private final ScoringService scoring;
    private final MembershipDriver membership;
    private final ControlLoop loop;
    private final MonotonicClock clock;
    private final LongSupplier wallClock;
    private final StoreRunner store;
    private final MetricRegistry metrics;
    // Accessed on the control thread only.
    private final Map<String, Cancellation> running = new HashMap<>();

    RunnerDriver(
            NodeId self,
            RunnerCore core,
            GenerationCaller generations,
            ScoringService scoring,
            MembershipDriver membership,
            ControlLoop loop,
            MonotonicClock clock,
            LongSupplier wallClock,
            StoreRunner store,
            MetricRegistry metrics) {
        this.self = self;
        this.core = core;
        this.generations = generations;
        this.scoring = scoring;
        this.membership = membership;
        this.loop = loop;
        this.clock = clock;
        this.wallClock = wallClock;
        this.store = store;
        this.metrics = metrics;
    }

    /** Notifies the step's runner that a trainer requests samples; control thread only. */
    void sendNudge(StepRef step, long trainerVersion) {
        String scope = "step/" + step.team() + "/" + step.run() + "/" + step.step();
        List<NodeId> ranked = membership.ranked(scope);
        for (NodeId runner : ranked.subList(0, Math.min(RUNNERS, ranked.size()))) {
            if (runner.equals(self)) {
                handle(new RunnerInput.Nudge(step, trainerVersion));
            } else {
                membership.send(runner, FrameType.STEP_NUDGE, step.packNudge(trainerVersion));
            }
        }
    }

    /** Handles a nudge from another node; control thread only. */
    void nudgeReceived(ProcessName from, Frame frame) {
        try {
            handle(StepRef.unpackNudge(frame.body()));
        } catch (MalformedStepException e) {
            metrics.counter("peers.malformed.STEP_NUDGE").inc();
            LOG.atWarning().with(LogFields.PEER, from.node().value()).log("malformed step nudge");
        }
    }

    /** Passes an input to the core and performs the resulting effects; control thread only. */
    void handle(RunnerInput input) {
        for (RunnerEffect effect : core.handle(input, wallClock.getAsLong())) {
            carryOut(effect);
        }
    }

    private void carryOut(RunnerEffect effect) {
        switch (effect) {
            case RunnerEffect.Store request ->
                store.run(
                        request.request(),
                        Priority.DECISION,
                        reply -> handle(new RunnerInput.Reply(request.tag(), reply)));
            case RunnerEffect.Generate generate -> generate(generate);
            case RunnerEffect.CancelGeneration cancel -> {
                Cancellation cancellation = running.remove(cancel.generation());
                if (cancellation != null) {
                    Thread.ofVirtual().start(() -> cancellation.cancel(Cancellation.Reason.SUPERSEDED));
                }
            }
            case RunnerEffect.Score score -> Thread.ofVirtual().name("score").start(() -> score(score));
        }
    }

    private void generate(RunnerEffect.Generate generate) {
        metrics.counter(generate.hedge() ? "rollout.hedges" : "rollout.generations")
                .inc();
        Cancellation cancellation = new Cancellation();
        running.put(generate.generation(), cancellation);
        GenerationRequest request = new GenerationRequest(
                generate.service(),
                generate.sample().step().team(),
                EndpointSource.Priority.TRAINING,
                generate.prompt(),
                generate.maxTokens(),
                clock.nowMs() + GENERATION_TIMEOUT_MS,
                Optional.empty());
        GenerationRequest versioned = request.withMinVersion(new WeightVersion(generate.minVersion()));
        Thread.ofVirtual().name("rollout").start(() -> {
            RunnerInput result = perform(generate.generation(), versioned, cancellation);
            loop.post(() -> {
                running.remove(generate.generation());
                handle(result);
            });
        });
    }

    private RunnerInput perform(String name, GenerationRequest request, Cancellation cancellation) {
        try {
            Generation done = generations.generate(request, cancellation);
            List<WeightRange> versions = done.versions().stream()
                    .map(v -> new WeightRange(v.from(), v.to(), v.version()))
                    .toList();
            return new RunnerInput.Generated(name, done.text(), done.tokens(), versions);
        } catch (CallException e) {
            metrics.counter("rollout.failures." + e.failure().getClass().getSimpleName())
                    .inc();
            return new RunnerInput.GenerationFailed(name);
        }
    }

    private void score(RunnerEffect.Score score) {
        RunnerInput result;
        try {
            result = new RunnerInput.Scored(score.generation(), scoring.score(score.prompt(), score.text()));
        } catch (PlatformException e) {
            metrics.counter("rollout.score_failures").inc();
            result = new RunnerInput.ScoreFailed(score.generation());
        }
        RunnerInput input = result;
        loop.post(() -> handle(input));
    }
}
