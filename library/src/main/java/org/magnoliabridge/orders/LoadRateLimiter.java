package org.magnoliabridge.orders;

/** A token bucket that limits weight loads to the rate of the weight store; the caller passes in the time. */
final class LoadRateLimiter {
    private static final double MS_PER_SECOND = 1_000;

    private final double perSecond;
    private final double burst;
    private double tokens;
    private long refilledMs;
    private long blockedUntilMs = Long.MIN_VALUE;

    LoadRateLimiter(double perSecond, int burst, long nowMs) {
        this.perSecond = perSecond;
        this.burst = burst;
        this.tokens = burst;
        this.refilledMs = nowMs;
    }

    boolean tryAcquire(long nowMs) {
        tokens = Math.min(burst, tokens + (nowMs - refilledMs) * perSecond / MS_PER_SECOND);
        refilledMs = nowMs;
        if (nowMs < blockedUntilMs || tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Grants no loads until the given time, after the store has refused one. */
    void blockUntil(long untilMs) {
        blockedUntilMs = Math.max(blockedUntilMs, untilMs);
        tokens = 0;
    }
}
