package org.magnoliabridge.batch;

import org.magnoliabridge.calls.AttemptEnd;
import org.magnoliabridge.ids.WeightVersion;

/** How a run of an item at an engine ended. */
public sealed interface RunOutcome {
    /** The engine sent the whole text. */
    record Completed() implements RunOutcome {}

    /** The engine failed; the run counts as an attempt. */
    record Failed() implements RunOutcome {}

    /** The engine cannot process the item; a retry would not help. */
    record Impossible() implements RunOutcome {}

    /**
     * The engine did not run the item.
     *
     * @param leaving whether the engine no longer accepts new work
     */
    record Refused(boolean leaving) implements RunOutcome {}

    /** The engine could not be reached; the item did not run there. */
    record Unreachable() implements RunOutcome {}

    /**
     * There was no text, or only a part.
     *
     * @param end how the run ended, as far as this concerns its engine
     */
    record Broken(String reason, AttemptEnd end) implements RunOutcome {
        /** Creates an outcome that the engine or its connection has caused. */
        public Broken(String reason) {
            this(reason, AttemptEnd.BROKEN);
        }
    }

    /** The engine's weights are older than the batch allows. */
    record Stale(WeightVersion version) implements RunOutcome {}

    /** The run was not sent, because its batch has ended or may have. */
    record Withheld() implements RunOutcome {}

    /** The run was stopped by this node. */
    record Stopped() implements RunOutcome {}

    /** Returns how the run ended, as far as this concerns its engine. */
    default AttemptEnd attemptEnd() {
        return switch (this) {
            case Completed completed -> AttemptEnd.ANSWERED;
            case Impossible impossible -> AttemptEnd.ANSWERED;
            case Failed failed -> AttemptEnd.FAILED;
            case Unreachable unreachable -> AttemptEnd.UNREACHABLE;
            case Broken broken -> broken.end();
            // An engine refuses while it loads weights or is full; EngineBackoff covers that.
            case Refused refused -> refused.leaving() ? AttemptEnd.LEAVING : AttemptEnd.STOPPED;
            case Stale stale -> AttemptEnd.STOPPED;
            case Withheld withheld -> AttemptEnd.STOPPED;
            case Stopped stopped -> AttemptEnd.STOPPED;
        };
    }
}
