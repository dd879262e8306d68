package org.magnoliabridge.routing;

import java.util.Objects;
import org.magnoliabridge.ids.DataCentre;

/**
 * Settings of the admission core.
 *
 * @param dataCentre the data centre of this node
 * @param maxQueued maximum number of queued requests per service
 */
public record RoutingSettings(DataCentre dataCentre, int maxQueued) {
    /** Enough for the samples of several steps at one node; a queue entry takes about 1 KB without its prompt. */
    public static final int DEFAULT_MAX_QUEUED = 2_000;

    public RoutingSettings {
        Objects.requireNonNull(dataCentre);
        if (maxQueued < 1) {
            throw new IllegalArgumentException("maxQueued must be at least 1: " + maxQueued);
        }
    }
}
