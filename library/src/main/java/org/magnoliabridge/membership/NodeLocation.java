package org.magnoliabridge.membership;

import java.util.Objects;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.Region;

/**
 * Addresses, data centre, region and processor capacity of a node; fixed while its process runs.
 *
 * @param peerAddress IP address and port for other nodes
 * @param callerAddress IP address and port for callers
 * @param capacityMillicores processor capacity in thousandths of a core; {@link #UNKNOWN_CAPACITY} if not known
 */
public record NodeLocation(
        String peerAddress, String callerAddress, DataCentre dataCentre, Region region, int capacityMillicores) {
    /** The capacity of a node that reports none. */
    public static final int UNKNOWN_CAPACITY = 0;

    public NodeLocation {
        Objects.requireNonNull(peerAddress);
        Objects.requireNonNull(callerAddress);
        Objects.requireNonNull(dataCentre);
        Objects.requireNonNull(region);
        if (capacityMillicores < 0) {
            throw new IllegalArgumentException("capacity must not be negative, found " + capacityMillicores);
        }
    }

    /** Creates a location without a known capacity. */
    public NodeLocation(String peerAddress, String callerAddress, DataCentre dataCentre, Region region) {
        this(peerAddress, callerAddress, dataCentre, region, UNKNOWN_CAPACITY);
    }

    /** Returns whether the capacity is known. */
    boolean hasCapacity() {
        return capacityMillicores != UNKNOWN_CAPACITY;
    }

    /** Returns this location with another capacity. */
    NodeLocation withCapacity(int millicores) {
        return new NodeLocation(peerAddress, callerAddress, dataCentre, region, millicores);
    }
}
