package org.magnoliabridge.orders;

/** A token bucket on passed-in time, for the weight store's rate. */
final class LoadBudget {
    private static final double MS_PER_SECOND = 1_000;

    private final double perSecond;
    private final double burst;
    private double tokens;
    private long filledMs;
    private long closedUntilMs = Long.MIN_VALUE;

    LoadBudget(double perSecond, int burst, long nowMs) {
        this.perSecond = perSecond;
        this.burst = burst;
        this.tokens = burst;
        this.filledMs = nowMs;
    }

    boolean take(long nowMs) {
        tokens = Math.min(burst, tokens + (nowMs - filledMs) * perSecond / MS_PER_SECOND);
        filledMs = nowMs;
        if (nowMs < closedUntilMs || tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Takes nothing until a moment, because the store refused a load. */
    void closeUntil(long untilMs) {
        closedUntilMs = Math.max(closedUntilMs, untilMs);
        tokens = 0;
    }
}
