package org.magnoliabridge.batch;

import org.magnoliabridge.ids.WeightVersion;

/** How a run of an item at an engine ended. */
public sealed interface RunOutcome {
    /** The engine sent the whole text. */
    record Completed() implements RunOutcome {}

    /** The engine failed; the run counts as an attempt. */
    record Failed() implements RunOutcome {}

    /** The item can never be run. */
    record Impossible() implements RunOutcome {}

    /**
     * The engine did not run the item.
     *
     * @param leaving whether the engine takes no new work any more
     */
    record Refused(boolean leaving) implements RunOutcome {}

    /** The engine could not be reached; the item did not run there. */
    record Unreachable() implements RunOutcome {}

    /** The connection ended, or went silent, before the text did. */
    record Broken(String reason) implements RunOutcome {}

    /** The engine's weights are older than the batch allows. */
    record Stale(WeightVersion version) implements RunOutcome {}

    /** The run was stopped by this node. */
    record Stopped() implements RunOutcome {}
}
