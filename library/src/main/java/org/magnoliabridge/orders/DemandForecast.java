package org.magnoliabridge.orders;

/** Follows a demand and extends its rise by the start-up time of an endpoint. */
final class DemandForecast {
    // The rise is averaged over about a minute, so that noise is not taken for a trend.
    private static final double AVERAGING_MS = 60_000;

    // An average never reaches zero by itself, so a service without demand would keep an endpoint for good.
    private static final double NEGLIGIBLE_UNITS = 0.01;

    private double level;
    private double risePerMs;
    private double latest;
    private long lastMs;
    private boolean hasSamples;

    void add(long nowMs, double demand) {
        if (!hasSamples) {
            level = demand;
            hasSamples = true;
        } else if (nowMs > lastMs) {
            double elapsedMs = nowMs - lastMs;
            double weight = 1 - Math.exp(-elapsedMs / AVERAGING_MS);
            double before = level;
            level += weight * (demand - level);
            risePerMs += weight * ((level - before) / elapsedMs - risePerMs);
        }
        lastMs = nowMs;
        latest = demand;
    }

    boolean hasSamples() {
        return hasSamples;
    }

    /** Returns the demand expected after a time, at least the latest one; a falling demand is not extended. */
    double expectedIn(long aheadMs) {
        double trend = level + Math.max(0, risePerMs) * aheadMs;
        return Math.max(latest, trend < NEGLIGIBLE_UNITS ? 0 : trend);
    }
}
