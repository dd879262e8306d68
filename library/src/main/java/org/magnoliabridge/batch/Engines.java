package org.magnoliabridge.batch;

import java.util.function.Consumer;

/** Runs items at engines. */
public interface Engines {
    /**
     * Runs an item and blocks until the run ends.
     *
     * <p>Interrupting the calling thread closes the connection and ends the run as {@link RunOutcome.Stopped}.
     *
     * @param events receives each complete event as it arrives, in order and without gaps
     */
    RunOutcome run(ItemRun run, Consumer<Transcript.Event> events);
}
