package org.magnoliabridge.rollout;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ServiceId;

/**
 * Runs steps: generates and scores samples, stores each complete group and appends it to the step head.
 *
 * <p>A step runs while trainers ask for its samples. All committed results are in the object API, so any node can
 * resume a step from its head. Two runners of the same step duplicate work but do not change its result.
 *
 * <p>Times are wall-clock milliseconds, because a step's deadline outlives the process that opened it.
 */
public final class RunnerCore {
    private final String generationPrefix;
    private final RunnerLimits limits;
    private final Set<Mechanism> mechanisms;
    private final Map<StepRef, RunningStep> steps = new LinkedHashMap<>();
    private final Map<ServiceId, RunnerInput.Engines> engines = new HashMap<>();
    private final Map<Long, RunningStep> stepByTag = new HashMap<>();
    private final Map<String, RunningStep> stepByGeneration = new HashMap<>();
    private long lastTag;
    private long lastGeneration;
    private int generationsInFlight;
    private long bufferedBytes;

    /**
     * Creates a core without steps.
     *
     * @param incarnation differs from that of every earlier process of this node, which keeps generation ids unique
     */
    public RunnerCore(NodeId node, Incarnation incarnation, RunnerLimits limits) {
        this(node, incarnation, limits, EnumSet.allOf(Mechanism.class));
    }

    RunnerCore(NodeId node, Incarnation incarnation, RunnerLimits limits, Set<Mechanism> mechanisms) {
        this.generationPrefix = node + "." + incarnation + ".";
        this.limits = limits;
        this.mechanisms = mechanisms;
    }

    /** Handles an input and returns the effects to perform, in order. */
    public List<RunnerEffect> handle(RunnerInput input, long nowMs) {
        InputContext context = new InputContext(nowMs, new ArrayList<>());
        switch (input) {
            case RunnerInput.Nudge nudge ->
                steps.computeIfAbsent(nudge.step(), RunningStep::new).nudge(nudge.trainerVersion(), context);
            case RunnerInput.Reply reply -> {
                RunningStep step = stepByTag.remove(reply.tag());
                if (step != null) {
                    step.reply(reply.tag(), reply.reply(), context);
                }
            }
            case RunnerInput.Generated g ->
                ifPresent(stepByGeneration.get(g.generation()), s -> s.generated(g, context));
            case RunnerInput.GenerationFailed f ->
                ifPresent(stepByGeneration.get(f.generation()), s -> s.generationFailed(f.generation(), context));
            case RunnerInput.Scored s -> ifPresent(stepByGeneration.get(s.generation()), x -> x.scored(s, context));
            case RunnerInput.ScoreFailed f ->
                ifPresent(stepByGeneration.get(f.generation()), s -> s.scoreFailed(f.generation(), context));
            case RunnerInput.Engines e -> engines.put(e.service(), e);
            case RunnerInput.Tick tick -> {}
        }
        proceed(context);
        return context.effects;
    }

    /** Returns the number of generations in flight. */
    public int generationsInFlight() {
        return generationsInFlight;
    }

    private void proceed(InputContext context) {
        for (RunningStep step : List.copyOf(steps.values())) {
            step.proceed(context);
            if (step.isIdle(context.nowMs)) {
                step.stop(context);
                steps.remove(step.ref());
                stepByTag.values().removeIf(s -> s == step);
            }
        }
    }

    private static void ifPresent(RunningStep step, java.util.function.Consumer<RunningStep> action) {
        if (step != null) {
            action.accept(step);
        }
    }

    /** Collects the effects of one input; steps use it to request effects within the runner's limits. */
    final class InputContext {
        final long nowMs;
        private final List<RunnerEffect> effects;

        InputContext(long nowMs, List<RunnerEffect> effects) {
            this.nowMs = nowMs;
            this.effects = effects;
        }

        long sendToStore(RunningStep step, StoreRequest request) {
            stepByTag.put(++lastTag, step);
            effects.add(new RunnerEffect.Store(lastTag, request));
            return lastTag;
        }

        boolean mayGenerate() {
            return generationsInFlight < limits.maxGenerations() && bufferedBytes < limits.maxBufferedBytes();
        }

        String generate(
                RunningStep step, RunnerEffect.SampleRef sample, String prompt, long minVersion, boolean hedge) {
            String generation = generationPrefix + ++lastGeneration;
            stepByGeneration.put(generation, step);
            generationsInFlight++;
            StepSpec spec = step.spec();
            effects.add(new RunnerEffect.Generate(
                    generation, sample, spec.service(), prompt, spec.maxTokens(), minVersion, hedge));
            return generation;
        }

        void generationEnded(String generation) {
            generationsInFlight--;
        }

        void forgetGeneration(String generation) {
            stepByGeneration.remove(generation);
        }

        void cancel(String generation) {
            generationEnded(generation);
            forgetGeneration(generation);
            effects.add(new RunnerEffect.CancelGeneration(generation));
        }

        void score(String generation, String prompt, String text) {
            effects.add(new RunnerEffect.Score(generation, prompt, text));
        }

        void addBufferedBytes(long bytes) {
            bufferedBytes += bytes;
        }

        RunnerInput.Engines engines(ServiceId service) {
            return engines.get(service);
        }

        boolean uses(Mechanism mechanism) {
            return mechanisms.contains(mechanism);
        }
    }
}
