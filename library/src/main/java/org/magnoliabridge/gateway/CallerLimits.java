package org.magnoliabridge.gateway;

/**
 * What a caller may send, and how long it may take.
 *
 * @param headerMs longest time for the head of a request
 * @param idleMs longest time without a request on a connection
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerMs, long idleMs) {
    /** The limits while no configuration is known. */
    public static final CallerLimits DEFAULT = new CallerLimits(16 << 10, 32 << 20, 10_000, 60_000);

    public CallerLimits {
        if (maxHeaderBytes < 1 || maxBodyBytes < 0 || headerMs < 1 || idleMs < 1) {
            throw new IllegalArgumentException("limits must be positive");
        }
    }
}
