package org.magnoliabridge.lease;

import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.ids.FencingToken;

/** What {@link LeaseCore} asks its surroundings to do. */
public sealed interface LeaseEffect {
    /**
     * Make a call to the object API with priority LEASE and hand the reply to {@link LeaseCore#onReply}.
     *
     * @param callId names the call in its reply
     */
    record Call(long callId, StoreRequest request) implements LeaseEffect {}

    /** This process became the holder. */
    record Acquired(FencingToken fencing) implements LeaseEffect {}

    /** This process must stop sending under the token: it lost the lease, gave it back or let it run out. */
    record MustStop(FencingToken fencing) implements LeaseEffect {}

    /** The lease was handed back, or another process holds it; nothing is left to do before the process ends. */
    record Released() implements LeaseEffect {}
}
