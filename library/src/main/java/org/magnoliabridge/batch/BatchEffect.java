package org.magnoliabridge.batch;

import org.magnoliabridge.external.StoreRequest;

/** What {@link BatchCore} asks its surroundings to do. */
public sealed interface BatchEffect {
    /** Start a run and report its end with {@link BatchInput.RunEnded}. */
    record StartRun(ItemRun run) implements BatchEffect {}

    /** Close the connection of a run; its end is still reported. */
    record StopRun(ItemRunId run) implements BatchEffect {}

    /** Make a store request and hand the reply back with the tag. */
    record Store(long tag, StoreRequest request) implements BatchEffect {}

    /** Answer a read. */
    record Answer(long ticket, ReadAnswer answer) implements BatchEffect {}

    /** A decision worth a log line. */
    record Log(BatchEvent event) implements BatchEffect {}
}
