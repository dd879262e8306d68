package org.magnoliabridge.batch;

import java.util.Optional;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;

/** A change of a stored batch that takes several store requests, one after the other. */
public sealed interface StoreTask permits Acceptance, Ending {
    /** Returns the next store request; empty during a retry delay or once there is nothing left to do. */
    Optional<StoreRequest> next(long nowMs);

    /** Handles the reply to the last request. */
    void reply(long nowMs, StoreReply reply) throws MalformedBatchException;
}
