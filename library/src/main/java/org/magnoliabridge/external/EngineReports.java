package org.magnoliabridge.external;

import java.net.InetSocketAddress;
import java.util.Map;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.WeightVersion;

/** Reads the state that engines report; calls block. */
public interface EngineReports {
    /** Returns the state of an engine, which may be a few hundred milliseconds old. */
    Report report(EndpointId engine, InetSocketAddress address) throws PlatformException;

    /**
     * The state of an engine.
     *
     * @param weights the version of each model that it holds
     * @param busy whether it is carrying out an order
     * @param ordersAccepted number of orders that it has accepted since its start
     * @param running requests in its batch
     * @param waiting requests that it has queued
     */
    record Report(Map<ModelId, WeightVersion> weights, boolean busy, long ordersAccepted, int running, int waiting) {
        public Report {
            weights = Map.copyOf(weights);
        }
    }
}
