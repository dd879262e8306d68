package org.magnoliabridge.rollout;

import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.ids.ServiceId;

/** What {@link RunnerCore} orders. */
public sealed interface RunnerEffect {
    /** Make a store request with decision priority and give the answer back with the tag. */
    record Store(long tag, StoreRequest request) implements RunnerEffect {}

    /**
     * Generate a sample.
     *
     * @param generation unique name of this generation
     * @param minVersion engines with an older weight version are not to be chosen
     * @param hedge whether another engine already works on the sample, which is then not to be chosen
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

    /** Cancel a generation; its result is no longer wanted. */
    record CancelGeneration(String generation) implements RunnerEffect {}

    /** Score the text of a generation. */
    record Score(String generation, String prompt, String text) implements RunnerEffect {}

    /** Identifies a sample within one attempt of its group. */
    record SampleRef(StepRef step, String group, int attempt, int index) {}
}
