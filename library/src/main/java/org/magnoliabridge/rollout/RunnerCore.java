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
 * Runs steps: generates and scores samples, stores each whole group and appends it to the step head.
 *
 * <p>A step is worked on while trainers ask for it. Everything that is decided is in the object API, so any node can
 * continue a step from its head, and two runners of one step waste work but change no result.
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
    private int generating;
    private long bufferedBytes;

    /**
     * Creates a core that runs no step.
     *
     * @param incarnation differs from that of every earlier process of this node, which keeps generation names unique
     */
    public RunnerCore(NodeId node, Incarnation incarnation, RunnerLimits limits) {
        this(node, incarnation, limits, EnumSet.allOf(Mechanism.class));
    }

    RunnerCore(NodeId node, Incarnation incarnation, RunnerLimits limits, Set<Mechanism> mechanisms) {
        this.generationPrefix = node + "." + incarnation + ".";
        this.limits = limits;
        this.mechanisms = mechanisms;
    }

    /** Takes an input and returns what is to be done, in order. */
    public List<RunnerEffect> handle(RunnerInput input, long nowMs) {
        Turn turn = new Turn(nowMs, new ArrayList<>());
        switch (input) {
            case RunnerInput.Nudge nudge ->
                steps.computeIfAbsent(nudge.step(), RunningStep::new).nudge(nudge.trainerVersion(), turn);
            case RunnerInput.Reply reply -> {
                RunningStep step = stepByTag.remove(reply.tag());
                if (step != null) {
                    step.reply(reply.tag(), reply.reply(), turn);
                }
            }
            case RunnerInput.Generated g -> with(stepByGeneration.get(g.generation()), s -> s.generated(g, turn));
            case RunnerInput.GenerationFailed f ->
                with(stepByGeneration.get(f.generation()), s -> s.failed(f.generation(), turn));
            case RunnerInput.Scored s -> with(stepByGeneration.get(s.generation()), x -> x.scored(s, turn));
            case RunnerInput.ScoreFailed f ->
                with(stepByGeneration.get(f.generation()), s -> s.scoreFailed(f.generation(), turn));
            case RunnerInput.Engines e -> engines.put(e.service(), e);
            case RunnerInput.Tick tick -> {}
        }
        proceed(turn);
        return turn.effects;
    }

    /** Returns the number of generations in flight. */
    public int generating() {
        return generating;
    }

    private void proceed(Turn turn) {
        for (RunningStep step : List.copyOf(steps.values())) {
            step.proceed(turn);
            if (step.isIdle(turn.nowMs)) {
                step.stop(turn);
                steps.remove(step.ref());
                stepByTag.values().removeIf(s -> s == step);
            }
        }
    }

    private static void with(RunningStep step, java.util.function.Consumer<RunningStep> action) {
        if (step != null) {
            action.accept(step);
        }
    }

    /** What one input causes; the parts of a step use it to order effects within the runner's limits. */
    final class Turn {
        final long nowMs;
        private final List<RunnerEffect> effects;

        Turn(long nowMs, List<RunnerEffect> effects) {
            this.nowMs = nowMs;
            this.effects = effects;
        }

        long store(RunningStep step, StoreRequest request) {
            stepByTag.put(++lastTag, step);
            effects.add(new RunnerEffect.Store(lastTag, request));
            return lastTag;
        }

        boolean mayGenerate() {
            return generating < limits.maxGenerations() && bufferedBytes < limits.maxBufferedBytes();
        }

        String generate(
                RunningStep step, RunnerEffect.SampleRef sample, String prompt, long minVersion, boolean hedge) {
            String name = generationPrefix + ++lastGeneration;
            stepByGeneration.put(name, step);
            generating++;
            StepSpec spec = step.spec();
            effects.add(new RunnerEffect.Generate(
                    name, sample, spec.service(), prompt, spec.maxTokens(), minVersion, hedge));
            return name;
        }

        void ended(String generation) {
            generating--;
        }

        void forget(String generation) {
            stepByGeneration.remove(generation);
        }

        void cancel(String generation) {
            ended(generation);
            forget(generation);
            effects.add(new RunnerEffect.CancelGeneration(generation));
        }

        void score(String generation, String prompt, String text) {
            effects.add(new RunnerEffect.Score(generation, prompt, text));
        }

        void buffered(long bytes) {
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
