package org.magnoliabridge.daemon;

import java.util.HashMap;
import java.util.Map;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.WeightVersion;

/** Measures the mean time between weight versions of each service. */
final class VersionClock {
    private static final double GAIN = 0.3;

    private final Map<ServiceId, Seen> seen = new HashMap<>();

    private record Seen(WeightVersion version, long atMs, double periodMs) {}

    /** Takes the newest version now and returns the mean time between versions in milliseconds, 0 if unknown. */
    long periodMs(ServiceId service, WeightVersion newest, long nowMs) {
        Seen before = seen.get(service);
        if (before == null) {
            seen.put(service, new Seen(newest, nowMs, 0));
        } else if (newest.isAfter(before.version())) {
            long versions = newest.value() - before.version().value();
            double sample = (nowMs - before.atMs()) / (double) versions;
            double mean = before.periodMs() == 0 ? sample : before.periodMs() + GAIN * (sample - before.periodMs());
            seen.put(service, new Seen(newest, nowMs, mean));
        }
        return Math.round(seen.get(service).periodMs());
    }
}
