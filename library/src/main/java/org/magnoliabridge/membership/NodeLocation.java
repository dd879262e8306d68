package org.magnoliabridge.membership;

import java.util.Objects;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.Region;

/**
 * Where a node is; fixed for the time of its run.
 *
 * @param peerAddress IP address and port for other nodes
 * @param callerAddress IP address and port for callers
 */
public record NodeLocation(String peerAddress, String callerAddress, DataCentre dataCentre, Region region) {
    public NodeLocation {
        Objects.requireNonNull(peerAddress);
        Objects.requireNonNull(callerAddress);
        Objects.requireNonNull(dataCentre);
        Objects.requireNonNull(region);
    }
}
