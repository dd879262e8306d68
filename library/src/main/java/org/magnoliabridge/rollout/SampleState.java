package org.magnoliabridge.rollout;

import java.util.LinkedHashMap;
import java.util.Map;

/** The generations and the result of one sample of a group. */
final class SampleState {
    final RunnerEffect.SampleRef ref;

    /** Start times of the generations in flight. */
    final Map<String, Long> startMsByGeneration = new LinkedHashMap<>();

    /** The accepted answer, or null while there is none. */
    RunnerInput.Generated completion;

    long scoreRequestedMs;
    long nextStartMs;
    boolean hedged;
    Sample result;

    SampleState(RunnerEffect.SampleRef ref) {
        this.ref = ref;
    }

    boolean isUnstarted() {
        return completion == null && startMsByGeneration.isEmpty();
    }

    void accept(RunnerInput.Generated generated, RunnerCore.InputContext context) {
        context.generationEnded(generated.generation());
        startMsByGeneration.remove(generated.generation());
        completion = generated;
        context.addBufferedBytes(generated.text().length());
        startMsByGeneration.keySet().forEach(context::cancel);
        startMsByGeneration.clear();
    }

    void finish(double score, RunnerCore.InputContext context) {
        result = new Sample(ref.index(), completion.text(), completion.tokens(), score, completion.versions());
        context.forgetGeneration(completion.generation());
    }

    /** Discards all generations and results, so that the sample is generated again. */
    void reset(RunnerCore.InputContext context) {
        startMsByGeneration.keySet().forEach(context::cancel);
        startMsByGeneration.clear();
        if (completion != null) {
            context.forgetGeneration(completion.generation());
            context.addBufferedBytes(-completion.text().length());
        }
        completion = null;
        result = null;
    }
}
