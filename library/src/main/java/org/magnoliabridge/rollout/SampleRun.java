package org.magnoliabridge.rollout;

import java.util.LinkedHashMap;
import java.util.Map;

/** The generations and the result of one sample of a group. */
final class SampleRun {
    final RunnerEffect.SampleRef ref;

    /** Start times of the generations in flight. */
    final Map<String, Long> generations = new LinkedHashMap<>();

    /** The whole answer that won, or null. */
    RunnerInput.Generated answer;

    long scoreAskedMs;
    long notBeforeMs;
    boolean hedged;
    Sample sample;

    SampleRun(RunnerEffect.SampleRef ref) {
        this.ref = ref;
    }

    boolean isUnstarted() {
        return answer == null && generations.isEmpty();
    }

    void win(RunnerInput.Generated generated, RunnerCore.Turn turn) {
        turn.ended(generated.generation());
        generations.remove(generated.generation());
        answer = generated;
        turn.buffered(generated.text().length());
        generations.keySet().forEach(turn::cancel);
        generations.clear();
    }

    void finish(double score, RunnerCore.Turn turn) {
        sample = new Sample(ref.index(), answer.text(), answer.tokens(), score, answer.versions());
        turn.forget(answer.generation());
    }

    /** Discards everything, so that the sample is generated again. */
    void reset(RunnerCore.Turn turn) {
        generations.keySet().forEach(turn::cancel);
        generations.clear();
        if (answer != null) {
            turn.forget(answer.generation());
            turn.buffered(-answer.text().length());
        }
        answer = null;
        sample = null;
    }
}
