package org.magnoliabridge.warmup;

/**
 * What the endpoints of a service tolerate after their start.
 *
 * @param durationMs how long an endpoint is cold after its start
 * @param requestsPerSecond requests that a cold endpoint tolerates in a second, from all nodes together
 */
public record WarmUpLimits(long durationMs, double requestsPerSecond) {
    private static final long MS_PER_SECOND = 1_000;

    public WarmUpLimits {
        if (durationMs < 1 || !(requestsPerSecond > 0) || Double.isInfinite(requestsPerSecond)) {
            throw new IllegalArgumentException("expected durationMs >= 1 and a finite requestsPerSecond > 0, found "
                    + durationMs + " and " + requestsPerSecond);
        }
    }

    /** Returns the length of the span that {@link #requests} counts in, in milliseconds; one second at least. */
    long spanMs() {
        return Math.max(MS_PER_SECOND, (long) Math.ceil(MS_PER_SECOND / requestsPerSecond));
    }

    /** Returns the number of requests that a cold endpoint may get in any span, from all nodes together. */
    int requests() {
        return Math.clamp((long) requestsPerSecond, 1, Integer.MAX_VALUE);
    }
}
