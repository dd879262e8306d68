package org.magnoliabridge.routing;

/**
 * Limits a team's tokens per second at this node. Deterministic and not thread-safe.
 *
 * <p>A request is admitted whenever the balance is positive and may make it negative, so that no request is too large
 * to be admitted at all.
 */
final class TokenBucket {
    // Requests arrive in bursts (the samples of a training step), so the bucket holds this many seconds of its rate.
    private static final double BURST_SECONDS = 10;
    private static final double MS_PER_SECOND = 1_000;

    private double perSecond;
    private double balance;
    private long refilledAtMs;

    TokenBucket(double perSecond, long nowMs) {
        this.perSecond = perSecond;
        this.balance = perSecond * BURST_SECONDS;
        this.refilledAtMs = nowMs;
    }

    /** Changes the rate; a balance above the new capacity is reduced to it. */
    void setRate(double tokensPerSecond, long nowMs) {
        refill(nowMs);
        perSecond = tokensPerSecond;
        balance = Math.min(balance, perSecond * BURST_SECONDS);
    }

    boolean isPositive(long nowMs) {
        refill(nowMs);
        return balance > 0;
    }

    /** Removes tokens; a negative number returns tokens. */
    void take(double tokens, long nowMs) {
        refill(nowMs);
        balance = Math.min(perSecond * BURST_SECONDS, balance - tokens);
    }

    /** Returns the time in milliseconds until the balance is positive. */
    long waitMs(long nowMs) {
        refill(nowMs);
        return balance > 0 ? 0 : 1 + (long) (-balance / perSecond * MS_PER_SECOND);
    }

    private void refill(long nowMs) {
        balance = Math.min(perSecond * BURST_SECONDS, balance + perSecond * (nowMs - refilledAtMs) / MS_PER_SECOND);
        refilledAtMs = nowMs;
    }
}
