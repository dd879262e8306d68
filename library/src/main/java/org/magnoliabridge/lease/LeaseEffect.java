package org.magnoliabridge.lease;

import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.ids.FencingToken;

/** A side effect that {@link LeaseCore} requests, or a state change that it reports. */
public sealed interface LeaseEffect {
    /**
     * Send a request to the object API with priority LEASE and pass the reply to {@link LeaseCore#onReply}.
     *
     * @param callId identifies the call when its reply is passed on
     */
    record Call(long callId, StoreRequest request) implements LeaseEffect {}

    /**
     * This process acquired the lease.
     *
     * @param replacedWriter id of the write that this process replaced, empty if there was none; names the process
     * @param sendFromMs the earliest time at which this process may send
     */
    record Acquired(FencingToken fencing, String replacedWriter, long sendFromMs) implements LeaseEffect {}

    /** This process must stop sending with the token: the lease was lost, was released or has expired. */
    record MustStop(FencingToken fencing) implements LeaseEffect {}

    /** The lease object is not a lease record, so no process can acquire the lease; an operator must restore it. */
    record Unreadable() implements LeaseEffect {}

    /** The lease was released, or this process did not hold it; a shutdown need not wait for the lease any longer. */
    record Released() implements LeaseEffect {}
}
