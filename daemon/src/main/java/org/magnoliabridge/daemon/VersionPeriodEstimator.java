package org.magnoliabridge.daemon;

import java.util.HashMap;
import java.util.Map;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.WeightVersion;

/** Estimates the mean time between weight versions per service, as an exponential moving average. */
final class VersionPeriodEstimator {
    private static final double SMOOTHING_FACTOR = 0.3;

    private final Map<ServiceId, LastVersion> lastVersions = new HashMap<>();

    private record LastVersion(WeightVersion version, long atMs, double periodMs) {}

    /** Records the newest version and returns the mean time between versions in milliseconds, 0 if unknown. */
    long periodMs(ServiceId service, WeightVersion newest, long nowMs) {
        LastVersion before = lastVersions.get(service);
        if (before == null) {
            lastVersions.put(service, new LastVersion(newest, nowMs, 0));
        } else if (newest.isAfter(before.version())) {
            long versions = newest.value() - before.version().value();
            double sample = (nowMs - before.atMs()) / (double) versions;
            double mean = before.periodMs() == 0
                    ? sample
                    : before.periodMs() + SMOOTHING_FACTOR * (sample - before.periodMs());
            lastVersions.put(service, new LastVersion(newest, nowMs, mean));
        }
        return Math.round(lastVersions.get(service).periodMs());
    }
}
