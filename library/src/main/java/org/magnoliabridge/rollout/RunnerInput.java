package org.magnoliabridge.rollout;

import java.util.List;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.ids.ServiceId;

/** An input of {@link RunnerCore}. */
public sealed interface RunnerInput {
    /** A trainer at this weight version asks for samples of the step. */
    record Nudge(StepRef step, long trainerVersion) implements RunnerInput {}

    /** The reply to the store request with the same tag; late and duplicate replies are ignored. */
    record Reply(long tag, StoreReply reply) implements RunnerInput {}

    /**
     * A generation has ended with a complete answer.
     *
     * @param versions the weight versions that the engine reported for the tokens; a gap discards the answer
     */
    record Generated(String generation, String text, int tokens, List<WeightRange> versions) implements RunnerInput {}

    /** A generation has ended without a complete answer. */
    record GenerationFailed(String generation) implements RunnerInput {}

    /** The scoring service has scored the text of a generation. */
    record Scored(String generation, double score) implements RunnerInput {}

    /** The scoring service gave no score. */
    record ScoreFailed(String generation) implements RunnerInput {}

    /**
     * The known state of a service's engines.
     *
     * @param newestVersion the highest weight version that an engine reports
     * @param versionPeriodMs mean time between weight versions; 0 if unknown
     */
    record Engines(ServiceId service, long newestVersion, long versionPeriodMs) implements RunnerInput {}

    /** A timer tick; sent at least every 100 ms. */
    record Tick() implements RunnerInput {}
}
