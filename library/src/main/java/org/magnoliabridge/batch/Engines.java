package org.magnoliabridge.batch;

import java.util.function.Consumer;

/** How items are run at engines. */
public interface Engines {
    /**
     * Runs an item and waits for its end.
     *
     * <p>An interrupt of the calling thread closes the connection and ends the run as {@link RunOutcome.Stopped}.
     *
     * @param events takes each whole event as it arrives, in order and without a gap
     */
    RunOutcome run(ItemRun run, Consumer<Transcript.Event> events);
}
