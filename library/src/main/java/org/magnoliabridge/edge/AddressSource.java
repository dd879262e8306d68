package org.magnoliabridge.edge;

import java.util.List;
import java.util.Optional;
import org.magnoliabridge.ids.DataCentre;

/** Provides the node addresses that callers may use; must not block. */
@FunctionalInterface
public interface AddressSource {
    /** Returns the addresses for a caller, best first. */
    Addresses addresses(Optional<DataCentre> near, String callerIp);

    /** A list of addresses that callers may cache for {@code ttlMs} milliseconds. */
    record Addresses(List<NodeAddress> addresses, long ttlMs) {
        public Addresses {
            addresses = List.copyOf(addresses);
        }
    }

    /** The address at which callers reach a node. */
    record NodeAddress(String address, DataCentre dataCentre, int weight) {}
}
