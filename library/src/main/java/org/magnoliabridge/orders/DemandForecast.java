package org.magnoliabridge.orders;

/** Forecasts a demand by extrapolating its rising trend; a falling trend is not extrapolated. */
final class DemandForecast {
    // Time constant of the exponential averages; about a minute keeps noise from being taken for a trend.
    private static final double AVERAGING_MS = 60_000;

    // An exponential average never reaches zero, so without this limit an idle service would keep an endpoint forever.
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

    /** Returns the demand expected after the given time; it is never below the latest sample. */
    double expectedIn(long aheadMs) {
        double trend = level + Math.max(0, risePerMs) * aheadMs;
        return Math.max(latest, trend < NEGLIGIBLE_UNITS ? 0 : trend);
    }
}
