package org.magnoliabridge.calls;

import java.util.Optional;

/**
 * Decides which requests a node that shuts down still sends to endpoints. Thread-safe.
 *
 * <p>Load pattern: callers that hold an older answer of the directory keep sending requests for seconds after the
 * termination signal, and some of them wait for a slot. A request that is sent late and cannot end before the process
 * does would be cut off, and one that must not run twice would be lost. It is refused instead, at once or when it gets
 * its slot, while another node has time to serve it.
 */
public final class GracePeriod {
    // Callers have not been able to learn of the shutdown yet, and most requests take far less time than their limit.
    static final long SEND_ALL_MS = 3_000;

    private volatile Optional<Period> period = Optional.empty();

    private record Period(long beginMs, long endMs) {}

    /**
     * Begins the grace period; times are readings of the node's monotonic clock.
     *
     * @param endMs when open requests are cancelled
     */
    public void begin(long nowMs, long endMs) {
        period = Optional.of(new Period(nowMs, endMs));
    }

    /** Returns whether to send a request that ends after at most {@code limitMs} milliseconds. */
    public boolean maySend(long nowMs, long limitMs) {
        return period.map(p -> nowMs - p.beginMs() <= SEND_ALL_MS || nowMs + limitMs <= p.endMs())
                .orElse(true);
    }
}
