package org.magnoliabridge.edge;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request that a gate counts as open until its exchange has completed and its handler has returned.
 *
 * <p>The exchange completes once the answer is written; the handler counts the usage of the answer after that. A drain
 * that waits for the gate must not hand over usage counts between the two. Thread-safe.
 */
final class OpenRequest {
    private final DrainGate gate;
    private final AtomicInteger holders = new AtomicInteger(1);

    /** Creates the request on behalf of its exchange, after the gate has been entered. */
    OpenRequest(DrainGate gate) {
        this.gate = gate;
    }

    /** Adds a holder; returns false if the request is no longer open. */
    boolean tryRetain() {
        return holders.getAndUpdate(n -> n == 0 ? 0 : n + 1) > 0;
    }

    /** Removes a holder; the last one exits the gate. */
    void release() {
        if (holders.decrementAndGet() == 0) {
            gate.exit();
        }
    }
}
