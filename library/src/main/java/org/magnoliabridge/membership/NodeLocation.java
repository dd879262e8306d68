package org.magnoliabridge.membership;

import java.util.Objects;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.Region;

/**
 * Addresses, data centre and region of a node; fixed while its process runs.
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
