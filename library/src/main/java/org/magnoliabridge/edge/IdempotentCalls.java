package org.magnoliabridge.edge;

import java.util.Optional;
import org.magnoliabridge.calls.CallException;
import org.magnoliabridge.calls.Cancellation;
import org.magnoliabridge.calls.PlainAnswer;
import org.magnoliabridge.calls.PlainRequest;

/** Runs calls with an idempotency key at most once; blocks, so it is called from traffic threads. */
@FunctionalInterface
public interface IdempotentCalls {
    /**
     * Runs a call or returns the stored answer of an earlier call with the same team, service and key.
     *
     * @param key the header's value, 1 to 255 printable characters
     * @param outcomePath path at which the service reports the outcome of a key
     * @throws CallException if there is no answer
     */
    PlainAnswer call(String key, Optional<String> outcomePath, PlainRequest request, Cancellation cancellation)
            throws CallException;
}
