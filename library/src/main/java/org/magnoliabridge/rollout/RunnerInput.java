package org.magnoliabridge.rollout;

import java.util.List;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.ids.ServiceId;

/** What {@link RunnerCore} is told. */
public sealed interface RunnerInput {
    /** A trainer wants samples of the step and is at the weight version. */
    record Nudge(StepRef step, long trainerVersion) implements RunnerInput {}

    /** The answer to the store request with the tag; late and repeated answers are ignored. */
    record Reply(long tag, StoreReply reply) implements RunnerInput {}

    /**
     * A generation has ended with a whole answer.
     *
     * @param versions the engine's stamps folded into ranges; a gap discards the sample
     */
    record Generated(String generation, String text, int tokens, List<WeightRange> versions) implements RunnerInput {}

    /** A generation has ended without a whole answer. */
    record GenerationFailed(String generation) implements RunnerInput {}

    /** The scoring service has scored the text of a generation. */
    record Scored(String generation, double score) implements RunnerInput {}

    /** The scoring service gave no score. */
    record ScoreFailed(String generation) implements RunnerInput {}

    /**
     * What is known of a service's engines.
     *
     * @param newestVersion the highest weight version that an engine reports
     * @param versionPeriodMs mean time between weight versions; 0 if unknown
     */
    record Engines(ServiceId service, long newestVersion, long versionPeriodMs) implements RunnerInput {}

    /** Time has passed; given at least every 100 ms. */
    record Tick() implements RunnerInput {}
}
