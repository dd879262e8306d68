package org.magnoliabridge.gateway;

/**
 * Limits on the size and the timing of callers' requests.
 *
 * @param headerMs maximum time until the header of a request is complete
 * @param idleMs maximum time that a connection stays open without a request
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerMs, long idleMs) {
    /** The limits that apply before a configuration is loaded. */
    public static final CallerLimits DEFAULT = new CallerLimits(16 << 10, 32 << 20, 10_000, 60_000);

    public CallerLimits {
        if (maxHeaderBytes < 1 || maxBodyBytes < 0 || headerMs < 1 || idleMs < 1) {
            throw new IllegalArgumentException("limits must be positive");
        }
    }
}
