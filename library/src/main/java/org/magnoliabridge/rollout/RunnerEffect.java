package org.magnoliabridge.rollout;

import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.ids.ServiceId;

/** An action that {@link RunnerCore} asks its caller to perform. */
public sealed interface RunnerEffect {
    /** Send a store request with decision priority and pass its reply to the core with the same tag. */
    record Store(long tag, StoreRequest request) implements RunnerEffect {}

    /**
     * Generate a sample.
     *
     * @param generation unique id of this generation
     * @param minVersion oldest weight version that the chosen engine may have
     * @param hedge whether another engine already generates the sample; that engine must not be chosen
     */
    record Generate(
            String generation,
            SampleRef sample,
            ServiceId service,
            String prompt,
            int maxTokens,
            long minVersion,
            boolean hedge)
            implements RunnerEffect {}

    /** Cancel a generation whose result is no longer needed. */
    record CancelGeneration(String generation) implements RunnerEffect {}

    /** Score the text of a generation. */
    record Score(String generation, String prompt, String text) implements RunnerEffect {}

    /** Identifies a sample within one attempt of its group. */
    record SampleRef(StepRef step, String group, int attempt, int index) {}
}
